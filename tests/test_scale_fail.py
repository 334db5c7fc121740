"""What the loss of many converters would cost the whole fleet, from lines written by hand, and a few real watches."""

from __future__ import annotations

import asyncio

import pytest

from ryepier.experiments.core.contract import Scale
from ryepier.experiments.scale import failure
from ryepier.experiments.scale.failure import BURST_SIZES, FLEET_SIZES, RACK_SIZE, REGION_SIZE, ZONE_SIZE


def by_hand() -> dict[str, float]:
    """A change costs a sidecar 100 us told singly and 20 us together; a message costs discovery 10 us."""
    found: dict[str, float] = {}
    for changes in BURST_SIZES:
        found |= {
            f"burst_cpu_ms_{changes}": 0.1 * changes,
            f"together_cpu_ms_{changes}": 0.02 * changes,
            f"burst_bytes_{changes}": 200.0 * changes,
        }
    for count in FLEET_SIZES[Scale.SMALL]:
        found |= {
            f"zone_stand_in_cpu_s_{count}": 1e-5 * ZONE_SIZE * count + 0.5,  # what does not grow is not the fleet's
            f"zone_together_stand_in_cpu_s_{count}": 1e-5 * count,
        }
    return found


def test_the_whole_fleet_follows_from_the_lines() -> None:
    got = failure.calculate_fleet_costs(by_hand(), Scale.SMALL)
    assert got["change_cpu_us"] == pytest.approx(100.0) and got["message_us"] == pytest.approx(10.0)
    assert (got["rack_messages"], got["zone_messages"], got["region_messages"]) == (64_000, 320_000, 640_000)
    assert got["region_mb"] == pytest.approx(200 * REGION_SIZE * 800 / 1e6)
    assert got["rack_sidecar_ms"] == pytest.approx(0.1 * RACK_SIZE)
    assert got["zone_singly_last_s"] == pytest.approx(1e-5 * ZONE_SIZE * 1600 + 0.02)
    assert got["region_singly_last_s"] == pytest.approx(1e-5 * REGION_SIZE * 800 + 0.08)
    assert got["zone_together_last_s"] == pytest.approx(1e-5 * 1600 + 0.004)


def test_a_change_that_is_lost_or_told_twice_fails_a_claim() -> None:
    found = by_hand() | {"rack_told_40": 1.0, "zone_told_40": 1.0, "rack_still_ready_40": 0.0}
    found |= failure.calculate_fleet_costs(found, Scale.SMALL)
    assert all(claim.holds for claim in failure.make_claims(found))
    for wrong in ({"zone_told_40": 0.999}, {"zone_told_40": 1.001}, {"rack_still_ready_40": 1.0}):
        assert not all(claim.holds for claim in failure.make_claims(found | wrong))


@pytest.mark.parametrize("singly", [True, False])
def test_converters_that_drain_are_forgotten_by_every_module(singly: bool) -> None:
    async def play() -> dict[str, float]:
        async with failure.start_fleet(30, 1, "") as fleet:
            await fleet.grow(failure.PROCESS_COUNT)
            return await fleet.lose_converters(7, singly)

    got = asyncio.run(play())
    assert got["told"] == 1.0 and got["still_ready"] == 0.0


def test_both_scales_ask_for_what_any_test_may() -> None:
    for scale in Scale:
        needs = failure.needs(scale)
        assert needs.processes <= 8 and needs.bytes < 5e9
