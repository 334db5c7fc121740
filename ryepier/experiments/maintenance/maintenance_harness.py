"""Runs a world with maintenance windows: the coordinators and agents of two regions, maintenance requests, faults."""

from __future__ import annotations

import asyncio
import shutil
import subprocess
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ryepier.emulator.harness import Harness, RoleAssignment
from ryepier.emulator.process import monotonic_us
from ryepier.emulator.world import World
from ryepier.experiments.maintenance import seeded_coordinator
from ryepier.experiments.maintenance.agent_process import AgentPlan
from ryepier.experiments.maintenance.agreement_text import (
    REGIONS,
    SERVICE,
    agreement_text,
    coordinator_address,
    replica_names,
)
from ryepier.experiments.maintenance.fleet_process import (
    JOURNAL_SUFFIX,
    JournalLine,
    converters_control_address,
    discovery_control_address,
)
from ryepier.experiments.maintenance.relay import Relay
from ryepier.maintenance import agreement_file
from ryepier.maintenance.address import parse_address
from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.api import ClientKind, StatusReply
from ryepier.maintenance.client import CallError, RegionClient
from ryepier.maintenance.commands import Priority, Request, SubmitRequest
from ryepier.maintenance.results import Result
from ryepier.maintenance.settings import Addresses, replica_addresses

ROLE_MODULE = "ryepier.experiments.maintenance.fleet_process"
AGENT_MODULE = "ryepier.experiments.maintenance.agent_process"
CALL_TIMEOUT_S = 12.0
POLL_INTERVAL_S = 0.25
POLL_TIMEOUT_S = 1.0
WORK_S = 0.5
PLAN_FREEZE_S = 0.5  # shorter than the default, because a run lasts seconds while operators' plans span hours
POLLS_FILE = "polls.json"


