"""Plays a world with maintenance windows: coordinators of two regions, an agent for each, requests and faults."""

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
from ryepier.experiments.maintenance.fleet_process import JOURNAL_SUFFIX, JournalLine, control_address
from ryepier.experiments.maintenance.relay import Relay
from ryepier.maintenance import agreement_file
from ryepier.maintenance.address import parse_address
from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.api import ClientKind, StatusReply
from ryepier.maintenance.client import CallError, RegionClient
from ryepier.maintenance.commands import Priority, Request, SubmitRequest
from ryepier.maintenance.results import Result
from ryepier.maintenance.settings import Addresses, addresses_of

ROLE_MODULE = "ryepier.experiments.maintenance.fleet_process"
AGENT_MODULE = "ryepier.experiments.maintenance.agent_process"
CALL_TIMEOUT_S = 12.0
POLL_INTERVAL_S = 0.25
POLL_TIMEOUT_S = 1.0
WORK_S = 0.5
FREEZE_S = 0.5  # of a run of seconds, where operators' plans are of hours
POLLS = "polls.json"


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that operators will hand in `at_s` into the run; its times count from then."""

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
    """A request as it was handed in, and what was said of it."""

    request: Request
    region_now_ms: int
    at_us: int
    result: Result


@dataclass(frozen=True, slots=True)
class Poll:
    """What a region's leader said at a moment; `sent_us` is before and `received_us` after the answer."""

    region: str
    sent_us: int
    received_us: int
    status: StatusReply


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is played beside the world's own load."""

    max_unavailable: int
    min_allowance: int  # that a region never lends
    requests: Sequence[PlannedRequest]
    faults: Callable[[MaintenanceHarness], Awaitable[None]] | None = None
    seeded_fault: str = ""
    relayed: bool = False  # the regions reach one another by relays


@dataclass(slots=True)
class HarnessRecord:
    """What the rig saw of the coordinators, times on the machine's monotonic clock."""

    submitted: list[SubmittedRequest] = field(default_factory=list)
    polls: list[Poll] = field(default_factory=list)
    majority_restored_us: list[tuple[str, int]] = field(default_factory=list)  # region, when


