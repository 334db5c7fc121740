"""List and watch against the stand-in API server: what it does wrong, what is lost on the way, and who may ask."""

from __future__ import annotations

import asyncio
import itertools
import json
import ssl
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import pytest
import trustme
from hypothesis import given
from hypothesis import strategies as st
from kubernetes import client as kubernetes
from kubernetes import watch as kubernetes_watch

from ryepier.assembly.sidecar import select_components
from ryepier.balancer.interface import ListKind, UpstreamState, UpstreamsUpdated
from ryepier.conf import operator_settings
from ryepier.emulator.api_server import ApiServer
from ryepier.emulator.api_store import SERVICE_LABEL, Store
from ryepier.sidecar.config import load
from ryepier.sidecar.serving import serve
from ryepier.sidecar.system import clock_us
from ryepier.slices import api_client, api_objects, reflector, slice_source
from ryepier.slices.api_client import Access, AccessError, find_access
from ryepier.slices.endpoint_listing import ListingRules
from ryepier.slices.reflector import Apply, Call, Failure, Reflector, Replace, Wait
from ryepier.slices.slice_source import Settings, SliceSource
from tests.loopback_ports import free_port
from tests.network_peers import HANG_TIMEOUT_S, OK, read_message, request, wait_until, write_configuration

READY, DRAINING, REMOVED = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.REMOVED
PORTS = [{"name": "http", "port": 80, "protocol": "TCP"}]


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(4 * HANG_TIMEOUT_S):
            await test()

    asyncio.run(limited())


def content(*pods: str, draining: str = "", family: str = "IPv4") -> dict[str, Any]:
    prefix = "10.0.0." if family == "IPv4" else "fd00::"
    return {
        "addressType": family,
        "ports": PORTS,
        "endpoints": [
            {
                "addresses": [f"{prefix}{pod[1:]}"],
                "targetRef": {"kind": "Pod", "uid": pod},
                "conditions": {"ready": pod not in draining, "terminating": pod in draining},
            }
            for pod in pods
        ],
    }


