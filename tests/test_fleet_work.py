"""The work of one event of the decision module in fleets of the usual size and of the largest."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from ryepier.balancer.interface import ListKind, Outcome, Upstream, UpstreamState
from tests.balancer_harness import BalancerHarness, settings
from tests.work_counter import WorkCounter

USUAL_FLEET = 300  # upstreams; above `MAX_UPSTREAMS_PER_EVENT`, so that the work has reached its limit
LARGEST_FLEET = 3200
MAX_GROWTH = 1.5  # of the work of the most expensive event, from the usual fleet to the largest
POD_SIZE = 4
REQUESTS = 30
REQUEST_INTERVAL_US = 11_000


class MeasuredHarness(BalancerHarness):
    """A harness that records the work of the most expensive event."""

    def __init__(self) -> None:
        super().__init__(settings(hedging=False))
        self.max_work = 0
        self.counter = WorkCounter()
        balancer_handle = self.balancer.handle

        def handle(*arguments: Any) -> Any:
            results: list[Any] = []
            work = self.counter.count(lambda: results.append(balancer_handle(*arguments)))
            self.max_work = max(self.max_work, work)
            return results[0]

        self.balancer.handle = handle  # type: ignore[assignment, method-assign]

    def serve_requests(self, class_index: int = 0) -> None:
        """Let requests arrive, each of which is answered before the next."""
        for _ in range(REQUESTS):
            request = self.arrive(class_index)
            self.advance(REQUEST_INTERVAL_US)
            if 0 in self.requests[request].in_flight():
                self.end(request, 0, Outcome.OK)


def fleet(count: int, first_id: int = 1, **fields: Any) -> list[Upstream]:
    """Return ready upstreams in pods of POD_SIZE."""
    return [Upstream(first_id + i, failure_domain=(first_id + i) // POD_SIZE, **fields) for i in range(count)]


def requests_while_most_upstreams_are_warming(harness: MeasuredHarness, count: int) -> None:
    harness.update_upstreams(fleet(count * 4 // 10))
    warming = fleet(count * 6 // 10, first_id=count, started_at_us=harness.now_us)
    harness.update_upstreams(warming, ListKind.DELTA)
    harness.max_work = 0
    harness.serve_requests()


def upstreams_become_warm_one_by_one(harness: MeasuredHarness, count: int) -> None:
    warm_up_us = harness.settings.warm_up_us
    warming = [
        Upstream(i, started_at_us=harness.now_us - warm_up_us + i * REQUEST_INTERVAL_US // 2) for i in range(1, count)
    ]
    harness.update_upstreams(warming)
    harness.max_work = 0
    harness.serve_requests()


def requests_without_a_usable_upstream_in_the_subset(harness: MeasuredHarness, count: int) -> None:
    harness.update_upstreams(fleet(count))
    harness.max_work = 0
    for _ in range(REQUESTS):  # none is answered
        harness.arrive(1)
        harness.advance(REQUEST_INTERVAL_US)


def requests_while_all_upstreams_are_ejected(harness: MeasuredHarness, count: int) -> None:
    harness.update_upstreams(fleet(count))
    for upstream in harness.balancer.membership.by_id.values():
        upstream.concurrency.limit = 1 / 64
        harness.balancer.outliers.eject(upstream, 0, 1_000_000, harness.now_us)
        for health in upstream.by_class:
            health.ejected_until_us = upstream.ejected_until_us
        for ejections in harness.balancer.membership.ejections.by_class:
            ejections.on_class_ejected(upstream, harness.now_us)
    harness.max_work = 0
    harness.serve_requests(class_index=2)


def changes_of_one_entry(harness: MeasuredHarness, count: int) -> None:
    harness.update_upstreams(fleet(count))
    harness.serve_requests()
    harness.max_work = 0
    for index in range(REQUESTS):
        harness.update_upstreams(fleet(1, first_id=count + 1 + index, started_at_us=harness.now_us), ListKind.DELTA)
        harness.update_upstreams([Upstream(1 + index, UpstreamState.DRAINING)], ListKind.DELTA)
        harness.advance(REQUEST_INTERVAL_US)


# Guards against lost requests: the work for each request grew with the fleet, and filled the core after most of a
# large fleet was replaced.
@pytest.mark.parametrize(
    "scenario",
    [
        requests_while_most_upstreams_are_warming,
        upstreams_become_warm_one_by_one,
        requests_without_a_usable_upstream_in_the_subset,
        requests_while_all_upstreams_are_ejected,
        changes_of_one_entry,
    ],
)
def test_work_of_one_event_does_not_grow_with_the_fleet(scenario: Callable[[MeasuredHarness, int], None]) -> None:
    work = {}
    for count in (USUAL_FLEET, LARGEST_FLEET):
        harness = MeasuredHarness()
        scenario(harness, count)
        work[count] = harness.max_work
    assert 0 < work[LARGEST_FLEET] <= MAX_GROWTH * work[USUAL_FLEET], work


def test_all_warming_upstreams_of_a_large_fleet_get_requests() -> None:
    """Without this, a limit on the work could leave the upstreams behind the first ones idle."""
    harness = BalancerHarness(settings(hedging=False))
    count = 400
    harness.update_upstreams([*fleet(4), *fleet(count, first_id=100, started_at_us=harness.now_us)])
    for _ in range(12 * count):
        request = harness.arrive()
        harness.advance(2_000)
        if 0 in harness.requests[request].in_flight():
            harness.end(request, 0, Outcome.OK)
        harness.requests = {number: tracked for number, tracked in harness.requests.items() if not tracked.closed}
    upstreams_used = {send.upstream for send in harness.sends() if send.upstream >= 100}
    assert len(upstreams_used) > 0.9 * count


def test_repeat_in_a_pod_finds_it_in_a_large_fleet() -> None:
    """Without this, a limit on the work could miss the few upstreams that a repeat may be sent to."""
    harness = BalancerHarness(settings(hedging=False))
    harness.update_upstreams(fleet(LARGEST_FLEET))
    for _ in range(5):
        request = harness.arrive(class_index=2)
        harness.advance(5_000)
        harness.end(request, 0, Outcome.ERROR)
        assert len(harness.sends(request)) == 2  # the harness checks that both are in the same pod
        harness.end(request, 1, Outcome.OK)
        harness.advance(500_000)
