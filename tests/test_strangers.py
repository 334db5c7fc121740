"""The benchmark of unknown peers: its claims hold beside one kind of peers, and fail with its seeded fault."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest

from ryepier.emulator.loopback import find_network
from ryepier.experiments.core.contract import Claim, Scale, TrialConfig
from ryepier.experiments.scale import lightweight
from ryepier.experiments.scale.lightweight_converters import ConvertersConfig
from ryepier.experiments.strangers import benchmark
from ryepier.experiments.strangers.inputs import INPUTS

pytestmark = pytest.mark.alone


def claims_beside(kind: str, trial: TrialConfig) -> list[Claim]:
    """Return the claims on the smallest deployment beside one kind of peers."""
    addresses = benchmark.Addresses.of_network(find_network())
    config = ConvertersConfig(addresses.converters, {benchmark.KNOWN_COUNT: addresses.agent})
    arguments = [msgspec.json.encode(config).decode()]

    async def measure() -> dict[str, float]:
        async with lightweight.start_process("ryepier.experiments.scale.lightweight_converters", arguments) as process:
            await process.read()
            return await benchmark.measure_kind(benchmark.DEPLOYMENTS[0], kind, addresses, trial)

    measured = asyncio.run(measure())
    figures = {
        name.replace(kind, other).replace("smallest", deployment.name): value
        for name, value in measured.items()
        for other in INPUTS
        for deployment in benchmark.DEPLOYMENTS
    }
    return benchmark.make_claims(figures)


def test_claims_hold_beside_half_bodies(tmp_path: Path) -> None:
    claims = claims_beside("half-body", TrialConfig(1, Scale.SMALL, tmp_path))
    assert all(claim.holds for claim in claims), [str(claim) for claim in claims]


def test_claim_on_the_wait_of_peers_fails_for_a_sidecar_that_waits_too_long(tmp_path: Path) -> None:
    claims = claims_beside("silent", TrialConfig(1, Scale.SMALL, tmp_path, seeded_fault="patient"))
    assert any("error or close" in claim.name and not claim.holds for claim in claims)
