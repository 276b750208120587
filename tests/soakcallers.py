"""The callers of a soak; each uses one connection at a time."""

import http.client
import random
import select
import time
from collections.abc import Mapping
from typing import NamedTuple

from gatewaycluster import AUTHORITY, KEY
from soakledger import (
    DEADLINE_S,
    MAX_RUNS,
    STREAM_EVENTS,
    BadPart,
    SentRequest,
)
from soakworld import SoakHost, World

MEAN_PAUSE_S = 0.03
CALL_TIMEOUT_S = 6.0
MS_PER_S = 1000
# Callers that pause for long use connections that a host may be closing.
KEPT_PAUSES_S = (0.02, 0.05, 0.3, 0.9)
SPLIT_BODY_SHARE = 0.1  # of requests, whose last byte comes later
MAX_SPLIT_S = 0.5
RECONNECT_S = 0.1  # after a connection that a host refused or closed
BODY = b'prompt'
BAD_SHARE = 0.15  # of requests while a part crashes endpoints
OK = 200
CONFIG_BOUND_S = 2.0
HOST_FAULTS = ('kill', 'term', 'pause', 'store')
STORE_FAULTS = ('store', 'store silent', 'trim', 'restore')
EVENT_END = b'\n\n'
READ_BYTES = 4096
LEAVING_SHARE = 0.4  # of requests whose caller ends the connection
MAX_TAKE_UPS = 2
TAKE_UP_PAUSE_S = 0.3
REPEAT_SHARE = 0.1  # of requests that come again, while one crashes endpoints
FIRST_PART = '5c1e07a2:800'
MIDDLE_PARTS = ('91bd3f06:410', 'a07715cc:120', '44e1d9b0:260')


class CutStream(NamedTuple):
    """A stream to be taken up: the attempt that began it, the next event."""

    stream: str
    next_event: int


NO_STREAM = CutStream('', 0)


