"""The base class of placement policies."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import ClassVar, NamedTuple

from trefoilspool.events import Ask

__all__ = ['Candidate', 'Policy']


class Candidate(NamedTuple):
    """An endpoint that a request could use.

    Attributes
    ----------
    finish : float
        Predicted seconds until the response is complete.
    load : int
        Permits outstanding.
    reported : int
        Requests in the endpoint's last load report, which lags behind.
    """

    endpoint: str
    finish: float
    load: int
    reported: int


class Policy(ABC):
    """Chooses endpoints and declares which mechanisms of the cell apply.

    Attributes
    ----------
    tiered : bool
        Whether each tier has a queue of its own.
    limited : bool
        Whether learned limits restrict grants.
    admits : bool
        Whether requests that cannot finish in time are refused, and
        lower-tier work is preempted.
    """

    tiered: ClassVar[bool] = False
    limited: ClassVar[bool] = False
    admits: ClassVar[bool] = False

    @abstractmethod
    def choose(self, ask: Ask, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of the candidates; there is at least one."""
