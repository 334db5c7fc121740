"""Stand-in discovery: one agent for each sidecar, told of changes at times of its own, holding watches open."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ryepier.emulator.process import Clock, LatenessMeter, Plan
from ryepier.emulator.records import EndpointNotice, RecordedEvent, RoleRecords
from ryepier.emulator.slices import SlicesAgent
from ryepier.emulator.timeline import FaultAction, Instance, Step, TargetKind, Timeline
from ryepier.sidecar import system

RANK = {"active": 0, "leaving": 1, "left": 2}  # a converter's states, none of which comes back
LONGEST_HEAD = 8192
CLOSING_S = 0.05  # for the open watches to see their end
Targets = dict[str, dict[str, Any]]


def target(plan: Plan, instance: Instance, state: str, unix_zero_ms: int) -> dict[str, Any]:
    """One entry of a list, in discovery's form."""
    host, port = plan.converter_address(instance.index)
    group = instance.machine.group
    boot_ms = unix_zero_ms + instance.start_us // 1000 if instance.start_us is not None else 0
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


def first_list(plan: Plan, timeline: Timeline) -> dict[str, Any]:
    """The list as it stands before the run."""
    targets = [target(plan, i, "active", 0) for i in timeline.instances if i.start_us is None]
    return {"rev": 1, "all": True, "targets": targets}


class Registry:
    """What one agent has been sent: the entries, each with the revision of its last change. Pure."""

    def __init__(self, listing: dict[str, Any]) -> None:
        self.rev: int = listing["rev"]
        self.targets: Targets = {entry["uid"]: entry for entry in listing["targets"]}
        self.changed_at: dict[str, int] = dict.fromkeys(self.targets, self.rev)

    def change(self, entry: dict[str, Any]) -> bool:
        """Whether it is news: states only go on, so a notice that was overtaken by a later one is none."""
        known = self.targets.get(entry["uid"])
        if known is not None and RANK[known["state"]] >= RANK[entry["state"]]:
            return False
        self.rev += 1
        self.targets[entry["uid"]] = entry
        self.changed_at[entry["uid"]] = self.rev
        return True

    def whole(self) -> dict[str, Any]:
        present = [entry for entry in self.targets.values() if entry["state"] != "left"]
        return {"rev": self.rev, "all": True, "targets": present}

    def since(self, rev: int) -> dict[str, Any]:
        """What changed after a revision; the whole list to one who has none, or one of another agent."""
        if rev <= 0 or rev > self.rev:
            return self.whole()
        changed = [entry for uid, entry in self.targets.items() if self.changed_at[uid] > rev]
        return {"rev": self.rev, "all": False, "targets": changed}


