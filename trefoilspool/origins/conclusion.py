"""What follows from what hosts know of the beginning of a stream."""

from collections.abc import Iterable
from typing import NamedTuple

from trefoilspool.streamorigins import (
    UNKNOWN_VERSION,
    OriginSource,
    StreamOrigin,
)
from trefoilspool.versionhistory import ServiceVersion

__all__ = ['Conclusion', 'Evidence', 'claims', 'conclude', 'is_decided']


class Evidence(NamedTuple):
    """What a host has at hand about a stream that it takes up.

    Attributes
    ----------
    own : StreamOrigin
        What it knows itself.
    others : tuple of StreamOrigin
        What other hosts have answered.
    is_confirmed : bool
        Whether the store has confirmed its records since the stream was taken
        up.
    watched_s : float
        For how long it has known all versions, in seconds.
    """

    own: StreamOrigin
    others: tuple[StreamOrigin, ...]
    is_confirmed: bool
    watched_s: float

    @property
    def origins(self) -> tuple[StreamOrigin, ...]:
        """Return what all hosts know."""
        return (self.own, *self.others)


class Conclusion(NamedTuple):
    """The version that began a stream, and what this follows from.

    Attributes
    ----------
    version : ServiceVersion
        The version, or ``UNKNOWN_VERSION``.
    """

    version: ServiceVersion
    source: OriginSource


def conclude(evidence: Evidence) -> Conclusion:
    """Return at which version a stream began, as far as this is certain.

    A record goes before all else. Without one, the only version of late counts,
    unless any host has seen another. That there was no other until the stream
    was taken up is known from the store alone: whoever has not heard of one,
    other hosts too, may be out of step.
    """
    if is_decided(evidence.origins):
        return decided(evidence.origins)
    versions = claims(evidence.origins)
    if len(versions) != 1 or evidence.own.version not in versions:
        return Conclusion(UNKNOWN_VERSION, OriginSource.unwatched)
    if not evidence.is_confirmed:
        return Conclusion(UNKNOWN_VERSION, OriginSource.unconfirmed)
    if not is_covered(evidence):
        return Conclusion(UNKNOWN_VERSION, OriginSource.unwatched)
    return Conclusion(versions.pop(), OriginSource.only)


def is_decided(origins: Iterable[StreamOrigin]) -> bool:
    """Return whether a host has a record, or has seen several versions."""
    deciding = {OriginSource.recorded, OriginSource.several}
    return any(origin.source in deciding for origin in origins)


def decided(origins: Iterable[StreamOrigin]) -> Conclusion:
    """Return what follows from records, or from several versions."""
    recorded = {
        origin.version
        for origin in origins
        if origin.source is OriginSource.recorded
    }
    if not recorded:
        return Conclusion(UNKNOWN_VERSION, OriginSource.several)
    version = recorded.pop() if len(recorded) == 1 else UNKNOWN_VERSION
    return Conclusion(version, OriginSource.recorded)


def claims(origins: Iterable[StreamOrigin]) -> set[ServiceVersion]:
    """Return the versions that hosts hold for the only ones of late."""
    return {
        origin.version
        for origin in origins
        if origin.source is OriginSource.only
    }


def is_covered(evidence: Evidence) -> bool:
    """Return whether hosts have watched without a gap for long enough.

    Another host tells of the time before this one began to watch.
    """
    return evidence.own.source is OriginSource.only or any(
        origin.source is OriginSource.only
        and origin.age_s <= evidence.watched_s
        for origin in evidence.others
    )
