"""Clock and socket functions of the operating system, kept in one module so that a simulation can replace them.

Callers look the names up in this module at each call, so a replacement applies to the whole process.
"""

from __future__ import annotations

import contextlib
import resource
import socket
import struct
import sys
import time
from collections.abc import Callable

Address = tuple[str, int]  # host, port

# struct tcp_info of Linux: of a listening socket, tcpi_unacked is the length of the queue that accept(2) takes from
TCP_STATE_LISTEN = 10
TCP_UNACKED_FORMAT = struct.Struct("=24xI")
TCP_INFO: int | None = getattr(socket, "TCP_INFO", None) if sys.platform == "linux" else None
TCP_QUICKACK: int | None = getattr(socket, "TCP_QUICKACK", None)  # socket option, only on Linux


def _tcp_socket(family: int) -> socket.socket:
    return socket.socket(family, socket.SOCK_STREAM)


def _listen(address: Address, backlog: int) -> socket.socket:
    return socket.create_server(address, backlog=backlog)


def _accept_queue_length(sock: socket.socket) -> int | None:
    """Return how many connections wait to be accepted from a listener; None if the system does not report it."""
    if TCP_INFO is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, TCP_INFO, TCP_UNACKED_FORMAT.size)
    except OSError:
        return None
    if len(info) < TCP_UNACKED_FORMAT.size or info[0] != TCP_STATE_LISTEN:
        return None
    length: int = TCP_UNACKED_FORMAT.unpack(info)[0]
    return length


def acknowledge_received(sock: socket.socket) -> None:
    """Acknowledge the bytes that were read from a TCP socket at once.

    Linux delays acknowledgements by up to 40 ms to send them with the next data (RFC 1122, section 4.2.3.2), and a peer
    without TCP_NODELAY holds back its next small write until then. The option does not stay set (tcp(7)). Does nothing
    where it does not exist.
    """
    if TCP_QUICKACK is not None:
        with contextlib.suppress(OSError):  # the connection is broken, or the system has no such option
            sock.setsockopt(socket.IPPROTO_TCP, TCP_QUICKACK, 1)


def _resident_bytes() -> int:
    """Return the resident memory of this process with file pages, or 0 where the system does not report it."""
    try:
        with open("/proc/self/statm", encoding="ascii") as statistics:
            return int(statistics.read().split()[1]) * resource.getpagesize()
    except OSError:
        return 0


monotonic_ns: Callable[[], int] = time.monotonic_ns
unix_ns: Callable[[], int] = time.time_ns
tcp_socket: Callable[[int], socket.socket] = _tcp_socket
listen: Callable[[Address, int], socket.socket] = _listen
accept_queue_length: Callable[[socket.socket], int | None] = _accept_queue_length
resident_bytes: Callable[[], int] = _resident_bytes


def monotonic() -> float:
    """Return the monotonic time in seconds."""
    return monotonic_ns() / 1e9


def clock_us() -> int:
    """Return the monotonic time in microseconds, which is the clock that the decision module uses."""
    return monotonic_ns() // 1000
