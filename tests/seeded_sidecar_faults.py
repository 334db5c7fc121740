"""Runs a sidecar with a seeded fault: `python -m tests.seeded_sidecar_faults FAULT`.

Each fault breaks behaviour that a check in `tests/acceptance.py` covers, to show that the check can fail.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Iterable

from ryepier.balancer.interface import ListKind, Outcome, UpstreamState, UpstreamsUpdated
from ryepier.sidecar import process as sidecar
from ryepier.sidecar.client_connection import ClientConnection, ClientState
from ryepier.sidecar.config import Config
from ryepier.sidecar.discovery import DiscoveryClient
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.open_requests import OpenRequest
from ryepier.sidecar.requests import Address, AttemptResult, ClientRequest, FinalAnswer, FinalOutcome
from ryepier.sidecar.server import Server

LATE_S = 0.8  # late answers are written at least this long after the request's deadline
LATE_INTERVAL = 5  # every fifth answer is late


def discard_answers(requests: Iterable[OpenRequest]) -> None:
    """Make the sidecar discard the answers to these requests instead of writing them."""
    for open_request in requests:
        open_request.reply = lambda answer: None


def answer_later(wait_s: float, reply: Callable[[FinalAnswer], None], answer: FinalAnswer) -> None:
    """Write an answer after a delay."""
    asyncio.get_running_loop().call_later(wait_s, reply, answer)


def forget_open_on_reload() -> None:
    """Discard the answers of all open requests when the configuration is reloaded."""
    apply_config = DiscoveryClient.apply_config

    def apply_config_and_forget(self: DiscoveryClient, config: Config) -> None:
        dispatcher: RequestDispatcher = self.listener.__self__  # type: ignore[attr-defined]
        discard_answers(dispatcher.requests.values())
        apply_config(self, config)

    DiscoveryClient.apply_config = apply_config_and_forget  # type: ignore[method-assign]


def forget_open_on_drain() -> None:
    """Discard the answers of requests with an attempt in flight at an upstream that is removed or drained."""
    remove_upstream = RequestDispatcher._remove_upstream

    def discard_answers_and_remove_upstream(self: RequestDispatcher, upstream: int) -> None:
        discard_answers(
            open_request
            for open_request in self.requests.values()
            if any(attempt.upstream == upstream and not attempt.ended for attempt in open_request.attempts)
        )
        remove_upstream(self, upstream)

    RequestDispatcher._remove_upstream = discard_answers_and_remove_upstream  # type: ignore[method-assign]


def forget_on_reset() -> None:
    """Discard the answer of a request if the connection of its attempt is reset or can't be established."""
    end_attempt = RequestDispatcher._end_attempt

    def end_and_forget(
        self: RequestDispatcher, open_request: OpenRequest, attempt_index: int, result: AttemptResult
    ) -> None:
        if result.outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
            discard_answers([open_request])
        end_attempt(self, open_request, attempt_index, result)

    RequestDispatcher._end_attempt = end_and_forget  # type: ignore[method-assign]


def ignore_pieces() -> None:
    """Never accept a request that arrives in more than one piece."""
    data_received, accept_request = ClientConnection.data_received, ClientConnection._accept_request

    def count_pieces(self: ClientConnection, data: bytes) -> None:
        self.piece_count = getattr(self, "piece_count", 0) + 1  # type: ignore[attr-defined]
        data_received(self, data)

    def accept_unsplit(self: ClientConnection) -> None:
        if self.piece_count == 1:  # type: ignore[attr-defined]
            accept_request(self)

    ClientConnection.data_received = count_pieces  # type: ignore[method-assign]
    ClientConnection._accept_request = accept_unsplit  # type: ignore[method-assign]


def close_partial_on_shutdown() -> None:
    """Close connections with a partial request when the shutdown begins."""
    close_idle = Server.close_idle

    def close_idle_and_partial(self: Server) -> None:
        close_idle(self)
        for state in (ClientState.NEW, ClientState.READING):
            for client in list(self.clients_by_state[state]):
                if client.reader.received_bytes:
                    client.close()

    Server.close_idle = close_idle_and_partial  # type: ignore[method-assign]


def answer_late() -> None:
    """Write some answers after their request's deadline."""
    answer_on_time, answer_count = RequestDispatcher._answer, 0

    def answer_some_late(self: RequestDispatcher, ident: int, answer: FinalAnswer) -> None:
        nonlocal answer_count
        answer_count += 1
        open_request = self.requests.get(ident)
        if answer_count % LATE_INTERVAL == 0 and open_request is not None:
            wait_s, reply = open_request.request.deadline_us / 1e6 + LATE_S, open_request.reply
            open_request.reply = lambda answer: answer_later(wait_s, reply, answer)
        answer_on_time(self, ident, answer)

    RequestDispatcher._answer = answer_some_late  # type: ignore[method-assign]


def never_watch_again() -> None:
    """Never fail a watch that has fallen silent."""
    DiscoveryClient.check_liveness = lambda self: None  # type: ignore[method-assign]


def ignore_complete_lists() -> None:
    """Ignore complete lists, except the first one."""
    on_endpoints = RequestDispatcher.on_endpoints

    def apply_changes_only(self: RequestDispatcher, event: UpstreamsUpdated, addresses: dict[int, Address]) -> None:
        if event.kind is not ListKind.FULL or not self.addresses:
            on_endpoints(self, event, addresses)

    RequestDispatcher.on_endpoints = apply_changes_only  # type: ignore[method-assign]


def lose_watch_on_reload() -> None:
    """Close the watch on a configuration reload and open no new one."""

    def apply_and_stop(self: DiscoveryClient, config: Config) -> None:
        self.address = config.discovery
        self.stop()

    DiscoveryClient.apply_config = apply_and_stop  # type: ignore[method-assign]


def keep_configured_list() -> None:
    """Keep the cached list of the configuration after the start, and open no watch."""
    DiscoveryClient.start = lambda self: None  # type: ignore[method-assign]


def reject_while_warming_up() -> None:
    """Reject all requests while all ready upstreams of the last list update are warming up."""
    on_endpoints, on_request, is_warming_up = RequestDispatcher.on_endpoints, RequestDispatcher.on_request, False

    def record_warming_up(self: RequestDispatcher, event: UpstreamsUpdated, addresses: dict[int, Address]) -> None:
        nonlocal is_warming_up
        ready_upstreams = [upstream for upstream in event.upstreams if upstream.state is UpstreamState.READY]
        is_warming_up = bool(ready_upstreams) and all(upstream.started_at_us for upstream in ready_upstreams)
        on_endpoints(self, event, addresses)

    def reject_if_warming_up(
        self: RequestDispatcher, request: ClientRequest, reply: Callable[[FinalAnswer], None]
    ) -> int:
        if not is_warming_up:
            return on_request(self, request, reply)
        reply(FinalAnswer(FinalOutcome.REJECTED))
        return 0

    RequestDispatcher.on_endpoints = record_warming_up  # type: ignore[method-assign]
    RequestDispatcher.on_request = reject_if_warming_up  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    install_fault.__name__: install_fault
    for install_fault in (
        forget_open_on_reload,
        forget_open_on_drain,
        forget_on_reset,
        ignore_pieces,
        close_partial_on_shutdown,
        answer_late,
        never_watch_again,
        ignore_complete_lists,
        lose_watch_on_reload,
        keep_configured_list,
        reject_while_warming_up,
    )
}


if __name__ == "__main__":
    SEEDED_FAULTS[sys.argv[1]]()
    sys.exit(sidecar.main())
