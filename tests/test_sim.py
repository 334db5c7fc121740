"""Tests of the simulation: virtual time, TCP semantics of the in-memory network, processes, and determinism."""

from __future__ import annotations

import asyncio
import contextvars
import os
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from ryepier.sidecar import system
from ryepier.sim.link import RECEIVE_WINDOW_BYTES
from ryepier.sim.loop import NoProgressError
from ryepier.sim.process import CURRENT_PROCESS
from ryepier.sim.run import SimLoop, SimulationError, simulate

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ADDRESS = ("10.0.0.1", 80)


def read_write_transport(writer: asyncio.StreamWriter) -> asyncio.Transport:
    """Return the transport of a connection as an `asyncio.Transport`.

    `StreamWriter.transport` is typed as a `WriteTransport`, which lacks `pause_reading` and `resume_reading`.
    """
    assert isinstance(writer.transport, asyncio.Transport)
    return writer.transport


async def serve_and_connect(serve: ConnectionHandler) -> Streams:
    """Start a server that handles connections with `serve`, and return a client connection to it."""
    await asyncio.start_server(serve, *ADDRESS)
    return await asyncio.open_connection(*ADDRESS)


def test_virtual_time_skips_idle_hours_and_timers_fire_in_order() -> None:
    async def main(loop: SimLoop) -> list[float]:
        observed: list[float] = []
        for after_s in (7200.0, 0.5, 3600.0):
            loop.call_later(after_s, lambda: observed.append(loop.time()))
        await asyncio.sleep(10_000)
        return observed

    started_at_s = time.monotonic()
    assert simulate(1, main) == [0.5, 3600.0, 7200.0]
    assert time.monotonic() - started_at_s < 5


def test_segments_arrive_in_order_and_a_half_close_leaves_the_other_direction_open() -> None:
    async def main(loop: SimLoop) -> tuple[bytes, bytes]:
        loop.network.split_share = 1.0
        received = b""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal received
            received = await reader.read()
            writer.write(b"bye" * 10)
            writer.close()

        reader, writer = await serve_and_connect(serve)
        for number in range(500):
            writer.write(b"%d," % number)
        writer.write_eof()
        return await reader.read(), received

    reply, received = simulate(3, main)
    assert reply == b"bye" * 10 and received == b"".join(b"%d," % number for number in range(500))


def test_closing_sends_a_reset_if_data_is_unread_and_an_eof_otherwise() -> None:
    async def main(loop: SimLoop) -> list[str]:
        observed = []
        for leave_unread in (False, True):

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, leave_unread: bool = leave_unread
            ) -> None:
                if not leave_unread:
                    await reader.readexactly(2 * RECEIVE_WINDOW_BYTES)
                read_write_transport(writer).pause_reading()
                await asyncio.sleep(1.0)
                writer.transport.abort()

            server = await asyncio.start_server(serve, *ADDRESS)
            reader, writer = await asyncio.open_connection(*ADDRESS)
            writer.write(b"x" * 2 * RECEIVE_WINDOW_BYTES)
            try:
                observed.append("end" if await reader.read() == b"" else "bytes")
            except ConnectionResetError:
                observed.append("reset")
            server.close()
        return observed

    assert simulate(1, main) == ["end", "reset"]


def test_connections_are_refused_without_a_listener_and_unanswered_with_a_full_backlog_or_a_partition() -> None:
    async def main(loop: SimLoop) -> list[str]:
        observed = []

        async def connect() -> None:
            try:
                async with asyncio.timeout(3.0):
                    await asyncio.open_connection(*ADDRESS)
                observed.append("up")
            except ConnectionRefusedError:
                observed.append("refused")
            except TimeoutError:
                observed.append("silence")

        await connect()
        sock = loop.network.listen(ADDRESS, 1)  # no code accepts the connections from this socket
        await connect()
        await connect()
        sock.close()
        loop.network.listen(ADDRESS, 5)
        loop.network.partition("127.0.0.1", ADDRESS[0])
        await connect()
        loop.network.heal("127.0.0.1", ADDRESS[0])
        await connect()
        return observed

    assert simulate(1, main) == ["refused", "up", "silence", "silence", "up"]


def test_a_partition_delays_segments_and_loses_none() -> None:
    async def main(loop: SimLoop) -> tuple[float, bytes]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(await reader.readexactly(4))

        reader, writer = await serve_and_connect(serve)
        loop.network.partition(ADDRESS[0], "127.0.0.1")
        writer.write(b"ping")
        loop.call_later(30.0, loop.network.heal, ADDRESS[0], "127.0.0.1")
        return (await reader.readexactly(4), loop.time())[::-1]

    received_at_s, reply = simulate(1, main)
    assert reply == b"ping" and received_at_s >= 30.0


def test_a_full_receive_window_holds_back_the_sender() -> None:
    async def main(loop: SimLoop) -> tuple[int, bool]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            read_write_transport(writer).pause_reading()
            await asyncio.sleep(100)
            read_write_transport(writer).resume_reading()
            await reader.readexactly(10 * RECEIVE_WINDOW_BYTES)

        _, writer = await serve_and_connect(serve)
        writer.write(b"x" * 10 * RECEIVE_WINDOW_BYTES)
        await asyncio.sleep(10)
        unsent_bytes = writer.transport.get_write_buffer_size()
        await writer.drain()
        return unsent_bytes, loop.time() >= 100

    unsent_bytes, waited = simulate(1, main)
    assert unsent_bytes == 9 * RECEIVE_WINDOW_BYTES and waited


