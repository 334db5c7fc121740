"""The program that the deploy file's `run` command starts: configuration, readiness and signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.util import cache_from_source
from pathlib import Path
from typing import Any

import pytest

from ryepier.balancer.interface import Idempotency
from ryepier.balancer.settings_parser import SettingsError
from ryepier.sidecar.config import Config, flatten, load
from tests.network_peers import (
    HANG_TIMEOUT_S,
    OK,
    SETTINGS,
    Upstream,
    endpoint_entry,
    endpoint_list,
    read_message,
    request,
    respond_after,
    write_configuration,
)

pytestmark = pytest.mark.xdist_group("deploy_build")  # builds the environment in the source tree

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


@contextmanager
def running_program(path: Path) -> Iterator[subprocess.Popen[bytes]]:
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=600)
    environment = {name: value for name, value in os.environ.items() if not name.startswith(("PYTHON", "VIRTUAL_ENV"))}
    process = subprocess.Popen(
        ["/bin/sh", "-c", DEPLOY["run"]],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env=environment | {"BALANCER_CONFIG": str(path)},
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def test_build_compiles_the_sources(tmp_path: Path) -> None:
    with running_program(write_configuration(tmp_path)):  # runs the build first
        for source in (
            ROOT / "ryepier" / "__init__.py",
            *(ROOT / "ryepier" / "sidecar").glob("*.py"),
            *(ROOT / "ryepier" / "balancer").glob("*.py"),
        ):
            assert Path(cache_from_source(source)).exists()


def test_settings_are_read_under_the_names_of_the_simulator_protocol(tmp_path: Path) -> None:
    config: Config = load(str(write_configuration(tmp_path)))
    assert (config.seed, config.max_descriptors, config.upstream_idle_timeout_us) == (0x8C1F, 1024, 5_000_000)
    assert (config.zones, config.kinds) == (["a", "b"], ["m"])
    assert config.settings.zone == 1 and config.settings.polls_endpoints and config.settings.weighted
    assert config.settings.report_names == ["in_flight", "queued"]
    assert [request_class.idempotency for request_class in config.settings.classes] == [Idempotency.NON_IDEMPOTENT]


def test_nested_settings_are_flattened_to_pairs() -> None:
    nested = {"a": {"b": True, "c": [1, 2]}, "d": [{"e": 0.5}], "f": []}
    assert flatten(nested) == {"a.b": "true", "a.c": "1,2", "d.count": "1", "d.0.e": "0.5", "f.count": "0"}


def test_program_becomes_ready_reloads_on_sighup_and_exits_0_on_sigterm(tmp_path: Path) -> None:
    path = write_configuration(tmp_path)
    port = int(json.loads(path.read_text())["listen"].split(":")[1])
    with running_program(path) as process:

        def fetch_readiness() -> bytes:
            timeout_at = time.monotonic() + HANG_TIMEOUT_S
            while time.monotonic() < timeout_at:
                assert process.poll() is None
                try:
                    with socket.create_connection(("127.0.0.1", port), timeout=HANG_TIMEOUT_S) as sock:
                        sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                        return sock.recv(100)
                except ConnectionRefusedError:
                    time.sleep(0.02)
            return b""

        assert fetch_readiness().startswith(b"HTTP/1.1 200 ")
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
            assert fetch_readiness().startswith(b"HTTP/1.1 200 ")
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(HANG_TIMEOUT_S) == 0


def test_every_executed_request_is_answered_after_sigterm_under_load(tmp_path: Path) -> None:
    async def respond_after_delay(
        upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.05)
        writer.write(OK)

    async def send_requests(client_index: int, port: int, stopped: asyncio.Event, answered_ids: set[str]) -> None:
        """Send requests until the connection is closed, which must not happen before `stopped` is set."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for request_index in range(10_000):
            request_id = f"{client_index}-{request_index}"
            try:
                writer.write(request("pay", request_id, b"b"))
                head, _ = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                assert stopped.is_set()  # after SIGTERM the sidecar may close the connection between two requests
                break
            answered_ids.add(request_id)
            if b"Connection: close" in head:
                assert stopped.is_set()
                break
        writer.close()

    async def test() -> None:
        upstreams = [Upstream(respond_after_delay) for _ in range(4)]
        for upstream in upstreams:
            await upstream.start()
        cached_list = endpoint_list(
            *(endpoint_entry(f"u{index}", upstream.port) for index, upstream in enumerate(upstreams))
        )
        path = write_configuration(tmp_path, known=cached_list)
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        stopped, answered_ids = asyncio.Event(), set[str]()
        with running_program(path) as process:
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while True:
                    try:
                        (await asyncio.open_connection("127.0.0.1", port))[1].close()
                        break
                    except ConnectionRefusedError:
                        await asyncio.sleep(0.02)
                async with asyncio.TaskGroup() as group:
                    for client_index in range(8):
                        group.create_task(send_requests(client_index, port, stopped, answered_ids))
                    await asyncio.sleep(0.5)
                    stopped.set()
                    process.send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(process.wait, HANG_TIMEOUT_S) == 0
        for upstream in upstreams:
            upstream.stop()
        executed_ids = {
            head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
            for upstream in upstreams
            for head, _ in upstream.requests
        }
        assert executed_ids and executed_ids <= answered_ids

    asyncio.run(test())


@pytest.mark.parametrize("changes", [{"listen": "nowhere"}, {"settings": {}}, {"limits": {}}])
def test_invalid_configuration_is_reported_in_one_line(tmp_path: Path, changes: dict[str, Any]) -> None:
    with running_program(write_configuration(tmp_path, **changes)) as process:
        _, error_output = process.communicate(timeout=HANG_TIMEOUT_S)
        assert process.returncode == 2 and len(error_output.splitlines()) == 1


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"listen": 5}, "listen"),
        ({"discovery": None}, "discovery"),
        ({"seed": 7}, "seed"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": [1]}, "limits.sockets"),
        ({"settings": SETTINGS | {"areas": 3}}, "settings.areas"),
        ({"settings": SETTINGS | {"bounds": SETTINGS["bounds"] | {"conn-idle": float("inf")}}}, "bounds.conn-idle"),
        ({"settings": SETTINGS | {"request-classes": []}}, "request class"),
        ({"settings": SETTINGS | {"instances": "x"}}, "instances"),
    ],
)
def test_invalid_setting_is_reported_by_its_key(tmp_path: Path, changes: dict[str, Any], key: str) -> None:
    with pytest.raises((ValueError, SettingsError), match=key):
        load(str(write_configuration(tmp_path, **changes)))


def test_signals_during_shutdown_do_not_affect_open_requests(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()
        upstream = Upstream(respond_after(release))
        await upstream.start()
        path = write_configuration(tmp_path, known=endpoint_list(endpoint_entry("u", upstream.port)))
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        with running_program(path) as process:
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while True:
                    try:
                        reader, writer = await asyncio.open_connection("127.0.0.1", port)
                        break
                    except ConnectionRefusedError:
                        await asyncio.sleep(0.02)
                writer.write(request("pay", deadline_ms=1_200))
                while not upstream.requests:
                    await asyncio.sleep(0.005)
                for signal_number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                    process.send_signal(signal_number)
                    await asyncio.sleep(0.05)
                release.set()
                assert (await reader.read()).endswith(b"done")
                writer.close()
                assert await asyncio.to_thread(process.wait, HANG_TIMEOUT_S) == 0
        upstream.stop()

    asyncio.run(test())
