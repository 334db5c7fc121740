"""`maintenance-kill`: leaders killed at each step of a lease, a whole region killed, a torn file, an empty disk."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial

from ryepier.emulator.process import monotonic_us
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, TrialConfig
from ryepier.experiments.core.worlds import load
from ryepier.experiments.maintenance import outcome as outcomes
from ryepier.experiments.maintenance.agreement_text import REGIONS, replica_names
from ryepier.experiments.maintenance.maintenance_harness import MaintenanceHarness, Scenario
from ryepier.experiments.maintenance.outcome import FOREVER_US, Outcome
from ryepier.experiments.maintenance.overlap import VALID_PER_REGION, draw_requests
from ryepier.maintenance.api import StatusReply
from ryepier.maintenance.client import CallError
from ryepier.maintenance.replication import storage
from ryepier.maintenance.results import Accepted
from ryepier.maintenance.tables import LeaseState

MAX_UNAVAILABLE = 6
MIN_ALLOWANCE = 2
DEADLINE_MS = 60_000  # of all: here the faults are the subject
MAX_NEXT_GRANT_S = 5.0
KILL_STATES = (LeaseState.GRANTED, LeaseState.DRAINING, LeaseState.RETURNING)
FIRST_KILL_S = 2.0
KILL_INTERVAL_S = 2.5
DOWN_S = 0.5
REGION_KILL_S = 4.0
EMPTY_DISK_S = 9.0
STATE_TIMEOUT_S = 3.0  # for a lease to reach the state at which its leader is to be killed
TORN_WRITE = b"\0\0\1\x2c\x77\x77"
FAULTS = len(KILL_STATES) + 2


async def kill_leaders(harness: MaintenanceHarness) -> None:
    """North: the leader is killed as soon as it says that a lease is in this state, for each state."""
    await harness.until(FIRST_KILL_S)
    for state in KILL_STATES:
        leader = await _leader_when(harness, "north", partial(_has_lease_in, state))
        harness.kill_coordinators(leader)
        harness.record.majority_restored_us.append(("north", monotonic_us()))  # the two others are a majority
        await asyncio.sleep(DOWN_S)
        harness.start_coordinator(leader)
        await asyncio.sleep(KILL_INTERVAL_S)


def _has_lease_in(state: LeaseState, status: StatusReply) -> bool:
    """Whether a region has a lease in this state."""
    return any(lease.state == state for lease in status.leases)


class NewDrain:
    """Holds once a lease is draining that was not before."""

    def __init__(self) -> None:
        """Nothing was seen yet."""
        self.known: set[str] | None = None

    def __call__(self, status: StatusReply) -> bool:
        """Whether this status shows one."""
        draining = {lease.name for lease in status.leases if lease.state == LeaseState.DRAINING}
        known, self.known = self.known, draining
        return known is not None and bool(draining - known)


async def _leader_when(harness: MaintenanceHarness, region: str, holds: Callable[[StatusReply], bool]) -> str:
    """Who leads once something holds, or when that has taken too long."""
    client = harness.client(region)
    ends_us = monotonic_us() + int(STATE_TIMEOUT_S * 1e6)
    try:
        while True:
            status = await client.status(STATE_TIMEOUT_S)
            if holds(status) or monotonic_us() > ends_us:
                return status.leader
            await asyncio.sleep(0.01)
    finally:
        client.close()


async def kill_region(harness: MaintenanceHarness) -> None:
    """South: all are killed at once; one comes back with a torn file. Later one comes back with an empty disk."""
    await harness.until(REGION_KILL_S)
    names = replica_names("south")
    # a window has only just begun, so that it is open still when the region is back
    await _leader_when(harness, "south", NewDrain())
    harness.kill_coordinators(*names)
    with (harness.coordinator_folder(names[0]) / storage.FILE_NAME).open("ab") as file:
        file.write(TORN_WRITE)
    for name in names:
        harness.start_coordinator(name)
    await _wait_for_majority(harness, "south")
    harness.record.majority_restored_us.append(("south", monotonic_us()))
    await harness.until(EMPTY_DISK_S)
    leader = await harness.leader("south")
    emptied = next(name for name in names if name != leader)
    harness.kill_coordinators(emptied)
    shutil.rmtree(harness.coordinator_folder(emptied))
    harness.record.majority_restored_us.append(("south", monotonic_us()))
    harness.start_coordinator(emptied)


async def _wait_for_majority(harness: MaintenanceHarness, region: str) -> None:
    """Until a majority of a region's coordinators takes connections."""
    addresses = harness.addresses(region)
    listening: set[str] = set()
    while len(listening) <= len(addresses) // 2:
        for name, address in addresses.items():
            try:
                _, writer = await asyncio.open_connection(*address)
            except OSError:
                continue
            writer.close()
            listening.add(name)
        await asyncio.sleep(0.02)


