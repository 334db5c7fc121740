"""Client of discovery: keeps a watch of the endpoint list open, and notifies the dispatcher of changes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Mapping
from typing import Any

from ryepier.balancer.interface import ListKind, UpstreamsUpdated
from ryepier.sidecar import system
from ryepier.sidecar.config import Config
from ryepier.sidecar.endpoint_registry import EndpointListError, EndpointRegistry
from ryepier.sidecar.endpoint_watch import EndpointWatch
from ryepier.sidecar.requests import Address

log = logging.getLogger(__name__)

# Whatever fails, in whatever order, the next call begins within MAX_CALL_GAP_S of the last valid message, or of the
# call's start where none came: a change must be known 6 s after discovery has it and can be reached, and 2 s of these
# are left to the next call (docs/design.md).
SILENCE_TIMEOUT_S = 2.5  # an empty line comes every 2 s, also without changes
MESSAGE_TIMEOUT_S = 4.0  # from the last valid message to an object's last byte
MAX_CALL_GAP_S = 4.0
WATCH_RETRY_S = 0.1  # a local agent answers at no cost; sooner would spin while it is away
MAX_RETRY_DOUBLINGS = 5  # while what arrives is malformed
FIRST_LIST_TIMEOUT_S = 0.3  # a local agent answers at once, if at all
Listener = Callable[[UpstreamsUpdated, dict[int, Address]], None]


class DiscoveryClient:
    """Keeps the watch. Where lists are polled, the decision module does so and is notified of each failed call; where
    changes are pushed it never polls, and a watch is always kept open."""

    def __init__(
        self, address: Address, registry: EndpointRegistry, listener: Listener, is_pushed: bool, cached_list: Any = None
    ) -> None:
        """Prepare a client; `known` is the cached list, in discovery's form."""
        self.loop = asyncio.get_running_loop()
        self.address = address
        self.registry = registry
        self.listener = listener
        self.is_pushed = is_pushed
        self.cached_list = cached_list
        self.version = 0
        self.is_subscribed = False  # also between two calls
        self.watch: EndpointWatch | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.last_received_at = 0.0
        self.last_message_at = 0.0  # or when the call began; an empty line is a message
        self.first_list_received = asyncio.Event()  # a list has arrived since the start
        self.consecutive_malformed_watches = 0  # in a row
        self.timer: asyncio.TimerHandle | None = None

    def restore_cached(self) -> None:
        """Notify of the list that the sidecar had before its start."""
        if not self.cached_list:
            return
        try:
            event, addresses = self.registry.apply(self.cached_list, ListKind.CACHED)
        except EndpointListError as error:  # the sidecar starts without it, and waits for a new one
            log.warning("cached endpoint list is malformed: %s", error)
            return
        self.version = event.version
        self.listener(event, addresses)

    def start(self) -> None:
        """Open the watch where changes are pushed; else the decision module subscribes."""
        if self.is_pushed:
            self.subscribe(True)

    async def wait_for_first_list(self) -> None:
        """Wait for the first list where changes are pushed: the cached list may be older than a drain that counts as
        notified. With the agent silent, the cached one is the best there is."""
        if self.is_pushed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                    await self.first_list_received.wait()

    def subscribe(self, active: bool) -> None:
        """Open a watch in place of an earlier one, or close it."""
        self.stop()
        self.is_subscribed = active
        if active:
            self.watch = EndpointWatch(self)
            self.on_complete_message()
            self.timer = self.loop.call_later(SILENCE_TIMEOUT_S, self.check_liveness)
            self.connect_task = self.loop.create_task(self.connect(self.watch))

    def upstream_ids(self) -> Mapping[str, int]:
        """Return the number of each listed endpoint by its uid."""
        return self.registry.upstream_ids

    def apply_config(self, config: Config) -> None:
        """Watch at another address, if a new configuration names one."""
        if config.discovery == self.address:
            return
        self.address = config.discovery
        self.version = 0  # the versions of another discovery mean nothing here: the complete list is requested
        if self.is_subscribed:
            self.subscribe(True)

    def stop(self) -> None:
        """Close the watch."""
        watch, self.watch = self.watch, None
        if self.timer is not None:
            self.timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if watch is not None and watch.transport is not None:
            watch.transport.abort()

    async def connect(self, watch: EndpointWatch) -> None:
        """Open the connection of a watch."""
        try:
            await self.loop.create_connection(lambda: watch, *self.address)
        except OSError:
            self.on_watch_ended(watch)

    # Notifications of the watch

    def is_current(self, watch: EndpointWatch) -> bool:
        """Return whether a watch was not replaced by another."""
        return watch is self.watch

    def on_data(self) -> None:
        """Record that bytes have arrived."""
        self.last_received_at = system.monotonic()

    def on_complete_message(self) -> None:
        """Record that a message is complete, or that a call has begun."""
        self.last_received_at = self.last_message_at = system.monotonic()

    def on_unchanged(self) -> None:
        """Notify that there is nothing newer than the current version, if there is one."""
        if self.version:
            self.listener(UpstreamsUpdated(ListKind.DELTA, [], self.version), {})

    def on_list(self, message: Any) -> None:
        """Apply a list or changes. Raises EndpointListError."""
        event, addresses = self.registry.apply(message)
        self.version = event.version
        self.consecutive_malformed_watches = 0
        self.listener(event, addresses)
        self.first_list_received.set()

    def on_malformed(self) -> None:
        """Count a watch whose bytes could not be read."""
        self.consecutive_malformed_watches += 1

    def on_watch_ended(self, watch: EndpointWatch) -> None:
        """Open the watch again after a pause where changes are pushed; else notify of the failure."""
        if watch is not self.watch:
            return
        if watch.transport is not None:
            log.info("endpoint watch ended")
        self.stop()
        silence_s = system.monotonic() - self.last_message_at
        if self.is_pushed:
            backoff_s = WATCH_RETRY_S * 2 ** min(self.consecutive_malformed_watches, MAX_RETRY_DOUBLINGS)
            backoff_s = min(backoff_s, max(WATCH_RETRY_S, MAX_CALL_GAP_S - silence_s))
            self.timer = self.loop.call_later(backoff_s, self.subscribe, True)
            return
        self.listener(UpstreamsUpdated(ListKind.FAILED, silent_us=int(1e6 * silence_s)), {})

    def check_liveness(self) -> None:
        """Fail a watch that is silent, whose message never becomes complete, or whose connection does not come up."""
        deadline = min(self.last_received_at + SILENCE_TIMEOUT_S, self.last_message_at + MESSAGE_TIMEOUT_S)
        remaining_s = deadline - system.monotonic()
        if remaining_s > 0:
            self.timer = self.loop.call_later(remaining_s, self.check_liveness)
        elif self.watch is not None:
            log.warning("endpoint watch is silent")
            self.watch.fail()
