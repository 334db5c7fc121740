"""A replica's settings, the state that it reads from disk, and the work that it returns to its embedding process."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.replication.messages import Entry, Envelope, HardState

DEFAULT_ELECTION_TICKS = 10
DEFAULT_HEARTBEAT_TICKS = 2


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """The settings of one replica; the members of a region are fixed.

    Each election timeout is drawn at random, from `election_ticks` to `2 * election_ticks - 1`. `seed` seeds the
    replica's random generator.
    """

    name: str
    members: tuple[str, ...]
    seed: int
    election_ticks: int = DEFAULT_ELECTION_TICKS
    heartbeat_ticks: int = DEFAULT_HEARTBEAT_TICKS

    @property
    def peers(self) -> tuple[str, ...]:
        """The names of all members except this replica."""
        return tuple(member for member in self.members if member != self.name)

    @property
    def majority(self) -> int:
        """The number of members that form a quorum."""
        return len(self.members) // 2 + 1


@dataclass(frozen=True, slots=True)
class DurableState:
    """The state that a replica reads from its disk at start."""

    hard_state: HardState = HardState()
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class CommittedEntry:
    """A committed entry, which every later leader has in its log; indexes begin at 1."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class Ready:
    """The work that the embedding process has to carry out, in the order of the fields.

    First, `hard_state` is made durable (unless it is None), and so is the log, whose entries from `first_index` on are
    replaced by `entries` (unless `first_index` is 0). Then `messages` are sent, and finally `committed_entries` are
    applied to the ledger.
    """

    hard_state: HardState | None
    first_index: int
    entries: tuple[Entry, ...]
    messages: tuple[Envelope, ...]
    committed_entries: tuple[CommittedEntry, ...]

    @property
    def must_store(self) -> bool:
        """Whether there is state to write to the disk."""
        return self.hard_state is not None or self.first_index > 0
