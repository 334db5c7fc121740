"""A sidecar can be assembled with another endpoint source and an additional front end."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ryepier.balancer.interface import ListKind, Upstream, UpstreamsUpdated
from ryepier.sidecar import components
from ryepier.sidecar.config import Config, load
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.server import Server
from ryepier.sidecar.serving import serve
from tests.loopback_ports import free_port
from tests.network_peers import OK, Sidecar, request, respond_in_turn, wait_until, write_configuration
from tests.network_peers import Upstream as Peer


class StaticSource:
    """A source with a fixed list of one converter, which records the discovery addresses of reloads."""

    def __init__(self, dispatcher: RequestDispatcher, port: int) -> None:
        self.dispatcher = dispatcher
        self.port = port
        self.reloaded_addresses: list[tuple[str, int]] = []

    def restore_cached_list(self) -> None:
        self.dispatcher.on_endpoints(UpstreamsUpdated(ListKind.CACHED, [Upstream(7)]), {7: ("127.0.0.1", self.port)})

    def start(self) -> None:
        self.dispatcher.on_endpoints(UpstreamsUpdated(ListKind.FULL, [Upstream(7)]), {7: ("127.0.0.1", self.port)})

    async def wait_for_first_list(self) -> None:
        pass

    def subscribe(self, active: bool) -> None:
        pass

    def upstream_ids(self) -> dict[str, int]:
        return {"c7": 7}

    def apply_config(self, config: Config) -> None:
        self.reloaded_addresses.append(config.discovery)


def test_endpoint_source_and_two_front_ends_share_one_dispatcher(tmp_path: Path) -> None:
    async def test() -> None:
        peer = Peer(respond_in_turn(OK))
        await peer.start()
        path = write_configuration(tmp_path, known=None)
        config = load(str(path))
        second_port, sources, dispatchers = free_port(), [], []

        def make_source(config: Config, dispatcher: RequestDispatcher) -> components.EndpointSource:
            sources.append(StaticSource(dispatcher, peer.port))
            return sources[-1]

        def make_front_end(config: Config, dispatcher: RequestDispatcher) -> components.FrontEnd:
            dispatchers.append(dispatcher)
            return Server(dispatcher, config.settings, ("127.0.0.1", second_port), 10, 100_000)

        stop, reload = asyncio.Event(), asyncio.Event()
        task = asyncio.create_task(
            serve(config, stop, reload, components.Components(make_source, (components.http_front_end, make_front_end)))
        )
        await wait_until(lambda: len(dispatchers) == 1)
        for port in (config.listen[1], second_port):
            sidecar = Sidecar(port, stop, reload, task)
            head, _ = await sidecar.fetch(request("pay", body=b"b", deadline_ms=1000))
            assert head.startswith(b"HTTP/1.1 200 ")
        reload.set()
        await wait_until(lambda: sources[0].reloaded_addresses == [("127.0.0.1", 1)])
        stop.set()
        await task
        peer.stop()

    asyncio.run(test())
