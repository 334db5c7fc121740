"""Errors for requests that are rejected without being forwarded."""

from __future__ import annotations

from ryepier.errors import RyepierError


class GraphqlError(RyepierError):
    """Raised for a request that is rejected with an HTTP status, a machine-readable code and a message."""

    def __init__(self, status: int, code: str, text: str, allow: str = "") -> None:
        """Describe the response; `allow` is the value of its Allow header, for status 405."""
        super().__init__(text)
        self.status = status
        self.code = code
        self.text = text
        self.allow = allow


def malformed_request(text: str, code: str = "BAD_REQUEST") -> GraphqlError:
    """Return an error with status 400."""
    return GraphqlError(400, code, text)
