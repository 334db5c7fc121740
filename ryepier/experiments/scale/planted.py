"""Mistakes that cost more as the fleet grows.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

from collections.abc import Callable

from ryepier.balancer.balancer import MAX_RETRY_BUDGET, Balancer, Request, Server

SCANS = 2


def scan() -> None:
    """Each draw goes twice more through all upstreams."""
    draw = Balancer.draw

    def draw_after_a_look(self: Balancer, request: Request) -> Server | None:
        for _ in range(SCANS):
            self.free_slots(request, list(self.servers.values()), True)
        return draw(self, request)

    Balancer.draw = draw_after_a_look  # type: ignore[method-assign]


def no_budget() -> None:
    """What is sent again costs nothing, and so has no bound but its time."""
    send = Balancer.send

    def send_for_nothing(self: Balancer, request: Request, server: Server) -> None:
        send(self, request, server)
        self.retry_budget = MAX_RETRY_BUDGET

    Balancer.send = send_for_nothing  # type: ignore[method-assign]


PLANTS: dict[str, Callable[[], None]] = {
    "scan": scan,
    "no-budget": no_budget,
}
