"""The endpoint list in the sidecar: cached, pushed, polled, invalid, and from a new discovery address."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from ryepier.sidecar.discovery import FIRST_LIST_TIMEOUT_S
from ryepier.sidecar.serving import serve
from tests.loopback_ports import free_port
from tests.network_peers import (
    HANG_TIMEOUT_S,
    OK,
    Discovery,
    Sidecar,
    Upstream,
    endpoint_entry,
    endpoint_list,
    never_respond,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    sidecar_config,
    status_of,
    wait_until,
    wait_until_listening,
    write_configuration,
)


def test_cached_list_is_used_at_once_and_changes_are_applied_as_they_arrive() -> None:
    async def test() -> None:
        old_upstream, new_upstream, discovery = (
            Upstream(respond_in_turn(OK)),
            Upstream(respond_in_turn(OK)),
            Discovery(),
        )
        await new_upstream.start()
        async with sidecar(old_upstream, discovery=discovery) as running_sidecar:
            assert status_of(await running_sidecar.fetch(request())) == 200 and len(old_upstream.requests) == 1
            await discovery.wait_for_watch()
            assert b"follow=1&since=1 " in discovery.calls[0]
            changes = [endpoint_entry("u0", old_upstream.port, "leaving"), endpoint_entry("u1", new_upstream.port)]
            discovery.send_list(endpoint_list(*changes, rev=2, full=False))

            async def uses_new_upstream() -> bool:
                assert status_of(await running_sidecar.fetch(request())) == 200
                return bool(new_upstream.requests)

            while not await uses_new_upstream():
                pass
            old_request_count = len(old_upstream.requests)
            for _ in range(5):
                await uses_new_upstream()
            assert len(old_upstream.requests) == old_request_count
            discovery.writers[-1].transport.abort()
            await discovery.wait_for_watch()
            assert b"since=2 " in discovery.calls[1]
        new_upstream.stop()

    run_async(test)


def test_pushed_list_is_watched_from_the_start_and_again_after_each_disconnect() -> None:
    async def test() -> None:
        old_upstream, new_upstream, discovery = (
            Upstream(respond_in_turn(OK)),
            Upstream(respond_in_turn(OK)),
            Discovery(),
        )
        await new_upstream.start()
        async with sidecar(old_upstream, discovery=discovery, polls_endpoints=False) as running_sidecar:
            await discovery.wait_for_watch()
            for _ in range(2):
                discovery.writers[-1].transport.abort()
                await discovery.wait_for_watch()
            changes = [endpoint_entry("u0", old_upstream.port, "leaving"), endpoint_entry("u1", new_upstream.port)]
            discovery.send_list(endpoint_list(*changes, rev=2, full=False))
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while not new_upstream.requests:
                    assert status_of(await running_sidecar.fetch(request())) == 200
            old_request_count = len(old_upstream.requests)
            for _ in range(5):
                assert status_of(await running_sidecar.fetch(request())) == 200
            assert len(old_upstream.requests) == old_request_count
        new_upstream.stop()

    run_async(test)


def test_invalid_list_ends_the_watch_and_keeps_the_old_list() -> None:
    async def test() -> None:
        upstream, discovery = Upstream(respond_in_turn(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery) as running_sidecar:
            await discovery.wait_for_watch()
            discovery.send_list({"rev": 2, "all": True, "targets": [{"uid": "u0"}]})
            await discovery.wait_for_watch()
            assert status_of(await running_sidecar.fetch(request())) == 200

    run_async(test)


def test_invalid_cached_list_is_skipped_and_a_new_one_requested() -> None:
    async def test() -> None:
        readiness_request = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        upstream, discovery = Upstream(respond_in_turn(OK)), Discovery()
        cached_list = {"rev": 7, "all": True, "targets": [{"uid": "u0", "state": "unheard of"}]}
        async with sidecar(upstream, discovery=discovery, cached_list=cached_list) as running_sidecar:
            assert status_of(await running_sidecar.fetch(readiness_request)) == 503
            await discovery.wait_for_watch()
            assert b"since=0 " in discovery.calls[0]
            discovery.send_list(endpoint_list(endpoint_entry("u0", upstream.port), rev=8))
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while status_of(await running_sidecar.fetch(readiness_request)) != 200:
                    pass
            assert status_of(await running_sidecar.fetch(request())) == 200

    run_async(test)


def test_silent_watch_fails_and_is_opened_again() -> None:
    async def test() -> None:
        discovery = Discovery()
        async with sidecar(Upstream(respond_in_turn(OK)), discovery=discovery):
            await discovery.wait_for_watch()
            discovery.send_list(endpoint_list(rev=2, full=False))
            await discovery.wait_for_watch()
            assert len(discovery.calls) == 2

    run_async(test)


def test_up_responds_200_only_if_there_is_an_upstream() -> None:
    async def test() -> None:
        readiness_request = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        async with sidecar(cached_list=endpoint_list()) as running_sidecar:
            assert status_of(await running_sidecar.fetch(readiness_request)) == 503
        async with sidecar(Upstream(never_respond)) as running_sidecar:
            assert status_of(await running_sidecar.fetch(readiness_request)) == 200

    run_async(test)


async def wait_until_used(running_sidecar: Sidecar, upstream: Upstream) -> None:
    """Send requests until one has reached the upstream."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not upstream.requests:
            await running_sidecar.fetch(request())


