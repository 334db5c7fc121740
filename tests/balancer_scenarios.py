"""Load scenarios for tests of the balancer: requests that fill slots, fail, or are served."""

from __future__ import annotations

from ryepier.balancer.interface import (
    Log,
    Outcome,
)
from tests.balancer_harness import BalancerHarness, settings, upstreams

READ, PAY, MARK = 0, 1, 2  # indexes of the request classes
MAX_FILL_REQUESTS = 1000  # number of requests after which fill_slots fails


def ready_harness(count: int = 4, **changes: object) -> BalancerHarness:
    """Return the harness of a balancer with `count` ready upstreams; their ids start at 100."""
    harness = BalancerHarness(settings(**changes))
    harness.update_upstreams(upstreams(count))
    return harness


def fill_slots(harness: BalancerHarness) -> list[int]:
    """Send requests until no slot is free, and return their ids. The last request waits in the buffer."""
    requests = []
    for _ in range(MAX_FILL_REQUESTS):
        requests.append(harness.arrive(READ))
        if not harness.sends(requests[-1]):
            return requests
    raise AssertionError("slots are still free after MAX_FILL_REQUESTS requests")


def serve_requests(
    harness: BalancerHarness,
    steps: int,
    failing_upstream: int | None = None,
    fault: Outcome = Outcome.REJECTED,
    class_index: int = READ,
    duration_us: int = 10_000,
) -> None:
    """Let a request arrive in each step, and end all attempts in flight `duration_us` later.

    Attempts at `failing_upstream` end with `fault`, all others with OK.
    """
    for _ in range(steps):
        harness.arrive(class_index)
        harness.advance(duration_us)
        for request in [request for request, tracked in harness.requests.items() if tracked.in_flight()]:
            for attempt in harness.requests[request].in_flight():
                is_at_failing_upstream = harness.requests[request].attempts[attempt].upstream == failing_upstream
                harness.end(request, attempt, fault if is_at_failing_upstream else Outcome.OK)


def send_and_end_requests(harness: BalancerHarness, outcome: Outcome) -> None:
    """Let 20 requests arrive, and end all attempts in flight with `outcome` after 10 ms."""
    for _ in range(20):
        harness.arrive(PAY)
    harness.advance(10_000)
    for request, tracked in list(harness.requests.items()):
        for attempt in tracked.in_flight():
            harness.end(request, attempt, outcome)


def open_slot_count(harness: BalancerHarness) -> int:
    """Return how many attempts can be in flight now, by filling the slots and ending these attempts."""
    sent_requests = [request for request in fill_slots(harness) if harness.sends(request)]
    for request in sent_requests:
        harness.end(request, 0, Outcome.OK)
    return len(sent_requests)


def harness_with_raised_limit() -> BalancerHarness:
    """Return the harness of a balancer with one upstream, whose concurrency limit a shortage of slots has raised."""
    harness = ready_harness(1)
    for _ in range(80):
        fill_slots(harness)
        serve_requests(harness, 1, duration_us=20_000)
    serve_requests(harness, 1)
    return harness


def time_out_requests(harness: BalancerHarness, seconds: int) -> None:
    """Let one request arrive per second, and let each time out after its latency objective."""
    for _ in range(seconds):
        harness.arrive(PAY)
        harness.advance(1_000_000)


def log_lines(harness: BalancerHarness) -> list[str]:
    """Return the lines that the balancer has logged."""
    return [action.text for action in harness.actions if isinstance(action, Log)]


def send_and_count_unsent(harness: BalancerHarness, count: int) -> int:
    """Let `count` requests arrive, and return how many of them the balancer did not send to an upstream."""
    return sum(1 for _ in range(count) if not harness.sends(harness.arrive(PAY)))
