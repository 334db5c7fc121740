"""What tests of the balancer do with its harness: load that fills slots, fails, or is served."""

from __future__ import annotations

from ryepier.balancer.interface import (
    Log,
    Outcome,
)
from tests.balancer_harness import BalancerHarness, settings, upstreams

READ, PAY, MARK = 0, 1, 2  # indices of the request classes
MAX_SLOTS = 1000


def ready_harness(count: int = 4, **changes: object) -> BalancerHarness:
    """Return a balancer that knows `count` ready upstreams; 100 is the first of them."""
    harness = BalancerHarness(settings(**changes))
    harness.update_upstreams(upstreams(count))
    return harness


def fill_slots(harness: BalancerHarness) -> list[int]:
    """Send requests until no slot is free, and return them; the last one waits in the buffer."""
    requests = []
    for _ in range(MAX_SLOTS):
        requests.append(harness.arrive(READ))
        if not harness.sends(requests[-1]):
            return requests
    raise AssertionError("the slots never ran out")


def serve_requests(
    harness: BalancerHarness,
    steps: int,
    failing_upstream: int | None = None,
    fault: Outcome = Outcome.REJECTED,
    class_index: int = READ,
    duration_us: int = 10_000,
) -> None:
    """Send a request in each step; at its end all attempts end, with `fault` at the upstream `failing_upstream`."""
    for _ in range(steps):
        harness.arrive(class_index)
        harness.advance(duration_us)
        for request in [request for request, tracked in harness.requests.items() if tracked.in_flight()]:
            for attempt in harness.requests[request].in_flight():
                at_failing = harness.requests[request].attempts[attempt].upstream == failing_upstream
                harness.end(request, attempt, fault if at_failing else Outcome.OK)


def end_all_attempts(harness: BalancerHarness, outcome: Outcome) -> None:
    """Send a few requests, and end all attempts with one outcome."""
    for _ in range(20):
        harness.arrive(PAY)
    harness.advance(10_000)
    for request, tracked in list(harness.requests.items()):
        for attempt in tracked.in_flight():
            harness.end(request, attempt, outcome)


def open_slot_count(harness: BalancerHarness) -> int:
    """Return how many attempts can be in flight now; they end again."""
    sent = [request for request in fill_slots(harness) if harness.sends(request)]
    for request in sent:
        harness.end(request, 0, Outcome.OK)
    return len(sent)


def busy_harness() -> BalancerHarness:
    """Return a balancer with one upstream whose slots have opened under need."""
    harness = ready_harness(1)
    for _ in range(80):
        fill_slots(harness)
        serve_requests(harness, 1, duration_us=20_000)
    serve_requests(harness, 1)
    return harness


def time_out_requests(harness: BalancerHarness, seconds: int) -> None:
    """Send a request a second, and let each time out after its latency objective."""
    for _ in range(seconds):
        harness.arrive(PAY)
        harness.advance(1_000_000)


def log_lines(harness: BalancerHarness) -> list[str]:
    """Return the lines that the balancer has logged."""
    return [action.text for action in harness.actions if isinstance(action, Log)]


def rejected_count(harness: BalancerHarness, count: int) -> int:
    """Send requests, and return how many of them were not sent on."""
    return sum(1 for _ in range(count) if not harness.sends(harness.arrive(PAY)))
