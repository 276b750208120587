"""Slots for the attempts of one request, from the request to the release."""

from collections.abc import Callable

from trefoilspool import clock
from trefoilspool.attempttimes import AttemptTimes
from trefoilspool.callerrors import OverLimitError, QuarantinedError
from trefoilspool.dialect import CallerRequest
from trefoilspool.directory import Directory
from trefoilspool.paths.table import PathTable
from trefoilspool.problems import (
    CallerGoneError,
    OverloadedError,
    Problem,
)
from trefoilspool.quietperiods import QuietPeriods
from trefoilspool.requestprogress import RETRY_AFTER_S, RequestProgress
from trefoilspool.rollouts.gate import pace_s
from trefoilspool.routedrequests import Slot
from trefoilspool.routing import RepeatPolicy
from trefoilspool.slotclient import SlotClient
from trefoilspool.slotmessages import (
    AttemptEnding,
    Granted,
    RefusalReason,
    Refused,
    SlotDecision,
    SlotKey,
    SlotRelease,
    SlotRequest,
)
from trefoilspool.streamorigins import UNKNOWN
from trefoilspool.telemetry import log_decision

__all__ = ['SlotAcquirer']

# Ratio of the output limit to the estimated length of a response; most
# responses are far shorter than their limit.
OUTPUT_LIMIT_TO_MEAN = 8


def never() -> bool:
    """Return False: the slot remains wanted."""
    return False


