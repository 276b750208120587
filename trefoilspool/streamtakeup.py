"""Streams that callers take up after a broken connection."""

from trefoilspool.callerrors import UnknownOriginError
from trefoilspool.requestprogress import RequestProgress
from trefoilspool.servingparts import ServingParts
from trefoilspool.streamorigins import FoundOrigin, OriginQuery
from trefoilspool.telemetry import Metrics, log_decision

__all__ = ['count_resumption', 'take_up']

# A caller takes a stream up within a second timeout at most.
LIFETIME_TIMEOUTS = 2
RETRY_AFTER_S = 0.5
KNOWN_LABELS = {True: 'known', False: 'unknown'}


def take_up(parts: ServingParts, progress: RequestProgress) -> None:
    """Bind a request to the version that began the stream it takes up.

    Raises
    ------
    UnknownOriginError
        When it is not known, or the route has another service now.
    """
    request = progress.request
    caller_request = request.caller_request
    if not (request.route.streams and caller_request.is_resumption):
        return
    found = find_origin(parts, progress)
    version = found.version
    count_resumption(parts.metrics, 'caller', is_known=bool(version.software))
    if not version.software or not request.route.leads_to(version.service):
        raise UnknownOriginError(caller_request.resumes, RETRY_AFTER_S)
    progress.request = request._replace(service=version.service)
    progress.software = version.software


def find_origin(parts: ServingParts, progress: RequestProgress) -> FoundOrigin:
    """Find out, log and count at which version a stream began."""
    request = progress.request
    caller_request = request.caller_request
    route = request.route
    found = parts.origins.find(
        OriginQuery(
            request.stream, route.name, route.timeout_s * LIFETIME_TIMEOUTS
        )
    )
    log_decision(
        'stream_taken_up',
        caller_request.request_id,
        resumes=caller_request.resumes,
        service=found.version.service,
        software=found.version.software,
        resume_after=caller_request.resume_after,
        **evidence_fields(found),
    )
    parts.metrics.count(
        f'trefoilspool_stream_origins_total{{source="{found.source.name}"}}'
    )
    return found


def evidence_fields(found: FoundOrigin) -> dict[str, object]:
    """Return the log fields that tell why a version was concluded."""
    return {
        'source': found.source.name,
        'asked': found.asked,
        'answers': {
            host: [origin.source.name, origin.software]
            for host, origin in found.answers.items()
        },
        'confirmed': found.is_confirmed,
        'waited_s': round(found.waited_s, 3),
        'records_age_s': round(found.records_age_s, 3),
    }


def count_resumption(metrics: Metrics, by: str, *, is_known: bool) -> None:
    """Count a stream that is to go on.

    Parameters
    ----------
    metrics : Metrics
        Holds the counter.
    by : str
        Who resumes it: the caller or this host.
    is_known : bool
        Whether the version that began it is known.
    """
    known = KNOWN_LABELS[is_known]
    metrics.count(
        f'trefoilspool_resumptions_total{{by="{by}",version="{known}"}}'
    )
