"""Holds a host's requests to the share that a roll-out's target may get.

Each host stays within the share by itself, counted in its own requests, so the
sum does too, whichever hosts hear of each other.
"""

import math
import random
import threading
from collections.abc import Callable

import logbook

from trefoilspool.rollouts.evidence import Evidence, UsedEndpoint
from trefoilspool.rollouts.messages import (
    FINAL_PHASES,
    Announcement,
    Phase,
    RolloutOrder,
    RolloutReport,
    TargetUse,
    VersionRule,
    is_same_order,
)
from trefoilspool.slotmessages import AttemptEnding
from trefoilspool.telemetry import Metrics

__all__ = ['RolloutGate', 'pace_s']

# Requests to the target that a host may have saved up.
MAX_CREDIT = 2.0

# A version that was found bad gets nothing for so long, even if the service has
# no other endpoint. Later an operator may have installed it anew.
FORBIDDEN_S = 60.0

# Use of the target by requests without and with a credit.
USES = {
    Phase.held: (TargetUse.avoided, TargetUse.avoided),
    Phase.canary: (TargetUse.avoided, TargetUse.preferred),
    Phase.expanding: (TargetUse.avoided, TargetUse.preferred),
    Phase.draining: (TargetUse.required, TargetUse.required),
    Phase.reverted: (TargetUse.forbidden, TargetUse.forbidden),
}
# In these phases streams go on at the version that began them.
OPEN_PHASES = frozenset((Phase.canary, Phase.expanding, Phase.draining))

OpenCounter = Callable[[str, str], int]

logger = logbook.Logger('rollouts')


class GatedService:
    """A service with a roll-out.

    Attributes
    ----------
    credit : float
        Requests that the target may get from this host now. It begins at a
        random part of one, so that many hosts with few requests each send the
        target its share from the start.
    started_at : float
        When the order was taken up, in seconds.
    changed_at : float
        When the phase or share last changed here, in seconds.
    """

    def __init__(
        self, announcement: Announcement, credit: float, started_at: float
    ) -> None:
        self.announcement = announcement
        self.started_at = started_at
        self.changed_at = started_at
        self.credit = credit
        self.evidence = Evidence()
        self.sent = 0
        self.exposed = 0


