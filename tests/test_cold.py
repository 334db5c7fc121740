"""Cold upstreams: what one sidecar gives them, and what the sum of a fleet may."""

from __future__ import annotations

from glenkeel.interface import Advice, ListKind, Outcome, PlanUpdated, Upstream
from tests.world import World, settings, upstreams

PAY = 1
AGAIN = 100  # the upstream that starts again under its id


def fails_then_starts_again() -> World:
    """It could not be reached for seconds, and then is listed with a new start, 5 s ago."""
    world = World(settings(second_copies=False))
    world.tell_list(upstreams(4))
    for _ in range(400):
        request = world.arrive(PAY)
        sent = world.sends(request)
        world.advance(5_000)
        for nth, send in enumerate(sent[-1:]):
            failed = send.upstream == AGAIN
            world.end(request, nth, Outcome.CONNECT_FAILED if failed else Outcome.OK)
        world.advance(5_000)
    world.tell_list([Upstream(AGAIN, started_us=world.now_us - 5_000_000)], ListKind.DELTA)
    return world


def sent_again(world: World) -> int:
    before = len(world.sends())
    for _ in range(40):
        request = world.arrive(PAY)
        world.advance(10_000)
        for send in world.sends(request)[-1:]:
            assert send.upstream in world.known
            world.end(request, len(world.owed[request].tries) - 1, Outcome.OK)
        world.advance(10_000)
    return sum(1 for send in world.sends()[before:] if send.upstream == AGAIN)


def test_what_an_upstream_did_before_it_started_again_is_forgotten() -> None:
    # a cold one of 0.4 beside three warm ones: about an eighth of 40
    assert sent_again(fails_then_starts_again()) >= 3


def test_a_plans_advice_outlasts_a_start() -> None:
    world = World(settings(second_copies=False))
    world.tell_list(upstreams(4))
    world.tell(PlanUpdated([Advice(AGAIN, rests=True)]))
    world.tell_list([Upstream(AGAIN, started_us=world.now_us - 5_000_000)], ListKind.DELTA)
    assert sent_again(world) == 0
