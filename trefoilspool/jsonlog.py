"""Structured log lines on standard output that never block a request."""

import json
import os
import queue
import sys
import threading
from collections.abc import Mapping

import logbook
from logbook.compat import LoggingCompatRecord

__all__ = ['QueuedJsonHandler']

MAX_QUEUED_LINES = 4096
SAMPLE_ABOVE_LINES = 512  # queued lines above which routine lines are omitted
SUCCESS_STATUS_END = 300
BATCH_LINES = 64
# Texts of callers may fill the queue.
MAX_LINE_CHARS = 8192
END_CHARS = 256  # kept of both ends of a text in a line that is longer
STOP_LINE = ''  # ends the writer
CLOSE_TIMEOUT_S = 1.0


class QueuedJsonHandler(logbook.Handler):  # type: ignore[misc]
    """Formats records as lines of JSON; a writer thread writes them.

    Above ``SAMPLE_ABOVE_LINES`` queued lines, grants and requests settled with
    success are omitted; when the queue is full, every line is dropped. The
    number of lines lost in both ways is logged.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : int
        Incarnation of this host.
    level : str
        Lowest level that is logged.
    """

    def __init__(self, host: str, incarnation: int, level: str) -> None:
        super().__init__(level=level, bubble=False)
        self.host = host
        self.incarnation = incarnation
        self.lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self.dropped = 0
        self.dropped_lock = threading.Lock()
        self.descriptor = sys.stdout.fileno()
        self.writer = threading.Thread(target=self.write_all, daemon=True)
        self.writer.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue the line of a record, or count it as dropped."""
        if self.lines.qsize() > SAMPLE_ABOVE_LINES and is_routine(record.extra):
            self.count_dropped()
            return
        try:
            self.lines.put_nowait(self.line(record))
        except queue.Full:
            self.count_dropped()

    def count_dropped(self) -> None:
        """Count a line that is not written."""
        with self.dropped_lock:
            self.dropped += 1

    def line(self, record: logbook.LogRecord) -> str:
        """Return the log line of a record."""
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
        return bounded_line(fields)

    def write_all(self) -> None:
        """Write queued lines until the handler is closed."""
        while True:
            batch = [self.lines.get()]
            while len(batch) < BATCH_LINES and not self.lines.empty():
                batch.append(self.lines.get_nowait())
            if self.dropped:
                batch.append(self.dropped_count_line())
            body = ''.join(f'{line}\n' for line in batch if line != STOP_LINE)
            os.write(self.descriptor, body.encode())
            if STOP_LINE in batch:
                return

    def dropped_count_line(self) -> str:
        """Return a line with the number of dropped lines; reset the count."""
        with self.dropped_lock:
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
        """Write the queued lines and end the writer."""
        try:
            self.lines.put(STOP_LINE, timeout=CLOSE_TIMEOUT_S)
        except queue.Full:
            # Nobody reads the output; the process ends without these lines.
            return
        self.writer.join(CLOSE_TIMEOUT_S)


def bounded_line(fields: Mapping[str, object]) -> str:
    """Return fields as JSON; cut their texts if the line is too long."""
    line = json.dumps(fields, default=str)
    if len(line) <= MAX_LINE_CHARS:
        return line
    cut = {
        name: shortened(field) if isinstance(field, str) else field
        for name, field in fields.items()
    }
    return json.dumps(cut, default=str)


def shortened(text: str) -> str:
    """Return both ends of a long text."""
    if len(text) <= 2 * END_CHARS:
        return text
    return f'{text[:END_CHARS]} ... {text[-END_CHARS:]}'


def event_fields(record: logbook.LogRecord) -> dict[str, str]:
    """Return the fields that name the event of a record.

    Messages of libraries are free text: they become the detail of one event.
    """
    if isinstance(record, LoggingCompatRecord):
        return {
            'event': 'library_message',
            'library': record.channel,
            'detail': record.message,
        }
    return {'event': record.message}


def is_routine(fields: Mapping[str, object]) -> bool:
    """Return whether a line is a grant or a request settled with success."""
    decision = fields.get('decision')
    if decision == 'settle':
        status = fields.get('status')
        return isinstance(status, int) and status < SUCCESS_STATUS_END
    return decision == 'grant'
