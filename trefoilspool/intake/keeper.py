"""Keeps the connections of a server within the room of its host."""

from collections.abc import Callable, Iterable

import logbook

from trefoilspool import clock
from trefoilspool.callerchannel import (
    NO_CONNECTIONS,
    CallerChannel,
    Keeper,
)
from trefoilspool.intake.room import (
    ConnectionLoad,
    Room,
    connections_to_end,
    loads_to_end,
)

__all__ = ['RoomKeeper']

# A time limit of the configuration is exceeded only after so much more.
SLACK_S = 1.0

logger = logbook.Logger('intake')


class RoomKeeper(Keeper):
    """Ends connections that use up the room, and those that are overdue.

    Parameters
    ----------
    channels : callable
        Returns the open connections of all listeners.
    room : Room
        What the host may hold.

    Attributes
    ----------
    header_timeout_s : float
        Seconds that a head may take; 0 for any.
    idle_timeout_s : float
        Seconds that a connection may be idle; 0 for any.
    on_ended : callable
        Called with the reason for each connection that is ended.
    """

    def __init__(
        self, channels: Callable[[], Iterable[CallerChannel]], room: Room
    ) -> None:
        self.channels = channels
        self.room = room
        self.header_timeout_s = 0.0
        self.idle_timeout_s = 0.0
        self.on_ended: Callable[[str], object] = ignore

    def loads(
        self, listener: object = None
    ) -> list[tuple[CallerChannel, ConnectionLoad]]:
        """Return the connections of one listener, or of all, with their loads."""
        return [
            (channel, channel.load())
            for channel in self.channels()
            if listener in {None, channel.server}
        ]

    def make_room(self, opened: CallerChannel) -> None:
        """End what exceeds the connections of a new one's listener."""
        limit = self.room.connections
        if opened.never_waits:
            limit = self.room.page_connections
        open_count: int = len(opened.server.active_channels)
        if open_count <= limit:
            return
        for channel in connections_to_end(self.loads(opened.server), limit):
            self.end(channel, NO_CONNECTIONS, open_count)

    def free_memory(self) -> None:
        """End what exceeds the memory for callers."""
        loads = self.loads()
        held_bytes = sum(load.held_bytes for _, load in loads)
        if held_bytes <= self.room.held_bytes:
            return
        for channel in loads_to_end(loads, self.room.held_bytes):
            self.end(channel, 'memory', held_bytes)

    def end_overdue(self) -> None:
        """End connections that take longer than the configuration allows."""
        now = clock.now()
        for channel in self.channels():
            reason = channel.overdue_reason(
                now, self.header_timeout_s, self.idle_timeout_s, SLACK_S
            )
            if reason:
                self.end(channel, reason, 0)

    def end(self, channel: CallerChannel, reason: str, used: int) -> None:
        """End a connection; log and count it."""
        load = channel.load()
        if not channel.yield_room(reason):
            return
        self.on_ended(reason)
        logger.info(
            'connection_ended',
            extra={
                'reason': reason,
                'activity': load.activity.name,
                'held_bytes': load.held_bytes,
                'inactive_s': round(clock.now() - load.active_at, 3),
                'used': used,
            },
        )


def ignore(reason: str) -> None:
    """Do nothing."""
