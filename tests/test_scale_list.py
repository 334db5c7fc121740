"""Tests `scale-list`: the emulated discovery, and lightweight sidecars whose real watches follow it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from ryepier.emulator.loopback import find_network
from ryepier.experiments.core.contract import Scale
from ryepier.experiments.scale import endpoint_list, list_costs
from ryepier.experiments.scale.fleet_list import Listing, WatchServer
from ryepier.experiments.scale.lightweight_sidecar import LightweightSidecars

KNOWN_COUNT, SIDECAR_COUNT = 40, 3


def run_with_sidecars(
    check: Callable[[WatchServer, LightweightSidecars], Awaitable[None]], keeps_revisions: bool = True
) -> None:
    """Start discovery and lightweight sidecars in this process, and run a check once all sidecars have the list."""

    async def run_check() -> None:
        address = (f"127.{find_network()}.254.2", endpoint_list.PORT)
        server = WatchServer(Listing(KNOWN_COUNT, 1), address, keeps_revisions)
        await server.open()
        try:
            sidecars = LightweightSidecars(address, 1)
            await sidecars.start(SIDECAR_COUNT)
            await assert_all_have_list(server, sidecars)
            await check(server, sidecars)
        finally:
            server.close()

    asyncio.run(run_check())


async def assert_all_have_list(server: WatchServer, sidecars: LightweightSidecars) -> None:
    answer = await sidecars.wait_for_version(server.listing.registry.rev, 5.0)
    assert answer["have"] == SIDECAR_COUNT


def test_listing_depends_only_on_its_seed() -> None:
    first, same, other = Listing(KNOWN_COUNT, 1), Listing(KNOWN_COUNT, 1), Listing(KNOWN_COUNT, 2)
    assert first.registry.full_list() == same.registry.full_list() != other.registry.full_list()
    assert len({entry["uid"] for entry in first.active_entries()}) == KNOWN_COUNT


def test_every_sidecar_receives_every_change_once() -> None:
    async def check(server: WatchServer, sidecars: LightweightSidecars) -> None:
        changed_entries = server.listing.pick_active(5)
        entries_before = sidecars.usage()["entries"]
        for state in ("leaving", "left"):
            server.listing.change(changed_entries, state)
            server.send_changes_to_all()
        await assert_all_have_list(server, sidecars)
        assert sidecars.usage()["entries"] - entries_before == 2 * 5 * SIDECAR_COUNT
        assert sidecars.memory()["known"] == SIDECAR_COUNT * (KNOWN_COUNT - 5)

    run_with_sidecars(check)


@pytest.mark.parametrize(("keeps_revisions", "expects_full_list"), [(True, False), (False, True)])
def test_reopened_watch_receives_the_missed_changes(keeps_revisions: bool, expects_full_list: bool) -> None:
    async def check(server: WatchServer, sidecars: LightweightSidecars) -> None:
        bytes_before, calls_before = server.bytes_sent, len(server.call_times_us)
        server.listing.change([server.listing.new_entry()])
        server.clear_cached_messages()
        server.abort_all()
        await assert_all_have_list(server, sidecars)
        assert len(server.call_times_us) - calls_before == SIDECAR_COUNT
        assert (server.bytes_sent - bytes_before > SIDECAR_COUNT * 1000) == expects_full_list
        assert sidecars.memory()["known"] == SIDECAR_COUNT * (KNOWN_COUNT + 1)

    run_with_sidecars(check, keeps_revisions)


def test_discovery_restarted_without_revisions_sends_the_full_list() -> None:
    async def check(server: WatchServer, sidecars: LightweightSidecars) -> None:
        server.close()
        await asyncio.sleep(0.2)
        server.listing.change(server.listing.pick_active(1), "left")
        server.listing.lose_revisions()
        await server.open()
        await assert_all_have_list(server, sidecars)
        assert sidecars.memory()["known"] == SIDECAR_COUNT * (KNOWN_COUNT - 1)

    run_with_sidecars(check)


def test_required_resources_stay_within_limits() -> None:
    for scale in Scale:
        required_resources = endpoint_list.required_resources(scale)
        assert required_resources.processes <= 8 and required_resources.bytes < 4e9


def test_all_steps_of_list_processing_are_timed() -> None:
    figures = list_costs.measure(KNOWN_COUNT, 1)
    assert {name for name in figures if "_list_" in name} == {
        f"alone_list_{step}_ms" for step in ("parse_one_piece", "parse", "directory", "module")
    }
    assert {name for name in figures if "_change_" in name} == {
        f"alone_change_{step}_us" for step in ("parse", "directory", "module")
    }
    assert all(cpu_time > 0 for cpu_time in figures.values())


def test_list_decoded_in_chunks_is_unchanged() -> None:
    data = list_costs.encode(Listing(KNOWN_COUNT, 1).registry.full_list())
    assert list_costs.decode(data, 100) == list_costs.decode(data, len(data))
