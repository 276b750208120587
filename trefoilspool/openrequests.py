"""The limit on a host's open requests; the lowest tier is shed first."""

import threading

from trefoilspool.events import VictimClass
from trefoilspool.filter import Job
from trefoilspool.problems import OverloadedError

__all__ = ['OpenRequests']

RETRY_AFTER_S = 1.0


class OpenRequests:
    """Limits open requests; safe to use from any thread.

    When the limit is reached, a new request displaces an open one of a lower
    tier. It is refused only if there is none.

    Parameters
    ----------
    host : str
        This host's name.
    limit : int
        Maximum of open requests.
    """

    def __init__(self, host: str, limit: int) -> None:
        self.host = host
        self.limit = limit
        self.lock = threading.Lock()
        self.jobs: dict[int, Job] = {}

    def admit(self, job: Job) -> OverloadedError | None:
        """Admit a request, or return its refusal."""
        with self.lock:
            if len(self.jobs) >= self.limit:
                victim = self.find_victim(job)
                if victim is None:
                    return OverloadedError(
                        f'host {self.host} has {self.limit} open requests, '
                        f'none of which can be shed for tier {job.ask.tier}',
                        RETRY_AFTER_S,
                    )
                self.jobs.pop(victim.arrival.number)
                victim.progress.shed_now()
            self.jobs[job.arrival.number] = job
            return None

    def remove(self, number: int) -> None:
        """Remove a request that has ended."""
        with self.lock:
            self.jobs.pop(number, None)

    def find_victim(self, job: Job) -> Job | None:
        """Return the open request to shed for a new one, if any."""
        candidates = [
            other
            for other in self.jobs.values()
            if other.ask.tier > job.ask.tier
            and other.ask.victim is not VictimClass.service
        ]
        return min(
            candidates,
            key=lambda other: (-other.ask.tier, other.ask.victim),
            default=None,
        )
