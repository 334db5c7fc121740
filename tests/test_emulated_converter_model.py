"""The model of a converter: which requests run, which are rejected, and which are deduplicated."""

from __future__ import annotations

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from ryepier.emulator.converter_model import (
    Action,
    ConverterModel,
    Crashed,
    Done,
    IdempotencyCache,
    Rejected,
    Started,
    Work,
)
from ryepier.emulator.draws import Machine
from ryepier.emulator.world import Converters, Reports, WarmUp

WARM_UP = WarmUp(initial_capacity_share=0.25, warm_up_s=4.0, overload_factor=2.0, overload_window_s=1.0)


def make_model(
    cache: IdempotencyCache | None = None, started_us: int | None = None, cores: int = 1, queue_limit: int = 2
) -> ConverterModel:
    group = Converters(count=1, cores=cores, queue_limit=queue_limit)
    return ConverterModel(
        Machine(0, group, 1.0, 1),
        WARM_UP,
        Reports(),
        cache or IdempotencyCache(),
        np.random.Generator(np.random.PCG64(1)),
        started_us,
    )


def run_until_idle(model: ConverterModel) -> list[Action]:
    """Advance the model until it is idle, and return its actions."""
    actions: list[Action] = []
    while model.next_us is not None:
        actions += model.advance(model.next_us)
    return actions


def test_requests_run_on_the_cores_then_queue_and_then_are_rejected() -> None:
    model = make_model(cores=1, queue_limit=2)
    actions = [model.on_request(0, Work(token, "", 1000)) for token in range(4)]
    assert actions == [[Started(0)], [], [], [Rejected(3)]]
    assert model.advance(999) == [] and model.advance(1000) == [Done(0, True), Started(1)]
    assert run_until_idle(model) == [Done(1, True), Started(2), Done(2, True)]


def test_a_draining_converter_finishes_its_work_and_rejects_new_requests() -> None:
    model = make_model()
    model.on_request(0, Work(1, "", 1000))
    model.draining = True
    assert model.on_request(1, Work(2, "", 1000)) == [Rejected(2)]
    assert run_until_idle(model) == [Done(1, True)]


def test_a_pod_deduplicates_repeats_within_the_window_at_any_converter() -> None:
    cache = IdempotencyCache()
    first_converter, second_converter = make_model(cache), make_model(cache)
    first_converter.on_request(0, Work(1, "k", 1000, window_us=5000))
    # the repeat waits until the first request is done
    assert second_converter.on_request(10, Work(1, "k", 1000, window_us=5000)) == []
    assert run_until_idle(first_converter) == [Done(1, True)] and cache.released_repeats == [(second_converter, 1)]
    assert second_converter.on_request(4999, Work(2, "k", 1000, window_us=5000)) == [Done(2, False)]
    assert second_converter.on_request(5000, Work(3, "k", 1000, window_us=5000)) == [Started(3)]


def test_a_repeat_runs_if_the_first_execution_was_lost_with_its_process() -> None:
    cache = IdempotencyCache()
    first_converter, second_converter = make_model(cache), make_model(cache)
    first_converter.on_request(0, Work(1, "k", 1000, window_us=5000))
    assert first_converter.stop() == []
    assert second_converter.on_request(10, Work(1, "k", 1000, window_us=5000)) == [Started(1)]


def test_a_converter_that_warms_up_is_slower_and_crashes_under_overload() -> None:
    warming_up_model, warm_model = make_model(started_us=0, queue_limit=99), make_model(queue_limit=99)
    warming_up_model.on_request(0, Work(0, "", 1000))
    assert warming_up_model.next_us == 4000  # 1000 us of work at a quarter of its capacity
    has_crashed = [Crashed() in warming_up_model.on_request(1, Work(token, "", 100_000)) for token in range(1, 8)]
    # the limit is 2 x 0.25 s of work within the window; the fifth of these requests brings the sum to 501 ms
    assert has_crashed.index(True) == 4
    assert not any(Crashed() in warm_model.on_request(1, Work(token, "", 100_000)) for token in range(20))


def test_a_hang_leaves_the_remaining_service_times_unchanged() -> None:
    model = make_model()
    model.on_request(0, Work(1, "", 1000))
    model.hang(400)
    assert model.next_us is None and model.on_request(500, Work(2, "", 1000)) == [] and model.advance(90_000) == []
    model.resume(100_000)
    assert model.next_us == 100_600 and run_until_idle(model) == [Done(1, True), Started(2), Done(2, True)]


def test_a_handshake_delays_the_next_request() -> None:
    model = make_model()
    model.on_connection(0)
    model.on_request(0, Work(1, "", 1000))
    assert model.next_us == 1300


@given(
    st.lists(st.tuples(st.integers(0, 3000), st.sampled_from(["", "a", "b"]), st.integers(1, 4000)), max_size=30),
    st.integers(1, 3),
    st.integers(0, 4),
)
def test_each_request_ends_once_and_each_key_runs_once_within_its_window(
    arrivals: list[tuple[int, str, int]], cores: int, queue_limit: int
) -> None:
    cache, now_us, actions = IdempotencyCache(), 0, list[Action]()
    pod = [make_model(cache, cores=cores, queue_limit=queue_limit) for _ in range(2)]
    window_us = 10**9
    for token, (gap_us, key, work_us) in enumerate(arrivals):
        now_us += gap_us
        actions += pod[token % 2].on_request(now_us, Work(token, key, work_us, window_us))
    for model in pod:
        actions += run_until_idle(model)
    actions += [Done(token, False) for _, token in cache.released_repeats]
    ended_tokens = [action.token for action in actions if isinstance(action, Done | Rejected)]
    assert sorted(ended_tokens) == list(range(len(arrivals)))
    started_keys = [arrivals[action.token][1] for action in actions if isinstance(action, Started)]
    assert all(started_keys.count(key) <= 1 for key in ("a", "b"))
