"""The rules in tests/balancer_harness.py hold for arbitrary valid sequences of events; the harness checks each action.

A further test checks that all sidecars together do not overload a warming upstream.
"""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import (
    AttemptEnded,
    Idempotency,
    IdempotencyScope,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    TimerFired,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)
from tests.balancer_harness import START_US, BalancerHarness, request_classes, settings, upstreams

NON_TIMEOUT_OUTCOMES = [outcome for outcome in Outcome if outcome is not Outcome.TIMEOUT]

STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(1, 2_000_000)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(NON_TIMEOUT_OUTCOMES)),
    st.tuples(st.just("advance"), st.integers(0, 700_000), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, 7), st.sampled_from(list(UpstreamState))),
    st.tuples(st.just("full"), st.integers(0, 8), st.sampled_from([ListKind.FULL, ListKind.CACHED])),
    st.tuples(st.just("restart"), st.integers(0, 7), st.integers(0, 30_000_000)),
    st.tuples(st.just("fail"), st.just(0), st.just(0)),
    st.tuples(st.just("quit"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("stream"), st.integers(0, 50), st.just(0)),
)

CONFIGS = st.fixed_dictionaries(
    {
        "hedging": st.booleans(),
        "polls_endpoints": st.booleans(),
        "cancel": st.booleans(),
        "max_attempts": st.integers(1, 5),
        "instances": st.integers(1, 8),
        "retry_after": st.booleans(),
        "max_poll_interval_us": st.sampled_from([0, 10_000_000]),
        "probes": st.booleans(),
        "report_names": st.sampled_from([[], ["utilization"], ["in_flight", "queued", "latency_ms"]]),
    }
)


def extended_request_classes() -> list[RequestClass]:
    return [
        *request_classes(),
        RequestClass(
            "zoned",
            200_000,
            900_000,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            idempotency_scope=IdempotencyScope.ZONE,
            idempotency_window_us=400_000,
        ),
        RequestClass(
            "feed",
            200_000,
            900_000,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            idempotency_window_us=9_000_000,
            stream=True,
        ),
    ]


