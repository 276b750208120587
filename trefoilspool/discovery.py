"""The task that finds other hosts through the store."""

import random
import threading
import time

import logbook

from trefoilspool.errors import LogOutageError
from trefoilspool.peers import PeerRegistry
from trefoilspool.store import KeyedTopic
from trefoilspool.wire import mesh as wire

__all__ = ['DiscoveryTask']

RETRY_S = 1.0
PERIOD_S = 8.0

logger = logbook.Logger('introductions')


class DiscoveryTask:
    """Writes where this host is, once, and reads where others are.

    Hosts tell each other who is here; the store is for those that know no
    host that lives.

    Parameters
    ----------
    topic : KeyedTopic
        Hosts by name.
    peers : PeerRegistry
        Takes what is read.
    stopping : threading.Event
        Ends the task.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        peers: PeerRegistry,
        stopping: threading.Event,
    ) -> None:
        self.topic = topic
        self.peers = peers
        self.stopping = stopping
        self.written = False

    def run(self) -> None:
        """Write and read until stopped."""
        pause = 0.0
        while not self.stopping.wait(pause):
            try:
                self.step()
            except LogOutageError as error:
                logger.info('hosts_not_read', extra={'error': str(error)})
                pause = RETRY_S * (1 + random.random())
            else:
                pause = PERIOD_S * (1 + random.random())

    def step(self) -> None:
        """Write if that has not been done, and read."""
        if not self.written:
            own = self.peers.own
            self.topic.put(own.name, wire.encode_host_info(own))
            self.written = True
        hosts = (
            wire.decode_host_info(record.content)
            for record in self.topic.newest().records
        )
        self.peers.on_reported(
            [host for host in hosts if host is not None],
            time.monotonic(),
        )
