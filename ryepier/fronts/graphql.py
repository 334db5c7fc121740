"""GraphQL over HTTP as a dialect of the application's front."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence

from ryepier.balancer.interface import Idempotency, Settings
from ryepier.conf import operator_settings as conf
from ryepier.graphql import answers
from ryepier.graphql.classify import ClassRule, FieldRule, Meaning, Table
from ryepier.graphql.errors import GraphqlError
from ryepier.graphql.request import JSON_TYPE, RESPONSE_TYPE, ParsedRequest, Reader, response_type
from ryepier.sidecar.components import FrontEnd
from ryepier.sidecar.config import Config, parse_address
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.request_parsing import (
    HOP_BY_HOP_HEADERS,
    IDENTIFIER,
    Dialect,
    PlatformDialect,
    RequestError,
    Response,
    TenantIndex,
    parse_headers,
    parse_integer,
    retry_after,
    stable_hash,
)
from ryepier.sidecar.requests import ClientRequest, FinalAnswer, FinalOutcome, Header
from ryepier.sidecar.server import Server
from ryepier.sidecar.system import clock_us

SINGLE_HEADERS = frozenset(
    (
        b"host",
        b"content-length",
        b"content-type",
        b"accept",
        b"x-request-id",
        b"x-tenant",
        b"x-key",
        b"x-deadline-ms",
        b"x-retry",
        b"x-cost-hint",
    )
)
# headers of this connection, or written anew: class and key follow from the operation
OWN_HEADERS = HOP_BY_HOP_HEADERS | {
    b"content-type",
    b"content-encoding",
    b"x-request-id",
    b"x-class",
    b"idempotency-key",
}
NEW_REQUEST_ID_BYTES = 12  # random: no two requests of a fleet share an id


class GraphqlRequestError(RequestError):
    """A request that is not accepted, with a GraphQL error."""

    def __init__(self, error: GraphqlError, answer_type: str) -> None:
        """Take over an error, for a client that accepts `answer_type`."""
        super().__init__(error.status, error.text, keeps_connection=True)
        self.code = error.code
        self.allow = error.allow
        self.answer_type = answer_type


def make_table(settings: conf.GraphqlSettings, platform: Settings) -> Table:
    """Return the operators' table over the platform's classes. Raises ValueError if they contradict each other."""
    rules: dict[str, dict[str, FieldRule]] = {"query": {}, "mutation": {}}
    for one in settings.fields:
        rules[one.type][one.name] = FieldRule(
            one.request_class, one.key, int(one.cost_ms * 1000), int(one.deadline_ms * 1000)
        )
    return Table(
        {kind.name: ClassRule(kind.name, kind.idempotency) for kind in platform.classes},
        rules["query"],
        rules["mutation"],
        settings.queries,
        settings.mutations,
    )


class GraphqlDialect:
    """Reads GraphQL requests over HTTP."""

    def __init__(self, settings: Settings, reader: Reader) -> None:
        """Read requests of the settings' classes."""
        self.settings = settings
        self.reader = reader
        self.classes = {kind.name: index for index, kind in enumerate(settings.classes)}
        self.tenants = TenantIndex(settings)

    def parse(self, method: bytes, target: bytes, headers: list[Header], body: bytes) -> ClientRequest:
        """Return the request. Raises RequestError."""
        found = parse_headers(headers, SINGLE_HEADERS)
        answer_type = RESPONSE_TYPE
        try:
            answer_type = response_type(found.get(b"accept", b"").decode("latin-1"))
            parsed = self._parse_query(method, target, found, body)
        except GraphqlError as error:
            raise GraphqlRequestError(error, answer_type) from None
        return self._client_request(target, headers, found, parsed, answer_type)

    def _parse_query(self, method: bytes, target: bytes, found: dict[bytes, bytes], body: bytes) -> ParsedRequest:
        if method == b"GET":
            if body:
                raise GraphqlError(400, "BAD_REQUEST", "a GET has no body")
            try:
                return self.reader.get(target.partition(b"?")[2].decode("ascii"))
            except UnicodeDecodeError:
                raise GraphqlError(400, "BAD_REQUEST", "the query string is not plain text") from None
        if method != b"POST":
            raise GraphqlError(405, "METHOD_NOT_ALLOWED", "expected GET or POST", "GET, POST")
        if b"content-encoding" in found:
            raise GraphqlError(415, "UNSUPPORTED_MEDIA_TYPE", "no encoded bodies")
        return self.reader.post(found.get(b"content-type", b"").decode("latin-1"), body)

    def _client_request(
        self,
        target: bytes,
        headers: list[Header],
        found: dict[bytes, bytes],
        parsed: ParsedRequest,
        answer_type: str,
    ) -> ClientRequest:
        meant = parsed.meaning
        index = self.classes[meant.class_name]
        kind = self.settings.classes[index]
        request_id = self._request_id(found)
        requested_us = (
            1000 * parse_integer(found[b"x-deadline-ms"], "X-Deadline-Ms") if b"x-deadline-ms" in found else 0
        )
        cost, key = found.get(b"x-cost-hint"), found.get(b"x-key")
        return ClientRequest(
            b"POST",
            target.partition(b"?")[0],
            self._forwarded_headers(headers, request_id, meant),
            parsed.body,
            clock_us(),
            deadline_us=min(requested_us or meant.deadline_us or kind.deadline_us, kind.deadline_us),
            class_index=index,
            request_id=request_id,
            tenant=self.tenants.find(found),
            key=stable_hash(key) if key else 0,
            cost_us=parse_integer(cost, "X-Cost-Hint") if cost else meant.cost_us,
            marked_as_retry=found.get(b"x-retry") == b"1",
            forwards_client_errors=True,
            accepted_type=answer_type.encode(),
        )

    @staticmethod
    def _request_id(found: dict[bytes, bytes]) -> bytes:
        """Return the client's request id, or a new one where it sent none. Raises RequestError."""
        request_id = found.get(b"x-request-id") or os.urandom(NEW_REQUEST_ID_BYTES).hex().encode()
        if not IDENTIFIER.fullmatch(request_id):
            raise RequestError(400, "no X-Request-Id that can be used")
        return request_id

    @staticmethod
    def _forwarded_headers(headers: list[Header], request_id: bytes, meaning: Meaning) -> list[Header]:
        """Return the client's headers without those set here, followed by the sidecar's own."""
        forwarded = [(name, value) for name, value in headers if name.lower() not in OWN_HEADERS]
        forwarded += [
            (b"Content-Type", JSON_TYPE.encode()),
            (b"X-Request-Id", request_id),
            (b"X-Class", meaning.class_name.encode()),
        ]
        if meaning.key:
            forwarded.append((b"Idempotency-Key", meaning.key.encode()))
        return forwarded

    def render(self, request: ClientRequest, answer: FinalAnswer) -> Response:
        """Return the response; a converter's own is passed on unchanged, with its errors."""
        if answer.outcome is FinalOutcome.SERVED:
            kind = answer.content_type or request.accepted_type
            return Response(answer.status, answer.body, b"Content-Type: %s\r\n" % kind)
        head = b"Content-Type: %s\r\n" % request.accepted_type
        if answer.outcome is FinalOutcome.REJECTED:
            return Response(
                503, answers.rejected_body(answer.retry_after_us), head + retry_after(answer.retry_after_us)
            )
        harmless = self.settings.classes[request.class_index].idempotency == Idempotency.IDEMPOTENT
        return Response(500, answers.failed_body(harmless), head)

    def render_error(self, target: bytes, error: RequestError) -> Response:
        """Return the response to a request that was not accepted, as GraphQL words errors."""
        if not isinstance(error, GraphqlRequestError):
            error = GraphqlRequestError(GraphqlError(error.status, "BAD_REQUEST", str(error)), RESPONSE_TYPE)
        head = f"Content-Type: {error.answer_type}\r\n"
        if error.allow:
            head += f"Allow: {error.allow}\r\n"
        return Response(error.status, answers.error_body(error.code, str(error)), head.encode())


