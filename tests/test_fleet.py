"""What is harmless in one sidecar and harmful in forty: each sees few requests, of many upstreams."""

from __future__ import annotations

from glenkeel.interface import ListKind, Outcome, Upstream
from tests.world import World, settings, upstreams

READ = 0


def light_world(count: int = 30, **changes: object) -> World:
    """One of forty sidecars: it is in use of a few of many upstreams, and gets 20 requests a second."""
    world = World(settings(second_copies=False, instances=40, **changes))
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
    # by warmth, 0.2 to 0.6 of 30, they are worth about a quarter of the fleet; taken carefully, a fifth
    assert 24 <= sent_to(world, {entry.id for entry in cold}) <= 60
