"""A reload of the configuration moves the watch to the new discovery address and keeps open requests."""

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


def test_reload_moves_the_watch_and_keeps_open_requests(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()
            writer.write(OK)

        old_upstream, new_upstream, old_discovery, new_discovery = (
            Upstream(script),
            Upstream(respond_in_turn(OK)),
            Discovery(),
            Discovery(),
        )
        await new_upstream.start()
        await new_discovery.start()
        path = tmp_path / "config.json"
        path.write_text("{")
        async with sidecar(old_upstream, discovery=old_discovery, path=str(path)) as running_sidecar:
            await old_discovery.wait_for_watch()
            old_discovery.send_list(endpoint_list(endpoint_entry("u0", old_upstream.port), rev=900))
            reader, writer = await running_sidecar.connect()
            writer.write(request("pay"))
            await wait_until(lambda: len(old_upstream.requests) == 1)
            running_sidecar.reload.set()
            # the old configuration stays in force
            await wait_until(lambda: "configuration not reloaded" in caplog.text)
            assert len(old_discovery.calls) == 1
            write_configuration(tmp_path, discovery=f"127.0.0.1:{new_discovery.port}")
            running_sidecar.reload.set()
            await new_discovery.wait_for_watch()
            assert b"since=0 " in new_discovery.calls[0]
            new_discovery.send_list(endpoint_list(endpoint_entry("u1", new_upstream.port), rev=3))
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while not new_upstream.requests:
                    await running_sidecar.fetch(request(request_id="2"))
            running_sidecar.reload.set()  # the address is unchanged, so the watch stays
            release.set()
            assert status_of(await read_message(reader)) == 200
            writer.close()
            assert (len(old_discovery.calls), len(new_discovery.calls)) == (1, 1)
        new_upstream.stop()
        new_discovery.stop()

    run_async(test)
