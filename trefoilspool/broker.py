"""The task that gets permits for this host's requests."""

import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from typing import Any, NamedTuple

import logbook
from returns.result import Failure, Success

from trefoilspool import events
from trefoilspool.errors import DeadlineError, OverloadedError
from trefoilspool.membership import View, home_of
from trefoilspool.peertask import PeerTask, Send
from trefoilspool.permit import Permit, PermitResult
from trefoilspool.wire import convert
from trefoilspool.wire.gen.peer import ttypes

__all__ = ['Abandon', 'Acquire', 'BrokerTask', 'FromHome', 'TokensSeen']

TICK_S = 0.1
PACE_S = 0.5
ROLL_S = 5.0
PAUSE_S = 1.5  # after which peers may have taken this host for gone
REPEAT_S = 1.0  # an unanswered ask is sent again, as frames may be lost
MS_PER_S = 1000
DEFAULT_RETRY_S = 1.0

logger = logbook.Logger('broker')


class Acquire(NamedTuple):
    """Ask for a permit."""

    ask: events.Ask
    future: 'Future[PermitResult]'


class Abandon(NamedTuple):
    """The caller is gone before a permit came."""

    request: events.RequestKey


class TokensSeen(NamedTuple):
    """Tokens that a relay saw from an endpoint since it last told."""

    endpoint: str
    tokens: int
    elapsed: float


class FromHome(NamedTuple):
    """A frame field that a home sent."""

    home: str
    field: str
    elements: tuple[Any, ...]


class Waiting:
    """An ask without an answer."""

    def __init__(self, message: Acquire, home: str) -> None:
        self.ask = message.ask
        self.future = message.future
        self.home = home
        self.sent_at = 0.0


