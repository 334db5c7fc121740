"""Runs the emulator's discovery and converters with a control socket, through which agents stop and start converters.

The harness starts each process as `python -m ryepier.experiments.maintenance.fleet_process PLAN OUT`. Every step that
was performed is written to a journal next to OUT, from which the experiments derive their claims.
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
from ryepier.maintenance.fleet import (
    Action,
    FencingTokens,
    FleetCall,
    FleetReply,
    read_message,
    write_message,
)
from ryepier.sidecar import system

CONTROL_PORT = 7600
CONTROL_SUBNET = 251
DISCOVERY_HOST, CONVERTERS_HOST = 1, 2  # last part of the addresses in `CONTROL_SUBNET`
REJECTED = "refused"  # written to the journal instead of the action if a call is rejected
JOURNAL_SUFFIX = ".journal"
Handler = Callable[[FleetCall], Awaitable[FleetReply]]


class JournalLine(msgspec.Struct, frozen=True):
    """A step on a converter, performed or rejected. `at_us` is a time of the machine's monotonic clock."""

    at_us: int
    action: str
    converter: str
    token: int


def discovery_control_address(plan: Plan) -> Address:
    """Return the address of the control socket of discovery."""
    return Address(f"127.{plan.network}.{CONTROL_SUBNET}.{DISCOVERY_HOST}", CONTROL_PORT)


def converters_control_address(plan: Plan) -> Address:
    """Return the address of the control socket of the converters."""
    return Address(f"127.{plan.network}.{CONTROL_SUBNET}.{CONVERTERS_HOST}", CONTROL_PORT)


def first_uid(index: int) -> str:
    """Return the uid of a converter's first incarnation, which is also the converter's name."""
    return f"c-{index:04x}"


class ControlServer:
    """Serves the calls of agents, rejects calls with outdated fencing tokens, and writes the journal."""

    def __init__(self, address: Address, journal: Path, handlers: dict[Action, Handler]) -> None:
        """Serve calls on `address` with the handler of their action; the server does not listen until `start`."""
        self.address = address
        self.journal = journal
        self.handlers = handlers
        self.tokens = FencingTokens()

    async def start(self) -> None:
        """Create an empty journal and listen. Raises OSError."""
        self.journal.write_bytes(b"")
        await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection, which carries a single call."""
        try:
            call = msgspec.msgpack.decode(await read_message(reader), type=FleetCall)
            write_message(writer, await self._handle_call(call))
        except (OSError, EOFError, ValueError, msgspec.MsgspecError):
            pass
        finally:
            writer.close()

    async def _handle_call(self, call: FleetCall) -> FleetReply:
        """Perform a call and return its reply. Reject the call if its token is outdated."""
        rejection = self.tokens.rejection_reason(call)
        if rejection:
            self.record(REJECTED, call)
            return FleetReply(rejection)
        return await self.handlers[call.action](call)

    def record(self, action: str, call: FleetCall) -> None:
        """Append a step to the journal."""
        line = JournalLine(monotonic_us(), action, call.converter, call.token)
        with self.journal.open("ab") as file:
            file.write(msgspec.json.encode(line) + b"\n")


class ControlledConverters(converters.ConverterRole):
    """The emulator's converters, which agents can stop and start."""

    def __init__(self, plan: Plan, clock: Clock, timeline: Timeline) -> None:
        """Start with the first incarnation of each converter as the current one, all of them running."""
        super().__init__(plan, clock, timeline)
        self.current_instances = {instance.uid: instance for instance in self.instances}
        self.incarnations = dict.fromkeys(self.current_instances, 0)
        self.running_names = set(self.current_instances)
        self.control_server = ControlServer(
            converters_control_address(plan),
            Path(sys.argv[2] + JOURNAL_SUFFIX),
            {
                Action.STOP: self.stop_converter,
                Action.START: self.start_next_incarnation,
                Action.IN_FLIGHT: self.count_in_flight,
            },
        )

    async def start(self) -> None:
        """Start the converters and the control server. Raises OSError."""
        await super().start()
        await self.control_server.start()

    async def stop_converter(self, call: FleetCall) -> FleetReply:
        """Stop a converter; do nothing if it is already stopped."""
        if call.converter in self.running_names:
            self.running_names.discard(call.converter)
            self.servers[self.current_instances[call.converter].index].stop()
            self.control_server.record(Action.STOP, call)
        return FleetReply()

    async def start_next_incarnation(self, call: FleetCall) -> FleetReply:
        """Start the next incarnation of a stopped converter, cold and at a new address, and reply with its uid."""
        name = call.converter
        if name not in self.running_names:
            old_instance = self.current_instances[name]
            self.incarnations[name] += 1
            index = old_instance.index + self.plan.world.converter_count
            new_instance = Instance(
                index, f"{name}.{self.incarnations[name]}", old_instance.machine, self.clock.now_us()
            )
            await self.start_instance(new_instance)
            self.current_instances[name] = new_instance
            self.running_names.add(name)
            self.control_server.record(Action.START, call)
        return FleetReply(uid=self.current_instances[name].uid)

    async def count_in_flight(self, call: FleetCall) -> FleetReply:
        """Reply with the number of requests that a converter has not answered yet."""
        return FleetReply(in_flight=len(self.servers[self.current_instances[call.converter].index].in_flight))


