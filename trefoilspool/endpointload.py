"""State of an endpoint in the slot scheduler: slots, speed, reliability."""

import itertools
import math
from typing import NamedTuple

from trefoilspool.departures import EndpointRun
from trefoilspool.limits.endpointpace import EndpointPace, pace_sign
from trefoilspool.reliability import Reliability
from trefoilspool.runverification import is_verified
from trefoilspool.slotmessages import (
    AttemptEnding,
    EndpointSpec,
    SlotKey,
    SlotRelease,
    SlotRequest,
)

__all__ = ['EndpointLoad', 'Reservation']

# At slowness 1:
PREFILL_TOKENS_PER_S = 150_000.0
TOKEN_GAP_S = 0.004
FIRST_TOKEN_BASE_S = 0.03  # time to the first token besides the prefill
PLAIN_REQUEST_S = 0.05  # at an endpoint that is not a model engine

# Weight of a second for which running streams stall, against a second of the
# request's own wait.
STALL_WEIGHT = 0.3
# Added to the score; traffic between data centres is expensive.
CROSS_DATA_CENTRE_COST_S = 0.01
SLOWNESS_GAIN = 0.4  # least weight of the newest sample in the average
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 50.0
MIN_EVENTS = 4  # of a stream; fewer give too few gaps to measure the speed
PREFIX_RETENTION_S = 9.0  # assumed time in the cache after the last use
MAX_CACHED_PREFIXES = 4096  # above this, the least recently used are dropped


class Reservation(NamedTuple):
    """A granted slot, counted until it is released.

    Attributes
    ----------
    parts : tuple of str
        Parts of the prompt that others may share; none if it was not asked for
        here.
    run : EndpointRun
        The endpoint's run when the slot was granted.
    is_probe : bool
        Whether the request tests a quarantined part.
    predicted_s : float
        Seconds to the first byte, as predicted at the grant; 0 if it was not.
    """

    service: str
    endpoint: str
    granted_at: float
    prompt_tokens: int
    output_tokens: int
    workspace: str
    charge: int
    parts: tuple[str, ...] = ()
    run: EndpointRun = EndpointRun('', 0)
    is_probe: bool = False
    predicted_s: float = 0


