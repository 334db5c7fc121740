"""Reading of requests: checks of their headers, and how a front end turns them into `ClientRequest`s and back."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from ryepier.balancer.interface import Idempotency, Settings
from ryepier.errors import RyepierError
from ryepier.sidecar.requests import ClientRequest, FinalAnswer, FinalOutcome, Header
from ryepier.sidecar.system import clock_us

# Names of the platform's protocol for HTTP
READINESS_PATH = b"/up"
CLASS_HEADER = b"x-class"
COST_HEADER = b"x-cost-hint"
DEADLINE_HEADER = b"x-deadline-ms"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
KEY_HEADER = b"x-key"
NOT_RUN_HEADER = b"x-not-run"  # of a response: 1 = the request was rejected before it ran
REQUEST_ID_HEADER = b"x-request-id"
RETRY_HEADER = b"x-retry"
TENANT_HEADER = b"x-tenant"
DEADLINE_LINE = b"X-Deadline-Ms: %d"  # header of an attempt

MAX_DIGITS = 9  # of a header's integer
LATIN_1_SIZE = 256  # characters
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
# headers that must not be repeated: the upstream might go by the other one
SINGLE_HEADERS = frozenset(
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
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_.-~")  # bytes of a URL
IDENTIFIER = re.compile(rb"[!-~]{1,128}")
HEADER_VALUE = re.compile(rb"[\t -~]*")
NAME_VALUE = re.compile(rb"[\t -~\x80-\xff]*")
NAME_HEADERS = frozenset((CLASS_HEADER, TENANT_HEADER))  # their values are names of the settings, in any language


class Response(NamedTuple):
    """A response to the application."""

    status: int
    body: bytes = b""
    headers: bytes = b""  # lines, each with its end


class RequestError(RyepierError):
    """A request that is not accepted; it gets a response with this status.

    The connection closes, unless the request was valid HTTP and only its content was not (`keeps_connection`).
    """

    def __init__(self, status: int, reason: str, keeps_connection: bool = False) -> None:
        """Describe the response."""
        super().__init__(reason)
        self.status = status
        self.keeps_connection = keeps_connection


class Dialect(Protocol):
    """How a front end reads requests and words their responses; it does not decide where requests go."""

    def parse(self, method: bytes, target: bytes, headers: list[Header], body: bytes) -> ClientRequest:
        """Return the request that was read. Raises RequestError."""

    def render(self, request: ClientRequest, answer: FinalAnswer) -> Response:
        """Return the response to an accepted request."""

    def render_error(self, target: bytes, error: RequestError) -> Response:
        """Return the response to a request that was not accepted; `target` as far as it was read."""


def stable_hash(key: bytes) -> int:
    """Return a hash that is the same in every process, which Python's own is not."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big")


def parse_integer(text: bytes, name: str) -> int:
    """Return a header's value as an integer of 0 or more. Raises RequestError."""
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise RequestError(400, f"{name} is no whole number")
    return int(text)


def parse_headers(headers: list[Header], single: frozenset[bytes]) -> dict[bytes, bytes]:
    """Return the headers by their names in lower case; of repeated ones the last. Raises RequestError."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        name = name.lower()
        if name in found and name in single:
            raise RequestError(400, "a header is repeated")
        if not (NAME_VALUE if name in NAME_HEADERS else HEADER_VALUE).fullmatch(value):
            raise RequestError(400, "a header's value is not plain text")
        found[name] = value.strip()
    return found


def percent_encode(name: str) -> bytes:
    """Return a name as a path carries it. `urllib.parse` would take three percent of the sidecar's start."""
    return b"".join(b"%c" % byte if byte in UNRESERVED else b"%%%02X" % byte for byte in name.encode())


def index_by_spelling(names: Sequence[str]) -> dict[bytes, int]:
    """Return the index of each name by its spellings in a header or path: UTF-8, Latin-1, percent-encoded."""
    found = {name.encode(): index for index, name in enumerate(names)}
    for index, name in enumerate(names):
        found.setdefault(percent_encode(name), index)
        if all(ord(letter) < LATIN_1_SIZE for letter in name):
            found.setdefault(name.encode("latin-1"), index)
    return found