@pytest.mark.parametrize("piece_length", [1, 2, 7, 10_000])
def test_list_over_several_lines_is_read_wherever_its_bytes_are_split(piece_length: int) -> None:
    async def test() -> None:
        old_upstream, new_upstream, discovery = (
            Upstream(respond_in_turn(OK)),
            Upstream(respond_in_turn(OK)),
            Discovery(),
        )
        await new_upstream.start()
        async with sidecar(old_upstream, discovery=discovery, polls_endpoints=False) as running_sidecar:
            await discovery.wait_for_watch()
            first_change = endpoint_list(endpoint_entry("u0", old_upstream.port, "leaving"), rev=2, full=False)
            second_change = endpoint_list(endpoint_entry('\u00fc}"\\', new_upstream.port), rev=3, full=False)
            data = "\n".join(
                json.dumps(message, indent=1, ensure_ascii=False) for message in (first_change, second_change)
            ).encode()
            for offset in range(0, len(data), piece_length):
                discovery.send_bytes(data[offset : offset + piece_length])
                await discovery.writers[-1].drain()
                if piece_length > 2:
                    await asyncio.sleep(0.01)  # lets each piece arrive separately
            await wait_until_used(running_sidecar, new_upstream)
            assert len(discovery.calls) == 1 and not old_upstream.requests
        new_upstream.stop()

    run_async(test)