async def inject_faults(harness: MaintenanceHarness) -> None:
    """All faults, both regions at once."""
    parts: tuple[Callable[[MaintenanceHarness], Awaitable[None]], ...] = (kill_leaders, kill_region)

    async def carry_out(part: Callable[[MaintenanceHarness], Awaitable[None]]) -> None:
        try:
            await part(harness)
        except CallError as error:  # no leader is there to be killed: the claim on the number of faults tells
            harness.notes.append(str(error))

    await asyncio.gather(*(carry_out(part) for part in parts))


def next_grant_s(outcome: Outcome) -> list[float]:
    """From each moment at which a majority was back to the region's next grant, where requests still waited then."""
    found = []
    for region, back_us in outcome.record.majority_restored_us:
        delayed_writes = [at_us for at_us in outcomes.grants_us(outcome, replica_names(region)) if at_us > back_us]
        if delayed_writes:
            found.append((delayed_writes[0] - back_us) / 1e6)
    return found


def claims(outcome: Outcome) -> list[Claim]:
    """What is claimed beyond the one rule."""
    accepted = [one for one in outcome.record.submitted if isinstance(one.result, Accepted)]
    done = [one for one in accepted if outcomes.done_us(outcome, one.request.converters) < FOREVER_US]
    elections = [outcomes.elections_by_term(outcome, replica_names(region)) for region in REGIONS]
    return [
        *outcomes.common_claims(outcome),
        Claim("faults carried out", len(outcome.record.majority_restored_us), "==", FAULTS),
        Claim("leaders of one term, most", max(max(one.values(), default=0) for one in elections), "==", 1),
        Claim(
            "elections in a term that the replica had been in",
            sum(outcomes.repeated_candidacies(outcome, replica_names(region)) for region in REGIONS),
            "==",
            0,
        ),
        Claim(
            "polls in which a converter that was out was under no lease",
            len(outcomes.unleased_outages(outcome)),
            "==",
            0,
        ),
        Claim("converters that two leases had at once", len(outcomes.doubly_leased_outages(outcome)), "==", 0),
        Claim("requests accepted", len(accepted), "==", VALID_PER_REGION * len(REGIONS)),
        Claim("of them done by the end", len(done), "==", VALID_PER_REGION * len(REGIONS)),
        Claim("next grant after a majority is back (s)", max(next_grant_s(outcome)), "<=", MAX_NEXT_GRANT_S),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """Play it once. Raises HarnessError."""
    world = load("maintenance")
    planned = [replace(one, deadline_in_ms=DEADLINE_MS) for one in draw_requests(world, trial.seed) if one.valid]
    outcome = outcomes.play(
        MaintenanceHarness(
            world,
            trial.seed,
            trial.folder,
            Scenario(MAX_UNAVAILABLE, MIN_ALLOWANCE, planned, inject_faults, trial.seeded_fault),
        )
    )
    grants = {f"next_grant_{number}_s": value for number, value in enumerate(next_grant_s(outcome))}
    return Measurement(claims(outcome), outcomes.common_figures(outcome) | grants)


EXPERIMENT = Benchmark(
    "maintenance-kill",
    "leaders and a whole region of coordinators killed, a torn file, an empty disk",
    perform,
    ("forget-grant", "vote-twice"),
)