class BrokerTask(PeerTask):
    """Owns this host's asks and permits."""

    def __init__(self, host: str, send: Send) -> None:
        super().__init__(TICK_S, host, send)
        self.view: View | None = None
        self.waiting: dict[int, Waiting] = {}
        self.held: dict[int, Permit] = {}
        self.home_of_cell: dict[str, str] = {}
        self.seen: dict[str, tuple[int, int, float]] = {}
        self.paced_at = 0.0
        self.rolled_at = 0.0
        self.ticked_at = time.monotonic()

    def handle(self, message: object) -> None:
        """Handle a message by its type."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, message)

    def tick(self) -> None:
        """Repeat lost asks, answer expired ones and tell speeds."""
        now = time.monotonic()
        if now - self.ticked_at >= PAUSE_S:
            self.resend_held()
        self.ticked_at = now
        for waiting in list(self.waiting.values()):
            if now >= waiting.ask.deadline:
                self.expire(waiting)
            elif now - waiting.sent_at >= REPEAT_S:
                self.send_ask(waiting)
        if now - self.paced_at >= PACE_S:
            self.paced_at = now
            self.send_paces()
        if now - self.rolled_at >= ROLL_S:
            self.rolled_at = now
            self.send_rolls()

    def resend_held(self) -> None:
        """Tell all homes what is held, after this process was paused."""
        for cell, home in list(self.home_of_cell.items()):
            self.move(cell, home, home)

    def send_rolls(self) -> None:
        """Tell each home all that this host holds or waits for there."""
        rolls: dict[str, set[int]] = {
            home: set() for home in self.home_of_cell.values()
        }
        asks = [one.ask for one in self.held.values()]
        asks += [one.ask for one in self.waiting.values()]
        for ask in asks:
            home = self.home_of_cell.get(ask.cell)
            if home is not None:
                rolls[home].add(ask.request.number)
        for home, numbers in rolls.items():
            self.send(home, 'roll', numbers)

    def on_acquire(self, message: Acquire) -> None:
        """Send an ask to the home of its cell."""
        waiting = Waiting(message, '')
        self.waiting[message.ask.request.number] = waiting
        self.send_ask(waiting)

    def send_ask(self, waiting: Waiting) -> None:
        """Send an ask to the cell's present home."""
        now = time.monotonic()
        waiting.sent_at = now
        home = self.home(waiting.ask.cell)
        if home is not None:
            waiting.home = home
            self.send(home, 'asks', convert.ask_to_wire(waiting.ask, now))

    def home(self, cell: str) -> str | None:
        """Return the home of a cell in the present view."""
        if self.view is None:
            return None
        home = home_of(cell, self.view.homes)
        if home is not None:
            self.home_of_cell[cell] = home
        return home

    def expire(self, waiting: Waiting) -> None:
        """Answer an ask whose deadline has passed."""
        request = waiting.ask.request
        self.waiting.pop(request.number, None)
        self.send(waiting.home or self.host, 'withdrawals', request.number)
        finish(
            waiting.future,
            Failure(
                DeadlineError(
                    'the deadline passed before an endpoint was free',
                    DEFAULT_RETRY_S,
                )
            ),
        )

    def on_abandon(self, message: Abandon) -> None:
        """Withdraw an ask, or give back its permit."""
        number = message.request.number
        waiting = self.waiting.pop(number, None)
        permit = self.held.pop(number, None)
        known = waiting or permit
        if known is not None:
            home = self.home(known.ask.cell) or self.host
            self.send(home, 'withdrawals', number)

    def on_from_home(self, message: FromHome) -> None:
        """Take grants, refusals and revocations."""
        handler = FIELD_HANDLERS[message.field]
        for element in message.elements:
            handler(self, message.home, element)

    def on_grant(self, home: str, grant: ttypes.Grant) -> None:
        """Hand a permit to its request, or give it back."""
        waiting = self.waiting.pop(grant.request, None)
        if waiting is None:
            if grant.request not in self.held:
                self.send(home, 'withdrawals', grant.request)
            return
        expiry = time.monotonic() + grant.expiry_ms / MS_PER_S
        permit = Permit(waiting.ask, grant.endpoint, expiry)
        self.held[grant.request] = permit
        if not finish(waiting.future, Success(permit)):
            self.held.pop(grant.request)
            self.send(home, 'withdrawals', grant.request)

    def on_refusal(self, home: str, refusal: ttypes.Refusal) -> None:
        """Answer a request that the home refused."""
        waiting = self.waiting.get(refusal.request)
        if waiting is None or waiting.home != home:
            return
        del self.waiting[refusal.request]
        retry_after = refusal.retry_after_ms / MS_PER_S
        kind, detail = REFUSALS[events.Reason(refusal.reason)]
        finish(waiting.future, Failure(kind(detail, retry_after)))

    def on_revocation(self, home: str, number: int) -> None:
        """Revoke a permit; the request's own thread gives it back."""
        permit = self.held.get(number)
        if permit is None:
            self.send(home, 'withdrawals', number)
        else:
            permit.revoke()

    def on_release(self, release: events.Release) -> None:
        """Give a permit back with what was measured."""
        permit = self.held.pop(release.request.number, None)
        if permit is not None:
            home = self.home(permit.ask.cell) or self.host
            self.send(home, 'releases', convert.release_to_wire(release))

    def on_seen(self, message: TokensSeen) -> None:
        """Add up tokens by endpoint until the next pace is due."""
        streams, tokens, elapsed = self.seen.get(message.endpoint, (0, 0, 0))
        self.seen[message.endpoint] = (
            streams + 1,
            tokens + message.tokens,
            elapsed + message.elapsed,
        )

    def send_paces(self) -> None:
        """Tell each endpoint's speed to the home of its cell."""
        if self.view is None:
            return
        cells = {entry.name: entry.cell for entry in self.view.endpoints}
        seen = self.seen
        self.seen = {}
        for endpoint, (streams, tokens, elapsed) in seen.items():
            home = self.home(cells[endpoint]) if endpoint in cells else None
            if home is not None:
                elapsed_ms = int(elapsed / streams * MS_PER_S)
                self.send(
                    home,
                    'paces',
                    ttypes.Pace(
                        endpoint,
                        streams,
                        tokens,
                        elapsed_ms,
                    ),
                )

    def on_view(self, view: View) -> None:
        """Move asks and permits of cells whose home has changed."""
        self.view = view
        for cell, old in list(self.home_of_cell.items()):
            home = self.home(cell)
            restarted = home is None or home != old
            if restarted and home is not None:
                self.move(cell, old, home)

    def move(self, cell: str, old: str, home: str) -> None:
        """Tell a new home what this host holds and waits for."""
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
        for number, waiting in self.waiting.items():
            if waiting.ask.cell == cell:
                if old != home:
                    self.send(old, 'withdrawals', number)
                self.send_ask(waiting)


def finish(future: 'Future[PermitResult]', found: PermitResult) -> bool:
    """Set a result; False if the request was abandoned."""
    if not future.set_running_or_notify_cancel():
        return False
    future.set_result(found)
    return True


REFUSALS = {
    events.Reason.shed: (
        OverloadedError,
        'shed: too many requests wait for this model',
    ),
    events.Reason.deadline: (
        DeadlineError,
        'no endpoint can finish before the deadline',
    ),
    events.Reason.no_endpoint: (
        OverloadedError,
        'no endpoint serves this model now',
    ),
}

FIELD_HANDLERS: Mapping[str, Callable[..., None]] = {
    'grants': BrokerTask.on_grant,
    'refusals': BrokerTask.on_refusal,
    'revocations': BrokerTask.on_revocation,
}

HANDLERS: Mapping[type, Callable[..., None]] = {
    Acquire: BrokerTask.on_acquire,
    Abandon: BrokerTask.on_abandon,
    FromHome: BrokerTask.on_from_home,
    TokensSeen: BrokerTask.on_seen,
    events.Release: BrokerTask.on_release,
    View: BrokerTask.on_view,
}
