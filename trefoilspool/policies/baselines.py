"""Baselines that know neither tiers nor limits."""

import random
from collections.abc import Sequence

from trefoilspool.events import Ask
from trefoilspool.policy import Candidate, Policy

__all__ = ['LeastOutstanding', 'RoundRobin', 'TwoChoices']


class RoundRobin(Policy):
    """Takes the endpoints in turn."""

    def __init__(self) -> None:
        self.turn = 0

    def choose(self, ask: Ask, candidates: Sequence[Candidate]) -> Candidate:
        """Return the next endpoint by name."""
        ordered = sorted(candidates)
        self.turn += 1
        return ordered[self.turn % len(ordered)]


class LeastOutstanding(Policy):
    """Takes the endpoint with the fewest requests of its own."""

    def choose(self, ask: Ask, candidates: Sequence[Candidate]) -> Candidate:
        """Return the lightest load."""
        return min(candidates, key=lambda one: (one.load, one.endpoint))


class TwoChoices(Policy):
    """Takes the lighter of two random endpoints."""

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)

    def choose(self, ask: Ask, candidates: Sequence[Candidate]) -> Candidate:
        """Return the lighter of two."""
        pair = [self.random.choice(candidates) for _ in range(2)]
        return min(pair, key=lambda one: (one.load, one.endpoint))
