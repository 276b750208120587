"""Routes, weighted services, workspaces and ranks."""

import pytest

from trefoilspool.routing import (
    CallerLimits,
    Configuration,
    RepeatPolicy,
    Route,
    RouteTable,
    WeightedService,
    Workspace,
)

AUTHORITY = 'a.example'


def make_route(prefix: str, **changes: object) -> Route:
    made = Route(
        name=prefix,
        authority=AUTHORITY,
        prefix=prefix,
        repeats=RepeatPolicy.always,
        streams=False,
        timeout_s=1,
        target_latency_s=1,
        rank=2,
        weighted_services=(WeightedService('s', 1),),
        max_attempts=1,
        anonymous=False,
    )
    return made._replace(**changes)


class CountedRoutes(dict[tuple[str, str], Route]):
    """No routes; notes what is looked up."""

    def __init__(self, looked_up: list[object]) -> None:
        super().__init__()
        self.looked_up = looked_up

    def get(self, key: object, default: object = None) -> None:
        self.looked_up.append(key)


class TestRouteTable:
    table = RouteTable(
        [make_route(prefix) for prefix in ('/', '/a/', '/a/b/', '/c/d/')],
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
    def test_longest_prefix_wins(self, path: str, prefix: str) -> None:
        found = self.table.find(AUTHORITY, path)
        assert found is not None
        assert found.prefix == prefix

    def test_other_authority_has_no_route(self) -> None:
        assert self.table.find('b.example', '/a/') is None

    # LOST: a path of 16,000 slashes, of any caller, stopped a host for 55 ms.
    def test_long_path_costs_no_more_than_the_longest_prefix(self) -> None:
        looked_up: list[object] = []

        table = RouteTable([make_route('/a/')])
        table.routes = CountedRoutes(looked_up)
        for path in ('//', '/' * 1_000, '/' * 16_000):
            looked_up.clear()
            assert table.find(AUTHORITY, path) is None
            assert len(looked_up) <= len('/a/')

    def test_path_without_route(self) -> None:
        table = RouteTable([make_route('/a/')])
        assert table.find(AUTHORITY, '/b/a/') is None


class TestRoute:
    def test_services_are_drawn_by_weight(self) -> None:
        shared = make_route(
            '/',
            weighted_services=(
                WeightedService('x', 90),
                WeightedService('y', 10),
            ),
        )
        drawn = [shared.choose_service(draw / 100) for draw in range(100)]
        assert drawn.count('x') == 90
        assert drawn.count('y') == 10


class TestConfiguration:
    workspace = Workspace('w', frozenset(('k',)), 1, 0, 0, True, 200)

    def configuration(self, workspace: Workspace) -> Configuration:
        return Configuration(
            1, [make_route('/')], [], [workspace], CallerLimits(1, 1)
        )

    def test_workspace_rank_takes_precedence_over_route_rank(self) -> None:
        made = self.configuration(self.workspace)
        urgent, ordinary = make_route('/', rank=0), make_route('/', rank=3)
        preferred = self.workspace._replace(rank=0)
        assert made.rank(ordinary, preferred) < made.rank(
            urgent, self.workspace
        )
        assert made.rank(urgent, preferred) < made.rank(ordinary, preferred)

    def test_any_route_rank_stays_within_its_workspace_rank(self) -> None:
        made = self.configuration(self.workspace)
        last, lower = make_route('/', rank=400), make_route('/', rank=0)
        following = self.workspace._replace(rank=2)
        assert made.rank(last, self.workspace) < made.rank(lower, following)

    def test_any_rank_fits_into_a_message(self) -> None:
        made = self.configuration(self.workspace)
        extreme = self.workspace._replace(rank=10**9)
        assert made.rank(make_route('/', rank=10**9), extreme) < 1 << 15

    def test_key_identifies_its_workspace(self) -> None:
        by_key = self.configuration(self.workspace).workspaces_by_key
        assert by_key['k'].name == 'w'
        assert 'other' not in by_key

    def test_requests_without_counts_are_charged_default_tokens(self) -> None:
        assert self.workspace.charge(0) == 200
        assert self.workspace.charge(70) == 70
        assert self.workspace._replace(counts_tokens=False).charge(70) == 1
