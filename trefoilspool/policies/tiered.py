"""Strict priority tiers and earliest predicted finish."""

from collections.abc import Sequence

from trefoilspool.events import Ask
from trefoilspool.policy import Candidate, Policy

__all__ = ['Tiered']


class Tiered(Policy):
    """Chooses the endpoint with the earliest predicted finish."""

    tiered = True
    limited = True
    admits = True

    def choose(self, ask: Ask, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate that finishes first, at a tie the less loaded."""
        return min(
            candidates,
            key=lambda candidate: (
                candidate.finish,
                candidate.load,
                candidate.endpoint,
            ),
        )