class TenantIndex:
    """Finds the tenants that requests name."""

    def __init__(self, settings: Settings) -> None:
        """Index the tenants of the settings."""
        self.indexes = index_by_spelling([tenant.name for tenant in settings.tenants])
        self.unknown = len(settings.tenants)

    def find(self, headers: Mapping[bytes, bytes]) -> int:
        """Return the index of a request's tenant. A request without a known tenant must not count against a known
        one: its index is one beyond."""
        return self.indexes.get(headers.get(TENANT_HEADER, b""), self.unknown)


class PlatformDialect:
    """The platform's protocol: HTTP/1.1 with headers for class, tenant, deadline and idempotency key."""

    def __init__(self, settings: Settings) -> None:
        """Read requests of the settings' classes and tenants."""
        self.settings = settings
        self.classes = index_by_spelling([request_class.name for request_class in settings.classes])
        self.tenants = TenantIndex(settings)

    def parse(self, method: bytes, target: bytes, headers: list[Header], body: bytes) -> ClientRequest:
        """Check a request and return it. What the protocol does not allow ends here: upstreams that reject it or
        close on it would cost their connections and the requests behind."""
        found = parse_headers(headers, SINGLE_HEADERS)
        index = self._class_index(target, found)
        if not IDENTIFIER.fullmatch(found.get(REQUEST_ID_HEADER, b"")):
            raise RequestError(400, "no X-Request-Id")
        request_class = self.settings.classes[index]
        self._check_method(request_class.idempotency, method, body)
        self._check_idempotency_key(request_class.idempotency, found)
        key = found.get(KEY_HEADER)
        cost = found.get(COST_HEADER)
        deadline_us = 1000 * parse_integer(found.get(DEADLINE_HEADER, b""), "X-Deadline-Ms")
        return ClientRequest(
            method,
            target,
            [header for header in headers if header[0].lower() not in HOP_BY_HOP_HEADERS],
            body,
            clock_us(),
            deadline_us=min(deadline_us, request_class.deadline_us),  # bounds how long a request stays open
            class_index=index,
            request_id=found[REQUEST_ID_HEADER],
            tenant=self.tenants.find(found),
            key=stable_hash(key) if key else 0,
            cost_us=parse_integer(cost, "X-Cost-Hint") if cost else 0,
            marked_as_retry=found.get(RETRY_HEADER) == b"1",
        )

    def _class_index(self, target: bytes, found: Mapping[bytes, bytes]) -> int:
        path = target.partition(b"?")[0]
        name = path[1:].split(b"/")[0]
        index = self.classes.get(name) if path.startswith(b"/") and b"#" not in target else None
        if index is None or self.classes.get(found.get(CLASS_HEADER, b"")) != index:
            raise RequestError(404, "unknown class")
        return index

    @staticmethod
    def _check_method(idempotency: Idempotency, method: bytes, body: bytes) -> None:
        if method != (b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"):
            raise RequestError(400, "not the method of this class")
        if method == b"GET" and body:
            raise RequestError(400, "a GET has no body")

    @staticmethod
    def _check_idempotency_key(idempotency: Idempotency, found: Mapping[bytes, bytes]) -> None:
        if idempotency is Idempotency.IDEMPOTENCY_KEY:
            if not IDENTIFIER.fullmatch(found.get(IDEMPOTENCY_KEY_HEADER, b"")):
                raise RequestError(400, "no Idempotency-Key")
        elif IDEMPOTENCY_KEY_HEADER in found:
            raise RequestError(400, "an Idempotency-Key, but not for this class")

    @staticmethod
    def render(request: ClientRequest, answer: FinalAnswer) -> Response:
        """Return the response to an accepted request."""
        if answer.outcome is FinalOutcome.SERVED:
            content_type = b"Content-Type: %s\r\n" % answer.content_type if answer.content_type else b""
            return Response(200, answer.body, content_type)
        if answer.outcome is FinalOutcome.REJECTED:
            return Response(503, b"", retry_after(answer.retry_after_us))
        return Response(500)

    @staticmethod
    def render_error(target: bytes, error: RequestError) -> Response:
        """Return the response to a request that was not accepted."""
        return Response(error.status, str(error).encode() + b"\n")


def retry_after(after_us: int) -> bytes:
    """Return the Retry-After header line; none for 0."""
    return b"Retry-After: %.3f\r\n" % (after_us / 1e6) if after_us else b""
