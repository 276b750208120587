"""Decides which prompts get no endpoint: evidence, quarantine, probes."""

from enum import Enum, auto

from trefoilspool.quarantine import Quarantine

__all__ = ['GuardDecision', 'PromptGuard']


class GuardDecision(Enum):
    """Whether a request may get an endpoint, as far as its prompt goes.

    Attributes
    ----------
    waits
        Another request with the same suspect part is at an endpoint.
    probe
        It may, to test a quarantined part.
    """

    passes = auto()
    waits = auto()
    refused = auto()
    probe = auto()


class PromptGuard:
    """The home host's decisions on prompt parts under which endpoints end.

    Parameters
    ----------
    quarantine : Quarantine
        This host's copy of the quarantined parts.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine
