"""What the sidecar takes from its machine, clocks and sockets: all in one place, so that a simulation can stand in.

The names here are looked up at each call; whoever stands in sets them for the whole process.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

Address = tuple[str, int]


def _tcp_socket(family: int) -> socket.socket:
    return socket.socket(family, socket.SOCK_STREAM)


def _listen(address: Address, backlog: int) -> socket.socket:
    return socket.create_server(address, backlog=backlog)


monotonic_ns: Callable[[], int] = time.monotonic_ns
unix_ns: Callable[[], int] = time.time_ns
tcp_socket: Callable[[int], socket.socket] = _tcp_socket
listen: Callable[[Address, int], socket.socket] = _listen


def monotonic() -> float:
    """Seconds; of the same clock as `monotonic_ns`."""
    return monotonic_ns() / 1e9
