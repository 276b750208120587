"""Which endpoints a request may get while a version is rolled out."""

import math
from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

from trefoilspool.rollouts.messages import TargetUse, VersionRule

__all__ = ['MIN_CANARIES', 'candidate_groups', 'usable']

# Fewer endpoints could not tell a bad endpoint from a bad version.
MIN_CANARIES = 3


class Versioned(Protocol):
    """An endpoint with a name and a version of its software."""

    @property
    def name(self) -> str:
        """Return its name."""

    @property
    def software(self) -> str:
        """Return the version of its software."""


Endpoint = TypeVar('Endpoint', bound=Versioned)


def usable(
    rule: VersionRule | None, endpoints: Sequence[Endpoint]
) -> Sequence[Endpoint]:
    """Return the endpoints of a service that a request may get.

    If the service has no such endpoints, it may get any unless the target is
    forbidden: it would have to be refused otherwise.

    Parameters
    ----------
    rule : VersionRule or None
        The rule for the request; None without a roll-out.
    endpoints : sequence
        All available endpoints of the service.
    """
    if rule is None or rule.use is TargetUse.preferred:
        return endpoints
    wants_target = rule.use is TargetUse.required
    matching = [
        endpoint
        for endpoint in endpoints
        if (endpoint.software == rule.target) is wants_target
    ]
    if rule.use is TargetUse.forbidden:
        return matching
    return matching or endpoints


def candidate_groups(
    rule: VersionRule | None,
    endpoints: Sequence[Endpoint],
    eligible: Iterable[Endpoint],
) -> list[list[Endpoint]]:
    """Return the eligible endpoints in groups, the one to try first before.

    A request that prefers the target gets one of a few endpoints of it, so
    that they are as busy as those of the other versions: a version may be bad
    only under load.

    Parameters
    ----------
    rule : VersionRule or None
        The rule for the request; None without a roll-out.
    endpoints : sequence
        All available endpoints of the service.
    eligible : iterable
        Those of the usable ones that may get the request now.
    """
    eligible = list(eligible)
    if rule is None or rule.use is not TargetUse.preferred:
        return [eligible]
    names = sorted(
        endpoint.name
        for endpoint in endpoints
        if endpoint.software == rule.target
    )
    width = max(MIN_CANARIES, math.ceil(len(names) * rule.share))
    canaries = frozenset(names[:width])
    first = [endpoint for endpoint in eligible if endpoint.name in canaries]
    others = [
        endpoint for endpoint in eligible if endpoint.software != rule.target
    ]
    return [first, others] if others else [eligible]