InjectFaults = Callable[["MaintenanceHarness"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A maintenance request that is submitted `at_s` seconds into the run, with its other times relative to that.

    The coordinators must reject it if it is not `valid`.
    """

    name: str
    region: str
    converters: tuple[str, ...]
    max_unavailable: int
    duration_ms: int
    at_s: float
    earliest_in_ms: int
    deadline_in_ms: int
    priority: Priority
    valid: bool = True


@dataclass(frozen=True, slots=True)
class SubmittedRequest:
    """A request that was submitted, and its result.

    `region_now_ms` is the region's time just before the submission, and `at_us` the time when the result was received.
    """

    request: Request
    region_now_ms: int
    at_us: int
    result: Result


@dataclass(frozen=True, slots=True)
class Poll:
    """A status reply of a region's leader, requested at `sent_us` and received at `received_us`."""

    region: str
    sent_us: int
    received_us: int
    status: StatusReply


@dataclass(frozen=True, slots=True)
class Scenario:
    """The maintenance and the faults of a run, in addition to the load of the world."""

    max_unavailable: int
    min_allowance: int  # allowance that a region keeps when it gives some to the other region
    requests: Sequence[PlannedRequest]
    faults: InjectFaults | None = None
    seeded_fault: str = ""
    uses_relays: bool = False  # whether the regions communicate through relays


@dataclass(frozen=True, slots=True)
class MajorityRestored:
    """The time from which a majority of a region's coordinators was up after a fault."""

    region: str
    at_us: int


@dataclass(slots=True)
class HarnessRecord:
    """What the harness observed of the coordinators. Times are microseconds of the machine's monotonic clock."""

    submitted: list[SubmittedRequest] = field(default_factory=list)
    polls: list[Poll] = field(default_factory=list)
    majorities_restored: list[MajorityRestored] = field(default_factory=list)


class MaintenanceHarness(Harness):
    """Runs one scenario, with its coordinators and agents as processes in addition to those of the emulator."""

    def __init__(self, world: World, seed: int, folder: Path, scenario: Scenario) -> None:
        """Write the agreement files to `folder`. No process is started yet."""
        super().__init__(world, seed, folder, RoleAssignment(role_module=ROLE_MODULE))
        self.scenario = scenario
        self.record = HarnessRecord()
        self.coordinators: dict[str, subprocess.Popen[bytes]] = {}
        self.fault_errors: list[str] = []  # faults that could not be injected
        self.agents: dict[str, subprocess.Popen[bytes]] = {}
        self.relays: list[Relay] = []
        folder.mkdir(parents=True, exist_ok=True)
        self.agreement_path = self.write_agreement("agreement", None)
        self.agreement: Agreement = agreement_file.parse(self.agreement_path.read_bytes())
        self.region_agreements = {
            region: self.write_agreement(f"agreement-{region}", region if scenario.uses_relays else None)
            for region in REGIONS
        }

    def write_agreement(self, name: str, relayed_for: str | None) -> Path:
        """Write an agreement file and return its path. `relayed_for` is the region that uses relays, if any."""
        scenario = self.scenario
        path = self.folder / f"{name}.toml"
        path.write_text(
            agreement_text(self.world, self.plan.network, scenario.max_unavailable, scenario.min_allowance, relayed_for)
        )
        return path

    def start_planners(self) -> None:
        """Start the planners, and the coordinators with empty logs."""
        super().start_planners()
        for region in REGIONS:
            for name in replica_names(region):
                shutil.rmtree(self.coordinator_folder(name), ignore_errors=True)
                self.start_coordinator(name, bootstrap=True)

    def coordinator_folder(self, name: str) -> Path:
        """Return the folder in which a coordinator stores its log."""
        return self.folder / name

    def coordinator_log(self, name: str) -> Path:
        """Return the path of the file with a coordinator's standard output and standard error."""
        return self.folder / f"{name}.log"

    def start_coordinator(self, name: str, bootstrap: bool = False) -> None:
        """Start a coordinator, which observes the converters through the discovery agent of one of the sidecars."""
        region = name.partition("-")[0]
        number = [replica for any_region in REGIONS for replica in replica_names(any_region)].index(name)
        host, port = self.plan.discovery_address(number % self.world.sidecars.count)
        command = seeded_coordinator.command(self.scenario.seeded_fault)
        command += ["--agreement", str(self.region_agreements[region]), "--region", region, "--replica", name]
        command += ["--folder", str(self.coordinator_folder(name)), "--discovery", f"{host}:{port}"]
        command += ["--freeze-s", str(PLAN_FREEZE_S)]
        if bootstrap:
            command.append("--bootstrap")
        with self.coordinator_log(name).open("ab") as log:
            self.coordinators[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def kill_coordinators(self, *names: str) -> None:
        """Kill coordinators with SIGKILL and wait until they have ended."""
        for name in names:
            self.coordinators[name].kill()
            self.coordinators[name].wait()

    def start_agent(self, region: str) -> None:
        """Start the agent of a region."""
        plan = AgentPlan(
            agreement=str(self.agreement_path),
            region=region,
            name=f"agent-{region}",
            discovery=discovery_control_address(self.plan),
            converters=converters_control_address(self.plan),
            work_s=WORK_S,
            drain_grace_s=self.world.sidecars.drain_grace_ms / 1000,
        )
        path = self.folder / f"agent-{region}.json"
        path.write_bytes(msgspec.json.encode(plan))
        with (self.folder / f"agent-{region}.log").open("ab") as log:
            command = [sys.executable, "-B", "-m", AGENT_MODULE, str(path)]
            self.agents[region] = subprocess.Popen(command, stdout=log, stderr=log)

    async def kill_all(self) -> None:
        """Kill all processes, and write the polls to a file."""
        self.end_maintenance()
        (self.folder / POLLS_FILE).write_bytes(msgspec.json.encode(self.record.polls))
        await super().kill_all()

    def end_maintenance(self) -> None:
        """Kill the agents and the coordinators that are still running."""
        for process in (*self.agents.values(), *self.coordinators.values()):
            if process.poll() is None:
                process.kill()
                process.wait()

    async def run_schedule(self) -> None:
        """Run the schedule of the world, the agents, the requests and the faults until the end of the run."""
        for region in REGIONS:
            self.start_agent(region)
        if self.scenario.uses_relays:
            await self.start_relays()
        async with asyncio.TaskGroup() as group:
            poll_tasks = [group.create_task(self.poll_status(region)) for region in REGIONS]
            group.create_task(super().run_schedule())
            submit_tasks = [group.create_task(self.submit_requests(region)) for region in REGIONS]
            if self.scenario.faults is not None:
                group.create_task(_inject(self, self.scenario.faults))
            await asyncio.gather(*submit_tasks)
            await self.wait_until(self.world.duration_s)
            for task in poll_tasks:
                task.cancel()
        self.end_maintenance()

    async def start_relays(self) -> None:
        """Start a relay in front of each coordinator. Raises OSError."""
        for region in REGIONS:
            for number, _ in enumerate(replica_names(region)):
                listen_address, target_address = (
                    parse_address(coordinator_address(self.plan.network, region, number, relayed))
                    for relayed in (True, False)
                )
                relay = Relay(listen_address, target_address, self.plan.seed * 100 + len(self.relays))
                await relay.start()
                self.relays.append(relay)

    async def wait_until(self, at_s: float) -> None:
        """Wait until `at_s` seconds after the start of the run."""
        await asyncio.sleep(max(0.0, at_s - self.clock.now_us() / 1e6))

    def addresses(self, region: str) -> Addresses:
        """Return the addresses of a region's coordinators by replica name."""
        return replica_addresses(self.agreement, region)

    def client(self, region: str) -> RegionClient:
        """Return a client of a region's coordinators; the caller closes it."""
        return RegionClient(region, self.addresses(region), "operator", ClientKind.OPERATOR)

    async def submit_requests(self, region: str) -> None:
        """Submit the requests of a region at their times. Raises CallError."""
        client = self.client(region)
        region_requests = [
            planned_request for planned_request in self.scenario.requests if planned_request.region == region
        ]
        for planned_request in sorted(region_requests, key=lambda planned_request: planned_request.at_s):
            await self.wait_until(planned_request.at_s)
            now_ms = (await client.status(CALL_TIMEOUT_S)).now_ms
            request = Request(
                name=planned_request.name,
                region=region,
                service=SERVICE,
                converters=planned_request.converters,
                max_unavailable=planned_request.max_unavailable,
                duration_ms=planned_request.duration_ms,
                earliest_ms=now_ms + planned_request.earliest_in_ms,
                deadline_ms=now_ms + planned_request.deadline_in_ms,
                priority=planned_request.priority,
            )
            result = await client.command(SubmitRequest(request), CALL_TIMEOUT_S)
            self.record.submitted.append(SubmittedRequest(request, now_ms, monotonic_us(), result))
        client.close()

    async def poll_status(self, region: str) -> None:
        """Request and record the status of a region periodically until cancelled."""
        client = self.client(region)
        while True:
            sent_us = monotonic_us()
            try:
                status = await client.status(POLL_TIMEOUT_S)
            except CallError:
                continue
            self.record.polls.append(Poll(region, sent_us, monotonic_us(), status))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def leader(self, region: str) -> str:
        """Return the name of a region's current leader. Raises CallError."""
        client = self.client(region)
        try:
            return (await client.status(CALL_TIMEOUT_S)).leader
        finally:
            client.close()

    def journal(self) -> list[JournalLine]:
        """Return the journaled steps on converters in chronological order."""
        lines: list[JournalLine] = []
        for name in ("discovery-0", "converters-0"):
            path = self.folder / f"{name}.records{JOURNAL_SUFFIX}"
            lines += [msgspec.json.decode(line, type=JournalLine) for line in path.read_bytes().splitlines()]
        return sorted(lines, key=lambda line: line.at_us)


async def _inject(harness: MaintenanceHarness, faults: InjectFaults) -> None:
    """Await the faults of a scenario, as a coroutine for `create_task`, which does not accept other awaitables."""
    await faults(harness)
