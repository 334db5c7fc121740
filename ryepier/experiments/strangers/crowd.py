"""A process of unknown peers: `python -m ryepier.experiments.strangers.crowd CONFIG`, with a `CrowdConfig` as JSON.

It prints a line once it is ready, begins when it reads one, and prints a `CrowdResult` as JSON at its end.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import time

import msgspec

from ryepier.experiments.strangers.inputs import INPUTS, StrangerInput

READ_BYTES = 64 * 1024
END_LIMIT_S = 8.0  # a peer leaves after this time, with or without an answer
RECONNECT_PAUSE_S = 0.1


class CrowdConfig(msgspec.Struct, frozen=True):
    """How many peers send which input where, and for how long."""

    address: tuple[str, int]
    kind: str  # a key of `INPUTS`
    count: int
    duration_s: float


class CrowdResult(msgspec.Struct):
    """What the peers got."""

    connections: int = 0
    answers: int = 0
    slowest_end_s: float = 0.0  # longest time from a connect to an error or close; of requests: to their answers


class Stranger:
    """One peer, which connects again whenever its connection ends."""

    def __init__(self, config: CrowdConfig, name: str, result: CrowdResult) -> None:
        """Prepare a peer whose `name` is part of its request ids; `result` is shared by all peers."""
        self.config = config
        self.name = name
        self.result = result

    async def run(self, until: float) -> None:
        """Connect and send until a time of the monotonic clock."""
        make_input = INPUTS[self.config.kind]
        while time.monotonic() < until:
            request_id = f"{self.name}-{self.result.connections}"
            self.result.connections += 1
            with contextlib.suppress(OSError):
                await self._send(make_input(request_id), until)
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _send(self, stranger_input: StrangerInput, until: float) -> None:
        connected_at = time.monotonic()
        reader, writer = await asyncio.open_connection(*self.config.address)
        writer.write(stranger_input.at_once)
        sender = asyncio.create_task(self._send_slowly(writer, stranger_input))
        try:
            while await self._is_answered(reader, connected_at) and stranger_input.answered:
                if time.monotonic() > until:
                    break
                connected_at = time.monotonic()
                writer.write(stranger_input.at_once)
        finally:
            sender.cancel()
            writer.transport.abort()

    @staticmethod
    async def _send_slowly(writer: asyncio.StreamWriter, stranger_input: StrangerInput) -> None:
        while stranger_input.slow_part:
            await asyncio.sleep(stranger_input.interval_s)
            writer.write(stranger_input.slow_part)

    async def _is_answered(self, reader: asyncio.StreamReader, since: float) -> bool:
        """Wait for an answer or a close, and return whether there was an answer."""
        data = b""
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(END_LIMIT_S):
                data = await reader.read(READ_BYTES)
        self.result.slowest_end_s = max(self.result.slowest_end_s, time.monotonic() - since)
        self.result.answers += bool(data)
        return bool(data)


async def run_crowd(config: CrowdConfig) -> CrowdResult:
    """Run all peers, and return what they got."""
    result = CrowdResult()
    until = time.monotonic() + config.duration_s
    await asyncio.gather(
        *(Stranger(config, f"{os.getpid()}-{index}", result).run(until) for index in range(config.count))
    )
    return result


def main() -> None:
    """Run with the configuration in the first argument."""
    config = msgspec.json.decode(sys.argv[1], type=CrowdConfig)
    print("{}", flush=True)
    sys.stdin.readline()
    print(msgspec.json.encode(asyncio.run(run_crowd(config))).decode(), flush=True)


if __name__ == "__main__":
    main()
