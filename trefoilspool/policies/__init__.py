"""Placement policies: the default one and baselines for comparison."""

from collections.abc import Mapping

from trefoilspool.policies.baselines import (
    LeastOutstanding,
    RoundRobin,
    TwoChoices,
)
from trefoilspool.policies.tiered import Tiered
from trefoilspool.policy import Policy

__all__ = ['POLICIES']

POLICIES: Mapping[str, type[Policy]] = {
    'tiered': Tiered,
    'round-robin': RoundRobin,
    'least-outstanding': LeastOutstanding,
    'two-choices': TwoChoices,
}
