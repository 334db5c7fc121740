"""Bytes after a complete message: what a message is must not depend on what follows it in the same read."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryepier.emulator.client_connection import ClientConnection, Response, Target
from ryepier.emulator.records import ClientAttempt, RequestOutcome
from ryepier.sidecar.endpoint_watch import EndpointWatch, WatchState
from ryepier.sidecar.request_parsing import RequestError
from ryepier.sidecar.request_reader import RequestReader
from ryepier.slices import api_client
from ryepier.slices.reflector import CallKind
from tests.network_peers import OK, Upstream, request, respond_in_turn, run_async, sidecar

CHUNKED_HEADER = b"Transfer-Encoding: chunked"
FOLLOWING_BYTES = {
    "POST": request("pay", "2"),
    "GET": request("read", "2"),
    "start of a POST": b"POST /",
    "HTTP/1.0": request("pay", "2").replace(b"HTTP/1.1", b"HTTP/1.0"),
    "HTTP/2.0": request("pay", "2").replace(b"HTTP/1.1", b"HTTP/2.0"),
    "close": request("pay", "2", extra="Connection: close\r\n"),
    "chunked": b"POST /pay HTTP/1.1\r\n" + CHUNKED_HEADER + b"\r\n\r\n1\r\nx\r\n0\r\n\r\n",
}
FIRST_REQUESTS = {
    "GET": request("read", "1"),
    "POST": request("pay", "1", body=b"abc"),
    "POST with key": request("mark", "1", body=b"abc"),
    "chunked": request("pay", "1").replace(b"Content-Length: 0", CHUNKED_HEADER) + b"1\r\nx\r\n0\r\n\r\n",
    "GET for a class of POST": request("pay", "1").replace(b"POST", b"GET"),
    "DELETE for a class of POST": request("pay", "1").replace(b"POST", b"DELETE"),
    "HEAD for a class of GET": request("read", "1").replace(b"GET", b"HEAD"),
}
CLOSING_REQUESTS = {
    "HTTP/2.0": request("read", "1").replace(b"HTTP/1.1", b"HTTP/2.0"),
    "HTTP/1.0": request("read", "1").replace(b"HTTP/1.1", b"HTTP/1.0"),
    "close": request("read", "1", extra="Connection: close\r\n"),
}


def read_in_parts(data: bytes, part_sizes: list[int]) -> tuple[object, ...]:
    """Feed `data` to a reader in parts, up to the one that completes a request, and return what the request is."""
    reader, start = RequestReader(), 0
    for size in [*part_sizes, len(data)]:
        reader.feed(data[start : start + size])
        start += size
        if reader.is_complete:
            break
    assert reader.is_complete
    return (
        reader.method,
        reader.http_version,
        reader.keeps_alive,
        reader.target,
        reader.headers,
        reader.body,
    )


# Guards against values of the following request in a request: a GET was forwarded as the POST that came behind it.
@given(
    first=st.sampled_from(list(FIRST_REQUESTS.values())),
    following=st.sampled_from(list(FOLLOWING_BYTES.values())),
    part_sizes=st.lists(st.integers(1, 300), max_size=6),
)
def test_a_request_is_read_alike_alone_and_before_others(first: bytes, following: bytes, part_sizes: list[int]) -> None:
    assert read_in_parts(first + following, part_sizes) == read_in_parts(first, [])


@pytest.mark.parametrize("following", FOLLOWING_BYTES.values(), ids=FOLLOWING_BYTES.keys())
@pytest.mark.parametrize("first", CLOSING_REQUESTS.values(), ids=CLOSING_REQUESTS.keys())
def test_bytes_after_the_last_request_of_a_connection_make_it_malformed(first: bytes, following: bytes) -> None:
    assert read_in_parts(first, [])[2] is False
    with pytest.raises(RequestError):
        read_in_parts(first + following, [])


# Guards against a duplicate: converters must run only what a client sent as a request of its own.
@pytest.mark.parametrize("method", [b"GET", b"HEAD", b"DELETE"])
@pytest.mark.parametrize("following", FOLLOWING_BYTES.values(), ids=FOLLOWING_BYTES.keys())
def test_request_with_a_wrong_method_is_rejected_whatever_follows_it(method: bytes, following: bytes) -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(request("pay", "1").replace(b"POST", method, 1) + following)
            assert (await reader.read()).startswith(b"HTTP/1.1 400 ")
            writer.close()
        assert upstream.requests == []

    run_async(test)


def test_proper_request_before_an_http_1_0_request_is_served_and_its_connection_closes() -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(FIRST_REQUESTS["POST"] + FOLLOWING_BYTES["HTTP/2.0"])
            responses = await asyncio.wait_for(reader.read(), 5)
            writer.close()
        assert [response[:3] for response in responses.split(b"HTTP/1.1 ")[1:]] == [b"200", b"400"]
        assert [body for _, body in upstream.requests] == [b"abc"]

    run_async(test)


SECOND_RESPONSE = b"HTTP/1.1 500 Error\r\nRetry-After: 7\r\nContent-Length: 5\r\n\r\nextra"


def test_call_to_the_api_server_ends_with_its_first_response() -> None:
    async def test() -> None:
        for following in (SECOND_RESPONSE, b"\xff malformed"):
            response = api_client.ResponseReader(CallKind.LIST, lambda line: None, lambda: None)
            response.data_received(OK + following)
            assert response.is_complete and response.failure is None
            assert (response.status, bytes(response.body), response.retry_after_s) == (200, b"done", None)

    run_async(test)


@pytest.mark.parametrize("cut", [OK[:-1], OK.replace(b"Content-Length: 4\r\n", b""), b"HTTP/1.1 200 OK\r\n"])
def test_end_of_the_connection_completes_no_call_to_the_api_server(cut: bytes) -> None:
    async def test() -> None:
        response = api_client.ResponseReader(CallKind.LIST, lambda line: None, lambda: None)
        response.data_received(cut)
        response.connection_lost(None)
        assert response.done_future.done() and not response.is_complete

    asyncio.run(test())


@dataclass
class RecordingWatchClient:
    """Client of an endpoint watch that records the lists and the ends of watches."""

    address: tuple[str, int] = ("127.0.0.1", 1)
    version: int = 1
    lists: list[object] = field(default_factory=list)
    end_count: int = 0

    def is_current(self, watch: EndpointWatch) -> bool:
        return True

    def on_data(self) -> None:
        pass

    def on_complete_message(self) -> None:
        pass

    def on_unchanged(self) -> None:
        pass

    def on_list(self, message: object) -> None:
        self.lists.append(message)

    def on_malformed(self) -> None:
        raise AssertionError

    def on_watch_ended(self, watch: EndpointWatch) -> None:
        self.end_count += 1


@pytest.mark.parametrize(("status", "list_count"), [(200, 1), (503, 0)])
def test_watch_applies_no_list_from_bytes_after_its_response(status: int, list_count: int) -> None:
    def response(status: int, version: int) -> bytes:
        return b'HTTP/1.1 %d X\r\nContent-Length: 10\r\n\r\n{"rev":%d}\n' % (status, version)

    client = RecordingWatchClient()
    watch = EndpointWatch(client)
    watch.data_received(response(status, 2) + response(200, 3))
    assert client.lists == [{"rev": 2}][:list_count] and watch.state is WatchState.FAILED and client.end_count >= 1


def test_end_of_the_connection_completes_no_list_of_a_watch() -> None:
    client = RecordingWatchClient()
    watch = EndpointWatch(client)
    watch.data_received(b'HTTP/1.1 200 OK\r\n\r\n{"rev":2,"targets":[')
    watch.connection_lost(None)
    assert client.lists == [] and watch.state is WatchState.FAILED and client.end_count == 1


class RecordingRequest:
    """Request of an emulated client that records its response."""

    closes_connection = False
    has_ended = False

    def __init__(self) -> None:
        self.attempt = ClientAttempt(0, 0, "r-0", "", 0, 0, 0, 0, 0, 0, 0, 0, RequestOutcome.SERVED)
        self.responses: list[Response] = []

    def send(self, connection: ClientConnection) -> None:
        raise AssertionError

    def on_response(self, response: Response) -> None:
        self.responses.append(response)

    def on_connection_lost(self, may_be_unread: bool) -> None:
        raise AssertionError

    def end(self, outcome: object) -> None:
        raise AssertionError


# Guards against a second answer that the judge does not see, as it came in the same read as the first.
def test_emulated_client_notices_a_second_response_in_the_same_read() -> None:
    for following in (b"", SECOND_RESPONSE):
        request, target = RecordingRequest(), Target(("127.0.0.1", 1))
        connection = ClientConnection(target, request)
        connection.data_received(OK + following)
        assert request.responses == [Response(200, 0, b"done")]
        assert (request.attempt.trailing_bytes > 0) is bool(following)
        assert (connection in target.idle_connections) is not bool(following)
