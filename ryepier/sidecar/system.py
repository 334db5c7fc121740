"""Clocks and sockets of the machine, in one place, so that a simulation can replace them.

The names are looked up at each call; a replacement sets them for the whole process.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

Address = tuple[str, int]  # host, port


def _tcp_socket(family: int) -> socket.socket:
    return socket.socket(family, socket.SOCK_STREAM)


def _listen(address: Address, backlog: int) -> socket.socket:
    return socket.create_server(address, backlog=backlog)


monotonic_ns: Callable[[], int] = time.monotonic_ns
unix_ns: Callable[[], int] = time.time_ns
tcp_socket: Callable[[int], socket.socket] = _tcp_socket
listen: Callable[[Address, int], socket.socket] = _listen


def monotonic() -> float:
    """Return the time in seconds, on the clock of `monotonic_ns`."""
    return monotonic_ns() / 1e9


def clock_us() -> int:
    """Return the time in microseconds, on the clock of `monotonic_ns`; the decision module's clock."""
    return monotonic_ns() // 1000
