"""Decides which requests get no endpoint: evidence, quarantine, probes.

A part is one of a request's prompt, or stands for the whole request.
"""

from collections import Counter
from collections.abc import Iterable
from enum import Enum, auto

from trefoilspool.crashevidence import CrashEvidence, CrashReport
from trefoilspool.culprits import NEVER, SUSPECT_PAUSE_S, Culprit
from trefoilspool.departures import EndpointRun
from trefoilspool.endpointload import Reservation
from trefoilspool.quarantine import Quarantine
from trefoilspool.quarantineprobes import ProbeSchedule
from trefoilspool.servedreports import ServedReport
from trefoilspool.slotmessages import (
    SERVED_STREAMING_S,
    UNSENT_ENDINGS,
    AttemptEnding,
    DecisionEvent,
    EndpointSpec,
    HeldSlot,
    SlotKey,
    SlotRelease,
    SlotRequest,
    has_streamed,
)

__all__ = ['GuardDecision', 'PromptGuard']

CHECK_INTERVAL_S = 0.1
IDLE_CHECK_INTERVAL_S = 0.5  # without new evidence
# A broken attempt with an event counts as a crash if the event came so shortly
# before.
MAX_START_S = 0.1
# A broken attempt that took longer may have timed out.
MAX_CRASH_AGE_S = 0.9
# A quarantine is lifted if nobody asks for its part for so long.
UNASKED_S = 60.0
# The evidence of a host that gets no requests for so long is out of date.
JUDGING_S = 2.0
# A host that gets no requests for so long is not the home host.
HOME_IDLE_S = 10.0

END_SIGNS = frozenset((AttemptEnding.unreachable, AttemptEnding.gone))


class GuardDecision(Enum):
    """Whether a request may get an endpoint, as far as its parts go.

    Attributes
    ----------
    waits
        Another request with the same suspect part is at an endpoint.
    probe
        It may, to test a quarantined part.
    """

    passes = auto()
    waits = auto()
    refused = auto()
    probe = auto()


