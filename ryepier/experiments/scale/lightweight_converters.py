"""A process that stands for all converters and for discovery, for `scale-call`: each call is answered at once.

`python -m ryepier.experiments.scale.lightweight_converters SETUP`, with a `Setup` as JSON, prints a line once it
listens. All entries of a list have the one address: a sidecar knows its upstreams by their names.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import msgspec

from ryepier.sidecar import system

HEARTBEAT_S = 2.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone"
END = b"\r\n\r\n"


class Setup(msgspec.Struct, frozen=True):
    """What the process is told at its start."""

    converters: tuple[str, int]
    agents: dict[int, tuple[str, int]]  # by known converters, where their list is told


def listing(known: int, address: tuple[str, int]) -> dict[str, Any]:
    """A list of so many, in discovery's form, all long warm."""
    return {
        "rev": 1,
        "all": True,
        "targets": [
            {
                "uid": f"c-{number:04x}",
                "endpoint": f"{address[0]}:{address[1]}",
                "az": "a",
                "model": "mid",
                "pod_group": number // 3,
                "state": "active",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for number in range(known)
        ],
    }


class Converter(asyncio.Protocol):
    """A connection: an answer for each head; its calls have no body."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.pending = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        heads = (self.pending + data).split(END)
        self.pending = heads.pop()
        if heads:
            self.transport.write(ANSWER * len(heads))


class Agent:
    """Tells one list to whoever watches, and then that it is alive."""

    def __init__(self, lines: dict[str, Any]) -> None:
        data = json.dumps(lines).encode() + b"\n"
        self.first = b"%x\r\n%s\r\n" % (len(data), data)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(END)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(self.first)
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_S)
                writer.write(b"1\r\n\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def serve(setup: Setup) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Converter, sock=system.listen(setup.converters, 4096))]
    for known, address in setup.agents.items():
        servers.append(await asyncio.start_server(Agent(listing(known, setup.converters)).serve, *address))
    print("{}", flush=True)
    await loop.run_in_executor(None, sys.stdin.readline)


def main() -> None:
    asyncio.run(serve(msgspec.json.decode(sys.argv[1], type=Setup)))


if __name__ == "__main__":
    main()