class World:
    """A stand-in server and a source that follows it."""

    def __init__(self) -> None:
        self.store = Store()
        self.api = ApiServer(self.store, bookmark_s=0.1)
        self.port = 0
        self.events: list[UpstreamsUpdated] = []
        self.source: SliceSource | None = None

    def put(self, name: str, *pods: str, draining: str = "", family: str = "IPv4") -> None:
        self.store.put("default", name, content(*pods, draining=draining, family=family), {SERVICE_LABEL: "convert"})
        self.api.on_change()

    def follow(self, access: Access | None = None, **more: Any) -> SliceSource:
        settings = Settings(
            access or Access("127.0.0.1", self.port, False),
            "default",
            "convert",
            ListingRules([], 0, settle_us=50_000),
            **more,
        )
        self.source = SliceSource(settings, self.heard, clock_us)
        self.source.restore_cached()
        self.source.start()
        return self.source

    def heard(self, event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        assert all(entry.id in addresses for entry in event.upstreams)
        self.events.append(event)

    def states(self) -> dict[str, UpstreamState]:
        """What the module would hold, by pod: from all that it was told."""
        assert self.source is not None
        held: dict[int, UpstreamState] = {}
        for event in self.events:
            if event.kind in (ListKind.FULL, ListKind.CACHED):
                held.clear()
            held |= {entry.id: entry.state for entry in event.upstreams}
        return {uid: held[ident] for uid, ident in self.source.upstream_ids().items()}


@asynccontextmanager
async def a_world(tls: ssl.SSLContext | None = None) -> AsyncIterator[World]:
    world = World()
    world.port = await world.api.listen("127.0.0.1", 0, tls)
    try:
        yield world
    finally:
        if world.source is not None:
            world.source.stop()
        world.api.close()


def test_pages_changes_and_both_address_families_become_one_list(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reflector, "PAGE_SIZE", 2)

    async def test() -> None:
        async with a_world() as world:
            for index in range(5):
                world.put(f"s{index}", f"p{index}")
            world.store.put("default", "another", content("p99"), {SERVICE_LABEL: "other"})
            world.follow()
            await wait_until(lambda: len(world.states()) == 5)
            assert [event.kind for event in world.events] == [ListKind.FULL]
            assert sum("continue=" in call for call in world.api.calls) == 2
            world.put("s1", "p1", draining="p1")
            world.put("six", "p7", family="IPv6")
            await wait_until(
                lambda: (
                    world.states() == {"p0": READY, "p1": DRAINING, "p2": READY, "p3": READY, "p4": READY, "p7": READY}
                )
            )
            assert ("fd00::7", 80) in {
                known.endpoint.address for known in (world.source.listing.known.values() if world.source else ())
            }

    run(test)


def test_watch_that_breaks_within_a_line_loses_no_event(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reflector, "FIRST_BACKOFF_US", 1000)

    async def test() -> None:
        async with a_world() as world:
            world.put("s1", "p1")
            world.follow()
            await wait_until(lambda: world.states() == {"p1": READY})
            world.api.faults.torn = True
            world.put("s1", "p1", draining="p1")
            await wait_until(lambda: sum("watch=true" in call for call in world.api.calls) >= 3)
            assert world.states() == {"p1": READY}  # half a line says nothing yet
            world.api.faults.torn = False
            await wait_until(lambda: world.states() == {"p1": DRAINING})

    run(test)


def test_response_in_small_pieces_is_read() -> None:
    async def test() -> None:
        async with a_world() as world:
            world.api.faults.pieces, world.api.faults.pause_s = 7, 0.0
            world.put("s1", "p1", "p2")
            world.follow()
            await wait_until(lambda: len(world.states()) == 2)
            world.put("s1", "p1", "p2", draining="p2")
            await wait_until(lambda: world.states() == {"p1": READY, "p2": DRAINING})

    run(test)


def test_server_compacted_during_an_outage_is_listed_again_and_removed_endpoints_are_noticed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(reflector, "FIRST_BACKOFF_US", 1000)
    monkeypatch.setattr(reflector, "MAX_BACKOFF_US", 50_000)

    async def test() -> None:
        async with a_world() as world:
            world.put("s1", "p1", "p2")
            world.put("s2", "p3")
            world.follow()
            await wait_until(lambda: len(world.states()) == 3)
            world.api.close()
            world.put("s1", "p2", draining="p2")
            world.store.delete("default", "s2")
            world.store.compact()
            assert world.states() == {"p1": READY, "p2": READY, "p3": READY}  # the last list holds
            await world.api.listen("127.0.0.1", world.port)
            await wait_until(lambda: world.states() == {"p2": DRAINING})

    run(test)


def test_silent_watch_is_closed_and_another_opened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(api_client, "WATCH_GRACE_S", -0.7)
    monkeypatch.setattr(reflector, "FIRST_BACKOFF_US", 1000)

    async def test() -> None:
        async with a_world() as world:
            world.put("s1", "p1")
            world.follow(watch_s=1)
            await wait_until(lambda: world.states() == {"p1": READY})
            world.api.faults.silent = True
            world.put("s1", "p1", draining="p1")
            calls = len(world.api.calls)
            await wait_until(lambda: len(world.api.calls) > calls)
            world.api.faults.silent = False
            await wait_until(lambda: world.states() == {"p1": DRAINING})

    run(test)


def test_retry_after_of_a_busy_server_is_respected() -> None:
    made = Reflector("default", "convert", Random(1))
    made.start(0)
    [_, wait] = made.on_failure(0, Failure("busy", 429, retry_after_s=3))
    assert isinstance(wait, Wait) and 3_100_000 <= wait.until_us <= 3_200_000
    [_, wait] = made.on_failure(0, Failure("busy", 429, retry_after_s=86_400))
    assert isinstance(wait, Wait) and wait.until_us <= reflector.MAX_RETRY_AFTER_US + 400_000


def test_backoff_doubles_is_spread_and_bounded() -> None:
    waits = []
    for seed in range(50):
        made = Reflector("default", "convert", Random(seed))
        for _ in range(12):
            last = [one.until_us for one in made.on_failure(0, Failure("refused")) if isinstance(one, Wait)]
        waits += last
    assert min(waits) >= 0.5 * reflector.MAX_BACKOFF_US and max(waits) <= reflector.MAX_BACKOFF_US
    assert max(waits) - min(waits) > 0.4 * reflector.MAX_BACKOFF_US


def test_server_away_for_ten_minutes_gets_few_requests_and_is_then_listed_at_once() -> None:
    reflector = Reflector("default", "convert", Random(1))
    reflector.version = "5"
    now_us = calls = 0
    reflector.start(0)
    while now_us < 600_000_000:
        calls += 1
        [now_us] = [one.until_us for one in reflector.on_failure(now_us, Failure("refused")) if isinstance(one, Wait)]
        [call] = reflector.on_wake(now_us)
        assert isinstance(call, Call) and "resourceVersion=5" in call.target
    assert 60 <= calls <= 130
    assert [one for one in reflector.on_failure(now_us, Failure("gone", 410)) if isinstance(one, Call)]


@given(st.binary(max_size=200), st.lists(st.integers(0, 400), max_size=6), st.booleans())
def test_watch_split_at_any_byte_gives_complete_lines_and_garbage_is_an_error(
    rubbish: bytes, cuts: list[int], sound: bool
) -> None:
    async def test() -> None:
        lines: list[bytes] = []
        body = b'{"a":1}\n' + rubbish.replace(b"\r", b"") + b"\n"
        data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        if not sound:
            data = rubbish
        answer = api_client.ResponseReader(reflector.CallKind.WATCH, lines.append, lambda: None)
        edges = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
        for begin, end in itertools.pairwise(edges):
            answer.data_received(data[begin:end])
        assert not sound or (
            answer.is_complete
            and answer.failure is None
            and lines == [line for line in body.split(b"\n") if line.strip()]
        )

    asyncio.run(test())


def test_expired_page_is_followed_by_one_request_for_the_complete_list() -> None:
    reflector = Reflector("default", "convert", Random(1))
    reflector.start(0)
    [more] = reflector.on_page(
        0,
        api_objects.read_list(
            b'{"metadata":{"resourceVersion":"5","continue":"abc"},"items":[{"metadata":{"name":"s"},"addressType":"IPv4"}]}'
        ),
    )
    assert isinstance(more, Call) and "continue=abc" in more.target
    [_, whole] = reflector.on_failure(1, Failure("expired", 410))
    assert isinstance(whole, Call) and "limit" not in whole.target and "continue" not in whole.target
    assert any(isinstance(one, Wait) for one in reflector.on_failure(2, Failure("expired", 410)))
    [replace, watch] = reflector.on_page(3, api_objects.read_list(b'{"metadata":{"resourceVersion":"9"},"items":[]}'))
    assert replace == Replace([]) and isinstance(watch, Call) and "resourceVersion=9" in watch.target


def test_watch_resumes_from_its_last_bookmark_and_after_an_error_from_its_last_event() -> None:
    read = api_objects.read_event
    reflector = Reflector("default", "convert", Random(1))
    reflector.version = "5"
    reflector.start(0)
    line = b'{"type":"ADDED","object":{"metadata":{"name":"s","resourceVersion":"6"},"addressType":"IPv4"}}'
    assert isinstance(reflector.on_event(1, read(line))[0], Apply)
    assert reflector.on_event(2, read(b'{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"8"}}}')) == []
    [call] = reflector.on_watch_end(10_000_000)
    assert isinstance(call, Call) and "resourceVersion=8" in call.target
    [_, wait] = reflector.on_event(10_000_001, read(b'{"type":"ERROR","object":{"code":500,"message":"etcd"}}'))
    assert isinstance(wait, Wait)
    assert "resourceVersion=8" in reflector.on_wake(wait.until_us)[0].target  # type: ignore[union-attr]


def test_tls_with_a_client_certificate_and_a_token_that_changes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reflector, "FIRST_BACKOFF_US", 1000)
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    own = authority.issue_cert("sidecar@example.org")
    own.private_key_pem.write_to_path(str(tmp_path / "key.pem"))
    own.cert_chain_pems[0].write_to_path(str(tmp_path / "cert.pem"))
    tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(tls)
    authority.configure_trust(tls)
    tls.verify_mode = ssl.CERT_REQUIRED
    token = tmp_path / "token"
    token.write_text("first\n")

    async def test() -> None:
        async with a_world(tls) as world:
            world.api.token = "first"
            world.put("s1", "p1")
            access = find_access(
                f"https://127.0.0.1:{world.port}",
                str(token),
                str(tmp_path / "ca.pem"),
                str(tmp_path / "cert.pem"),
                str(tmp_path / "key.pem"),
            )
            world.follow(access)
            await wait_until(lambda: world.states() == {"p1": READY})
            world.api.token = "second"
            world.api.end_connections()
            world.put("s1", "p1", draining="p1")
            await asyncio.sleep(0.1)
            assert world.states() == {"p1": READY}  # the old token is refused
            token.write_text("second\n")
            await wait_until(lambda: world.states() == {"p1": DRAINING})

    run(test)


