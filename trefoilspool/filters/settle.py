"""The last filter: it settles claims, metrics and the log line."""

import json
import math
import time
from collections.abc import Iterator

from trefoilspool.claims import ClaimTask, ReleaseKey
from trefoilspool.errors import Problem
from trefoilspool.events import VictimClass
from trefoilspool.filter import Answer, Arrival, ClaimedJob, Final, Job
from trefoilspool.outcome import Outcome
from trefoilspool.results import ResultStore
from trefoilspool.telemetry import Metrics, log_decision

__all__ = ['Settle', 'problem_answer']


class Settle:
    """Records what became of a request, once it is final.

    Parameters
    ----------
    claims : ClaimTask
        Frees the keys of requests that did not run.
    results : ResultStore
        Keeps the results of once-only requests.
    metrics : Metrics
        Counts outcomes by tier.
    """

    def __init__(
        self,
        claims: ClaimTask,
        results: ResultStore,
        metrics: Metrics,
    ) -> None:
        self.claims = claims
        self.results = results
        self.metrics = metrics

    def finish(
        self,
        arrival: Arrival,
        job: Job | None,
        claimed: ClaimedJob | None,
        final: Final,
    ) -> Answer:
        """Return the answer; it settles when its last chunk is taken."""
        answer = final
        if isinstance(final, Problem):
            if claimed is not None:
                final = truthful(final, claimed)
            answer = problem_answer(final)
            if job is not None:
                job.progress.outcome = final.outcome
        assert isinstance(answer, Answer)
        headers = (('X-Request-Id', arrival.request_id), *answer.headers)
        return answer._replace(
            headers=headers,
            chunks=self.settled(arrival, job, claimed, answer),
        )

    def settled(
        self,
        arrival: Arrival,
        job: Job | None,
        claimed: ClaimedJob | None,
        answer: Answer,
    ) -> Iterator[bytes]:
        """Yield the chunks and record the outcome at the end."""
        kept: list[bytes] = []
        keep = claimed is not None and bool(claimed.ticket)
        chunks = answer.chunks
        try:
            for chunk in chunks:
                if keep:
                    kept.append(chunk)
                yield chunk
        finally:
            if hasattr(chunks, 'close'):
                chunks.close()
            self.record(arrival, job, answer.status)
            if keep and claimed is not None:
                self.settle_key(claimed, answer.status, b''.join(kept))

    def settle_key(self, claimed: ClaimedJob, status: int, body: bytes) -> None:
        """Keep the result, or free the key of a request that did not run."""
        outcome = outcome_of(claimed.job)
        self.results.finish(claimed.ticket, status, outcome.value, body)
        if outcome is Outcome.not_run and claimed.claim is not None:
            self.claims.post(ReleaseKey(claimed.claim))

    def record(self, arrival: Arrival, job: Job | None, status: int) -> None:
        """Write metrics and the log line."""
        tier = job.ask.tier if job else -1
        outcome = outcome_of(job).value if job else 'rejected'
        labels = f'tier="{tier}"'
        took = time.monotonic() - arrival.arrived
        self.metrics.count(
            f'trefoilspool_requests_total{{{labels},outcome="{outcome}"}}',
        )
        self.metrics.record('trefoilspool_request_seconds', labels, took)
        first = job.progress.first_token_s if job else 0
        if first:
            self.metrics.record(
                'trefoilspool_first_token_seconds',
                labels,
                first,
            )
        log_decision(
            'settle',
            arrival.request_id,
            outcome=outcome,
            status=status,
            tier=tier,
            took_s=round(took, 4),
            **job_facts(job),
        )


def job_facts(job: Job | None) -> dict[str, object]:
    """Return what the log says of a job; a trace is recorded from it."""
    if job is None:
        return {'attempts': 0, 'tokens': 0}
    ask = job.ask
    model = ask.victim is not VictimClass.service
    return {
        'workspace': job.workspace,
        'kind': job.place.kind,
        'attempts': job.progress.attempts,
        'tokens': job.progress.relayed,
        'first_token_s': round(job.progress.first_token_s, 4),
        'timeout_s': round(ask.deadline - job.arrival.arrived, 3),
        'weight': ask.weight,
        'prompt_tokens': ask.prompt_tokens if model else 0,
        'allowed_tokens': ask.output_tokens,
        'victim': int(ask.victim),
        'interactive': ask.interactive,
    }


def outcome_of(job: Job) -> Outcome:
    """Return the outcome of a request that has ended."""
    progress = job.progress
    if progress.outcome is not None:
        return progress.outcome
    return Outcome.interrupted if progress.sent else Outcome.not_run


def truthful(problem: Problem, claimed: ClaimedJob) -> Problem:
    """Never let a problem say ``not_run`` of a request that was sent."""
    progress = claimed.job.progress
    if problem.outcome is Outcome.not_run and progress.sent:
        unknown = progress.result_unknown
        told = Outcome.may_have_run if unknown else Outcome.interrupted
        problem.outcome = told  # type: ignore[misc]
    return problem


def problem_answer(problem: Problem) -> Answer:
    """Return the answer of a problem."""
    headers = [
        ('Content-Type', 'application/problem+json'),
        ('X-Request-Outcome', problem.outcome.value),
    ]
    if problem.retry_after is not None:
        seconds = max(1, math.ceil(problem.retry_after))
        headers.append(('Retry-After', str(seconds)))
    body = json.dumps(problem.document()).encode()
    return Answer(problem.status, tuple(headers), iter((body,)))
