"""The final answer to a request, for each outcome of its attempts."""

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

UNMARKED_503 = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

ERROR_500 = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def test() -> None:
        upstream = Upstream(
            respond_in_turn(b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 6\r\n\r\n\x00\xff\r\n\r\n")
        )
        async with sidecar(upstream) as running_sidecar:
            response = await running_sidecar.fetch(request("mark", "77", b"\x00body\r\n"))
        assert status_of(response) == 200 and response.body == b"\x00\xff\r\n\r\n"
        assert b"Content-Type: a/b" in response.head
        forwarded_head, forwarded_body = upstream.requests[0]
        assert forwarded_head.startswith(b"POST /mark/it?x=1 HTTP/1.1\r\n") and forwarded_body == b"\x00body\r\n"
        assert b"X-Request-Id: 77\r\n" in forwarded_head and b"Idempotency-Key: k\r\n" in forwarded_head
        deadline_ms = int(forwarded_head.split(b"X-Deadline-Ms: ")[1].split(b"\r\n")[0])
        assert 0 < deadline_ms <= 15_000

    run_async(test)


@pytest.mark.parametrize(
    ("first_response", "expected_status", "attempt_count"),
    [
        (NOT_RUN, 200, 2),  # the request never ran, so it may be retried although it is not idempotent
        (ERROR_500, 500, 1),
        (UNMARKED_503, 500, 1),  # the request may have run; a 503 to the client would mean that it did not
        (b"HTTP/1.1 504 Late\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 200, 2),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 500, 1),
        (b"", 500, 1),
        (b"noise\r\n\r\n", 500, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + b"x" * 70_000, 500, 1),
        (b"HTTP/1.1 200 OK\r\nX-Endless: " + b"x" * 1_100_000, 500, 1),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, 200, 1),
    ],
)
def test_non_idempotent_request_is_retried_only_if_it_never_ran(
    first_response: bytes, expected_status: int, attempt_count: int
) -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if forwarded_request_count() > 1:
                writer.write(OK)
                return
            if first_response:
                writer.write(first_response)
                await writer.drain()
            if first_response.startswith(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r") or not first_response:
                writer.close()

        upstreams = [Upstream(script), Upstream(script)]

        def forwarded_request_count() -> int:
            return sum(len(upstream.requests) for upstream in upstreams)

        async with sidecar(*upstreams) as running_sidecar:
            response = await running_sidecar.fetch(request("pay", body=b"b"))
        assert (status_of(response), forwarded_request_count()) == (expected_status, attempt_count)

    run_async(test)


def test_request_is_rejected_with_retry_after_if_no_upstream_accepts_connections() -> None:
    async def test() -> None:
        stopped_upstream = Upstream(never_respond)
        await stopped_upstream.start()
        stopped_upstream.stop()
        cached_list = endpoint_list(endpoint_entry("u0", stopped_upstream.port))
        async with sidecar(cached_list=cached_list) as running_sidecar:
            response = await running_sidecar.fetch(request("pay"))
        assert status_of(response) == 503
        assert 0.0 < float(response[0].split(b"Retry-After: ")[1].split(b"\r\n")[0]) <= 1.0

    run_async(test)


def test_request_to_a_silent_upstream_fails_at_its_deadline() -> None:
    async def test() -> None:
        async with sidecar(Upstream(never_respond)) as running_sidecar:
            started_at = asyncio.get_running_loop().time()
            response = await running_sidecar.fetch(request("pay", deadline_ms=400))
            elapsed_s = asyncio.get_running_loop().time() - started_at
        assert status_of(response) == 500 and elapsed_s >= 0.3

    run_async(test)


def test_request_is_answered_if_the_decision_module_fails_or_ignores_it(monkeypatch: pytest.MonkeyPatch) -> None:
    handle = Balancer.handle

    def handle_or_fail(self: Balancer, now_us: int, event: Event) -> list[Any]:
        if getattr(event, "key", 0):
            raise RuntimeError("injected failure")
        if getattr(event, "marked_as_retry", False):
            return []
        return handle(self, now_us, event)

    monkeypatch.setattr(Balancer, "handle", handle_or_fail)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            assert status_of(await running_sidecar.fetch(request(request_id="1", extra="X-Key: 5\r\n"))) == 500
            assert (
                status_of(await running_sidecar.fetch(request(request_id="2", deadline_ms=300, extra="X-Retry: 1\r\n")))
                == 500
            )
            assert status_of(await running_sidecar.fetch(request(request_id="3"))) == 200

    run_async(test)


def test_request_is_not_retried_for_a_disconnected_client() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if request_index == 0:
                await release.wait()
                writer.write(NOT_RUN)
            else:
                writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream) as running_sidecar:
            _, writer = await running_sidecar.connect()
            writer.write(request())
            await wait_until(lambda: len(upstream.requests) == 1)
            writer.close()
            await writer.wait_closed()
            await asyncio.sleep(0.05)
            release.set()
            assert status_of(await running_sidecar.fetch(request(request_id="2"))) == 200
        assert [b"X-Request-Id: 2\r\n" in head for head, _ in upstream.requests] == [False, True]

    run_async(test)


def test_response_that_arrives_in_the_loop_iteration_of_the_timeout_is_the_answer() -> None:
    async def test() -> None:
        # attempts time out after 0.4 s
        classes = [RequestClass("read", latency_objective_us=400_000, deadline_us=20_000_000, late_weight=0.5)]

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.2)
            time.sleep(0.4)  # blocks the loop, so that response and timeout are handled in its next iteration
            writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream, classes=classes, hedging=False) as running_sidecar:
            assert status_of(await running_sidecar.fetch(request())) == 200
        assert len(upstream.requests) == 1  # the attempt was neither abandoned nor retried

    run_async(test)