class Caller:
    """Sends requests on one connection; reconnects to a random host."""

    def __init__(self, world: World, name: str, seed: int) -> None:
        self.world = world
        self.name = name
        self.random = random.Random(seed)
        self.count = 0
        self.host = world.hosts[0]
        self.connection: http.client.HTTPConnection | None = None
        self.whole_at = 0.0
        self.wanted_events = STREAM_EVENTS
        # Highest configuration version served, by process id of the host.
        self.seen_version: dict[int, int] = {}

    def run(self, until: float) -> None:
        """Send requests until a time of the monotonic clock."""
        while time.monotonic() < until:
            self.call(self.random.choice(tuple(MAX_RUNS)))
            if self.random.random() < 0.1:
                self.check_version()
            time.sleep(self.random.uniform(0, MEAN_PAUSE_S * 2))

    def call(self, kind: str) -> SentRequest:
        """Send a request to the route of a kind."""
        return self.send(kind, kind)

    def send(
        self,
        kind: str,
        route: str,
        parts: tuple[str, ...] = (),
        path: str = '',
        cut: CutStream = NO_STREAM,
    ) -> SentRequest:
        """Send a request to a route and record the response."""
        self.count += 1
        request_id = f'{self.name}-{self.count}'
        path = path or f'/{route}/{request_id}'
        headers = {
            'Host': AUTHORITY,
            'Authorization': f'Bearer {KEY}',
            'Request-Id': request_id,
            'Deadline-Ms': str(int(DEADLINE_S * MS_PER_S)),
            'Tenant': 'other',
        }
        if cut.stream:
            headers['Resumes'] = cut.stream
            headers['Last-Event-Id'] = str(cut.next_event - 1)
        if parts:
            headers['Prefix-Hash'] = ','.join((*parts, f'{request_id}:40'))
        self.whole_at = 0
        started = time.monotonic()
        status, complete, body = self.exchange(path, headers)
        sent = SentRequest(
            request_id,
            kind,
            path,
            self.host.name,
            started,
            time.monotonic(),
            status,
            complete,
            body,
            self.whole_at,
            parts,
            cut.stream,
            cut.next_event,
            self.wanted_events < STREAM_EVENTS,
        )
        self.world.ledger.on_sent(sent)
        return sent

    def exchange(
        self, path: str, headers: Mapping[str, str]
    ) -> tuple[int, bool, bytes]:
        """Return status, whether the response is complete, and its body."""
        status = 0
        connection = self.current_connection()
        try:
            self.send_whole(connection, path, headers)
            response = connection.getresponse()
            status = response.status
            return status, True, response.read()
        except http.client.IncompleteRead as error:
            self.connection = None
            return status, False, error.partial
        except (OSError, http.client.HTTPException):
            self.connection = None
            return status, False, b''

    def send_whole(
        self,
        connection: http.client.HTTPConnection,
        path: str,
        headers: Mapping[str, str],
    ) -> None:
        """Send a request to its last byte."""
        connection.request('POST', path, headers=dict(headers))
        self.note_whole(connection)

    def note_whole(self, connection: http.client.HTTPConnection) -> None:
        """Note that a request was sent, unless it crossed the host's close."""
        poll = select.poll()
        poll.register(connection.sock, select.POLLIN)
        if not poll.poll(0):
            self.whole_at = time.monotonic()

    def current_connection(self) -> http.client.HTTPConnection:
        """Return the open connection, or a new one to a random host."""
        if self.connection is None:
            self.connect_to(self.random.choice(self.world.hosts))
        assert self.connection is not None
        return self.connection

    def connect_to(self, host: SoakHost) -> None:
        """Send all further requests to a host."""
        self.host = host
        address, _, port = host.listen.partition(':')
        self.connection = http.client.HTTPConnection(
            address, int(port), timeout=CALL_TIMEOUT_S
        )

    def check_version(self) -> None:
        """Check that a host never returns to an older configuration."""
        version = self.world.version
        is_due = time.monotonic() - self.world.version_at > CONFIG_BOUND_S
        pid = self.host.process.pid
        sent = self.send('look', f'v{version}')
        if pid != self.host.process.pid:
            return
        seen = self.seen_version.get(pid, 0)
        if sent.status == 404 and seen >= version:
            self.world.ledger.on_violation(
                f'CONFIG: {self.host.name} served version {seen}, then '
                f'returned 404 for version {version}',
            )
        if sent.status == 404 and is_due and self.is_held(sent):
            self.world.ledger.on_violation(
                f'CONFIG: {self.host.name} returned 404 for version {version}, '
                f'which was published over {CONFIG_BOUND_S} s before {sent}',
            )
        if sent.status == 200:
            self.seen_version[pid] = max(seen, version)

    def is_held(self, sent: SentRequest) -> bool:
        """Return whether a request's host is held to the bound of versions."""
        own = {f'{fault} {sent.host}' for fault in HOST_FAULTS}
        excuses = {*own, *STORE_FAULTS, 'kill_all'}
        return self.world.shape.versions > 1 and self.world.ledger.is_clear(
            excuses, sent.started, sent.ended
        )


