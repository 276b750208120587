"""Base class of the stand-ins for endpoints, which run requests."""

from abc import abstractmethod
from collections.abc import Callable, Mapping

from trefoilspool.standin import Request, Response, Standin, json_response

__all__ = ['EndpointStandin']

HTTP_NOT_FOUND = 404
HTTP_SERVICE_UNAVAILABLE = 503


class EndpointStandin(Standin):
    """Answers with documents, and runs what is posted to other paths.

    Its fault ``leaving`` refuses new requests.
    """

    @abstractmethod
    def documents(self, request: Request) -> Mapping[str, Callable[[], object]]:
        """Return the functions that make the JSON documents, by path."""

    @abstractmethod
    def run(self, request: Request) -> Response:
        """Run a request and return its response."""

    def handle(self, request: Request) -> Response:
        """Return a document, or run a request."""
        document = self.documents(request).get(request.path)
        if document is not None:
            return json_response(document())
        if request.method != 'POST':
            return json_response({'error': 'no such path'}, HTTP_NOT_FOUND)
        if self.faults['leaving']:
            response = json_response(
                {'error': 'leaving'}, HTTP_SERVICE_UNAVAILABLE
            )
            response.headers = {'X-Request-Outcome': 'not_run'}
            return response
        return self.run(request)
