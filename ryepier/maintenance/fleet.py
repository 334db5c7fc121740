"""The steps that an agent performs on converters, by calls to the operators' tooling that carry a fencing token.

The tooling stores the highest token that it has received for each converter and rejects lower ones. An agent that was
suspended and continues under an outdated lease therefore cannot change a converter.
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
    """A step on one converter. The values are sent to the tooling."""

    DRAIN = "drain"
    REMOVE = "remove"
    LIST = "list"
    STOP = "stop"
    START = "start"
    IN_FLIGHT = "in-flight"


DISCOVERY_ACTIONS = (Action.DRAIN, Action.REMOVE, Action.LIST)  # all other actions concern a converter's process


class FleetError(RyepierError):
    """A step was rejected or failed; the message has the reason."""


class FleetCall(msgspec.Struct, frozen=True):
    """A request for one step on one converter. `uid` identifies the incarnation to list, and is otherwise empty."""

    action: Action
    converter: str
    token: int
    uid: str = ""


class FleetReply(msgspec.Struct, frozen=True):
    """The outcome of a step. `rejection` says why the step was rejected, and is empty if it was performed.

    `in_flight` is the number of requests that the converter has not answered yet; `uid` identifies the incarnation
    that was started.
    """

    rejection: str = msgspec.field(name="refusal", default="")
    in_flight: int = 0
    uid: str = ""


class Fleet(Protocol):
    """The interface to the tooling that an agent uses."""

    async def perform(self, action: Action, converter: str, token: int, uid: str = "") -> FleetReply:
        """Perform one step. Raises FleetError if it was rejected or its outcome is unknown."""


class FencingTokens:
    """The highest fencing token received for each converter."""

    def __init__(self) -> None:
        """Start without any tokens, so that the first token of each converter is accepted."""
        self.highest_tokens: dict[str, int] = {}

    def rejection_reason(self, call: FleetCall) -> str:
        """Return why a call is rejected, or an empty string if it is allowed. Records the token of an allowed call."""
        highest_token = self.highest_tokens.get(call.converter, 0)
        if call.token < highest_token:
            return f"token {call.token} for {call.converter} is outdated; {highest_token} is the highest received"
        self.highest_tokens[call.converter] = call.token
        return ""


class SocketFleet:
    """Calls the tooling's two TCP servers: one changes discovery's list, one controls the converters' processes."""

    def __init__(self, discovery: Address, converters: Address) -> None:
        """Store the servers' addresses; a connection is opened for each step.

        `discovery` is the server for DISCOVERY_ACTIONS, `converters` the server for all other actions.
        """
        self.addresses = {action: discovery if action in DISCOVERY_ACTIONS else converters for action in Action}

    async def perform(self, action: Action, converter: str, token: int, uid: str = "") -> FleetReply:
        """Perform one step over a new connection. Raises FleetError."""
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
        """Send one call over a new connection and return its reply."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            write_message(writer, call)
            return msgspec.msgpack.decode(await read_message(reader), type=FleetReply)
        finally:
            writer.close()


def write_message(writer: asyncio.StreamWriter, message: FleetCall | FleetReply) -> None:
    """Write one message, preceded by its length."""
    body = msgspec.msgpack.encode(message)
    writer.write(len(body).to_bytes(LENGTH_BYTES, "big") + body)


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """Read one message and return its body without the length.

    Raises ValueError if the message exceeds MAX_FRAME_BYTES, OSError or EOFError if the connection ends.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > MAX_FRAME_BYTES:
        raise ValueError(f"a message of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
    return await reader.readexactly(length)
