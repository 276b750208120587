"""Conversion between roll-outs and datagrams."""

from trefoilspool.replica import Position
from trefoilspool.rollouts.evidence import GROUPS, MAX_BUCKET, OTHERS
from trefoilspool.rollouts.messages import (
    Announcement,
    Phase,
    RolloutOrder,
    RolloutReport,
    RowKey,
    Tally,
    TargetUse,
    VersionRule,
)
from trefoilspool.wire import checks
from trefoilspool.wire.gen.mesh import ttypes

__all__ = [
    'notice_from_wire',
    'notice_to_wire',
    'report_from_wire',
    'report_to_wire',
    'rule_from_wire',
    'rule_to_wire',
]

MS_PER_S = 1000
PERMILLE = 1000
MAX_I32 = 2_147_483_647


def rule_to_wire(rule: VersionRule) -> ttypes.VersionRule:
    """Build the Thrift struct of a version rule."""
    return ttypes.VersionRule(
        rule.target, int(rule.use), round(rule.share * PERMILLE)
    )


def rule_from_wire(struct: ttypes.VersionRule) -> VersionRule:
    """Build a version rule from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    return VersionRule(
        checks.label(struct.target),
        checks.member(TargetUse, struct.use),
        checks.count(struct.share_permille, PERMILLE) / PERMILLE,
    )


def order_to_wire(order: RolloutOrder) -> ttypes.RolloutOrder:
    """Build the Thrift struct of an order."""
    return ttypes.RolloutOrder(
        order.service,
        order.target,
        int(order.duration_s * MS_PER_S),
        ttypes.Position(order.position.era, order.position.offset),
    )


def order_from_wire(struct: ttypes.RolloutOrder) -> RolloutOrder:
    """Build an order from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(struct)
    checks.known(struct.position)
    return RolloutOrder(
        checks.label(struct.service_name),
        checks.label(struct.target),
        checks.count(struct.duration_ms) / MS_PER_S,
        Position(
            checks.count(struct.position.era),
            checks.count(struct.position.offset),
        ),
    )


def notice_to_wire(
    announcement: Announcement, age_s: float
) -> ttypes.RolloutNotice:
    """Build the Thrift struct of an announcement.

    Parameters
    ----------
    announcement : Announcement
        What the home host tells.
    age_s : float
        Seconds since the order was taken up.
    """
    return ttypes.RolloutNotice(
        order_to_wire(announcement.order),
        int(announcement.phase),
        round(announcement.share * PERMILLE),
        announcement.is_stored,
        min(MAX_I32, int(age_s * MS_PER_S)),
    )


def notice_from_wire(
    struct: ttypes.RolloutNotice,
) -> tuple[Announcement, float]:
    """Return an announcement and the seconds since its order was taken up.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    announcement = Announcement(
        order_from_wire(struct.order),
        checks.member(Phase, struct.phase),
        checks.count(struct.share_permille, PERMILLE) / PERMILLE,
        bool(struct.stored),
    )
    return announcement, checks.age_s(struct.age_ms)


def report_to_wire(report: RolloutReport) -> ttypes.RolloutReport:
    """Build the Thrift struct of a report."""
    return ttypes.RolloutReport(
        order_to_wire(report.order),
        int(report.phase),
        report.sent,
        report.exposed,
        report.open_others,
        [ttypes.RolloutRow(*key, *tally) for key, tally in report.rows.items()],
    )


def report_from_wire(struct: ttypes.RolloutReport) -> RolloutReport:
    """Build a report from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.counts(struct.sent, struct.exposed, struct.open_others)
    return RolloutReport(
        order_from_wire(struct.order),
        checks.member(Phase, struct.phase),
        struct.sent,
        struct.exposed,
        struct.open_others,
        dict(map(row_from_wire, struct.rows or ())),
    )


def row_from_wire(struct: ttypes.RolloutRow) -> tuple[RowKey, Tally]:
    """Return a row of a report.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.counts(struct.requests, struct.failures)
    checks.known(struct.group)
    if not OTHERS <= struct.group < GROUPS:
        checks.count(struct.group, GROUPS - 1)
    return (
        RowKey(checks.text(struct.route), struct.group),
        Tally(
            struct.requests,
            struct.failures,
            histogram(struct.first_bytes),
            histogram(struct.paces),
        ),
    )


def histogram(counts: dict[int, int] | None) -> dict[int, int]:
    """Return a histogram from its Thrift map.

    Raises
    ------
    BadStructError
        A bucket or count cannot be used.
    """
    return {
        checks.count(number, MAX_BUCKET): checks.count(count)
        for number, count in (counts or {}).items()
    }
