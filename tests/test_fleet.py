"""What is harmless in one sidecar and harmful in forty: each sees few requests, of many upstreams."""

from __future__ import annotations

import pytest

from glenkeel.interface import ListKind, Outcome, Subscribe, Upstream, UpstreamsUpdated
from tests.world import World, settings, upstreams

READ, PAY = 0, 1


def light_world(count: int = 30, **changes: object) -> World:
    """One of forty sidecars: it is in use of a few of many upstreams, and gets 20 requests a second."""
    world = World(settings(second_copies=False, instances=40, overload_factor=4.0, **changes))
    world.tell_list(upstreams(count))
    serve(world, 100)
    return world


def serve(world: World, requests: int, took_us: int = 30_000) -> None:
    for _ in range(requests):
        request = world.arrive(READ)
        world.advance(took_us)
        if world.sends(request):
            world.end(request, 0, Outcome.OK)
        world.advance(max(0, 50_000 - took_us))


def sent_to(world: World, idents: set[int]) -> int:
    return sum(1 for send in world.sends() if send.upstream in idents)


def test_cold_upstreams_get_their_part_though_enough_warm_ones_are_in_use() -> None:
    world = light_world()
    cold = [Upstream(i, started_us=world.now_us) for i in range(1, 31)]
    world.tell_list(cold, ListKind.DELTA)
    serve(world, 200)
    # surely, by warmth of 0.2 to 0.6, a quarter of the fleet's work is theirs; as they are quick, up to half
    assert 50 <= sent_to(world, {entry.id for entry in cold}) <= 90


def cold_sends_of_the_second_five_seconds(took_us: int) -> int:
    """To half the fleet, cold anew, by a sidecar whose cold upstreams all answer in that time."""
    world = light_world()
    cold = [Upstream(i, started_us=world.now_us) for i in range(1, 31)]
    world.tell_list(cold, ListKind.DELTA)
    idents = {entry.id for entry in cold}
    before = 0
    for number in range(200):
        if number == 100:
            before = sent_to(world, idents)
        request = world.arrive(PAY)
        sent = world.sends(request)
        world.advance(took_us if sent and sent[0].upstream in idents else 30_000)
        if sent:
            world.end(request, 0, Outcome.OK)
        world.advance(20_000)
    return sent_to(world, idents) - before


def test_cold_upstreams_that_answer_fast_get_more_than_they_surely_can_do_and_slow_ones_less() -> None:
    fast, slow = cold_sends_of_the_second_five_seconds(30_000), cold_sends_of_the_second_five_seconds(280_000)
    assert fast >= 36 and slow <= 20


def test_cold_upstreams_whose_turn_has_come_are_sent_to_while_the_warm_ones_are_thinned() -> None:
    world = light_world()
    for _ in range(100):  # the warm ones choke
        request = world.arrive(PAY)
        world.advance(290_000)
        if world.sends(request):
            world.end(request, 0, Outcome.OK)
    world.tell_list([Upstream(i, started_us=world.now_us - 10_000_000) for i in range(1, 31)], ListKind.DELTA)
    before = len(world.sends())
    for _ in range(100):
        request = world.arrive(PAY)
        sent = world.sends(request)
        world.advance(30_000 if sent and sent[0].upstream <= 30 else 290_000)
        if sent:
            world.end(request, 0, Outcome.OK)
    assert sum(1 for send in world.sends()[before:] if send.upstream <= 30) >= 15  # of 35


def test_a_small_cold_upstream_gets_less_and_a_heavy_request_none() -> None:
    world = light_world(weighted=True)
    cold = [Upstream(i, weight=0.5 if i <= 15 else 2.0, started_us=world.now_us) for i in range(1, 31)]
    world.tell_list(cold, ListKind.DELTA)
    heavy = set()
    for number in range(200):
        request = world.arrive(READ, cost_us=1_000_000 if number % 10 == 0 else 20_000)
        if number % 10 == 0:
            heavy.add(request)
        world.advance(30_000)
        if world.sends(request):
            world.end(request, 0, Outcome.OK)
        world.advance(10_000)
    small, large = sent_to(world, set(range(1, 16))), sent_to(world, set(range(16, 31)))
    assert 3 * small < 2 * large and small > 0  # of equal size they would get the same
    assert not [send for send in world.sends() if send.request in heavy and send.upstream <= 30]


def first_asks_us(world: World) -> int:
    """How long after a failed call the list is asked for again."""
    world.tell_list(upstreams(4), ListKind.CACHED)
    world.advance(2_000_000)
    failed_us, before = world.now_us, len(world.log)
    world.tell(UpstreamsUpdated(ListKind.FAILED))
    while not any(isinstance(action, Subscribe) for action in world.log[before:]):
        world.advance(10_000)
    return world.now_us - failed_us


@pytest.mark.parametrize(("sidecars", "longest_us"), [(3, 260_000), (40, 2_010_000)])
def test_sidecars_whose_list_calls_failed_together_come_again_one_by_one(sidecars: int, longest_us: int) -> None:
    config = settings(list_on_request=True, ask_within_us=10_000_000, instances=sidecars)
    asked = sorted(first_asks_us(World(config, seed)) for seed in range(40))
    assert asked[-1] <= longest_us
    quarter = longest_us // 4
    most = max(sum(1 for at in asked if start <= at < start + quarter) for start in range(0, longest_us, quarter))
    assert most <= 18, "40 calls over the span: about 10 in a quarter of it"
