"""The steps that an agent does to converters, over a socket of the operators' tooling: each has a fencing token.

The far end keeps the highest token that it has seen of each converter and rejects a lower one, so that an agent that
was stopped and goes on with an old lease changes nothing.
"""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol

import msgspec

from ryepier.errors import RyepierError
from ryepier.maintenance.address import Address

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024
STEP_TIMEOUT_S = 10.0


class Action(enum.StrEnum):
    """A step on one converter, as it is sent."""

    DRAIN = "drain"
    REMOVE = "remove"
    LIST = "list"
    STOP = "stop"
    START = "start"
    IN_FLIGHT = "in-flight"


DISCOVERY_ACTIONS = (Action.DRAIN, Action.REMOVE, Action.LIST)  # the others go to the converters' processes


class FleetError(RyepierError):
    """A step that was not done, with the reason in one line."""


class FleetCall(msgspec.Struct, frozen=True):
    """One step on one converter; `uid` names its new incarnation where that is listed."""

    action: Action
    converter: str
    token: int
    uid: str = ""


class FleetReply(msgspec.Struct, frozen=True):
    """The outcome of a step; it was done where `rejection` is empty.

    `in_flight` counts the requests that the converter has not answered; `uid` is the incarnation that was started.
    """

    rejection: str = msgspec.field(name="refusal", default="")
    in_flight: int = 0
    uid: str = ""


class Fleet(Protocol):
    """The tooling that an agent uses."""

    async def perform(self, action: Action, converter: str, token: int, uid: str = "") -> FleetReply:
        """Do one step. Raises FleetError where it was rejected or its outcome is unknown."""


class FencingTokens:
    """The highest token that was seen of each converter."""

    def __init__(self) -> None:
        """Begin without any token."""
        self.highest: dict[str, int] = {}

    def rejection_reason(self, call: FleetCall) -> str:
        """Return why a call is rejected; empty where it may be done."""
        highest = self.highest.get(call.converter, 0)
        if call.token < highest:
            return f"token {call.token} for {call.converter} is old; {highest} was seen"
        self.highest[call.converter] = call.token
        return ""


class SocketFleet:
    """The tooling at the far end of sockets: one for discovery's list, one for the converters' processes."""

    def __init__(self, discovery: Address, converters: Address) -> None:
        """Know where both listen."""
        self.addresses = {action: discovery if action in DISCOVERY_ACTIONS else converters for action in Action}

    async def perform(self, action: Action, converter: str, token: int, uid: str = "") -> FleetReply:
        """Do one step over a connection of its own. Raises FleetError."""
        try:
            async with asyncio.timeout(STEP_TIMEOUT_S):
                reply = await self._request(self.addresses[action], FleetCall(action, converter, token, uid))
        except (OSError, EOFError, TimeoutError, msgspec.MsgspecError, ValueError) as error:
            raise FleetError(f"{action} {converter}: {type(error).__name__}: {error}") from None
        if reply.rejection:
            raise FleetError(f"{action} {converter}: {reply.rejection}")
        return reply

    @staticmethod
    async def _request(address: Address, call: FleetCall) -> FleetReply:
        """Send one call and return its reply."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            write_message(writer, call)
            return msgspec.msgpack.decode(await read_message(reader), type=FleetReply)
        finally:
            writer.close()


def write_message(writer: asyncio.StreamWriter, message: FleetCall | FleetReply) -> None:
    """Write one message with its length."""
    body = msgspec.msgpack.encode(message)
    writer.write(len(body).to_bytes(LENGTH_BYTES, "big") + body)


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """Read one message without its length. Raises ValueError where it is too long, and OSError, EOFError."""
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > MAX_FRAME_BYTES:
        raise ValueError(f"a message of {length} bytes; {MAX_FRAME_BYTES} are allowed")
    return await reader.readexactly(length)
