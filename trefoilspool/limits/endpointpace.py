"""The pace of an endpoint that has just started or recovered.

Load pattern: an endpoint comes up beside busy ones. It has no request, so it is
the best choice for each that waits, and gets all its slots filled at once while
it is still slow; those requests are late together. With a fixed ramp it would
stand idle if it is fast at once.

The pace is the number of requests that it gets before others are preferred. It
begins low, grows by one with each answer that began in time, and is halved by
one that did not or by a refusal. The endpoint's own answers decide; no time
does. Once the pace reaches the number of slots, it ends until the next start or
recovery.
"""

from enum import Enum, auto

__all__ = ['EndpointPace', 'PaceSign', 'pace_sign']

FIRST_PACE = 2
MIN_PACE = 1
# An answer begins in time within this multiple of what was predicted for an
# endpoint at work, plus a margin.
SLOW_FACTOR = 2.5
SLOW_MARGIN_S = 0.1


class PaceSign(Enum):
    """What an endpoint's answer says of its pace."""

    prompt = auto()
    slow = auto()
    refused = auto()


def pace_sign(first_byte_s: float, predicted_s: float) -> PaceSign:
    """Return what the beginning of an answer says.

    Parameters
    ----------
    first_byte_s : float
        Seconds from the grant to the first byte.
    predicted_s : float
        Seconds predicted at the grant.
    """
    limit_s = predicted_s * SLOW_FACTOR + SLOW_MARGIN_S
    return PaceSign.prompt if first_byte_s <= limit_s else PaceSign.slow


class EndpointPace:
    """The pace of one endpoint.

    Parameters
    ----------
    slots : int
        Number of its slots.

    Attributes
    ----------
    limit : int
        Requests that it gets before others are preferred.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.limit = slots

    @property
    def is_finding(self) -> bool:
        """Return whether the pace is still being found."""
        return self.limit < self.slots

    def restart(self) -> None:
        """Begin anew, after a start or a recovery."""
        self.limit = min(FIRST_PACE, self.slots)

    def on_sign(self, sign: PaceSign) -> None:
        """Adapt the pace to an answer."""
        if self.is_finding:
            self.limit = max(MIN_PACE, min(STEPS[sign](self.limit), self.slots))

    def admits(self, held: int) -> bool:
        """Return whether it gets a request before busier endpoints do.

        Parameters
        ----------
        held : int
            Its requests.
        """
        return held < self.limit


def grown(limit: int) -> int:
    """Return the next larger pace."""
    return limit + 1


def halved(limit: int) -> int:
    """Return half a pace."""
    return limit // 2


STEPS = {
    PaceSign.prompt: grown,
    PaceSign.slow: halved,
    PaceSign.refused: halved,
}
