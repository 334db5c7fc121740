"""The emulator's discovery and converters, with a socket by which agents take converters down and up at will.

Started by the rig as `python -m ryepier.experiments.maintenance.fleet_process PLAN OUT`. Each step that is done goes
into a journal beside OUT, which the experiments judge by.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from ryepier.emulator import converters, discovery, draws, role
from ryepier.emulator.process import Clock, Plan, monotonic_us
from ryepier.emulator.slices import SlicesAgent
from ryepier.emulator.timeline import FaultAction, Instance, ListState, Step, TargetKind, Timeline
from ryepier.maintenance.address import Address
from ryepier.maintenance.fleet import FencingTokens, FleetCall, FleetReply, read_message, write_message
from ryepier.sidecar import system

CONTROL_PORT = 7600
JOURNAL_SUFFIX = ".journal"
Handler = Callable[[FleetCall], Awaitable[FleetReply]]


class JournalLine(msgspec.Struct, frozen=True):
    """A step that was done to a converter; `at_us` on the clock that all processes of the machine share."""

    at_us: int
    action: str
    converter: str
    token: int


def control_address(plan: Plan, part: str) -> Address:
    """Where agents reach `discovery` or `converters`."""
    return Address(f"127.{plan.network}.251.{1 if part == 'discovery' else 2}", CONTROL_PORT)


def first_uid(place: int) -> str:
    """The uid of a converter's first life, which is its name."""
    return f"c-{place:04x}"


class ControlServer:
    """Takes agents' calls, refuses old tokens, and keeps the journal."""

    def __init__(self, address: tuple[str, int], journal: Path, handlers: dict[str, Handler]) -> None:
        """Serve these actions."""
        self.address = address
        self.journal = journal
        self.handlers = handlers
        self.tokens = FencingTokens()

    async def start(self) -> None:
        """Listen."""
        self.journal.write_bytes(b"")
        await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One call."""
        try:
            call = msgspec.msgpack.decode(await read_message(reader), type=FleetCall)
            write_message(writer, await self._answer(call))
        except (OSError, EOFError, ValueError, msgspec.MsgspecError):
            pass
        finally:
            writer.close()

    async def _answer(self, call: FleetCall) -> FleetReply:
        """Do it, unless its token is old."""
        refusal = self.tokens.rejection(call)
        if refusal:
            self.note("refused", call)
            return FleetReply(refusal)
        return await self.handlers[call.action](call)

    def note(self, action: str, call: FleetCall) -> None:
        """Write a step down."""
        line = JournalLine(monotonic_us(), action, call.converter, call.token)
        with self.journal.open("ab") as file:
            file.write(msgspec.json.encode(line) + b"\n")


class ControlledConverters(converters.Host):
    """Converters that are stopped and started by agents."""

    def __init__(self, plan: Plan, clock: Clock, timeline: Timeline) -> None:
        """Know each converter's present life."""
        super().__init__(plan, clock, timeline)
        self.present = {instance.uid: instance for instance in self.instances}
        self.incarnations = dict.fromkeys(self.present, 0)
        self.running = set(self.present)
        self.control = ControlServer(
            control_address(plan, "converters"),
            Path(sys.argv[2] + JOURNAL_SUFFIX),
            {"stop": self.stop_one, "start": self.start_again, "in-flight": self.in_flight},
        )

    async def start(self) -> None:
        """Come up, with the control socket."""
        await super().start()
        await self.control.start()

    async def stop_one(self, call: FleetCall) -> FleetReply:
        """End the process of a converter."""
        if call.converter in self.running:
            self.running.discard(call.converter)
            self.servers[self.present[call.converter].index].stop()
            self.control.note("stop", call)
        return FleetReply()

    async def start_again(self, call: FleetCall) -> FleetReply:
        """Start its next life, cold, at an address of its own."""
        name = call.converter
        if name not in self.running:
            old = self.present[name]
            self.incarnations[name] += 1
            index = old.index + self.plan.world.converter_count
            new = Instance(index, f"{name}.{self.incarnations[name]}", old.machine, self.clock.now_us())
            await self.start_one(new)
            self.present[name] = new
            self.running.add(name)
            self.control.note("start", call)
        return FleetReply(uid=self.present[name].uid)

    async def in_flight(self, call: FleetCall) -> FleetReply:
        """How many requests it has not answered."""
        return FleetReply(in_flight=len(self.servers[self.present[call.converter].index].in_flight))


class ControlledDiscovery(discovery.Host):
    """Discovery that lists converters as agents say."""

    def __init__(self, plan: Plan, clock: Clock, timeline: Timeline) -> None:
        """Know each converter's present life."""
        super().__init__(plan, clock, timeline)
        self.present = {instance.uid: instance for instance in timeline.instances}
        self.random = draws.stream(plan.seed, "maintenance notices")
        self.control = ControlServer(
            control_address(plan, "discovery"),
            Path(sys.argv[2] + JOURNAL_SUFFIX),
            {"drain": self.drain, "remove": self.remove, "list": self.list_one},
        )

    async def start(self) -> None:
        """Come up, with the control socket."""
        await super().start()
        await self.control.start()

    async def drain(self, call: FleetCall) -> FleetReply:
        """List it as draining."""
        self.control.note("drain", call)
        await self._notify_all(self.present[call.converter], ListState.LEAVING)
        return FleetReply()

    async def remove(self, call: FleetCall) -> FleetReply:
        """List it as gone."""
        await self._notify_all(self.present[call.converter], ListState.LEFT)
        return FleetReply()

    async def list_one(self, call: FleetCall) -> FleetReply:
        """List its new life as ready."""
        old = self.present[call.converter]
        life = int(call.uid.rpartition(".")[2])
        place = old.index % self.plan.world.converter_count
        index = place + life * self.plan.world.converter_count
        new = self.present[call.converter] = Instance(index, call.uid, old.machine, self.clock.now_us())
        await self._notify_all(new, ListState.ACTIVE)
        self.control.note("list", call)
        return FleetReply()

    async def _notify_all(self, instance: Instance, state: ListState) -> None:
        """Each sidecar's agent hears of it at a time of its own; returns once all have."""
        unix_zero_ms = system.unix_ns() // 1_000_000 - self.clock.now_us() // 1000
        entry = discovery.list_entry(self.plan, instance, state, unix_zero_ms)
        step = Step(self.clock.now_us(), TargetKind.DISCOVERY, 0, FaultAction.NOTIFY, uid=instance.uid, state=state)
        low, high = self.plan.world.discovery.late_ms

        async def notify(agent: discovery.Agent | SlicesAgent, delay_ms: float) -> None:
            await asyncio.sleep(delay_ms / 1000)
            await agent.apply(step, entry)

        await asyncio.gather(*(notify(agent, float(self.random.uniform(low, high))) for agent in self.agents))


def main() -> None:
    """One process of the emulator."""
    role.ROLES["converters"] = ControlledConverters
    role.ROLES["discovery"] = ControlledDiscovery
    role.main()


if __name__ == "__main__":
    main()
