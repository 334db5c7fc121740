"""The state machines of leases and transfers, as tables of states, events and next states.

An event that is not listed for a state is rejected in that state. `print(LEASE_TABLE)` prints a table as
Markdown. The values of the enums are stored and sent over the network.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

State = TypeVar("State", bound=enum.StrEnum)
Event = TypeVar("Event", bound=enum.StrEnum)


@dataclass(frozen=True)
class TransitionTable(Generic[State, Event]):
    """A state machine as a mapping from state and event to the next state."""

    title: str
    transitions: Mapping[tuple[State, Event], State]

    def next_state(self, state: State, event: Event) -> State | None:
        """Return the next state, or None if the event is rejected."""
        return self.transitions.get((state, event))

    def __str__(self) -> str:
        """Return the table as Markdown, with one line per transition."""
        lines = [f"{self.title}", "", "| state | event | next state |", "| --- | --- | --- |"]
        lines += [f"| {state} | {event} | {next_state} |" for (state, event), next_state in self.transitions.items()]
        return "\n".join(lines)


class LeaseState(enum.StrEnum):
    """The state of a lease. Until it is CLOSED, its converters that have not recovered count as out of service."""

    GRANTED = "granted"  # the drain has not started
    DRAINING = "draining"  # the agent may have converters down
    RETURNING = "returning"  # the agent is done; converters still have to be observed ready and warm
    REVOKED = "called-off"  # no drain was started; converters still have to be observed ready and warm
    CLOSED = "closed"


class LeaseEvent(enum.StrEnum):
    """An event that changes the state of a lease."""

    START_DRAIN = "begin"
    TAKE_OVER = "take over"
    RELEASE = "release"
    REVOKE = "call off"
    ALL_RECOVERED = "all seen ready and warm"


LEASE_TABLE = TransitionTable(
    "Lease",
    {
        (LeaseState.GRANTED, LeaseEvent.START_DRAIN): LeaseState.DRAINING,
        (LeaseState.GRANTED, LeaseEvent.TAKE_OVER): LeaseState.GRANTED,
        (LeaseState.GRANTED, LeaseEvent.REVOKE): LeaseState.REVOKED,
        (LeaseState.DRAINING, LeaseEvent.START_DRAIN): LeaseState.DRAINING,
        (LeaseState.DRAINING, LeaseEvent.TAKE_OVER): LeaseState.DRAINING,
        (LeaseState.DRAINING, LeaseEvent.RELEASE): LeaseState.RETURNING,
        (LeaseState.RETURNING, LeaseEvent.RELEASE): LeaseState.RETURNING,
        (LeaseState.RETURNING, LeaseEvent.ALL_RECOVERED): LeaseState.CLOSED,
        (LeaseState.REVOKED, LeaseEvent.REVOKE): LeaseState.REVOKED,
        (LeaseState.REVOKED, LeaseEvent.ALL_RECOVERED): LeaseState.CLOSED,
    },
)


class TransferState(enum.StrEnum):
    """The state of a transfer as known to its giver or to its receiver."""

    UNKNOWN = "unknown"
    DEBITED = "debited"  # giver: subtracted from the allowance; resent until acknowledged
    ACKNOWLEDGED = "acknowledged"  # giver: the receiver has committed the credit
    CREDITED = "credited"  # receiver: added to the allowance


class TransferEvent(enum.StrEnum):
    """An event of a transfer, at its giver or at its receiver. A repeated event leaves the state unchanged."""

    DEBIT = "debit"
    SEND = "send"
    CREDIT = "credit"
    ACKNOWLEDGE = "acknowledge"


GIVER_TABLE = TransitionTable(
    "Transfer, at the giver",
    {
        (TransferState.UNKNOWN, TransferEvent.DEBIT): TransferState.DEBITED,
        (TransferState.DEBITED, TransferEvent.DEBIT): TransferState.DEBITED,
        (TransferState.DEBITED, TransferEvent.SEND): TransferState.DEBITED,
        (TransferState.DEBITED, TransferEvent.ACKNOWLEDGE): TransferState.ACKNOWLEDGED,
        (TransferState.ACKNOWLEDGED, TransferEvent.DEBIT): TransferState.ACKNOWLEDGED,
        (TransferState.ACKNOWLEDGED, TransferEvent.ACKNOWLEDGE): TransferState.ACKNOWLEDGED,
    },
)

RECEIVER_TABLE = TransitionTable(
    "Transfer, at the receiver",
    {
        (TransferState.UNKNOWN, TransferEvent.CREDIT): TransferState.CREDITED,
        (TransferState.CREDITED, TransferEvent.CREDIT): TransferState.CREDITED,
    },
)
