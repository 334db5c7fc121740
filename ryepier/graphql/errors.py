"""Errors of requests that are rejected before anything is forwarded."""

from __future__ import annotations

from ryepier.errors import RyepierError


class GraphqlError(RyepierError):
    """A rejected request: its HTTP status, a code for programs, and a text for people."""

    def __init__(self, status: int, code: str, text: str, allow: str = "") -> None:
        """Describe the response; `allow` has the allowed methods, with a 405."""
        super().__init__(text)
        self.status = status
        self.code = code
        self.text = text
        self.allow = allow


def malformed_request(text: str, code: str = "BAD_REQUEST") -> GraphqlError:
    """Return an error with status 400."""
    return GraphqlError(400, code, text)
