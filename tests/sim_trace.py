"""Runs the real sidecar in simulation for each seed given as an argument.

Prints a line per seed: the seed, a hash of the traffic, and the number of served requests. One of the four converters
resets some connections, and another one is drained. The sidecar learns the endpoints from a watch on discovery.
"""

from __future__ import annotations

import asyncio
import functools
import hashlib
import json
import random
import sys
import tempfile
from pathlib import Path

from ryepier.sidecar.config import load
from ryepier.sidecar.serving import serve
from ryepier.sim.run import SimLoop, simulate
from tests.network_peers import SETTINGS, endpoint_list, read_message, write_configuration

CLASSES = [
    {"name": "pay", "aim": 400000, "deadline": 1200000, "effect": "at_most_once", "worth": 10.0},
    {"name": "look", "aim": 400000, "deadline": 1200000, "effect": "idempotent", "worth": 1.0},
]
REQUEST_COUNT = 200
DISCOVERY_ADDRESS = ("10.1.0.1", 8500)


def endpoint_entry(number: int, state: str = "active") -> dict[str, object]:
    return {
        "uid": f"c{number}",
        "endpoint": f"10.0.0.{number}:9000",
        "az": "a",
        "model": "m",
        "pod_group": number,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


class Scenario:
    """A simulated run with converters, discovery, a sidecar and its clients."""

    def __init__(self, loop: SimLoop, seed: int, folder: Path) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.trace_hash = hashlib.blake2b()
        self.served_count = 0
        self.config = load(
            str(
                write_configuration(
                    folder, known=None, settings=SETTINGS | {"request-classes": CLASSES, "registry-mode": "pushed"}
                )
            )
        )
        self.config.listen, self.config.discovery = ("10.2.0.1", 80), DISCOVERY_ADDRESS

    def record(self, *details: object) -> None:
        self.trace_hash.update(repr((round(self.loop.time() * 1e9), *details)).encode())

    async def serve_converter(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, body = await read_message(reader)
                self.record("converter", number, head, body)
                await asyncio.sleep(self.random.uniform(0.005, 0.03))
                if number == 1 and self.random.random() < 0.2:
                    writer.transport.abort()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        initial_list = endpoint_list(*(endpoint_entry(number) for number in range(1, 5)))
        for delay_s, update in (
            (0.0, initial_list),
            (1.0, endpoint_list(endpoint_entry(2, "leaving"), rev=2, full=False)),
            (2.0, None),
            (4.0, None),
        ):
            await asyncio.sleep(delay_s)
            data = (json.dumps(update) if update else "").encode() + b"\n"
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def send_request(self, number: int) -> None:
        await asyncio.sleep(0.3 + self.random.uniform(0, 3.0))
        reader, writer = await asyncio.open_connection(*self.config.listen)
        class_name, method = (("look", "GET"), ("pay", "POST"))[number % 2]
        body = b"" if method == "GET" else b"b"
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        writer.write(
            f"{method} /{class_name}/{number} HTTP/1.1\r\nHost: x\r\nX-Request-Id: r{number}\r\n"
            f"X-Class: {class_name}\r\nX-Deadline-Ms: 1000\r\n{length}\r\n".encode()
            + body
        )
        head = await reader.readuntil(b"\r\n\r\n")
        self.record("client", number, head)
        self.served_count += b" 200 " in head
        writer.close()

    async def main(self) -> None:
        for number in range(1, 5):
            await asyncio.start_server(functools.partial(self.serve_converter, number), f"10.0.0.{number}", 9000)
        await asyncio.start_server(self.serve_discovery, *DISCOVERY_ADDRESS)
        stop_event = asyncio.Event()
        serve_task = asyncio.create_task(serve(self.config, stop_event, asyncio.Event()))
        await asyncio.gather(*(self.send_request(number) for number in range(REQUEST_COUNT)))
        stop_event.set()
        await serve_task


def run_scenario(seed: int, folder: Path) -> str:
    scenarios: list[Scenario] = []

    async def main(loop: SimLoop) -> None:
        scenarios.append(Scenario(loop, seed, folder))
        await scenarios[0].main()

    simulate(seed, main)
    return f"{seed} {scenarios[0].trace_hash.hexdigest()[:32]} {scenarios[0].served_count}"


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder_name:
        for seed_text in sys.argv[1:]:
            print(run_scenario(int(seed_text), Path(folder_name)), flush=True)
