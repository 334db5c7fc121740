"""Front end for GraphQL over HTTP, as a dialect of the sidecar's HTTP server."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence

from ryepier.balancer.interface import Idempotency, Settings
from ryepier.conf import operator_settings as conf
from ryepier.graphql import answers
from ryepier.graphql.classify import Classification, ClassificationTable, ClassRule, FieldRule
from ryepier.graphql.errors import GraphqlError
from ryepier.graphql.request import JSON_TYPE, RESPONSE_TYPE, ParsedRequest, RequestReader, response_type
from ryepier.sidecar import system
from ryepier.sidecar.components import FrontEnd
from ryepier.sidecar.config import Config, parse_address
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.request_buffers import max_buffered_bytes, max_client_connections
from ryepier.sidecar.request_parsing import (
    HOP_BY_HOP_HEADERS,
    IDENTIFIER_PATTERN,
    Dialect,
    PlatformDialect,
    RequestError,
    Response,
    TenantIndex,
    parse_headers,
    parse_integer,
    retry_after_line,
    stable_hash,
)
from ryepier.sidecar.requests import Address, ClientRequest, FinalAnswer, FinalOutcome, Header
from ryepier.sidecar.server import Server
from ryepier.sidecar.system import clock_us

# Headers that must not be repeated, as the sidecar and the converter might each use a different one of the values.
UNREPEATABLE_HEADERS = frozenset(
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
# Client headers that are not forwarded: hop-by-hop headers, and those that the sidecar sets itself. The sidecar derives
# the class and the idempotency key from the operation, not from headers.
NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"content-type",
    b"content-encoding",
    b"x-request-id",
    b"x-class",
    b"idempotency-key",
}
# Random bytes in a request id that the sidecar generates; enough to make the ids unique in the whole fleet.
NEW_REQUEST_ID_BYTES = 12


class GraphqlRequestError(RequestError):
    """Raised for a request that is not accepted and whose response is a GraphQL error."""

    def __init__(self, error: GraphqlError, accepted_type: str) -> None:
        """Store the content of `error`, for a response of media type `accepted_type` that keeps the connection open."""
        super().__init__(error.status, error.text, keeps_connection=True)
        self.code = error.code
        self.allow = error.allow
        self.accepted_type = accepted_type


def make_classification_table(settings: conf.GraphqlSettings, platform_settings: Settings) -> ClassificationTable:
    """Build the classification table from the operators' rules and the platform's classes.

    Raises ValueError if a rule does not fit its class.
    """
    rules: dict[str, dict[str, FieldRule]] = {"query": {}, "mutation": {}}
    for field in settings.fields:
        rules[field.type][field.name] = FieldRule(
            field.request_class, field.key, int(field.cost_ms * 1000), int(field.deadline_ms * 1000)
        )
    return ClassificationTable(
        {
            request_class.name: ClassRule(request_class.name, request_class.idempotency)
            for request_class in platform_settings.classes
        },
        rules["query"],
        rules["mutation"],
        settings.queries,
        settings.mutations,
    )


class GraphqlDialect:
    """Dialect of GraphQL over HTTP; implements `ryepier.sidecar.request_parsing.Dialect`."""

    def __init__(self, settings: Settings, reader: RequestReader) -> None:
        """Index the classes and tenants of `settings`; `reader` may be shared with other front ends."""
        self.settings = settings
        self.reader = reader
        self.class_indexes = {request_class.name: index for index, request_class in enumerate(settings.classes)}
        self.tenants = TenantIndex(settings)

    def parse(self, method: bytes, target: bytes, headers: list[Header], body: bytes) -> ClientRequest:
        """Parse and classify a request, and convert it to a POST for a converter. Raises RequestError."""
        headers_by_name = parse_headers(headers, UNREPEATABLE_HEADERS)
        accepted_type = RESPONSE_TYPE
        try:
            accepted_type = response_type(headers_by_name.get(b"accept", b"").decode("latin-1"))
            parsed_request = self._read_operations(method, target, headers_by_name, body)
        except GraphqlError as error:
            raise GraphqlRequestError(error, accepted_type) from None
        return self._client_request(target, headers, headers_by_name, parsed_request, accepted_type)

    def _read_operations(
        self, method: bytes, target: bytes, headers_by_name: dict[bytes, bytes], body: bytes
    ) -> ParsedRequest:
        if method == b"GET":
            if body:
                raise GraphqlError(400, "BAD_REQUEST", "a GET has no body")
            try:
                return self.reader.read_get(target.partition(b"?")[2].decode("ascii"))
            except UnicodeDecodeError:
                raise GraphqlError(400, "BAD_REQUEST", "the query string is not plain text") from None
        if method != b"POST":
            raise GraphqlError(405, "METHOD_NOT_ALLOWED", "expected GET or POST", "GET, POST")
        if b"content-encoding" in headers_by_name:
            raise GraphqlError(415, "UNSUPPORTED_MEDIA_TYPE", "no encoded bodies")
        return self.reader.read_post(headers_by_name.get(b"content-type", b"").decode("latin-1"), body)

    def _client_request(
        self,
        target: bytes,
        headers: list[Header],
        headers_by_name: dict[bytes, bytes],
        parsed_request: ParsedRequest,
        accepted_type: str,
    ) -> ClientRequest:
        classification = parsed_request.classification
        class_index = self.class_indexes[classification.class_name]
        request_class = self.settings.classes[class_index]
        request_id = self._request_id(headers_by_name)
        client_deadline_us = (
            1000 * parse_integer(headers_by_name[b"x-deadline-ms"], "X-Deadline-Ms")
            if b"x-deadline-ms" in headers_by_name
            else 0
        )
        cost_hint, key = headers_by_name.get(b"x-cost-hint"), headers_by_name.get(b"x-key")
        return ClientRequest(
            b"POST",
            target.partition(b"?")[0],
            self._forwarded_headers(headers, request_id, classification),
            parsed_request.body,
            clock_us(),
            deadline_us=min(
                client_deadline_us or classification.deadline_us or request_class.deadline_us, request_class.deadline_us
            ),
            class_index=class_index,
            request_id=request_id,
            tenant=self.tenants.find(headers_by_name),
            key=stable_hash(key) if key else 0,
            cost_us=parse_integer(cost_hint, "X-Cost-Hint") if cost_hint else classification.cost_us,
            marked_as_retry=headers_by_name.get(b"x-retry") == b"1",
            forwards_client_errors=True,
            accepted_type=accepted_type.encode(),
        )

    @staticmethod
    def _request_id(headers_by_name: dict[bytes, bytes]) -> bytes:
        """Return the client's request id, or a new one if the client sent none.

        Raises RequestError if the client's is not valid.
        """
        request_id = headers_by_name.get(b"x-request-id") or os.urandom(NEW_REQUEST_ID_BYTES).hex().encode()
        if not IDENTIFIER_PATTERN.fullmatch(request_id):
            raise RequestError(400, "no X-Request-Id that can be used")
        return request_id

    @staticmethod
    def _forwarded_headers(headers: list[Header], request_id: bytes, classification: Classification) -> list[Header]:
        """Return the client's headers without `NOT_FORWARDED_HEADERS`, followed by those that the sidecar sets."""
        forwarded_headers = [(name, value) for name, value in headers if name.lower() not in NOT_FORWARDED_HEADERS]
        forwarded_headers += [
            (b"Content-Type", JSON_TYPE.encode()),
            (b"X-Request-Id", request_id),
            (b"X-Class", classification.class_name.encode()),
        ]
        if classification.idempotency_key:
            forwarded_headers.append((b"Idempotency-Key", classification.idempotency_key.encode()))
        return forwarded_headers

    def render(self, request: ClientRequest, answer: FinalAnswer) -> Response:
        """Return the response to an accepted request.

        A converter's response is forwarded unchanged, including its GraphQL errors.
        """
        if answer.outcome is FinalOutcome.SERVED:
            content_type = answer.content_type or request.accepted_type
            return Response(answer.status, answer.body, b"Content-Type: %s\r\n" % content_type)
        header_lines = b"Content-Type: %s\r\n" % request.accepted_type
        if answer.outcome is FinalOutcome.REJECTED:
            return Response(
                503,
                answers.rejected_body(answer.retry_after_us),
                header_lines + retry_after_line(answer.retry_after_us),
            )
        is_idempotent = self.settings.classes[request.class_index].idempotency == Idempotency.IDEMPOTENT
        return Response(500, answers.failed_body(is_idempotent), header_lines)

    def render_error(self, target: bytes, error: RequestError) -> Response:
        """Return a response with a GraphQL error, for a request that was not accepted."""
        if not isinstance(error, GraphqlRequestError):
            error = GraphqlRequestError(GraphqlError(error.status, "BAD_REQUEST", str(error)), RESPONSE_TYPE)
        header_lines = f"Content-Type: {error.accepted_type}\r\n"
        if error.allow:
            header_lines += f"Allow: {error.allow}\r\n"
        return Response(error.status, answers.error_body(error.code, str(error)), header_lines.encode())


