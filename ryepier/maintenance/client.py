"""Calls a region's coordinators: finds the leader, and asks again where a replica is gone or leads no more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from ryepier.maintenance import commands
from ryepier.maintenance.api import (
    VERSION,
    Call,
    ClientHello,
    ClientKind,
    CommandCall,
    CommandReply,
    LeaseCall,
    NotLeaderReply,
    NoWindowReply,
    Rejection,
    Reply,
    StatusCall,
    StatusReply,
    UncertainReply,
)
from ryepier.maintenance.commands import Command
from ryepier.maintenance.results import Result
from ryepier.maintenance.transport import Connection, TransportError

ATTEMPT_TIMEOUT_S = 2.0  # for one replica to answer
RETRY_DELAY_S = 0.1  # before the next one is asked

MakeCall = Callable[[int], Call]  # from the call's number


class CallError(Exception):
    """No replica answered as a leader in time, or one refused; whether the call was committed is not known."""


class RegionClient:
    """One caller's connection to a region. Each call may be carried out more than once: commands stand that."""

    def __init__(self, region: str, replicas: Mapping[str, tuple[str, int]], name: str, kind: ClientKind) -> None:
        """Call as `name`; nothing is opened yet."""
        self.hello = ClientHello(VERSION, region, name, kind)
        self.replicas = dict(replicas)
        self.target = next(iter(self.replicas))
        self.connection: Connection | None = None
        self.number = 0
        self.lock = asyncio.Lock()

    async def command(self, command: Command, timeout_s: float) -> Result:
        """Commit a command. Raises CallError."""
        data = commands.encode(command)
        reply = await self._call(lambda number: CommandCall(number, data), timeout_s)
        if not isinstance(reply, CommandReply):
            raise CallError(f"answered a command with {type(reply).__name__}")
        return reply.result

    async def acquire_lease(self, lease: str, timeout_s: float) -> Result | None:
        """Ask for a window that is due; None where there is none. Raises CallError."""
        reply = await self._call(lambda number: LeaseCall(number, lease), timeout_s)
        if isinstance(reply, NoWindowReply):
            return None
        if not isinstance(reply, CommandReply):
            raise CallError(f"answered a request for a lease with {type(reply).__name__}")
        return reply.result

    async def status(self, timeout_s: float) -> StatusReply:
        """The region's state. Raises CallError."""
        reply = await self._call(StatusCall, timeout_s)
        if not isinstance(reply, StatusReply):
            raise CallError(f"answered a request for the status with {type(reply).__name__}")
        return reply

    def close(self) -> None:
        """End the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def _call(self, make: MakeCall, timeout_s: float) -> Reply:
        """Ask until a leader has answered."""
        last = "no replica was asked"
        try:
            async with asyncio.timeout(timeout_s), self.lock:
                while True:
                    try:
                        reply = await self._request_once(make)
                    except (OSError, EOFError, TimeoutError, TransportError) as error:
                        last = f"{self.target}: {type(error).__name__}: {error}"
                        self._switch_target("")
                    else:
                        if not isinstance(reply, NotLeaderReply | UncertainReply):
                            return reply
                        last = f"{self.target} does not lead"
                        self._switch_target(reply.leader if isinstance(reply, NotLeaderReply) else "")
                    await asyncio.sleep(RETRY_DELAY_S)
        except TimeoutError:
            self.close()
            raise CallError(f"no answer of region {self.hello.region} within {timeout_s:g} s; last {last}") from None

    async def _request_once(self, make: MakeCall) -> Reply:
        """Ask the present target once. Raises CallError where it refuses this caller."""
        async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
            if self.connection is None:
                self.connection = await Connection.dial(self.replicas[self.target], self.hello)
            self.number += 1
            call: Call = make(self.number)
            self.connection.send(call)
            while True:
                frame = await self.connection.receive()
                if isinstance(frame, Rejection):
                    raise CallError(f"{self.target}: {frame.reason}")
                if isinstance(frame, Reply) and frame.number == self.number:
                    return frame

    def _switch_target(self, leader: str) -> None:
        """Turn to the leader that was named, or else to the next replica."""
        if leader == self.target:
            return
        self.close()
        names = list(self.replicas)
        following = names[(names.index(self.target) + 1) % len(names)]
        self.target = leader if leader in self.replicas else following
