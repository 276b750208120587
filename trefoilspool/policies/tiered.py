"""Strict tiers with predicted finish times."""

from collections.abc import Sequence

from trefoilspool.events import Ask
from trefoilspool.policy import Candidate, Policy

__all__ = ['Tiered']


class Tiered(Policy):
    """Picks the endpoint with the earliest predicted finish."""

    tiered = True
    limited = True
    admits = True

    def choose(self, ask: Ask, candidates: Sequence[Candidate]) -> Candidate:
        """Return the earliest finish; ties go to the lighter load."""
        return min(
            candidates,
            key=lambda one: (one.finish, one.load, one.endpoint),
        )
