"""Sidecars with one mistake put in on purpose: `python -m tests.planted_sidecars MISTAKE`.

Each mistake breaks one path that a check of `tests/acceptance.py` guards, so that the check is seen to fail.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Iterable

from ryepier.balancer.interface import ListKind, Outcome, UpstreamState, UpstreamsUpdated
from ryepier.sidecar import __main__ as sidecar
from ryepier.sidecar.config import Config
from ryepier.sidecar.discovery import Address, Discovery
from ryepier.sidecar.host import Answer, Call, Host, Request, Result, Verdict
from ryepier.sidecar.server import Client, Server, State

LATE_S = 0.8  # past the request's time
EVERY_LATE = 5  # answers; one of so many comes late


def drop(requests: Iterable[Request]) -> None:
    """The answers to these requests are never written."""
    for request in requests:
        request.reply = lambda answer: None


def delay(wait_s: float, reply: Callable[[Answer], None], answer: Answer) -> None:
    """Write an answer later."""
    asyncio.get_running_loop().call_later(wait_s, reply, answer)


def forget_open_on_reload() -> None:
    """A new configuration costs the open requests their answers."""
    reload = Discovery.reload

    def reload_and_forget(self: Discovery, config: Config) -> None:
        host: Host = self.listener.__self__  # type: ignore[attr-defined]
        drop(host.requests.values())
        reload(self, config)

    Discovery.reload = reload_and_forget  # type: ignore[method-assign]


def forget_open_on_drain() -> None:
    """Requests that are out at an upstream that drains lose their answers."""
    forget = Host._forget

    def forget_with_requests(self: Host, ident: int) -> None:
        drop(
            request
            for request in self.requests.values()
            if any(attempt.upstream == ident and not attempt.ended for attempt in request.attempts)
        )
        forget(self, ident)

    Host._forget = forget_with_requests  # type: ignore[method-assign]


def forget_on_reset() -> None:
    """A request whose upstream's connection is reset or refused loses its answer."""
    end_attempt = Host._end_attempt

    def end_and_forget(self: Host, request: Request, number: int, result: Result) -> None:
        if result.outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
            drop([request])
        end_attempt(self, request, number, result)

    Host._end_attempt = end_and_forget  # type: ignore[method-assign]


def ignore_pieces() -> None:
    """A request that does not come in one piece is never taken."""
    received, take = Client.data_received, Client.take

    def count_pieces(self: Client, data: bytes) -> None:
        self.pieces = getattr(self, "pieces", 0) + 1  # type: ignore[attr-defined]
        received(self, data)

    def take_whole(self: Client) -> None:
        if self.pieces == 1:  # type: ignore[attr-defined]
            take(self)

    Client.data_received = count_pieces  # type: ignore[method-assign]
    Client.take = take_whole  # type: ignore[method-assign]


def close_halves_on_stop() -> None:
    """Told to end, it closes connections on which part of a request has come."""
    stop_idle = Server.stop_idle

    def stop_halves(self: Server) -> None:
        stop_idle(self)
        for state in (State.FRESH, State.READING):
            for client in list(self.clients[state]):
                if client.size:
                    client.close()

    Server.stop_idle = stop_halves  # type: ignore[method-assign]


def answer_late() -> None:
    """Some answers come after their request's time."""
    give, count = Host._answer, 0

    def give_late(self: Host, ident: int, answer: Answer) -> None:
        nonlocal count
        count += 1
        request = self.requests.get(ident)
        if count % EVERY_LATE == 0 and request is not None:
            wait_s, reply = request.call.deadline_us / 1e6 + LATE_S, request.reply
            request.reply = lambda late: delay(wait_s, reply, late)
        give(self, ident, answer)

    Host._answer = give_late  # type: ignore[method-assign]


def never_watch_again() -> None:
    """A watch that has fallen silent is not opened anew."""
    Discovery.check = lambda self: None  # type: ignore[method-assign]


def ignore_whole_lists() -> None:
    """Of a whole list nothing is taken but at the start."""
    changed = Host.list_changed

    def only_changes(self: Host, event: UpstreamsUpdated, addresses: dict[int, Address]) -> None:
        if event.kind is not ListKind.FULL or not self.addresses:
            changed(self, event, addresses)

    Host.list_changed = only_changes  # type: ignore[method-assign]


def lose_watch_on_reload() -> None:
    """After a new configuration it watches nothing."""

    def move_and_stop(self: Discovery, address: Address) -> None:
        self.address = address
        self.stop()

    Discovery.move = move_and_stop  # type: ignore[method-assign]


def trust_known_list() -> None:
    """A new process stays with the list that it knew."""
    Discovery.start = lambda self: None  # type: ignore[method-assign]


def refuse_while_cold() -> None:
    """Nothing is sent while the last word of the list names only cold upstreams."""
    list_changed, arrived, cold = Host.list_changed, Host.arrived, False

    def note_cold(self: Host, event: UpstreamsUpdated, addresses: dict[int, Address]) -> None:
        nonlocal cold
        ready = [one for one in event.upstreams if one.state is UpstreamState.READY]
        cold = bool(ready) and all(one.started_us for one in ready)
        list_changed(self, event, addresses)

    def refuse(self: Host, call: Call, reply: Callable[[Answer], None]) -> int:
        if not cold:
            return arrived(self, call, reply)
        reply(Answer(Verdict.REFUSED))
        return 0

    Host.list_changed = note_cold  # type: ignore[method-assign]
    Host.arrived = refuse  # type: ignore[method-assign]


MISTAKES: dict[str, Callable[[], None]] = {
    one.__name__: one
    for one in (
        forget_open_on_reload,
        forget_open_on_drain,
        forget_on_reset,
        ignore_pieces,
        close_halves_on_stop,
        answer_late,
        never_watch_again,
        ignore_whole_lists,
        lose_watch_on_reload,
        trust_known_list,
        refuse_while_cold,
    )
}


if __name__ == "__main__":
    MISTAKES[sys.argv[1]]()
    sys.exit(sidecar.main())
