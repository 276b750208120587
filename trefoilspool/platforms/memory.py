"""An in-process log service, for embedding and tests."""

from trefoilspool.errors import TrimmedError
from trefoilspool.platform import LogPage, LogRecord, LogService

__all__ = ['MemoryLog']


class MemoryLog(LogService):
    """Streams held in memory.

    Parameters
    ----------
    retention : int
        Number of records kept in each stream.
    """

    def __init__(self, retention: int = 1_000_000) -> None:
        self.retention = retention
        self.streams: dict[str, list[LogRecord]] = {}
        self.ends: dict[str, int] = {}

    def append(self, stream: str, body: str) -> int:
        """Append a record and trim the stream to its retention."""
        records = self.streams.setdefault(stream, [])
        offset = self.ends.get(stream, 0)
        records.append(LogRecord(offset, body))
        self.ends[stream] = offset + 1
        del records[: max(0, len(records) - self.retention)]
        return offset

    def read(self, stream: str, start: int, limit: int = 500) -> LogPage:
        """Read records from ``start``; see the base class for errors."""
        records = self.streams.get(stream, [])
        first = records[0].offset if records else self.ends.get(stream, 0)
        if start < first:
            raise TrimmedError(first)
        skip = start - first
        page = tuple(records[skip : skip + limit])
        return LogPage(first, self.ends.get(stream, 0), page)
