"""A client of a region's coordinators, which finds the leader and retries after failures and leader changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from ryepier.errors import RyepierError
from ryepier.maintenance import api, commands
from ryepier.maintenance.address import Address
from ryepier.maintenance.api import ClientKind, StatusReply
from ryepier.maintenance.commands import Command
from ryepier.maintenance.results import Result
from ryepier.maintenance.transport import Connection, TransportError

ATTEMPT_TIMEOUT_S = 2.0  # how long one replica may take to reply
RETRY_DELAY_S = 0.1

MakeCall = Callable[[int], api.Call]  # builds the frame of a call from the call's number


class CallError(RyepierError):
    """No leader replied in time, or a replica rejected the call. The command may have been committed nevertheless."""


class RegionClient:
    """A client's connection to one region.

    A retried call may be carried out more than once, which is safe because commands are idempotent. Several tasks may
    use one client; their calls are made one at a time.
    """

    def __init__(self, region: str, replicas: Mapping[str, Address], name: str, kind: ClientKind) -> None:
        """Start without a connection; the first call opens one to the first of `replicas`.

        The coordinators identify the client by `name`, and `kind` determines the commands that they accept from it.
        """
        self.hello = api.ClientHello(api.VERSION, region, name, kind)
        self.replicas = dict(replicas)
        self.target_replica = next(iter(self.replicas))
        self.connection: Connection | None = None
        self.last_call_number = 0
        self.call_lock = asyncio.Lock()

    async def command(self, command: Command, timeout_s: float) -> Result:
        """Have the leader commit a command, and return the result of applying it. Raises CallError."""
        data = commands.encode(command)
        reply = await self._call(lambda number: api.CommandCall(number, data), timeout_s)
        if not isinstance(reply, api.CommandReply):
            raise CallError(f"unexpected reply to a command: {type(reply).__name__}")
        return reply.result

    async def acquire_lease(self, lease: str, timeout_s: float) -> Result | None:
        """Request a lease on a window that is due; return None if no window is due. Raises CallError."""
        reply = await self._call(lambda number: api.LeaseCall(number, lease), timeout_s)
        if isinstance(reply, api.NoWindowReply):
            return None
        if not isinstance(reply, api.CommandReply):
            raise CallError(f"unexpected reply to a request for a lease: {type(reply).__name__}")
        return reply.result

    async def status(self, timeout_s: float) -> StatusReply:
        """Return the region's state. Raises CallError."""
        reply = await self._call(api.StatusCall, timeout_s)
        if not isinstance(reply, StatusReply):
            raise CallError(f"unexpected reply to a request for the status: {type(reply).__name__}")
        return reply

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def _call(self, make_call: MakeCall, timeout_s: float) -> api.Reply:
        """Send a call, and retry until a leader replies. Raises CallError on a rejection or after `timeout_s`."""
        last_failure = "no replica was called"
        try:
            async with asyncio.timeout(timeout_s), self.call_lock:
                while True:
                    try:
                        reply = await self._request_once(make_call)
                    except (OSError, EOFError, TimeoutError, TransportError) as error:
                        last_failure = f"{self.target_replica}: {type(error).__name__}: {error}"
                        self._switch_target("")
                    else:
                        if not isinstance(reply, api.NotLeaderReply | api.UncertainReply):
                            return reply
                        last_failure = f"{self.target_replica} is not the leader"
                        self._switch_target(reply.leader if isinstance(reply, api.NotLeaderReply) else "")
                    await asyncio.sleep(RETRY_DELAY_S)
        except TimeoutError:
            self.close()
            raise CallError(
                f"no reply from region {self.hello.region} within {timeout_s:g} s; last failure: {last_failure}"
            ) from None

    async def _request_once(self, make_call: MakeCall) -> api.Reply:
        """Send a call to the target replica and return its reply.

        Raises CallError if the replica rejects the call, or OSError, EOFError, TimeoutError or TransportError if no
        valid reply is received.
        """
        async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
            if self.connection is None:
                self.connection = await Connection.dial(self.replicas[self.target_replica], self.hello)
            self.last_call_number += 1
            self.connection.send(make_call(self.last_call_number))
            while True:
                frame = await self.connection.receive()
                if isinstance(frame, api.Rejection):
                    raise CallError(f"{self.target_replica}: {frame.reason}")
                if isinstance(frame, api.Reply) and frame.number == self.last_call_number:
                    return frame

    def _switch_target(self, leader: str) -> None:
        """Make `leader` the target if it is a known replica, otherwise the replica after the current target."""
        if leader == self.target_replica:
            return
        self.close()
        replica_names = list(self.replicas)
        next_replica = replica_names[(replica_names.index(self.target_replica) + 1) % len(replica_names)]
        self.target_replica = leader if leader in self.replicas else next_replica
