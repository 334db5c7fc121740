"""Clock and socket functions of the operating system, kept in one module so that a simulation can replace them.

Callers look the names up in this module at each call, so a replacement applies to the whole process.
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
    """Return the monotonic time in seconds."""
    return monotonic_ns() / 1e9


def clock_us() -> int:
    """Return the monotonic time in microseconds, which is the clock that the decision module uses."""
    return monotonic_ns() // 1000