class RolloutGate:
    """The roll-outs that a host knows, and its requests under them.

    Usable from any thread.

    Attributes
    ----------
    services : dict
        Services with a roll-out, by name.
    metrics : Metrics
        Counts the attempts of these services by version.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.services: dict[str, GatedService] = {}
        self.metrics = Metrics()

    def on_order(self, order: RolloutOrder, now: float) -> None:
        """Take an order; the target gets nothing until a host has decided."""
        with self.lock:
            known = self.services.get(order.service)
            if known is None or supersedes(order, known.announcement.order):
                self.replace(Announcement(order, Phase.held, 0), now)

    def on_announcement(
        self, announcement: Announcement, started_at: float, now: float
    ) -> bool:
        """Adopt what a home host tells; return whether it is new.

        Parameters
        ----------
        announcement : Announcement
            What it tells.
        started_at : float
            When it took the order up, in seconds.
        now : float
            The present time in seconds.
        """
        with self.lock:
            known = self.services.get(announcement.order.service)
            if known is None or supersedes(
                announcement.order, known.announcement.order
            ):
                self.replace(announcement, started_at)
                return True
            if not may_follow(announcement, known.announcement):
                return False
            known.started_at = min(known.started_at, started_at)
            is_new = announcement != known.announcement
            if is_new:
                known.changed_at = now
            if announcement.share < known.announcement.share:
                # What was saved up at the larger share is not used.
                known.credit = math.fmod(known.credit, 1.0)
            known.announcement = announcement
        if is_new:
            log_phase(announcement)
        return is_new

    def on_store_restored(self) -> None:
        """Note that the store may lack what it had been told."""
        with self.lock:
            for gated in self.services.values():
                gated.announcement = gated.announcement._replace(
                    is_stored=False
                )

    def replace(self, announcement: Announcement, started_at: float) -> None:
        """Begin with another order; the caller holds the lock."""
        self.services[announcement.order.service] = GatedService(
            announcement, random.random(), started_at
        )
        log_phase(announcement)

    def rule(
        self, service: str, software: str | None, now: float
    ) -> VersionRule | None:
        """Return the rule for a new attempt, and take its credit.

        What is not sent to the target is to be given back with `on_granted` or
        `on_refused`.

        Parameters
        ----------
        service : str
            Name of the service.
        software : str or None
            Version at which the attempt's stream began, if it did.
        now : float
            The present time in seconds.
        """
        if service not in self.services:
            return None
        with self.lock:
            gated = self.services[service]
            announcement = gated.announcement
            phase = announcement.phase
            if phase is Phase.completed:
                return None
            if software is not None and phase in OPEN_PHASES:
                return None
            use = USES[phase][gated.credit >= 1]
            if use is TargetUse.preferred:
                gated.credit -= 1
            if phase is Phase.reverted and now > gated.changed_at + FORBIDDEN_S:
                use = TargetUse.avoided
            return VersionRule(
                announcement.order.target, use, announcement.share
            )

    def usual_rule(self, service: str) -> VersionRule | None:
        """Return the rule of a request without a credit; take nothing."""
        gated = self.services.get(service)
        if gated is None or gated.announcement.phase is Phase.completed:
            return None
        announcement = gated.announcement
        return VersionRule(
            announcement.order.target,
            USES[announcement.phase][False],
            announcement.share,
        )

    def on_refused(self, service: str, rule: VersionRule | None) -> None:
        """Give back the credit of an attempt that got no endpoint."""
        gated = self.services.get(service)
        if gated is None or rule is None:
            return
        with self.lock:
            if rule.use is TargetUse.preferred:
                gated.credit += 1

    def on_granted(
        self,
        service: str,
        rule: VersionRule | None,
        endpoint: UsedEndpoint,
    ) -> None:
        """Count an attempt that is sent.

        Parameters
        ----------
        service : str
            Name of its service.
        rule : VersionRule or None
            The rule that it had.
        endpoint : UsedEndpoint
            The endpoint that gets it.
        """
        gated = self.services.get(service)
        if gated is None:
            return
        with self.lock:
            is_target = endpoint.software == gated.announcement.order.target
            gated.sent += 1
            gated.exposed += is_target
            gated.evidence.on_sent(endpoint)
            gated.credit += gated.announcement.share
            was_charged = rule and rule.use is TargetUse.preferred
            if is_target and not was_charged:
                gated.credit -= 1
            elif was_charged and not is_target:
                gated.credit += 1
            gated.credit = min(gated.credit, MAX_CREDIT)
        self.metrics.count(
            'trefoilspool_rollout_requests_total'
            f'{{service="{service}",version="{endpoint.software}"}}'
        )

    def on_end(
        self,
        service: str,
        route: str,
        endpoint: str,
        ending: AttemptEnding,
        first_byte_s: float,
        pace_s: float | None,
        now: float,
    ) -> None:
        """Count an attempt that has ended; see `Evidence.on_end`."""
        gated = self.services.get(service)
        if gated is None:
            return
        with self.lock:
            gated.evidence.on_end(
                route, endpoint, ending, first_byte_s, pace_s, now
            )

    def target(self, service: str) -> str:
        """Return the version that is rolled out, empty if there is none."""
        gated = self.services.get(service)
        return gated.announcement.order.target if gated else ''

    def phase(self, service: str) -> Phase | None:
        """Return the phase of a service's roll-out, None without one."""
        gated = self.services.get(service)
        return gated.announcement.phase if gated else None

    def reports(self, count_others: OpenCounter) -> list[RolloutReport]:
        """Return what this host has seen of the roll-outs that go on.

        Parameters
        ----------
        count_others : callable
            Returns the number of attempts that this host has open at other
            versions of a service than a given one.
        """
        with self.lock:
            return [
                RolloutReport(
                    gated.announcement.order,
                    gated.announcement.phase,
                    gated.sent,
                    gated.exposed,
                    count_others(service, gated.announcement.order.target),
                    gated.evidence.tallies(),
                )
                for service, gated in self.services.items()
                if gated.announcement.phase not in FINAL_PHASES
                or not gated.announcement.is_stored
            ]

    def announcements(self) -> list[tuple[Announcement, float]]:
        """Return what this host acts on, and since when, in seconds."""
        with self.lock:
            return [
                (gated.announcement, gated.started_at)
                for gated in self.services.values()
            ]


def supersedes(order: RolloutOrder, known: RolloutOrder) -> bool:
    """Return whether an order replaces the known one of its service."""
    if is_same_order(order, known):
        return False
    return order.position > known.position


def may_follow(announcement: Announcement, current: Announcement) -> bool:
    """Return whether an announcement may replace that of the same order.

    A version that was found bad is not used again, whatever a home host tells
    that lacks the evidence; only what is stored holds over it.
    """
    if not is_same_order(announcement.order, current.order):
        return False
    if current.phase in FINAL_PHASES:
        return announcement.is_stored and announcement.phase in FINAL_PHASES
    return True


def log_phase(announcement: Announcement) -> None:
    """Log the phase that this host acts on from now on."""
    order = announcement.order
    logger.info(
        'rollout_phase',
        extra={
            'service': order.service,
            'target': order.target,
            'era': order.position.era,
            'offset': order.position.offset,
            'phase': announcement.phase.name,
            'share': round(announcement.share, 3),
            'stored': announcement.is_stored,
        },
    )


def pace_s(events: int, decode_s: float) -> float | None:
    """Return the mean seconds between two events, None of too few."""
    if events <= 1 or math.isclose(decode_s, 0):
        return None
    return decode_s / (events - 1)