class MaintenanceHarness(Harness):
    """One run of a scenario."""

    def __init__(self, world: World, seed: int, folder: Path, scenario: Scenario) -> None:
        """Prepare; nothing is started yet."""
        super().__init__(world, seed, folder, RoleAssignment(role_module=ROLE_MODULE))
        self.scenario = scenario
        self.record = HarnessRecord()
        self.coordinators: dict[str, subprocess.Popen[bytes]] = {}
        self.notes: list[str] = []  # what a scenario's faults met
        self.agents: dict[str, subprocess.Popen[bytes]] = {}
        self.relays: list[Relay] = []
        folder.mkdir(parents=True, exist_ok=True)
        self.agreement_path = self.write_agreement("agreement", None)
        self.agreement: Agreement = agreement_file.parse(self.agreement_path.read_bytes())
        self.region_agreements = {
            region: self.write_agreement(f"agreement-{region}", region if scenario.relayed else None)
            for region in REGIONS
        }

    def write_agreement(self, name: str, relayed_for: str | None) -> Path:
        """One file of the agreement."""
        scenario = self.scenario
        path = self.folder / f"{name}.toml"
        path.write_text(
            agreement_text(self.world, self.plan.network, scenario.max_unavailable, scenario.min_allowance, relayed_for)
        )
        return path

    # Processes

    def start_planners(self) -> None:
        """Start what decides beside the sidecars: here the coordinators, each with an empty log."""
        super().start_planners()
        for region in REGIONS:
            for name in replica_names(region):
                shutil.rmtree(self.coordinator_folder(name), ignore_errors=True)
                self.start_coordinator(name, bootstrap=True)

    def coordinator_folder(self, name: str) -> Path:
        """Where a coordinator keeps its log."""
        return self.folder / name

    def coordinator_log(self, name: str) -> Path:
        """What a coordinator has written to its standard error."""
        return self.folder / f"{name}.log"

    def start_coordinator(self, name: str, bootstrap: bool = False) -> None:
        """Start a coordinator; it looks at the converters by a sidecar's agent of its own."""
        region = name.partition("-")[0]
        number = [one for each in REGIONS for one in replica_names(each)].index(name)
        host, port = self.plan.discovery_address(number % self.world.sidecars.count)
        command = [*seeded_coordinator.command(self.scenario.seeded_fault), "--agreement"]
        command += [
            str(self.region_agreements[region]),
            "--region",
            region,
            "--replica",
            name,
            "--folder",
            str(self.coordinator_folder(name)),
        ]
        command += [
            "--discovery",
            f"{host}:{port}",
            "--freeze-s",
            str(FREEZE_S),
            *(["--bootstrap"] if bootstrap else []),
        ]
        with self.coordinator_log(name).open("ab") as log:
            self.coordinators[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def kill_coordinators(self, *names: str) -> None:
        """SIGKILL."""
        for name in names:
            self.coordinators[name].kill()
            self.coordinators[name].wait()

    def start_agent(self, region: str) -> None:
        """Start the agent of a region."""
        plan = AgentPlan(
            agreement=str(self.agreement_path),
            region=region,
            name=f"agent-{region}",
            discovery=control_address(self.plan, "discovery"),
            converters=control_address(self.plan, "converters"),
            work_s=WORK_S,
            drain_grace_s=self.world.sidecars.drain_grace_ms / 1000,
        )
        path = self.folder / f"agent-{region}.json"
        path.write_bytes(msgspec.json.encode(plan))
        with (self.folder / f"agent-{region}.log").open("ab") as log:
            command = [sys.executable, "-B", "-m", AGENT_MODULE, str(path)]
            self.agents[region] = subprocess.Popen(command, stdout=log, stderr=log)

    async def kill_all(self) -> None:
        """Leave no process behind."""
        self.end_maintenance()
        (self.folder / POLLS).write_bytes(msgspec.json.encode(self.record.polls))
        await super().kill_all()

    def end_maintenance(self) -> None:
        """End the agents and the coordinators."""
        for process in (*self.agents.values(), *self.coordinators.values()):
            if process.poll() is None:
                process.kill()
                process.wait()

    # While it runs

    async def run_schedule(self) -> None:
        """The world's own steps, the agents, the requests and the faults, until the world's end."""
        for region in REGIONS:
            self.start_agent(region)
        if self.scenario.relayed:
            await self.start_relays()
        async with asyncio.TaskGroup() as group:
            polling = [group.create_task(self.poll(region)) for region in REGIONS]
            group.create_task(super().run_schedule())
            submitting = [group.create_task(self.submit_requests(region)) for region in REGIONS]
            if self.scenario.faults is not None:
                group.create_task(self._inject_faults(self.scenario.faults))
            await asyncio.gather(*submitting)
            await self.until(self.world.duration_s)
            for task in polling:
                task.cancel()
        self.end_maintenance()

    async def start_relays(self) -> None:
        """A relay before each coordinator."""
        for region in REGIONS:
            for number, _ in enumerate(replica_names(region)):
                listen, target = (
                    parse_address(coordinator_address(self.plan.network, region, number, relayed))
                    for relayed in (True, False)
                )
                relay = Relay(listen, target, self.plan.seed * 100 + len(self.relays))
                await relay.start()
                self.relays.append(relay)

    async def _inject_faults(self, faults: Callable[[MaintenanceHarness], Awaitable[None]]) -> None:
        """Carry the scenario's faults out."""
        await faults(self)

    async def until(self, run_s: float) -> None:
        """Wait for a moment of the run."""
        await asyncio.sleep(max(0.0, run_s - self.clock.now_us() / 1e6))

    def addresses(self, region: str) -> Addresses:
        """A region's coordinators."""
        return addresses_of(self.agreement, region)

    def client(self, region: str) -> RegionClient:
        """A caller of a region's coordinators."""
        return RegionClient(region, self.addresses(region), "operator", ClientKind.OPERATOR)

    async def submit_requests(self, region: str) -> None:
        """The requests of a region, each at its time."""
        client = self.client(region)
        mine = [one for one in self.scenario.requests if one.region == region]
        for planned in sorted(mine, key=lambda one: one.at_s):
            await self.until(planned.at_s)
            now_ms = (await client.status(CALL_TIMEOUT_S)).now_ms
            request = Request(
                name=planned.name,
                region=region,
                service=SERVICE,
                converters=planned.converters,
                max_unavailable=planned.max_unavailable,
                duration_ms=planned.duration_ms,
                earliest_ms=now_ms + planned.earliest_in_ms,
                deadline_ms=now_ms + planned.deadline_in_ms,
                priority=planned.priority,
            )
            result = await client.command(SubmitRequest(request), CALL_TIMEOUT_S)
            self.record.submitted.append(SubmittedRequest(request, now_ms, monotonic_us(), result))
        client.close()

    async def poll(self, region: str) -> None:
        """Ask a region's leader again and again what it knows."""
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
        """Who leads a region now."""
        client = self.client(region)
        try:
            return (await client.status(CALL_TIMEOUT_S)).leader
        finally:
            client.close()

    # The end

    def journal(self) -> list[JournalLine]:
        """What was done to converters, in the order of time, on the machine's monotonic clock."""
        lines: list[JournalLine] = []
        for name in ("discovery-0", "converters-0"):
            path = self.folder / f"{name}.records{JOURNAL_SUFFIX}"
            lines += [msgspec.json.decode(line, type=JournalLine) for line in path.read_bytes().splitlines()]
        return sorted(lines, key=lambda line: line.at_us)
