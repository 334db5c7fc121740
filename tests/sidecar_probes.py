"""Hooks into a sidecar in this process: they record its requests, attempts and servers, and delay its connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.requests import AttemptResult, ClientRequest, FinalAnswer
from ryepier.sidecar.server import Server
from tests.network_peers import Upstream


def record_requests(monkeypatch: pytest.MonkeyPatch) -> list[ClientRequest]:
    """Return a list to which every request that a sidecar accepts from now on is added."""
    requests: list[ClientRequest] = []
    on_request = RequestDispatcher.on_request

    def record(self: RequestDispatcher, request: ClientRequest, reply: Callable[[FinalAnswer], None]) -> int:
        requests.append(request)
        return on_request(self, request, reply)

    monkeypatch.setattr(RequestDispatcher, "on_request", record)
    return requests


def record_ended_attempt_indexes(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return a list to which the index of each attempt within its request is added when the attempt ends."""
    attempt_indexes: list[int] = []
    end_attempt = RequestDispatcher._end_attempt

    def record(self: RequestDispatcher, open_request: Any, attempt_index: int, result: AttemptResult) -> None:
        attempt_indexes.append(attempt_index)
        end_attempt(self, open_request, attempt_index, result)

    monkeypatch.setattr(RequestDispatcher, "_end_attempt", record)
    return attempt_indexes


def record_servers(monkeypatch: pytest.MonkeyPatch) -> list[Server]:
    """Return a list to which every server that starts to listen from now on is added."""
    servers: list[Server] = []
    listen = Server.listen

    def record(self: Server) -> None:
        servers.append(self)
        listen(self)

    monkeypatch.setattr(Server, "listen", record)
    return servers


@dataclass
class DelayedConnections:
    """Delays connections to an upstream until `release` is set, and counts how many were started."""

    release: asyncio.Event = field(default_factory=asyncio.Event)
    started_count: int = 0

    def delay(self, upstream: Upstream, patch: pytest.MonkeyPatch) -> None:
        """Delay connections to `upstream` that are started from now on."""
        connect = asyncio.SelectorEventLoop.sock_connect

        async def connect_after_release(loop: asyncio.SelectorEventLoop, sock: socket.socket, address: Any) -> None:
            if address[1] == upstream.port:
                self.started_count += 1
                await self.release.wait()
            await connect(loop, sock, address)

        patch.setattr(asyncio.SelectorEventLoop, "sock_connect", connect_after_release)
