"""`maintenance-kill`: kills leaders at each step of a lease and a whole region; tears a file and empties a disk."""

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
DEADLINE_MS = 60_000  # long, because this experiment tests recovery from faults and not deadlines
MAX_NEXT_GRANT_S = 5.0
KILL_STATES = (LeaseState.GRANTED, LeaseState.DRAINING, LeaseState.RETURNING)
FIRST_KILL_AT_S = 2.0
KILL_INTERVAL_S = 2.5
DOWN_S = 0.5
REGION_KILL_AT_S = 4.0
EMPTY_DISK_AT_S = 9.0
STATE_TIMEOUT_S = 3.0  # how long to wait for a lease to reach the state in which its leader is killed
STATE_POLL_INTERVAL_S = 0.01
CONNECT_INTERVAL_S = 0.02
TORN_WRITE = b"\0\0\1\x2c\x77\x77"
FAULT_COUNT = len(KILL_STATES) + 2


async def kill_leaders(harness: MaintenanceHarness) -> None:
    """Kill and restart the north region's leader once for each state, as soon as it reports a lease in that state."""
    await harness.wait_until(FIRST_KILL_AT_S)
    for state in KILL_STATES:
        leader = await _wait_for_leader(harness, NORTH, partial(_has_lease_in_state, state))
        harness.kill_coordinators(leader)
        _record_majority_restored(harness, NORTH)  # the two remaining replicas are a majority
        await asyncio.sleep(DOWN_S)
        harness.start_coordinator(leader)
        await asyncio.sleep(KILL_INTERVAL_S)


def _record_majority_restored(harness: MaintenanceHarness, region: str) -> None:
    """Record that a region has a majority again, as of now."""
    harness.record.majorities_restored.append(MajorityRestored(region, monotonic_us()))


def _has_lease_in_state(state: LeaseState, status: StatusReply) -> bool:
    """Return whether a status has a lease in the given state."""
    return any(lease.state is state for lease in status.leases)


class NewDrain:
    """A condition on successive statuses: a lease is draining that was not draining in the previous status."""

    def __init__(self) -> None:
        """Start without a previous status, so that the condition does not hold for the first one."""
        self.draining: set[str] | None = None

    def __call__(self, status: StatusReply) -> bool:
        """Return whether a lease started to drain since the previous status, and remember this status."""
        draining = {lease.name for lease in status.leases if lease.state is LeaseState.DRAINING}
        previously_draining, self.draining = self.draining, draining
        return previously_draining is not None and bool(draining - previously_draining)


async def _wait_for_leader(harness: MaintenanceHarness, region: str, condition: Callable[[StatusReply], bool]) -> str:
    """Wait until a condition holds, at most `STATE_TIMEOUT_S`, and return the leader then. Raises CallError."""
    client = harness.client(region)
    timeout_at_us = monotonic_us() + int(STATE_TIMEOUT_S * 1e6)
    try:
        while True:
            status = await client.status(STATE_TIMEOUT_S)
            if condition(status) or monotonic_us() > timeout_at_us:
                return status.leader
            await asyncio.sleep(STATE_POLL_INTERVAL_S)
    finally:
        client.close()


async def kill_region(harness: MaintenanceHarness) -> None:
    """Kill and restart the south region's coordinators, one with a torn file; later empty the disk of a follower."""
    await harness.wait_until(REGION_KILL_AT_S)
    replicas = replica_names(SOUTH)
    # wait for a window that has just started, so that it is still open when the region has recovered
    await _wait_for_leader(harness, SOUTH, NewDrain())
    harness.kill_coordinators(*replicas)
    with (harness.coordinator_folder(replicas[0]) / storage.FILE_NAME).open("ab") as file:
        file.write(TORN_WRITE)
    for name in replicas:
        harness.start_coordinator(name)
    await _wait_for_majority(harness, SOUTH)
    _record_majority_restored(harness, SOUTH)
    await harness.wait_until(EMPTY_DISK_AT_S)
    await _restart_with_empty_disk(harness)


