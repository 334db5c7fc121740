"""Whole lists and changes with thousands of entries: the work of one iteration of the event loop, and their effect."""

from __future__ import annotations

import asyncio
import json

import pytest

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import Event, ListKind, Upstream, UpstreamState, UpstreamsUpdated
from ryepier.sidecar.endpoint_registry import EndpointRegistry
from ryepier.sidecar.endpoint_updates import MAX_ENTRIES_PER_TURN, EndpointUpdate, split
from ryepier.sidecar.json_stream import JsonStreamDecoder
from tests.network_peers import (
    OK,
    Discovery,
    Json,
    endpoint_entry,
    endpoint_list,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
    wait_until,
)
from tests.network_peers import (
    Upstream as ScriptedUpstream,
)
from tests.sidecar_probes import record_servers
from tests.work_counter import WorkCounter

LARGEST_FLEET = 3_200
READ_BYTES = 64 * 1024
MAX_STEPS_PER_ENTRY = 300  # bytecode instructions


class TurnProbe:
    """Counts the entries that are read and applied in each iteration of the event loop."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.entries = 0
        self.max_entries = 0
        parse_entry, handle = EndpointRegistry._parse_entry, Balancer.handle

        def count_and_parse(registry: EndpointRegistry, target: Json) -> object:
            self.entries += 1
            return parse_entry(registry, target)

        def count_and_handle(balancer: Balancer, now_us: int, event: Event) -> object:
            if isinstance(event, UpstreamsUpdated):
                self.entries += len(event.upstreams)
            return handle(balancer, now_us, event)

        patch.setattr(EndpointRegistry, "_parse_entry", count_and_parse)
        patch.setattr(Balancer, "handle", count_and_handle)

    async def watch(self) -> None:
        """Look at the count once in each iteration, until cancelled."""
        while True:
            self.max_entries, self.entries = max(self.max_entries, self.entries), 0
            await asyncio.sleep(0)


def long_list(port: int, rev: int, first: int = 0) -> Json:
    entries = (endpoint_entry(f"u{number}", port) for number in range(first, first + LARGEST_FLEET))
    return endpoint_list(*entries, rev=rev)


# Guards against requests that wait while a long list is applied: one iteration of the event loop handled all entries.
def test_long_list_is_applied_in_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        upstream, discovery = ScriptedUpstream(respond_in_turn(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery) as running_sidecar:
            await discovery.wait_for_watch()
            probe, dispatcher = TurnProbe(monkeypatch), servers[0].dispatcher
            watch_task = asyncio.create_task(probe.watch())
            discovery.send_list(long_list(upstream.port, rev=2))
            discovery.send_list(long_list(upstream.port, rev=3, first=LARGEST_FLEET // 2))
            while len(dispatcher.balancer.membership.by_id) < LARGEST_FLEET:
                assert status_of(await running_sidecar.fetch(request())) == 200
            changes = [endpoint_entry(f"u{LARGEST_FLEET}", upstream.port, "leaving")]
            discovery.send_list(endpoint_list(*changes, rev=4, full=False))
            while len(dispatcher.addresses) != LARGEST_FLEET - 1:
                assert status_of(await running_sidecar.fetch(request())) == 200
            assert len(dispatcher.balancer.membership.by_id) == LARGEST_FLEET - 1
            watch_task.cancel()
            assert 0 < probe.max_entries <= 2 * MAX_ENTRIES_PER_TURN  # a part is read and a part is applied

    run_async(test)


def test_long_list_with_a_malformed_entry_is_not_applied_at_all(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        upstream, discovery = ScriptedUpstream(respond_in_turn(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery, polls_endpoints=False) as running_sidecar:
            await discovery.wait_for_watch()
            malformed_list = long_list(upstream.port, rev=2)
            del malformed_list["targets"][-1]["uid"]
            discovery.send_list(malformed_list)
            await wait_until(lambda: len(discovery.calls) > 1)  # the watch failed and was opened again
            assert b"since=1 " in discovery.calls[1]
            assert len(servers[0].dispatcher.balancer.membership.by_id) == 1
            assert status_of(await running_sidecar.fetch(request())) == 200

    run_async(test)


def test_parts_of_a_long_list_have_its_effect_and_begin_with_removals() -> None:
    address = ("127.0.0.1", 1)
    listed = dict.fromkeys(range(1_000), address)
    entries = [
        Upstream(number, UpstreamState.DRAINING if number % 3 == 0 else UpstreamState.READY)
        for number in range(500, 1_500)
    ]
    update = EndpointUpdate(UpstreamsUpdated(ListKind.FULL, entries, 7), {entry.id: address for entry in entries})
    parts = split(update, listed)
    states = [entry.state for part in parts for entry in part.event.upstreams]
    removals = 500 + len([entry for entry in entries if entry.state is UpstreamState.DRAINING])
    assert UpstreamState.READY not in states[:removals] and set(states[removals:]) == {UpstreamState.READY}
    assert max(len(part.event.upstreams) for part in parts) <= MAX_ENTRIES_PER_TURN
    assert {part.event.kind for part in parts} == {ListKind.DELTA}
    final = {entry.id: entry.state for part in parts for entry in part.event.upstreams}
    assert final == dict.fromkeys(range(500), UpstreamState.REMOVED) | {entry.id: entry.state for entry in entries}


# Guards against a list that keeps the event loop busy as it arrives: each quotation mark was searched for on its own.
def test_work_of_finding_the_end_of_a_long_list() -> None:
    data = json.dumps(long_list(1, rev=2)).encode()
    messages: list[Json] = []

    def decode() -> None:
        decoder = JsonStreamDecoder()
        for start in range(0, len(data), READ_BYTES):
            messages.extend(decoder.feed(data[start : start + READ_BYTES]))

    work = WorkCounter().count(decode)
    assert work < MAX_STEPS_PER_ENTRY * LARGEST_FLEET
    assert messages == [json.loads(data)]
