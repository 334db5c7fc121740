"""Detection of duplicate request ids."""

from __future__ import annotations

from ryepier.sidecar import system


class RecentRequestIds:
    """The ids of open requests and of recent ones that were sent, kept in two generations.

    Each rotation drops the older generation. Ids that no upstream has seen are discarded at once: one client can send
    any number of requests that are rejected, and their ids would fill the memory.
    """

    def __init__(self, period_s: float) -> None:
        """Start empty. Ids are remembered for at least `period_s`; no request may stay open for longer."""
        self.period_s = period_s
        self.current_generation: set[bytes] = set()
        self.previous_generation: set[bytes] = set()
        self.rotated_at = system.monotonic()

    def __len__(self) -> int:
        """Return how many ids are remembered."""
        return len(self.current_generation) + len(self.previous_generation)

    def discard(self, request_id: bytes) -> None:
        """Forget the id of a request that no upstream has seen."""
        self.current_generation.discard(request_id)
        self.previous_generation.discard(request_id)

    def add(self, request_id: bytes) -> bool:
        """Remember an id. Returns False if it is already known."""
        now = system.monotonic()
        if now > self.rotated_at + self.period_s:
            self.previous_generation = self.current_generation if now <= self.rotated_at + 2 * self.period_s else set()
            self.current_generation = set()
            self.rotated_at = now
        if request_id in self.current_generation or request_id in self.previous_generation:
            return False
        self.current_generation.add(request_id)
        return True
