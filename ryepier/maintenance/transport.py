"""Frames over TCP: a length of four bytes, big-endian, and a MessagePack map whose `type` is the tag of the frame."""

from __future__ import annotations

import asyncio

import msgspec

from ryepier.errors import RyepierError
from ryepier.maintenance.address import Address
from ryepier.maintenance.api import ClientHello, Frame, PeerHello

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # send buffer limit; further frames to a receiver that does not read are dropped

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class TransportError(RyepierError):
    """An invalid or unexpected frame; the message has the reason."""


def encode(frame: Frame) -> bytes:
    """Return a frame's bytes, preceded by their length. Raises TransportError if they exceed MAX_FRAME_BYTES."""
    body = _encoder.encode(frame)
    _check_length(len(body))
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode(body: bytes) -> Frame:
    """Decode a frame from its bytes, which exclude the length. Raises TransportError if they are invalid."""
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise TransportError(f"unreadable frame: {error}") from None


def _check_length(length: int) -> None:
    """Raise TransportError if a frame exceeds MAX_FRAME_BYTES."""
    if length > MAX_FRAME_BYTES:
        raise TransportError(f"a frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")


class Connection:
    """An open connection that carries frames. One task at a time may receive."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send and receive frames on the streams of an open TCP connection; no hello is sent."""
        self.reader = reader
        self.writer = writer

    @classmethod
    async def dial(cls, address: Address, hello: PeerHello | ClientHello) -> Connection:
        """Connect to an address and send the hello. Raises OSError."""
        connection = cls(*await asyncio.open_connection(*address))
        connection.send(hello)
        return connection

    def send(self, frame: Frame) -> None:
        """Send a frame without waiting. Drops it if the connection is closing or the remote end does not read."""
        if self.writer.is_closing() or self.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return
        self.writer.write(encode(frame))

    async def receive(self) -> Frame:
        """Return the next frame. Raises TransportError if it is invalid, OSError or EOFError if the connection ends."""
        length = int.from_bytes(await self.reader.readexactly(LENGTH_BYTES), "big")
        _check_length(length)
        return decode(await self.reader.readexactly(length))

    def close(self) -> None:
        """Close the connection after the buffered frames have been sent."""
        self.writer.close()
