"""Parses and validates requests, and renders their responses in the protocol of a front end."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from ryepier.balancer.interface import Idempotency, Settings
from ryepier.errors import RyepierError
from ryepier.sidecar.requests import ClientRequest, FinalAnswer, FinalOutcome, Header
from ryepier.sidecar.system import clock_us

# Names in the platform's HTTP protocol
READINESS_PATH = b"/up"
CLASS_HEADER = b"x-class"
COST_HEADER = b"x-cost-hint"
DEADLINE_HEADER = b"x-deadline-ms"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
KEY_HEADER = b"x-key"
NOT_RUN_HEADER = b"x-not-run"  # response header; 1 = the upstream rejected the request before running it
REQUEST_ID_HEADER = b"x-request-id"
RETRY_HEADER = b"x-retry"
TENANT_HEADER = b"x-tenant"
DEADLINE_LINE = b"X-Deadline-Ms: %d"  # header that the sidecar adds to each attempt

MAX_INTEGER_DIGITS = 9  # maximum length of the integer value of a header
LATIN_1_SIZE = 256  # number of characters in Latin-1
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"host",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"content-length",
        b"transfer-encoding",
        DEADLINE_HEADER,
    )
)
# Headers that must not be repeated, as the sidecar and the upstream might each use a different one of the values.
UNREPEATABLE_HEADERS = frozenset(
    (
        b"host",
        b"content-length",
        REQUEST_ID_HEADER,
        CLASS_HEADER,
        TENANT_HEADER,
        KEY_HEADER,
        DEADLINE_HEADER,
        RETRY_HEADER,
        COST_HEADER,
        b"x-extras",
        IDEMPOTENCY_KEY_HEADER,
    )
)
# Bytes that are not percent-encoded in a URL
UNRESERVED_URL_BYTES = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_.-~")
IDENTIFIER_PATTERN = re.compile(rb"[!-~]{1,128}")
HEADER_VALUE = re.compile(rb"[\t -~]*")
NAME_HEADER_VALUE = re.compile(rb"[\t -~\x80-\xff]*")
# Headers whose values are names from the settings, which may have non-ASCII characters
NAME_HEADERS = frozenset((CLASS_HEADER, TENANT_HEADER))


class Response(NamedTuple):
    """A response to a client."""

    status: int
    body: bytes = b""
    headers: bytes = b""  # complete header lines, each with its line end


class RequestError(RyepierError):
    """A request is not accepted; its response has this `status`.

    The connection then closes, unless the request was valid HTTP with unacceptable content (`keeps_connection`).
    """

    def __init__(self, status: int, reason: str, keeps_connection: bool = False) -> None:
        """Store the status of the response; `reason` is its text."""
        super().__init__(reason)
        self.status = status
        self.keeps_connection = keeps_connection


class Dialect(Protocol):
    """A front end's protocol: parses requests and renders their responses, without deciding where requests go."""

    def parse(self, method: bytes, target: bytes, headers: list[Header], body: bytes) -> ClientRequest:
        """Validate a request and convert it to a `ClientRequest`. Raises RequestError if it is not acceptable."""

    def render(self, request: ClientRequest, answer: FinalAnswer) -> Response:
        """Return the response to an accepted request."""

    def render_error(self, target: bytes, error: RequestError) -> Response:
        """Return the response to a request that was not accepted; `target` may be incomplete."""


def stable_hash(key: bytes) -> int:
    """Return a hash that is the same in every process, unlike Python's `hash`."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big")


def parse_integer(text: bytes, name: str) -> int:
    """Parse a header's value as a non-negative integer. Raises RequestError, with the header's name, otherwise."""
    if not text.isdigit() or len(text) > MAX_INTEGER_DIGITS:
        raise RequestError(400, f"{name} is no whole number")
    return int(text)


def parse_headers(headers: list[Header], unrepeatable: frozenset[bytes]) -> dict[bytes, bytes]:
    """Return the header values by lower-case name; for a repeated header, the last one.

    Raises RequestError if a header in `unrepeatable` is repeated or a value has characters that are not allowed.
    """
    headers_by_name: dict[bytes, bytes] = {}
    for name, value in headers:
        name = name.lower()
        if name in headers_by_name and name in unrepeatable:
            raise RequestError(400, "a header is repeated")
        if not (NAME_HEADER_VALUE if name in NAME_HEADERS else HEADER_VALUE).fullmatch(value):
            raise RequestError(400, "a header's value is not plain text")
        headers_by_name[name] = value.strip()
    return headers_by_name


def percent_encode(name: str) -> bytes:
    """Percent-encode a name for a URL path. Importing `urllib.parse` would take 3 % of the sidecar's start time."""
    return b"".join(b"%c" % byte if byte in UNRESERVED_URL_BYTES else b"%%%02X" % byte for byte in name.encode())


def index_by_spelling(names: Sequence[str]) -> dict[bytes, int]:
    """Map each encoding of a name in a header or path (UTF-8, Latin-1, percent-encoded) to the index of the name."""
    indexes = {name.encode(): index for index, name in enumerate(names)}
    for index, name in enumerate(names):
        indexes.setdefault(percent_encode(name), index)
        if all(ord(character) < LATIN_1_SIZE for character in name):
            indexes.setdefault(name.encode("latin-1"), index)
    return indexes


