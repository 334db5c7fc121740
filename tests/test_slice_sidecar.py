"""A sidecar, and the commands of `ryepier slices`, that follow EndpointSlices of an emulated API server."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import pytest

from ryepier.assembly.sidecar import select_components
from ryepier.balancer.interface import ListKind
from ryepier.conf import operator_settings
from ryepier.emulator.api_store import SERVICE_LABEL
from ryepier.sidecar.config import load
from ryepier.sidecar.serving import serve
from ryepier.slices import slice_source
from ryepier.slices.api_client import AccessError, find_access
from tests.api_server_testbed import (
    READY,
    ApiServerTestbed,
    api_server_testbed,
    run_bounded,
    slice_content,
)
from tests.loopback_ports import free_port
from tests.network_peers import OK, read_message, request, wait_until, write_configuration


def test_sidecar_started_during_an_outage_uses_the_cached_list(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slice_source, "CACHE_INTERVAL_S", 0.01)
    cache_file = tmp_path / "list.json"

    async def test() -> None:
        async with api_server_testbed() as testbed:
            testbed.put("s1", "p1", "p2", draining="p2")
            testbed.follow(cache_file=cache_file).stop()
            testbed.follow(cache_file=cache_file)
            await wait_until(cache_file.exists)
        offline_testbed = ApiServerTestbed()
        offline_testbed.port = free_port()
        offline_testbed.follow(cache_file=cache_file)
        assert offline_testbed.events[0].kind is ListKind.CACHED and offline_testbed.states() == {"p1": READY}
        cache_file.write_bytes(cache_file.read_bytes()[:-9])  # truncated
        restarted_testbed = ApiServerTestbed()
        restarted_testbed.port = offline_testbed.port
        restarted_testbed.follow(cache_file=cache_file)
        assert restarted_testbed.events == []
        for testbed in (offline_testbed, restarted_testbed):
            assert testbed.source is not None
            testbed.source.stop()

    run_bounded(test)


@pytest.mark.parametrize(
    ("server", "message"),
    [
        ("ftp://x", "expected http"),
        ("https://", "expected http"),
        ("127.0.0.1:80", "expected http"),
        ("http://h:99999", "out of range"),
        ("", "KUBERNETES_SERVICE_HOST"),
    ],
)
def test_invalid_server_address_is_reported(server: str, message: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("KUBERNETES_SERVICE_HOST", raising=False)
    with pytest.raises(AccessError, match=message):
        find_access(server)


def test_explain_and_watch_print_states_by_slice_and_the_deciding_rule(tmp_path: Path) -> None:
    async def test() -> None:
        async with api_server_testbed() as testbed:
            testbed.put("s1", "p1", "p2")
            testbed.put("s2", "p1", draining="p1")
            path = tmp_path / "ryepier.toml"
            path.write_text(
                f'[slices]\nservice = "convert"\nnamespace = "default"\nserver = "http://127.0.0.1:{testbed.port}"\n'
            )
            exit_status, output = await run_command("slices", "explain", "10.0.0.1", "--config", str(path))
            assert exit_status == 0 and "10.0.0.1:80 p1: draining, by rule 3" in output
            assert "  s1, generation 1: ready" in output and "  s2, generation 1: terminating" in output
            exit_status, _ = await run_command("slices", "explain", "10.9.9.9", "--config", str(path))
            assert exit_status == 1
            exit_status, _ = await run_command("slices", "explain", "10.0.0.1")
            assert exit_status == 2
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ryepier",
                "slices",
                "watch",
                "--json",
                "--config",
                str(path),
                stdout=asyncio.subprocess.PIPE,
            )
            assert process.stdout is not None
            lines = [json.loads(await process.stdout.readline()) for _ in range(2)]
            assert {line["uid"]: line["state"] for line in lines} == {"p1": "draining", "p2": "ready"}
            testbed.put("s1", "p2", draining="p2")
            line = json.loads(await process.stdout.readline())
            assert (line["uid"], line["state"], line["list"]) == ("p2", "draining", "delta")
            process.terminate()
            assert await process.wait() == 0

    run_bounded(test)


async def run_command(*arguments: str) -> tuple[int, str]:
    """Run `ryepier` as a subprocess and return its exit status and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ryepier", *arguments, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode()


def test_sidecar_follows_slices_to_a_converter_at_an_ipv6_address(tmp_path: Path) -> None:
    hosts: set[str] = set()

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head, _ = await read_message(reader)
        hosts.update(line[6:].decode() for line in head.split(b"\r\n") if line.lower().startswith(b"host: "))
        writer.write(OK)

    async def test() -> None:
        server = await asyncio.start_server(respond, "::1", 0)
        port = server.sockets[0].getsockname()[1]
        async with api_server_testbed() as testbed:
            only_slice = slice_content("p1", family="IPv6")
            only_slice["endpoints"][0]["addresses"] = ["::1"]
            only_slice["ports"] = [{"name": "http", "port": port}]
            testbed.store.put("default", "s1", only_slice, {SERVICE_LABEL: "convert"})
            config = load(str(write_configuration(tmp_path, known=None)))
            operators_toml = (
                f'[slices]\nservice = "convert"\nnamespace = "default"\nserver = "http://127.0.0.1:{testbed.port}"\n'
            )
            stop = asyncio.Event()
            components = select_components(operator_settings.parse(operators_toml, {}))
            serving_task = asyncio.create_task(serve(config, stop, asyncio.Event(), components))
            await wait_until(lambda: any("watch=true" in target for target in testbed.api.request_targets))
            reader, writer = await asyncio.open_connection(*config.listen)
            writer.write(request("pay", body=b"b", deadline_ms=1000))
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.close()
            assert {f"[::1]:{port}"} == hosts
            stop.set()
            await serving_task
        server.close()

    run_bounded(test)
