"""Attempts of one request at endpoints, and the relay of its answer."""

import time
from collections.abc import Generator, Iterator, Mapping

from returns.result import Failure, Result, Success

from trefoilspool.callerrors import (
    DeadlineAfterSendError,
    OverLimitError,
)
from trefoilspool.connections import Link
from trefoilspool.dialect import Call, Dialect, Send
from trefoilspool.directory import Directory
from trefoilspool.errors import (
    CallerGoneError,
    ConnectFailedError,
    CutAnswerError,
    EndpointFailedError,
    EndpointRefusedConnectionError,
    MayHaveRunError,
    OverloadedError,
    Problem,
    SendFailedError,
    StreamCutError,
)
from trefoilspool.exchange import Exchange, RawAnswer, split_events
from trefoilspool.filter import Answer
from trefoilspool.routedrequests import Fault, Opened, Order, Place
from trefoilspool.routing import Repeats
from trefoilspool.slotclient import PlaceClient
from trefoilspool.slotmessages import (
    Ended,
    Granted,
    PlaceAsk,
    RefusalReason,
    Refused,
    SendEnding,
)
from trefoilspool.telemetry import Metrics, log_decision
from trefoilspool.watch import Unwatch, Watch, WatchTask

__all__ = ['Serving', 'Servings']

MAX_UNSENT = 4  # places given that no request could be sent to
# A kept connection may have been dropped; then nobody knows whether what is
# sent on it runs, so that requests which run once get connections of their own.
FRESH_ONCE_S = 0.0
FRESH_S = 3.0
RETRY_S = 0.3
READ_SLACK_S = 0.5  # the watch ends a read at its deadline before this
FIRST_SILENCE_S = 1.0  # then a request that may be repeated is sent elsewhere
SILENT_S = 0.9  # an endpoint that sent nothing for so long counts as failing
GAP_SILENCE_S = 0.8
SERVER_ERROR = 500
LAST_GOOD_STATUS = 299
MIN_LEFT_S = 0.01
LIMIT_TO_MEAN = 8  # answers are much shorter than what they may be
GATEWAY_TIMEOUT = 504


class Servings:
    """Makes servings; shared by all requests.

    Parameters
    ----------
    places : PlaceClient
        Gives places.
    directory : Directory
        Knows endpoints.
    exchange : Exchange
        Sends requests.
    watch : WatchTask
        Ends attempts whose caller is gone or whose deadline has passed.
    metrics : Metrics
        Counts outcomes.
    data_centre : str
        Of this host.
    """

    def __init__(
        self,
        places: PlaceClient,
        directory: Directory,
        exchange: Exchange,
        watch: WatchTask,
        metrics: Metrics,
        data_centre: str,
    ) -> None:
        self.places = places
        self.directory = directory
        self.exchange = exchange
        self.watch = watch
        self.metrics = metrics
        self.data_centre = data_centre

    @property
    def dialect(self) -> Dialect:
        """Return how requests are spelt."""
        return self.exchange.dialect

    def serve(self, order: Order) -> Result[Answer, Problem]:
        """Serve an order."""
        return Serving(self, order).run()


