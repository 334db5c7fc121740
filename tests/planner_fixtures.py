"""Prints messages of the planner protocol and a snapshot as lines in hex, for tests/fixtures/planner_messages.hex.

The fixtures in the repository were written by revision 5daa07c, in which the types were named `Seen`, `Entry`, `Beat`
and so on; this script uses the present names. Usage: python -m tests.planner_fixtures > FILE
"""

from __future__ import annotations

from ryepier.plan import messages, snapshot
from ryepier.plan.plan_computation import ConverterState, ConverterStatus

TERM = messages.Term(3, "p")


def frames() -> list[bytes]:
    """Return encoded frames, at least one of each message type."""
    counters = {"a": messages.ConverterCounters(9, 5, 2, 1, (0, 3, 1)), "b": messages.ConverterCounters()}
    entries = {
        "a": messages.ConverterAdvice(0.5, 2, False, 1.0, "slow"),
        "b": messages.ConverterAdvice(1.0, 0, True, 0.4, "bad"),
    }
    basis = messages.PlanBasis(5, 1500, 9, 12, 88)
    messages_to_encode: list[messages.Message] = [
        messages.Hello(1, "f1", 77),
        messages.Hello(1, "p2", 78, True),
        messages.Report(4, 12, counters, {"a": 2}, [7, 1], [3, 5], 4, TERM, 250),
        messages.Plan(TERM, 9, basis, entries, 2000, 30000, [0.5, 1.0], [0.25]),
        messages.Plan(messages.Term(1, "p"), 1, messages.PlanBasis(), {}, 1, 1),
        messages.Heartbeat(TERM, True, 5),
        messages.Rejection("full", 500),
        messages.Rejection("x"),
    ]
    return [messages.encode(message) for message in messages_to_encode]


def snapshot_file() -> bytes:
    """Return the content of a snapshot file."""
    statuses = {
        "c1": ConverterStatus(ConverterState.EJECTED, 3_000_000),
        "c2": ConverterStatus(ConverterState.RECOVERING, 4_000_000, 1),
    }
    return snapshot.encode(snapshot.take(9_000_000, 123456, messages.Term(4, "a"), statuses))


if __name__ == "__main__":
    print("\n".join(data.hex() for data in [*frames(), snapshot_file()]))
