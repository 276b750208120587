"""Registrations of endpoints, and the memory of those that have left."""

from typing import NamedTuple

__all__ = ['Departures', 'EndpointRecord', 'EndpointRun', 'HeldBackRecord']

# Time after which a restored record of a removed endpoint is believed if it
# still stands: by then the store has dropped it unless the endpoint renews it.
RESTORED_RECORD_S = 6.0
# How long a removed endpoint is remembered; longer than a backup is old.
RETENTION_S = 120.0


class EndpointRun(NamedTuple):
    """One run of an endpoint's process.

    Attributes
    ----------
    name : str
        Instance name, which a later run may have too.
    started_ms : int
        Unix time of its start in milliseconds; 0 if unknown.
    """

    name: str
    started_ms: int


class EndpointRecord(NamedTuple):
    """An endpoint's registration.

    Attributes
    ----------
    name : str
        Instance name, which is also the key of its record.
    slots : int
        Number of requests that it processes concurrently.
    leaving : bool
        Whether it is shutting down and takes no new requests.
    started_ms : int
        Unix time of its start in milliseconds; 0 if the record has none.
    software : str
        Version of its software; empty if the record has none.
    """

    name: str
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    started_ms: int
    software: str = ''

    @property
    def run(self) -> EndpointRun:
        """Return the run that registered."""
        return EndpointRun(self.name, self.started_ms)

    @property
    def stream_version(self) -> str:
        """Return what must be equal where a stream goes on.

        Without a version only the same run is known to have the same software,
        and without a start not even that: the result is then empty.
        """
        if self.software:
            return self.software
        return f'{self.name}@{self.started_ms}' if self.started_ms else ''


class DepartedEndpoint(NamedTuple):
    """An endpoint that was removed, and when, in monotonic seconds."""

    endpoint: EndpointRecord
    at: float


class HeldBackRecord(NamedTuple):
    """A restored registration that may be outdated.

    Attributes
    ----------
    offset : int
        Offset of the record.
    until : float
        When it is applied if it still stands, in monotonic seconds.
    """

    endpoint: EndpointRecord
    offset: int
    until: float


class Departures:
    """Which endpoints have left or are leaving.

    A store that was restored from a backup shows endpoints that have left
    since; this memory keeps them out.

    Attributes
    ----------
    departed : dict
        Endpoints removed in the last ``RETENTION_S``, by name.
    leaving_runs : dict
        Runs that reported themselves that they are leaving: when this became
        known, in monotonic seconds.
    held_back : dict
        Restored registrations of departed endpoints, by name.
    """

    def __init__(self) -> None:
        self.departed: dict[str, DepartedEndpoint] = {}
        self.leaving_runs: dict[EndpointRun, float] = {}
        self.held_back: dict[str, HeldBackRecord] = {}

    def on_removed(self, endpoint: EndpointRecord, now: float) -> None:
        """Remember an endpoint that was removed."""
        self.departed[endpoint.name] = DepartedEndpoint(endpoint, now)

    def on_registered(self, name: str) -> None:
        """Forget that an endpoint was removed: it has registered again."""
        self.departed.pop(name, None)
        self.held_back.pop(name, None)

    def on_leaving_run(self, run: EndpointRun, now: float) -> bool:
        """Remember a run that is leaving; return whether this is new."""
        if run in self.leaving_runs:
            return False
        self.leaving_runs[run] = now
        return True

    def last(self, name: str) -> EndpointRecord | None:
        """Return the registration of a removed endpoint, if remembered."""
        departed = self.departed.get(name)
        return departed.endpoint if departed else None

    def hold_back(
        self, endpoint: EndpointRecord, offset: int, now: float
    ) -> bool:
        """Hold back a restored registration of an endpoint that has departed.

        Returns
        -------
        bool
            Whether it is held back; False for a later run.
        """
        last = self.last(endpoint.name)
        if last is None or endpoint.started_ms > last.started_ms:
            return False
        self.held_back[endpoint.name] = HeldBackRecord(
            endpoint, offset, now + RESTORED_RECORD_S
        )
        return True

    def drop_held_back(self, name: str) -> None:
        """Drop a registration that was held back: its record was deleted."""
        self.held_back.pop(name, None)

    def due(self, current_at: float) -> list[HeldBackRecord]:
        """Return the held back registrations that are to be applied.

        Parameters
        ----------
        current_at : float
            Until when their records are known to stand, in monotonic seconds.
        """
        return [
            held for held in self.held_back.values() if current_at >= held.until
        ]

    def forget_old(self, now: float, registered: frozenset[str]) -> None:
        """Forget what is older than the retention.

        Parameters
        ----------
        now : float
            The present time in monotonic seconds.
        registered : frozenset of str
            Endpoints whose leaving runs are kept.
        """
        before = now - RETENTION_S
        self.departed = {
            name: departed
            for name, departed in self.departed.items()
            if departed.at >= before
        }
        self.leaving_runs = {
            run: at
            for run, at in self.leaving_runs.items()
            if at >= before or run.name in registered
        }