@pytest.mark.parametrize(
    "malformed_data",
    [
        b'{"rev": 2, "all": true, "targets": [',
        b"no list\n",
        b"}\n",
        b'{"rev": "\xff"}\n',
        b'{"rev": 2, "all": true, "targets": [{"uid": ["u"]}]}\n',
        b"[]\n",
        b"7\n",
    ],
)
def test_malformed_list_keeps_the_last_valid_one_and_starts_a_new_watch(malformed_data: bytes) -> None:
    async def test() -> None:
        upstream, discovery = Upstream(respond_in_turn(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery, polls_endpoints=False) as running_sidecar:
            await discovery.wait_for_watch()
            discovery.send_bytes(malformed_data)
            await discovery.writers[-1].drain()
            if not malformed_data.endswith(b"\n"):
                discovery.writers[-1].close()
            await discovery.wait_for_watch()
            assert b"since=1 " in discovery.calls[-1]
            assert status_of(await running_sidecar.fetch(request())) == 200

    run_async(test)


def test_list_that_stays_invalid_is_requested_with_backoff() -> None:
    async def test() -> None:
        discovery = Discovery(initial_list={"rev": 1, "all": True, "targets": [{"uid": "u0"}]})
        async with sidecar(
            Upstream(respond_in_turn(OK)), discovery=discovery, polls_endpoints=False
        ) as running_sidecar:
            await wait_until(lambda: len(discovery.calls) == 3)
            waiting_since = asyncio.get_running_loop().time()
            await wait_until(lambda: len(discovery.calls) == 4)
            assert asyncio.get_running_loop().time() - waiting_since > 0.5  # the backoff is 0.2, 0.4, then 0.8 s
            assert status_of(await running_sidecar.fetch(request())) == 200

    run_async(test)


# Guards against requests to draining converters: a sidecar that started while discovery was silent for longer than
# 0.3 s served on its old list.
@pytest.mark.parametrize("silence_s", [0.1, 1.5])
def test_sidecar_waits_for_the_first_list_before_serving_requests(silence_s: float) -> None:
    async def test() -> None:
        old_upstream, new_upstream = Upstream(respond_in_turn(OK)), Upstream(respond_in_turn(OK))
        await old_upstream.start()
        await new_upstream.start()
        changes = endpoint_list(
            endpoint_entry("u0", old_upstream.port, "leaving"),
            endpoint_entry("u1", new_upstream.port),
            rev=2,
            full=False,
        )
        discovery, release = Discovery(), asyncio.Event()
        serve = discovery.serve

        async def serve_after_release(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            await serve(reader, writer)

        discovery.serve, discovery.initial_list = serve_after_release, changes  # type: ignore[method-assign]
        cached_list = endpoint_list(endpoint_entry("u0", old_upstream.port))

        async def release_later() -> None:
            """Let the agent respond, after its silence."""
            await asyncio.sleep(silence_s)
            release.set()

        task = asyncio.create_task(release_later())
        async with sidecar(
            discovery=discovery,
            cached_list=cached_list,
            polls_endpoints=False,
            first_list_timeout_s=FIRST_LIST_TIMEOUT_S,
        ) as running_sidecar:
            assert status_of(await running_sidecar.fetch(request())) == 200
        await task
        assert not old_upstream.requests and len(new_upstream.requests) == 1
        old_upstream.stop()
        new_upstream.stop()

    run_async(test)


def test_wait_for_the_first_list_outlasts_an_outage_and_ends_before_a_restart_counts_as_slow() -> None:
    assert 8.0 < FIRST_LIST_TIMEOUT_S < 10.0


def test_sidecar_that_waits_for_the_first_list_stops_at_once() -> None:
    async def test() -> None:
        discovery, stop = Discovery(), asyncio.Event()  # accepts the watch and sends no list
        await discovery.start()
        cached_list = endpoint_list(endpoint_entry("u0", 1))
        config = sidecar_config(free_port(), discovery.port, cached_list, polls_endpoints=False)
        task = asyncio.create_task(serve(config, stop, asyncio.Event()))
        await discovery.wait_for_watch()
        stop.set()
        async with asyncio.timeout(3.0):
            await task
        discovery.stop()

    run_async(test)


def test_sidecar_without_an_agent_starts_with_its_cached_list() -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        await upstream.start()
        cached_list = endpoint_list(endpoint_entry("u0", upstream.port))
        config = sidecar_config(free_port(), free_port(), cached_list, polls_endpoints=False)
        task = asyncio.create_task(serve(config, asyncio.Event(), asyncio.Event()))
        async with asyncio.timeout(3.0):
            await wait_until_listening(config.listen[1], task)
        task.cancel()
        upstream.stop()

    run_async(test)


def test_sidecar_with_a_silent_agent_starts_with_its_cached_list() -> None:
    async def test() -> None:
        discovery = Discovery()  # accepts the watch and sends no list
        async with sidecar(
            Upstream(respond_in_turn(OK)), discovery=discovery, polls_endpoints=False
        ) as running_sidecar:
            assert status_of(await running_sidecar.fetch(request())) == 200

    run_async(test)


def test_new_discovery_address_is_watched_from_version_0_while_the_old_watch_ends(tmp_path: Path) -> None:
    async def test() -> None:
        old_upstream, new_upstream, old_discovery, new_discovery = (
            Upstream(respond_in_turn(OK)),
            Upstream(respond_in_turn(OK)),
            Discovery(),
            Discovery(),
        )
        await new_upstream.start()
        await new_discovery.start()
        new_discovery.initial_list = endpoint_list(endpoint_entry("u1", new_upstream.port), rev=1)
        path = write_configuration(tmp_path, discovery=f"127.0.0.1:{new_discovery.port}")
        async with sidecar(
            old_upstream, discovery=old_discovery, path=str(path), polls_endpoints=False
        ) as running_sidecar:
            await old_discovery.wait_for_watch()
            old_discovery.send_list(endpoint_list(endpoint_entry("u0", old_upstream.port), rev=900))
            # The event loop sees the end of the old watch and the reload in the same iteration.
            old_discovery.stop()
            running_sidecar.reload.set()
            await new_discovery.wait_for_watch()
            assert b"since=0 " in new_discovery.calls[0]
            await wait_until_used(running_sidecar, new_upstream)
            old_request_count = len(old_upstream.requests)
            for _ in range(5):
                assert status_of(await running_sidecar.fetch(request())) == 200
            assert len(old_upstream.requests) == old_request_count and len(new_discovery.calls) == 1
        new_upstream.stop()
        new_discovery.stop()

    run_async(test)
