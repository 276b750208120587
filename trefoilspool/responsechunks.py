"""The body of a response, of which the end is always noticed."""

from collections.abc import Callable, Iterator

import logbook

from trefoilspool.errors import CutResponseError

__all__ = ['HeldChunks', 'StartedChunks', 'TrackedChunks']

logger = logbook.Logger('gateway')


class StartedChunks(Iterator[bytes]):
    """The chunks of a body of which the first has been received.

    Parameters
    ----------
    first : bytes
        The first chunk; may be empty.
    rest : iterator of bytes
        The further chunks.
    """

    def __init__(self, first: bytes, rest: Iterator[bytes]) -> None:
        self.first = first
        self.rest = rest

    def __next__(self) -> bytes:
        """Return the next chunk."""
        first = self.first
        self.first = b''
        return first or next(self.rest)

    def close(self) -> None:
        """Release what the body holds."""
        close_chunks(self.rest)


class HeldChunks(Iterator[bytes]):
    """A whole body whose memory is held until it has been passed on.

    Parameters
    ----------
    body : bytes
        The body.
    release : callable
        Called once the body has been taken, or is not wanted.
    """

    def __init__(self, body: bytes, release: Callable[[], None]) -> None:
        self.body: bytes | None = body
        self.release = release

    def __next__(self) -> bytes:
        """Return the body, once.

        Raises
        ------
        StopIteration
            When it has been returned.
        """
        body = self.body
        if body is None:
            self.release()
            raise StopIteration
        self.body = None
        return body

    def close(self) -> None:
        """Release the memory."""
        self.body = None
        self.release()


class TrackedChunks(Iterator[bytes]):
    """The chunks of a body; calls a function once when it ends or is closed.

    Unlike that of a generator, ``close`` also acts before the first chunk.

    Parameters
    ----------
    request_id : str
        The caller's id of the request, for the log line of a failure.
    chunks : iterator of bytes
        The body.
    on_end : callable
        Called once.
    """

    def __init__(
        self,
        request_id: str,
        chunks: Iterator[bytes],
        on_end: Callable[[], None],
    ) -> None:
        self.request_id = request_id
        self.chunks = chunks
        self.on_end = on_end
        self.ended = False

    def __next__(self) -> bytes:
        """Return the next chunk.

        Raises
        ------
        CutResponseError
            When the rest of the body cannot be had.
        StopIteration
            At the end.
        """
        try:
            return next(self.chunks)
        except (StopIteration, CutResponseError):
            self.close()
            raise
        except Exception as error:
            logger.exception(
                'request_failed', extra={'request': self.request_id}
            )
            self.close()
            raise CutResponseError(f'the response failed: {error!r}') from error

    def close(self) -> None:
        """Release what the body holds."""
        if self.ended:
            return
        self.ended = True
        try:
            close_chunks(self.chunks)
        finally:
            self.on_end()


def close_chunks(chunks: Iterator[bytes]) -> None:
    """Close a generator; other iterators hold nothing."""
    close = getattr(chunks, 'close', None)
    if close is not None:
        close()
