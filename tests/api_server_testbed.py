"""An emulated Kubernetes API server, and a slice source that follows it."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from ryepier.balancer.interface import ListKind, UpstreamState, UpstreamsUpdated
from ryepier.emulator.api_server import ApiServer
from ryepier.emulator.api_store import SERVICE_LABEL, Store
from ryepier.sidecar.system import clock_us
from ryepier.slices.api_client import Access
from ryepier.slices.endpoint_listing import ListingRules
from ryepier.slices.slice_source import Settings, SliceSource
from tests.network_peers import HANG_TIMEOUT_S

READY, DRAINING, REMOVED = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.REMOVED
PORTS = [{"name": "http", "port": 80, "protocol": "TCP"}]


def run_bounded(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test in an event loop, with a timeout."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(4 * HANG_TIMEOUT_S):
            await test()

    asyncio.run(run_with_timeout())


def slice_content(*pods: str, draining: str = "", family: str = "IPv4") -> dict[str, Any]:
    """Return the content of a slice with these pods as endpoints; pods are named p1 to p254, after their address.

    Pods whose names occur in `draining` are terminating and not ready.
    """
    prefix = "10.0.0." if family == "IPv4" else "fd00::"
    return {
        "addressType": family,
        "ports": PORTS,
        "endpoints": [
            {
                "addresses": [f"{prefix}{pod[1:]}"],
                "targetRef": {"kind": "Pod", "uid": pod},
                "conditions": {"ready": pod not in draining, "terminating": pod in draining},
            }
            for pod in pods
        ],
    }


class ApiServerTestbed:
    """An emulated API server, a slice source that follows it, and the updates that the source published."""

    def __init__(self) -> None:
        self.store = Store()
        self.api = ApiServer(self.store, bookmark_interval_s=0.1)
        self.port = 0
        self.events: list[UpstreamsUpdated] = []
        self.source: SliceSource | None = None

    def put(self, name: str, *pods: str, draining: str = "", family: str = "IPv4") -> None:
        """Create or replace a slice of the service `convert`."""
        self.store.put(
            "default", name, slice_content(*pods, draining=draining, family=family), {SERVICE_LABEL: "convert"}
        )
        self.api.on_change()

    def follow(self, access: Access | None = None, **options: Any) -> SliceSource:
        """Start a source that first publishes its cached list, if any; `options` are further fields of its settings."""
        settings = Settings(
            access or Access("127.0.0.1", self.port, False),
            "default",
            "convert",
            ListingRules([], 0, settle_us=50_000),
            **options,
        )
        self.source = SliceSource(settings, self.on_update, clock_us)
        self.source.restore_cached_list()
        self.source.start()
        return self.source

    def on_update(self, event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        """Record an update that the source published."""
        assert all(upstream.id in addresses for upstream in event.upstreams)
        self.events.append(event)

    def states(self) -> dict[str, UpstreamState]:
        """Return the state of each pod that the decision module knows after all updates so far."""
        assert self.source is not None
        state_by_id: dict[int, UpstreamState] = {}
        for event in self.events:
            if event.kind in (ListKind.FULL, ListKind.CACHED):
                state_by_id.clear()
            state_by_id |= {upstream.id: upstream.state for upstream in event.upstreams}
        return {uid: state_by_id[upstream_id] for uid, upstream_id in self.source.upstream_ids().items()}


@asynccontextmanager
async def api_server_testbed(tls_context: ssl.SSLContext | None = None) -> AsyncIterator[ApiServerTestbed]:
    """Run an emulated API server on a free port. The source and the server are stopped when the context exits."""
    testbed = ApiServerTestbed()
    testbed.port = await testbed.api.listen("127.0.0.1", 0, tls_context)
    try:
        yield testbed
    finally:
        if testbed.source is not None:
            testbed.source.stop()
        testbed.api.close()
