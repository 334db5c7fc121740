"""Invalid and unusual input from clients, and clients that send slowly or stay idle."""

from __future__ import annotations

import asyncio
from urllib.parse import quote

import pytest

from ryepier.balancer.interface import RequestClass, Tenant
from ryepier.sidecar import client_connection, request_ids, system
from tests.network_peers import (
    OK,
    Upstream,
    check_rejected,
    read_message,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
)
from tests.sidecar_probes import record_requests


@pytest.mark.parametrize(
    ("data", "expected_status"),
    [
        (b"noise\r\n\r\n", 400),
        (request("read").replace(b"read", b"gone"), 404),
        (request("read").replace(b"X-Class: read", b"X-Class: pay"), 404),
        (request("read").replace(b"X-Class: read\r\n", b""), 404),
        (request("read").replace(b"/read/it", b"read/it"), 400),
        (request("read", extra="X-Class: read\r\n"), 400),
        (request("read", extra="X-Request-Id: 2\r\n"), 400),
        (request("read", extra="X-Deadline-Ms: 15000\r\n"), 400),
        (request("read", request_id="a b"), 400),
        (request("read", extra="X-Note: \xe4\r\n"), 400),
        (request("read", extra="Content-Length: 2\r\n") + b"ab", 400),
        (request("read").replace(b"HTTP/1.1", b"HTTP/2.0"), 400),
        (b"GET /read\r\n\r\n", 400),
        (request("read", extra="Connection: upgrade\r\nUpgrade: h2c\r\n"), 400),
        (b"CONNECT read:1 HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (request("pay", extra="Idempotency-Key: k\r\n"), 400),
        (request("read", deadline_ms=10**12), 400),
        (request("pay", extra="Content-Length: 0\r\n"), 400),
        (request("pay").replace(b"Content-Length: 0", b"Content-Length: +4") + b"abcd", 400),
        # the rest of the body is not a valid request
        (request("pay", body=b"abcd").replace(b"Length: 4", b"Length: 2"), 400),
        # rejected as soon as the Content-Length header is read, before any of the body arrives
        (request("pay").replace(b"Content-Length: 0", b"Content-Length: 60000000"), 413),
        (request("read", request_id=""), 400),
        (request("read", deadline_ms="soon"), 400),
        (request("read", deadline_ms=-5), 400),
        (request("mark").replace(b"Idempotency-Key", b"Other"), 400),
        (request("pay").replace(b"POST", b"GET"), 400),
        (request("pay", extra="Transfer-Encoding: chunked\r\n") + b"0\r\n\r\n", 400),  # also has a Content-Length
        (request("pay").replace(b"Content-Length: 0", b"Content-Length: -1"), 400),
        (request("pay", body=b"x" * 70_000), 413),
        (b"GET /read HTTP/1.1\r\nX-Endless: " + b"x" * 20_000, 413),
    ],
)
def test_invalid_request_is_rejected_and_its_connection_closes(data: bytes, expected_status: int) -> None:
    run_async(lambda: check_rejected(data, expected_status))


def test_first_of_pipelined_requests_is_served_and_the_next_rejected() -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(request(request_id="1") + request(request_id="2"))
            responses = await reader.read()
            writer.close()
        assert [response[:3] for response in responses.split(b"HTTP/1.1 ")[1:]] == [b"200", b"400"]
        assert len(upstream.requests) == 1

    run_async(test)


def test_request_with_a_duplicate_id_is_not_forwarded() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()
            writer.write(OK)

        upstreams = [Upstream(script), Upstream(script)]
        async with sidecar(*upstreams) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(request("pay", "7"))
            await wait_until(lambda: any(upstream.requests for upstream in upstreams))
            assert status_of(await running_sidecar.fetch(request("mark", "7"))) == 409
            release.set()
            assert status_of(await read_message(reader)) == 200
            # the id stays known for some time after the response
            assert status_of(await running_sidecar.fetch(request("mark", "7"))) == 409
            writer.close()
        assert sum(len(upstream.requests) for upstream in upstreams) == 1

    run_async(test)


def test_recent_request_ids_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 0.0
    monkeypatch.setattr(system, "monotonic", lambda: now)
    recent_ids = request_ids.RecentRequestIds(period_s=4.0)
    for number in range(1000):
        now = number / 10
        assert recent_ids.add(b"%d" % number) and not recent_ids.add(b"%d" % max(0, number - 30))
    assert len(recent_ids.current_generation) + len(recent_ids.previous_generation) < 100
    assert recent_ids.add(b"1")


@pytest.mark.parametrize("partial_request", [b"", b"POST /pay HT", request("pay", body=b"abc")[:-1]])
def test_connection_without_a_complete_request_closes_in_time(
    partial_request: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(client_connection.STATE_TIMEOUTS_S, client_connection.ClientState.NEW, 0.2)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(partial_request)
            response = await reader.read()
            assert response.startswith(b"HTTP/1.1 408 ") if partial_request else response == b""
            writer.close()

    run_async(test)


def test_connection_with_a_slow_first_request_closes_within_three_seconds() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            started_at = asyncio.get_running_loop().time()
            response = asyncio.create_task(reader.read())
            for byte in request("pay", body=b"x" * 1_000):
                writer.write(bytes([byte]))
                await asyncio.wait([response], timeout=0.1)
                if response.done():
                    break
            assert (await response).startswith(b"HTTP/1.1 408 ")
            assert asyncio.get_running_loop().time() - started_at < 3.0
            writer.close()

    run_async(test)


def test_deadline_is_limited_to_that_of_the_class() -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream, classes=[RequestClass("read", 100_000, 5_000_000)]) as running_sidecar:
            assert status_of(await running_sidecar.fetch(request(deadline_ms=999_999_999))) == 200
        head = upstream.requests[0][0]
        assert int(head.split(b"X-Deadline-Ms: ")[1].split(b"\r\n")[0]) <= 5_000

    run_async(test)


def test_bytes_after_a_rejected_request_are_not_read() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(request("pay").replace(b"Content-Length: 0", b"Content-Length: 60000000"))
            assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 413 ")
            sent_bytes = 0
            try:
                while True:  # until the sidecar closes the connection
                    writer.write(b"x" * 65_536)
                    sent_bytes += 65_536
                    await writer.drain()
            except ConnectionError:
                pass
            assert sent_bytes < 30_000_000  # no more than the buffers of both ends hold

    run_async(test)


@pytest.mark.parametrize("encoding", ["utf-8", "latin-1", "percent"])
def test_non_ascii_names_are_recognised_in_every_encoding(encoding: str, monkeypatch: pytest.MonkeyPatch) -> None:
    accepted_requests = record_requests(monkeypatch)

    def encode_name(name: str) -> bytes:
        return quote(name).encode() if encoding == "percent" else name.encode(encoding)

    async def test() -> None:
        classes = [RequestClass("r\u00e9servation", 1_000_000, 5_000_000), RequestClass("plain", 1_000_000, 5_000_000)]
        tenants = [Tenant("other", 1.0, 0.5), Tenant("caf\u00e9", 1.0, 0.5)]
        path = quote("r\u00e9servation").encode()  # the only encoding that a path may have
        async with sidecar(Upstream(respond_in_turn(OK)), classes=classes, tenants=tenants) as running_sidecar:
            for number, tenant in enumerate(
                (b"X-Tenant: " + encode_name("caf\u00e9") + b"\r\n", b"X-Tenant: who\r\n", b"")
            ):
                response = await running_sidecar.fetch(
                    b"GET /"
                    + path
                    + b"/it HTTP/1.1\r\nHost: x\r\nX-Request-Id: %d\r\n" % number
                    + b"X-Class: "
                    + encode_name("r\u00e9servation")
                    + b"\r\nX-Deadline-Ms: 5000\r\n"
                    + tenant
                    + b"\r\n"
                )
                assert status_of(response) == 200
        assert [accepted_request.class_index for accepted_request in accepted_requests] == [0, 0, 0]
        # a tenant that is unknown or missing gets the index after the known ones
        assert [accepted_request.tenant for accepted_request in accepted_requests] == [1, 2, 2]

    run_async(test)
