"""The entry host's client of the slot scheduler, with the slots it holds."""

import itertools
import queue
import random
import threading
from collections.abc import Callable
from typing import NamedTuple

import logbook

from trefoilspool import clock
from trefoilspool.attempttimes import AttemptTimes
from trefoilspool.crashevidence import CrashReport
from trefoilspool.crashreports import CrashReports
from trefoilspool.departures import EndpointRun
from trefoilspool.endchecks import SuspectedEnd
from trefoilspool.endpointlimits import EndpointLimits
from trefoilspool.localchoice import RETRY_AFTER_S, LocalChoice
from trefoilspool.peers import PeerRegistry
from trefoilspool.quarantine import Quarantine
from trefoilspool.rollouts.evidence import GROUPS, OTHERS, UsedEndpoint
from trefoilspool.rollouts.gate import RolloutGate
from trefoilspool.runverification import DownRuns
from trefoilspool.servedreports import ServedLog, ServedReport
from trefoilspool.slotmessages import (
    SERVED_STREAMING_S,
    AttemptEnding,
    Granted,
    HeldSlot,
    Queued,
    RefusalReason,
    Refused,
    SlotDecision,
    SlotKey,
    SlotRelease,
    SlotRequest,
    has_streamed,
)
from trefoilspool.stalls import MIN_STALL_S

__all__ = ['SlotClient']

REPLY_TIMEOUT_S = 0.03  # a home host replies in about 2 ms
QUEUED_TIMEOUT_S = 0.1
# A request younger than this is decided locally after one lost home host, to
# keep its delay short.
SECOND_HOME_AGE_S = 0.1
FIRST_NUMBER_BITS = 40  # random start: keys do not repeat after a restart

logger = logbook.Logger('places')

MessageSender = Callable[[str, object], None]


class ResendPolicy(NamedTuple):
    """When a slot request is resent, and when the home host counts as lost.

    Attributes
    ----------
    interval_s : float
        Seconds after which a slot request is resent, as datagrams may be lost.
    max_timeouts : int
        Intervals without a reply after which the home host counts as lost.
    """

    interval_s: float
    max_timeouts: int


FIRST_RESEND = ResendPolicy(REPLY_TIMEOUT_S, 2)
QUEUED_RESEND = ResendPolicy(QUEUED_TIMEOUT_S, 3)


class GrantedSlot:
    """A slot that this host holds.

    Attributes
    ----------
    times : AttemptTimes or None
        Times of its stream, once that has begun.
    """

    def __init__(self, ask: SlotRequest, endpoint: str, now: float) -> None:
        self.ask = ask
        self.endpoint = endpoint
        self.granted_at = now
        self.times: AttemptTimes | None = None

    def streaming_s(self) -> float:
        """Return the seconds from the first event to the last one so far."""
        if self.times is None:
            return 0
        return self.times.last_event_at - self.times.first_event_at