def test_server_of_another_authority_is_rejected(tmp_path: Path) -> None:
    tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    trustme.CA().issue_cert("127.0.0.1").configure_cert(tls)
    trustme.CA().cert_pem.write_to_path(str(tmp_path / "ca.pem"))

    async def test() -> None:
        async with a_world(tls) as world:
            world.put("s1", "p1")
            made = world.follow(
                find_access(f"https://127.0.0.1:{world.port}", "", str(tmp_path / "ca.pem")), pushed=False
            )
            await wait_until(lambda: made.client.problems > 0)
            assert world.api.calls == [] and {event.kind for event in world.events} == {ListKind.FAILED}

    run(test)


@pytest.mark.parametrize(
    "answer",
    [
        b"not http at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]",
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nbang",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_server_with_invalid_responses_is_requested_again_later(answer: bytes) -> None:
    async def test() -> None:
        calls = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        world = World()
        world.port = server.sockets[0].getsockname()[1]
        made = world.follow()
        await wait_until(lambda: calls >= 2)
        assert made.client.problems >= 1 and world.events == []
        made.stop()
        server.close()

    run(test)


def test_sidecar_that_starts_while_the_server_is_away_uses_the_cached_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(slice_source, "CACHE_INTERVAL_S", 0.01)
    cache = tmp_path / "list.json"

    async def test() -> None:
        async with a_world() as world:
            world.put("s1", "p1", "p2", draining="p2")
            world.follow(cache=cache).stop()
            world.follow(cache=cache)
            await wait_until(cache.exists)
        away = World()
        away.port = free_port()
        away.follow(cache=cache)
        assert away.events[0].kind is ListKind.CACHED and away.states() == {"p1": READY}
        cache.write_bytes(cache.read_bytes()[:-9])  # torn
        again = World()
        again.port = away.port
        again.follow(cache=cache)
        assert again.events == []
        for one in (away, again):
            assert one.source is not None
            one.source.stop()

    run(test)


def test_emulated_api_server_satisfies_the_official_client_library() -> None:
    async def test() -> None:
        async with a_world() as world:
            for index in range(5):
                world.put(f"s{index}", f"p{index}")
            write_configuration = kubernetes.Configuration()
            write_configuration.host = f"http://127.0.0.1:{world.port}"
            api: Any = kubernetes.DiscoveryV1Api(kubernetes.ApiClient(write_configuration))
            selector = f"{SERVICE_LABEL}=convert"

            def list_all() -> tuple[list[Any], str]:
                found, more = [], None
                while True:
                    page = api.list_namespaced_endpoint_slice(
                        "default", label_selector=selector, limit=2, _continue=more
                    )
                    found += page.items
                    more = page.metadata._continue
                    if not more:
                        return found, page.metadata.resource_version

            def follow(version: str, count: int) -> list[tuple[str, str]]:
                seen = []
                watch: Any = kubernetes_watch.Watch()  # type: ignore[no-untyped-call]
                for event in watch.stream(
                    api.list_namespaced_endpoint_slice,
                    "default",
                    label_selector=selector,
                    resource_version=version,
                    timeout_seconds=5,
                    allow_watch_bookmarks=False,
                ):
                    seen.append((event["type"], event["object"].metadata.name))
                    if len(seen) == count:
                        watch.stop()
                return seen

            found, version = await asyncio.to_thread(list_all)
            assert [one.metadata.name for one in found] == [f"s{index}" for index in range(5)]
            assert found[0].endpoints[0].conditions.ready is True
            assert found[0].endpoints[0].target_ref.uid == "p0" and found[0].ports[0].port == 80
            following = asyncio.create_task(asyncio.to_thread(follow, version, 3))
            await asyncio.sleep(0.05)
            world.put("s1", "p1", draining="p1")
            world.put("s9", "p9")
            world.store.delete("default", "s0")
            world.api.on_change()
            assert await following == [("MODIFIED", "s1"), ("ADDED", "s9"), ("DELETED", "s0")]
            world.store.compact()
            with pytest.raises(kubernetes.ApiException) as error:
                await asyncio.to_thread(follow, version, 1)
            assert error.value.status == 410

    run(test)


@pytest.mark.parametrize(
    ("server", "text"),
    [
        ("ftp://x", "expected http"),
        ("https://", "expected http"),
        ("127.0.0.1:80", "expected http"),
        ("http://h:99999", "out of range"),
        ("", "KUBERNETES_SERVICE_HOST"),
    ],
)
def test_address_without_a_server_is_reported(server: str, text: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("KUBERNETES_SERVICE_HOST", raising=False)
    with pytest.raises(AccessError, match=text):
        find_access(server)


def test_explain_and_watch_print_the_states_in_each_slice_and_the_deciding_rule(tmp_path: Path) -> None:
    async def test() -> None:
        async with a_world() as world:
            world.put("s1", "p1", "p2")
            world.put("s2", "p1", draining="p1")
            path = tmp_path / "ryepier.toml"
            path.write_text(
                f'[slices]\nservice = "convert"\nnamespace = "default"\nserver = "http://127.0.0.1:{world.port}"\n'
            )
            code, said = await command("slices", "explain", "10.0.0.1", "--config", str(path))
            assert code == 0 and "10.0.0.1:80 p1: draining, by rule 3" in said
            assert "  s1, generation 1: ready" in said and "  s2, generation 1: terminating" in said
            code, _ = await command("slices", "explain", "10.9.9.9", "--config", str(path))
            assert code == 1
            code, _ = await command("slices", "explain", "10.0.0.1")
            assert code == 2
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
            world.put("s1", "p2", draining="p2")
            line = json.loads(await process.stdout.readline())
            assert (line["uid"], line["state"], line["list"]) == ("p2", "draining", "delta")
            process.terminate()
            assert await process.wait() == 0

    run(test)


async def command(*arguments: str) -> tuple[int, str]:
    """How `ryepier` ends, and what it prints."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ryepier", *arguments, stdout=asyncio.subprocess.PIPE
    )
    said, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, said.decode()


def test_sidecar_follows_slices_to_a_converter_at_an_ipv6_address(tmp_path: Path) -> None:
    async def test() -> None:
        server = await asyncio.start_server(answer_all, "::1", 0)
        port = server.sockets[0].getsockname()[1]
        async with a_world() as world:
            made = content("p1", family="IPv6")
            made["endpoints"][0]["addresses"] = ["::1"]
            made["ports"] = [{"name": "http", "port": port}]
            world.store.put("default", "s1", made, {SERVICE_LABEL: "convert"})
            config = load(str(write_configuration(tmp_path, known=None)))
            text = f'[slices]\nservice = "convert"\nnamespace = "default"\nserver = "http://127.0.0.1:{world.port}"\n'
            stop = asyncio.Event()
            parts = select_components(operator_settings.parse(text, {}))
            serving = asyncio.create_task(serve(config, stop, asyncio.Event(), parts))
            await wait_until(lambda: any("watch=true" in call for call in world.api.calls))
            reader, writer = await asyncio.open_connection(*config.listen)
            writer.write(request("pay", body=b"b", deadline_ms=1000))
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.close()
            assert {f"[::1]:{port}"} == HOSTS
            stop.set()
            await serving
        server.close()

    run(test)


HOSTS: set[str] = set()


async def answer_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    head, _ = await read_message(reader)
    HOSTS.update(line[6:].decode() for line in head.split(b"\r\n") if line.lower().startswith(b"host: "))
    writer.write(OK)
