"""The list of a hollow fleet: its stand-in discovery, and real watches that follow it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from ryepier.emulator.loopback import find_network
from ryepier.experiments.core.contract import Scale
from ryepier.experiments.scale import endpoint_list, list_costs
from ryepier.experiments.scale.fleet_list import Listing, WatchServer
from ryepier.experiments.scale.lightweight_sidecar import LightweightSidecars

KNOWN, COUNT = 40, 3


def followed(
    script: Callable[[WatchServer, LightweightSidecars], Awaitable[None]], keeps_revisions: bool = True
) -> None:
    """Play a script with hollow sidecars of this very process that have the list."""

    async def play() -> None:
        address = (f"127.{find_network()}.254.2", endpoint_list.PORT)
        server = WatchServer(Listing(KNOWN, 1), address, keeps_revisions)
        await server.open()
        try:
            sidecars = LightweightSidecars(address, 1)
            await sidecars.start(COUNT)
            await all_have(server, sidecars)
            await script(server, sidecars)
        finally:
            server.close()

    asyncio.run(play())


async def all_have(server: WatchServer, sidecars: LightweightSidecars) -> None:
    said = await sidecars.wait_for_version(server.listing.registry.rev, 5.0)
    assert said["have"] == COUNT


def test_a_listing_is_drawn_from_its_seed() -> None:
    one, same, other = Listing(KNOWN, 1), Listing(KNOWN, 1), Listing(KNOWN, 2)
    assert one.registry.full_list() == same.registry.full_list() != other.registry.full_list()
    assert len({entry["uid"] for entry in one.active_entries()}) == KNOWN


def test_every_module_hears_of_every_change_once() -> None:
    async def script(server: WatchServer, sidecars: LightweightSidecars) -> None:
        chosen = server.listing.pick_active(5)
        before = sidecars.usage()["entries"]
        for state in ("leaving", "left"):
            server.listing.change(chosen, state)
            server.send_changes_to_all()
        await all_have(server, sidecars)
        assert sidecars.usage()["entries"] - before == 2 * 5 * COUNT
        assert sidecars.memory()["known"] == COUNT * (KNOWN - 5)

    followed(script)


@pytest.mark.parametrize(("keeps_revisions", "whole"), [(True, False), (False, True)])
def test_a_watch_that_broke_is_told_what_it_missed(keeps_revisions: bool, whole: bool) -> None:
    async def script(server: WatchServer, sidecars: LightweightSidecars) -> None:
        wrote, calls = server.bytes_sent, len(server.call_times_us)
        server.listing.change([server.listing.new_entry()])
        server.clear_cached_messages()
        server.abort_all()
        await all_have(server, sidecars)
        assert len(server.call_times_us) - calls == COUNT
        assert (server.bytes_sent - wrote > COUNT * 1000) == whole
        assert sidecars.memory()["known"] == COUNT * (KNOWN + 1)

    followed(script, keeps_revisions)


def test_discovery_that_comes_back_without_its_revisions_tells_the_whole_list() -> None:
    async def script(server: WatchServer, sidecars: LightweightSidecars) -> None:
        server.close()
        await asyncio.sleep(0.2)
        server.listing.change(server.listing.pick_active(1), "left")
        server.listing.lose_revisions()
        await server.open()
        await all_have(server, sidecars)
        assert sidecars.memory()["known"] == COUNT * (KNOWN - 1)

    followed(script)


def test_both_scales_ask_for_what_any_test_may() -> None:
    for scale in Scale:
        needs = endpoint_list.needs(scale)
        assert needs.processes <= 8 and needs.bytes < 4e9


def test_a_lists_parts_are_all_timed() -> None:
    found = list_costs.measure(KNOWN, 1)
    assert {name for name in found if "_list_" in name} == {
        f"alone_list_{part}_ms" for part in ("parse_one_piece", "parse", "directory", "module")
    }
    assert {name for name in found if "_change_" in name} == {
        f"alone_change_{part}_us" for part in ("parse", "directory", "module")
    }
    assert all(spent > 0 for spent in found.values())


def test_a_list_in_pieces_is_the_same_list() -> None:
    data = list_costs.encode(Listing(KNOWN, 1).registry.full_list())
    assert list_costs.decode(data, 100) == list_costs.decode(data, len(data))