class PathDialect:
    """Selects the dialect of a request by its path, so that GraphQL and the platform's protocol share a listener."""

    def __init__(self, path: bytes, graphql_dialect: Dialect, platform_dialect: Dialect) -> None:
        """Use `graphql_dialect` for `path`, and `platform_dialect` for all other paths."""
        self.path = path
        self.graphql_dialect = graphql_dialect
        self.platform_dialect = platform_dialect

    def select_dialect(self, target: bytes) -> Dialect:
        """Return GraphQL's dialect if the target's path, without the query string, is GraphQL's path."""
        return self.graphql_dialect if target.partition(b"?")[0] == self.path else self.platform_dialect

    def parse(self, method: bytes, target: bytes, headers: list[Header], body: bytes) -> ClientRequest:
        """Parse a request with the dialect of its target. Raises RequestError."""
        return self.select_dialect(target).parse(method, target, headers, body)

    def render(self, request: ClientRequest, answer: FinalAnswer) -> Response:
        """Return the response to an accepted request.

        The request tells which dialect parsed it: only GraphQL's dialect sets `accepted_type`.
        """
        return (self.graphql_dialect if request.accepted_type else self.platform_dialect).render(request, answer)

    def render_error(self, target: bytes, error: RequestError) -> Response:
        """Return the response to a request that was not accepted."""
        return self.select_dialect(target).render_error(target, error)


