"""Final answers by the outcomes of attempts, over loopback sockets."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import Event, RequestClass
from tests.network_peers import (
    NOT_RUN,
    OK,
    Upstream,
    endpoint_entry,
    endpoint_list,
    never_respond,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
)

BARE_503 = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

ERROR = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def test() -> None:
        upstream = Upstream(
            respond_in_turn(b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 6\r\n\r\n\x00\xff\r\n\r\n")
        )
        async with sidecar(upstream) as it:
            response = await it.fetch(request("mark", "77", b"\x00body\r\n"))
        assert status_of(response) == 200 and response.body == b"\x00\xff\r\n\r\n"
        assert b"Content-Type: a/b" in response.head
        seen, sent = upstream.requests[0]
        assert seen.startswith(b"POST /mark/it?x=1 HTTP/1.1\r\n") and sent == b"\x00body\r\n"
        assert b"X-Request-Id: 77\r\n" in seen and b"Idempotency-Key: k\r\n" in seen
        deadline_ms = int(seen.split(b"X-Deadline-Ms: ")[1].split(b"\r\n")[0])
        assert 0 < deadline_ms <= 15_000

    run_async(test)


@pytest.mark.parametrize(
    ("first", "expected", "attempts"),
    [
        (NOT_RUN, 200, 2),  # never ran: an unsafe request may go again
        (ERROR, 500, 1),
        (BARE_503, 500, 1),  # it may have run; passing it on would be a refusal
        (b"HTTP/1.1 504 Late\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 200, 2),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 500, 1),
        (b"", 500, 1),
        (b"noise\r\n\r\n", 500, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + b"x" * 70_000, 500, 1),
        (b"HTTP/1.1 200 OK\r\nX-Endless: " + b"x" * 1_100_000, 500, 1),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, 200, 1),
    ],
)
def test_non_idempotent_request_is_retried_only_if_it_never_ran(first: bytes, expected: int, attempts: int) -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if total() > 1:
                writer.write(OK)
                return
            if first:
                writer.write(first)
                await writer.drain()
            if first.startswith(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r") or not first:
                writer.close()

        upstreams = [Upstream(script), Upstream(script)]

        def total() -> int:
            return sum(len(upstream.requests) for upstream in upstreams)

        async with sidecar(*upstreams) as it:
            answer = await it.fetch(request("pay", body=b"b"))
        assert (status_of(answer), total()) == (expected, attempts)

    run_async(test)


def test_rejection_has_retry_after_and_a_failed_connection_never_ran() -> None:
    async def test() -> None:
        gone = Upstream(never_respond)
        await gone.start()
        gone.stop()
        cached_list = endpoint_list(endpoint_entry("u0", gone.port))
        async with sidecar(cached_list=cached_list) as it:
            answer = await it.fetch(request("pay"))
        assert status_of(answer) == 503
        assert 0.0 < float(answer[0].split(b"Retry-After: ")[1].split(b"\r\n")[0]) <= 1.0

    run_async(test)


def test_request_to_a_silent_upstream_fails_at_its_deadline() -> None:
    async def test() -> None:
        async with sidecar(Upstream(never_respond)) as it:
            started = asyncio.get_running_loop().time()
            answer = await it.fetch(request("pay", deadline_ms=400))
            took = asyncio.get_running_loop().time() - started
        assert status_of(answer) == 500 and took >= 0.3

    run_async(test)


def test_request_is_answered_though_the_decision_module_fails_or_forgets_it(monkeypatch: pytest.MonkeyPatch) -> None:
    handle = Balancer.handle

    def stumbling(self: Balancer, now_us: int, event: Event) -> list[Any]:
        if getattr(event, "key", 0):
            raise RuntimeError("stumbled")
        if getattr(event, "marked_as_retry", False):
            return []
        return handle(self, now_us, event)

    monkeypatch.setattr(Balancer, "handle", stumbling)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as it:
            assert status_of(await it.fetch(request(ident="1", extra="X-Key: 5\r\n"))) == 500
            assert status_of(await it.fetch(request(ident="2", deadline_ms=300, extra="X-Retry: 1\r\n"))) == 500
            assert status_of(await it.fetch(request(ident="3"))) == 200

    run_async(test)


def test_request_is_not_retried_for_a_disconnected_client() -> None:
    async def test() -> None:
        held = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if number == 0:
                await held.wait()
                writer.write(NOT_RUN)
            else:
                writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream) as it:
            _, writer = await it.connect()
            writer.write(request())
            await wait_until(lambda: len(upstream.requests) == 1)
            writer.close()
            await writer.wait_closed()
            await asyncio.sleep(0.05)
            held.set()
            assert status_of(await it.fetch(request(ident="2"))) == 200
        assert [b"X-Request-Id: 2\r\n" in head for head, _ in upstream.requests] == [False, True]

    run_async(test)


def test_response_in_the_turn_of_its_attempts_time_out_is_the_answer() -> None:
    async def test() -> None:
        kinds = [
            RequestClass("read", latency_objective_us=400_000, deadline_us=20_000_000, late_weight=0.5)
        ]  # times out after 0.4 s

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.2)
            time.sleep(0.4)  # the loop hangs over the time-out: answer and timer are both due in its next turn
            writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream, classes=kinds, hedging=False) as it:
            assert status_of(await it.fetch(request())) == 200
        assert len(upstream.requests) == 1  # the attempt was not given up, and nothing was sent again

    run_async(test)