class SlotClient:
    """Gets slots for this host's requests and tracks the held ones.

    The home host grants the slots. If it does not reply, the client chooses
    endpoints itself.

    Parameters
    ----------
    host : str
        This host.
    peers : PeerRegistry
        The known hosts.
    send_message : callable
        Sends a slot request, a release or a crash report to a host's address.
    quarantine : Quarantine, optional
        Prompt parts that get no endpoint.
    limits : EndpointLimits, optional
        Limits that endpoints have named.

    Attributes
    ----------
    choice : LocalChoice
        Chooses endpoints while no home host replies.
    on_suspected_end : callable
        Called with each attempt that broke, to check its endpoint.
    down_runs : DownRuns
        Runs that this host has found to be down.
    rollouts : RolloutGate
        The roll-outs that this host knows.
    """

    def __init__(
        self,
        host: str,
        peers: PeerRegistry,
        send_message: MessageSender,
        quarantine: Quarantine | None = None,
        limits: EndpointLimits | None = None,
    ) -> None:
        self.host = host
        self.peers = peers
        self.send_message = send_message
        self.quarantine = quarantine or Quarantine()
        self.choice = LocalChoice(
            peers, self.quarantine, limits or EndpointLimits()
        )
        self.crash_reports = CrashReports()
        self.on_suspected_end: Callable[[SuspectedEnd], None] = lambda _: None
        self.served_log = ServedLog(clock.now())
        self.down_runs = DownRuns()
        self.rollouts = RolloutGate()
        self.lock = threading.Lock()
        self.attempt_numbers = itertools.count(
            random.getrandbits(FIRST_NUMBER_BITS)
        )
        self.pending: dict[int, queue.SimpleQueue[SlotDecision]] = {}
        self.held: dict[int, GrantedSlot] = {}

    def new_key(self) -> SlotKey:
        """Return the key of a new attempt."""
        return SlotKey(self.host, next(self.attempt_numbers))

    def on_decision(self, address: str, decision: SlotDecision) -> None:
        """Pass on a decision, or release a slot that no request waits for."""
        inbox = self.pending.get(decision.key.number)
        if inbox is not None:
            inbox.put(decision)
        elif isinstance(decision, Granted):
            if decision.key.number not in self.held:
                self.send_message(
                    address, unused_release(decision.key, decision.endpoint)
                )

    def run(self, endpoint: str) -> EndpointRun:
        """Return an endpoint's run; its start is 0 if unknown."""
        spec = self.choice.available_endpoints.get(endpoint)
        return spec.run if spec else EndpointRun(endpoint, 0)

    def software(self, endpoint: str) -> str:
        """Return the version of an endpoint's software, empty if unknown."""
        spec = self.choice.available_endpoints.get(endpoint)
        return spec.software if spec else ''

    def is_verified(self, endpoint: str) -> bool:
        """Return whether an endpoint's record is of the run that serves.

        This host may have found it to be down when the home host has not.
        """
        return self.down_runs.is_verified(self.run(endpoint))

    def acquire(
        self, ask: SlotRequest, client_disconnected: Callable[[], bool]
    ) -> SlotDecision:
        """Wait for a slot; return the grant or the refusal.

        Parameters
        ----------
        ask : SlotRequest
            The slot request; its key is new.
        client_disconnected : callable
            Returns whether the caller has hung up.
        """
        number = ask.key.number
        inbox: queue.SimpleQueue[SlotDecision] = queue.SimpleQueue()
        self.pending[number] = inbox
        try:
            decision = self.request_decision(ask, inbox, client_disconnected)
        finally:
            del self.pending[number]
        if isinstance(decision, Granted):
            with self.lock:
                self.held[number] = GrantedSlot(
                    ask, decision.endpoint, clock.now()
                )
        return decision

    def request_decision(
        self,
        ask: SlotRequest,
        inbox: 'queue.SimpleQueue[SlotDecision]',
        client_disconnected: Callable[[], bool],
    ) -> SlotDecision:
        """Request a slot from the home host, else decide locally.

        A home host that does not reply is suspected, so that the next host in
        order becomes the home host. A request that has waited for at least
        ``SECOND_HOME_AGE_S`` is then sent to that one before it is decided
        locally.
        """
        for _ in range(2):
            home = self.peers.home()
            if home is None:
                break
            decision = self.request_from_home(
                home.address, ask, inbox, client_disconnected
            )
            if decision is not None:
                if isinstance(decision, Granted):
                    self.choice.on_home_grant(decision, clock.now())
                return decision
            self.peers.on_timeout(home.name, clock.now())
            logger.info(
                'home_silent',
                extra={'home': home.name, 'number': ask.key.number},
            )
            if clock.now() - ask.arrived_at < SECOND_HOME_AGE_S:
                break
        return self.choose_locally(ask)

    def choose_locally(self, ask: SlotRequest) -> SlotDecision:
        """Choose an endpoint without the home host."""
        return self.choice.choose(ask, self.own_counts(), clock.now())

    def request_from_home(
        self,
        address: str,
        ask: SlotRequest,
        inbox: 'queue.SimpleQueue[SlotDecision]',
        client_disconnected: Callable[[], bool],
    ) -> SlotDecision | None:
        """Send a slot request to the home host; return the decision.

        Returns
        -------
        SlotDecision or None
            The decision; None after `ResendPolicy.max_timeouts` intervals
            without a reply.
        """
        resend = FIRST_RESEND
        timeouts = 0
        self.send_message(address, ask)
        while timeouts < resend.max_timeouts:
            resume_by = clock.now() + resend.interval_s + MIN_STALL_S
            decision = next_decision(inbox, resend.interval_s)
            stood_still = clock.now() >= resume_by
            if client_disconnected():
                self.send_message(address, unused_release(ask.key))
                return Refused(ask.key, RefusalReason.hopeless, RETRY_AFTER_S)
            if stood_still and isinstance(decision, Granted):
                # The slot may have been taken back and granted again.
                self.send_message(
                    address, unused_release(ask.key, decision.endpoint)
                )
                decision = None
            if decision is None:
                # Only silence since this host went on tells of the home host.
                timeouts = 0 if stood_still else timeouts + 1
                self.send_message(address, ask)
            elif isinstance(decision, Queued):
                resend = QUEUED_RESEND
                timeouts = 0
            else:
                return decision
        return None

    def own_counts(self) -> dict[str, int]:
        """Return the number of slots that this host holds, by endpoint."""
        counts: dict[str, int] = {}
        with self.lock:
            for slot in self.held.values():
                counts[slot.endpoint] = counts.get(slot.endpoint, 0) + 1
        return counts

    def used_endpoint(self, service: str, name: str) -> UsedEndpoint:
        """Return what roll-outs count of an endpoint of a service."""
        target = self.rollouts.target(service)
        software = self.software(name)
        group = OTHERS
        if software == target:
            names = self.choice.names(service, target)
            group = names.index(name) % GROUPS if name in names else 0
        return UsedEndpoint(
            name, software, group, self.choice.seen_at.get(name, 0)
        )

    def count_others(self, service: str, target: str) -> int:
        """Return the slots held at other versions of a service than one."""
        with self.lock:
            held = list(self.held.values())
        return sum(
            slot.ask.service == service
            and self.software(slot.endpoint) != target
            for slot in held
        )

    def release(self, release: SlotRelease) -> None:
        """Release a slot."""
        with self.lock:
            slot = self.held.pop(release.key.number, None)
        if slot is not None and is_served(release):
            self.served_log.add(slot.ask.parts, slot.granted_at)
        home = self.peers.home()
        if home is not None:
            self.send_message(home.address, release)

    def on_first_event(self, number: int, times: AttemptTimes) -> None:
        """Record that the stream of a held slot has begun.

        Parameters
        ----------
        number : int
            Number of the attempt.
        times : AttemptTimes
            Its times, which the request's thread goes on to update.
        """
        slot = self.held.get(number)
        if slot is not None:
            slot.times = times

    def report_crash(
        self, run: EndpointRun, parts: tuple[str, ...], number: int, now: float
    ) -> None:
        """Report an attempt that ended with its endpoint to the home host."""
        self.send_report(self.crash_reports.add(run, parts, number, now))

    def check_end(self, run: EndpointRun, number: int) -> None:
        """Have it checked whether a run has ended under an attempt."""
        self.on_suspected_end(SuspectedEnd(run, number))

    def on_endpoint_down(self, number: int) -> None:
        """Report that the endpoint of a crashed attempt is down."""
        report = self.crash_reports.confirm(number, clock.now())
        if report is not None:
            self.send_report(report)

    def on_end_unknown(self, run: EndpointRun) -> None:
        """Note that a run, under which an attempt broke, cannot be reached.

        Other hosts may reach it, so they are not told.
        """
        self.down_runs.on_down(run, clock.now())

    def on_refused(self, run: EndpointRun) -> None:
        """Note, and tell the home host, that a run has refused a connection.

        It may have been for a check after an attempt broke, so that no slot
        is released with it.
        """
        self.down_runs.on_down(run, clock.now())
        home = self.peers.home()
        if home is not None:
            notice = unused_release(self.new_key(), run.name)
            self.send_message(home.address, notice._replace(is_down=True))

    def send_report(self, report: CrashReport) -> None:
        """Send a report to the home host; heartbeats repeat it."""
        home = self.peers.home()
        if home is not None:
            self.send_message(home.address, report)

    def served_report(self, now: float) -> ServedReport:
        """Return the prompt parts that this host saw served of late."""
        with self.lock:
            streaming = [
                slot
                for slot in self.held.values()
                if slot.streaming_s() > SERVED_STREAMING_S
            ]
        for slot in streaming:
            self.served_log.add(slot.ask.parts, slot.granted_at)
        return self.served_log.report(now)

    def held_slots(self) -> list[HeldSlot]:
        """Return all slots that this host holds."""
        now = clock.now()
        with self.lock:
            return [
                HeldSlot(
                    slot.ask.key,
                    slot.ask.service,
                    slot.endpoint,
                    slot.ask.prompt_tokens,
                    slot.ask.output_tokens,
                    now - slot.granted_at,
                    slot.streaming_s(),
                )
                for slot in self.held.values()
            ]


def is_served(release: SlotRelease) -> bool:
    """Return whether an attempt shows that its request can be served."""
    return release.ending is AttemptEnding.completed or has_streamed(release)


def next_decision(
    inbox: 'queue.SimpleQueue[SlotDecision]',
    timeout_s: float,
) -> SlotDecision | None:
    """Return the next decision, None after the timeout."""
    try:
        return inbox.get(timeout=timeout_s)
    except queue.Empty:
        return None


def unused_release(key: SlotKey, endpoint: str = '') -> SlotRelease:
    """Return the release of an unused slot or a withdrawn slot request."""
    return SlotRelease(key, AttemptEnding.unused, endpoint, 0, 0, 0, 0)
