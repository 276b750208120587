"""The task that obtains permits for the requests of this host."""

import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from typing import Any, NamedTuple

import logbook
from returns.result import Failure, Success

from trefoilspool import events
from trefoilspool.membership import View, home_of
from trefoilspool.peertask import PeerTask, Send
from trefoilspool.permit import Permit, PermitResult
from trefoilspool.problems import (
    DeadlineError,
    OverloadedError,
)
from trefoilspool.wire import convert
from trefoilspool.wire.gen.peer import ttypes

__all__ = [
    'AcquirePermit',
    'BrokerTask',
    'CancelAcquire',
    'HomeMessage',
    'TokenSample',
]

TICK_S = 0.1
PACE_PERIOD_S = 0.5
ROLL_PERIOD_S = 5.0
# Below membership.GONE_AFTER_S, at which home hosts drop this host's permits.
PAUSE_DETECTION_S = 1.5
ASK_RESEND_S = 1.0  # frames may be lost with a connection
MS_PER_S = 1000
DEFAULT_RETRY_AFTER_S = 1.0

logger = logbook.Logger('broker')


class AcquirePermit(NamedTuple):
    """Request a permit; the result is set on ``future``."""

    ask: events.Ask
    future: 'Future[PermitResult]'


class CancelAcquire(NamedTuple):
    """Cancel a request for a permit, as its caller has disconnected."""

    request: events.RequestKey


class TokenSample(NamedTuple):
    """Tokens that a relay received from an endpoint since its last report."""

    endpoint: str
    tokens: int
    elapsed: float


class HomeMessage(NamedTuple):
    """The elements of one frame field that a home host sent."""

    home: str
    field: str
    elements: tuple[Any, ...]


class PendingAsk:
    """An ask without a reply from its home host yet."""

    def __init__(self, message: AcquirePermit, home: str) -> None:
        self.ask = message.ask
        self.future = message.future
        self.home = home
        self.sent_at = 0.0


