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
from ryepier.experiments.maintenance.agreement_text import NORTH, REGIONS, SOUTH, replica_names
from ryepier.experiments.maintenance.maintenance_harness import MaintenanceHarness, MajorityRestored, Scenario
from ryepier.experiments.maintenance.outcome import Outcome
from ryepier.experiments.maintenance.overlap import VALID_PER_REGION, draw_requests
from ryepier.maintenance.api import StatusReply
from ryepier.maintenance.client import CallError
from ryepier.maintenance.replication import storage
from ryepier.maintenance.tables import LeaseState

MAX_UNAVAILABLE = 6
MIN_ALLOWANCE = 2
DEADLINE_MS = 60_000  # long, as the faults are the subject here
MAX_NEXT_GRANT_S = 5.0
KILL_STATES = (LeaseState.GRANTED, LeaseState.DRAINING, LeaseState.RETURNING)
FIRST_KILL_S = 2.0
KILL_INTERVAL_S = 2.5
DOWN_S = 0.5
REGION_KILL_S = 4.0
EMPTY_DISK_S = 9.0
STATE_TIMEOUT_S = 3.0  # for a lease to reach the state at which its leader is to be killed
STATE_POLL_INTERVAL_S = 0.01
CONNECT_INTERVAL_S = 0.02
TORN_WRITE = b"\0\0\1\x2c\x77\x77"
FAULTS = len(KILL_STATES) + 2


async def kill_leaders(harness: MaintenanceHarness) -> None:
    """North: for each state, kill the leader as soon as it reports a lease in it."""
    await harness.until(FIRST_KILL_S)
    for state in KILL_STATES:
        leader = await _leader_when(harness, NORTH, partial(_has_lease_in, state))
        harness.kill_coordinators(leader)
        _record_majority(harness, NORTH)  # the two others are a majority
        await asyncio.sleep(DOWN_S)
        harness.start_coordinator(leader)
        await asyncio.sleep(KILL_INTERVAL_S)


def _record_majority(harness: MaintenanceHarness, region: str) -> None:
    """Record that a region has a majority from now on, after a fault."""
    harness.record.majorities_restored.append(MajorityRestored(region, monotonic_us()))


def _has_lease_in(state: LeaseState, status: StatusReply) -> bool:
    """Return whether a region has a lease in this state."""
    return any(lease.state is state for lease in status.leases)


class NewDrain:
    """A condition on statuses: a lease is draining that was not draining in the status before."""

    def __init__(self) -> None:
        """Begin without a status."""
        self.known: set[str] | None = None

    def __call__(self, status: StatusReply) -> bool:
        """Return whether this status shows a new drain."""
        draining = {lease.name for lease in status.leases if lease.state is LeaseState.DRAINING}
        known, self.known = self.known, draining
        return known is not None and bool(draining - known)


async def _leader_when(harness: MaintenanceHarness, region: str, condition: Callable[[StatusReply], bool]) -> str:
    """Return the leader once a condition holds, or after STATE_TIMEOUT_S."""
    client = harness.client(region)
    ends_us = monotonic_us() + int(STATE_TIMEOUT_S * 1e6)
    try:
        while True:
            status = await client.status(STATE_TIMEOUT_S)
            if condition(status) or monotonic_us() > ends_us:
                return status.leader
            await asyncio.sleep(STATE_POLL_INTERVAL_S)
    finally:
        client.close()


async def kill_region(harness: MaintenanceHarness) -> None:
    """South: kill all coordinators, restart one with a torn file; later restart one with an empty disk."""
    await harness.until(REGION_KILL_S)
    names = replica_names(SOUTH)
    # a window has only just started, so that it is still open when the region is up again
    await _leader_when(harness, SOUTH, NewDrain())
    harness.kill_coordinators(*names)
    with (harness.coordinator_folder(names[0]) / storage.FILE_NAME).open("ab") as file:
        file.write(TORN_WRITE)
    for name in names:
        harness.start_coordinator(name)
    await _wait_for_majority(harness, SOUTH)
    _record_majority(harness, SOUTH)
    await harness.until(EMPTY_DISK_S)
    await _empty_disk(harness)


async def _empty_disk(harness: MaintenanceHarness) -> None:
    """South: kill a follower and restart it without its files."""
    leader = await harness.leader(SOUTH)
    follower = next(name for name in replica_names(SOUTH) if name != leader)
    harness.kill_coordinators(follower)
    shutil.rmtree(harness.coordinator_folder(follower))
    _record_majority(harness, SOUTH)
    harness.start_coordinator(follower)


async def _wait_for_majority(harness: MaintenanceHarness, region: str) -> None:
    """Wait until a majority of a region's coordinators accepts connections."""
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
        await asyncio.sleep(CONNECT_INTERVAL_S)


async def inject_faults(harness: MaintenanceHarness) -> None:
    """Inject the faults of both regions at once."""
    parts: tuple[Callable[[MaintenanceHarness], Awaitable[None]], ...] = (kill_leaders, kill_region)

    async def inject(part: Callable[[MaintenanceHarness], Awaitable[None]]) -> None:
        try:
            await part(harness)
        except CallError as error:  # there was no leader to kill: the claim on the number of faults fails
            harness.fault_errors.append(str(error))

    await asyncio.gather(*(inject(part) for part in parts))


def next_grant_s(outcome: Outcome) -> list[float]:
    """Return the time from each restored majority to the region's next grant, where there was one."""
    found = []
    for restored in outcome.record.majorities_restored:
        grants = outcomes.grants_us(outcome, replica_names(restored.region))
        next_us = next((at_us for at_us in grants if at_us > restored.at_us), None)
        if next_us is not None:
            found.append((next_us - restored.at_us) / 1e6)
    return found


def claims(outcome: Outcome) -> list[Claim]:
    """Return all claims of this experiment."""
    accepted = outcomes.accepted_requests(outcome)
    done = outcomes.done_requests(outcome)
    elections = [outcomes.elections_by_term(outcome, replica_names(region)) for region in REGIONS]
    repeated = sum(outcomes.repeated_candidacies(outcome, replica_names(region)) for region in REGIONS)
    return [
        *outcomes.common_claims(outcome),
        Claim("faults carried out", len(outcome.record.majorities_restored), "==", FAULTS),
        Claim("leaders of one term, most", max(max(one.values(), default=0) for one in elections), "==", 1),
        Claim("elections in a term that the replica had been in", repeated, "==", 0),
        *outcomes.lease_claims(outcome),
        Claim("requests accepted", len(accepted), "==", VALID_PER_REGION * len(REGIONS)),
        Claim("of them done by the end", len(done), "==", VALID_PER_REGION * len(REGIONS)),
        Claim("next grant after a majority is back (s)", max(next_grant_s(outcome)), "<=", MAX_NEXT_GRANT_S),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """Run one trial. Raises HarnessError."""
    world = load("maintenance")
    planned = [replace(one, deadline_in_ms=DEADLINE_MS) for one in draw_requests(world, trial.seed) if one.valid]
    scenario = Scenario(MAX_UNAVAILABLE, MIN_ALLOWANCE, planned, inject_faults, trial.seeded_fault)
    outcome = outcomes.run(MaintenanceHarness(world, trial.seed, trial.folder, scenario))
    grants = {f"next_grant_{number}_s": value for number, value in enumerate(next_grant_s(outcome))}
    return Measurement(claims(outcome), outcomes.common_figures(outcome) | grants)


EXPERIMENT = Benchmark(
    "maintenance-kill",
    "leaders and a whole region of coordinators killed, a torn file, an empty disk",
    perform,
    ("forget-grant", "vote-twice"),
)
