"""The endpoint list in the sidecar: configured, pushed, polled, invalid, from a new discovery address."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

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
    status_of,
    wait_until,
    write_configuration,
)


def test_configured_list_is_used_at_once_and_changes_when_they_arrive() -> None:
    async def test() -> None:
        old, new, discovery = Upstream(respond_in_turn(OK)), Upstream(respond_in_turn(OK)), Discovery()
        await new.start()
        async with sidecar(old, discovery=discovery) as it:
            assert status_of(await it.fetch(request())) == 200 and len(old.requests) == 1
            await discovery.watched()
            assert b"follow=1&since=1 " in discovery.calls[0]
            changes = [endpoint_entry("u0", old.port, "leaving"), endpoint_entry("u1", new.port)]
            discovery.line(endpoint_list(*changes, rev=2, full=False))

            async def moved() -> bool:
                assert status_of(await it.fetch(request())) == 200
                return bool(new.requests)

            while not await moved():
                pass
            before = len(old.requests)
            for _ in range(5):
                await moved()
            assert len(old.requests) == before
            discovery.writers[-1].transport.abort()
            await discovery.watched()
            assert b"since=2 " in discovery.calls[1]
        new.stop()

    run_async(test)


def test_pushed_list_is_watched_at_the_start_and_again_after_each_break() -> None:
    async def test() -> None:
        old, new, discovery = Upstream(respond_in_turn(OK)), Upstream(respond_in_turn(OK)), Discovery()
        await new.start()
        async with sidecar(old, discovery=discovery, polls_endpoints=False) as it:
            await discovery.watched()
            for _ in range(2):
                discovery.writers[-1].transport.abort()
                await discovery.watched()
            changes = [endpoint_entry("u0", old.port, "leaving"), endpoint_entry("u1", new.port)]
            discovery.line(endpoint_list(*changes, rev=2, full=False))
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while not new.requests:
                    assert status_of(await it.fetch(request())) == 200
            before = len(old.requests)
            for _ in range(5):
                assert status_of(await it.fetch(request())) == 200
            assert len(old.requests) == before
        new.stop()

    run_async(test)


def test_invalid_list_ends_the_watch_and_leaves_the_old_list() -> None:
    async def test() -> None:
        upstream, discovery = Upstream(respond_in_turn(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery) as it:
            await discovery.watched()
            discovery.line({"rev": 2, "all": True, "targets": [{"uid": "u0"}]})
            await discovery.watched()
            assert status_of(await it.fetch(request())) == 200

    run_async(test)


def test_invalid_configured_list_is_skipped_and_a_new_one_requested() -> None:
    async def test() -> None:
        up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        upstream, discovery = Upstream(respond_in_turn(OK)), Discovery()
        cached_list = {"rev": 7, "all": True, "targets": [{"uid": "u0", "state": "unheard of"}]}
        async with sidecar(upstream, discovery=discovery, cached_list=cached_list) as it:
            assert status_of(await it.fetch(up)) == 503
            await discovery.watched()
            assert b"since=0 " in discovery.calls[0]
            discovery.line(endpoint_list(endpoint_entry("u0", upstream.port), rev=8))
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while status_of(await it.fetch(up)) != 200:
                    pass
            assert status_of(await it.fetch(request())) == 200

    run_async(test)


def test_silent_watch_fails_and_is_opened_again() -> None:
    async def test() -> None:
        discovery = Discovery()
        async with sidecar(Upstream(respond_in_turn(OK)), discovery=discovery):
            await discovery.watched()
            discovery.line(endpoint_list(rev=2, full=False))
            await discovery.watched()
            assert len(discovery.calls) == 2

    run_async(test)


def test_up_responds_200_only_if_there_is_an_upstream() -> None:
    async def test() -> None:
        up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        async with sidecar(cached_list=endpoint_list()) as it:
            assert status_of(await it.fetch(up)) == 503
        async with sidecar(Upstream(never_respond)) as it:
            assert status_of(await it.fetch(up)) == 200

    run_async(test)


async def moved(it: Sidecar, new: Upstream) -> None:
    """Until a request has gone to it."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not new.requests:
            await it.fetch(request())


