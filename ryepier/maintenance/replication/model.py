"""What a replica is configured with, finds on its disk, and hands to the process that embeds it."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.replication.messages import Entry, Envelope, HardState

DEFAULT_ELECTION_TICKS = 10
DEFAULT_HEARTBEAT_TICKS = 2


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """A replica's place among the fixed members. An election timeout is drawn from once to twice `election_ticks`."""

    name: str
    members: tuple[str, ...]
    seed: int
    election_ticks: int = DEFAULT_ELECTION_TICKS
    heartbeat_ticks: int = DEFAULT_HEARTBEAT_TICKS

    @property
    def peers(self) -> tuple[str, ...]:
        """The other members."""
        return tuple(member for member in self.members if member != self.name)

    @property
    def majority(self) -> int:
        """How many members are a quorum."""
        return len(self.members) // 2 + 1


@dataclass(frozen=True, slots=True)
class DurableState:
    """What a replica finds on its disk."""

    hard_state: HardState = HardState()
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class CommittedEntry:
    """An entry that no later leader can lack; indexes begin at 1."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class Ready:
    """What the embedding process has to do now, in this order.

    First make `hard_state` (None: unchanged) durable, and the log from `first_index` on, which `entries` replace
    (`first_index` 0: the log is unchanged); then send `messages`; then apply `committed`.
    """

    hard_state: HardState | None
    first_index: int
    entries: tuple[Entry, ...]
    messages: tuple[Envelope, ...]
    committed: tuple[CommittedEntry, ...]

    @property
    def must_store(self) -> bool:
        """Whether the disk has to be written."""
        return self.hard_state is not None or self.first_index > 0
