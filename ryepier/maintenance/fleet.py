"""What an agent does to converters, over a socket of the operators' tooling: every step carries a fencing token.

The far end keeps the highest token that it has seen of each converter and refuses a lower one, so that an agent that
was stopped and goes on with an old lease does nothing.
"""

from __future__ import annotations

import asyncio
from typing import Literal, Protocol

import msgspec

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024
STEP_TIMEOUT_S = 10.0

Action = Literal["drain", "remove", "list", "stop", "start", "in-flight"]


class FleetError(Exception):
    """A step that was not done; a line that says why."""


class FleetCall(msgspec.Struct, frozen=True):
    """One step for one converter; `uid` names its new life where that is listed."""

    action: Action
    converter: str
    token: int
    uid: str = ""


class FleetReply(msgspec.Struct, frozen=True):
    """Whether it was done. `in_flight` counts the requests that the converter has not answered; `uid` is the life
    that was started."""

    refusal: str = ""
    in_flight: int = 0
    uid: str = ""


class Fleet(Protocol):
    """The tooling that an agent uses."""

    async def do(self, action: Action, converter: str, token: int, uid: str = "") -> FleetReply:
        """Do one step. Raises FleetError where it was refused or its outcome is unknown."""


class FencingTokens:
    """The highest token that was seen of each converter."""

    def __init__(self) -> None:
        """Nothing has been seen."""
        self.highest: dict[str, int] = {}

    def refusal(self, call: FleetCall) -> str:
        """Why a call is refused; empty where it may be done."""
        highest = self.highest.get(call.converter, 0)
        if call.token < highest:
            return f"token {call.token} for {call.converter} is old; {highest} was seen"
        self.highest[call.converter] = call.token
        return ""


class SocketFleet:
    """The tooling at the far end of sockets: one for discovery's list, one for the converters' processes."""

    def __init__(self, discovery: tuple[str, int], converters: tuple[str, int]) -> None:
        """Know where both listen."""
        self.addresses: dict[Action, tuple[str, int]] = {
            "drain": discovery,
            "remove": discovery,
            "list": discovery,
            "stop": converters,
            "start": converters,
            "in-flight": converters,
        }

    async def do(self, action: Action, converter: str, token: int, uid: str = "") -> FleetReply:
        """Do one step over a connection of its own. Raises FleetError."""
        try:
            async with asyncio.timeout(STEP_TIMEOUT_S):
                reply = await self._request(self.addresses[action], FleetCall(action, converter, token, uid))
        except (OSError, EOFError, TimeoutError, msgspec.MsgspecError, ValueError) as error:
            raise FleetError(f"{action} {converter}: {type(error).__name__}: {error}") from None
        if reply.refusal:
            raise FleetError(f"{action} {converter}: {reply.refusal}")
        return reply

    @staticmethod
    async def _request(address: tuple[str, int], call: FleetCall) -> FleetReply:
        """One call and its reply."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            write_message(writer, call)
            return msgspec.msgpack.decode(await read_message(reader), type=FleetReply)
        finally:
            writer.close()


def write_message(writer: asyncio.StreamWriter, message: FleetCall | FleetReply) -> None:
    """One message with its length."""
    body = msgspec.msgpack.encode(message)
    writer.write(len(body).to_bytes(LENGTH_BYTES, "big") + body)


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """One message without its length. Raises ValueError where it is too long, and OSError, EOFError."""
    size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if size > MAX_FRAME_BYTES:
        raise ValueError(f"a message of {size} bytes; {MAX_FRAME_BYTES} are allowed")
    return await reader.readexactly(size)