class ControlledDiscovery(discovery.DiscoveryRole):
    """The emulator's discovery, whose list of converters agents can change."""

    def __init__(self, plan: Plan, clock: Clock, timeline: Timeline) -> None:
        """Start with the first incarnation of each converter listed."""
        super().__init__(plan, clock, timeline)
        self.current_instances = {instance.uid: instance for instance in timeline.instances}
        self.random = draws.stream(plan.seed, "maintenance notices")
        self.control_server = ControlServer(
            discovery_control_address(plan),
            Path(sys.argv[2] + JOURNAL_SUFFIX),
            {
                Action.DRAIN: self.drain_converter,
                Action.REMOVE: self.remove_converter,
                Action.LIST: self.list_converter,
            },
        )

    async def start(self) -> None:
        """Start discovery and the control server. Raises OSError."""
        await super().start()
        await self.control_server.start()

    async def drain_converter(self, call: FleetCall) -> FleetReply:
        """Mark a converter as draining in the endpoint list."""
        self.control_server.record(Action.DRAIN, call)
        await self._notify_all(self.current_instances[call.converter], ListState.LEAVING)
        return FleetReply()

    async def remove_converter(self, call: FleetCall) -> FleetReply:
        """Remove a converter from the endpoint list."""
        await self._notify_all(self.current_instances[call.converter], ListState.LEFT)
        return FleetReply()

    async def list_converter(self, call: FleetCall) -> FleetReply:
        """Add the new incarnation of a converter to the endpoint list as ready."""
        old_instance = self.current_instances[call.converter]
        incarnation = int(call.uid.rpartition(".")[2])
        converter_index = old_instance.index % self.plan.world.converter_count
        index = converter_index + incarnation * self.plan.world.converter_count
        new_instance = self.current_instances[call.converter] = Instance(
            index, call.uid, old_instance.machine, self.clock.now_us()
        )
        await self._notify_all(new_instance, ListState.ACTIVE)
        self.control_server.record(Action.LIST, call)
        return FleetReply()

    async def _notify_all(self, instance: Instance, state: ListState) -> None:
        """Notify the discovery agent of each sidecar after a random delay, and return when all are notified."""
        unix_run_start_ms = system.unix_ns() // 1_000_000 - self.clock.now_us() // 1000
        entry = discovery.list_entry(self.plan, instance, state, unix_run_start_ms)
        step = Step(self.clock.now_us(), TargetKind.DISCOVERY, 0, FaultAction.NOTIFY, uid=instance.uid, state=state)
        min_delay_ms, max_delay_ms = self.plan.world.discovery.notice_delay_ms

        async def notify(agent: discovery.Agent | SlicesAgent, delay_ms: float) -> None:
            await asyncio.sleep(delay_ms / 1000)
            await agent.apply(step, entry)

        await asyncio.gather(
            *(notify(agent, float(self.random.uniform(min_delay_ms, max_delay_ms))) for agent in self.agents)
        )


def main() -> None:
    """Run the emulator process of the plan, with controlled converters and discovery."""
    role.ROLES["converters"] = ControlledConverters
    role.ROLES["discovery"] = ControlledDiscovery
    role.main()


if __name__ == "__main__":
    main()