def make_server(
    config: Config, dispatcher: RequestDispatcher, address: Address, dialect: Dialect, front_end_count: int
) -> Server:
    """Return the server of one of `front_end_count` front ends.

    All front ends together may use half of the descriptors and the memory for requests; each gets an equal share.
    """
    used_bytes = system.resident_bytes()
    return Server(
        dispatcher,
        config.settings,
        address,
        max_client_connections(config.max_descriptors, config.memory_mb, used_bytes) // front_end_count,
        max_buffered_bytes(config.memory_mb, used_bytes) // front_end_count,
        dialect,
    )


def make_front_end_factories(
    settings: conf.GraphqlSettings,
) -> Sequence[Callable[[Config, RequestDispatcher], FrontEnd]]:
    """Return the factories of the sidecar's front ends.

    The first makes the platform's front end, which also serves GraphQL if `path` is set. If `listen` is set, a second
    one makes a front end for GraphQL only. The dialects of both share one `RequestReader`, and thus its caches.
    """
    readers: list[RequestReader] = []
    front_end_count = 2 if settings.listen else 1

    def make_dialect(config: Config) -> GraphqlDialect:
        if not readers:
            readers.append(RequestReader(make_classification_table(settings, config.settings), settings.max_batch_size))
        return GraphqlDialect(config.settings, readers[0])

    def make_shared_front_end(config: Config, dispatcher: RequestDispatcher) -> FrontEnd:
        platform_dialect = PlatformDialect(config.settings)
        dialect = (
            PathDialect(settings.path.encode(), make_dialect(config), platform_dialect)
            if settings.path
            else platform_dialect
        )
        return make_server(config, dispatcher, config.listen, dialect, front_end_count)

    def make_graphql_front_end(config: Config, dispatcher: RequestDispatcher) -> FrontEnd:
        return make_server(config, dispatcher, parse_address(settings.listen), make_dialect(config), front_end_count)

    return (make_shared_front_end, make_graphql_front_end) if settings.listen else (make_shared_front_end,)
