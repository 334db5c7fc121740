"""Virtual time and the network in memory: TCP as asyncio shows it, and the real sidecar on it, the same each time."""

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
from ryepier.sim.process import OWNER
from ryepier.sim.run import SimLoop, SimulationError, simulate

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ADDRESS = ("10.0.0.1", 80)


def reading(writer: asyncio.StreamWriter) -> asyncio.Transport:
    """The transport, which can be paused."""
    assert isinstance(writer.transport, asyncio.Transport)
    return writer.transport


async def served(serve: Serve) -> Streams:
    """A connection to a server that does this."""
    await asyncio.start_server(serve, *ADDRESS)
    return await asyncio.open_connection(*ADDRESS)


def test_hours_pass_at_once_and_in_order() -> None:
    async def main(loop: SimLoop) -> list[float]:
        seen: list[float] = []
        for after_s in (7200.0, 0.5, 3600.0):
            loop.call_later(after_s, lambda: seen.append(loop.time()))
        await asyncio.sleep(10_000)
        return seen

    begun = time.monotonic()
    assert simulate(1, main) == [0.5, 3600.0, 7200.0]
    assert time.monotonic() - begun < 5


def test_bytes_come_whole_and_in_order_however_they_are_cut_and_half_a_close_leaves_the_other_half() -> None:
    async def main(loop: SimLoop) -> tuple[bytes, bytes]:
        loop.network.split_share = 1.0
        got = b""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal got
            got = await reader.read()
            writer.write(b"bye" * 10)
            writer.close()

        reader, writer = await served(serve)
        for number in range(500):
            writer.write(b"%d," % number)
        writer.write_eof()
        return await reader.read(), got

    said, got = simulate(3, main)
    assert said == b"bye" * 10 and got == b"".join(b"%d," % number for number in range(500))


def test_closing_with_bytes_unread_is_a_reset_and_without_an_end() -> None:
    async def main(loop: SimLoop) -> list[str]:
        seen = []
        for unread in (False, True):

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, unread: bool = unread) -> None:
                if not unread:
                    await reader.readexactly(2 * RECEIVE_WINDOW_BYTES)
                reading(writer).pause_reading()
                await asyncio.sleep(1.0)
                writer.transport.abort()

            server = await asyncio.start_server(serve, *ADDRESS)
            reader, writer = await asyncio.open_connection(*ADDRESS)
            writer.write(b"x" * 2 * RECEIVE_WINDOW_BYTES)
            try:
                seen.append("end" if await reader.read() == b"" else "bytes")
            except ConnectionResetError:
                seen.append("reset")
            server.close()
        return seen

    assert simulate(1, main) == ["end", "reset"]


def test_nobody_there_is_refused_and_a_full_backlog_and_a_cut_link_say_nothing() -> None:
    async def main(loop: SimLoop) -> list[str]:
        seen = []

        async def dial() -> None:
            try:
                async with asyncio.timeout(3.0):
                    await asyncio.open_connection(*ADDRESS)
                seen.append("up")
            except ConnectionRefusedError:
                seen.append("refused")
            except TimeoutError:
                seen.append("silence")

        await dial()
        sock = loop.network.listen(ADDRESS, 1)  # nobody accepts
        await dial()
        await dial()
        sock.close()
        loop.network.listen(ADDRESS, 5)
        loop.network.partition("127.0.0.1", ADDRESS[0])
        await dial()
        loop.network.heal("127.0.0.1", ADDRESS[0])
        await dial()
        return seen

    assert simulate(1, main) == ["refused", "up", "silence", "silence", "up"]


def test_a_cut_link_is_silent_and_loses_nothing() -> None:
    async def main(loop: SimLoop) -> tuple[float, bytes]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(await reader.readexactly(4))

        reader, writer = await served(serve)
        loop.network.partition(ADDRESS[0], "127.0.0.1")
        writer.write(b"ping")
        loop.call_later(30.0, loop.network.heal, ADDRESS[0], "127.0.0.1")
        return (await reader.readexactly(4), loop.time())[::-1]

    at_s, said = simulate(1, main)
    assert said == b"ping" and at_s >= 30.0


def test_one_who_does_not_read_holds_back_the_sender() -> None:
    async def main(loop: SimLoop) -> tuple[int, bool]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            reading(writer).pause_reading()
            await asyncio.sleep(100)
            reading(writer).resume_reading()
            await reader.readexactly(10 * RECEIVE_WINDOW_BYTES)

        _, writer = await served(serve)
        writer.write(b"x" * 10 * RECEIVE_WINDOW_BYTES)
        await asyncio.sleep(10)
        left = writer.transport.get_write_buffer_size()
        await writer.drain()
        return left, loop.time() >= 100

    left, waited = simulate(1, main)
    assert left == 9 * RECEIVE_WINDOW_BYTES and waited