class EndpointLoad:
    """Load, speed and reliability of one endpoint.

    Parameters
    ----------
    spec : EndpointSpec
        The endpoint.

    Attributes
    ----------
    slowness : float
        Ratio of the endpoint's time per token to ``TOKEN_GAP_S``; 1 is the
        reference speed.
    prefill_free_at : float
        When the prefills granted so far are predicted to end, in seconds.
    cached_prefixes : dict
        When each prompt prefix that is assumed to be in the endpoint's cache
        expires, in seconds.
    down_at : float
        When it was last known to be down, in seconds: it refused a connection
        then, or an attempt ended and it refused one after it.
    pace : EndpointPace
        Number of requests that it gets before others are preferred.
    """

    def __init__(self, spec: EndpointSpec) -> None:
        self.spec = spec
        self.reservations: dict[SlotKey, Reservation] = {}
        self.reliability = Reliability()
        self.slowness = 1.0
        self.speed_samples = 0
        self.prefill_free_at = 0.0
        self.cached_prefixes: dict[str, float] = {}
        self.down_at = -math.inf
        self.pace = EndpointPace(spec.slots)
        # Requests whose answers the pace already took for signs.
        self.answered: set[SlotKey] = set()

    def accepts(self, ask: SlotRequest, confirmed_at: float) -> bool:
        """Return whether a request may go on at the endpoint's version.

        Parameters
        ----------
        ask : SlotRequest
            The request.
        confirmed_at : float
            As of when the records are confirmed, in seconds; see
            `RecordConfirmation`.
        """
        if ask.software is None:
            return True
        return ask.allows(self.spec.software) and self.is_verified(confirmed_at)

    def is_verified(self, confirmed_at: float) -> bool:
        """Return whether the endpoint's record is of the run that serves.

        One that was down may have come back, and its record be read later.
        """
        return is_verified(self.down_at, confirmed_at)

    @property
    def name(self) -> str:
        """Return its name."""
        return self.spec.name

    @property
    def software(self) -> str:
        """Return the version of its software."""
        return self.spec.software

    @property
    def free_slots(self) -> int:
        """Return the number of slots that are not in use."""
        return self.spec.slots - len(self.reservations)

    @property
    def is_engine(self) -> bool:
        """Return whether this is a model engine."""
        return self.spec.event_tokens > 0

    def uncached_tokens(self, ask: SlotRequest, now: float) -> int:
        """Return 0 if the whole prompt is cached, else all its tokens.

        Partial hits are ignored.
        """
        if (
            ask.prompt_prefixes
            and self.cached_prefixes.get(ask.prompt_prefixes[-1], 0) > now
        ):
            return 0
        return ask.prompt_tokens

    def predict_first_byte_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the seconds until the first byte of a new request."""
        if not self.is_engine:
            return (
                PLAIN_REQUEST_S * self.slowness * (1 + len(self.reservations))
            )
        backlog = max(0, self.prefill_free_at - now)
        own = self.uncached_tokens(ask, now) / PREFILL_TOKENS_PER_S
        return backlog + (own + FIRST_TOKEN_BASE_S) * self.slowness

    def predict_finish_s(self, ask: SlotRequest, now: float) -> float:
        """Predict the seconds until the response to a new request ends."""
        first_byte = self.predict_first_byte_s(ask, now)
        return first_byte + ask.output_tokens * TOKEN_GAP_S * self.slowness

    def score(self, ask: SlotRequest, now: float) -> float:
        """Return the cost of a request here, in seconds; less is better.

        The cost is the time to the request's first byte, plus the weighted
        time for which its prefill stalls the tokens of running requests, plus
        the expected cost of the endpoint's failures, plus
        ``CROSS_DATA_CENTRE_COST_S`` in another data centre.
        """
        cost = self.predict_first_byte_s(ask, now)
        cost += self.reliability.cost_s(now, repeatable=ask.repeatable)
        if self.spec.data_centre != ask.data_centre:
            cost += CROSS_DATA_CENTRE_COST_S
        if not self.is_engine:
            return cost
        prefill = self.uncached_tokens(ask, now) / PREFILL_TOKENS_PER_S
        stall = prefill * self.slowness * len(self.reservations)
        return cost + stall * STALL_WEIGHT

    def reserve(
        self, ask: SlotRequest, now: float, *, is_probe: bool = False
    ) -> Reservation:
        """Reserve a slot for a request."""
        self.reliability.on_grant(now)
        predicted_s = self.predict_first_byte_s(ask, now)
        if self.is_engine:
            own = self.uncached_tokens(ask, now) / PREFILL_TOKENS_PER_S
            start = max(now, self.prefill_free_at)
            self.prefill_free_at = start + own * self.slowness
            self.remember_prefixes(ask.prompt_prefixes, now)
        reservation = Reservation(
            ask.service,
            self.spec.name,
            now,
            ask.prompt_tokens,
            ask.output_tokens,
            ask.workspace,
            ask.charge,
            ask.parts,
            self.spec.run,
            is_probe,
            predicted_s,
        )
        self.reservations[ask.key] = reservation
        return reservation

    def remember_prefixes(self, prefixes: tuple[str, ...], now: float) -> None:
        """Note that prefixes are cached; forget the least recently used."""
        for prefix in prefixes:
            # Inserted again, so that the dictionary stays in order of use.
            self.cached_prefixes.pop(prefix, None)
            self.cached_prefixes[prefix] = now + PREFIX_RETENTION_S
        excess = max(0, len(self.cached_prefixes) - MAX_CACHED_PREFIXES)
        for oldest in list(itertools.islice(self.cached_prefixes, excess)):
            self.cached_prefixes.pop(oldest)

    def record_release(
        self,
        release: SlotRelease,
        granted_at: float,
        now: float,
    ) -> None:
        """Update speed and reliability from the ending of an attempt.

        Parameters
        ----------
        release : SlotRelease
            The release of its slot.
        granted_at, now : float
            When the slot was granted and the present time, in seconds.
        """
        self.answered.discard(release.key)
        if release.is_down:
            self.on_down(now)
            self.pace.restart()
        state = self.reliability.state
        failed = release.ending in FAILURE_ENDINGS
        if failed or release.ending is AttemptEnding.completed:
            self.reliability.observe(
                failed=failed,
                sent_at=granted_at,
                now=now,
            )
        if not failed and state is not self.reliability.state:
            self.pace.restart()
        if release.ending is AttemptEnding.completed:
            self.update_slowness(release)

    def on_down(self, at: float) -> None:
        """Note that it was down at a time, in seconds."""
        self.down_at = max(self.down_at, at)

    def on_answer(
        self, key: SlotKey, predicted_s: float, first_byte_s: float
    ) -> None:
        """Take the beginning of an answer for a sign of the pace, once.

        Parameters
        ----------
        key : SlotKey
            The request.
        predicted_s, first_byte_s : float
            Seconds to the first byte, as predicted and as it was; 0 if not
            known.
        """
        if not self.pace.is_finding or key in self.answered:
            return
        if predicted_s and first_byte_s:
            self.answered.add(key)
            self.pace.on_sign(pace_sign(first_byte_s, predicted_s))

    def update_slowness(self, release: SlotRelease) -> None:
        """Update the slowness from the gaps between a stream's events."""
        if release.events < MIN_EVENTS or not self.is_engine:
            return
        tokens = (release.events - 1) * self.spec.event_tokens
        sample = release.decode_s / tokens / TOKEN_GAP_S
        sample = min(max(sample, MIN_SLOWNESS), MAX_SLOWNESS)
        self.speed_samples += 1
        gain = max(SLOWNESS_GAIN, 1 / self.speed_samples)
        self.slowness += gain * (sample - self.slowness)


FAILURE_ENDINGS = frozenset(
    (
        AttemptEnding.unreachable,
        AttemptEnding.broken,
        AttemptEnding.silent,
        AttemptEnding.refused,
        AttemptEnding.failed,
    )
)
