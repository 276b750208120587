"""When requests were last served, by what endpoints may end under."""

from collections import OrderedDict, deque

from trefoilspool.culprits import NEVER
from trefoilspool.fingerprint import is_fingerprint

__all__ = ['ServedRequests']

MAX_PARTS = 4096
MAX_FINGERPRINTS = 4096
MAX_SERVED = 256  # of a service, of which the times are kept


class ServedRequests:
    """Prompt parts and whole requests that endpoints have served.

    Whole requests have a bound of their own: most come once, and they would
    push the parts out.

    Attributes
    ----------
    by_part, by_fingerprint : OrderedDict
        When the last request that was served was sent, in seconds.
    times : dict
        When the last requests that were served were sent, by service.
    """

    def __init__(self) -> None:
        self.by_part: OrderedDict[str, float] = OrderedDict()
        self.by_fingerprint: OrderedDict[str, float] = OrderedDict()
        self.times: dict[str, deque[float]] = {}

    def add(self, parts: tuple[str, ...], service: str, sent_at: float) -> None:
        """Note that a request with these parts was served.

        Parameters
        ----------
        parts : tuple of str
            What the endpoint might have ended under.
        service : str
            The endpoint's service.
        sent_at : float
            When the request was sent, in seconds.
        """
        times = self.times.setdefault(service, deque(maxlen=MAX_SERVED))
        times.append(sent_at)
        for part in parts:
            self.note(part, sent_at)

    def note(self, part: str, sent_at: float) -> None:
        """Note that a request with a part was served, sent at a time."""
        table = self.table(part)
        table[part] = max(table.get(part, NEVER), sent_at)
        table.move_to_end(part)
        while len(self.by_part) > MAX_PARTS:
            self.by_part.popitem(last=False)
        while len(self.by_fingerprint) > MAX_FINGERPRINTS:
            self.by_fingerprint.popitem(last=False)

    def table(self, part: str) -> OrderedDict[str, float]:
        """Return the table that has a part."""
        return self.by_fingerprint if is_fingerprint(part) else self.by_part

    def last_at(self, part: str) -> float:
        """Return when the last one with a part was sent, in seconds."""
        return self.table(part).get(part, NEVER)

    def times_since(self, service: str, since: float) -> list[float]:
        """Return when the requests that a service served were sent."""
        return [at for at in self.times.get(service, ()) if at >= since]

    def forget_before(self, before: float) -> None:
        """Forget what was sent before a time."""
        for table in (self.by_part, self.by_fingerprint):
            while table and next(iter(table.values())) < before:
                table.popitem(last=False)
