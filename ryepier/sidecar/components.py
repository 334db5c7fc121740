"""The components of a sidecar: a source of the endpoint list, front ends that accept requests, and background services.

Each is described by what it must do, so that others can stand beside or in place of the platform's own.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from ryepier.sidecar.config import Config
from ryepier.sidecar.discovery import DiscoveryClient
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.endpoint_registry import EndpointRegistry
from ryepier.sidecar.server import Server


class EndpointSource(Protocol):
    """Follows the endpoint list and notifies the dispatcher of it, by `RequestDispatcher.on_endpoints`."""

    def restore_cached(self) -> None:
        """Notify of the cached list, if there is one."""

    def start(self) -> None:
        """Follow the list from now on."""

    async def wait_for_first_list(self) -> None:
        """Wait until the list is current, or until waiting longer would not help."""

    def subscribe(self, active: bool) -> None:
        """Subscribe the decision module to changes, or end that."""

    def upstream_ids(self) -> Mapping[str, int]:
        """Return the dispatcher's number of each known endpoint by its uid."""

    def apply_config(self, config: Config) -> None:
        """Apply what concerns this source in a new configuration."""


class FrontEnd(Protocol):
    """Accepts requests, passes them to `RequestDispatcher.on_request`, and writes their responses."""

    def listen(self) -> None:
        """Accept connections from now on."""

    def close_idle(self) -> None:
        """Begin the shutdown: close connections without a request, and the others with their responses."""

    def stop_listening(self) -> None:
        """Accept the waiting connections, and no more."""

    def reject_partial_requests(self) -> None:
        """Answer the requests that have arrived in part."""

    def connection_count(self) -> int:
        """Return how many connections are open."""


class BackgroundService(Protocol):
    """Runs beside the sidecar and may advise its decision module; no request ever waits for it."""

    def start(self) -> None:
        """Start."""

    def stop(self) -> None:
        """Stop, as the sidecar shuts down."""


@dataclass(frozen=True, slots=True)
class Components:
    """How to make the components of one sidecar; all share one dispatcher."""

    source: Callable[[Config, RequestDispatcher], EndpointSource]
    front_ends: Sequence[Callable[[Config, RequestDispatcher], FrontEnd]]
    background_services: Sequence[Callable[[Config, RequestDispatcher, EndpointSource], BackgroundService]] = ()


def discovery_source(config: Config, dispatcher: RequestDispatcher) -> EndpointSource:
    """Return the source that follows the platform's discovery."""
    return DiscoveryClient(
        config.discovery,
        EndpointRegistry(config.zones, config.kinds),
        dispatcher.on_endpoints,
        pushed=not config.settings.polls_endpoints,
        known=config.cached_list,
    )


def http_front_end(config: Config, dispatcher: RequestDispatcher) -> FrontEnd:
    """Return the front end for HTTP/1.1 as the platform's protocol describes it."""
    # The rest of the descriptors is for discovery, the listener, the log, and connections that are being closed.
    return Server(dispatcher, config.settings, config.listen, max_clients=config.max_descriptors // 2)


PLATFORM = Components(discovery_source, (http_front_end,))
