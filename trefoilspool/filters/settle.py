"""The last step of the pipeline: it records a request's outcome."""

import json
import math
import time
from collections.abc import Iterator

from trefoilspool.claims import ClaimTask, ReleaseKey
from trefoilspool.events import VictimClass
from trefoilspool.filter import (
    Arrival,
    ClaimedJob,
    FinalResponse,
    Job,
    Response,
)
from trefoilspool.outcome import Outcome
from trefoilspool.problems import Problem
from trefoilspool.responses import correct_outcome
from trefoilspool.results import ResultStore
from trefoilspool.telemetry import Metrics, log_decision

__all__ = ['Settle', 'problem_response']


class Settle:
    """Records the outcome of a request: result, claim, metrics, log line.

    Parameters
    ----------
    claims : ClaimTask
        Releases the keys of requests that did not run.
    results : ResultStore
        Stores the results of at-most-once requests.
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
        final: FinalResponse,
    ) -> Response:
        """Return the response; the outcome is recorded when its body ends."""
        response = final
        if isinstance(final, Problem):
            if claimed is not None:
                final = correct_outcome(final, claimed)
            response = problem_response(final)
            if job is not None:
                job.progress.outcome = final.outcome
        assert isinstance(response, Response)
        headers = (('X-Request-Id', arrival.request_id), *response.headers)
        return response._replace(
            headers=headers,
            chunks=self.chunks_until_recorded(arrival, job, claimed, response),
        )

    def chunks_until_recorded(
        self,
        arrival: Arrival,
        job: Job | None,
        claimed: ClaimedJob | None,
        response: Response,
    ) -> Iterator[bytes]:
        """Yield the chunks, then record the outcome."""
        stored_chunks: list[bytes] = []
        has_result_key = claimed is not None and bool(claimed.result_key)
        chunks = response.chunks
        try:
            for chunk in chunks:
                if has_result_key:
                    stored_chunks.append(chunk)
                yield chunk
        finally:
            if hasattr(chunks, 'close'):
                chunks.close()
            self.record(arrival, job, response.status)
            if has_result_key and claimed is not None:
                self.store_result(
                    claimed, response.status, b''.join(stored_chunks)
                )

    def store_result(
        self,
        claimed: ClaimedJob,
        status: int,
        body: bytes,
    ) -> None:
        """Store the result; release the key if the request did not run."""
        outcome = final_outcome(claimed.job)
        self.results.finish(claimed.result_key, status, outcome.value, body)
        if outcome is Outcome.not_run and claimed.claim is not None:
            self.claims.post(ReleaseKey(claimed.claim))

    def record(self, arrival: Arrival, job: Job | None, status: int) -> None:
        """Update the metrics and write the log line."""
        tier = job.ask.tier if job else -1
        outcome = final_outcome(job).value if job else 'rejected'
        labels = f'tier="{tier}"'
        elapsed_s = time.monotonic() - arrival.arrived_at
        self.metrics.count(
            f'trefoilspool_requests_total{{{labels},outcome="{outcome}"}}',
        )
        self.metrics.record('trefoilspool_request_seconds', labels, elapsed_s)
        first_token_s = job.progress.first_token_s if job else 0
        if first_token_s:
            self.metrics.record(
                'trefoilspool_first_token_seconds',
                labels,
                first_token_s,
            )
        log_decision(
            'settle',
            arrival.request_id,
            outcome=outcome,
            status=status,
            tier=tier,
            took_s=round(elapsed_s, 4),
            **job_log_fields(job),
        )


def job_log_fields(job: Job | None) -> dict[str, object]:
    """Return a job's log fields; traces are recorded from them."""
    if job is None:
        return {'attempts': 0, 'tokens': 0}
    ask = job.ask
    is_model = ask.victim is not VictimClass.service
    return {
        'workspace': job.workspace,
        'kind': job.place.kind,
        'attempts': job.progress.attempts,
        'tokens': job.progress.relayed_tokens,
        'first_token_s': round(job.progress.first_token_s, 4),
        'timeout_s': round(ask.deadline - job.arrival.arrived_at, 3),
        'weight': ask.weight,
        'prompt_tokens': ask.prompt_tokens if is_model else 0,
        'allowed_tokens': ask.output_tokens,
        'victim': int(ask.victim),
        'interactive': ask.interactive,
    }


def final_outcome(job: Job) -> Outcome:
    """Return the outcome of a request that has ended."""
    progress = job.progress
    if progress.outcome is not None:
        return progress.outcome
    return Outcome.interrupted if progress.sent else Outcome.not_run


def problem_response(problem: Problem) -> Response:
    """Return the response of a problem."""
    headers = [
        ('Content-Type', 'application/problem+json'),
        ('X-Request-Outcome', problem.outcome.value),
    ]
    if problem.retry_after is not None:
        seconds = max(1, math.ceil(problem.retry_after))
        headers.append(('Retry-After', str(seconds)))
    body = json.dumps(problem.document()).encode()
    return Response(problem.status, tuple(headers), iter((body,)))
