"""A relay between regions that can cut, delay, double and reorder frames."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager

from ryepier.maintenance.transport import LENGTH_BYTES, MAX_FRAME_BYTES

DELAY_S = (0.0, 0.25)
DUPLICATED_FRACTION = 0.8  # share of frames that come again
DUPLICATE_DELAY_S = (0.0, 1.5)  # after the first


class Relay:
    """Stands before one coordinator, for callers of another region.

    The first frame of a connection, its greeting, and those that answer go through as they are: a caller has one call
    out at a time, so only calls can overtake one another.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int], seed: int) -> None:
        """Nothing is listened on yet."""
        self.listen = listen
        self.target = target
        self.random = random.Random(seed)
        self.is_partitioned = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.delayed_writes: set[asyncio.Task[None]] = set()
        self.duplicated = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, *self.listen)

    def partition(self) -> None:
        """End all connections, and accept no further ones until `heal`."""
        self.is_partitioned = True
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Carry frames again."""
        self.is_partitioned = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One caller's connection."""
        if self.is_partitioned:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        with self._track(writer, far_writer):
            await asyncio.gather(self._carry_calls(reader, far_writer), self._carry_replies(far_reader, writer))

    @contextmanager
    def _track(self, *writers: asyncio.StreamWriter) -> Iterator[None]:
        """Know both ends for as long as they are open."""
        self.writers.update(writers)
        try:
            yield
        except (OSError, EOFError):
            pass
        finally:
            self.writers.difference_update(writers)
            for writer in writers:
                writer.close()

    async def _carry_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Late, and some again later still."""
        writer.write(await read_frame(reader))
        while True:
            frame = await read_frame(reader)
            delay_s = self.random.uniform(*DELAY_S)
            self._send_later(writer, frame, delay_s)
            if self.random.random() < DUPLICATED_FRACTION:
                self.duplicated += 1
                self._send_later(writer, frame, delay_s + self.random.uniform(*DUPLICATE_DELAY_S))

    def _send_later(self, writer: asyncio.StreamWriter, frame: bytes, delay_s: float) -> None:
        """Write a frame after a while, unless the connection has ended."""
        task = asyncio.create_task(_write_after(writer, frame, delay_s))
        self.delayed_writes.add(task)
        task.add_done_callback(self.delayed_writes.discard)

    @staticmethod
    async def _carry_replies(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """As they come."""
        while True:
            writer.write(await read_frame(reader))


async def _write_after(writer: asyncio.StreamWriter, frame: bytes, delay_s: float) -> None:
    """Write a frame after a while."""
    await asyncio.sleep(delay_s)
    if not writer.is_closing():
        writer.write(frame)


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """One frame with its length. Raises EOFError, OSError."""
    head = await reader.readexactly(LENGTH_BYTES)
    size = int.from_bytes(head, "big")
    if size > MAX_FRAME_BYTES:
        raise EOFError(f"a frame of {size} bytes")
    return head + await reader.readexactly(size)
