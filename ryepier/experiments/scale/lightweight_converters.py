"""A process that emulates all converters and discovery agents for `scale-call`. It answers each call immediately.

`python -m ryepier.experiments.scale.lightweight_converters CONFIG`, with a `ConvertersConfig` as JSON, prints a line
once it listens. All entries of a list have the same address, as a sidecar tells its upstreams apart by their uids.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from typing import Any

import msgspec

from ryepier.sidecar import system

HEARTBEAT_INTERVAL_S = 2.0
POD_SIZE = 3  # converters per pod group
BACKLOG = 4096
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"
END_OF_HEAD = b"\r\n\r\n"


class ConvertersConfig(msgspec.Struct, frozen=True):
    """The addresses at which the process listens."""

    converters: tuple[str, int]
    agents: dict[int, tuple[str, int]]  # discovery agents by the number of converters that they list


def make_list(known_count: int, address: tuple[str, int]) -> dict[str, Any]:
    """Return a list of `known_count` warm converters at one address, in discovery's format."""
    return {
        "rev": 1,
        "all": True,
        "targets": [
            {
                "uid": f"c-{number:04x}",
                "endpoint": f"{address[0]}:{address[1]}",
                "az": "a",
                "model": "mid",
                "pod_group": number // POD_SIZE,
                "state": "active",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for number in range(known_count)
        ],
    }


class ConverterConnection(asyncio.Protocol):
    """The server's side of a connection to a converter. It answers each request head, as the calls have no body."""

    def __init__(self) -> None:
        """Create a connection that has not been established and has received no data yet."""
        self._transport: asyncio.Transport | None = None
        self._incomplete_head = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, to which the answers are written."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each complete request head."""
        assert self._transport is not None
        heads = (self._incomplete_head + data).split(END_OF_HEAD)
        self._incomplete_head = heads.pop()
        if heads:
            self._transport.write(ANSWER * len(heads))


class DiscoveryAgent:
    """An emulated discovery agent, which sends each watch the same list and then only heartbeats."""

    def __init__(self, listing: dict[str, Any]) -> None:
        """Create an agent that serves `listing`, which is encoded as one HTTP chunk."""
        line = json.dumps(listing).encode() + b"\n"
        self._first_chunk = b"%x\r\n%s\r\n" % (len(line), line)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the watch on one connection until it closes."""
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await reader.readuntil(END_OF_HEAD)
                writer.write(WATCH_HEAD)
                writer.write(self._first_chunk)
                while not writer.is_closing():
                    await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                    writer.write(HEARTBEAT)
        finally:
            writer.close()


async def serve(config: ConvertersConfig) -> None:
    """Listen at all addresses until a line is read from standard input or it ends."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(ConverterConnection, sock=system.listen(config.converters, BACKLOG))]
    for known_count, address in config.agents.items():
        agent = DiscoveryAgent(make_list(known_count, config.converters))
        servers.append(await asyncio.start_server(agent.serve, *address))
    print("{}", flush=True)
    await loop.run_in_executor(None, sys.stdin.readline)


def main() -> None:
    """Serve with the configuration in the first argument."""
    asyncio.run(serve(msgspec.json.decode(sys.argv[1], type=ConvertersConfig)))


if __name__ == "__main__":
    main()