class ByPath:
    """Two dialects on one listener: one path is GraphQL's, all else the platform's."""

    def __init__(self, path: bytes, graphql: Dialect, plain: Dialect) -> None:
        """Use `graphql` on `path`, and `plain` elsewhere."""
        self.path = path
        self.graphql = graphql
        self.plain = plain

    def dialect_of(self, target: bytes) -> Dialect:
        """Return the dialect of a target."""
        return self.graphql if target.partition(b"?")[0] == self.path else self.plain

    def parse(self, method: bytes, target: bytes, headers: list[Header], body: bytes) -> ClientRequest:
        """Return the request. Raises RequestError."""
        return self.dialect_of(target).parse(method, target, headers, body)

    def render(self, request: ClientRequest, answer: FinalAnswer) -> Response:
        """Return the response to an accepted request."""
        return (self.graphql if request.accepted_type else self.plain).render(request, answer)

    def render_error(self, target: bytes, error: RequestError) -> Response:
        """Return the response to a request that was not accepted."""
        return self.dialect_of(target).render_error(target, error)


def make_fronts(settings: conf.GraphqlSettings) -> Sequence[Callable[[Config, RequestDispatcher], FrontEnd]]:
    """Return the platform's front end, which GraphQL may share, and one of its own; they share one reader."""
    readers: list[Reader] = []

    def dialect(config: Config) -> GraphqlDialect:
        if not readers:
            readers.append(Reader(make_table(settings, config.settings), settings.max_batch))
        return GraphqlDialect(config.settings, readers[0])

    def shared(config: Config, host: RequestDispatcher) -> FrontEnd:
        plain = PlatformDialect(config.settings)
        both = ByPath(settings.path.encode(), dialect(config), plain) if settings.path else plain
        return Server(host, config.settings, config.listen, max_clients(config, settings), both)

    def own(config: Config, host: RequestDispatcher) -> FrontEnd:
        return Server(
            host, config.settings, parse_address(settings.listen), max_clients(config, settings), dialect(config)
        )

    return (shared, own) if settings.listen else (shared,)


def max_clients(config: Config, settings: conf.GraphqlSettings) -> int:
    """Return how many clients each front end may have: half of the descriptors, of both together."""
    return config.max_descriptors // (4 if settings.listen else 2)
