"""Stores the statuses of roll-outs, for the operator and for later hosts."""

import random
import threading
import time
from collections.abc import Callable

import logbook

from trefoilspool import clock
from trefoilspool.errors import (
    BadRecordError,
    LogOutageError,
    StoreRestoredError,
)
from trefoilspool.gatewayplatform import Platform
from trefoilspool.rollouts.gossip import RolloutGossip
from trefoilspool.rollouts.messages import (
    RolloutOrder,
    RolloutStatus,
    State,
    is_of_order,
)
from trefoilspool.store import ConditionalTopic, Page

__all__ = ['StatusTask']

CHECK_S = 0.2
RETRY_S = 0.5
MS_PER_S = 1000
FINAL_STATES = frozenset((State.completed, State.reverted))

logger = logbook.Logger('rollouts')

CallScheduler = Callable[[Callable[[float], None]], None]


class StatusTask:
    """Writes the states that are due, each only after a read of the present.

    A write holds only if nothing was written since that read. So a host that
    was frozen, or that takes itself for the home host, cannot replace what
    another one has written: it reads it first, and a final state stands.

    Parameters
    ----------
    topic : ConditionalTopic
        The topic of the statuses.
    platform : Platform
        Codec of the records.
    gossip : RolloutGossip
        Tells what is due; gets what is stored.
    call_soon : callable
        Runs a callback on the thread that owns ``gossip``.
    stopping : threading.Event
        Ends the task.
    """

    def __init__(
        self,
        topic: ConditionalTopic,
        platform: Platform,
        gossip: RolloutGossip,
        call_soon: CallScheduler,
        stopping: threading.Event,
    ) -> None:
        self.topic = topic
        self.platform = platform
        self.gossip = gossip
        self.call_soon = call_soon
        self.stopping = stopping

    def run(self) -> None:
        """Read and write until stopped."""
        pause_s = 0.0
        while not self.stopping.wait(pause_s):
            pause_s = self.try_step() * (1 + random.random()) / 2

    def try_step(self) -> float:
        """Store what is due; return the seconds until the next check."""
        try:
            self.step()
        except (LogOutageError, StoreRestoredError) as error:
            logger.info('rollout_not_stored', extra={'error': str(error)})
            return RETRY_S
        except Exception:
            logger.exception('rollout_not_stored')
            return RETRY_S
        return CHECK_S

    def step(self) -> None:
        """Store what is due."""
        for service, state in dict(self.gossip.due_states).items():
            gated = self.gossip.gate.services.get(service)
            if gated is not None:
                self.store(gated.announcement.order, gated.started_at, state)

    def store(
        self, order: RolloutOrder, started_at: float, state: State
    ) -> None:
        """Store the state of an order unless a final one is stored.

        Parameters
        ----------
        order : RolloutOrder
            The order.
        started_at : float
            When it was taken up, in seconds.
        state : State
            Its state.
        """
        restores = self.gossip.restores
        page = self.topic.read_latest()
        latest = self.latest_status(page, order.service)
        if latest is not None and is_superseded(order, latest):
            return
        stored = latest if latest and is_of_order(latest, order) else None
        if stored is not None and stored.state in {state, *FINAL_STATES}:
            self.tell(stored, restores)
            return
        started_ms = int((time.time() - clock.now() + started_at) * MS_PER_S)
        status = RolloutStatus(
            order.service,
            order.target,
            state,
            order.position,
            stored.started_ms if stored else started_ms,
        )
        key = self.platform.status_key(order.service)
        content = self.platform.encode_status(status)
        if self.topic.put_at(key, content, page.end):
            logger.info(
                'rollout_stored',
                extra={
                    'service': order.service,
                    'target': order.target,
                    'state': state.name,
                    'end': page.end,
                },
            )
            self.tell(status, restores)

    def latest_status(self, page: Page, service: str) -> RolloutStatus | None:
        """Return the stored status of a service, None if there is none."""
        key = self.platform.status_key(service)
        for record in page.records:
            if record.key == key and record.content:
                return self.decoded(service, record.content)
        return None

    def decoded(self, service: str, content: bytes) -> RolloutStatus | None:
        """Return a status, None if it is malformed."""
        try:
            return self.platform.decode_status(service, content)
        except BadRecordError as error:
            logger.warning(
                'rollout_status_unreadable', extra={'error': str(error)}
            )
            return None

    def tell(self, status: RolloutStatus, restores: int) -> None:
        """Tell the coordinator what is stored.

        Parameters
        ----------
        status : RolloutStatus
            What was read or written.
        restores : int
            Restores of the store that were known before; after another one
            the store may lack it.
        """
        age_s = max(0, time.time() - status.started_ms / MS_PER_S)

        def on_stored(now: float) -> None:
            if restores == self.gossip.restores:
                self.gossip.coordinator.on_stored(status, age_s, now)

        self.call_soon(on_stored)


def is_superseded(order: RolloutOrder, latest: RolloutStatus) -> bool:
    """Return whether the status of a later order is stored."""
    same_era = latest.position.era == order.position.era
    return same_era and latest.position > order.position
