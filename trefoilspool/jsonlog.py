"""Structured log lines on standard output that never delay a request."""

import json
import os
import queue
import sys
import threading
from collections.abc import Mapping

import logbook
from logbook.compat import LoggingCompatRecord

__all__ = ['QueuedJsonHandler']

MAX_QUEUED = 4096
SAMPLE_ABOVE = 512  # queued lines beyond which ordinary ones are left out
GOOD_STATUS = 300
BATCH = 64
STOP = ''


class QueuedJsonHandler(logbook.Handler):  # type: ignore[misc]
    """Formats records as JSON; one thread writes them.

    While the writer is behind, lines of ordinary successes are left out; lines
    beyond a bounded queue are dropped. The number of both is logged.

    Parameters
    ----------
    host : str
        This host.
    incarnation : int
        This start of it.
    level : str
        The lowest level that is logged.
    """

    def __init__(self, host: str, incarnation: int, level: str) -> None:
        super().__init__(level=level, bubble=False)
        self.host = host
        self.incarnation = incarnation
        self.lines: queue.Queue[str] = queue.Queue(MAX_QUEUED)
        self.dropped = 0
        self.descriptor = sys.stdout.fileno()
        self.writer = threading.Thread(target=self.write_all, daemon=True)
        self.writer.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record's line; drop it when the queue is full."""
        if self.lines.qsize() > SAMPLE_ABOVE and is_ordinary(record.extra):
            self.dropped += 1
            return
        try:
            self.lines.put_nowait(self.line(record))
        except queue.Full:
            self.dropped += 1

    def line(self, record: logbook.LogRecord) -> str:
        """Return the line of a record."""
        fields = {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name,
            'host': self.host,
            'incarnation': self.incarnation,
            **event_fields(record),
            **record.extra,
        }
        if record.exc_info:
            fields['error'] = record.formatted_exception
        return json.dumps(fields, default=str)

    def write_all(self) -> None:
        """Write queued lines until the handler is closed."""
        while True:
            batch = [self.lines.get()]
            while len(batch) < BATCH and not self.lines.empty():
                batch.append(self.lines.get_nowait())
            if self.dropped:
                batch.append(self.drop_line())
            body = ''.join(f'{line}\n' for line in batch if line != STOP)
            os.write(self.descriptor, body.encode())
            if STOP in batch:
                return

    def drop_line(self) -> str:
        """Return a line that counts the dropped ones."""
        dropped = self.dropped
        self.dropped = 0
        return json.dumps(
            {
                'level': 'WARNING',
                'host': self.host,
                'incarnation': self.incarnation,
                'event': 'log_lines_dropped',
                'count': dropped,
            }
        )

    def close(self) -> None:
        """Write what is queued."""
        self.lines.put(STOP)
        self.writer.join(1)


def event_fields(record: logbook.LogRecord) -> dict[str, str]:
    """Return what names a record's event.

    Libraries log texts; those are details of one event.
    """
    if isinstance(record, LoggingCompatRecord):
        return {
            'event': 'library_message',
            'library': record.channel,
            'detail': record.message,
        }
    return {'event': record.message}


def is_ordinary(facts: Mapping[str, object]) -> bool:
    """Tell whether a line is of a request that went as it should."""
    decision = facts.get('decision')
    if decision == 'settle':
        status = facts.get('status')
        return isinstance(status, int) and status < GOOD_STATUS
    return decision == 'grant'
