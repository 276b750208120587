"""The task that finds other hosts through the store."""

import random
import threading
import time

import logbook

from trefoilspool.errors import LogOutageError
from trefoilspool.peers import Homes
from trefoilspool.store import KeyedTopic
from trefoilspool.wire import mesh as wire

__all__ = ['IntroduceTask']

RETRY_S = 1.0
PERIOD_S = 8.0

logger = logbook.Logger('introductions')


class IntroduceTask:
    """Writes where this host is, once, and reads where others are.

    Hosts tell each other who is here; the store is for those that know no
    host that lives.

    Parameters
    ----------
    topic : KeyedTopic
        Hosts by name.
    homes : Homes
        Takes what is read.
    stopping : threading.Event
        Ends the task.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        homes: Homes,
        stopping: threading.Event,
    ) -> None:
        self.topic = topic
        self.homes = homes
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
            own = self.homes.own
            self.topic.put(own.name, wire.encode_card(own))
            self.written = True
        cards = (
            wire.decode_card(record.content)
            for record in self.topic.newest().records
        )
        self.homes.on_told(
            [card for card in cards if card is not None],
            time.monotonic(),
        )
