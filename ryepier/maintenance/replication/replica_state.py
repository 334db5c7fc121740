"""The state that all roles of a replica share: term, vote, log, role, election timer and pending output."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ryepier.maintenance.replication.messages import NO_MEMBER, Entry, Envelope, HardState, Message
from ryepier.maintenance.replication.model import CommittedEntry, DurableState, Ready, ReplicaSettings
from ryepier.maintenance.replication.roles import TRANSITIONS, Event, Role


@dataclass(slots=True)
class _PendingOutput:
    """The state changes and messages that have accumulated since the last `Ready`.

    `first_index` is the index from which the log has to be stored, 0 if the log is unchanged.
    """

    hard_state_changed: bool = False
    first_index: int = 0
    messages: list[Envelope] = field(default_factory=list)


class ReplicaState:
    """The state of one replica. Records every change that the next `Ready` has to store or send."""

    def __init__(self, settings: ReplicaSettings, durable_state: DurableState | None) -> None:
        """Start as a follower or learner from `durable_state`.

        `durable_state` is None if the disk is empty although the region already exists; the replica then starts as
        recovering.
        """
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.hard_state = durable_state.hard_state if durable_state is not None else HardState()
        self.log: list[Entry] = list(durable_state.entries) if durable_state is not None else []
        self.role = _initial_role(durable_state)
        self.leader = NO_MEMBER
        self.commit_index = 0
        self.applied_index = 0
        self.elapsed_ticks = 0
        self.timeout_ticks = 0
        self.pending_output = _PendingOutput()

    @property
    def term(self) -> int:
        """The current term, 0 before the first election."""
        return self.hard_state.term

    @property
    def last_index(self) -> int:
        """The index of the last entry, 0 for an empty log."""
        return len(self.log)

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index, 0 for index 0."""
        return self.log[index - 1].term if index > 0 else 0

    def change_role(self, event: Event) -> None:
        """Change the role as `TRANSITIONS` defines. Raises KeyError if the role has no transition for the event."""
        self.role = TRANSITIONS[self.role, event]

    def set_hard_state(self, term: int, voted_for: str, recovered_at_term: int) -> None:
        """Replace the hard state, which has to be stored before the next message is sent."""
        self.hard_state = HardState(term, voted_for, recovered_at_term)
        self.pending_output.hard_state_changed = True

    def enter_higher_term(self, term: int) -> None:
        """Enter a higher term that another member has started, without a vote or a known leader."""
        self.set_hard_state(term, NO_MEMBER, self.hard_state.recovered_at_term)
        self.change_role(Event.HIGHER_TERM)
        self.leader = NO_MEMBER

    def restart_election_timer(self) -> None:
        """Reset the elapsed ticks and draw the next election timeout."""
        min_ticks = self.settings.election_ticks
        self.timeout_ticks = self.random.randint(min_ticks, 2 * min_ticks - 1)
        self.elapsed_ticks = 0

    def append(self, *entries: Entry) -> int:
        """Append entries to the log, mark them for storing, and return the last index."""
        self._mark_for_storing(self.last_index + 1)
        self.log.extend(entries)
        return self.last_index

    def _mark_for_storing(self, index: int) -> None:
        """Record that the log has to be stored from an index on."""
        self.pending_output.first_index = min(self.pending_output.first_index or index, index)

    def send(self, receiver: str, message: Message) -> None:
        """Queue a message, which the embedding process sends after the pending state is stored."""
        self.pending_output.messages.append(Envelope(receiver, message))

    def take_ready(self) -> Ready:
        """Return the writes, messages and committed entries that have accumulated since the last call."""
        output, self.pending_output = self.pending_output, _PendingOutput()
        committed_entries = tuple(
            CommittedEntry(index, self.log[index - 1]) for index in range(self.applied_index + 1, self.commit_index + 1)
        )
        self.applied_index = self.commit_index
        return Ready(
            hard_state=self.hard_state if output.hard_state_changed else None,
            first_index=output.first_index,
            entries=tuple(self.log[output.first_index - 1 :]) if output.first_index else (),
            messages=tuple(output.messages),
            committed_entries=committed_entries,
        )


def _initial_role(durable_state: DurableState | None) -> Role:
    """Return the role in which a replica starts with this state on its disk."""
    if durable_state is None:
        return Role.RECOVERING
    return Role.LEARNER if durable_state.hard_state.recovered_at_term > 0 else Role.FOLLOWER
