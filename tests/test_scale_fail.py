"""Tests `scale-fail`: the calculated costs of a whole fleet, and updates to a few lightweight sidecars."""

from __future__ import annotations

import asyncio

import pytest

from ryepier.experiments.core.contract import Scale
from ryepier.experiments.scale import failure
from ryepier.experiments.scale.failure import BURST_SIZES, FLEET_SIZES, RACK_SIZE, REGION_SIZE, ZONE_SIZE


def make_loss_figures() -> dict[str, float]:
    """Return figures in which a change costs a sidecar 100 us if it is sent alone, and 20 us in a combined message.

    Each message costs discovery 10 us.
    """
    figures: dict[str, float] = {}
    for changes in BURST_SIZES:
        figures |= {
            f"burst_cpu_ms_{changes}": 0.1 * changes,
            f"together_cpu_ms_{changes}": 0.02 * changes,
            f"burst_bytes_{changes}": 200.0 * changes,
        }
    for count in FLEET_SIZES[Scale.SMALL]:
        figures |= {
            # the constant 0.5 s does not grow with the fleet, so it must not count as a cost of the fleet
            f"zone_stand_in_cpu_s_{count}": 1e-5 * ZONE_SIZE * count + 0.5,
            f"zone_together_stand_in_cpu_s_{count}": 1e-5 * count,
        }
    return figures


def test_fleet_costs_are_calculated_from_fitted_lines() -> None:
    costs = failure.calculate_fleet_costs(make_loss_figures(), Scale.SMALL)
    assert costs["change_cpu_us"] == pytest.approx(100.0) and costs["message_us"] == pytest.approx(10.0)
    assert (costs["rack_messages"], costs["zone_messages"], costs["region_messages"]) == (64_000, 320_000, 640_000)
    assert costs["region_mb"] == pytest.approx(200 * REGION_SIZE * 800 / 1e6)
    assert costs["rack_sidecar_ms"] == pytest.approx(0.1 * RACK_SIZE)
    assert costs["zone_singly_last_s"] == pytest.approx(1e-5 * ZONE_SIZE * 1600 + 0.02)
    assert costs["region_singly_last_s"] == pytest.approx(1e-5 * REGION_SIZE * 800 + 0.08)
    assert costs["zone_together_last_s"] == pytest.approx(1e-5 * 1600 + 0.004)


def test_lost_or_repeated_change_fails_a_claim() -> None:
    figures = make_loss_figures() | {"rack_told_40": 1.0, "zone_told_40": 1.0, "rack_still_ready_40": 0.0}
    figures |= failure.calculate_fleet_costs(figures, Scale.SMALL)
    assert all(claim.holds for claim in failure.make_claims(figures))
    for wrong_figure in ({"zone_told_40": 0.999}, {"zone_told_40": 1.001}, {"rack_still_ready_40": 1.0}):
        assert not all(claim.holds for claim in failure.make_claims(figures | wrong_figure))


@pytest.mark.parametrize("singly", [True, False])
def test_draining_converters_are_dropped_by_every_sidecar(singly: bool) -> None:
    async def lose_converters() -> dict[str, float]:
        async with failure.start_fleet(30, 1, "") as fleet:
            await fleet.grow(failure.PROCESS_COUNT)
            return await fleet.lose_converters(7, singly)

    figures = asyncio.run(lose_converters())
    assert figures["told"] == 1.0 and figures["still_ready"] == 0.0


def test_required_resources_stay_within_limits() -> None:
    for scale in Scale:
        required_resources = failure.required_resources(scale)
        assert required_resources.processes <= 8 and required_resources.bytes < 5e9
