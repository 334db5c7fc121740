"""GraphQL over HTTP as a dialect of the application's front."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence

from ryepier.balancer.interface import Effect, Settings
from ryepier.conf import operators as conf
from ryepier.graphql import answers
from ryepier.graphql.classify import ClassRule, FieldRule, Table
from ryepier.graphql.errors import GraphqlError
from ryepier.graphql.request import JSON_TYPE, RESPONSE_TYPE, Asked, Reader, response_type
from ryepier.sidecar.config import Config, parse_address
from ryepier.sidecar.host import Answer, Call, Host, Verdict, clock_us
from ryepier.sidecar.parts import Front
from ryepier.sidecar.server import (
    IDENT,
    Catalogue,
    Dialect,
    Reply,
    RequestError,
    Server,
    Tenants,
    read_headers,
    retry_after,
    stable_hash,
    whole_number,
)

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
# of this connection, or said anew: what the client says of class and key is not what the operation is
OWN_HEADERS = frozenset(
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
        b"content-type",
        b"content-encoding",
        b"x-deadline-ms",
        b"x-request-id",
        b"x-class",
        b"idempotency-key",
    )
)
NEW_IDENT_BYTES = 12  # of chance: no two requests of a fleet share one


class GraphqlRequestError(RequestError):
    """A request that is not taken, in GraphQL's words."""

    def __init__(self, error: GraphqlError, answer_type: str) -> None:
        super().__init__(error.status, error.text, keeps=True)
        self.code = error.code
        self.allow = error.allow
        self.answer_type = answer_type


def make_table(settings: conf.Graphql, platform: Settings) -> Table:
    """The operators' table over the platform's classes. Raises ValueError where they don't go together."""
    rules: dict[str, dict[str, FieldRule]] = {"query": {}, "mutation": {}}
    for one in settings.fields:
        rules[one.type][one.name] = FieldRule(
            one.request_class, one.key, int(one.cost_ms * 1000), int(one.deadline_ms * 1000)
        )
    return Table(
        {kind.name: ClassRule(kind.name, kind.effect) for kind in platform.classes},
        rules["query"],
        rules["mutation"],
        settings.queries,
        settings.mutations,
    )


class GraphqlDialect:
    """Reads GraphQL requests; every path, or one with all below it left to others."""

    def __init__(self, settings: Settings, reader: Reader) -> None:
        self.settings = settings
        self.reader = reader
        self.classes = {kind.name: index for index, kind in enumerate(settings.classes)}
        self.tenants = Tenants(settings)

    def call(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> Call:
        """Raises RequestError."""
        found = read_headers(headers, SINGLE_HEADERS)
        answer_type = RESPONSE_TYPE
        try:
            answer_type = response_type(found.get(b"accept", b"").decode("latin-1"))
            asked = self._ask(method, target, found, body)
        except GraphqlError as error:
            raise GraphqlRequestError(error, answer_type) from None
        return self._call(target, headers, found, asked, answer_type)

    def _ask(self, method: bytes, target: bytes, found: dict[bytes, bytes], body: bytes) -> Asked:
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

    def _call(
        self,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        found: dict[bytes, bytes],
        asked: Asked,
        answer_type: str,
    ) -> Call:
        meant = asked.meaning
        index = self.classes[meant.class_name]
        kind = self.settings.classes[index]
        ident = found.get(b"x-request-id") or os.urandom(NEW_IDENT_BYTES).hex().encode()
        if not IDENT.fullmatch(ident):
            raise RequestError(400, "no X-Request-Id that can be used")
        asked_us = 1000 * whole_number(found[b"x-deadline-ms"], "X-Deadline-Ms") if b"x-deadline-ms" in found else 0
        cost, key = found.get(b"x-cost-hint"), found.get(b"x-key")
        onward = [(name, value) for name, value in headers if name.lower() not in OWN_HEADERS]
        onward += [
            (b"Content-Type", JSON_TYPE.encode()),
            (b"X-Request-Id", ident),
            (b"X-Class", meant.class_name.encode()),
        ]
        if meant.key:
            onward.append((b"Idempotency-Key", meant.key.encode()))
        return Call(
            b"POST",
            target.partition(b"?")[0],
            onward,
            asked.body,
            clock_us(),
            deadline_us=min(asked_us or meant.deadline_us or kind.deadline_us, kind.deadline_us),
            class_index=index,
            ident=ident,
            tenant=self.tenants.place(found),
            key=stable_hash(key) if key else 0,
            cost_us=whole_number(cost, "X-Cost-Hint") if cost else meant.cost_us,
            retried=found.get(b"x-retry") == b"1",
            passes_errors=True,
            answer_type=answer_type.encode(),
        )

    def answer(self, call: Call, answer: Answer) -> Reply:
        """What a converter said goes on as it is, with its errors."""
        if answer.verdict is Verdict.SERVED:
            kind = answer.content_type or call.answer_type
            return answer.status, answer.body, b"Content-Type: %s\r\n" % kind
        head = b"Content-Type: %s\r\n" % call.answer_type
        if answer.verdict is Verdict.REFUSED:
            return 503, answers.refused(answer.retry_after_us), head + retry_after(answer.retry_after_us)
        harmless = self.settings.classes[call.class_index].effect == Effect.IDEMPOTENT
        return 500, answers.failed(harmless), head

    def rejected(self, target: bytes, reject: RequestError) -> Reply:
        if not isinstance(reject, GraphqlRequestError):
            reject = GraphqlRequestError(GraphqlError(reject.status, "BAD_REQUEST", str(reject)), RESPONSE_TYPE)
        head = f"Content-Type: {reject.answer_type}\r\n"
        if reject.allow:
            head += f"Allow: {reject.allow}\r\n"
        return reject.status, answers.error_body(reject.code, str(reject)), head.encode()


class ByPath:
    """Two dialects on one listener: one path is GraphQL's, all else the platform's."""

    def __init__(self, path: bytes, graphql: Dialect, plain: Dialect) -> None:
        self.path = path
        self.graphql = graphql
        self.plain = plain

    def of(self, target: bytes) -> Dialect:
        return self.graphql if target.partition(b"?")[0] == self.path else self.plain

    def call(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> Call:
        return self.of(target).call(method, target, headers, body)

    def answer(self, call: Call, answer: Answer) -> Reply:
        return (self.graphql if call.answer_type else self.plain).answer(call, answer)

    def rejected(self, target: bytes, reject: RequestError) -> Reply:
        return self.of(target).rejected(target, reject)


def make_fronts(settings: conf.Graphql) -> Sequence[Callable[[Config, Host], Front]]:
    """The platform's front, which GraphQL may share, and one of its own; all readers are one."""
    readers: list[Reader] = []

    def dialect(config: Config) -> GraphqlDialect:
        if not readers:
            readers.append(Reader(make_table(settings, config.settings), settings.most_batch))
        return GraphqlDialect(config.settings, readers[0])

    def shared(config: Config, host: Host) -> Front:
        plain = Catalogue(config.settings)
        both = ByPath(settings.path.encode(), dialect(config), plain) if settings.path else plain
        return Server(host, config.settings, config.listen, most_clients(config, settings), both)

    def own(config: Config, host: Host) -> Front:
        return Server(
            host, config.settings, parse_address(settings.listen), most_clients(config, settings), dialect(config)
        )

    return (shared, own) if settings.listen else (shared,)


def most_clients(config: Config, settings: conf.Graphql) -> int:
    """Half of the descriptors is for clients, of both fronts together."""
    return config.sockets // (4 if settings.listen else 2)