@pytest.mark.parametrize("cut", [1, 2, 7, 10_000])
def test_list_over_several_lines_is_read_wherever_its_bytes_are_split(cut: int) -> None:
    async def test() -> None:
        old, new, discovery = Upstream(respond_in_turn(OK)), Upstream(respond_in_turn(OK)), Discovery()
        await new.start()
        async with sidecar(old, discovery=discovery, polls_endpoints=False) as it:
            await discovery.watched()
            first = endpoint_list(endpoint_entry("u0", old.port, "leaving"), rev=2, full=False)
            second = endpoint_list(endpoint_entry('\u00fc}"\\', new.port), rev=3, full=False)
            data = "\n".join(json.dumps(each, indent=1, ensure_ascii=False) for each in (first, second)).encode()
            for i in range(0, len(data), cut):
                discovery.piece(data[i : i + cut])
                await discovery.writers[-1].drain()
                if cut > 2:
                    await asyncio.sleep(0.01)  # so that each comes by itself
            await moved(it, new)
            assert len(discovery.calls) == 1 and not old.requests
        new.stop()

    run_async(test)


@pytest.mark.parametrize(
    "spoilt",
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
def test_truncated_or_invalid_list_leaves_the_last_valid_one_and_starts_a_new_watch(spoilt: bytes) -> None:
    async def test() -> None:
        upstream, discovery = Upstream(respond_in_turn(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery, polls_endpoints=False) as it:
            await discovery.watched()
            discovery.piece(spoilt)
            await discovery.writers[-1].drain()
            if not spoilt.endswith(b"\n"):
                discovery.writers[-1].close()
            await discovery.watched()
            assert b"since=1 " in discovery.calls[-1]
            assert status_of(await it.fetch(request())) == 200

    run_async(test)


def test_list_that_stays_invalid_is_requested_with_backoff() -> None:
    async def test() -> None:
        discovery = Discovery(first={"rev": 1, "all": True, "targets": [{"uid": "u0"}]})
        async with sidecar(Upstream(respond_in_turn(OK)), discovery=discovery, polls_endpoints=False) as it:
            await wait_until(lambda: len(discovery.calls) == 3)
            began = asyncio.get_running_loop().time()
            await wait_until(lambda: len(discovery.calls) == 4)
            assert asyncio.get_running_loop().time() - began > 0.5  # 0.2, 0.4, 0.8 s
            assert status_of(await it.fetch(request())) == 200

    run_async(test)


def test_no_request_is_served_by_an_old_list_while_the_agent_has_a_newer_one() -> None:
    async def test() -> None:
        old, new = Upstream(respond_in_turn(OK)), Upstream(respond_in_turn(OK))
        await old.start()
        await new.start()
        changes = endpoint_list(
            endpoint_entry("u0", old.port, "leaving"), endpoint_entry("u1", new.port), rev=2, full=False
        )
        discovery, let = Discovery(), asyncio.Event()
        serve = discovery.serve

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await let.wait()
            await serve(reader, writer)

        discovery.serve, discovery.first = slow, changes  # type: ignore[method-assign]
        cached_list = endpoint_list(endpoint_entry("u0", old.port))

        async def early() -> None:
            """Its agent answers only then."""
            await asyncio.sleep(0.1)
            let.set()

        task = asyncio.create_task(early())
        async with sidecar(discovery=discovery, cached_list=cached_list, polls_endpoints=False) as it:
            assert status_of(await it.fetch(request())) == 200
        await task
        assert not old.requests and len(new.requests) == 1
        old.stop()
        new.stop()

    run_async(test)


def test_sidecar_whose_agent_is_silent_starts_with_its_configured_list() -> None:
    async def test() -> None:
        discovery = Discovery()  # it takes the call and says nothing
        async with sidecar(Upstream(respond_in_turn(OK)), discovery=discovery, polls_endpoints=False) as it:
            assert status_of(await it.fetch(request())) == 200

    run_async(test)


def test_new_discovery_address_is_watched_from_its_first_version_while_the_old_watch_ends(tmp_path: Path) -> None:
    async def test() -> None:
        old, new, first, second = Upstream(respond_in_turn(OK)), Upstream(respond_in_turn(OK)), Discovery(), Discovery()
        await new.start()
        await second.start()
        second.first = endpoint_list(endpoint_entry("u1", new.port), rev=1)
        path = write_configuration(tmp_path, discovery=f"127.0.0.1:{second.port}")
        async with sidecar(old, discovery=first, path=str(path), polls_endpoints=False) as it:
            await first.watched()
            first.line(endpoint_list(endpoint_entry("u0", old.port), rev=900))
            first.stop()  # both in one turn of the loop
            it.reload.set()
            await second.watched()
            assert b"since=0 " in second.calls[0]
            await moved(it, new)
            before = len(old.requests)
            for _ in range(5):
                assert status_of(await it.fetch(request())) == 200
            assert len(old.requests) == before and len(second.calls) == 1
        new.stop()
        second.stop()

    run_async(test)