class SlotAcquirer:
    """Asks for the slots of one request and releases them.

    Parameters
    ----------
    progress : RequestProgress
        The request and its attempts so far.
    slot_client : SlotClient
        Acquires and releases slots.
    directory : Directory
        Endpoints by name.
    quiet_periods : QuietPeriods
        Endpoints that get no requests of this host for a while.
    path_table : PathTable
        Endpoints to which no path leads from this host.
    data_centre : str
        Data centre of this host.

    Attributes
    ----------
    held : dict
        Slots that have not been released, by key.
    """

    def __init__(
        self,
        progress: RequestProgress,
        slot_client: SlotClient,
        directory: Directory,
        quiet_periods: QuietPeriods,
        path_table: PathTable,
        data_centre: str,
    ) -> None:
        self.progress = progress
        self.request = progress.request
        self.slot_client = slot_client
        self.directory = directory
        self.quiet_periods = quiet_periods
        self.path_table = path_table
        self.data_centre = data_centre
        self.held: dict[SlotKey, Slot] = {}

    def acquire(
        self,
        avoid: tuple[str, ...] = (),
        is_unneeded: Callable[[], bool] = never,
    ) -> Slot:
        """Acquire a slot for the next attempt.

        Parameters
        ----------
        avoid : tuple of str
            Endpoints that may not get it, besides those that have failed.
        is_unneeded : callable
            Returns whether the slot is no longer wanted.

        Raises
        ------
        Problem
            When none is granted.
        """
        started = clock.now()
        barred = self.barred_endpoints(started)
        slot_request = self.slot_request(
            (*self.progress.avoid, *avoid, *barred, *self.unverified()), started
        )
        self.progress.slot_number = slot_request.key.number
        decision = self.decide(slot_request, barred, is_unneeded)
        rollouts = self.slot_client.rollouts
        if isinstance(decision, Refused):
            rollouts.on_refused(slot_request.service, slot_request.version_rule)
            raise self.refusal_problem(decision)
        assert isinstance(decision, Granted)
        now = clock.now()
        rollouts.on_granted(
            slot_request.service,
            slot_request.version_rule,
            self.slot_client.used_endpoint(
                slot_request.service, decision.endpoint
            ),
        )
        log_decision(
            'grant',
            self.request.caller_request.request_id,
            endpoint=decision.endpoint,
            place=slot_request.key.number,
            waited_s=round(now - started, 4),
            attempt=slot_request.attempt,
            software=slot_request.software,
        )
        slot = Slot(
            slot_request.key,
            decision.endpoint,
            now,
            self.slot_client.run(decision.endpoint).started_ms,
            decision.is_probe,
            self.known_software(decision),
        )
        self.held[slot.key] = slot
        return slot

    def known_software(self, granted: Granted) -> str:
        """Return the version that a granted endpoint runs, if this is certain.

        Either of the two hosts may not have read that it has started again.
        """
        run = self.slot_client.run(granted.endpoint)
        is_certain = (
            granted.is_verified
            and granted.names(run)
            and self.slot_client.is_verified(granted.endpoint)
        )
        if not is_certain:
            return UNKNOWN
        return self.slot_client.software(granted.endpoint)

    def slot_request(self, avoid: tuple[str, ...], now: float) -> SlotRequest:
        """Return the slot request of the next attempt."""
        request = self.request
        return SlotRequest(
            key=self.slot_client.new_key(),
            service=request.service,
            workspace=request.workspace,
            rank=request.rank,
            prompt_tokens=request.caller_request.prompt_tokens,
            output_tokens=expected_tokens(request.caller_request),
            first_byte_due=request.arrived_at + request.route.target_latency_s,
            deadline=request.deadline,
            arrived_at=request.arrived_at,
            avoid=tuple(dict.fromkeys(avoid)),
            attempt=self.progress.sent_attempts + 1,
            prompt_prefixes=request.caller_request.prompt_prefixes,
            streams=request.route.streams,
            charge=request.charge,
            data_centre=self.data_centre,
            repeatable=request.route.repeats is not RepeatPolicy.never,
            fingerprint=request.fingerprint,
            software=self.progress.software,
            version_rule=self.slot_client.rollouts.rule(
                request.service, self.progress.software, now
            ),
        )

    def decide(
        self,
        slot_request: SlotRequest,
        barred: dict[str, float],
        is_unneeded: Callable[[], bool],
    ) -> SlotDecision:
        """Return the decision on a slot request.

        If no endpoint of the service may get the request, it is refused here,
        until the first one may get requests again.
        """
        names = self.directory.names(slot_request.service, slot_request.allows)
        if not names or set(names) - set(slot_request.avoid):
            return self.slot_client.acquire(
                slot_request,
                lambda: self.request.client_disconnected() or is_unneeded(),
            )
        wait = min(barred.values(), default=RETRY_AFTER_S)
        log_decision(
            'no_endpoint',
            self.request.caller_request.request_id,
            barred=barred,
            failed=self.progress.avoid,
            retry_after_s=round(wait, 3),
        )
        return Refused(slot_request.key, RefusalReason.no_endpoint, wait)

    def barred_endpoints(self, now: float) -> dict[str, float]:
        """Return the service's endpoints that get no requests of this host.

        They want none of it, or no path leads there.

        Returns
        -------
        dict
            Seconds left, by endpoint.
        """
        names = self.directory.names(self.request.service)
        return {
            **self.path_table.unreachable(
                (self.slot_client.run(name) for name in names), now
            ),
            **self.quiet_periods.quiet(names, now),
        }

    def unverified(self) -> list[str]:
        """Return the endpoints at which a begun stream may not go on.

        They may run another version than their records name.
        """
        if self.progress.software is None:
            return []
        names = self.directory.names(self.request.service)
        return [
            name for name in names if not self.slot_client.is_verified(name)
        ]

    def refusal_problem(self, decision: Refused) -> Problem:
        """Return the problem of a request that was refused a slot."""
        if self.request.client_disconnected():
            return CallerGoneError('the caller closed its connection')
        progress = self.progress
        if progress.last_failure is not None and progress.may_have_run:
            failure = progress.last_failure
            detail = (
                f'{failure.detail}; no slot for a retry: {decision.reason.name}'
            )
            return progress.problem(
                failure._replace(detail=detail), clock.now()
            )
        if decision.reason is RefusalReason.quarantined:
            part = self.slot_client.quarantine.covered(self.request.parts)
            return QuarantinedError(part, decision.retry_after)
        over_limit = decision.reason is RefusalReason.over_limit
        if over_limit and not progress.sent_attempts:
            return OverLimitError(
                f'workspace {self.request.workspace} is over its limit',
                decision.retry_after,
            )
        return OverloadedError(
            f'no slot: {decision.reason.name}',
            decision.retry_after,
        )

    def release_held(self) -> None:
        """Release all slots after an unexpected error."""
        for slot in list(self.held.values()):
            self.release(slot, AttemptEnding.cancelled, AttemptTimes())

    def release(
        self,
        slot: Slot,
        ending: AttemptEnding,
        times: AttemptTimes,
        *,
        is_down: bool = False,
    ) -> None:
        """Release a slot, if it is held, and report how its attempt ended.

        Parameters
        ----------
        slot : Slot
            The slot.
        ending : AttemptEnding
            How its attempt ended.
        times : AttemptTimes
            When the parts of the response arrived.
        is_down : bool
            Whether the endpoint refused a connection.
        """
        if self.held.pop(slot.key, None) is None:
            return
        now = clock.now()
        if ending is AttemptEnding.broken:
            if times.has_hardly_begun(now):
                self.report_crash(slot, now)
            self.slot_client.check_end(slot.run, slot.key.number)
        self.slot_client.rollouts.on_end(
            self.request.service,
            self.request.route.name,
            slot.endpoint,
            ending,
            times.first_byte_s,
            pace_s(times.event_count, times.decode_s(now)),
            now,
        )
        self.slot_client.release(
            SlotRelease(
                slot.key,
                ending,
                slot.endpoint,
                times.first_byte_s,
                times.event_count,
                times.decode_s(now),
                self.request.caller_request.prompt_tokens,
                is_down,
            )
        )

    def on_first_event(self, slot: Slot) -> None:
        """Record that the stream of a slot has begun."""
        self.slot_client.on_first_event(slot.key.number, self.progress.times)

    def report_crash(self, slot: Slot, now: float) -> None:
        """Report an attempt that ended, it seems, with its endpoint."""
        log_decision(
            'attempt_crashed',
            self.request.caller_request.request_id,
            endpoint=slot.endpoint,
            run=slot.started_ms,
            parts=self.request.parts,
            place=slot.key.number,
        )
        self.slot_client.report_crash(
            slot.run, self.request.parts, slot.key.number, now
        )


def expected_tokens(request: CallerRequest) -> int:
    """Return the estimated length of a response in tokens."""
    if request.expected_tokens:
        return min(request.expected_tokens, request.output_tokens)
    return request.output_tokens // OUTPUT_LIMIT_TO_MEAN
