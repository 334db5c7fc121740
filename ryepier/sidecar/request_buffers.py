"""Accounts for the memory that client connections need for requests, so that their sum can be limited."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

Client = TypeVar("Client")

MEMORY_SHARE = 8  # requests may take one part in this many of the sidecar's memory
REMAINING_SHARE = 4  # and one part in this many of what is left; the rest is for connections and responses
MIN_BUFFERED_BYTES = 256 * 1024  # a few of the longest requests
CONNECTION_SHARE = 2  # client connections themselves may take one part in this many of what is left
CONNECTION_BYTES = 10 * 1024  # memory of a connection without a request
MIN_CONNECTIONS = 64
BYTES_PER_MB = 1024 * 1024


def max_buffered_bytes(memory_mb: int, used_bytes: int) -> int:
    """Return how many bytes all requests of a sidecar may take, for its limit on memory in MiB.

    `used_bytes` is the memory in use before the first request: a long endpoint list leaves little of a small limit.
    """
    limit_bytes = memory_mb * BYTES_PER_MB
    remaining_bytes = limit_bytes - used_bytes
    return max(MIN_BUFFERED_BYTES, min(limit_bytes // MEMORY_SHARE, remaining_bytes // REMAINING_SHARE))


def max_client_connections(max_descriptors: int, memory_mb: int, used_bytes: int) -> int:
    """Return how many connections clients may have open: half of the descriptors, or fewer if memory is short.

    `memory_mb` and `used_bytes` are those of `max_buffered_bytes`.
    """
    remaining_bytes = memory_mb * BYTES_PER_MB - used_bytes
    affordable = max(MIN_CONNECTIONS, remaining_bytes // CONNECTION_SHARE // CONNECTION_BYTES)
    return min(max_descriptors // 2, affordable)


@dataclass(slots=True)
class BufferedRequest:
    """A request that is buffered, partial or open."""

    byte_count: int
    since: float  # time of its first bytes


class RequestBuffers(Generic[Client]):
    """What each client connection buffers for its request, and the sum of the bytes."""

    def __init__(self, max_bytes: int) -> None:
        """Start with no requests; `max_bytes` limits the sum."""
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.requests: dict[Client, BufferedRequest] = {}

    def __contains__(self, client: Client) -> bool:
        """Return whether a connection buffers a request."""
        return client in self.requests

    def set_buffered(self, client: Client, byte_count: int, now: float) -> None:
        """Set how many bytes a connection buffers now."""
        request = self.requests.setdefault(client, BufferedRequest(0, now))
        self.total_bytes += byte_count - request.byte_count
        request.byte_count = byte_count

    def release(self, client: Client) -> None:
        """Record that a connection buffers nothing any more."""
        request = self.requests.pop(client, None)
        if request is not None:
            self.total_bytes -= request.byte_count

    @property
    def is_over_limit(self) -> bool:
        """Whether all requests together take more than their limit."""
        return self.total_bytes > self.max_bytes

    def costliest_of(self, clients: Iterable[Client], now: float) -> Client | None:
        """Return the one of `clients` with the most bytes times the time for which it has held them, or None.

        So a long request that arrives at once is preferred to those that arrive slowly or have stopped.
        """

        def cost(client: Client) -> tuple[float, int]:
            request = self.requests[client]
            return request.byte_count * (now - request.since), request.byte_count

        return max((client for client in clients if client in self.requests), key=cost, default=None)