def test_a_run_that_never_ends_or_fails_where_nobody_looks_says_so() -> None:
    async def nothing_due(loop: SimLoop) -> None:
        await loop.create_future()

    async def one_instant(loop: SimLoop) -> None:
        def again() -> None:
            loop.call_soon(again)

        again()
        await asyncio.sleep(1)

    async def fails(loop: SimLoop) -> None:
        loop.call_later(1, lambda: 1 // 0)
        await asyncio.sleep(2)

    with pytest.raises(NoProgressError, match="nothing is due"):
        simulate(1, nothing_due)
    with pytest.raises(NoProgressError, match=r"does not end.*again"):
        simulate(1, one_instant)
    with pytest.raises(SimulationError, match=r"1.000000 s.*ZeroDivisionError"):
        simulate(1, fails)


TRACE = [sys.executable, "-m", "tests.sim_trace"]
ROOT = Path(__file__).resolve().parent.parent


def trace(seeds: str, hash_seed: str) -> list[str]:
    """A line a seed: the hash of all that was said on the wire, and when; and how many were served."""
    done = subprocess.run(
        [*TRACE, *seeds.split()],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
    )
    assert done.returncode == 0, done.stderr[-2000:]
    return done.stdout.splitlines()


def test_the_real_sidecar_does_the_same_to_the_byte_in_every_process() -> None:
    seeds = " ".join(map(str, range(20)))
    first, second = trace(seeds, "1"), trace(seeds, "2")
    assert first == second and len(first) == 20
    assert len({line.split()[1] for line in first}) == 20  # each seed its own
    assert all(int(line.split()[2]) > 150 for line in first)


# Processes


def started(loop: SimLoop, owner: str, work: Awaitable[None]) -> asyncio.Task[None]:
    """A process of its own."""
    context = contextvars.copy_context()
    context.run(OWNER.set, owner)

    async def run() -> None:
        await work

    return loop.create_task(run(), context=context)


def test_a_process_that_stands_still_keeps_its_connections_and_does_all_it_missed_once_it_goes_on() -> None:
    async def main(loop: SimLoop) -> list[tuple[float, str]]:
        seen: list[tuple[float, str]] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            seen.append((round(loop.now_s, 1), (await reader.readline()).decode().strip()))

        async def work() -> None:
            await asyncio.start_server(serve, *ADDRESS)
            for number in range(3):
                await asyncio.sleep(0.5)
                seen.append((round(loop.now_s, 1), f"timer {number}"))

        started(loop, "one", work())
        await asyncio.sleep(0.7)
        loop.suspend("one")
        _, writer = await asyncio.open_connection(*ADDRESS)  # the kernel takes it all the same
        writer.write(b"hello\n")
        await asyncio.sleep(2.3)
        assert seen == [(0.5, "timer 0")]
        loop.resume("one")
        await asyncio.sleep(1.0)
        return seen

    assert sorted(simulate(1, main)) == [(0.5, "timer 0"), (3.0, "hello"), (3.0, "timer 1"), (3.5, "timer 2")]


def test_one_that_was_killed_while_it_stood_still_does_not_go_on() -> None:
    async def main(loop: SimLoop) -> list[str]:
        seen: list[str] = []

        async def work() -> None:
            await asyncio.sleep(1.0)
            seen.append("went on")

        started(loop, "one", work())
        await asyncio.sleep(0.5)
        loop.suspend("one")
        loop.kill("one")
        loop.resume("one")
        await asyncio.sleep(2.0)
        return seen

    assert simulate(1, main) == []


def test_a_clock_that_goes_faster_takes_its_timers_with_it_also_those_that_run() -> None:
    async def main(loop: SimLoop) -> list[tuple[float, float]]:
        seen: list[tuple[float, float]] = []

        async def work() -> None:
            for _ in range(2):
                await asyncio.sleep(2.0)
                seen.append((round(loop.now_s, 3), round(system.monotonic(), 3)))

        started(loop, "one", work())
        await asyncio.sleep(1.0)
        loop.set_rate("one", 2.0)
        await asyncio.sleep(5.0)
        assert round(loop.time(), 6) == 6.0  # nobody else's
        return seen

    assert simulate(1, main) == [(1.5, 2.0), (2.5, 4.0)]


def test_a_calendar_that_is_set_is_that_of_one_machine_and_its_steady_clock_goes_on() -> None:
    async def main(loop: SimLoop) -> list[tuple[float, float]]:
        seen: list[tuple[float, float]] = []
        begun_ns = system.unix_ns()

        async def work() -> None:
            for _ in range(2):
                seen.append((round((system.unix_ns() - begun_ns) / 1e9, 3), round(system.monotonic(), 3)))
                await asyncio.sleep(1.0)

        started(loop, "one", work())
        await asyncio.sleep(0.5)
        loop.shift_calendar("one", -3600.0)
        await asyncio.sleep(2.0)
        assert round((system.unix_ns() - begun_ns) / 1e9, 3) == 2.5
        return seen

    assert simulate(1, main) == [(0.0, 0.0), (-3599.0, 1.0)]
