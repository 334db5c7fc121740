"""The program that `run` in the deploy file starts: configuration, readiness, SIGTERM."""

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

pytestmark = pytest.mark.xdist_group("deploy_build")  # builds the environment in the tree

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


@contextmanager
def program(path: Path) -> Iterator[subprocess.Popen[bytes]]:
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=600)
    plain = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV"))}
    process = subprocess.Popen(
        ["/bin/sh", "-c", DEPLOY["run"]], cwd=ROOT, stderr=subprocess.PIPE, env=plain | {"BALANCER_CONFIG": str(path)}
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def test_build_compiles_the_sources(tmp_path: Path) -> None:
    with program(write_configuration(tmp_path)):  # which builds first
        for source in (
            ROOT / "ryepier" / "__init__.py",
            *(ROOT / "ryepier" / "sidecar").glob("*.py"),
            *(ROOT / "ryepier" / "balancer").glob("*.py"),
        ):
            assert Path(cache_from_source(source)).exists()


def test_settings_are_read_by_their_names_in_the_simulators_protocol(tmp_path: Path) -> None:
    config: Config = load(str(write_configuration(tmp_path)))
    assert (config.seed, config.max_descriptors, config.upstream_idle_timeout_us) == (0x8C1F, 1024, 5_000_000)
    assert (config.zones, config.kinds) == (["a", "b"], ["m"])
    assert config.settings.zone == 1 and config.settings.polls_endpoints and config.settings.weighted
    assert config.settings.report_names == ["in_flight", "queued"]
    assert [kind.idempotency for kind in config.settings.classes] == [Idempotency.NON_IDEMPOTENT]


def test_nested_settings_become_pairs() -> None:
    nested = {"a": {"b": True, "c": [1, 2]}, "d": [{"e": 0.5}], "f": []}
    assert flatten(nested) == {"a.b": "true", "a.c": "1,2", "d.count": "1", "d.0.e": "0.5", "f.count": "0"}


def test_program_becomes_ready_survives_sighup_and_exits_0_on_sigterm(tmp_path: Path) -> None:
    path = write_configuration(tmp_path)
    port = int(json.loads(path.read_text())["listen"].split(":")[1])
    with program(path) as process:

        def up() -> bytes:
            ends = time.monotonic() + HANG_TIMEOUT_S
            while time.monotonic() < ends:
                assert process.poll() is None
                try:
                    with socket.create_connection(("127.0.0.1", port), timeout=HANG_TIMEOUT_S) as sock:
                        sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                        return sock.recv(100)
                except ConnectionRefusedError:
                    time.sleep(0.02)
            return b""

        assert up().startswith(b"HTTP/1.1 200 ")
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
            assert up().startswith(b"HTTP/1.1 200 ")
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(HANG_TIMEOUT_S) == 0


def test_sigterm_under_load_leaves_no_executed_request_without_its_answer(tmp_path: Path) -> None:
    async def slow(upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        writer.write(OK)

    async def client(name: int, port: int, stopped: asyncio.Event, answered: set[str]) -> None:
        """Sends one request after another; after the stop until its connection is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in range(10_000):
            ident = f"{name}-{number}"
            try:
                writer.write(request("pay", ident, b"b"))
                head, _ = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                assert stopped.is_set()  # closed between requests
                break
            answered.add(ident)
            if b"Connection: close" in head:
                assert stopped.is_set()
                break
        writer.close()

    async def test() -> None:
        upstreams = [Upstream(slow) for _ in range(4)]
        for upstream in upstreams:
            await upstream.start()
        known = endpoint_list(*(endpoint_entry(f"u{i}", upstream.port) for i, upstream in enumerate(upstreams)))
        path = write_configuration(tmp_path, known=known)
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        stopped, answered = asyncio.Event(), set[str]()
        with program(path) as process:
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while True:
                    try:
                        (await asyncio.open_connection("127.0.0.1", port))[1].close()
                        break
                    except ConnectionRefusedError:
                        await asyncio.sleep(0.02)
                async with asyncio.TaskGroup() as group:
                    for name in range(8):
                        group.create_task(client(name, port, stopped, answered))
                    await asyncio.sleep(0.5)
                    stopped.set()
                    process.send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(process.wait, HANG_TIMEOUT_S) == 0
        for upstream in upstreams:
            upstream.stop()
        ran = {
            head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
            for upstream in upstreams
            for head, _ in upstream.requests
        }
        assert ran and ran <= answered

    asyncio.run(test())


@pytest.mark.parametrize("changes", [{"listen": "nowhere"}, {"settings": {}}, {"limits": {}}])
def test_invalid_configuration_ends_the_program_with_one_line(tmp_path: Path, changes: dict[str, Any]) -> None:
    with program(write_configuration(tmp_path, **changes)) as process:
        _, errors = process.communicate(timeout=HANG_TIMEOUT_S)
        assert process.returncode == 2 and len(errors.splitlines()) == 1


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


def test_second_sigterm_and_sighup_during_shutdown_leave_open_requests_alone(tmp_path: Path) -> None:
    async def test() -> None:
        let = asyncio.Event()
        upstream = Upstream(respond_after(let))
        await upstream.start()
        path = write_configuration(tmp_path, known=endpoint_list(endpoint_entry("u", upstream.port)))
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        with program(path) as process:
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
                for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                    process.send_signal(number)
                    await asyncio.sleep(0.05)
                let.set()
                assert (await reader.read()).endswith(b"done")
                writer.close()
                assert await asyncio.to_thread(process.wait, HANG_TIMEOUT_S) == 0
        upstream.stop()

    asyncio.run(test())
