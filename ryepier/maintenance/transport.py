"""Frames over TCP: four bytes of length, big-endian, and one MessagePack map whose `type` names it."""

from __future__ import annotations

import asyncio

import msgspec

from ryepier.errors import RyepierError
from ryepier.maintenance.address import Address
from ryepier.maintenance.api import ClientHello, Frame, PeerHello

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # that a peer may leave unread; further frames to it are dropped

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class TransportError(RyepierError):
    """Bytes that are not a frame, with the reason in one line."""


def encode(frame: Frame) -> bytes:
    """Return one frame with its length. Raises TransportError where it is longer than the other side accepts."""
    body = _encoder.encode(frame)
    _check_length(len(body))
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode(body: bytes) -> Frame:
    """Return the frame in bytes without their length. Raises TransportError."""
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise TransportError(f"unreadable frame: {error}") from None


def _check_length(length: int) -> None:
    """Raise TransportError for a frame that is too long."""
    if length > MAX_FRAME_BYTES:
        raise TransportError(f"a frame of {length} bytes; {MAX_FRAME_BYTES} are allowed")


class Connection:
    """An open connection that carries frames. One task at a time may receive."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Use a pair of streams."""
        self.reader = reader
        self.writer = writer

    @classmethod
    async def dial(cls, address: Address, hello: PeerHello | ClientHello) -> Connection:
        """Connect and greet. Raises OSError."""
        connection = cls(*await asyncio.open_connection(*address))
        connection.send(hello)
        return connection

    def send(self, frame: Frame) -> None:
        """Send without waiting; the frame is dropped where the other side does not read."""
        if self.writer.is_closing() or self.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return
        self.writer.write(encode(frame))

    async def receive(self) -> Frame:
        """Return the next frame. Raises TransportError, or OSError and EOFError at the connection's end."""
        length = int.from_bytes(await self.reader.readexactly(LENGTH_BYTES), "big")
        _check_length(length)
        return decode(await self.reader.readexactly(length))

    def close(self) -> None:
        """Close the connection; what was sent before is still transmitted."""
        self.writer.close()
