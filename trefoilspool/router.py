"""Dispatch of received frames to the tasks that handle their fields."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from trefoilspool.broker import BrokerTask, HomeMessage
from trefoilspool.cellscheduler import (
    FIELD_HANDLERS,
    EntryMessage,
    SchedulerTask,
)
from trefoilspool.membership import Heartbeat, HostState
from trefoilspool.queries import QueryTask
from trefoilspool.roster import HeartbeatReceived, RosterTask
from trefoilspool.settingstask import (
    PeerOffset,
    PeerSnapshot,
    SettingsTask,
    SnapshotRequest,
)
from trefoilspool.wire.gen.peer import ttypes

__all__ = ['Destinations', 'FrameRouter']


class Destinations(NamedTuple):
    """The tasks that handle fields of frames."""

    scheduler: SchedulerTask
    broker: BrokerTask
    roster: RosterTask
    settings: SettingsTask
    queries: QueryTask


class FrameRouter:
    """Dispatches the fields of received frames to tasks.

    Parameters
    ----------
    tasks : Destinations
        The tasks by the fields that they handle.
    """

    def __init__(self, tasks: Destinations) -> None:
        self.tasks = tasks

    def deliver(self, frame: ttypes.Frame) -> None:
        """Pass the fields of a received frame to their tasks."""
        sender = frame.sender
        if frame.beat is not None:
            self.deliver_heartbeat(sender, frame.beat)
        if frame.settings_from is not None:
            self.tasks.settings.post(
                SnapshotRequest(sender, frame.settings_from)
            )
        if frame.roll is not None:
            self.deliver_field(sender, 'roll', (frame.roll,))
        for field in LIST_FIELDS:
            elements = getattr(frame, field)
            if elements:
                self.deliver_field(sender, field, tuple(elements))

    def deliver_heartbeat(self, sender: str, wire: ttypes.Beat) -> None:
        """Pass a heartbeat to the roster and settings tasks."""
        heartbeat = Heartbeat(
            wire.incarnation,
            HostState(wire.state),
            wire.settings_offset,
            wire.hears,
        )
        self.tasks.roster.post(HeartbeatReceived(sender, heartbeat))
        self.tasks.settings.post(PeerOffset(sender, heartbeat.settings_offset))

    def deliver_field(
        self,
        sender: str,
        field: str,
        elements: tuple[object, ...],
    ) -> None:
        """Pass the elements of one field to the task that handles it."""
        if field in FIELD_HANDLERS:
            self.tasks.scheduler.post(EntryMessage(sender, field, elements))
            return
        if field in HOME_FIELDS:
            self.tasks.broker.post(HomeMessage(sender, field, elements))
            return
        for element in elements:
            ELEMENT_HANDLERS[field](self, sender, element)

    def on_settings_record(
        self,
        sender: str,
        record: ttypes.SettingsRecord,
    ) -> None:
        """Pass a peer's settings snapshot to the settings task."""
        self.tasks.settings.post(PeerSnapshot(sender, record.body.decode()))

    def on_claim_query(self, sender: str, query: ttypes.ClaimQuery) -> None:
        """Answer a peer's query for a result."""
        self.tasks.queries.answer(sender, query)

    def on_claim_answer(self, sender: str, answer: ttypes.ClaimAnswer) -> None:
        """Pass a peer's answer to the query task."""
        self.tasks.queries.post(answer)


LIST_FIELDS = (
    'asks',
    'grants',
    'refusals',
    'releases',
    'withdrawals',
    'revocations',
    'held',
    'paces',
    'claim_queries',
    'claim_answers',
    'settings_records',
)
# Decisions of home hosts, for the broker of this entry host.
HOME_FIELDS = frozenset(('grants', 'refusals', 'revocations'))

ELEMENT_HANDLERS: Mapping[str, Callable[..., None]] = {
    'settings_records': FrameRouter.on_settings_record,
    'claim_queries': FrameRouter.on_claim_query,
    'claim_answers': FrameRouter.on_claim_answer,
}
