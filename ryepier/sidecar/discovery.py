"""Client of discovery: keeps a watch of the endpoint list open and passes changes to the dispatcher."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from ryepier.balancer.interface import ListKind, UpstreamsUpdated
from ryepier.sidecar import system
from ryepier.sidecar.config import Config
from ryepier.sidecar.endpoint_registry import EndpointListError, EndpointRegistry
from ryepier.sidecar.endpoint_updates import EndpointUpdate
from ryepier.sidecar.endpoint_watch import EndpointWatch
from ryepier.sidecar.requests import Address

log = logging.getLogger(__name__)

# After any sequence of failures, the next call begins within MAX_CALL_GAP_S of the last valid message, or of the
# previous call's start if no message arrived. A sidecar must know of a change within 6 s after discovery has it and is
# reachable, so 2 s are left for the next call to deliver it (docs/design.md).
SILENCE_TIMEOUT_S = 2.5  # discovery sends an empty line every 2 s, even without changes
MESSAGE_TIMEOUT_S = 4.0  # longest time from the last valid message to the last byte of the next one
MAX_CALL_GAP_S = 4.0
# A retry is cheap, as the agent is local; with a shorter pause the client would spin while the agent is down.
WATCH_RETRY_S = 0.1
MAX_RETRY_DOUBLINGS = 5  # limit for doubling WATCH_RETRY_S, which happens while watches deliver malformed data
AGENT_CONNECT_TIMEOUT_S = 0.3  # an agent is local: where none accepts a connection by then, there is none
# The longest wait for an agent that is silent, as discovery is down. A restarted sidecar has to be ready within 10 s.
FIRST_LIST_TIMEOUT_S = 9.0
Listener = Callable[[UpstreamsUpdated, dict[int, Address]], None]


class PendingMessage(NamedTuple):
    """A message with a list or changes that is not read completely yet."""

    watch: EndpointWatch | None  # the watch that brought it
    address: Address  # of the discovery that sent it
    parts: Iterator[EndpointUpdate | None]  # None for each part that was read; the last one is the update


class DiscoveryClient:
    """Watches the endpoint list that discovery serves, and passes each update to a listener.

    If the list is polled, the decision module decides when to open a watch, and is notified when the watch fails. If
    changes are pushed, the decision module never polls, and this client always keeps a watch open.
    """

    def __init__(
        self, address: Address, registry: EndpointRegistry, listener: Listener, is_pushed: bool, cached_list: Any = None
    ) -> None:
        """Prepare a client without a watch.

        `is_pushed` tells whether changes are pushed. `cached_list` is the last known list, in the format of discovery's
        messages, and `listener` receives each update.
        """
        self.loop = asyncio.get_running_loop()
        self.address = address
        self.registry = registry
        self.listener = listener
        self.is_pushed = is_pushed
        self.cached_list = cached_list
        self.version = 0
        self.is_subscribed = False  # stays True while no watch is open between two calls
        self.watch: EndpointWatch | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.last_received_at = 0.0
        self.last_message_at = 0.0  # time of the last message or of the call's start; an empty line counts as a message
        # Set once a list has arrived since the start, or the agent has reported that the cached one is the newest
        self.first_list_received = asyncio.Event()
        self.agent_has_accepted = False  # a connection since the start
        self.consecutive_malformed_watches = 0  # reset by each valid list
        self.timer: asyncio.TimerHandle | None = None
        self.pending_messages: deque[PendingMessage] = deque()

    def restore_cached_list(self) -> None:
        """Pass the cached list to the listener, if there is a valid one."""
        cached_list, self.cached_list = self.cached_list, None  # a long list would take megabytes until the end
        if not cached_list:
            return
        try:
            event, addresses = self.registry.apply(cached_list, ListKind.CACHED)
        except EndpointListError as error:  # start without a list and wait for one from discovery
            log.warning("cached endpoint list is malformed: %s", error)
            return
        self.version = event.version
        self.listener(event, addresses)

    def start(self) -> None:
        """Open the watch if changes are pushed; otherwise the decision module subscribes."""
        if self.is_pushed:
            self.subscribe(True)

    async def wait_for_first_list(self) -> None:
        """If changes are pushed, wait for the first list, up to FIRST_LIST_TIMEOUT_S.

        The cached list may be older than a drain that the agent knows of, and the sidecar counts as notified of
        whatever the agent has, also while the agent is silent. Without an agent the sidecar starts with the cached
        list after AGENT_CONNECT_TIMEOUT_S.
        """
        if not self.is_pushed or await self._has_first_list_within(AGENT_CONNECT_TIMEOUT_S):
            return
        if self.agent_has_accepted:
            log.warning("discovery is silent: waiting for the first list for up to %d s", FIRST_LIST_TIMEOUT_S)
            if await self._has_first_list_within(FIRST_LIST_TIMEOUT_S - AGENT_CONNECT_TIMEOUT_S):
                return
        log.warning("starting with the cached list, which may be old")

    async def _has_first_list_within(self, timeout_s: float) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.first_list_received.wait()
        return self.first_list_received.is_set()

    def subscribe(self, active: bool) -> None:
        """Open a new watch in place of the current one, or with `active` False only close it."""
        self.stop()
        self.is_subscribed = active
        if active:
            self.watch = EndpointWatch(self)
            self.on_complete_message()
            self.timer = self.loop.call_later(SILENCE_TIMEOUT_S, self.check_liveness)
            self.connect_task = self.loop.create_task(self.connect(self.watch))

    def upstream_ids(self) -> Mapping[str, int]:
        """Return the upstream id of each listed endpoint by its uid."""
        return self.registry.upstream_ids

    def apply_config(self, config: Config) -> None:
        """Open a watch at the new discovery address, if the configuration has changed it."""
        if config.discovery == self.address:
            return
        self.address = config.discovery
        self.version = 0  # another server's versions are unrelated, so request the complete list
        if self.is_subscribed:
            self.subscribe(True)

    def stop(self) -> None:
        """Close the watch and cancel its timer."""
        watch, self.watch = self.watch, None
        if self.timer is not None:
            self.timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if watch is not None and watch.transport is not None:
            watch.transport.abort()

    async def connect(self, watch: EndpointWatch) -> None:
        """Open the connection of a watch; if that fails, the watch has ended."""
        try:
            await self.loop.create_connection(lambda: watch, *self.address)
            self.agent_has_accepted = True
        except OSError:
            self.on_watch_ended(watch)

    # Notifications from the watch

    def is_current(self, watch: EndpointWatch) -> bool:
        """Return whether this is the current watch, not one that was replaced."""
        return watch is self.watch

    def on_data(self) -> None:
        """Record that bytes have arrived."""
        self.last_received_at = system.monotonic()

    def on_complete_message(self) -> None:
        """Record that a message is complete or a call has begun."""
        self.last_received_at = self.last_message_at = system.monotonic()

    def on_unchanged(self) -> None:
        """Tell the listener that the current version, if there is one, is the newest."""
        if self.version:
            self.listener(UpstreamsUpdated(ListKind.DELTA, [], self.version), {})
            self.first_list_received.set()

    def on_list(self, message: Any) -> None:
        """Apply a list or changes, or put it behind earlier ones. Raises EndpointListError if it is malformed.

        A long one is read in parts, each in an iteration of the event loop of its own.
        """
        self.pending_messages.append(PendingMessage(self.watch, self.address, self.registry.apply_in_parts(message)))
        if len(self.pending_messages) == 1:
            self._read_part()

    def _read_part(self) -> None:
        """Read a part of the first pending message, and apply the message if that was its last part."""
        message = self.pending_messages.popleft()
        update = None
        try:
            update = next(message.parts)
            if update is None:
                self.pending_messages.appendleft(message)
        finally:  # an error in one message must not keep later ones from being read
            if self.pending_messages:
                self.loop.call_soon(self._read_next_part)
        if update is not None:
            self._apply(update, message)

    def _read_next_part(self) -> None:
        """Read a part in an iteration of its own, and fail the watch that brought the message if it is malformed."""
        watch = self.pending_messages[0].watch
        try:
            self._read_part()
        except EndpointListError as error:
            if watch is not None and self.is_current(watch):
                watch.fail_as_malformed(error)

    def _apply(self, update: EndpointUpdate, message: PendingMessage) -> None:
        if message.address == self.address:  # the versions of another server are unrelated
            self.version = update.event.version
        self.consecutive_malformed_watches = 0
        self.listener(update.event, update.addresses)
        self.first_list_received.set()

    def on_malformed(self) -> None:
        """Count a watch with malformed data."""
        self.consecutive_malformed_watches += 1

    def on_watch_ended(self, watch: EndpointWatch) -> None:
        """Reopen the watch after a backoff if changes are pushed; otherwise report the failure to the listener."""
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
        """Fail the watch if it is silent, its message stays incomplete, or it does not connect in time."""
        deadline = min(self.last_received_at + SILENCE_TIMEOUT_S, self.last_message_at + MESSAGE_TIMEOUT_S)
        remaining_s = deadline - system.monotonic()
        if remaining_s > 0:
            self.timer = self.loop.call_later(remaining_s, self.check_liveness)
        elif self.watch is not None:
            log.warning("endpoint watch is silent")
            self.watch.fail()