async def _restart_with_empty_disk(harness: MaintenanceHarness) -> None:
    """Kill a follower of the south region, delete its files and restart it."""
    leader = await harness.leader(SOUTH)
    follower = next(name for name in replica_names(SOUTH) if name != leader)
    harness.kill_coordinators(follower)
    shutil.rmtree(harness.coordinator_folder(follower))
    _record_majority_restored(harness, SOUTH)
    harness.start_coordinator(follower)


async def _wait_for_majority(harness: MaintenanceHarness, region: str) -> None:
    """Wait until a majority of a region's coordinators has accepted a connection."""
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
    """Inject the faults of both regions concurrently."""
    injectors: tuple[Callable[[MaintenanceHarness], Awaitable[None]], ...] = (kill_leaders, kill_region)

    async def inject(injector: Callable[[MaintenanceHarness], Awaitable[None]]) -> None:
        try:
            await injector(harness)
        except CallError as error:  # no leader could be killed; the claim on the number of faults fails
            harness.fault_errors.append(str(error))

    await asyncio.gather(*(inject(injector) for injector in injectors))


def next_grant_s(outcome: Outcome) -> list[float]:
    """Return the seconds from each restored majority to the region's next grant, if one followed."""
    grant_delays_s = []
    for restoration in outcome.record.majorities_restored:
        grants = outcomes.grants_us(outcome, replica_names(restoration.region))
        next_grant_us = next((at_us for at_us in grants if at_us > restoration.at_us), None)
        if next_grant_us is not None:
            grant_delays_s.append((next_grant_us - restoration.at_us) / 1e6)
    return grant_delays_s


def claims(outcome: Outcome) -> list[Claim]:
    """Return the claims of the experiment for a run."""
    accepted_requests = outcomes.accepted_requests(outcome)
    done_requests = outcomes.done_requests(outcome)
    elections_by_region = [outcomes.elections_by_term(outcome, replica_names(region)) for region in REGIONS]
    repeated_candidacies = sum(outcomes.repeated_candidacies(outcome, replica_names(region)) for region in REGIONS)
    return [
        *outcomes.common_claims(outcome),
        Claim("faults carried out", len(outcome.record.majorities_restored), "==", FAULT_COUNT),
        Claim(
            "leaders of one term, most",
            max(max(region_elections.values(), default=0) for region_elections in elections_by_region),
            "==",
            1,
        ),
        Claim("elections in a term that the replica had been in", repeated_candidacies, "==", 0),
        *outcomes.lease_claims(outcome),
        Claim("requests accepted", len(accepted_requests), "==", VALID_PER_REGION * len(REGIONS)),
        Claim("of them done by the end", len(done_requests), "==", VALID_PER_REGION * len(REGIONS)),
        Claim("next grant after a majority is back (s)", max(next_grant_s(outcome)), "<=", MAX_NEXT_GRANT_S),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """Run one trial of the experiment. Raises HarnessError."""
    world = load("maintenance")
    planned_requests = [
        replace(request, deadline_in_ms=DEADLINE_MS) for request in draw_requests(world, trial.seed) if request.valid
    ]
    scenario = Scenario(MAX_UNAVAILABLE, MIN_ALLOWANCE, planned_requests, inject_faults, trial.seeded_fault)
    outcome = outcomes.run(MaintenanceHarness(world, trial.seed, trial.folder, scenario))
    grant_figures = {f"next_grant_{number}_s": value for number, value in enumerate(next_grant_s(outcome))}
    return Measurement(claims(outcome), outcomes.common_figures(outcome) | grant_figures)


EXPERIMENT = Benchmark(
    "maintenance-kill",
    "leaders and a whole region of coordinators killed, a torn file, an empty disk",
    perform,
    ("forget-grant", "vote-twice"),
)
