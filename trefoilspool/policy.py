"""The base class of placement policies."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import ClassVar, NamedTuple

from trefoilspool.events import Ask

__all__ = ['Candidate', 'Policy']


class Candidate(NamedTuple):
    """An endpoint that a request could use, as the policy sees it.

    Attributes
    ----------
    finish : float
        Predicted seconds until the answer is whole.
    load : int
        Permits outstanding.
    reported : int
        Requests in the endpoint's last report, which is late.
    """

    endpoint: str
    finish: float
    load: int
    reported: int


class Policy(ABC):
    """Chooses an endpoint, and says which mechanisms of the cell apply.

    Attributes
    ----------
    tiered : bool
        Whether tiers are kept apart.
    limited : bool
        Whether learned limits hold back grants.
    admits : bool
        Whether hopeless requests are refused at once.
    """

    tiered: ClassVar[bool] = False
    limited: ClassVar[bool] = False
    admits: ClassVar[bool] = False

    @abstractmethod
    def choose(self, ask: Ask, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of the candidates, of which there is at least one."""
