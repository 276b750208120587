"""How many requests a version that is rolled out may get before it is proven."""

from typing import NamedTuple

from trefoilspool.rollouts.progress import Rollout

__all__ = [
    'DEFAULT_EXPOSURE_SHARE',
    'DEFAULT_EXPOSURE_TOLERANCE',
    'ExposureBudget',
]

DEFAULT_EXPOSURE_SHARE = 0.1
DEFAULT_EXPOSURE_TOLERANCE = 50
SHARE_DIGITS = 3  # hosts tell each other shares in thousandths
# Part of the budget that the test of a version uses up.
CANARY_PART = 0.6
# Part after which a step is taken back unless the version is proven.
STEPS_PART = 0.85
MAX_CANARY_SHARE = 0.2
# Before this the rate of requests is not known.
RATE_AFTER_S = 1.0
# From a bad response to the end of the requests to its version on all hosts:
# reports come with heartbeats, and the decision has to be told.
REACTION_S = 1.0


class ExposureBudget(NamedTuple):
    """Requests that a version may get, if it is bad.

    Attributes
    ----------
    share : float
        Share of a service's requests between an order and its time limit.
    tolerance : int
        Requests besides.
    """

    share: float = DEFAULT_EXPOSURE_SHARE
    tolerance: int = DEFAULT_EXPOSURE_TOLERANCE

    def allowed(self, rollout: Rollout, now: float) -> float:
        """Return how many requests the target may get if it is bad."""
        expected = rollout.rate(RATE_AFTER_S, now) * rollout.order.duration_s
        return self.share * expected + self.tolerance

    def first_share(self) -> float:
        """Return the share before the rate of requests is known."""
        return round(self.share * CANARY_PART, SHARE_DIGITS)

    def canary_share(
        self, rollout: Rollout, test_s: float, now: float
    ) -> float:
        """Return the share that uses up a part of the budget in a test.

        Parameters
        ----------
        rollout : Rollout
            The roll-out.
        test_s : float
            Length of the test, in seconds.
        now : float
            The present time in seconds.

        Returns
        -------
        float
            The share; the first share while the rate is not known.
        """
        if now - rollout.started_at < RATE_AFTER_S or not rollout.sent():
            return self.first_share()
        tested = rollout.rate(RATE_AFTER_S, now) * test_s
        share = CANARY_PART * self.allowed(rollout, now) / tested
        return round(min(share, MAX_CANARY_SHARE), SHARE_DIGITS)

    def is_nearly_used(self, rollout: Rollout, now: float) -> bool:
        """Return whether an unproven version has got too much for a step."""
        return rollout.exposed() > STEPS_PART * self.allowed(rollout, now)

    def covers(self, rollout: Rollout, share: float, now: float) -> bool:
        """Return whether a larger share could still be ended in time.

        It could if what the target gets until all hosts know of bad responses
        is within what it may get.
        """
        until_known = share * rollout.rate(RATE_AFTER_S, now) * REACTION_S
        return rollout.exposed() + until_known <= self.allowed(rollout, now)
