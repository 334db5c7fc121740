"""The deadline passed to an upstream is at most the time that the client has left when the request is written."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest

from ryepier.balancer.interface import Idempotency, RequestClass
from ryepier.sidecar.connection_pool import ConnectionPool
from ryepier.sidecar.upstream_attempt import UpstreamAttempt
from tests.network_peers import (
    OK,
    Sidecar,
    Upstream,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
)
from tests.sidecar_probes import DelayedConnections

DEADLINE_MS = 3_000
DEADLINE_TOLERANCE_MS = 150  # a passed deadline may exceed the measured remaining time by this much
WRITE_DELAY_S = 0.6  # how long the tests delay the write of a request


class DeadlineRecorder:
    """An upstream that records, for each request, the deadline passed to it and the time that its client had left."""

    def __init__(self) -> None:
        self.upstream = Upstream(self.serve)
        self.sent_at = 0.0
        self.forwarded_deadlines_ms: list[int] = []
        self.remaining_times_ms: list[float] = []

    async def serve(
        self, upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = upstream.requests[request_index][0].lower()
        self.forwarded_deadlines_ms.append(int(head.partition(b"x-deadline-ms:")[2].split(b"\r\n")[0]))
        self.remaining_times_ms.append(DEADLINE_MS - 1_000 * (time.monotonic() - self.sent_at))
        writer.write(OK)

    async def fetch(self, sidecar: Sidecar) -> int:
        self.sent_at = time.monotonic()
        return status_of(await sidecar.fetch(request("pay", deadline_ms=DEADLINE_MS)))


def test_slow_connection_setup_shortens_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    delayed_connections = DelayedConnections()

    async def test() -> None:
        recorder = DeadlineRecorder()
        async with sidecar(recorder.upstream) as running_sidecar:
            delayed_connections.delay(recorder.upstream, monkeypatch)
            status_task = asyncio.create_task(recorder.fetch(running_sidecar))
            await wait_until(lambda: delayed_connections.started_count == 1)
            await asyncio.sleep(WRITE_DELAY_S)
            delayed_connections.release.set()
            assert await status_task == 200
        assert recorder.forwarded_deadlines_ms[0] <= recorder.remaining_times_ms[0] + DEADLINE_TOLERANCE_MS

    run_async(test)


def test_wait_for_a_descriptor_shortens_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    free_capacity = ConnectionPool.free_capacity

    async def free_capacity_late(pool: ConnectionPool, attempt: UpstreamAttempt) -> bool:
        await asyncio.sleep(WRITE_DELAY_S)
        return await free_capacity(pool, attempt)

    monkeypatch.setattr(ConnectionPool, "free_capacity", free_capacity_late)

    async def test() -> None:
        recorder = DeadlineRecorder()
        async with sidecar(recorder.upstream) as running_sidecar:
            assert await recorder.fetch(running_sidecar) == 200
        assert recorder.forwarded_deadlines_ms[0] <= recorder.remaining_times_ms[0] + DEADLINE_TOLERANCE_MS

    run_async(test)


def block_loop_after_dial(upstream: Upstream, blocked_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """Block the event loop between the establishment of a connection and the write on it."""
    connect = asyncio.SelectorEventLoop.sock_connect

    async def connect_and_block(loop: asyncio.SelectorEventLoop, sock: socket.socket, address: Any) -> None:
        await connect(loop, sock, address)
        if address[1] == upstream.port:
            time.sleep(blocked_s)

    monkeypatch.setattr(asyncio.SelectorEventLoop, "sock_connect", connect_and_block)


def test_blocked_event_loop_before_the_write_shortens_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        recorder = DeadlineRecorder()
        async with sidecar(recorder.upstream) as running_sidecar:
            block_loop_after_dial(recorder.upstream, WRITE_DELAY_S, monkeypatch)
            assert await recorder.fetch(running_sidecar) == 200
        assert recorder.forwarded_deadlines_ms[0] <= recorder.remaining_times_ms[0] + DEADLINE_TOLERANCE_MS

    run_async(test)


def test_expired_attempt_is_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        classes = [
            RequestClass(
                "pay", latency_objective_us=200_000, deadline_us=400_000, idempotency=Idempotency.NON_IDEMPOTENT
            )
        ]
        async with sidecar(upstream, classes=classes) as running_sidecar:
            block_loop_after_dial(upstream, WRITE_DELAY_S, monkeypatch)
            assert status_of(await running_sidecar.fetch(request("pay", deadline_ms=400))) == 503
            assert upstream.requests == []
            monkeypatch.undo()
            await asyncio.sleep(0.5)  # until the buffering period of the sidecar's admission control is over
            assert status_of(await running_sidecar.fetch(request("pay", deadline_ms=400))) == 200
        assert len(upstream.requests) == 1

    run_async(test)


def test_shutdown_shortens_the_deadline_of_a_later_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed_connections = DelayedConnections()

    async def test() -> None:
        recorder = DeadlineRecorder()
        classes = [
            RequestClass(
                "pay",
                latency_objective_us=1_000_000,
                deadline_us=20_000_000,
                late_weight=0.5,
                idempotency=Idempotency.NON_IDEMPOTENT,
            )
        ]
        async with sidecar(recorder.upstream, classes=classes) as running_sidecar:
            delayed_connections.delay(recorder.upstream, monkeypatch)
            response = asyncio.create_task(running_sidecar.fetch(request("pay", deadline_ms=20_000)))
            await wait_until(lambda: delayed_connections.started_count == 1)
            running_sidecar.stop.set()
            await asyncio.sleep(WRITE_DELAY_S)
            delayed_connections.release.set()
            assert status_of(await response) == 200
            await running_sidecar.task
        # the process ends 3.6 s after SIGTERM
        assert recorder.forwarded_deadlines_ms[0] <= 3_600 - 1_000 * WRITE_DELAY_S + DEADLINE_TOLERANCE_MS

    run_async(test)
