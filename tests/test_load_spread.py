"""Tests the simulated fleet and the measures of `load-spread` and `load-spread-return`, with and without faults."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from ryepier.balancer import interface as api
from ryepier.experiments.core.contract import Scale
from ryepier.experiments.core.quantiles import poisson_quantile
from ryepier.experiments.load_spread import measures, returning, trials
from ryepier.sim.fleet import choosers
from ryepier.sim.fleet.connections import ConnectionCounter, ConnectionPool
from ryepier.sim.fleet.converter import Converter, Job
from ryepier.sim.fleet.world import SECOND_US, START_US, FleetPlan, FleetWorld, Outage
from tests.balancer_harness import BalancerHarness, settings

FLEET_PLAN = FleetPlan(sidecars=30, converters=20, load=0.5, duration_us=6 * SECOND_US)


def received_times_us(world: FleetWorld) -> list[list[int]]:
    return [converter.arrival_times_us for converter in world.converters]


def test_random_choice_has_the_expected_variation_and_serves_requests() -> None:
    world = FleetWorld(FLEET_PLAN, 1, choosers.make_random_choice)
    world.run()
    spread = measures.measure_spread(received_times_us(world), START_US, world.now_us)
    # with 20 converters, the measured standard deviation has a relative error of about a sixth
    assert 0.5 < spread.variation_ratio < 1.5
    ended_requests = [request for request in world.requests if request.ended_us]
    assert len(ended_requests) > 0.95 * len(world.requests)
    assert sum(request.served for request in ended_requests) > 0.98 * len(ended_requests)


def test_shortest_queue_answers_faster_than_random_choice() -> None:
    def mean_latency_us(factory: choosers.PolicyFactory) -> float:
        world = FleetWorld(FLEET_PLAN, 2, factory)
        world.run()
        latencies_us = [request.ended_us - request.arrived_us for request in world.requests if request.served]
        return sum(latencies_us) / len(latencies_us)

    assert mean_latency_us(choosers.make_shortest_queue) < mean_latency_us(choosers.make_random_choice)


def test_same_seed_gives_the_same_run() -> None:
    first, second = FleetWorld(FLEET_PLAN, 3), FleetWorld(FLEET_PLAN, 3)
    first.run()
    second.run()
    assert received_times_us(first) == received_times_us(second)


def test_overloaded_fleet_ends_every_request_and_bounds_executions() -> None:
    world = FleetWorld(FleetPlan(sidecars=20, converters=5, load=3.0, duration_us=4 * SECOND_US), 4)
    world.run()
    latest_arrival_us = world.now_us - world.plan.deadline_us
    assert all(request.ended_us for request in world.requests if request.arrived_us < latest_arrival_us)
    assert all(len(converter.running_jobs) <= converter.workers for converter in world.converters)
    assert sum(request.rejected for request in world.requests) > 0


def test_stopped_converters_receive_nothing_until_they_restart() -> None:
    outage = Outage(converters=4, at_us=SECOND_US, notice_delay_us=SECOND_US // 2, restart_at_us=3 * SECOND_US)
    plan = FleetPlan(sidecars=10, converters=10, load=0.3, duration_us=5 * SECOND_US, outages=(outage,))
    world = FleetWorld(plan, 5, choosers.make_random_choice)
    world.run()
    restarted_converters = [converter for converter in world.converters if converter.started_us]
    assert len(restarted_converters) == 4
    outage_us = (START_US + outage.at_us, START_US + outage.restart_at_us)
    assert all(
        not outage_us[0] < at_us < outage_us[1]
        for converter in restarted_converters
        for at_us in converter.arrival_times_us
    )
    assert all(converter.arrival_times_us[-1] > outage_us[1] for converter in restarted_converters)


def test_converter_queues_jobs_and_rejects_them_when_its_queue_is_full() -> None:
    converter = Converter(0, workers=1, queue_limit=1)
    jobs = [Job(0, n, 0, 10, n) for n in range(3)]
    assert converter.receive(jobs[0]) and converter.start_next() is jobs[0]
    assert converter.receive(jobs[1]) and not converter.receive(jobs[2])
    assert (converter.load, converter.rejected_count, converter.start_next()) == (2, 1, None)
    assert converter.stop() == jobs[:2] and converter.load == 0


def test_connections_are_counted_while_they_are_open() -> None:
    counter = ConnectionCounter()
    pool = ConnectionPool(counter)
    pool.acquire(0)
    pool.acquire(0)
    pool.release(10, reusable=True)
    pool.release(10, reusable=False)
    pool.acquire(20)  # reuses the idle connection
    pool.release(30, reusable=True)
    pool.close_idle(50, idle_before_us=30)
    assert (counter.opened_count, counter.max_open_count, counter.open_count) == (2, 2, 0)
    assert counter.mean_open_count(0, 100) == pytest.approx((2 * 10 + 1 * 40) / 100)


def test_random_choice_uses_only_listed_converters() -> None:
    converters = [Converter(n, 4, 4) for n in range(3)]
    policy = choosers.RandomChoice(1, converters)
    policy.handle(0, api.UpstreamsUpdated(api.ListKind.FULL, [api.Upstream(n) for n in range(3)]))
    removed_upstreams = [api.Upstream(n, api.UpstreamState.REMOVED) for n in (0, 2)]
    policy.handle(0, api.UpstreamsUpdated(api.ListKind.DELTA, removed_upstreams))
    assert policy.handle(0, api.RequestArrived(7, 10)) == [api.Send(7, 1)]


@pytest.mark.parametrize(("mean", "probability"), [(0.5, 1e-4), (2.0, 1e-4), (12.0, 1e-2)])
def test_poisson_quantile_is_the_smallest_count_exceeded_rarely_enough(mean: float, probability: float) -> None:
    def exceedance_probability(count: int) -> float:
        return 1.0 - sum(math.exp(-mean) * mean**k / math.factorial(k) for k in range(count + 1))

    quantile = poisson_quantile(mean, probability)
    assert exceedance_probability(quantile) <= probability < exceedance_probability(quantile - 1)


def test_crowded_and_empty_windows_are_detected() -> None:
    even_times_us = [[10 * n + k for n in range(200)] for k in range(5)]
    times_with_burst_us = [*even_times_us[:4], sorted(even_times_us[4] + [1000] * 40 + [1500] * 40)]
    times_with_gap_us = [*even_times_us[:4], [at_us for at_us in even_times_us[4] if at_us < 1000]]
    assert measures.crowded_windows(even_times_us, 0, 2000, 100).count == 0
    rare_crowded_windows = measures.crowded_windows(times_with_burst_us, 0, 2000, 100)
    assert rare_crowded_windows.count > rare_crowded_windows.allowed_count
    assert measures.empty_windows(even_times_us, 0, 2000, 12).count == 0
    rare_empty_windows = measures.empty_windows(times_with_gap_us, 0, 2000, 12)
    assert rare_empty_windows.count > rare_empty_windows.allowed_count


def test_spread_without_requests_is_an_error() -> None:
    with pytest.raises(ValueError, match="nothing was received"):
        measures.measure_spread([[], []], 0, 10)


# Restarted converters


def load_shares_of_restarted(warm_up_us: int, seed: int) -> list[float]:
    """Return the load of each restarted converter in the 5 s after its warm-up, divided by the mean of the others."""
    outage = Outage(converters=10, at_us=SECOND_US, notice_delay_us=SECOND_US // 2, restart_at_us=3 * SECOND_US)
    begin_us = outage.restart_at_us + warm_up_us
    plan = FleetPlan(
        sidecars=150,
        converters=50,
        load=0.5,
        duration_us=begin_us + 5 * SECOND_US,
        warm_up_us=warm_up_us,
        initial_capacity_share=0.2,
        outages=(outage,),
    )
    world = FleetWorld(plan, seed)
    world.run()
    counts = measures.counts_in_windows(received_times_us(world), START_US + begin_us, world.now_us, 5 * SECOND_US)[
        :, 0
    ]
    restart_flags = [bool(converter.started_us) for converter in world.converters]
    other_counts = [count for count, is_restarted in zip(counts, restart_flags, strict=True) if not is_restarted]
    mean_of_others = sum(other_counts) / len(other_counts)
    return [count / mean_of_others for count, is_restarted in zip(counts, restart_flags, strict=True) if is_restarted]


def test_restarted_converters_get_their_share_of_the_load() -> None:
    """Guards against subsets that do not sample restarted converters as new members.

    Without this sampling, with 300 sidecars and 100 converters, the restarted converters had a mean share of 0.27 if
    they had no warm-up, and of 1.5 after a warm-up.
    """
    for warm_up_us in (0, 2 * SECOND_US):
        shares = [share for seed in (1, 2) for share in load_shares_of_restarted(warm_up_us, seed)]
        print(warm_up_us, [round(share, 2) for share in shares])
        assert 0.8 <= sum(shares) / len(shares) <= 1.25


# Seeded faults and invalid input

SMALL_PLAN = FleetPlan(sidecars=60, converters=20, load=0.5, duration_us=5 * SECOND_US)


def run_fleet(seeded_fault: str, plan: FleetPlan = SMALL_PLAN, begin_us: int = 2 * SECOND_US) -> trials.FleetOutcome:
    return trials.run_trial(trials.FleetTrial(plan, 1, seeded_fault, begin_us))


def count_crowded_windows(outcome: trials.FleetOutcome) -> measures.RareWindows:
    return measures.crowded_windows(outcome.received_us, outcome.begin_us, outcome.end_us, SECOND_US // 10)


def test_same_selection_order_in_all_sidecars_crowds_converters() -> None:
    windows_without_fault, windows_with_fault = (
        count_crowded_windows(run_fleet("")),
        count_crowded_windows(run_fleet("same-order")),
    )
    assert windows_without_fault.count <= windows_without_fault.allowed_count
    assert windows_with_fault.count > windows_with_fault.allowed_count


def test_earlier_balancer_rejects_more_at_half_load() -> None:
    plan = FleetPlan(sidecars=120, converters=30, load=0.5, duration_us=11 * SECOND_US)
    current_outcome, earlier_outcome = (
        run_fleet(seeded_fault, plan, 5 * SECOND_US) for seeded_fault in ("", "private-subsets")
    )
    assert current_outcome.rejected_share <= 0.005 < earlier_outcome.rejected_share


@pytest.mark.parametrize(
    ("seeded_fault", "min_share", "max_share"),
    [("", 0.7, 1.43), ("forget-returned", 0, 0.7), ("rush-returned", 1.43, 9)],
)
def test_load_share_of_restarted_converters(seeded_fault: str, min_share: float, max_share: float) -> None:
    plan = returning.make_plan(Scale.SMALL, 0)
    outcome = run_fleet(seeded_fault, plan, plan.duration_us - returning.MEASURED_DURATION_US)
    shares = returning.load_shares_of_restarted(outcome)
    assert min_share <= sum(shares) / len(shares) <= max_share
    assert outcome.worst_warm_up_load <= 1.0


def count_sends_by_upstream(balancer_settings: api.Settings, entries: list[api.Upstream]) -> dict[int, int]:
    """Return the sends by upstream for 200 requests that are answered one after another."""
    harness = BalancerHarness(balancer_settings)
    harness.update_upstreams([api.Upstream(entry.id) for entry in entries[:2]])
    harness.update_upstreams(entries, api.ListKind.DELTA)
    for _ in range(200):
        request = harness.arrive()
        harness.advance(10_000)
        harness.end(request, 0, api.Outcome.OK)
    return dict(Counter(send.upstream for send in harness.sends()))


@pytest.mark.parametrize("weight", [0.0, -1.0, math.inf, math.nan])
def test_invalid_weight_counts_as_one(weight: float) -> None:
    entries = [api.Upstream(n, weight=weight if n == 3 else 1.0) for n in range(4)]
    send_counts = count_sends_by_upstream(settings(hedging=False, weighted=True), entries)
    assert sum(send_counts.values()) == 200 and min(send_counts.get(n, 0) for n in range(4)) >= 10


def test_upstream_listed_several_times_gets_a_single_share() -> None:
    entries = [api.Upstream(n) for n in (0, 1, 2, 3, 3, 3)]
    send_counts = count_sends_by_upstream(settings(hedging=False), entries)
    assert sum(send_counts.values()) == 200 and 10 <= send_counts[3] <= 100


def test_self_index_beyond_the_instances_has_no_effect() -> None:
    entries = [api.Upstream(n) for n in range(8)]
    valid_settings, out_of_range_settings = (
        settings(hedging=False, instances=3, self_index=index) for index in (0, 99)
    )
    assert count_sends_by_upstream(valid_settings, entries) == count_sends_by_upstream(out_of_range_settings, entries)
