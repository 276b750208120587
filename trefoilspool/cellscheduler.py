"""The task that schedules the cells whose home host is this host."""

import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from trefoilspool import events
from trefoilspool.cell import Cell
from trefoilspool.membership import HostState, View, home_of
from trefoilspool.peertask import PeerTask, Send
from trefoilspool.telemetry import log_decision
from trefoilspool.wire import convert
from trefoilspool.wire.gen.peer import ttypes

__all__ = ['EndpointReports', 'EntryMessage', 'SchedulerTask']

TICK_S = 0.02
COLLECT_WINDOW_S = 1.0
MS_PER_S = 1000
MAX_LOGGED_LOSERS = 3


class EntryMessage(NamedTuple):
    """The elements of one frame field that an entry host sent."""

    entry: str
    field: str
    elements: tuple[Any, ...]


class EndpointReports(NamedTuple):
    """Load and cache reports of endpoints, and which are leaving."""

    reports: tuple[events.LoadReport, ...]
    cache_events: tuple[events.CacheEvent, ...]
    leaving: frozenset[str]


class SchedulerTask(PeerTask):
    """Runs the cells and sends their decisions to entry hosts."""

    def __init__(self, host: str, send: Send) -> None:
        super().__init__(TICK_S, host, send)
        self.cells: dict[str, Cell] = {}
        self.view: View | None = None
        self.leaving: frozenset[str] = frozenset()
        self.owned_cells: frozenset[str] = frozenset()
        self.cell_of_request: dict[events.RequestKey, str] = {}

    def handle(self, message: object) -> None:
        """Handle a frame field, a membership view or endpoint reports."""
        if isinstance(message, EntryMessage):
            FIELD_HANDLERS[message.field](self, message)
        elif isinstance(message, View):
            self.on_view(message)
        elif isinstance(message, EndpointReports):
            self.on_reports(message)

    def tick(self) -> None:
        """Advance the time of all cells."""
        for name in list(self.cells):
            self.feed(name, events.Tick())

    def on_view(self, view: View) -> None:
        """Apply a view: endpoints, owned cells and lost entry hosts."""
        before = self.view
        self.view = view
        names = {endpoint.cell for endpoint in view.endpoints}
        owned = frozenset(
            name for name in names if home_of(name, view.homes) == self.host
        )
        for name in owned - self.owned_cells:
            self.open_cell(name)
        self.owned_cells = owned
        self.update_endpoints()
        if before is not None:
            self.drop_lost_entries(before, view)

    def drop_lost_entries(self, before: View, view: View) -> None:
        """Remove the requests of entry hosts that were lost or restarted."""
        for entry, state in view.states.items():
            incarnation = before.incarnations.get(entry)
            restarted = incarnation not in {None, view.incarnations.get(entry)}
            lost = state is HostState.gone
            newly_lost = lost and before.states.get(entry) is not state
            if restarted or newly_lost:
                for name in list(self.cells):
                    self.feed(name, events.EntryGone(entry))

    def open_cell(self, name: str) -> None:
        """Create or reset a cell; learned answer lengths are kept."""
        old = self.cells.get(name)
        cell = Cell()
        self.cells[name] = cell
        if old is not None:
            cell.state.answer_lengths = old.state.answer_lengths
        until = time.monotonic() + COLLECT_WINDOW_S
        log_decision('home', '', cell=name, home=self.host)
        self.feed(name, events.Collect(until))

    def update_endpoints(self) -> None:
        """Update the endpoints of each cell and which of them are usable."""
        if self.view is None:
            return
        endpoints = [
            known for known in self.view.endpoints if known.cell in self.cells
        ]
        for endpoint in endpoints:
            usable = (
                endpoint.state == 'live' and endpoint.name not in self.leaving
            )
            self.feed(
                endpoint.cell,
                events.EndpointSeen(
                    endpoint.name,
                    endpoint.generation,
                    endpoint.slots,
                    usable,
                ),
            )
        self.drop_unlisted({listed.name for listed in endpoints})

    def drop_unlisted(self, listed: set[str]) -> None:
        """Stop using endpoints that are no longer listed."""
        for name, cell in self.cells.items():
            for endpoint in list(cell.state.endpoints.values()):
                if endpoint.usable and endpoint.name not in listed:
                    self.feed(
                        name,
                        events.EndpointSeen(
                            endpoint.name,
                            endpoint.generation,
                            endpoint.rates.slots,
                            usable=False,
                        ),
                    )

    def on_reports(self, message: EndpointReports) -> None:
        """Pass load and cache reports to the cells of their endpoints."""
        if message.leaving != self.leaving:
            self.leaving = message.leaving
            self.update_endpoints()
        reports: list[events.LoadReport | events.CacheEvent] = [
            *message.reports,
            *message.cache_events,
        ]
        for report in reports:
            for name, cell in self.cells.items():
                if report.endpoint in cell.state.endpoints:
                    self.feed(name, report)

    def cell(self, name: str) -> Cell:
        """Return a cell, creating it if this host does not have it yet."""
        if name not in self.cells:
            self.open_cell(name)
            self.update_endpoints()
        return self.cells[name]

    def feed(self, name: str, event: events.Event) -> None:
        """Pass an event to a cell and send its decisions."""
        cell = self.cells[name]
        for decision in cell.handle(event, time.monotonic()):
            DECISION_SENDERS[type(decision)](self, name, decision)

    def on_asks(self, message: EntryMessage) -> None:
        """Pass the asks of an entry host to their cells."""
        now = time.monotonic()
        for wire in message.elements:
            ask = convert.ask_from_wire(wire, message.entry, now)
            self.cell(ask.cell)
            self.cell_of_request[ask.request] = ask.cell
            self.feed(ask.cell, ask)

    def on_held(self, message: EntryMessage) -> None:
        """Record permits that an entry host holds from another home host."""
        now = time.monotonic()
        for held in message.elements:
            ask = convert.ask_from_wire(
                held.ask,
                message.entry,
                now,
            )
            self.cell(ask.cell)
            self.cell_of_request[ask.request] = ask.cell
            endpoint = held.endpoint
            self.feed(ask.cell, events.Held(ask, endpoint))

    def on_releases(self, message: EntryMessage) -> None:
        """Pass releases to the cells of their requests."""
        for wire in message.elements:
            release = convert.release_from_wire(wire, message.entry)
            name = self.cell_of_request.pop(release.request, None)
            if name is not None:
                self.feed(name, release)

    def on_withdrawals(self, message: EntryMessage) -> None:
        """Pass withdrawals to the cells of their requests."""
        for number in message.elements:
            request = events.RequestKey(
                message.entry,
                number,
            )
            name = self.cell_of_request.pop(request, None)
            if name is not None:
                self.feed(name, events.Withdraw(request))

    def on_roll(self, message: EntryMessage) -> None:
        """Pass the list of an entry host's requests to all cells."""
        for numbers in message.elements:
            roll = events.Roll(message.entry, frozenset(numbers))
            for name in list(self.cells):
                self.feed(name, roll)
        self.forget_ended()

    def forget_ended(self) -> None:
        """Remove requests that have ended from the map to their cells."""
        self.cell_of_request = {
            request: name
            for request, name in self.cell_of_request.items()
            if self.cells[name].state.has_request(request)
        }

    def on_paces(self, message: EntryMessage) -> None:
        """Pass measured endpoint speeds to the cells."""
        for wire in message.elements:
            pace = events.Pace(
                wire.endpoint,
                wire.streams,
                wire.tokens,
                wire.elapsed_ms / MS_PER_S,
            )
            for name, cell in self.cells.items():
                if pace.endpoint in cell.state.endpoints:
                    self.feed(name, pace)

    def send_grant(self, cell: str, grant: events.Grant) -> None:
        """Send a permit to its entry host."""
        log_decision(
            'grant',
            grant.request.request_id,
            cell=cell,
            tier=grant.tier,
            endpoint=grant.endpoint,
            predicted_s=round(grant.score, 3),
            losers=[
                [name, round(score, 3)]
                for name, score in sorted(
                    grant.losers,
                    key=lambda loser: loser[1],
                )[:MAX_LOGGED_LOSERS]
            ],
        )
        time_left = grant.expiry - time.monotonic()
        self.send(
            grant.request.entry,
            'grants',
            ttypes.Grant(
                grant.request.number,
                grant.endpoint,
                int(time_left * MS_PER_S),
            ),
        )

    def send_refusal(self, cell: str, refusal: events.Refuse) -> None:
        """Send a refusal to its entry host."""
        self.cell_of_request.pop(refusal.request, None)
        log_decision(
            'refuse',
            refusal.request.request_id,
            cell=cell,
            tier=refusal.tier,
            reason=refusal.reason.name,
            retry_after_s=round(refusal.retry_after, 1),
            running={
                tier: count
                for tier, count in self.cells[cell].state.running.items()
                if count
            },
        )
        self.send(
            refusal.request.entry,
            'refusals',
            ttypes.Refusal(
                refusal.request.number,
                int(refusal.reason),
                int(refusal.retry_after * MS_PER_S),
            ),
        )

    def send_revocation(self, cell: str, revoke: events.Revoke) -> None:
        """Send a revocation to its entry host."""
        log_decision(
            'revoke',
            revoke.request.request_id,
            cell=cell,
            endpoint=revoke.endpoint,
            cause=revoke.cause.request_id,
        )
        self.send(
            revoke.request.entry,
            'revocations',
            revoke.request.number,
        )


FIELD_HANDLERS: Mapping[str, Callable[..., None]] = {
    'asks': SchedulerTask.on_asks,
    'held': SchedulerTask.on_held,
    'releases': SchedulerTask.on_releases,
    'withdrawals': SchedulerTask.on_withdrawals,
    'paces': SchedulerTask.on_paces,
    'roll': SchedulerTask.on_roll,
}

DECISION_SENDERS: Mapping[type, Callable[..., None]] = {
    events.Grant: SchedulerTask.send_grant,
    events.Refuse: SchedulerTask.send_refusal,
    events.Revoke: SchedulerTask.send_revocation,
}
