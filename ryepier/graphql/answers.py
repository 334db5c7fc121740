"""Bodies of the responses that the sidecar itself gives, with errors in GraphQL's response format. Performs no I/O."""

from __future__ import annotations

import json


def error_body(code: str, text: str, **extensions: object) -> bytes:
    """Return a body with one error and no data. The error's `extensions` are `code` and the keyword arguments."""
    return json.dumps({"errors": [{"message": text, "extensions": {"code": code, **extensions}}]}).encode()


def rejected_body(retry_after_us: int) -> bytes:
    """Return the body for a rejected request, which did not run, so that the client may retry it.

    `retry_after_us` is the delay that the client should keep; 0 = unspecified.
    """
    retry_hint = {"retryAfterMs": retry_after_us // 1000} if retry_after_us else {}
    return error_body("OVERLOADED", "not done: too much to do; it may be sent again", mayHaveRun=False, **retry_hint)


def failed_body(is_idempotent: bool) -> bytes:
    """Return the body for a failed request, which may have run; only an idempotent request may be retried."""
    text = "failed; it may be sent again" if is_idempotent else "failed; it may have run, so it was not sent again"
    return error_body("UPSTREAM_FAILED", text, mayHaveRun=True)