class Agent:
    """One sidecar's agent, on its socket."""

    def __init__(self, host: Host, sidecar: int, listing: dict[str, Any]) -> None:
        self.host = host
        self.sidecar = sidecar
        self.registry = Registry(listing)
        self.silent = False
        self.holds = False  # it keeps changes back, and hands out the list as it was
        self.late: list[dict[str, Any]] = []  # entries that came while it was silent, away or held them back
        self.server: asyncio.Server | None = None
        self.watches: dict[asyncio.StreamWriter, int] = {}  # each with the revision that it was last told
        self.writers: dict[asyncio.StreamWriter, None] = {}  # in the order of their coming, which a set has not

    async def listen(self) -> None:
        address, port = self.host.plan.discovery_address(self.sidecar)
        self.server = await asyncio.start_server(self.serve, address, port, limit=LONGEST_HEAD)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self.answer(head.split(b"\r\n")[0].decode("latin-1"), reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            pass
        finally:
            self.writers.pop(writer, None)
            self.watches.pop(writer, None)
            writer.close()

    async def answer(self, line: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        method, _, rest = line.partition(" ")
        url = urlsplit(rest.split(" ")[0])
        query = parse_qs(url.query)
        since = query.get("since", ["0"])[0]
        if method != "GET" or url.path != "/discovery/hosts" or not since.isdecimal():
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        if query.get("follow") == ["1"]:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches[writer] = int(since)
            self.tell(writer)
            await reader.read()
            raise ConnectionResetError
        body = json.dumps(self.registry.whole()).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        self.note(self.registry.whole())

    def tell(self, writer: asyncio.StreamWriter) -> None:
        """What a watch has not been told yet."""
        if self.silent:
            return
        lines = self.registry.since(self.watches[writer])
        self.watches[writer] = self.registry.rev
        data = json.dumps(lines).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.note(lines)

    def note(self, lines: dict[str, Any]) -> None:
        """It counts as told from the moment it was written; a whole list tells that what it lacks is gone."""
        now_us = self.host.clock.now_us()
        told = {entry["uid"]: entry["state"] for entry in lines["targets"]}
        if lines["all"]:
            told |= {uid: "left" for uid, entry in self.registry.targets.items() if entry["state"] == "left"}
        self.host.records.notices += [EndpointNotice(self.sidecar, uid, state, now_us) for uid, state in told.items()]

    def heartbeat(self) -> None:
        if not self.silent:
            for writer in self.watches:
                writer.write(b"1\r\n\n\r\n")

    async def take(self, step: Step, entry: dict[str, Any] | None) -> None:
        if step.action is FaultAction.NOTIFY and entry is not None:
            if self.silent or self.holds or self.server is None:
                self.late.append(entry)
            elif self.registry.change(entry):
                self.tell_all()
        elif step.action is FaultAction.MUTE:
            self.silent = True
        elif step.action is FaultAction.FREEZE_LIST:
            self.holds = True
        elif step.action is FaultAction.DOWN and self.server is not None:
            self.server.close()
            self.server = None
            self.end_connections()
        elif step.action is FaultAction.BREAK_WATCHES:
            self.end_connections()
        elif step.action in (FaultAction.RESUME_UPDATES, FaultAction.UP):
            self.silent = self.holds = False
            for late in self.late:
                self.registry.change(late)
            self.late.clear()
            if self.server is None:
                await self.listen()
            self.tell_all()

    def tell_all(self) -> None:
        for writer in list(self.watches):
            self.tell(writer)

    def end_connections(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()


class Host:
    """All agents of a run."""

    def __init__(self, plan: Plan, clock: Clock, timeline: Timeline) -> None:
        self.plan = plan
        self.clock = clock
        self.timeline = timeline
        self.records = RoleRecords("discovery")
        self.meter = LatenessMeter(clock)
        listing = first_list(plan, timeline)
        kind = SlicesAgent if plan.world.discovery.slice_size else Agent
        self.agents = [kind(self, sidecar, listing) for sidecar in range(plan.world.sidecars.count)]

    async def start(self) -> None:
        for agent in self.agents:
            await agent.listen()

    async def run(self) -> RoleRecords:
        """Carry out the steps until the run is over."""
        unix_zero_ms = system.unix_ns() // 1_000_000 - self.clock.now_us() // 1000
        by_uid = {instance.uid: instance for instance in self.timeline.instances}
        beating = asyncio.create_task(self.beat())
        for step in [step for step in self.timeline.steps if step.target is TargetKind.DISCOVERY]:
            await asyncio.sleep(max(0.0, (step.at_us - self.clock.now_us()) / 1e6))
            self.meter.note(step.at_us)
            entry = target(self.plan, by_uid[step.uid], step.state, unix_zero_ms) if step.uid else None
            await self.agents[step.index].take(step, entry)
            if step.action is not FaultAction.NOTIFY:
                self.records.events.append(
                    RecordedEvent(self.clock.now_us(), f"discovery of sidecar {step.index}: {step.action.value}")
                )
        await asyncio.sleep(max(0.0, (self.plan.end_us - self.clock.now_us()) / 1e6))
        beating.cancel()
        for agent in self.agents:
            agent.end_connections()
        await asyncio.sleep(CLOSING_S)
        return self.records

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(self.plan.world.discovery.heartbeat_s)
            for agent in self.agents:
                agent.heartbeat()
