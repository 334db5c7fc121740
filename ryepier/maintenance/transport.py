"""Frames over TCP: four bytes of length, highest first, and one MessagePack map whose `type` names it."""

from __future__ import annotations

import asyncio

import msgspec

from ryepier.maintenance.api import ClientHello, Frame, PeerHello

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # that a peer may leave unread; further frames to it are dropped

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class TransportError(Exception):
    """Bytes that are no frame; one line that says why."""


def encode(frame: Frame) -> bytes:
    """One frame with its length. Raises TransportError where it is longer than the other side takes."""
    body = _encoder.encode(frame)
    if len(body) > MAX_FRAME_BYTES:
        raise TransportError(f"a frame of {len(body)} bytes; {MAX_FRAME_BYTES} are allowed")
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode(body: bytes) -> Frame:
    """A frame without its length. Raises TransportError."""
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise TransportError(f"unreadable frame: {error}") from None


class Connection:
    """An open connection that carries frames."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Use a pair of streams."""
        self.reader = reader
        self.writer = writer

    @classmethod
    async def dial(cls, address: tuple[str, int], hello: PeerHello | ClientHello) -> Connection:
        """Connect and greet. Raises OSError."""
        connection = cls(*await asyncio.open_connection(*address))
        connection.send(hello)
        return connection

    def send(self, frame: Frame) -> None:
        """Send without waiting; dropped where the other side does not read."""
        if self.writer.is_closing() or self.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return
        self.writer.write(encode(frame))

    async def receive(self) -> Frame:
        """The next frame. Raises TransportError, or OSError and EOFError at the connection's end."""
        size = int.from_bytes(await self.reader.readexactly(LENGTH_BYTES), "big")
        if size > MAX_FRAME_BYTES:
            raise TransportError(f"a frame of {size} bytes; {MAX_FRAME_BYTES} are allowed")
        return decode(await self.reader.readexactly(size))

    def close(self) -> None:
        """End it; what was sent before still goes out."""
        self.writer.close()