class KeptCaller(Caller):
    """Uses a connection until the host ends it, at times after long pauses.

    Its requests have prompts that share parts.
    """

    def __init__(self, world: World, name: str, seed: int) -> None:
        super().__init__(world, name, seed)
        self.pause_s = self.random.choice(KEPT_PAUSES_S)

    def run(self, until: float) -> None:
        """Send requests until a time of the monotonic clock."""
        while time.monotonic() < until:
            self.send_next()
            if self.random.random() < 0.05:
                self.check_version()
            time.sleep(self.random.uniform(0, self.pause_s * 2))

    def send_next(self) -> None:
        """Send a sound request, or one with the part that crashes."""
        kind = self.random.choice(tuple(MAX_RUNS))
        parts = [self.random.choice(MIDDLE_PARTS) for _ in range(2)]
        bad = self.world.ledger.bad_part
        if bad and self.random.random() < BAD_SHARE:
            self.send_bad(bad, parts)
        elif bad and bad.path and self.random.random() < REPEAT_SHARE:
            self.send(kind, kind, path=f'/{kind}/again')
        else:
            self.send(kind, kind, (FIRST_PART, *parts))

    def send_bad(self, bad: BadPart, parts: list[str]) -> None:
        """Send a request that crashes endpoints."""
        if bad.path:
            self.send(bad.route, bad.route, path=bad.path)
            return
        parts.insert(self.random.randrange(3), bad.part)
        self.send(bad.route, bad.route, (FIRST_PART, *parts))

    def send_whole(
        self,
        connection: http.client.HTTPConnection,
        path: str,
        headers: Mapping[str, str],
    ) -> None:
        """Send a request to its last byte, at times with a pause before it."""
        bad = self.world.ledger.bad_part
        is_bad = bad is not None and path == bad.path
        if is_bad or self.random.random() > SPLIT_BODY_SHARE:
            super().send_whole(connection, path, headers)
            return
        connection.putrequest('POST', path, skip_host=True)
        for name, text in headers.items():
            connection.putheader(name, text)
        connection.putheader('Content-Length', str(len(BODY)))
        connection.endheaders(BODY[:-1])
        time.sleep(self.random.uniform(0, MAX_SPLIT_S))
        connection.send(BODY[-1:])
        self.note_whole(connection)

    def exchange(
        self, path: str, headers: Mapping[str, str]
    ) -> tuple[int, bool, bytes]:
        """Exchange a request; leave a host that closed the connection."""
        seen = super().exchange(path, headers)
        if not self.whole_at:
            time.sleep(RECONNECT_S)
        if self.connection is not None and self.connection.sock is None:
            self.connection = None
        return seen


class ResumingCaller(KeptCaller):
    """Takes up streams that were cut, at another host as a rule.

    At times it ends a stream's connection itself.
    """

    def send_next(self) -> None:
        """Send a request; take it up while its stream is cut."""
        if self.random.random() < LEAVING_SHARE:
            self.wanted_events = self.random.randrange(1, STREAM_EVENTS)
        sent = self.send('chat', 'chat')
        self.wanted_events = STREAM_EVENTS
        for _ in range(MAX_TAKE_UPS):
            next_event = sent.first_event + sent.body.count(EVENT_END)
            is_cut = not sent.complete or sent.status != OK
            if not is_cut or not next_event:
                return
            time.sleep(self.random.uniform(0, TAKE_UP_PAUSE_S))
            self.connection = None
            cut = CutStream(sent.stream, next_event)
            again = self.send('chat', 'chat', cut=cut)
            if again.status != OK:
                # What a refusal has as its body is no event.
                again = again._replace(body=b'', complete=False)
            sent = again

    def exchange(
        self, path: str, headers: Mapping[str, str]
    ) -> tuple[int, bool, bytes]:
        """Exchange a request, up to the events that are wanted."""
        if self.wanted_events == STREAM_EVENTS:
            return super().exchange(path, headers)
        connection = self.current_connection()
        body = b''
        try:
            self.send_whole(connection, path, headers)
            response = connection.getresponse()
            while body.count(EVENT_END) < self.wanted_events:
                piece = response.read1(READ_BYTES)
                if not piece:
                    break
                body += piece
        except (OSError, http.client.HTTPException):
            return 0, False, b''
        finally:
            connection.close()
            self.connection = None
        return response.status, False, body


class StreamCaller(ResumingCaller):
    """Begins streams at chosen hosts, and takes them up at others."""

    def begin(self, host: SoakHost, wanted_events: int = 1) -> SentRequest:
        """Read a stream up to an event, then end the connection."""
        self.connect_to(host)
        self.wanted_events = wanted_events
        return self.send('chat', 'chat')

    def take_up(self, host: SoakHost, begun: SentRequest) -> SentRequest:
        """Take up a stream, of which two events are wanted."""
        self.connect_to(host)
        self.wanted_events = 2
        next_event = begun.body.count(EVENT_END)
        return self.send(
            'chat', 'chat', cut=CutStream(begun.stream, next_event)
        )


__all__ = ['Caller', 'KeptCaller', 'ResumingCaller', 'StreamCaller']
