"""When the parts of one attempt's response arrived."""

__all__ = ['AttemptTimes']

# An endpoint that ends within this time after the first event may have crashed
# on the request.
RESPONSE_START_S = 0.1


class AttemptTimes:
    """Times and event counts of one attempt; owned by the request's thread.

    Parameters
    ----------
    sent_at : float
        When the attempt was sent, in seconds; 0 if it was not.

    Attributes
    ----------
    first_byte_s : float
        Seconds from the send to the end of the first event, or of a body that
        is not a stream; 0 before it.
    event_count : int
        Events received.
    first_event_at, last_event_at : float
        When these events were received, in seconds.
    longest_gap_s : float
        Longest time between two events, in seconds.
    """

    def __init__(self, sent_at: float = 0.0) -> None:
        self.sent_at = sent_at
        self.first_byte_s = 0.0
        self.event_count = 0
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self.longest_gap_s = 0.0

    def on_first_event(self, now: float) -> None:
        """Note the end of the first event, or of a body."""
        self.first_event_at = now
        self.last_event_at = now
        self.first_byte_s = now - self.sent_at

    def on_event(self, now: float) -> None:
        """Note the end of a further event."""
        self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = now

    def has_hardly_begun(self, now: float) -> bool:
        """Return whether at most the very start of a response has arrived."""
        if self.event_count > 1:
            return False
        return (
            not self.first_byte_s
            or now - self.first_event_at < RESPONSE_START_S
        )

    def decode_s(self, now: float) -> float:
        """Return the seconds since the first event, 0 without events."""
        return now - self.first_event_at if self.event_count else 0.0
