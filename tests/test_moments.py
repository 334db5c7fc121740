"""Rare moments over loopback sockets: what is still owed at the instant at which something ends.

Each test makes one bad order of events happen every time: the peers' scripts hold it, or it is put between two steps
of the sidecar.
"""

from __future__ import annotations

import asyncio

from glenkeel.interface import RequestClass
from tests.net import Upstream, read_message, request, run, sidecar, silent, status, until

SHORT = [RequestClass("pay", aim_us=200_000, deadline_us=400_000, effect="at_most_once")]


# The stop


def test_a_stop_answers_what_is_open_however_long_its_own_time_is() -> None:
    async def test() -> None:
        upstream = Upstream(silent)
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", deadline_ms=20_000))
            await until(lambda: len(upstream.requests) == 1)
            it.stop.set()
            head, _ = await read_message(reader)
            assert status((head, b"")) == 500 and b"Connection: close" in head
            assert not it.task.done()  # else the process had ended with the request open
            writer.close()
            await it.task

    run(test)


def test_what_comes_whole_after_a_stop_is_answered_before_the_kill_and_not_by_its_own_time() -> None:
    async def test() -> None:
        upstream = Upstream(silent)
        kinds = [RequestClass("pay", 1_000_000, 2_000_000, late_worth=0.5, effect="at_most_once")]
        async with sidecar(upstream, classes=kinds) as it:
            whole = request("pay", body=b"ab", deadline_ms=2_000)
            reader, writer = await it.connect()
            writer.write(whole[:-1])
            loop = asyncio.get_running_loop()
            it.stop.set()
            stopped = loop.time()
            await asyncio.sleep(1.5)  # so that its own time ends 0.8 s after the soonest kill
            writer.write(whole[-1:])
            head, _ = await read_message(reader)
            assert b"Connection: close" in head and loop.time() - stopped < 3.2
            writer.close()
            await it.task

    run(test)


def test_what_has_not_come_whole_when_the_kill_is_near_is_turned_away() -> None:
    async def test() -> None:
        async with sidecar(Upstream(silent), classes=SHORT) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", body=b"ab")[:-1])
            it.stop.set()
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 503 ")
            writer.close()
            await it.task

    run(test)
