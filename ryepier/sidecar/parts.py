"""What a sidecar is put together from: a source of the upstream list, and fronts that take requests.

Both are named by what they must do, so that others can stand beside the platform's own without a change here.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from ryepier.sidecar.config import Config
from ryepier.sidecar.discovery import Directory, Discovery
from ryepier.sidecar.host import Host
from ryepier.sidecar.server import Server


class Source(Protocol):
    """Follows the upstream list and tells the host of it, by `Host.list_changed`."""

    def recall(self) -> None:
        """Tell the host of the list as the sidecar last had it, if it had one."""

    def start(self) -> None:
        """Follow the list from now on."""

    async def first_list(self) -> None:
        """Until the list is as it was told before this process began, as far as that is worth waiting for."""

    def subscribe(self, active: bool) -> None:
        """The module asks for changes, or wants none any more."""

    def idents(self) -> Mapping[str, int]:
        """The upstreams that the source knows: by uid the number that the host and the module use."""

    def reload(self, config: Config) -> None:
        """There is a new configuration: of what it says, take what concerns this source."""


class Front(Protocol):
    """Takes requests, hands them to the host by `Host.arrived`, and writes their answers."""

    def listen(self) -> None:
        """Take connections from now on."""

    def stop_idle(self) -> None:
        """Close what carries no request; what does, closes with its answer."""

    def stop_listening(self) -> None:
        """Take the connections that have come, and no more."""

    def turn_away(self) -> None:
        """Answer what has not come whole, as there is no time left for it."""

    def count(self) -> int:
        """How many connections are open."""


class Companion(Protocol):
    """Runs beside the sidecar and may give its module advice; no request ever waits for it."""

    def start(self) -> None:
        """From now on."""

    def stop(self) -> None:
        """The sidecar ends."""


@dataclass(frozen=True, slots=True)
class Parts:
    """How to make the source and the fronts of one sidecar; each front shares the one host."""

    source: Callable[[Config, Host], Source]
    fronts: Sequence[Callable[[Config, Host], Front]]
    companions: Sequence[Callable[[Config, Host, Source], Companion]] = ()


def discovery_source(config: Config, host: Host) -> Source:
    """The platform's discovery."""
    return Discovery(
        config.discovery,
        Directory(config.zones, config.kinds),
        host.list_changed,
        pushed=not config.settings.polls_endpoints,
        known=config.known,
    )


def http_front(config: Config, host: Host) -> Front:
    """The application's HTTP/1.1, as the platform's protocol has it."""
    # the rest of the descriptors is for discovery, the listener, the log and what is on its way to be closed
    return Server(host, config.settings, config.listen, most_clients=config.sockets // 2)


PLATFORM = Parts(discovery_source, (http_front,))
