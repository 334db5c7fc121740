"""Free loopback ports for tests; each pytest-xdist worker uses a separate range."""

from __future__ import annotations

import itertools
import os
import socket
from collections.abc import Iterator

FIRST_PORT = 10_000
PORTS_PER_WORKER = 700
MAX_WORKERS = 32


def worker_ports() -> Iterator[int]:
    """Yield the ports of this worker's range in an endless cycle.

    The ranges lie below the system's ephemeral ports, which are used for outgoing connections.
    """
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    first_port = FIRST_PORT + int(worker) % MAX_WORKERS * PORTS_PER_WORKER
    for offset in itertools.count(os.getpid()):
        yield first_port + offset % PORTS_PER_WORKER


PORTS = worker_ports()


def free_port() -> int:
    """Return a loopback port on which nothing listens and that no other worker uses."""
    for port in itertools.islice(PORTS, PORTS_PER_WORKER):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port in this worker's range")