def apply_step(harness: BalancerHarness, step: tuple[str, int, object]) -> None:
    kind, number, argument = step
    open_attempts = [
        (request, attempt) for request, tracked in harness.requests.items() for attempt in tracked.in_flight()
    ]
    if kind == "arrive":
        assert isinstance(argument, int)
        harness.arrive(number, due_in_us=argument)
    elif kind == "advance":
        harness.advance(number)
    elif kind in ("list", "restart"):
        started_at_us = harness.now_us - argument if isinstance(argument, int) else 0
        state = argument if isinstance(argument, UpstreamState) else UpstreamState.READY
        entry = Upstream(100 + number, state, number // 2, 0, number // 2, 1.0, started_at_us)
        harness.update_upstreams([entry], ListKind.DELTA)
    elif kind == "full":
        assert isinstance(argument, ListKind)
        harness.update_upstreams(upstreams(number), argument)
    elif kind == "fail" and harness.settings.polls_endpoints:
        harness.handle(UpstreamsUpdated(ListKind.FAILED))
    elif kind == "quit" and harness.requests:
        request = list(harness.requests)[number % len(harness.requests)]
        if not harness.requests[request].closed:
            harness.disconnect_client(request)
    elif kind == "end" and open_attempts:
        assert isinstance(argument, Outcome)
        harness.end(*open_attempts[number % len(open_attempts)], argument)
    elif kind == "stream":
        unstarted_streams = [
            (request, attempt)
            for request, attempt in open_attempts
            if harness.settings.classes[harness.requests[request].event.class_index].stream
            and not harness.requests[request].streaming
            and not harness.requests[request].closed
        ]
        if unstarted_streams:
            harness.begin_stream(*unstarted_streams[number % len(unstarted_streams)])


@hypothesis_settings(derandomize=True, deadline=None, max_examples=400)
@given(CONFIGS, st.integers(0, 2**64 - 1), st.lists(STEPS, max_size=80))
def test_no_rule_is_broken_by_any_sequence_of_events(
    config: dict[str, object], seed: int, steps: list[tuple[str, int, object]]
) -> None:
    harness = BalancerHarness(settings(classes=extended_request_classes(), **config), seed)
    harness.update_upstreams(upstreams(6), ListKind.CACHED)
    for step in steps:
        apply_step(harness, step)
    harness.advance(5_000_000)  # checks that each request has its final answer by its due time


def run_heavy_load(config: dict[str, object], seed: int) -> list[object]:
    """Run heavy load with all kinds of faults, so that requests wait and are retried, and return all actions."""
    rng = random.Random(seed)
    harness = BalancerHarness(settings(classes=extended_request_classes(), **config), seed)
    harness.update_upstreams(upstreams(6), ListKind.CACHED)
    for _ in range(1500):
        kind = rng.choices(
            ["arrive", "end", "advance", "list", "restart", "quit", "stream", "fail"], [50, 40, 10, 1, 1, 1, 1, 1]
        )[0]
        argument: object = 0
        number = rng.randrange(50)
        if kind == "arrive":
            number, argument = rng.randrange(5), rng.randrange(1_000, 2_000_000)
        elif kind == "end":
            argument = rng.choices(NON_TIMEOUT_OUTCOMES, [20, 2, 2, 2, 1, 1, 1, 1])[0]
        elif kind == "advance":
            number = rng.randrange(60_000)
        elif kind in ("list", "restart"):
            number = rng.randrange(8)
            argument = rng.choice(list(UpstreamState)) if kind == "list" else rng.randrange(30_000_000)
        apply_step(harness, (kind, number, argument))
    harness.advance(5_000_000)
    return list(harness.actions)


def test_heavy_load_with_faults_breaks_no_rule_and_repeats_exactly() -> None:
    for seed in range(12):
        config: dict[str, object] = {
            "hedging": seed % 2 == 0,
            "polls_endpoints": seed % 3 == 0,
            "max_poll_interval_us": 10_000_000,
            "report_names": [["utilization"], [], ["queued", "in_flight"]][seed % 3],
            "probes": seed % 4 == 0,
        }
        assert run_heavy_load(config, seed) == run_heavy_load(config, seed)


def max_overload_ratio(arrivals_per_tick: list[int], outcome: Outcome, cost_us: int = 0) -> float:
    """Return the highest ratio of the work that all sidecars send to a cold upstream within `overload_window_us` to the
    work that overloads it in that time.

    Nine warm upstreams and a cold one have one core each. They serve requests in the order of arrival, and reject those
    that would end after more than 300 ms. A request takes 40 ms on a warm upstream. In each tick of 4 ms, each sidecar
    gets as many requests as its entry of `arrivals_per_tick` says, in total up to 26 times what the warm upstreams can
    serve."""
    config = settings(instances=len(arrivals_per_tick), classes=[RequestClass("read", 300_000, 1_500_000)])
    balancers = [Balancer(config, n, START_US) for n in range(len(arrivals_per_tick))]
    entries = [Upstream(1, started_at_us=START_US), *[Upstream(n) for n in range(2, 11)]]

    def speed(at_us: int) -> float:
        return (
            config.initial_capacity_share + (1 - config.initial_capacity_share) * (at_us - START_US) / config.warm_up_us
        )

    free_at_us = {entry.id: START_US for entry in entries}
    sent_at_us: list[int] = []
    attempt_ends: list[tuple[int, int, int, int, int, Outcome, int]] = []
    attempt_counts: dict[int, int] = {}
    timers: list[tuple[int, int]] = []
    now_us, request = START_US, 0
    for balancer in balancers:
        balancer.handle(now_us, UpstreamsUpdated(ListKind.FULL, entries))
    while now_us < START_US + 8_000_000:
        events: list[tuple[int, object]] = []
        for sidecar, arrival_count in enumerate(arrivals_per_tick):
            for _ in range(arrival_count):
                request += 1
                events.append((sidecar, RequestArrived(request, now_us + 1_500_000, cost_us=cost_us)))
        for end in [end for end in attempt_ends if end[0] <= now_us]:
            attempt_ends.remove(end)
            attempt_outcome, elapsed_us = end[5], now_us - end[6]
            events.append(
                (
                    end[1],
                    AttemptEnded(end[2], end[4], end[3], attempt_outcome, elapsed_us, attempt_outcome is Outcome.OK),
                )
            )
        for timer in [timer for timer in timers if timer[0] <= now_us]:
            timers.remove(timer)
            events.append((timer[1], TimerFired(0)))
        for sidecar, event in events:
            for action in balancers[sidecar].handle(now_us, event):  # type: ignore[arg-type]
                if isinstance(action, Send):
                    attempt = attempt_counts.get(action.request, 0)
                    attempt_counts[action.request] = attempt + 1
                    upstream_speed = speed(now_us) if action.upstream == 1 else 1.0
                    end_us = max(free_at_us[action.upstream], now_us) + int(40_000 / upstream_speed)
                    attempt_outcome = outcome if action.upstream == 1 else Outcome.OK
                    if attempt_outcome is not Outcome.OK or end_us > now_us + 300_000:
                        end_us, attempt_outcome = (
                            now_us + 4_000,
                            Outcome.REJECTED if attempt_outcome is Outcome.OK else attempt_outcome,
                        )
                    else:
                        free_at_us[action.upstream] = end_us
                    attempt_ends.append(
                        (end_us, sidecar, action.request, action.upstream, attempt, attempt_outcome, now_us)
                    )
                    if action.upstream == 1:
                        sent_at_us.append(now_us)
        now_us += 4_000
    worst_ratio = 0.0
    for start_us in sent_at_us:
        work_us = 40_000 * sum(1 for at_us in sent_at_us if start_us <= at_us < start_us + config.overload_window_us)
        worst_ratio = max(worst_ratio, work_us / (config.overload_factor * speed(start_us) * config.overload_window_us))
    return worst_ratio


def test_warming_upstream_is_not_overloaded_by_all_sidecars_together() -> None:
    for arrivals_per_tick in ([1, 1, 1], [3, 0, 0], [1] * 8, [1] * 24, [4, 1, 1, 1]):
        for outcome in (Outcome.OK, Outcome.REJECTED, Outcome.ERROR, Outcome.CONNECT_FAILED):
            assert 0 < max_overload_ratio(arrivals_per_tick, outcome) <= 1, (arrivals_per_tick, outcome)