class TenantIndex:
    """Looks up the tenant that a request names."""

    def __init__(self, settings: Settings) -> None:
        """Index the tenants of the settings."""
        self.indexes = index_by_spelling([tenant.name for tenant in settings.tenants])
        self.unknown_index = len(settings.tenants)

    def find(self, headers: Mapping[bytes, bytes]) -> int:
        """Return the index of a request's tenant.

        A request without a known tenant gets an index beyond those of the settings, so that it does not count against a
        known tenant.
        """
        return self.indexes.get(headers.get(TENANT_HEADER, b""), self.unknown_index)


class PlatformDialect:
    """The platform's protocol: HTTP/1.1 with headers for class, tenant, deadline and idempotency key."""

    def __init__(self, settings: Settings) -> None:
        """Prepare to parse requests of the classes and tenants in the settings."""
        self.settings = settings
        self.class_indexes = index_by_spelling([request_class.name for request_class in settings.classes])
        self.tenants = TenantIndex(settings)

    def parse(self, method: bytes, target: bytes, headers: list[Header], body: bytes) -> ClientRequest:
        """Validate a request and convert it to a `ClientRequest`. Raises RequestError.

        Requests that violate the protocol must not be forwarded: the upstream might close the connection on which it
        receives one, and the sidecar's next requests on that connection would fail.
        """
        headers_by_name = parse_headers(headers, UNREPEATABLE_HEADERS)
        index = self._class_index(target, headers_by_name)
        if not IDENTIFIER_PATTERN.fullmatch(headers_by_name.get(REQUEST_ID_HEADER, b"")):
            raise RequestError(400, "no X-Request-Id")
        request_class = self.settings.classes[index]
        self._check_method(request_class.idempotency, method, body)
        self._check_idempotency_key(request_class.idempotency, headers_by_name)
        key = headers_by_name.get(KEY_HEADER)
        cost_hint = headers_by_name.get(COST_HEADER)
        deadline_us = 1000 * parse_integer(headers_by_name.get(DEADLINE_HEADER, b""), "X-Deadline-Ms")
        return ClientRequest(
            method,
            target,
            [header for header in headers if header[0].lower() not in HOP_BY_HOP_HEADERS],
            body,
            clock_us(),
            deadline_us=min(deadline_us, request_class.deadline_us),  # limits how long a request stays open
            class_index=index,
            request_id=headers_by_name[REQUEST_ID_HEADER],
            tenant=self.tenants.find(headers_by_name),
            key=stable_hash(key) if key else 0,
            cost_us=parse_integer(cost_hint, "X-Cost-Hint") if cost_hint else 0,
            marked_as_retry=headers_by_name.get(RETRY_HEADER) == b"1",
        )

    def _class_index(self, target: bytes, headers_by_name: Mapping[bytes, bytes]) -> int:
        path = target.partition(b"?")[0]
        name = path[1:].split(b"/")[0]
        index = self.class_indexes.get(name) if path.startswith(b"/") and b"#" not in target else None
        if index is None or self.class_indexes.get(headers_by_name.get(CLASS_HEADER, b"")) != index:
            raise RequestError(404, "unknown class")
        return index

    @staticmethod
    def _check_method(idempotency: Idempotency, method: bytes, body: bytes) -> None:
        if method != (b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"):
            raise RequestError(400, "not the method of this class")
        if method == b"GET" and body:
            raise RequestError(400, "a GET has no body")

    @staticmethod
    def _check_idempotency_key(idempotency: Idempotency, headers_by_name: Mapping[bytes, bytes]) -> None:
        if idempotency is Idempotency.IDEMPOTENCY_KEY:
            if not IDENTIFIER_PATTERN.fullmatch(headers_by_name.get(IDEMPOTENCY_KEY_HEADER, b"")):
                raise RequestError(400, "no Idempotency-Key")
        elif IDEMPOTENCY_KEY_HEADER in headers_by_name:
            raise RequestError(400, "an Idempotency-Key, but not for this class")

    @staticmethod
    def render(request: ClientRequest, answer: FinalAnswer) -> Response:
        """Return the response to an accepted request."""
        if answer.outcome is FinalOutcome.SERVED:
            content_type = b"Content-Type: %s\r\n" % answer.content_type if answer.content_type else b""
            return Response(200, answer.body, content_type)
        if answer.outcome is FinalOutcome.REJECTED:
            return Response(503, b"", retry_after_line(answer.retry_after_us))
        return Response(500)

    @staticmethod
    def render_error(target: bytes, error: RequestError) -> Response:
        """Return the response to a request that was not accepted."""
        return Response(error.status, str(error).encode() + b"\n")


def retry_after_line(delay_us: int) -> bytes:
    """Return the Retry-After header line, or nothing for 0."""
    return b"Retry-After: %.3f\r\n" % (delay_us / 1e6) if delay_us else b""
