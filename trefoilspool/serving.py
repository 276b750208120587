"""Attempts of one request at endpoints, and the relay of its answer."""

import time
from collections.abc import Generator, Iterator, Mapping

from returns.result import Failure, Result, Success

from trefoilspool.callerrors import (
    DeadlineAfterSendError,
    OverLimitError,
)
from trefoilspool.connections import EndpointConnection
from trefoilspool.dialect import CallerRequest, Dialect, OutboundRequest
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
from trefoilspool.routedrequests import (
    AttemptFailure,
    OpenedAnswer,
    RoutedRequest,
    Slot,
)
from trefoilspool.routing import Repeats
from trefoilspool.slotclient import SlotClient
from trefoilspool.slotmessages import (
    AttemptEnding,
    Granted,
    RefusalReason,
    Refused,
    SlotRelease,
    SlotRequest,
)
from trefoilspool.telemetry import Metrics, log_decision
from trefoilspool.watch import Unwatch, Watch, WatchTask

__all__ = ['RequestExecution', 'RequestServer']

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


class RequestServer:
    """Makes servings; shared by all requests.

    Parameters
    ----------
    slot_client : SlotClient
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
        slot_client: SlotClient,
        directory: Directory,
        exchange: Exchange,
        watch: WatchTask,
        metrics: Metrics,
        data_centre: str,
    ) -> None:
        self.slot_client = slot_client
        self.directory = directory
        self.exchange = exchange
        self.watch = watch
        self.metrics = metrics
        self.data_centre = data_centre

    @property
    def dialect(self) -> Dialect:
        """Return how requests are spelt."""
        return self.exchange.dialect

    def serve(self, request: RoutedRequest) -> Result[Answer, Problem]:
        """Serve an order."""
        return RequestExecution(self, request).run()


class RequestExecution:
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

    def __init__(self, server: RequestServer, request: RoutedRequest) -> None:
        self.server = server
        self.request = request
        self.sends = 0
        self.unsent = 0
        self.may_have_run = False
        self.avoid: tuple[str, ...] = ()
        self.last_event = request.call.resume_after
        self.sent_at = 0.0
        self.number = 0
        self.first_s = 0.0
        self.events = 0
        self.decode_from = 0.0
        self.last_fault: AttemptFailure | None = None

    def run(self) -> Result[Answer, Problem]:
        """Return the answer, or the problem that is final."""
        try:
            opened = self.open()
        except Problem as problem:
            self.settle(problem.status, problem.slug, problem.detail)
            return Failure(problem)
        return Success(self.answer(opened))

    def open(self) -> OpenedAnswer:
        """Attempt until an answer begins.

        Raises
        ------
        Problem
            There is no answer, and none may follow.
        """
        while True:
            slot = self.acquire()
            found = self.attempt(slot)
            if isinstance(found, OpenedAnswer):
                return found
            self.note(slot, found)
            if not self.may_follow(found):
                return self.give_up(found)

    def acquire(self) -> Slot:
        """Get a place.

        Raises
        ------
        Problem
            There is none.
        """
        request = self.request
        now = time.monotonic()
        ask = SlotRequest(
            key=self.server.slot_client.new_key(),
            service=request.service,
            workspace=request.workspace,
            rank=request.rank,
            prompt_tokens=request.call.prompt_tokens,
            output_tokens=expected_tokens(request.call),
            aim=request.arrived + request.route.aim_s,
            deadline=request.deadline,
            asked=request.arrived,
            avoid=self.avoid,
            attempt=self.sends + 1,
            parts=request.call.parts,
            streams=request.route.streams,
            charge=request.charge,
            data_centre=self.server.data_centre,
            repeatable=request.route.repeats is not Repeats.never,
        )
        self.number = ask.key.number
        decision = self.server.slot_client.acquire(ask, request.gone)
        if isinstance(decision, Refused):
            raise self.refused(decision)
        log_decision(
            'grant',
            request.call.request_id,
            endpoint=decision.endpoint,  # type: ignore[union-attr]
            place=ask.key.number,
            waited_s=round(time.monotonic() - now, 4),
            attempt=ask.attempt,
        )
        assert isinstance(decision, Granted)
        return Slot(ask.key, decision.endpoint)

    def refused(self, decision: Refused) -> Problem:
        """Return the problem of a request that gets no place."""
        if self.request.gone():
            return CallerGoneError('the caller hung up')
        if self.last_fault is not None and self.may_have_run:
            fault = self.last_fault
            why = f'{fault.detail}; no second place: {decision.reason.name}'
            return self.failed(fault._replace(detail=why))
        if decision.reason is RefusalReason.over_limit and not self.sends:
            return OverLimitError(
                f'workspace {self.request.workspace} is over its limit',
                decision.retry_after,
            )
        return OverloadedError(
            f'no place: {decision.reason.name}',
            decision.retry_after,
        )

    def attempt(self, slot: Slot) -> OpenedAnswer | AttemptFailure:
        """Send the request to a place's endpoint."""
        request = self.request
        endpoint = self.server.directory.get(slot.endpoint)
        if endpoint is None:
            return AttemptFailure(
                AttemptEnding.gone, False, 'the endpoint has left'
            )
        left = request.deadline - time.monotonic()
        if left < MIN_LEFT_S:
            return AttemptFailure(
                AttemptEnding.unused, False, 'the deadline has passed'
            )
        once = request.route.repeats is Repeats.never
        try:
            link = self.server.exchange.connect(
                endpoint.address,
                endpoint.port,
                FRESH_ONCE_S if once else FRESH_S,
            )
        except EndpointRefusedConnectionError as error:
            return AttemptFailure(AttemptEnding.unreachable, False, str(error))
        except ConnectFailedError as error:
            return AttemptFailure(AttemptEnding.unreachable, False, str(error))
        return self.send(slot, link)

    def send(
        self, slot: Slot, link: EndpointConnection
    ) -> OpenedAnswer | AttemptFailure:
        """Send on an open connection and read the first of the answer."""
        request = self.request
        number = slot.key.number
        self.server.watch.post(
            Watch(number, request.gone, request.deadline, link.abort),
        )
        self.sends += 1
        sent_at = time.monotonic()
        self.sent_at = sent_at
        self.first_s = 0.0
        left = request.deadline - sent_at
        message = OutboundRequest(
            request.call,
            slot.endpoint,
            request.workspace,
            left,
            self.last_event,
        )
        try:
            raw = self.server.exchange.send(
                link,
                message,
                self.silence_s(FIRST_SILENCE_S),
            )
            return self.judge(slot, raw, sent_at)
        except SendFailedError as error:
            self.unwatch(slot)
            return AttemptFailure(AttemptEnding.broken, True, str(error))
        except StreamCutError as error:
            self.unwatch(slot)
            return AttemptFailure(AttemptEnding.broken, True, str(error))

    def silence_s(self, patience_s: float) -> float:
        """Return the seconds after which a silent endpoint is given up.

        Where no other may follow, that is when the deadline has passed.
        """
        request = self.request
        left = request.deadline - time.monotonic() + READ_SLACK_S
        if request.route.repeats is Repeats.never:
            return left
        if self.sends >= request.route.max_attempts:
            return left
        return min(left, patience_s)

    def unwatch(self, slot: Slot) -> None:
        """Stop to watch an attempt."""
        self.server.watch.post(Unwatch(slot.key.number))

    def judge(
        self,
        slot: Slot,
        raw: RawAnswer,
        sent_at: float,
    ) -> OpenedAnswer | AttemptFailure:
        """Tell an answer from a fault by its head."""
        head = raw.head
        is_good = head.status <= LAST_GOOD_STATUS
        if head.not_run or head.other:
            self.unwatch(slot)
            raw.discard()
            ending = AttemptEnding.gone if head.other else AttemptEnding.refused
            return AttemptFailure(
                ending, False, f'status {head.status}, not run'
            )
        if head.encoded or not head.proven:
            self.unwatch(slot)
            raw.close()
            return AttemptFailure(
                AttemptEnding.broken,
                True,
                f'status {head.status} without proof',
            )
        if is_good and self.request.route.streams:
            return self.first_event(slot, raw, sent_at)
        body = raw.body()
        self.unwatch(slot)
        self.first_s = time.monotonic() - sent_at
        opened = OpenedAnswer(slot, raw, body, None, sent_at)
        if head.status >= SERVER_ERROR:
            return AttemptFailure(
                AttemptEnding.failed,
                True,
                f'status {head.status}',
                opened,
            )
        return opened

    def first_event(
        self,
        slot: Slot,
        raw: RawAnswer,
        sent_at: float,
    ) -> OpenedAnswer | AttemptFailure:
        """Read the first event of a stream."""
        rest = split_events(raw.pieces())
        first = next(rest, b'')
        raw.set_silence(self.silence_s(GAP_SILENCE_S))
        self.decode_from = time.monotonic()
        self.first_s = self.decode_from - sent_at
        return OpenedAnswer(slot, raw, first, rest, sent_at)

    def note(self, slot: Slot, fault: AttemptFailure) -> None:
        """Give a place back after a fault."""
        request = self.request
        ending = self.ending_of(fault)
        self.may_have_run = self.may_have_run or fault.may_have_run
        self.unsent += ending in UNSENT
        self.avoid = (*self.avoid, slot.endpoint)
        self.last_fault = fault
        if fault.ending is AttemptEnding.gone:
            self.server.directory.on_gone(slot.endpoint)
        self.end(slot, ending)
        log_decision(
            'fault',
            request.call.request_id,
            endpoint=slot.endpoint,
            ending=ending.name,
            may_have_run=fault.may_have_run,
            detail=fault.detail,
            attempt=self.sends,
            left_s=round(request.deadline - time.monotonic(), 3),
        )

    def ending_of(self, fault: AttemptFailure) -> AttemptEnding:
        """Return what a fault says of the endpoint.

        Where the caller or the deadline ended the attempt it says nothing,
        unless the endpoint had been silent for long.
        """
        now = time.monotonic()
        ended_here = self.request.gone()
        if now >= self.request.deadline and fault.may_have_run:
            ended_here = True
        if not ended_here:
            return fault.ending
        if fault.may_have_run and not self.first_s:
            if now - self.sent_at >= SILENT_S:
                return AttemptEnding.silent
        return AttemptEnding.cancelled

    def end(self, slot: Slot, ending: AttemptEnding) -> None:
        """Tell the desk how a place was used."""
        decode_s = 0.0
        if self.events:
            decode_s = time.monotonic() - self.decode_from
        self.server.slot_client.end(
            SlotRelease(
                slot.key,
                ending,
                slot.endpoint,
                self.first_s,
                self.events,
                decode_s,
                self.request.call.prompt_tokens,
            )
        )

    def may_follow(self, fault: AttemptFailure) -> bool:
        """Tell whether another attempt may follow a fault."""
        request = self.request
        if request.gone() or time.monotonic() >= request.deadline:
            return False
        if fault.may_have_run and request.route.repeats is Repeats.never:
            return False
        if fault.ending in UNSENT:
            return self.unsent <= MAX_UNSENT
        return self.sends < request.route.max_attempts

    def give_up(self, fault: AttemptFailure) -> OpenedAnswer:
        """Pass on an endpoint's own failure, or say what is known.

        Raises
        ------
        Problem
            There is no answer to pass on.
        """
        if fault.answer is not None:
            return fault.answer
        if self.request.gone():
            raise CallerGoneError('the caller hung up')
        raise self.failed(fault)

    def failed(self, fault: AttemptFailure) -> Problem:
        """Return the truthful problem of a request without an answer."""
        if not self.may_have_run:
            return OverloadedError(f'not run: {fault.detail}', RETRY_S)
        if time.monotonic() >= self.request.deadline:
            return DeadlineAfterSendError(
                'the deadline passed before an answer'
            )
        if fault.ending is AttemptEnding.failed:
            return EndpointFailedError(fault.detail)
        return MayHaveRunError(fault.detail)

    def answer(self, opened: OpenedAnswer) -> Answer:
        """Return the caller's answer."""
        head = opened.raw.head
        headers = list(head.headers)
        if opened.rest is not None:
            return Answer(head.status, tuple(headers), self.relay(opened))
        headers.append(('Content-Length', str(len(opened.body))))
        if head.status < SERVER_ERROR:
            self.end(opened.slot, AttemptEnding.completed)
        self.settle(head.status, 'answered', '', opened.slot.endpoint)
        return Answer(head.status, tuple(headers), iter((opened.body,)))

    def relay(self, opened: OpenedAnswer) -> Iterator[bytes]:
        """Yield a stream's events; goes on elsewhere where that may be.

        Raises
        ------
        CutAnswerError
            The stream ends before its end.
        """
        cut: AttemptFailure | None = None
        while True:
            if cut is not None:
                opened = self.resume(opened, cut)
            cut = yield from self.relay_one(opened)
            if cut is None:
                return

    def relay_one(
        self,
        opened: OpenedAnswer,
    ) -> Generator[bytes, None, AttemptFailure | None]:
        """Yield one endpoint's events; return a fault if they were cut."""
        ending = AttemptEnding.cancelled
        try:
            yield from self.events_of(opened)
            ending = AttemptEnding.completed
        except StreamCutError as error:
            ending = AttemptEnding.broken
            return AttemptFailure(ending, may_have_run=True, detail=str(error))
        finally:
            if ending is not AttemptEnding.broken:
                self.close(opened, ending)
        return None

    def close(self, opened: OpenedAnswer, ending: AttemptEnding) -> None:
        """Settle a stream."""
        self.unwatch(opened.slot)
        if ending is not AttemptEnding.completed:
            opened.raw.close()
        self.end(opened.slot, ending)
        self.settle(
            opened.raw.head.status,
            ending.name,
            '',
            opened.slot.endpoint,
        )

    def events_of(self, opened: OpenedAnswer) -> Iterator[bytes]:
        """Yield the events that the caller lacks."""
        if opened.body:
            yield from self.counted(opened.body)
        for event in opened.rest or ():
            yield from self.counted(event)

    def counted(self, event: bytes) -> Iterator[bytes]:
        """Yield an event unless the caller has it."""
        number = self.server.dialect.event_number(event)
        self.events += 1
        if number is not None:
            if number <= self.last_event:
                return
            self.last_event = number
        yield event

    def resume(
        self, opened: OpenedAnswer, fault: AttemptFailure
    ) -> OpenedAnswer:
        """Go on with a cut stream at another endpoint.

        Raises
        ------
        CutAnswerError
            That may not be, or there is none.
        """
        request = self.request
        self.unwatch(opened.slot)
        self.note(opened.slot, fault)
        self.events = 0
        if request.route.repeats is Repeats.resumed and self.may_follow(fault):
            try:
                return self.open()
            except Problem as problem:
                fault = fault._replace(detail=problem.detail)
        self.settle(
            opened.raw.head.status,
            'cut',
            fault.detail,
            opened.slot.endpoint,
        )
        raise CutAnswerError(
            f'stream of {request.call.request_id} ends early: {fault.detail}',
        )

    def settle(
        self,
        status: int,
        outcome: str,
        detail: str,
        endpoint: str = '',
    ) -> None:
        """Log and count the end of a request."""
        request = self.request
        took = time.monotonic() - request.arrived
        log_decision(
            'settle',
            request.call.request_id,
            outcome=outcome,
            status=status,
            detail=detail,
            endpoint=endpoint,
            route=request.route.name,
            service=request.service,
            workspace=request.workspace,
            rank=request.rank,
            version=request.version,
            place=self.number,
            attempts=self.sends,
            first_s=round(self.first_s, 4),
            took_s=round(took, 4),
            left_s=round(request.deadline - time.monotonic(), 3),
            prompt_tokens=request.call.prompt_tokens,
            output_tokens=request.call.output_tokens,
            expected_tokens=request.call.expected_tokens,
            events=self.events,
        )
        labels = f'service="{request.service}",rank="{request.rank}"'
        self.server.metrics.count(
            f'trefoilspool_requests_total{{{labels},outcome="{outcome}",'
            f'status="{status}"}}',
        )
        self.server.metrics.record('trefoilspool_request_seconds', labels, took)
        if self.first_s:
            self.server.metrics.record(
                'trefoilspool_first_byte_seconds', labels, self.first_s
            )


def expected_tokens(call: CallerRequest) -> int:
    """Return the tokens that an answer will probably have."""
    if call.expected_tokens:
        return min(call.expected_tokens, call.output_tokens)
    return call.output_tokens // LIMIT_TO_MEAN


UNSENT: Mapping[AttemptEnding, bool] = {
    AttemptEnding.unreachable: True,
    AttemptEnding.gone: True,
    AttemptEnding.unused: True,
}
