"""Bodies of the front end's own responses, with errors in the format of the GraphQL specification. Performs no I/O."""

from __future__ import annotations

import json


def error_body(code: str, text: str, **extensions: object) -> bytes:
    """Return a body with one error and no data; `extensions` are added to the error's `extensions`."""
    return json.dumps({"errors": [{"message": text, "extensions": {"code": code, **extensions}}]}).encode()


def rejected_body(retry_after_us: int) -> bytes:
    """Return the body for a rejected request, which did not run and may be retried."""
    retry_hint = {"retryAfterMs": retry_after_us // 1000} if retry_after_us else {}
    return error_body("OVERLOADED", "not done: too much to do; it may be sent again", mayHaveRun=False, **retry_hint)


def failed_body(is_idempotent: bool) -> bytes:
    """Return the body for a failed request, which may have run; only an idempotent one may be sent again."""
    text = "failed; it may be sent again" if is_idempotent else "failed; it may have run, so it was not sent again"
    return error_body("UPSTREAM_FAILED", text, mayHaveRun=True)
