"""Routes, services and ranks."""

import pytest

from trefoilspool.routing import (
    CallerLimits,
    Configuration,
    Repeats,
    Route,
    RouteTable,
    Share,
    Workspace,
)

AUTHORITY = 'a.example'


def make_route(prefix: str, **changes: object) -> Route:
    made = Route(
        name=prefix,
        authority=AUTHORITY,
        prefix=prefix,
        repeats=Repeats.always,
        streams=False,
        timeout_s=1,
        aim_s=1,
        rank=2,
        shares=(Share('s', 1),),
        max_attempts=1,
        anonymous=False,
    )
    return made._replace(**changes)


class TestRouteTable:
    table = RouteTable(
        [make_route(one) for one in ('/', '/a/', '/a/b/', '/c/d/')],
    )

    @pytest.mark.parametrize(
        ('path', 'prefix'),
        [
            ('/a/b/x', '/a/b/'),
            ('/a/b/', '/a/b/'),
            ('/a/b', '/a/'),
            ('/a/bx/y', '/a/'),
            ('/c/x', '/'),
            ('/c/d/e/f', '/c/d/'),
            ('/x', '/'),
        ],
    )
    def test_longest_prefix_goes_first(self, path: str, prefix: str) -> None:
        found = self.table.find(AUTHORITY, path)
        assert found is not None
        assert found.prefix == prefix

    def test_other_authority_has_no_route(self) -> None:
        assert self.table.find('b.example', '/a/') is None

    def test_path_without_route(self) -> None:
        table = RouteTable([make_route('/a/')])
        assert table.find(AUTHORITY, '/b/a/') is None


class TestRoute:
    def test_services_are_drawn_by_weight(self) -> None:
        shared = make_route('/', shares=(Share('x', 90), Share('y', 10)))
        drawn = [shared.service_for(one / 100) for one in range(100)]
        assert drawn.count('x') == 90
        assert drawn.count('y') == 10


class TestConfiguration:
    workspace = Workspace('w', frozenset(('k',)), 1, 0, 0, True, 200)

    def configuration(self, workspace: Workspace) -> Configuration:
        return Configuration(
            1, [make_route('/')], [], [workspace], CallerLimits(1, 1)
        )

    def test_workspace_rank_goes_before_route_rank(self) -> None:
        made = self.configuration(self.workspace)
        low, high = make_route('/', rank=0), make_route('/', rank=3)
        second = self.workspace._replace(rank=0)
        assert made.rank(high, second) < made.rank(low, self.workspace)
        assert made.rank(low, second) < made.rank(high, second)

    def test_keys_name_their_workspace(self) -> None:
        holders = self.configuration(self.workspace).holders
        assert holders['k'].name == 'w'
        assert 'other' not in holders

    def test_requests_without_counts_are_charged_plain_tokens(self) -> None:
        assert self.workspace.charge(0) == 200
        assert self.workspace.charge(70) == 70
        assert self.workspace._replace(counts_tokens=False).charge(70) == 1
