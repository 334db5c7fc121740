"""Slow start: how many requests one sidecar, and a whole fleet of sidecars, send to warming upstreams."""

from __future__ import annotations

import pytest

from ryepier.balancer.interface import Advice, ListKind, Outcome, PlanUpdated, Upstream
from ryepier.balancer.slow_start import SlowStart
from tests.balancer_harness import BalancerHarness, settings, upstreams
from tests.balancer_scenarios import PAY, serve_requests
from tests.slow_start_fleet import EQUAL_HINTED, HEAVY_HINTED, HEAVY_UNHINTED, Case, Fleet

CASES = [
    Case(4, 1),
    Case(4, 4, HEAVY_HINTED, 2.0),
    Case(4, 10, HEAVY_UNHINTED),
    Case(20, 1, EQUAL_HINTED, 2.0),
    Case(20, 4, HEAVY_UNHINTED),
    Case(20, 10, HEAVY_HINTED, 2.0),
    Case(30, 1, HEAVY_HINTED),
    Case(30, 4, EQUAL_HINTED, 2.0),
    Case(30, 10, HEAVY_UNHINTED, 2.0),
    Case(20, 4, EQUAL_HINTED, 2.0, traffic_moves=True),
]
MIN_UTILISATION = 0.8

RESTARTED_UPSTREAM = 100  # the id of the upstream that restarts
AGE_AFTER_RESTART_US = 5_000_000
REQUESTS_BEFORE_RESTART = 400
REQUESTS_AFTER_RESTART = 40


def run_case(case: Case) -> Fleet:
    """Run a case, and return its fleet."""
    fleet = Fleet(case)
    fleet.run()
    return fleet


@pytest.mark.parametrize("case", CASES, ids=Case.name)
def test_fleet_does_not_overload_warming_upstreams(case: Case) -> None:
    fleet = run_case(case)
    print(f"{case.name()}: worst window {fleet.worst_window_ratio():.2f}, used {fleet.utilisation():.2f}")
    assert fleet.worst_window_ratio() <= 1.0


def test_fleet_overloads_upstreams_if_each_sidecar_counts_the_traffic_of_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Check that test_fleet_does_not_overload_warming_upstreams detects an overload, by a fault in `add_credit`."""
    case, add_credit = Case(30, 4, EQUAL_HINTED, 2.0), SlowStart.add_credit

    def add_credit_for_all(slow_start: SlowStart, credited_amount: float, in_shortage: bool, now_us: int) -> None:
        add_credit(slow_start, case.sidecar_count * credited_amount, in_shortage, now_us)

    monkeypatch.setattr(SlowStart, "add_credit", add_credit_for_all)
    assert run_case(case).worst_window_ratio() > 1.0


def test_warming_upstreams_are_used_while_the_few_warm_ones_are_overloaded() -> None:
    """Only two of twelve converters are warm, so admission sheds load."""
    fleets = [run_case(Case(20, 10, HEAVY_HINTED, 2.0, seed)) for seed in (1, 2)]
    assert sum(fleet.utilisation() for fleet in fleets) >= len(fleets) * MIN_UTILISATION
    assert all(fleet.worst_window_ratio() <= 1.0 for fleet in fleets)


def harness_with_upstreams() -> BalancerHarness:
    """Return the harness of a balancer with four warm upstreams."""
    harness = BalancerHarness(settings(hedging=False))
    harness.update_upstreams(upstreams(4))
    return harness


def fail_upstream(harness: BalancerHarness) -> None:
    """Let requests arrive for 4 s while the upstream that restarts later cannot be reached."""
    for _ in range(REQUESTS_BEFORE_RESTART):
        request = harness.arrive(PAY)
        sends = harness.sends(request)
        harness.advance(5_000)
        for number, send in enumerate(sends[-1:]):
            is_unreachable = send.upstream == RESTARTED_UPSTREAM
            harness.end(request, number, Outcome.CONNECT_FAILED if is_unreachable else Outcome.OK)
        harness.advance(5_000)


def restart_upstream(harness: BalancerHarness) -> None:
    """Report the upstream as restarted, by a list entry with a new start time."""
    restarted_entry = Upstream(RESTARTED_UPSTREAM, started_at_us=harness.now_us - AGE_AFTER_RESTART_US)
    harness.update_upstreams([restarted_entry], ListKind.DELTA)


def send_count_after_restart(harness: BalancerHarness) -> int:
    """Let requests arrive, serve all attempts, and return how many attempts went to the restarted upstream."""
    count_before = len(harness.sends())
    for _ in range(REQUESTS_AFTER_RESTART):
        request = harness.arrive(PAY)
        harness.advance(10_000)
        for send in harness.sends(request)[-1:]:
            assert send.upstream in harness.known_entries
            harness.end(request, len(harness.requests[request].attempts) - 1, Outcome.OK)
        harness.advance(10_000)
    return sum(1 for send in harness.sends()[count_before:] if send.upstream == RESTARTED_UPSTREAM)


def test_failures_of_an_upstream_are_forgotten_after_its_restart() -> None:
    harness = harness_with_upstreams()
    fail_upstream(harness)
    restart_upstream(harness)
    # The restarted upstream has 0.4 of its capacity, and the three others are warm: it gets about an eighth of 40.
    assert send_count_after_restart(harness) >= 3


def test_ejection_by_a_plan_outlasts_a_restart() -> None:
    harness = harness_with_upstreams()
    harness.handle(PlanUpdated([Advice(RESTARTED_UPSTREAM, ejected=True)]))
    restart_upstream(harness)
    assert send_count_after_restart(harness) == 0


def test_upstream_that_has_just_started_gets_few_requests() -> None:
    harness = BalancerHarness(settings(instances=24))
    harness.update_upstreams(upstreams(3))
    serve_requests(harness, 20, duration_us=20_000)
    harness.update_upstreams([Upstream(1, started_at_us=harness.now_us - 1_000), *upstreams(3)])
    serve_requests(harness, 150, duration_us=20_000)
    started_upstream_send_count = sum(1 for send in harness.sends() if send.upstream == 1)
    # By its initial capacity share of 0.2, the upstream gets 150 * 0.2 / 3.2 = 9 requests, and more as it answers fast.
    # An equal share would be 150 / 4 = 37 requests.
    assert 0 < started_upstream_send_count <= 15


def test_upstream_gets_less_than_the_others_until_it_is_warm() -> None:
    harness = BalancerHarness(settings(instances=400))
    # The first upstream is 12 s into its warm-up of 20 s.
    harness.update_upstreams([Upstream(1, started_at_us=harness.now_us - 12_000_000), *upstreams(3)])
    serve_requests(harness, 1000, duration_us=5_000)
    started_upstream_send_count = sum(1 for send in harness.sends() if send.upstream == 1)
    assert 0 < started_upstream_send_count < 190  # an equal share of the 1000 requests would be 250