def test_a_run_without_progress_or_with_an_unhandled_failure_raises() -> None:
    async def nothing_scheduled(loop: SimLoop) -> None:
        await loop.create_future()

    async def callbacks_without_time_advance(loop: SimLoop) -> None:
        def reschedule_now() -> None:
            loop.call_soon(reschedule_now)

        reschedule_now()
        await asyncio.sleep(1)

    async def failing_timer(loop: SimLoop) -> None:
        loop.call_later(1, lambda: 1 // 0)
        await asyncio.sleep(2)

    with pytest.raises(NoProgressError, match="nothing is due"):
        simulate(1, nothing_scheduled)
    with pytest.raises(NoProgressError, match=r"does not advance.*reschedule_now"):
        simulate(1, callbacks_without_time_advance)
    with pytest.raises(SimulationError, match=r"1.000000 s.*ZeroDivisionError"):
        simulate(1, failing_timer)


TRACE_COMMAND = [sys.executable, "-m", "tests.sim_trace"]
ROOT = Path(__file__).resolve().parent.parent


def run_sim_trace(seeds: str, hash_seed: str) -> list[str]:
    """Run `sim_trace` in a new process, and return a line per seed: seed, hash of the traffic, and served requests.

    `hash_seed` sets PYTHONHASHSEED, because a run must not depend on the iteration order of sets.
    """
    completed = subprocess.run(
        [*TRACE_COMMAND, *seeds.split()],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
    )
    assert completed.returncode == 0, completed.stderr[-2000:]
    return completed.stdout.splitlines()


def test_the_real_sidecar_behaves_identically_in_every_process() -> None:
    seeds = " ".join(map(str, range(20)))
    first_lines, second_lines = run_sim_trace(seeds, "1"), run_sim_trace(seeds, "2")
    assert first_lines == second_lines and len(first_lines) == 20
    assert len({line.split()[1] for line in first_lines}) == 20  # each seed has a different hash
    assert all(int(line.split()[2]) > 150 for line in first_lines)


# Processes


def start_process(loop: SimLoop, process: str, work: Awaitable[None]) -> asyncio.Task[None]:
    """Run `work` in a task that belongs to the simulated process named `process`."""
    context = contextvars.copy_context()
    context.run(CURRENT_PROCESS.set, process)

    async def run() -> None:
        await work

    return loop.create_task(run(), context=context)


def test_a_suspended_process_keeps_its_connections_and_catches_up_once_resumed() -> None:
    async def main(loop: SimLoop) -> list[tuple[float, str]]:
        observed: list[tuple[float, str]] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            observed.append((round(loop.now_s, 1), (await reader.readline()).decode().strip()))

        async def work() -> None:
            await asyncio.start_server(serve, *ADDRESS)
            for number in range(3):
                await asyncio.sleep(0.5)
                observed.append((round(loop.now_s, 1), f"timer {number}"))

        start_process(loop, "one", work())
        await asyncio.sleep(0.7)
        loop.suspend("one")
        # The kernel establishes connections even while the process is suspended.
        _, writer = await asyncio.open_connection(*ADDRESS)
        writer.write(b"hello\n")
        await asyncio.sleep(2.3)
        assert observed == [(0.5, "timer 0")]
        loop.resume("one")
        await asyncio.sleep(1.0)
        return observed

    assert sorted(simulate(1, main)) == [(0.5, "timer 0"), (3.0, "hello"), (3.0, "timer 1"), (3.5, "timer 2")]


def test_a_process_killed_while_suspended_does_not_resume() -> None:
    async def main(loop: SimLoop) -> list[str]:
        observed: list[str] = []

        async def work() -> None:
            await asyncio.sleep(1.0)
            observed.append("went on")

        start_process(loop, "one", work())
        await asyncio.sleep(0.5)
        loop.suspend("one")
        loop.kill("one")
        loop.resume("one")
        await asyncio.sleep(2.0)
        return observed

    assert simulate(1, main) == []


def test_a_faster_clock_makes_pending_timers_fire_earlier() -> None:
    async def main(loop: SimLoop) -> list[tuple[float, float]]:
        observed: list[tuple[float, float]] = []

        async def work() -> None:
            for _ in range(2):
                await asyncio.sleep(2.0)
                observed.append((round(loop.now_s, 3), round(system.monotonic(), 3)))

        start_process(loop, "one", work())
        await asyncio.sleep(1.0)
        loop.set_rate("one", 2.0)
        await asyncio.sleep(5.0)
        assert round(loop.time(), 6) == 6.0  # the run's clock is not affected
        return observed

    assert simulate(1, main) == [(1.5, 2.0), (2.5, 4.0)]


def test_shifting_a_wall_clock_affects_no_other_process_and_no_monotonic_clock() -> None:
    async def main(loop: SimLoop) -> list[tuple[float, float]]:
        observed: list[tuple[float, float]] = []
        start_ns = system.unix_ns()

        async def work() -> None:
            for _ in range(2):
                observed.append((round((system.unix_ns() - start_ns) / 1e9, 3), round(system.monotonic(), 3)))
                await asyncio.sleep(1.0)

        start_process(loop, "one", work())
        await asyncio.sleep(0.5)
        loop.shift_wall_clock("one", -3600.0)
        await asyncio.sleep(2.0)
        assert round((system.unix_ns() - start_ns) / 1e9, 3) == 2.5
        return observed

    assert simulate(1, main) == [(0.0, 0.0), (-3599.0, 1.0)]
