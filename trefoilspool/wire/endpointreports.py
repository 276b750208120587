"""Conversion between what hosts report of endpoints and datagrams."""

from collections.abc import Iterable

from trefoilspool.crashevidence import CrashReport
from trefoilspool.endpointlimits import LimitReport
from trefoilspool.peers import HostInfo
from trefoilspool.quarantine import QuarantineEntry
from trefoilspool.servedreports import ServedPart, ServedReport
from trefoilspool.wire import checks, mesh
from trefoilspool.wire.gen.mesh import ttypes

__all__ = [
    'crash_report_from_wire',
    'crash_report_to_wire',
    'decode_quarantine',
    'encode_quarantine',
    'fitting_entries',
    'limits_from_wire',
    'limits_to_wire',
    'quarantine_from_wire',
    'quarantine_to_wire',
    'served_from_wire',
    'served_to_wire',
]

MAX_QUARANTINE_BYTES = 4096  # the parts in one datagram
MAX_LIMITS = 128  # in one datagram
MAX_REVISION = 1_000_000_000  # rises by one at a time


def crash_report_to_wire(report: CrashReport) -> ttypes.CrashReport:
    """Build the Thrift struct of a crash report."""
    return ttypes.CrashReport(
        mesh.endpoint_run_to_wire(report.run),
        list(report.parts),
        report.number,
        mesh.ms(report.age_s),
        report.is_down or None,
    )


def crash_report_from_wire(wire: ttypes.CrashReport) -> CrashReport:
    """Build a crash report from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(wire.run, wire.parts, wire.request)
    return CrashReport(
        mesh.endpoint_run_from_wire(wire.run),
        tuple(wire.parts),
        wire.request,
        checks.age_s(wire.age_ms),
        bool(wire.down),
    )


def limits_to_wire(
    reports: Iterable[LimitReport],
) -> list[ttypes.EndpointLimit] | None:
    """Build the Thrift structs of endpoints' limits; None without any."""
    return [
        ttypes.EndpointLimit(
            mesh.endpoint_run_to_wire(report.run),
            report.per_s,
            mesh.ms(report.age_s),
            report.refusals_per_s,
        )
        for report in reports
    ][:MAX_LIMITS] or None


def limits_from_wire(
    structs: Iterable[ttypes.EndpointLimit],
) -> list[LimitReport]:
    """Build endpoints' limits from their Thrift structs, without odd ones."""
    return list(checks.readable(limit_from_wire, structs))


def limit_from_wire(struct: ttypes.EndpointLimit) -> LimitReport:
    """Build an endpoint's limit from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(struct.run)
    return LimitReport(
        mesh.endpoint_run_from_wire(struct.run),
        checks.rate(struct.per_s),
        checks.age_s(struct.age_ms),
        checks.rate(struct.refusals_per_s),
    )


def served_to_wire(report: ServedReport) -> ttypes.Served:
    """Build the Thrift struct of what an entry host saw served."""
    return ttypes.Served(
        [served.part for served in report.parts],
        [mesh.ms(served.age_s) for served in report.parts],
        mesh.ms(report.covered_s),
    )


def served_from_wire(struct: ttypes.Served) -> ServedReport:
    """Build what an entry host saw served from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(struct.parts, struct.ages_ms)
    return ServedReport(
        tuple(
            ServedPart(part, checks.age_s(age_ms))
            for part, age_ms in zip(struct.parts, struct.ages_ms, strict=False)
        ),
        checks.age_s(struct.covered_ms),
    )


def fitting_entries(
    entries: Iterable[QuarantineEntry],
) -> list[QuarantineEntry]:
    """Return the first entries that fit; callers choose the parts' length."""
    fitting = []
    size = 0
    for entry in entries:
        size += len(entry.part.encode())
        if size > MAX_QUARANTINE_BYTES:
            break
        fitting.append(entry)
    return fitting


def quarantine_to_wire(
    entries: Iterable[QuarantineEntry],
) -> list[ttypes.QuarantineEntry] | None:
    """Build the Thrift structs of the entries that fit; None without any."""
    return [
        ttypes.QuarantineEntry(*entry) for entry in fitting_entries(entries)
    ] or None


def quarantine_from_wire(
    structs: Iterable[ttypes.QuarantineEntry],
) -> list[QuarantineEntry]:
    """Build entries from their Thrift structs; odd ones are left out."""
    return list(checks.readable(quarantine_entry_from_wire, structs))


def quarantine_entry_from_wire(
    struct: ttypes.QuarantineEntry,
) -> QuarantineEntry:
    """Build an entry from its Thrift struct.

    Raises
    ------
    BadStructError
        A field cannot be used.
    """
    checks.known(struct.active)
    checks.count(len(checks.text(struct.part)) - 1, MAX_QUARANTINE_BYTES)
    return QuarantineEntry(
        struct.part,
        checks.count(struct.revision, MAX_REVISION),
        struct.active,
    )


def encode_quarantine(
    own: HostInfo, entries: Iterable[QuarantineEntry]
) -> bytes:
    """Encode entries with the host that writes them."""
    return mesh.encode(
        ttypes.Datagram(
            mesh.host_info_to_wire(own), quarantine=quarantine_to_wire(entries)
        )
    )


def decode_quarantine(body: bytes) -> list[QuarantineEntry] | None:
    """Decode entries; return None if they are malformed."""
    datagram = mesh.decode(body)
    if datagram is None:
        return None
    return quarantine_from_wire(datagram.quarantine or ())