class BrokerTask(PeerTask):
    """Manages the pending asks and the permits of this host."""

    def __init__(self, host: str, send: Send) -> None:
        super().__init__(TICK_S, host, send)
        self.view: View | None = None
        self.pending: dict[int, PendingAsk] = {}
        self.held: dict[int, Permit] = {}
        self.home_of_cell: dict[str, str] = {}
        self.token_totals: dict[str, tuple[int, int, float]] = {}
        self.paces_sent_at = 0.0
        self.rolls_sent_at = 0.0
        self.last_tick_at = time.monotonic()

    def handle(self, message: object) -> None:
        """Handle a message by its type."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, message)

    def tick(self) -> None:
        """Resend and expire asks; send paces and request lists."""
        now = time.monotonic()
        if now - self.last_tick_at >= PAUSE_DETECTION_S:
            self.resend_held()
        self.last_tick_at = now
        for pending in list(self.pending.values()):
            if now >= pending.ask.deadline:
                self.expire(pending)
            elif now - pending.sent_at >= ASK_RESEND_S:
                self.send_ask(pending)
        if now - self.paces_sent_at >= PACE_PERIOD_S:
            self.paces_sent_at = now
            self.send_paces()
        if now - self.rolls_sent_at >= ROLL_PERIOD_S:
            self.rolls_sent_at = now
            self.send_rolls()

    def resend_held(self) -> None:
        """Send the held permits and pending asks again.

        Home hosts may have dropped them during a pause of the process.
        """
        for cell, home in list(self.home_of_cell.items()):
            self.transfer_cell(cell, home, home)

    def send_rolls(self) -> None:
        """Send each home host the list of the requests it schedules."""
        rolls: dict[str, set[int]] = {
            home: set() for home in self.home_of_cell.values()
        }
        asks = [record.ask for record in self.held.values()]
        asks += [record.ask for record in self.pending.values()]
        for ask in asks:
            home = self.home_of_cell.get(ask.cell)
            if home is not None:
                rolls[home].add(ask.request.number)
        for home, numbers in rolls.items():
            self.send(home, 'roll', numbers)

    def on_acquire_permit(self, message: AcquirePermit) -> None:
        """Send an ask to the home host of its cell."""
        pending = PendingAsk(message, '')
        self.pending[message.ask.request.number] = pending
        self.send_ask(pending)

    def send_ask(self, pending: PendingAsk) -> None:
        """Send or resend an ask to the cell's present home host."""
        now = time.monotonic()
        pending.sent_at = now
        home = self.home(pending.ask.cell)
        if home is not None:
            pending.home = home
            self.send(home, 'asks', convert.ask_to_wire(pending.ask, now))

    def home(self, cell: str) -> str | None:
        """Return and remember the cell's present home host, if any."""
        if self.view is None:
            return None
        home = home_of(cell, self.view.homes)
        if home is not None:
            self.home_of_cell[cell] = home
        return home

    def expire(self, pending: PendingAsk) -> None:
        """Withdraw and fail an ask whose deadline has passed."""
        request = pending.ask.request
        self.pending.pop(request.number, None)
        self.send(pending.home or self.host, 'withdrawals', request.number)
        resolve(
            pending.future,
            Failure(
                DeadlineError(
                    'the deadline passed before an endpoint was free',
                    DEFAULT_RETRY_AFTER_S,
                )
            ),
        )

    def on_cancel_acquire(self, message: CancelAcquire) -> None:
        """Withdraw an ask or its permit."""
        number = message.request.number
        pending = self.pending.pop(number, None)
        permit = self.held.pop(number, None)
        found = pending or permit
        if found is not None:
            home = self.home(found.ask.cell) or self.host
            self.send(home, 'withdrawals', number)

    def on_home_message(self, message: HomeMessage) -> None:
        """Handle grants, refusals and revocations."""
        handler = FIELD_HANDLERS[message.field]
        for element in message.elements:
            handler(self, message.home, element)

    def on_grant(self, home: str, grant: ttypes.Grant) -> None:
        """Pass a permit to its request, or withdraw it if none waits."""
        pending = self.pending.pop(grant.request, None)
        if pending is None:
            if grant.request not in self.held:
                self.send(home, 'withdrawals', grant.request)
            return
        expiry = time.monotonic() + grant.expiry_ms / MS_PER_S
        permit = Permit(pending.ask, grant.endpoint, expiry)
        self.held[grant.request] = permit
        if not resolve(pending.future, Success(permit)):
            self.held.pop(grant.request)
            self.send(home, 'withdrawals', grant.request)

    def on_refusal(self, home: str, refusal: ttypes.Refusal) -> None:
        """Fail a request that its home host refused."""
        pending = self.pending.get(refusal.request)
        if pending is None or pending.home != home:
            return
        del self.pending[refusal.request]
        retry_after = refusal.retry_after_ms / MS_PER_S
        error_type, detail = REFUSAL_ERRORS[events.Reason(refusal.reason)]
        resolve(pending.future, Failure(error_type(detail, retry_after)))

    def on_revocation(self, home: str, number: int) -> None:
        """Revoke a permit; the request's own thread releases it."""
        permit = self.held.get(number)
        if permit is None:
            self.send(home, 'withdrawals', number)
        else:
            permit.revoke()

    def on_release(self, release: events.Release) -> None:
        """Release a permit and send its measurements to the home host."""
        permit = self.held.pop(release.request.number, None)
        if permit is not None:
            home = self.home(permit.ask.cell) or self.host
            self.send(home, 'releases', convert.release_to_wire(release))

    def on_token_sample(self, message: TokenSample) -> None:
        """Add up tokens by endpoint until the next paces are sent."""
        reports, tokens, elapsed = self.token_totals.get(
            message.endpoint, (0, 0, 0)
        )
        self.token_totals[message.endpoint] = (
            reports + 1,
            tokens + message.tokens,
            elapsed + message.elapsed,
        )

    def send_paces(self) -> None:
        """Send each endpoint's speed to the home host of its cell."""
        if self.view is None:
            return
        cells = {listed.name: listed.cell for listed in self.view.endpoints}
        token_totals = self.token_totals
        self.token_totals = {}
        # Pace.streams counts reports and Pace.elapsed_ms is their mean
        # duration; the scheduler uses only the product of the two.
        for endpoint, (reports, tokens, elapsed) in token_totals.items():
            home = self.home(cells[endpoint]) if endpoint in cells else None
            if home is not None:
                elapsed_ms = int(elapsed / reports * MS_PER_S)
                self.send(
                    home,
                    'paces',
                    ttypes.Pace(
                        endpoint,
                        reports,
                        tokens,
                        elapsed_ms,
                    ),
                )

    def on_view(self, view: View) -> None:
        """Transfer the asks and permits of cells whose home has changed."""
        self.view = view
        for cell, old in list(self.home_of_cell.items()):
            home = self.home(cell)
            changed = home is None or home != old
            if changed and home is not None:
                self.transfer_cell(cell, old, home)

    def transfer_cell(self, cell: str, old: str, home: str) -> None:
        """Send a cell's permits and pending asks to its home host."""
        now = time.monotonic()
        for number, permit in self.held.items():
            if permit.ask.cell == cell:
                if old != home:
                    self.send(old, 'withdrawals', number)
                self.send(
                    home,
                    'held',
                    ttypes.Held(
                        convert.ask_to_wire(permit.ask, now),
                        permit.endpoint,
                    ),
                )
        for number, pending in self.pending.items():
            if pending.ask.cell == cell:
                if old != home:
                    self.send(old, 'withdrawals', number)
                self.send_ask(pending)


def resolve(future: 'Future[PermitResult]', found: PermitResult) -> bool:
    """Set a result; return False if the future was cancelled."""
    if not future.set_running_or_notify_cancel():
        return False
    future.set_result(found)
    return True


REFUSAL_ERRORS = {
    events.Reason.shed: (
        OverloadedError,
        'shed: too many requests are waiting, or the deadline is too close',
    ),
    events.Reason.deadline: (
        DeadlineError,
        'no endpoint can finish before the deadline',
    ),
    events.Reason.no_endpoint: (
        OverloadedError,
        'all usable endpoints have been tried',
    ),
}

FIELD_HANDLERS: Mapping[str, Callable[..., None]] = {
    'grants': BrokerTask.on_grant,
    'refusals': BrokerTask.on_refusal,
    'revocations': BrokerTask.on_revocation,
}

HANDLERS: Mapping[type, Callable[..., None]] = {
    AcquirePermit: BrokerTask.on_acquire_permit,
    CancelAcquire: BrokerTask.on_cancel_acquire,
    HomeMessage: BrokerTask.on_home_message,
    TokenSample: BrokerTask.on_token_sample,
    events.Release: BrokerTask.on_release,
    View: BrokerTask.on_view,
}
