"""Accounts for the memory that client connections need for requests, so that their sum can be limited."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, TypeVar

Client = TypeVar("Client")

MEMORY_SHARE = 8  # requests may take one part in this many of the sidecar's memory
REMAINING_SHARE = 4  # and one part in this many of what is left; the rest is for connections and responses
MIN_BUFFERED_BYTES = 256 * 1024  # a few of the longest requests
BYTES_PER_MB = 1024 * 1024


def max_buffered_bytes(memory_mb: int, used_bytes: int) -> int:
    """Return how many bytes all requests of a sidecar may take, for its limit on memory in MiB.

    `used_bytes` is the memory in use before the first request: a long endpoint list leaves little of a small limit.
    """
    limit_bytes = memory_mb * BYTES_PER_MB
    remaining_bytes = limit_bytes - used_bytes
    return max(MIN_BUFFERED_BYTES, min(limit_bytes // MEMORY_SHARE, remaining_bytes // REMAINING_SHARE))


class RequestBuffers(Generic[Client]):
    """The bytes that each client connection buffers for its request, partial or open, and their sum."""

    def __init__(self, max_bytes: int) -> None:
        """Start with no requests; `max_bytes` limits the sum."""
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.bytes_by_client: dict[Client, int] = {}

    def set_buffered(self, client: Client, byte_count: int) -> None:
        """Set how many bytes a connection buffers now."""
        self.release(client)
        self.bytes_by_client[client] = byte_count
        self.total_bytes += byte_count

    def release(self, client: Client) -> None:
        """Record that a connection buffers nothing any more."""
        self.total_bytes -= self.bytes_by_client.pop(client, 0)

    @property
    def is_over_limit(self) -> bool:
        """Whether all requests together take more than their limit."""
        return self.total_bytes > self.max_bytes

    def largest_of(self, clients: Iterable[Client]) -> Client | None:
        """Return the one of `clients` that buffers the most bytes, or None if none of them buffers any."""
        candidates = [client for client in clients if client in self.bytes_by_client]
        return max(candidates, key=self.bytes_by_client.__getitem__, default=None)
