"""Emulates the platform's discovery: each sidecar has an agent, which learns of changes after its own delay."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Protocol
from urllib.parse import parse_qs, urlsplit

from ryepier.emulator.process import Clock, LatenessMeter, Plan
from ryepier.emulator.records import EndpointNotice, RecordedEvent, RoleRecords
from ryepier.emulator.slices import SlicesAgent
from ryepier.emulator.timeline import FaultAction, Instance, ListState, Step, TargetKind, Timeline
from ryepier.sidecar import system

MAX_HEAD_BYTES = 8192
CLOSE_GRACE_S = 0.05  # time for the tasks of open watches to end
GET = "GET"
HOSTS_PATH = "/discovery/hosts"
HEARTBEAT = b"1\r\n\n\r\n"  # an empty line as an HTTP chunk
Entry = dict[str, Any]  # a converter in the endpoint list, as a JSON object of the discovery protocol
Listing = dict[str, Any]  # a full list or changes to it, as a JSON object of the discovery protocol


def list_entry(plan: Plan, instance: Instance, state: ListState, unix_run_start_ms: int) -> Entry:
    """Return a converter's entry in the endpoint list; `unix_run_start_ms` is the Unix time at which the run began."""
    host, port = plan.converter_address(instance.index)
    group = instance.machine.group
    boot_ms = unix_run_start_ms + instance.start_us // 1000 if instance.start_us is not None else 0
    return {
        "uid": instance.uid,
        "endpoint": f"{host}:{port}",
        "az": group.zone,
        "model": group.model,
        "pod_group": instance.machine.pod,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


def initial_list(plan: Plan, timeline: Timeline) -> Listing:
    """Return the full list at the beginning of the run."""
    running_instances = [instance for instance in timeline.instances if instance.start_us is None]
    return {
        "rev": 1,
        "all": True,
        "targets": [list_entry(plan, instance, ListState.ACTIVE, 0) for instance in running_instances],
    }


class Registry:
    """The endpoint list of one agent, with the revision of each entry's last change. This class is pure."""

    def __init__(self, listing: Listing) -> None:
        """Start with a full list and its revision."""
        self.rev: int = listing["rev"]
        self.targets: dict[str, Entry] = {entry["uid"]: entry for entry in listing["targets"]}
        self.changed_rev_by_uid: dict[str, int] = {entry["uid"]: self.rev for entry in listing["targets"]}

    def apply_change(self, entry: Entry) -> bool:
        """Replace an entry, and return whether the list changed.

        A converter's state never returns to an earlier one, so an outdated notice that arrives late has no effect.
        """
        previous_entry = self.targets.get(entry["uid"])
        if previous_entry is not None and ListState(previous_entry["state"]).rank >= ListState(entry["state"]).rank:
            return False
        self.rev += 1
        self.targets[entry["uid"]] = entry
        self.changed_rev_by_uid[entry["uid"]] = self.rev
        return True

    def removed_uids(self) -> list[str]:
        """Return the uids of the converters that have left the list."""
        return [uid for uid, entry in self.targets.items() if entry["state"] == ListState.LEFT]

    def full_list(self) -> Listing:
        """Return the full list, without the converters that have left."""
        listed_entries = [entry for entry in self.targets.values() if entry["state"] != ListState.LEFT]
        return {"rev": self.rev, "all": True, "targets": listed_entries}

    def changes_since(self, rev: int) -> Listing:
        """Return the changes after a revision, or the full list if the revision is 0 or unknown to this agent."""
        if rev <= 0 or rev > self.rev:
            return self.full_list()
        changed_entries = [entry for uid, entry in self.targets.items() if self.changed_rev_by_uid[uid] > rev]
        return {"rev": self.rev, "all": False, "targets": changed_entries}


class AgentOwner(Protocol):
    """The parts of the discovery process that an agent uses."""

    plan: Plan
    clock: Clock
    records: RoleRecords


class Agent:
    """The discovery agent of one sidecar: a server for the endpoint list and for watches of its changes."""

    def __init__(self, owner: AgentOwner, sidecar: int, listing: Listing) -> None:
        """Start with the full list at the beginning of the run; `listen` opens the socket."""
        self.owner = owner
        self.sidecar = sidecar
        self.registry = Registry(listing)
        self._is_muted = False
        self._is_frozen = False  # changes are held back, and the list is served without them
        self._pending_changes: list[Entry] = []  # changes held back while the agent was muted, frozen or down
        self._server: asyncio.Server | None = None
        self._watches: dict[asyncio.StreamWriter, int] = {}  # the revision last sent on each watch
        self._writers: dict[asyncio.StreamWriter, None] = {}  # in the order in which the connections were opened

    async def listen(self) -> None:
        """Accept connections."""
        address, port = self.owner.plan.discovery_address(self.sidecar)
        self._server = await asyncio.start_server(self._serve, address, port, limit=MAX_HEAD_BYTES)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers[writer] = None
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._respond(head.split(b"\r\n")[0].decode("latin-1"), reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            pass
        finally:
            self._writers.pop(writer, None)
            self._watches.pop(writer, None)
            writer.close()

    async def _respond(self, request_line: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        method, _, target = request_line.partition(" ")
        url = urlsplit(target.split(" ")[0])
        query = parse_qs(url.query)
        since_rev = query.get("since", ["0"])[0]
        if method != GET or url.path != HOSTS_PATH or not since_rev.isdecimal():
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif query.get("follow") == ["1"]:
            await self._watch(int(since_rev), reader, writer)
        else:
            listing = self.registry.full_list()
            body = json.dumps(listing).encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
            writer.write(head + body)
            self._record_notices(listing)

    async def _watch(self, since_rev: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a watch until the client closes the connection, then raise ConnectionResetError."""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._watches[writer] = since_rev
        self._write_changes(writer)
        await reader.read()
        raise ConnectionResetError

    def _write_changes(self, writer: asyncio.StreamWriter) -> None:
        """Write the changes since the revision last sent on a watch."""
        if self._is_muted:
            return
        listing = self.registry.changes_since(self._watches[writer])
        self._watches[writer] = self.registry.rev
        line = json.dumps(listing).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        self._record_notices(listing)

    def _record_notices(self, listing: Listing) -> None:
        """Record the states that are sent to the sidecar. A full list implies that missing converters have left."""
        now_us = self.owner.clock.now_us()
        states = {entry["uid"]: entry["state"] for entry in listing["targets"]}
        if listing["all"]:
            states |= dict.fromkeys(self.registry.removed_uids(), ListState.LEFT)
        self.owner.records.notices += [
            EndpointNotice(self.sidecar, uid, state, now_us) for uid, state in states.items()
        ]

    def send_heartbeat(self) -> None:
        """Write an empty line to each watch."""
        if not self._is_muted:
            for writer in self._watches:
                writer.write(HEARTBEAT)

    async def apply(self, step: Step, entry: Entry | None) -> None:
        """Carry out one step of the fault schedule; `entry` is the changed converter if the step is a notification."""
        if step.action is FaultAction.NOTIFY and entry is not None:
            self._notify(entry)
        elif step.action is FaultAction.MUTE:
            self._is_muted = True
        elif step.action is FaultAction.FREEZE_LIST:
            self._is_frozen = True
        elif step.action is FaultAction.DOWN and self._server is not None:
            self._server.close()
            self._server = None
            self.end_connections()
        elif step.action is FaultAction.BREAK_WATCHES:
            self.end_connections()
        elif step.action in (FaultAction.RESUME_UPDATES, FaultAction.UP):
            await self._recover()

    def _notify(self, entry: Entry) -> None:
        if self._is_muted or self._is_frozen or self._server is None:
            self._pending_changes.append(entry)
        elif self.registry.apply_change(entry):
            self._write_changes_to_all()

    async def _recover(self) -> None:
        """Serve normally again, and send the changes that were held back."""
        self._is_muted = self._is_frozen = False
        for entry in self._pending_changes:
            self.registry.apply_change(entry)
        self._pending_changes.clear()
        if self._server is None:
            await self.listen()
        self._write_changes_to_all()

    def _write_changes_to_all(self) -> None:
        for writer in list(self._watches):
            self._write_changes(writer)

    def end_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()


class DiscoveryRole:
    """The discovery agents of all sidecars of a run."""

    def __init__(self, plan: Plan, clock: Clock, timeline: Timeline) -> None:
        """Create an agent for each sidecar: a discovery agent of the platform, or an API server with EndpointSlices."""
        self.plan = plan
        self.clock = clock
        self.timeline = timeline
        self.records = RoleRecords("discovery")
        self.meter = LatenessMeter(clock)
        listing = initial_list(plan, timeline)
        agent_type = SlicesAgent if plan.world.discovery.slice_size else Agent
        self.agents = [agent_type(self, sidecar, listing) for sidecar in range(plan.world.sidecars.count)]

    async def start(self) -> None:
        """Accept connections at all agents."""
        for agent in self.agents:
            await agent.listen()

    async def run(self) -> RoleRecords:
        """Carry out the schedule's steps until the run ends, and return the records."""
        unix_run_start_ms = system.unix_ns() // 1_000_000 - self.clock.now_us() // 1000
        instances_by_uid = {instance.uid: instance for instance in self.timeline.instances}
        heartbeat_task = asyncio.create_task(self._send_heartbeats())
        for step in [step for step in self.timeline.steps if step.target is TargetKind.DISCOVERY]:
            await self.clock.sleep_until(step.at_us)
            self.meter.record(step.at_us)
            entry = (
                list_entry(self.plan, instances_by_uid[step.uid], step.state, unix_run_start_ms) if step.state else None
            )
            await self.agents[step.index].apply(step, entry)
            if step.action is not FaultAction.NOTIFY:
                text = f"discovery of sidecar {step.index}: {step.action.value}"
                self.records.events.append(RecordedEvent(self.clock.now_us(), text))
        await self.clock.sleep_until(self.plan.end_us)
        heartbeat_task.cancel()
        for agent in self.agents:
            agent.end_connections()
        await asyncio.sleep(CLOSE_GRACE_S)
        return self.records

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self.plan.world.discovery.heartbeat_s)
            for agent in self.agents:
                agent.send_heartbeat()
