"""The log line and the metrics of a request that has ended."""

from trefoilspool import clock
from trefoilspool.requestprogress import RequestProgress
from trefoilspool.telemetry import Metrics, log_decision

__all__ = ['record_outcome']


def record_outcome(
    progress: RequestProgress,
    metrics: Metrics,
    status: int,
    outcome: str,
    detail: str = '',
    endpoint: str = '',
) -> None:
    """Log and count the outcome of a request.

    Parameters
    ----------
    progress : RequestProgress
        The request and its attempts.
    metrics : Metrics
        Counts outcomes.
    status : int
        Status that the caller got.
    outcome : str
        Slug of the problem, or how the response ended.
    detail : str
        Text for engineers on call.
    endpoint : str
        The endpoint that responded, if any.
    """
    request = progress.request
    now = clock.now()
    took_s = now - request.arrived_at
    log_decision(
        'settle',
        request.caller_request.request_id,
        outcome=outcome,
        status=status,
        detail=detail,
        endpoint=endpoint,
        route=request.route.name,
        service=request.service,
        workspace=request.workspace,
        rank=request.rank,
        version=request.version,
        place=progress.slot_number,
        attempts=progress.sent_attempts,
        may_have_run=progress.may_have_run,
        first_s=round(progress.times.first_byte_s, 4),
        took_s=round(took_s, 4),
        queued_s=round(request.queued_s, 4),
        left_s=round(request.deadline - now, 3),
        prompt_tokens=request.caller_request.prompt_tokens,
        output_tokens=request.caller_request.output_tokens,
        expected_tokens=request.caller_request.expected_tokens,
        events=progress.times.event_count,
        resumes=request.caller_request.resumes,
        resume_after=request.caller_request.resume_after,
    )
    labels = f'service="{request.service}",rank="{request.rank}"'
    metrics.count(
        f'trefoilspool_requests_total{{{labels},outcome="{outcome}",'
        f'status="{status}"}}',
    )
    metrics.record('trefoilspool_request_seconds', labels, took_s)
    if progress.times.first_byte_s:
        metrics.record(
            'trefoilspool_first_byte_seconds',
            labels,
            progress.times.first_byte_s,
        )
