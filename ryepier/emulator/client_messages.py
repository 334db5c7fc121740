"""Messages of the emulated clients: requests in HTTP or GraphQL, and the body of a converter's response."""

from __future__ import annotations

import msgspec

from ryepier.emulator import graphql
from ryepier.emulator.draws import Arrivals
from ryepier.emulator.records import ClientAttempt
from ryepier.emulator.world import Effect, GraphqlMode, World


class ResponseBody(msgspec.Struct):
    """The body of a converter's response: the id of the request that it answers, and the converter's uid."""

    request_id: str = msgspec.field(name="for")
    uid: str = msgspec.field(name="by")


class GraphqlResponseBody(msgspec.Struct):
    """The body of a GraphQL response, which contains the `ResponseBody` as its extensions."""

    extensions: ResponseBody


class MessageCodec:
    """Encodes the requests and decodes the responses of a world's clients."""

    def __init__(self, world: World, arrivals: Arrivals) -> None:
        """Encode requests of the clients of `world`, with the cost hints from `arrivals`."""
        self.world = world
        self.arrivals = arrivals

    def decode_response(self, data: bytes) -> ResponseBody:
        """Return the body of a successful response. Raises msgspec.DecodeError if it is malformed."""
        if self.world.clients.speak_graphql:
            return msgspec.json.decode(data, type=GraphqlResponseBody).extensions
        return msgspec.json.decode(data, type=ResponseBody)

    def encode_request(self, attempt: ClientAttempt, host: bytes, now_us: int) -> bytes:
        """Return the bytes of a request. Its deadline header holds the time that remains at `now_us`."""
        remaining_ms = max(1, (attempt.sent_us + attempt.deadline_us - now_us) // 1000)
        if self.world.clients.speak_graphql:
            return self._encode_graphql(attempt, host, remaining_ms)
        return self._encode_http(attempt, host, remaining_ms)

    def _encode_http(self, attempt: ClientAttempt, host: bytes, remaining_ms: int) -> bytes:
        request_class = self.world.classes[attempt.request_class]
        is_idempotent = request_class.effect is Effect.IDEMPOTENT
        class_name = request_class.name.encode()
        headers = [
            b"%s /%s/%d HTTP/1.1" % (b"GET" if is_idempotent else b"POST", class_name, attempt.arrival),
            b"Host: " + host,
            b"X-Request-Id: " + attempt.request_id.encode(),
            b"X-Class: " + class_name,
            b"X-Tenant: " + self._tenant_name(attempt),
            b"X-Deadline-Ms: %d" % remaining_ms,
            b"X-Work-Us: %d" % attempt.work_us,
        ]
        if attempt.key:
            headers.append(b"Idempotency-Key: " + attempt.key.encode())
        hint_us = int(self.arrivals.hint_us[attempt.arrival])
        if hint_us:
            headers.append(b"X-Cost-Hint: %d" % hint_us)
        if attempt.number and self.world.clients.sends_retry_header:
            headers.append(b"X-Retry: 1")
        body = b"" if is_idempotent else b"file=%d" % attempt.arrival
        if body:
            headers.append(b"Content-Length: %d" % len(body))
        return _join_message(headers, body)

    def _encode_graphql(self, attempt: ClientAttempt, host: bytes, remaining_ms: int) -> bytes:
        request = graphql.make_request(
            self.world.classes[attempt.request_class],
            attempt.arrival,
            attempt.request_id,
            attempt.key,
            unique=self.world.clients.graphql is GraphqlMode.UNIQUE,
        )
        headers = [
            request.method + b" " + request.target + b" HTTP/1.1",
            b"Host: " + host,
            b"X-Request-Id: " + attempt.request_id.encode(),
            b"X-Deadline-Ms: %d" % remaining_ms,
            b"X-Tenant: " + self._tenant_name(attempt),
            b"X-Work-Us: %d" % attempt.work_us,
        ]
        if request.body:
            headers += [b"Content-Type: application/json", b"Content-Length: %d" % len(request.body)]
        return _join_message(headers, request.body)

    def _tenant_name(self, attempt: ClientAttempt) -> bytes:
        return self.world.tenants[attempt.tenant].name.encode()


def _join_message(headers: list[bytes], body: bytes) -> bytes:
    return b"\r\n".join(headers) + b"\r\n\r\n" + body
