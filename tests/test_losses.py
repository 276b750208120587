"""What became of the requests of a load, from the logs."""

import json
import pathlib

import pytest

from trefoilspool.cmdline import Commands
from trefoilspool.errors import OptionError
from trefoilspool.explaining.losses import loss_rows


def settled(request: str, outcome: str, **changes: object) -> dict[str, object]:
    return {
        'time': '2026-12-06T10:00:01.200',
        'event': 'settle',
        'request': request,
        'outcome': outcome,
        'route': 'chat',
        'rank': 3,
        'workspace': 'w',
        'endpoint': 'e1',
        'first_s': 0.1,
        'took_s': 1.0,
        **changes,
    }


def granted(request: str, waited_s: float) -> dict[str, object]:
    return {
        'time': '2026-12-06T10:00:00.100',
        'event': 'grant',
        'request': request,
        'waited_s': waited_s,
    }


LINES = [
    granted('a', 0.2),
    granted('b', 0.4),
    granted('c', 0.1),
    settled('a', 'completed'),
    settled('b', 'completed', endpoint='e2'),
    settled('c', 'cut'),
    settled('d', 'overloaded', endpoint='', took_s=0.004),
    settled('e', 'overloaded', endpoint='', took_s=1.01),
    settled('f', 'over_limit', endpoint='', took_s=0.004),
    settled('g', 'answered', route='look', rank=4, first_s=0.02),
    {'event': 'started'},
    {},
]


class TestLosses:
    def test_by_route(self) -> None:
        chat, look = loss_rows(LINES, 'route')
        assert chat.group == '3 chat'
        assert chat.asked == 6
        assert chat.served == 2
        assert (chat.refused_at_once, chat.refused_late) == (1, 1)
        assert (chat.over_limit, chat.other) == (1, 1)
        assert chat.long_wait_s == 0.4
        assert chat.slot_s == pytest.approx(2.3)
        assert chat.vain_slot_s == pytest.approx(0.9)
        assert look.served == look.asked == 1

    @pytest.mark.parametrize(
        ('grouping', 'groups'),
        (
            ('second', ['2026-12-06T10:00:01']),
            ('workspace', ['w']),
            ('endpoint', ['-', 'e1', 'e2']),
        ),
    )
    def test_other_groupings(self, grouping: str, groups: list[str]) -> None:
        assert [row.group for row in loss_rows(LINES, grouping)] == groups

    def test_command_reads_collected_logs(self, tmp_path: pathlib.Path) -> None:
        log = tmp_path / 'h1.log'
        log.write_text(
            '\n'.join(f'0.1 host-1 {json.dumps(line)}' for line in LINES)
        )
        table = Commands().losses(str(log))
        assert '| 3 chat | 6 | 2 | 1 | 1 | 1 | 1 |' in table

    def test_unknown_grouping(self) -> None:
        with pytest.raises(OptionError, match='route, second'):
            Commands().losses(by='colour')
