"""Emulated clients on real sockets, including delays of the client process itself."""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import time
from typing import Any

import msgspec
import pytest

from ryepier.emulator import clients, timeline
from ryepier.emulator.process import CPU_WAIT_THRESHOLD_US, Clock, LatenessMeter, Plan, monotonic_us
from ryepier.emulator.process_usage import read_cpu_wait_us
from ryepier.emulator.records import NEVER, ClientAttempt, Incarnation, RequestOutcome
from ryepier.emulator.sidecar_processes import record_cpu_wait
from ryepier.experiments.core.worlds import load
from tests.network_peers import OK, Upstream, respond_in_turn, run_async, wait_until

DEADLINE_S = 0.2


def make_client_role(address: tuple[str, int]) -> clients.ClientRole:
    """Return the clients of a small world, whose requests all go to this address."""
    world = msgspec.structs.replace(load("graphql-resets"), duration_s=1.0, faults=[])
    plan = Plan(world, 1, 0, "clients", targets=[address])
    clock = Clock()
    clock.run_start_us = monotonic_us()
    return clients.ClientRole(plan, clock, timeline.build(world, 1))


def make_attempt(sent_us: int = NEVER) -> ClientAttempt:
    """Return a first attempt of the class whose requests may run at most once."""
    return ClientAttempt(
        0, 0, "0001-000000-0", "", 1, 0, 0, 1000, 0, sent_us, int(DEADLINE_S * 1e6), NEVER, RequestOutcome.TIMEOUT
    )


def test_a_sent_request_is_not_recorded_as_unreachable_when_its_timeout_expires_while_it_connects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_connect = asyncio.SelectorEventLoop.sock_connect

    async def connect_slowly(loop: asyncio.SelectorEventLoop, sock: socket.socket, address: Any) -> None:
        await original_connect(loop, sock, address)
        time.sleep(DEADLINE_S + 0.1)  # blocks the event loop, so that the timeout is due in its next iteration

    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        await upstream.start()
        client_role = make_client_role(("127.0.0.1", upstream.port))
        monkeypatch.setattr(asyncio.SelectorEventLoop, "sock_connect", connect_slowly)
        attempt = make_attempt()
        client_role.send(attempt)
        await wait_until(lambda: attempt.ended_us != NEVER)
        await asyncio.sleep(0.1)  # time for all written data to arrive
        assert len(upstream.requests) == 1 and attempt.outcome == "served"
        upstream.stop()

    run_async(test)


def test_a_request_to_an_address_without_a_listener_is_unreachable() -> None:
    async def test() -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))  # bound, but not listening
            client_role = make_client_role(sock.getsockname())
            attempt = make_attempt()
            client_role.send(attempt)
            await wait_until(lambda: attempt.ended_us != NEVER)
        assert attempt.outcome == "unreachable"

    run_async(test)


def test_the_lateness_meter_records_stalls_of_the_event_loop() -> None:
    async def test() -> None:
        clock = Clock()
        clock.run_start_us = monotonic_us()
        meter = LatenessMeter(clock)
        lateness_task = asyncio.create_task(meter.measure_event_loop())
        await asyncio.sleep(0)
        time.sleep(0.3)
        await asyncio.sleep(0.05)
        lateness_task.cancel()
        began_us, ended_us = meter.result("clients 0").stalls[0]
        assert began_us < 50_000 and ended_us > 290_000

    run_async(test)


def test_long_waits_for_a_core_are_recorded() -> None:
    incarnation = Incarnation(0, 0, 0)
    record_cpu_wait(incarnation, CPU_WAIT_THRESHOLD_US - 1, 1_000_000)
    assert incarnation.cpu_waits == []
    record_cpu_wait(incarnation, 2 * CPU_WAIT_THRESHOLD_US, 2_000_000)
    assert incarnation.cpu_waits == [(2_000_000 - 2 * CPU_WAIT_THRESHOLD_US, 2_000_000)]


def test_the_cpu_wait_of_an_ended_process_is_none() -> None:
    with subprocess.Popen(["true"]) as process:
        process.wait()
    assert read_cpu_wait_us(process.pid) is None
    assert (read_cpu_wait_us(os.getpid()) or 0) >= 0
