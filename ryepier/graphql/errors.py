"""Errors for requests that are rejected without being forwarded."""

from __future__ import annotations

from ryepier.errors import RyepierError


class GraphqlError(RyepierError):
    """Raised for a request that is rejected with an HTTP status, a machine-readable code and a message."""

    def __init__(self, status: int, code: str, text: str, allow: str = "") -> None:
        """Store the content of the response; `allow` is the value of the Allow header, which status 405 requires."""
        super().__init__(text)
        self.status = status
        self.code = code
        self.text = text
        self.allow = allow


def malformed_request(text: str, code: str = "BAD_REQUEST") -> GraphqlError:
    """Return the error for a request that is rejected with status 400 (Bad Request)."""
    return GraphqlError(400, code, text)