class PromptGuard:
    """The home host's decisions on parts under which endpoints end.

    Parameters
    ----------
    quarantine : Quarantine
        This host's copy of the quarantined parts.

    Attributes
    ----------
    suspects : dict
        Parts of which one request at a time gets an endpoint, and the time
        before which none does, in seconds.
    unserved_grants : Counter
        Number of granted requests with a part that are not served yet.
    served_keys : set of SlotKey
        Granted requests that are known to be served.
    runs : dict
        Runs of the available endpoints, by name.
    asked_at : dict
        When a quarantined part was last asked for, in seconds.
    home_since, last_ask_at : float
        Since when the requests of all hosts have come to this one, and when the
        last came.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine
        self.evidence = CrashEvidence(quarantine)
        self.probes = ProbeSchedule(quarantine)
        self.suspects: dict[str, float] = {}
        self.unserved_grants: Counter[str] = Counter()
        self.served_keys: set[SlotKey] = set()
        self.runs: dict[str, EndpointRun] = {}
        self.asked_at: dict[str, float] = {}
        self.home_since = 0.0
        self.last_ask_at = float('-inf')
        self.checked_at = float('-inf')
        self.events: list[DecisionEvent] = []

    def take_events(self) -> list[DecisionEvent]:
        """Return the log events since the last call."""
        events = self.events
        self.events = []
        return events

    def on_endpoints(
        self, endpoints: Iterable[EndpointSpec], now: float
    ) -> None:
        """Note the available endpoints; runs that are not listed have ended."""
        endpoints = list(endpoints)
        runs = {spec.name: spec.run for spec in endpoints}
        for name, run in self.runs.items():
            if runs.get(name) != run:
                self.evidence.ends.on_run_ended(run, now)
        self.runs = runs
        self.evidence.on_services(
            {spec.name: spec.service for spec in endpoints}
        )

    def run(self, name: str) -> EndpointRun:
        """Return the present run of an endpoint."""
        return self.runs.get(name, EndpointRun(name, 0))

    def on_report(self, entry: str, report: CrashReport, now: float) -> None:
        """Take an entry host's report of an attempt that ended an endpoint."""
        self.evidence.on_report(entry, report, now)
        for part in self.suspects.keys() & set(report.parts):
            held_until = now - report.age_s + SUSPECT_PAUSE_S
            self.suspects[part] = max(self.suspects[part], held_until)

    def on_run_ended(self, run: EndpointRun, now: float) -> None:
        """Note a sign that a run has ended."""
        self.evidence.ends.on_run_ended(run, now)

    def decide(self, ask: SlotRequest, now: float) -> GuardDecision:
        """Return whether a request may get an endpoint now."""
        self.note_ask(now)
        self.tick(now)
        if not (self.quarantine.active_parts or self.suspects):
            return GuardDecision.passes
        covered = self.quarantine.active_parts.intersection(ask.parts)
        if covered:
            self.asked_at.update(dict.fromkeys(covered, now))
            if ask.repeatable and self.probes.due(covered, now):
                return GuardDecision.probe
            return GuardDecision.refused
        return (
            GuardDecision.waits
            if self.is_held_back(ask, now)
            else GuardDecision.passes
        )

    def is_held_back(self, ask: SlotRequest, now: float) -> bool:
        """Return whether a waiting request may not get an endpoint yet."""
        return any(
            self.unserved_grants[part] or now < self.suspects[part]
            for part in ask.parts
            if part in self.suspects
        )

    def note_ask(self, now: float) -> None:
        """Note that requests come to this host."""
        if now - self.last_ask_at > HOME_IDLE_S:
            self.home_since = now
            self.evidence.history.known_since = now
        self.last_ask_at = now

    def on_unheard(self, now: float) -> None:
        """Note that requests may go to a home host that this one cannot hear.

        Then it cannot know which parts nobody asks for.
        """
        self.home_since = now

    def on_granted(
        self, key: SlotKey, reservation: Reservation, now: float
    ) -> None:
        """Count a granted request."""
        self.unserved_grants.update(reservation.parts)
        if reservation.is_probe:
            parts = self.quarantine.active_parts.intersection(reservation.parts)
            self.probes.on_granted(key, parts)
            self.log('prompt_part_probed', parts, endpoint=reservation.endpoint)

    def on_freed(
        self, key: SlotKey, reservation: Reservation, now: float
    ) -> None:
        """Uncount a granted request; a probe without a result has failed."""
        if key in self.served_keys:
            self.served_keys.discard(key)
        else:
            self.uncount(reservation.parts)
        self.probes.on_failed(key, now)

    def uncount(self, parts: tuple[str, ...]) -> None:
        """Uncount a granted request that is served or has ended."""
        self.unserved_grants.subtract(parts)
        for part in parts:
            if not self.unserved_grants[part]:
                self.unserved_grants.pop(part, None)

    def on_held(
        self, held: HeldSlot, reservation: Reservation, now: float
    ) -> None:
        """Note a request whose stream has gone on for some time."""
        if held.streaming_s > SERVED_STREAMING_S:
            self.on_request_served(held.key, reservation, now)

    def on_release(
        self, release: SlotRelease, reservation: Reservation, now: float
    ) -> None:
        """Note how an attempt ended; called before its slot is freed."""
        run = reservation.run
        is_completed = release.ending is AttemptEnding.completed
        if is_completed:
            self.evidence.ends.on_run_alive(run, reservation.granted_at)
        if is_completed or has_streamed(release):
            self.on_request_served(release.key, reservation, now)
        if release.ending in END_SIGNS:
            self.evidence.ends.on_run_ended(run, now, is_down=release.is_down)
        if release.ending in UNSENT_ENDINGS:
            self.probes.on_unused(release.key, now)
        if release.ending is AttemptEnding.broken:
            self.on_broken(release, reservation, now)

    def on_request_served(
        self, key: SlotKey, reservation: Reservation, now: float
    ) -> None:
        """Note a served request, once; a probe lifts the quarantine."""
        if key in self.served_keys:
            return
        self.served_keys.add(key)
        self.uncount(reservation.parts)
        self.evidence.on_served(
            reservation.parts, reservation.granted_at, reservation.service
        )
        for part in self.probes.on_served(key):
            self.release_part(part, 'served', now)

    def on_broken(
        self, release: SlotRelease, reservation: Reservation, now: float
    ) -> None:
        """Take a broken attempt for a report if it may have been a crash.

        Its entry host reports it as well, but datagrams are lost.
        """
        key = release.key
        run = reservation.run
        is_start = not release.events or (
            release.events == 1 and release.decode_s <= MAX_START_S
        )
        is_crash = is_start and now - reservation.granted_at < MAX_CRASH_AGE_S
        # The parts are unknown if an earlier home host granted the slot.
        if is_crash and reservation.parts:
            report = CrashReport(run, reservation.parts, key.number, 0)
            self.on_report(key.entry, report, now)
        else:
            self.evidence.ends.on_broken(run, (key.entry, key.number), now)

    def on_served_report(
        self, entry: str, report: ServedReport, now: float
    ) -> None:
        """Take what an entry host saw served before this one was home host."""
        self.evidence.on_served_report(entry, report, now)

    def on_entries(self, entries: Iterable[str]) -> None:
        """Note the entry hosts that report to this host."""
        self.evidence.history.entries = frozenset(entries)

    def tick(self, now: float) -> None:
        """Quarantine culprits, lift quarantines that nobody asks for."""
        interval_s = (
            CHECK_INTERVAL_S
            if self.evidence.has_news
            else IDLE_CHECK_INTERVAL_S
        )
        if now - self.checked_at < interval_s:
            return
        self.checked_at = now
        self.evidence.forget_old(now)
        self.quarantine.tick(now)
        self.probes.forget_lifted()
        if now - self.last_ask_at <= JUDGING_S:
            self.judge(now)
        for part in self.unasked_parts(now):
            self.release_part(part, 'unasked', now)

    def judge(self, now: float) -> None:
        """Quarantine culprits, and find the suspects."""
        for culprit in self.evidence.culprits(now):
            # One that was sound shortly before may be shown to be so still.
            if culprit.is_recent and self.unserved_grants[culprit.part]:
                continue
            self.quarantine_part(culprit, now)
        suspects = self.evidence.suspects(now)
        self.suspects = {
            # An unconfirmed end may have come since the last one.
            suspect.part: max(
                suspect.held_until(suspects),
                self.suspects.get(suspect.part, NEVER),
            )
            for suspect in suspects
        }

    def quarantine_part(self, culprit: Culprit, now: float) -> None:
        """Quarantine a part."""
        part = culprit.part
        self.quarantine.add(part, now)
        self.probes.on_quarantined(part, now)
        self.asked_at[part] = now
        self.log(
            'prompt_part_quarantined',
            [part],
            runs=sorted(process.run.name for process in culprit.ends),
            after_s=round(now - min(culprit.ends.values()), 3),
            served_before_s=(
                round(now - culprit.served_at, 3)
                if culprit.served_at > NEVER
                else None
            ),
        )

    def release_part(self, part: str, reason: str, now: float) -> None:
        """Lift the quarantine of a part."""
        self.quarantine.lift(part, now)
        self.log('prompt_part_released', [part], reason=reason)

    def unasked_parts(self, now: float) -> list[str]:
        """Return the quarantined parts that nobody asks for.

        Only the home host knows them, once it has been it for long enough.
        """
        active = self.quarantine.active_parts
        self.asked_at = {
            part: at for part, at in self.asked_at.items() if part in active
        }
        if not active or now - self.last_ask_at > HOME_IDLE_S:
            return []
        return [
            part
            for part in active
            if now - self.last_asked_at(part) >= UNASKED_S
        ]

    def last_asked_at(self, part: str) -> float:
        """Return since when at most nobody has asked for a part, in seconds."""
        return max(
            self.asked_at.get(part, 0),
            self.home_since,
            self.quarantine.since(part) or 0,
        )

    def log(self, event: str, parts: Iterable[str], **fields: object) -> None:
        """Add a log event for each of some parts."""
        self.events.extend(
            DecisionEvent(event, {'part': part, **fields}) for part in parts
        )
