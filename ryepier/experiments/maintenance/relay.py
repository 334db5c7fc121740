"""A relay between regions that can partition them, and that delays, duplicates and reorders frames."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager

from ryepier.maintenance.address import Address
from ryepier.maintenance.transport import LENGTH_BYTES, MAX_FRAME_BYTES

DELAY_RANGE_S = (0.0, 0.25)
DUPLICATED_FRACTION = 0.8  # fraction of the calls that are sent twice
DUPLICATE_DELAY_RANGE_S = (0.0, 1.5)  # delay of the second copy of a call after the first one


class Relay:
    """Relays the connections of callers in another region to one coordinator.

    Calls are delayed, some are duplicated, and they can overtake one another. The first frame of a connection, its
    greeting, and all replies are relayed unchanged, because a caller has only one outstanding call at a time.
    """

    def __init__(self, listen_address: Address, target_address: Address, seed: int) -> None:
        """Relay from `listen_address` to `target_address` with random delays drawn from `seed`.

        It does not listen until `start`.
        """
        self.listen_address = listen_address
        self.target_address = target_address
        self.random = random.Random(seed)
        self.is_partitioned = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.delayed_writes: set[asyncio.Task[None]] = set()
        self.duplicated_frames = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for connections. Raises OSError."""
        self.server = await asyncio.start_server(self._serve, *self.listen_address)

    def partition(self) -> None:
        """Abort all connections, and abort new ones until `heal`."""
        self.is_partitioned = True
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Accept connections again."""
        self.is_partitioned = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay the connection of one caller."""
        if self.is_partitioned:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target_address)
        except OSError:
            writer.transport.abort()
            return
        with self._track(writer, target_writer):
            await asyncio.gather(self._relay_calls(reader, target_writer), self._relay_replies(target_reader, writer))

    @contextmanager
    def _track(self, *writers: asyncio.StreamWriter) -> Iterator[None]:
        """Track both ends of a connection while they are open, and close both when one has ended."""
        self.writers.update(writers)
        try:
            yield
        except (OSError, EOFError):
            pass
        finally:
            self.writers.difference_update(writers)
            for writer in writers:
                writer.close()

    async def _relay_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay the greeting immediately and each call after a delay, some calls twice."""
        writer.write(await read_frame(reader))
        while True:
            frame = await read_frame(reader)
            delay_s = self.random.uniform(*DELAY_RANGE_S)
            self._send_later(writer, frame, delay_s)
            if self.random.random() < DUPLICATED_FRACTION:
                self.duplicated_frames += 1
                self._send_later(writer, frame, delay_s + self.random.uniform(*DUPLICATE_DELAY_RANGE_S))

    def _send_later(self, writer: asyncio.StreamWriter, frame: bytes, delay_s: float) -> None:
        """Write a frame after a delay, unless the connection has closed by then."""
        task = asyncio.create_task(_write_after(writer, frame, delay_s))
        self.delayed_writes.add(task)
        task.add_done_callback(self.delayed_writes.discard)

    @staticmethod
    async def _relay_replies(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay replies as they arrive."""
        while True:
            writer.write(await read_frame(reader))


async def _write_after(writer: asyncio.StreamWriter, frame: bytes, delay_s: float) -> None:
    """Write a frame after a delay, unless the connection has closed by then."""
    await asyncio.sleep(delay_s)
    if not writer.is_closing():
        writer.write(frame)


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read one frame and return it with its length prefix. Raises EOFError, also if it is too long, and OSError."""
    length_prefix = await reader.readexactly(LENGTH_BYTES)
    length = int.from_bytes(length_prefix, "big")
    if length > MAX_FRAME_BYTES:
        raise EOFError(f"frame of {length} bytes is longer than the maximum")
    return length_prefix + await reader.readexactly(length)
