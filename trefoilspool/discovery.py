"""Discovery of other hosts through the store."""

import random
import threading

import logbook

from trefoilspool import clock
from trefoilspool.errors import (
    LogOutageError,
    StoreRestoredError,
)
from trefoilspool.peers import PeerRegistry
from trefoilspool.store import KeyedTopic
from trefoilspool.wire import mesh as wire

__all__ = ['DiscoveryTask']

RETRY_S = 1.0
PERIOD_S = 8.0
# Spreads the writes of all hosts after a restore of the store.
REREGISTRATION_JITTER_S = 1.0

logger = logbook.Logger('introductions')


class DiscoveryTask:
    """Registers this host in the store, and reads the other hosts.

    The host registers once, and again when the store was restored.

    Hosts also exchange lists of hosts among themselves. The store is needed by
    a host that has no address of a running host.

    Parameters
    ----------
    topic : KeyedTopic
        The hosts' records, keyed by name.
    peers : PeerRegistry
        Receives the hosts read.
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
        self.registered = False
        self.restored = threading.Event()

    def run(self) -> None:
        """Register and read until stopped."""
        pause_s = 0.0
        while not self.stopping.is_set():
            if self.restored.wait(pause_s):
                self.restored.clear()
                self.registered = False
                self.stopping.wait(REREGISTRATION_JITTER_S * random.random())
            if not self.stopping.is_set():
                pause_s = self.try_step()

    def on_store_restored(self) -> None:
        """Register again: the restored store may lack this host's record."""
        self.restored.set()

    def try_step(self) -> float:
        """Register and read once; return the seconds until the next time."""
        try:
            self.step()
        except (LogOutageError, StoreRestoredError) as error:
            logger.info('hosts_not_read', extra={'error': str(error)})
            return RETRY_S * (1 + random.random())
        except Exception:
            logger.exception('hosts_not_read')
            return PERIOD_S
        return PERIOD_S * (1 + random.random())

    def step(self) -> None:
        """Register this host unless done before, then read the hosts."""
        if not self.registered:
            own = self.peers.own
            self.topic.put(own.name, wire.encode_host_info(own))
            self.registered = True
        hosts = (
            wire.decode_host_info(record.content)
            for record in self.topic.read_latest().records
        )
        self.peers.on_reported(
            [host for host in hosts if host is not None],
            clock.now(),
        )
