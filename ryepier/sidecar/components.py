"""The components of a sidecar: a source of the endpoint list, front ends that accept requests, and background services.

Each is defined by a protocol, so that other implementations can be added to the platform's own or replace them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from ryepier.sidecar import system
from ryepier.sidecar.config import Config
from ryepier.sidecar.discovery import DiscoveryClient
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.endpoint_registry import EndpointRegistry
from ryepier.sidecar.request_buffers import max_buffered_bytes, max_client_connections
from ryepier.sidecar.server import Server


class EndpointSource(Protocol):
    """Follows the endpoint list and passes each update to `RequestDispatcher.on_endpoints`."""

    def restore_cached_list(self) -> None:
        """Pass the cached list to the dispatcher, if there is one."""

    def start(self) -> None:
        """Start following the list."""

    async def wait_for_first_list(self) -> None:
        """Wait until the list is current, or until further waiting would only delay the start."""

    def subscribe(self, active: bool) -> None:
        """Start or stop the decision module's subscription to changes of the list."""

    def upstream_ids(self) -> Mapping[str, int]:
        """Return the upstream id of each known endpoint, by the endpoint's uid."""

    def apply_config(self, config: Config) -> None:
        """Apply the part of a new configuration that concerns this source."""


class FrontEnd(Protocol):
    """Accepts requests, passes them to `RequestDispatcher.on_request`, and writes their responses."""

    def listen(self) -> None:
        """Start accepting connections."""

    def close_idle(self) -> None:
        """Begin the shutdown: close idle connections now, and the others after their current responses."""

    def stop_listening(self) -> None:
        """Accept the connections waiting in the listener's queue, then stop listening."""

    def reject_partial_requests(self) -> None:
        """Reject the requests of which only a part has arrived."""

    def connection_count(self) -> int:
        """Return the number of open connections."""


class BackgroundService(Protocol):
    """Runs alongside the request path and may send updates to the decision module; no request waits for it."""

    def start(self) -> None:
        """Start the service's tasks; called once the dispatcher and the endpoint source have started."""

    def stop(self) -> None:
        """Stop the service, once all front ends have shut down."""


@dataclass(frozen=True, slots=True)
class Components:
    """Factories for the components of one sidecar, which all share one dispatcher."""

    source: Callable[[Config, RequestDispatcher], EndpointSource]
    front_ends: Sequence[Callable[[Config, RequestDispatcher], FrontEnd]]
    background_services: Sequence[Callable[[Config, RequestDispatcher, EndpointSource], BackgroundService]] = ()


def discovery_source(config: Config, dispatcher: RequestDispatcher) -> EndpointSource:
    """Create the endpoint source that follows the platform's discovery."""
    return DiscoveryClient(
        config.discovery,
        EndpointRegistry(config.zones, config.kinds),
        dispatcher.on_endpoints,
        is_pushed=not config.settings.polls_endpoints,
        cached_list=config.cached_list,
    )


def http_front_end(config: Config, dispatcher: RequestDispatcher) -> FrontEnd:
    """Create the front end that accepts HTTP/1.1 requests in the platform's protocol."""
    # Half of the descriptors are for clients and 3/8 for connections to upstreams. The remaining 1/8 are for discovery,
    # the listener, the log and connections that are being closed.
    used_bytes = system.resident_bytes()
    return Server(
        dispatcher,
        config.settings,
        config.listen,
        max_clients=max_client_connections(config.max_descriptors, config.memory_mb, used_bytes),
        max_buffered_bytes=max_buffered_bytes(config.memory_mb, used_bytes),
    )


PLATFORM_COMPONENTS = Components(discovery_source, (http_front_end,))
