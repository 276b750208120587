"""Baseline policies without tiers, limits and admission control."""

import random
from collections.abc import Sequence

from trefoilspool.events import Ask
from trefoilspool.policy import Candidate, Policy

__all__ = ['LeastOutstanding', 'RoundRobin', 'TwoChoices']


class RoundRobin(Policy):
    """Chooses the endpoints in turn."""

    def __init__(self) -> None:
        self.turn = 0

    def choose(self, ask: Ask, candidates: Sequence[Candidate]) -> Candidate:
        """Return the next candidate in the order of endpoint names."""
        ordered = sorted(candidates)
        self.turn += 1
        return ordered[self.turn % len(ordered)]


class LeastOutstanding(Policy):
    """Chooses the endpoint with the fewest outstanding permits."""

    def choose(self, ask: Ask, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the least load."""
        return min(
            candidates,
            key=lambda candidate: (candidate.load, candidate.endpoint),
        )


class TwoChoices(Policy):
    """Chooses the less loaded of two random endpoints."""

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)

    def choose(self, ask: Ask, candidates: Sequence[Candidate]) -> Candidate:
        """Return the less loaded of two random candidates."""
        pair = [self.random.choice(candidates) for _ in range(2)]
        return min(
            pair, key=lambda candidate: (candidate.load, candidate.endpoint)
        )
