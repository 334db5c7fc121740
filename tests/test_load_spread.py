"""The rig that judges how evenly a fleet spreads its load."""

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

PLAN = FleetPlan(sidecars=30, converters=20, load=0.5, duration_us=6 * SECOND_US)


def received(harness: FleetWorld) -> list[list[int]]:
    return [converter.received_us for converter in harness.converters]


def test_random_choice_spreads_by_chance_and_all_is_served() -> None:
    harness = FleetWorld(PLAN, 1, choosers.make_random)
    harness.run()
    found = measures.measure_spread(received(harness), START_US, harness.now_us)
    assert 0.5 < found.over_chance < 1.5  # 20 converters: the deviation itself is off by a sixth
    ended = [request for request in harness.requests if request.ended_us]
    assert len(ended) > 0.95 * len(harness.requests)
    assert sum(request.served for request in ended) > 0.98 * len(ended)


def test_the_shortest_queue_keeps_answers_quicker_than_random_choice() -> None:
    def mean_us(factory: choosers.PolicyFactory) -> float:
        harness = FleetWorld(PLAN, 2, factory)
        harness.run()
        times = [one.ended_us - one.arrived_us for one in harness.requests if one.served]
        return sum(times) / len(times)

    assert mean_us(choosers.make_shortest) < mean_us(choosers.make_random)


def test_one_seed_is_one_run() -> None:
    first, second = FleetWorld(PLAN, 3), FleetWorld(PLAN, 3)
    first.run()
    second.run()
    assert received(first) == received(second)


def test_all_that_comes_is_ended_once_and_work_is_bounded_by_the_places() -> None:
    harness = FleetWorld(FleetPlan(sidecars=20, converters=5, load=3.0, duration_us=4 * SECOND_US), 4)
    harness.run()
    due_us = harness.now_us - harness.plan.deadline_us
    assert all(request.ended_us for request in harness.requests if request.arrived_us < due_us)
    assert all(len(converter.working) <= converter.workers for converter in harness.converters)
    assert sum(request.rejected for request in harness.requests) > 0


