"""Heads of responses."""

import http.client

__all__ = ['ResponseFormatError']


class ResponseFormatError(http.client.HTTPException):
    """A response is malformed."""
