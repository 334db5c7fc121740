"""The endpoint list: cached, pushed, polled, malformed."""

from __future__ import annotations

import asyncio

from tests.network_peers import (
    HANG_TIMEOUT_S,
    OK,
    Discovery,
    Upstream,
    endpoint_entry,
    endpoint_list,
    never_respond,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
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
        known = {"rev": 7, "all": True, "targets": [{"uid": "u0", "state": "unheard of"}]}
        async with sidecar(upstream, discovery=discovery, known=known) as it:
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
        async with sidecar(known=endpoint_list()) as it:
            assert status_of(await it.fetch(up)) == 503
        async with sidecar(Upstream(never_respond)) as it:
            assert status_of(await it.fetch(up)) == 200

    run_async(test)
