"""Typed errors, one class for each failure."""

import reprlib

__all__ = [
    'BadRecordError',
    'BadStructError',
    'CutResponseError',
    'EndpointRefusedConnectionError',
    'HostUnreachableError',
    'EndpointReplacedError',
    'ConnectFailedError',
    'NoPathError',
    'EndpointError',
    'SendFailedError',
    'StreamCutError',
    'LogError',
    'LogLostAnswerError',
    'LogOutageError',
    'LogRejectedError',
    'MalformedAnswerError',
    'OptionError',
    'SettingsError',
    'SettingsConflictError',
    'StoreRestoredError',
    'BoundError',
    'TraceError',
    'TrefoilspoolError',
    'TrimmedError',
]


class TrefoilspoolError(Exception):
    """Base class of the errors that this package raises."""


class OptionError(TrefoilspoolError):
    """A process setting has a value that is not allowed.

    Parameters
    ----------
    option : str
        Name of the flag.
    bad : object
        The rejected value.
    allowed : str
        Values that the option accepts.
    """

    def __init__(self, option: str, bad: object, allowed: str) -> None:
        super().__init__(f'--{option}: {bad!r} is not allowed; use {allowed}')
        self.option = option


class SettingsError(TrefoilspoolError):
    """An edit names a path, key or value that the schema rejects."""

    def __init__(self, path: str, key: str, bad: object, allowed: str) -> None:
        super().__init__(
            f'{path}: {key} = {bad!r} is not allowed; use {allowed}',
        )
        self.path = path
        self.key = key


class SettingsConflictError(TrefoilspoolError):
    """An edit accepted after the base changed the same value."""

    def __init__(self, path: str, key: str) -> None:
        super().__init__(
            f'{path}: {key} was changed by another edit since the base',
        )
        self.path = path
        self.key = key


class BoundError(TrefoilspoolError):
    """A benchmark measured more than its bound."""


class HostUnreachableError(TrefoilspoolError):
    """A host does not answer."""


class TraceError(TrefoilspoolError):
    """A file is not a trace in the expected schema."""


class LogError(TrefoilspoolError):
    """Base class of the failures of the log service."""


class LogOutageError(LogError):
    """A platform service could not be reached, or a read of it failed.

    An append that raises this error has appended nothing.
    """


class MalformedAnswerError(LogOutageError):
    """A platform service or a peer answered in another form than it should."""


class LogLostAnswerError(LogError):
    """The append may have taken effect; only a read can show whether."""


class LogRejectedError(LogError):
    """The log service refused the append, so nothing was appended."""


class TrimmedError(LogError):
    """The requested offset is older than the first that is kept.

    Parameters
    ----------
    first : int
        The first offset that the stream still holds.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f'records before offset {first} are trimmed')
        self.first = first


class StoreRestoredError(LogError):
    """The store was restored from a backup, so known offsets are void.

    Parameters
    ----------
    era : int
        The era of the store's response.
    """

    def __init__(self, era: int) -> None:
        super().__init__(f'the store is in era {era}')
        self.era = era


class BadRecordError(TrefoilspoolError):
    """A record of the platform has a field that cannot be used.

    Parameters
    ----------
    record : str
        Key of the record.
    field : str
        Name of the field, empty for the whole record.
    bad : object
        The rejected value.
    allowed : str
        Values that the field accepts.
    """

    def __init__(
        self,
        record: str,
        field: str,
        bad: object,
        allowed: str,
    ) -> None:
        super().__init__(
            f'{record}: {field or "record"} = {reprlib.repr(bad)} '
            f'cannot be used; it must be {allowed}',
        )
        self.field = field


class BadStructError(TrefoilspoolError):
    """A struct of another host has a field that cannot be used."""


class CutResponseError(TrefoilspoolError, OSError):
    """A response is cut short: its connection closes without an end marker."""


class EndpointError(TrefoilspoolError):
    """Base class of the failures between a host and an endpoint."""


class ConnectFailedError(EndpointError):
    """No connection was made, so nothing was sent.

    Attributes
    ----------
    is_refused : bool
        Whether the connection was refused: the endpoint may be down.
    """

    is_refused = False


class NoPathError(ConnectFailedError):
    """No path leads to the endpoint, and nothing shows that it is at fault."""


class EndpointRefusedConnectionError(ConnectFailedError):
    """Nothing listens at the endpoint's address."""

    is_refused = True


class SendFailedError(EndpointError):
    """The request was sent, in part or whole, but no response was received."""


class StreamCutError(EndpointError):
    """The response ended before it was complete."""


class EndpointReplacedError(StreamCutError):
    """The attempt was given up, as another one has replaced it.

    Parameters
    ----------
    detail : str
        Text for engineers on call.
    was_silent : bool
        Whether the endpoint sent nothing, rather than too few bytes.
    """

    def __init__(self, detail: str, *, was_silent: bool) -> None:
        super().__init__(detail)
        self.was_silent = was_silent
