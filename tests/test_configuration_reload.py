"""A new configuration moves the watch and keeps what is open."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.network_peers import (
    HANG_TIMEOUT_S,
    OK,
    Discovery,
    Upstream,
    endpoint_entry,
    endpoint_list,
    read_message,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
    write_configuration,
)


def test_new_configuration_moves_the_watch_and_keeps_open_requests(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        held = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await held.wait()
            writer.write(OK)

        old, new, first, second = Upstream(script), Upstream(respond_in_turn(OK)), Discovery(), Discovery()
        await new.start()
        await second.start()
        path = tmp_path / "config.json"
        path.write_text("{")
        async with sidecar(old, discovery=first, path=str(path)) as it:
            await first.watched()
            first.line(endpoint_list(endpoint_entry("u0", old.port), rev=900))
            reader, writer = await it.connect()
            writer.write(request("pay"))
            await wait_until(lambda: len(old.requests) == 1)
            it.reload.set()
            await wait_until(lambda: "configuration not reloaded" in caplog.text)  # the old one stays
            assert len(first.calls) == 1
            write_configuration(tmp_path, discovery=f"127.0.0.1:{second.port}")
            it.reload.set()
            await second.watched()
            assert b"since=0 " in second.calls[0]
            second.line(endpoint_list(endpoint_entry("u1", new.port), rev=3))
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while not new.requests:
                    await it.fetch(request(ident="2"))
            it.reload.set()  # the same address: nothing to do
            held.set()
            assert status_of(await read_message(reader)) == 200
            writer.close()
            assert (len(first.calls), len(second.calls)) == (1, 1)
        new.stop()
        second.stop()

    run_async(test)
