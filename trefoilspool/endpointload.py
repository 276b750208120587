"""What the desk knows of endpoints: held places, speed and health."""

from typing import NamedTuple

from trefoilspool.reliability import Reliability
from trefoilspool.slotmessages import AttemptEnding as Ending
from trefoilspool.slotmessages import (
    EndpointSpec,
    SlotKey,
    SlotRelease,
    SlotRequest,
)

__all__ = ['EndpointLoad', 'Reservation']

PREFILL_TOKENS_A_S = 150_000.0
TOKEN_GAP_S = 0.004
FIRST_STEP_S = 0.03
PLAIN_WORK_S = 0.05
STALL_WEIGHT = 0.3
FAR_S = 0.01  # what an endpoint of another data centre has to be better
SPEED_GAIN = 0.4
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 50.0
MIN_EVENTS = 4  # fewer say little of the speed between them
PARTS_KEPT_S = 9.0
MAX_PARTS = 4096


class Reservation(NamedTuple):
    """A place in use."""

    service: str
    endpoint: str
    granted: float
    prompt_tokens: int
    output_tokens: int
    workspace: str
    charge: int


class EndpointLoad:
    """State of one endpoint.

    Parameters
    ----------
    spec : EndpointSpec
        The endpoint.
    """

    def __init__(self, spec: EndpointSpec) -> None:
        self.spec = spec
        self.reservations: dict[SlotKey, Reservation] = {}
        self.reliability = Reliability()
        self.slowness = 1.0
        self.samples = 0
        self.prefill_free_at = 0.0
        self.parts: dict[str, float] = {}

    @property
    def free(self) -> int:
        """Return the places that are not in use."""
        return self.spec.slots - len(self.reservations)

    @property
    def is_engine(self) -> bool:
        """Tell whether this is a model engine."""
        return self.spec.event_tokens > 0

    def missed_tokens(self, ask: SlotRequest, now: float) -> int:
        """Return the prompt tokens that the endpoint has to read."""
        if ask.parts and self.parts.get(ask.parts[-1], 0) > now:
            return 0
        return ask.prompt_tokens

    def first_token_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the seconds until the first byte of a new request."""
        if not self.is_engine:
            return PLAIN_WORK_S * self.slowness * (1 + len(self.reservations))
        backlog = max(0, self.prefill_free_at - now)
        own = self.missed_tokens(ask, now) / PREFILL_TOKENS_A_S
        return backlog + (own + FIRST_STEP_S) * self.slowness

    def finish_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the seconds until the answer of a new request is whole."""
        first = self.first_token_s(ask, now)
        return first + ask.output_tokens * TOKEN_GAP_S * self.slowness

    def score(self, ask: SlotRequest, now: float) -> float:
        """Return what a request costs here, in seconds; less is better.

        To the wait for its own first byte comes the time for which its prompt
        holds up the tokens of the requests that run already, what the
        endpoint's failures cost, and something for another data centre, where
        bytes are dear.
        """
        first = self.first_token_s(ask, now)
        first += self.reliability.cost_s(now, repeatable=ask.repeatable)
        if self.spec.data_centre != ask.data_centre:
            first += FAR_S
        if not self.is_engine:
            return first
        missed = self.missed_tokens(ask, now) / PREFILL_TOKENS_A_S
        stall = missed * self.slowness * len(self.reservations)
        return first + stall * STALL_WEIGHT

    def reserve(self, ask: SlotRequest, now: float) -> None:
        """Take a place for a request."""
        self.reliability.on_granted(now)
        if self.is_engine:
            own = self.missed_tokens(ask, now) / PREFILL_TOKENS_A_S
            start = max(now, self.prefill_free_at)
            self.prefill_free_at = start + own * self.slowness
            for part in ask.parts:
                self.parts[part] = now + PARTS_KEPT_S
            if len(self.parts) > MAX_PARTS:
                self.forget_parts(now)
        self.reservations[ask.key] = Reservation(
            ask.service,
            self.spec.name,
            now,
            ask.prompt_tokens,
            ask.output_tokens,
            ask.workspace,
            ask.charge,
        )

    def forget_parts(self, now: float) -> None:
        """Drop prompt parts that have not been used for long."""
        self.parts = {
            part: until for part, until in self.parts.items() if until > now
        }

    def learn(
        self,
        ended: SlotRelease,
        sent: float,
        now: float,
    ) -> None:
        """Learn speed and reliability from how a place was used.

        Parameters
        ----------
        ended : SlotRelease
            The end of its use.
        sent, now : float
            When the place was given and the present time, in seconds.
        """
        failed = ended.ending in FAILURES
        if failed or ended.ending is Ending.completed:
            self.reliability.observe(
                failed=failed,
                sent=sent,
                now=now,
            )
        if ended.ending is Ending.completed:
            self.learn_speed(ended)

    def learn_speed(self, ended: SlotRelease) -> None:
        """Learn from the gaps between the events of a stream."""
        if ended.events < MIN_EVENTS or not self.is_engine:
            return
        tokens = (ended.events - 1) * self.spec.event_tokens
        sample = ended.decode_s / tokens / TOKEN_GAP_S
        sample = min(max(sample, MIN_SLOWNESS), MAX_SLOWNESS)
        self.samples += 1
        gain = max(SPEED_GAIN, 1 / self.samples)
        self.slowness += gain * (sample - self.slowness)


FAILURES = frozenset(
    (
        Ending.unreachable,
        Ending.broken,
        Ending.silent,
        Ending.refused,
        Ending.failed,
    )
)