def test_converters_that_vanish_get_nothing_until_they_are_back() -> None:
    outage = Outage(converters=4, at_us=SECOND_US, notice_delay_us=SECOND_US // 2, restart_us=3 * SECOND_US)
    plan = FleetPlan(sidecars=10, converters=10, load=0.3, duration_us=5 * SECOND_US, outages=(outage,))
    harness = FleetWorld(plan, 5, choosers.make_random)
    harness.run()
    back = [converter for converter in harness.converters if converter.started_us]
    assert len(back) == 4
    away = (START_US + outage.at_us, START_US + outage.restart_us)
    assert all(not away[0] < at_us < away[1] for converter in back for at_us in converter.received_us)
    assert all(converter.received_us[-1] > away[1] for converter in back)


def test_a_converter_queues_beyond_its_places_and_turns_away_beyond_its_queue() -> None:
    converter = Converter(0, workers=1, queue_limit=1)
    jobs = [Job(0, n, 0, 10, n) for n in range(3)]
    assert converter.receive(jobs[0]) and converter.start_next() is jobs[0]
    assert converter.receive(jobs[1]) and not converter.receive(jobs[2])
    assert (converter.load, converter.rejected, converter.start_next()) == (2, 1, None)
    assert converter.stop() == jobs[:2] and converter.load == 0


def test_connections_are_counted_while_they_are_open() -> None:
    counter = ConnectionCounter()
    pool = ConnectionPool(counter)
    pool.acquire(0)
    pool.acquire(0)
    pool.release(10, reusable=True)
    pool.release(10, reusable=False)
    pool.acquire(20)  # on the idle one
    pool.release(30, reusable=True)
    pool.close_idle(50, idle_before_us=30)
    assert (counter.opened, counter.max_open, counter.open) == (2, 2, 0)
    assert counter.mean_open(0, 100) == pytest.approx((2 * 10 + 1 * 40) / 100)


def test_a_reference_keeps_to_the_list() -> None:
    converters = [Converter(n, 4, 4) for n in range(3)]
    policy = choosers.RandomChoice(1, converters)
    policy.handle(0, api.UpstreamsUpdated(api.ListKind.FULL, [api.Upstream(n) for n in range(3)]))
    gone = [api.Upstream(n, api.UpstreamState.REMOVED) for n in (0, 2)]
    policy.handle(0, api.UpstreamsUpdated(api.ListKind.DELTA, gone))
    assert policy.handle(0, api.RequestArrived(7, 10)) == [api.Send(7, 1)]


@pytest.mark.parametrize(("mean", "beyond"), [(0.5, 1e-4), (2.0, 1e-4), (12.0, 1e-2)])
def test_a_poisson_quantile_is_the_least_count_that_is_passed_so_seldom(mean: float, beyond: float) -> None:
    def passed(count: int) -> float:
        return 1.0 - sum(math.exp(-mean) * mean**k / math.factorial(k) for k in range(count + 1))

    found = poisson_quantile(mean, beyond)
    assert passed(found) <= beyond < passed(found - 1)


def test_a_herd_and_an_idle_converter_are_found() -> None:
    even = [[10 * n + k for n in range(200)] for k in range(5)]
    herd = [*even[:4], sorted(even[4] + [1000] * 40 + [1500] * 40)]
    idle = [*even[:4], [at for at in even[4] if at < 1000]]
    assert measures.crowded_windows(even, 0, 2000, 100).found == 0
    crowded = measures.crowded_windows(herd, 0, 2000, 100)
    assert crowded.found > crowded.allowed
    assert measures.empty_windows(even, 0, 2000, 12).found == 0
    empty = measures.empty_windows(idle, 0, 2000, 12)
    assert empty.found > empty.allowed


def test_nothing_received_is_an_error() -> None:
    with pytest.raises(ValueError, match="nothing was received"):
        measures.measure_spread([[], []], 0, 10)


# Converters that come back


def shares_of_returned(warm_up_us: int, seed: int) -> list[float]:
    """What each converter that is back gets in the 5 s from its last warm-up on, over the mean of the others."""
    outage = Outage(converters=10, at_us=SECOND_US, notice_delay_us=SECOND_US // 2, restart_us=3 * SECOND_US)
    begin_us = outage.restart_us + warm_up_us
    plan = FleetPlan(
        sidecars=150,
        converters=50,
        load=0.5,
        duration_us=begin_us + 5 * SECOND_US,
        warm_up_us=warm_up_us,
        initial_capacity_share=0.2,
        outages=(outage,),
    )
    harness = FleetWorld(plan, seed)
    harness.run()
    counts = measures.counts_in_windows(received(harness), START_US + begin_us, harness.now_us, 5 * SECOND_US)[:, 0]
    back = [bool(converter.started_us) for converter in harness.converters]
    others = [count for count, is_back in zip(counts, back, strict=True) if not is_back]
    mean = sum(others) / len(others)
    return [count / mean for count, is_back in zip(counts, back, strict=True) if is_back]


def test_converters_that_come_back_get_their_part_and_no_rush() -> None:
    """Without the offer of places: 0.27 in the mean without a warm-up, and 1.5 after one (300 x 100)."""
    for warm_up_us in (0, 2 * SECOND_US):
        shares = [share for seed in (1, 2) for share in shares_of_returned(warm_up_us, seed)]
        print(warm_up_us, [round(share, 2) for share in shares])
        assert 0.8 <= sum(shares) / len(shares) <= 1.25


# Mistakes are found, and bad input is borne

SMALL = FleetPlan(sidecars=60, converters=20, load=0.5, duration_us=5 * SECOND_US)


def played(plant: str, plan: FleetPlan = SMALL, begin_us: int = 2 * SECOND_US) -> trials.FleetOutcome:
    return trials.run_trial(trials.FleetTrial(plan, 1, plant, begin_us))


def crowded(one: trials.FleetOutcome) -> measures.RareWindows:
    return measures.crowded_windows(one.received_us, one.begin_us, one.end_us, SECOND_US // 10)


def test_one_order_for_all_sidecars_is_a_herd() -> None:
    right, wrong = crowded(played("")), crowded(played("same-order"))
    assert right.found <= right.allowed
    assert wrong.found > wrong.allowed


def test_the_balancer_as_it_was_refuses_more_at_half_load() -> None:
    plan = FleetPlan(sidecars=120, converters=30, load=0.5, duration_us=11 * SECOND_US)
    now, before = (played(plant, plan, 5 * SECOND_US) for plant in ("", "private-subsets"))
    assert now.rejected_share <= 0.005 < before.rejected_share


@pytest.mark.parametrize(
    ("plant", "low", "high"), [("", 0.7, 1.43), ("forget-returned", 0, 0.7), ("rush-returned", 1.43, 9)]
)
def test_those_that_are_back_are_neither_forgotten_nor_rushed(plant: str, low: float, high: float) -> None:
    plan = returning.make_plan(Scale.SMALL, 0)
    one = played(plant, plan, plan.duration_us - returning.MEASURED_US)
    shares = returning.shares_of_returned(one)
    assert low <= sum(shares) / len(shares) <= high
    assert one.worst_cold_window <= 1.0


def share_by_upstream(config: api.Settings, entries: list[api.Upstream]) -> dict[int, int]:
    """Sends by upstream, of requests answered one after another."""
    harness = BalancerHarness(config)
    harness.update_upstreams([api.Upstream(entry.id) for entry in entries[:2]])
    harness.update_upstreams(entries, api.ListKind.DELTA)
    for _ in range(200):
        request = harness.arrive()
        harness.advance(10_000)
        harness.end(request, 0, api.Outcome.OK)
    return dict(Counter(send.upstream for send in harness.sends()))


@pytest.mark.parametrize("weight", [0.0, -1.0, math.inf, math.nan])
def test_a_weight_that_says_nothing_counts_as_the_usual_one(weight: float) -> None:
    entries = [api.Upstream(n, weight=weight if n == 3 else 1.0) for n in range(4)]
    sent = share_by_upstream(settings(hedging=False, weighted=True), entries)
    assert sum(sent.values()) == 200 and min(sent.get(n, 0) for n in range(4)) >= 10


def test_an_upstream_that_is_listed_twice_gets_one_part() -> None:
    entries = [api.Upstream(n) for n in (0, 1, 2, 3, 3, 3)]
    sent = share_by_upstream(settings(hedging=False), entries)
    assert sum(sent.values()) == 200 and 10 <= sent[3] <= 100


def test_an_index_beyond_the_instances_changes_no_decision() -> None:
    entries = [api.Upstream(n) for n in range(8)]
    known, beyond = (settings(hedging=False, instances=3, self_index=index) for index in (0, 99))
    assert share_by_upstream(known, entries) == share_by_upstream(beyond, entries)