class Serving:
    """One request; owned by the request's thread.

    Attributes
    ----------
    sends : int
        Endpoints that the request was sent to.
    may_have_run : bool
        Whether any of them may have run it.
    last_event : int
        Number of the last event that the caller has.
    """

    def __init__(self, shared: Servings, order: Order) -> None:
        self.shared = shared
        self.order = order
        self.sends = 0
        self.unsent = 0
        self.may_have_run = False
        self.avoid: tuple[str, ...] = ()
        self.last_event = order.call.resume_after
        self.sent_at = 0.0
        self.number = 0
        self.first_s = 0.0
        self.events = 0
        self.decode_from = 0.0
        self.last_fault: Fault | None = None

    def run(self) -> Result[Answer, Problem]:
        """Return the answer, or the problem that is final."""
        try:
            opened = self.open()
        except Problem as problem:
            self.settle(problem.status, problem.slug, problem.detail)
            return Failure(problem)
        return Success(self.answer(opened))

    def open(self) -> Opened:
        """Attempt until an answer begins.

        Raises
        ------
        Problem
            There is no answer, and none may follow.
        """
        while True:
            place = self.acquire()
            found = self.attempt(place)
            if isinstance(found, Opened):
                return found
            self.note(place, found)
            if not self.may_follow(found):
                return self.give_up(found)

    def acquire(self) -> Place:
        """Get a place.

        Raises
        ------
        Problem
            There is none.
        """
        order = self.order
        now = time.monotonic()
        ask = PlaceAsk(
            key=self.shared.places.new_key(),
            service=order.service,
            workspace=order.workspace,
            rank=order.rank,
            prompt_tokens=order.call.prompt_tokens,
            output_tokens=expected_tokens(order.call),
            aim=order.arrived + order.route.aim_s,
            deadline=order.deadline,
            asked=order.arrived,
            avoid=self.avoid,
            attempt=self.sends + 1,
            parts=order.call.parts,
            streams=order.route.streams,
            charge=order.charge,
            data_centre=self.shared.data_centre,
            repeatable=order.route.repeats is not Repeats.never,
        )
        self.number = ask.key.number
        verdict = self.shared.places.acquire(ask, order.gone)
        if isinstance(verdict, Refused):
            raise self.refused(verdict)
        log_decision(
            'grant',
            order.call.request_id,
            endpoint=verdict.endpoint,  # type: ignore[union-attr]
            place=ask.key.number,
            waited_s=round(time.monotonic() - now, 4),
            attempt=ask.attempt,
        )
        assert isinstance(verdict, Granted)
        return Place(ask.key, verdict.endpoint)

    def refused(self, verdict: Refused) -> Problem:
        """Return the problem of a request that gets no place."""
        if self.order.gone():
            return CallerGoneError('the caller hung up')
        if self.last_fault is not None and self.may_have_run:
            fault = self.last_fault
            why = f'{fault.detail}; no second place: {verdict.reason.name}'
            return self.failed(fault._replace(detail=why))
        if verdict.reason is RefusalReason.over_limit and not self.sends:
            return OverLimitError(
                f'workspace {self.order.workspace} is over its limit',
                verdict.retry_after,
            )
        return OverloadedError(
            f'no place: {verdict.reason.name}',
            verdict.retry_after,
        )

    def attempt(self, place: Place) -> Opened | Fault:
        """Send the request to a place's endpoint."""
        order = self.order
        endpoint = self.shared.directory.get(place.endpoint)
        if endpoint is None:
            return Fault(SendEnding.gone, False, 'the endpoint has left')
        left = order.deadline - time.monotonic()
        if left < MIN_LEFT_S:
            return Fault(SendEnding.unused, False, 'the deadline has passed')
        once = order.route.repeats is Repeats.never
        try:
            link = self.shared.exchange.connect(
                endpoint.address,
                endpoint.port,
                FRESH_ONCE_S if once else FRESH_S,
            )
        except EndpointRefusedConnectionError as error:
            return Fault(SendEnding.unreachable, False, str(error))
        except ConnectFailedError as error:
            return Fault(SendEnding.unreachable, False, str(error))
        return self.send(place, link)

    def send(self, place: Place, link: Link) -> Opened | Fault:
        """Send on an open connection and read the first of the answer."""
        order = self.order
        number = place.key.number
        self.shared.watch.post(
            Watch(number, order.gone, order.deadline, link.abort),
        )
        self.sends += 1
        sent_at = time.monotonic()
        self.sent_at = sent_at
        self.first_s = 0.0
        left = order.deadline - sent_at
        message = Send(
            order.call,
            place.endpoint,
            order.workspace,
            left,
            self.last_event,
        )
        try:
            raw = self.shared.exchange.send(
                link,
                message,
                self.silence_s(FIRST_SILENCE_S),
            )
            return self.judge(place, raw, sent_at)
        except SendFailedError as error:
            self.unwatch(place)
            return Fault(SendEnding.broken, True, str(error))
        except StreamCutError as error:
            self.unwatch(place)
            return Fault(SendEnding.broken, True, str(error))

    def silence_s(self, patience_s: float) -> float:
        """Return the seconds after which a silent endpoint is given up.

        Where no other may follow, that is when the deadline has passed.
        """
        order = self.order
        left = order.deadline - time.monotonic() + READ_SLACK_S
        if order.route.repeats is Repeats.never:
            return left
        if self.sends >= order.route.max_attempts:
            return left
        return min(left, patience_s)

    def unwatch(self, place: Place) -> None:
        """Stop to watch an attempt."""
        self.shared.watch.post(Unwatch(place.key.number))

    def judge(
        self,
        place: Place,
        raw: RawAnswer,
        sent_at: float,
    ) -> Opened | Fault:
        """Tell an answer from a fault by its head."""
        head = raw.head
        is_good = head.status <= LAST_GOOD_STATUS
        if head.not_run or head.other:
            self.unwatch(place)
            raw.discard()
            ending = SendEnding.gone if head.other else SendEnding.refused
            return Fault(ending, False, f'status {head.status}, not run')
        if head.encoded or not head.proven:
            self.unwatch(place)
            raw.close()
            return Fault(
                SendEnding.broken,
                True,
                f'status {head.status} without proof',
            )
        if is_good and self.order.route.streams:
            return self.first_event(place, raw, sent_at)
        body = raw.body()
        self.unwatch(place)
        self.first_s = time.monotonic() - sent_at
        opened = Opened(place, raw, body, None, sent_at)
        if head.status >= SERVER_ERROR:
            return Fault(
                SendEnding.failed,
                True,
                f'status {head.status}',
                opened,
            )
        return opened

    def first_event(
        self,
        place: Place,
        raw: RawAnswer,
        sent_at: float,
    ) -> Opened | Fault:
        """Read the first event of a stream."""
        rest = split_events(raw.pieces())
        first = next(rest, b'')
        raw.set_silence(self.silence_s(GAP_SILENCE_S))
        self.decode_from = time.monotonic()
        self.first_s = self.decode_from - sent_at
        return Opened(place, raw, first, rest, sent_at)

    def note(self, place: Place, fault: Fault) -> None:
        """Give a place back after a fault."""
        order = self.order
        ending = self.ending_of(fault)
        self.may_have_run = self.may_have_run or fault.may_have_run
        self.unsent += ending in UNSENT
        self.avoid = (*self.avoid, place.endpoint)
        self.last_fault = fault
        if fault.ending is SendEnding.gone:
            self.shared.directory.on_gone(place.endpoint)
        self.end(place, ending)
        log_decision(
            'fault',
            order.call.request_id,
            endpoint=place.endpoint,
            ending=ending.name,
            may_have_run=fault.may_have_run,
            detail=fault.detail,
            attempt=self.sends,
            left_s=round(order.deadline - time.monotonic(), 3),
        )

    def ending_of(self, fault: Fault) -> SendEnding:
        """Return what a fault says of the endpoint.

        Where the caller or the deadline ended the attempt it says nothing,
        unless the endpoint had been silent for long.
        """
        now = time.monotonic()
        ended_here = self.order.gone()
        if now >= self.order.deadline and fault.may_have_run:
            ended_here = True
        if not ended_here:
            return fault.ending
        if fault.may_have_run and not self.first_s:
            if now - self.sent_at >= SILENT_S:
                return SendEnding.silent
        return SendEnding.cancelled

    def end(self, place: Place, ending: SendEnding) -> None:
        """Tell the desk how a place was used."""
        decode_s = 0.0
        if self.events:
            decode_s = time.monotonic() - self.decode_from
        self.shared.places.end(
            Ended(
                place.key,
                ending,
                place.endpoint,
                self.first_s,
                self.events,
                decode_s,
                self.order.call.prompt_tokens,
            )
        )

    def may_follow(self, fault: Fault) -> bool:
        """Tell whether another attempt may follow a fault."""
        order = self.order
        if order.gone() or time.monotonic() >= order.deadline:
            return False
        if fault.may_have_run and order.route.repeats is Repeats.never:
            return False
        if fault.ending in UNSENT:
            return self.unsent <= MAX_UNSENT
        return self.sends < order.route.max_attempts

    def give_up(self, fault: Fault) -> Opened:
        """Pass on an endpoint's own failure, or say what is known.

        Raises
        ------
        Problem
            There is no answer to pass on.
        """
        if fault.answer is not None:
            return fault.answer
        if self.order.gone():
            raise CallerGoneError('the caller hung up')
        raise self.failed(fault)

    def failed(self, fault: Fault) -> Problem:
        """Return the truthful problem of a request without an answer."""
        if not self.may_have_run:
            return OverloadedError(f'not run: {fault.detail}', RETRY_S)
        if time.monotonic() >= self.order.deadline:
            return DeadlineAfterSendError(
                'the deadline passed before an answer'
            )
        if fault.ending is SendEnding.failed:
            return EndpointFailedError(fault.detail)
        return MayHaveRunError(fault.detail)

    def answer(self, opened: Opened) -> Answer:
        """Return the caller's answer."""
        head = opened.raw.head
        headers = list(head.headers)
        if opened.rest is not None:
            return Answer(head.status, tuple(headers), self.relay(opened))
        headers.append(('Content-Length', str(len(opened.body))))
        if head.status < SERVER_ERROR:
            self.end(opened.place, SendEnding.completed)
        self.settle(head.status, 'answered', '', opened.place.endpoint)
        return Answer(head.status, tuple(headers), iter((opened.body,)))

    def relay(self, opened: Opened) -> Iterator[bytes]:
        """Yield a stream's events; goes on elsewhere where that may be.

        Raises
        ------
        CutAnswerError
            The stream ends before its end.
        """
        cut: Fault | None = None
        while True:
            if cut is not None:
                opened = self.resume(opened, cut)
            cut = yield from self.relay_one(opened)
            if cut is None:
                return

    def relay_one(
        self,
        opened: Opened,
    ) -> Generator[bytes, None, Fault | None]:
        """Yield one endpoint's events; return a fault if they were cut."""
        ending = SendEnding.cancelled
        try:
            yield from self.events_of(opened)
            ending = SendEnding.completed
        except StreamCutError as error:
            ending = SendEnding.broken
            return Fault(ending, may_have_run=True, detail=str(error))
        finally:
            if ending is not SendEnding.broken:
                self.close(opened, ending)
        return None

    def close(self, opened: Opened, ending: SendEnding) -> None:
        """Settle a stream."""
        self.unwatch(opened.place)
        if ending is not SendEnding.completed:
            opened.raw.close()
        self.end(opened.place, ending)
        self.settle(
            opened.raw.head.status,
            ending.name,
            '',
            opened.place.endpoint,
        )

    def events_of(self, opened: Opened) -> Iterator[bytes]:
        """Yield the events that the caller lacks."""
        if opened.body:
            yield from self.counted(opened.body)
        for event in opened.rest or ():
            yield from self.counted(event)

    def counted(self, event: bytes) -> Iterator[bytes]:
        """Yield an event unless the caller has it."""
        number = self.shared.dialect.event_number(event)
        self.events += 1
        if number is not None:
            if number <= self.last_event:
                return
            self.last_event = number
        yield event

    def resume(self, opened: Opened, fault: Fault) -> Opened:
        """Go on with a cut stream at another endpoint.

        Raises
        ------
        CutAnswerError
            That may not be, or there is none.
        """
        order = self.order
        self.unwatch(opened.place)
        self.note(opened.place, fault)
        self.events = 0
        if order.route.repeats is Repeats.resumed and self.may_follow(fault):
            try:
                return self.open()
            except Problem as problem:
                fault = fault._replace(detail=problem.detail)
        self.settle(
            opened.raw.head.status,
            'cut',
            fault.detail,
            opened.place.endpoint,
        )
        raise CutAnswerError(
            f'stream of {order.call.request_id} ends early: {fault.detail}',
        )

    def settle(
        self,
        status: int,
        outcome: str,
        detail: str,
        endpoint: str = '',
    ) -> None:
        """Log and count the end of a request."""
        order = self.order
        took = time.monotonic() - order.arrived
        log_decision(
            'settle',
            order.call.request_id,
            outcome=outcome,
            status=status,
            detail=detail,
            endpoint=endpoint,
            route=order.route.name,
            service=order.service,
            workspace=order.workspace,
            rank=order.rank,
            version=order.version,
            place=self.number,
            attempts=self.sends,
            first_s=round(self.first_s, 4),
            took_s=round(took, 4),
            left_s=round(order.deadline - time.monotonic(), 3),
            prompt_tokens=order.call.prompt_tokens,
            output_tokens=order.call.output_tokens,
            expected_tokens=order.call.expected_tokens,
            events=self.events,
        )
        labels = f'service="{order.service}",rank="{order.rank}"'
        self.shared.metrics.count(
            f'trefoilspool_requests_total{{{labels},outcome="{outcome}",'
            f'status="{status}"}}',
        )
        self.shared.metrics.record('trefoilspool_request_seconds', labels, took)
        if self.first_s:
            self.shared.metrics.record(
                'trefoilspool_first_byte_seconds', labels, self.first_s
            )


def expected_tokens(call: Call) -> int:
    """Return the tokens that an answer will probably have."""
    if call.expected_tokens:
        return min(call.expected_tokens, call.output_tokens)
    return call.output_tokens // LIMIT_TO_MEAN


UNSENT: Mapping[SendEnding, bool] = {
    SendEnding.unreachable: True,
    SendEnding.gone: True,
    SendEnding.unused: True,
}
