"""Replacement of an attempt whose endpoint is silent."""

from collections.abc import Callable

from trefoilspool import clock
from trefoilspool.attempttimes import AttemptTimes
from trefoilspool.connections import first_readable
from trefoilspool.endpointattempts import (
    EndpointAttempts,
    SentAttempt,
    ending_after,
)
from trefoilspool.errors import (
    EndpointReplacedError,
    SendFailedError,
)
from trefoilspool.problems import Problem
from trefoilspool.readwait import ReadWait, give_up
from trefoilspool.requestprogress import RequestProgress
from trefoilspool.routedrequests import AttemptFailure, Slot
from trefoilspool.slotacquisition import SlotAcquirer
from trefoilspool.slotmessages import AttemptEnding
from trefoilspool.telemetry import log_decision

__all__ = ['Replacer']

# Time in which the endpoint of a replacement may refuse it, or the silent one
# go on, before the silent attempt is closed. Two endpoints must not process a
# request for much longer.
HANDOVER_S = 0.25
# Time to read bytes that have arrived, after a suspension for example.
RESUMED_READ_S = 0.1
# After a replacement in vain, the next one is sought this much later.
REPLACEMENT_INTERVAL_S = 0.5

FailureRecorder = Callable[[Slot, AttemptFailure, AttemptTimes], None]


class Replacer:
    """Replaces silent attempts of one request; owned by its thread.

    A sound endpoint may be silent for a while and go on. Therefore its attempt
    is kept until another endpoint has taken the request.

    Parameters
    ----------
    progress : RequestProgress
        The request and its attempts so far.
    slots : SlotAcquirer
        Gets the slots of replacements.
    attempts : EndpointAttempts
        Sends replacements.
    record_failure : callable
        Called with the slot, the failure and the times of a replacement that
        failed.

    Attributes
    ----------
    pending : SentAttempt or None
        The replacement whose response has still to be read.
    """

    def __init__(
        self,
        progress: RequestProgress,
        slots: SlotAcquirer,
        attempts: EndpointAttempts,
        record_failure: FailureRecorder,
    ) -> None:
        self.progress = progress
        self.slots = slots
        self.attempts = attempts
        self.record_failure = record_failure
        self.pending: SentAttempt | None = None

    def take(self) -> SentAttempt | None:
        """Return the pending replacement, which is then no longer pending."""
        pending = self.pending
        self.pending = None
        return pending

    def on_silence(self, silent: SentAttempt, wait: ReadWait) -> float:
        """Try to replace a silent attempt.

        At-most-once requests and the last allowed attempt are waited for until
        the deadline.

        Parameters
        ----------
        silent : SentAttempt
            The attempt.
        wait : ReadWait
            The wait that has been in vain.

        Returns
        -------
        float
            The time until which the silent attempt is waited for, in seconds.

        Raises
        ------
        EndpointReplacedError
            When another endpoint has taken the request.
        TimeoutError
            When the request's time is over.
        """
        if self.is_over():
            return give_up(wait)
        if wait.has_resumed():
            return clock.now() + RESUMED_READ_S
        was_silent = not wait.is_dripping()
        if was_silent and not self.attempts.has_path(silent.slot.endpoint):
            # The path may come back, but others need not wait for it.
            self.slots.release(
                silent.slot, AttemptEnding.path_lost, silent.times
            )
        if not self.progress.may_replace():
            return self.progress.last_read
        self.pending = self.start(silent, wait)
        if self.pending is None:
            return self.progress.read_until(REPLACEMENT_INTERVAL_S, clock.now())
        log_decision(
            'silent_attempt_replaced',
            self.request_id,
            endpoint=silent.slot.endpoint,
            replacement=self.pending.slot.endpoint,
            silent_s=round(clock.now() - silent_since(silent, wait), 3),
        )
        raise EndpointReplacedError(
            f'{silent.slot.endpoint} was silent and has been replaced by '
            f'{self.pending.slot.endpoint}',
            was_silent=was_silent,
        )

    def is_over(self) -> bool:
        """Return whether the deadline has passed or the caller has gone."""
        request = self.progress.request
        return clock.now() >= request.deadline or request.client_disconnected()

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.progress.request.caller_request.request_id

    def start(self, silent: SentAttempt, wait: ReadWait) -> SentAttempt | None:
        """Return a replacement that an endpoint has taken, None without one."""
        try:
            slot = self.slots.acquire(
                (silent.slot.endpoint,), is_unneeded=wait.has_resumed
            )
        except Problem as problem:
            log_decision(
                'silent_attempt_kept',
                self.request_id,
                endpoint=silent.slot.endpoint,
                reason=problem.detail,
            )
            return None
        sent = self.attempts.begin(slot)
        if isinstance(sent, AttemptFailure):
            self.record_failure(slot, sent, AttemptTimes())
            return None
        return self.taken(sent, wait)

    def taken(self, sent: SentAttempt, wait: ReadWait) -> SentAttempt | None:
        """Return the replacement unless it is refused or no longer needed."""
        ends_at = clock.now() + HANDOVER_S
        connections = [sent.connection]
        if not wait.is_dripping():
            connections.append(wait.connection)
        first = first_readable(connections, HANDOVER_S)
        if first is wait.connection and wait.connection.has_bytes():
            self.drop(sent)
            return None
        if first is not sent.connection:
            return sent
        return self.read_head(sent, wait, ends_at)

    def read_head(
        self, sent: SentAttempt, silent_wait: ReadWait, ends_at: float
    ) -> SentAttempt | None:
        """Read the head of the response to a replacement.

        The silent attempt is closed if that takes until ``ends_at``.

        Returns
        -------
        SentAttempt or None
            The replacement with its response, or what has replaced it in
            turn; None if it failed.
        """

        def close_silent(sent: SentAttempt, wait: ReadWait) -> float:
            silent_wait.connection.abort()
            wait.on_silence = lambda wait: self.on_silence(sent, wait)
            return self.attempts.first_byte_due(sent)

        try:
            response = self.attempts.read_head(sent, close_silent, ends_at)
        except EndpointReplacedError as error:
            failure = AttemptFailure(ending_after(error), True, str(error))
            self.fail(sent, failure)
            return self.pending
        except SendFailedError as error:
            failure = AttemptFailure(AttemptEnding.broken, True, str(error))
        else:
            response.wait.on_silence = lambda wait: self.on_silence(sent, wait)
            refusal = self.attempts.refusal(response)
            if refusal is None:
                return sent._replace(response=response)
            failure = refusal
        self.fail(sent, failure)
        return None

    def fail(self, sent: SentAttempt, failure: AttemptFailure) -> None:
        """Record the failure of a replacement."""
        self.attempts.unwatch(sent.slot)
        self.record_failure(sent.slot, failure, sent.times)

    def drop(self, sent: SentAttempt) -> None:
        """Cancel a replacement, as the silent endpoint goes on."""
        self.progress.may_have_run = True
        self.attempts.unwatch(sent.slot)
        sent.connection.abort()
        sent.connection.close()
        self.slots.release(sent.slot, AttemptEnding.cancelled, sent.times)
        log_decision(
            'replacement_dropped',
            self.request_id,
            endpoint=sent.slot.endpoint,
        )


def silent_since(silent: SentAttempt, wait: ReadWait) -> float:
    """Return when an endpoint was last heard, in seconds."""
    return max(silent.times.sent_at, wait.received_at)
