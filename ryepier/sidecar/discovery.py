"""The upstream list: discovery's entries, and the watch on their changes."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import json
import logging
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import httptools

from ryepier.balancer.interface import ListKind, Upstream, UpstreamState, UpstreamsUpdated
from ryepier.sidecar import system
from ryepier.sidecar.config import Config, parse_address
from ryepier.sidecar.host import clock_us

log = logging.getLogger(__name__)

# The times of a call are such that the next one begins within AGAIN_WITHIN_S of the last sound word, or of the call's
# begin where none came, whatever went wrong and in whatever order: 6 s after discovery has a change and can be reached
# that change counts as told, and 2 s of these are left to the next call (docs/design.md).
SILENCE_S = 2.5  # an empty line comes every 2 s, also on a call that has nothing to tell; a call's turn takes no longer
WHOLE_S = 4.0  # for an object, from the last sound word to its last byte: as long as a call may take
AGAIN_WITHIN_S = 4.0
WATCH_AGAIN_S = 0.1  # its agent is on this machine and answers at no cost; sooner would spin while it is away
MOST_WAITS = 5  # doublings of that pause while what comes can't be read
FIRST_LIST_S = 0.3  # its agent answers at once, if it answers at all
LONGEST_LIST = 4 * 1024 * 1024  # 10,000 entries with room to spare
STATES = {"active": UpstreamState.READY, "leaving": UpstreamState.DRAINING, "left": UpstreamState.REMOVED}
Address = tuple[str, int]
Listener = Callable[[UpstreamsUpdated, dict[int, Address]], None]


def endpoint(text: str) -> Address:
    """Hazard: a name would be looked up, and a port out of range leave each attempt to its time-out."""
    host, port = parse_address(text)
    if port > 65_535:
        raise ValueError(f"no port: {text!r}")
    return str(ipaddress.IPv4Address(host)), port


class Directory:
    """Turns discovery's entries into the module's: a number for each uid, times on the module's clock."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = zones
        self.kinds = kinds
        self.idents: dict[str, int] = {}
        self.heard: dict[str, tuple[int, int]] = {}  # boot time (Unix, ms), and when that was first heard of
        self.last_ident = 0
        self.to_clock_us = clock_us() - system.unix_ns() // 1000  # from Unix time, once for all

    def read(self, lines: Any, kind: ListKind | None = None) -> tuple[UpstreamsUpdated, dict[int, Address]]:
        """The event for one list, with the addresses of its entries; raises on what is malformed."""
        if kind is None:
            kind = ListKind.FULL if lines["all"] else ListKind.DELTA
        entries, addresses = [], {}
        for line in lines["targets"]:
            entry, addresses_of = self.entry(line)
            entries.append(entry)
            addresses[entry.id] = addresses_of
        if kind is not ListKind.DELTA:
            listed = {line["uid"] for line in lines["targets"]}
            self.idents = {uid: ident for uid, ident in self.idents.items() if uid in listed}
            self.heard = {uid: heard for uid, heard in self.heard.items() if uid in listed}
        for line in lines["targets"]:
            if STATES[line["state"]] is UpstreamState.REMOVED:
                self.idents.pop(line["uid"], None)
                self.heard.pop(line["uid"], None)
        event = UpstreamsUpdated(kind, entries, int(lines["rev"]))
        log.info(
            "list %d, %s: %s",
            event.version,
            kind.value,
            " ".join(
                f"{line['uid']}={entry.id}:{entry.state.value}"
                for line, entry in zip(lines["targets"], entries, strict=True)
            ),
        )
        return event, addresses

    def entry(self, line: Any) -> tuple[Upstream, Address]:
        uid = line["uid"]
        if uid not in self.idents:
            self.last_ident += 1
            self.idents[uid] = self.last_ident
        boot_ms = int(line["boot_ms"])
        if self.heard.get(uid, (None, 0))[0] != boot_ms:  # hazard: one that starts again under its uid is cold anew
            self.heard[uid] = boot_ms, clock_us()
        return Upstream(
            id=self.idents[uid],
            state=STATES[line["state"]],
            zone=self.zones.index(line["az"]) if line["az"] in self.zones else len(self.zones),
            kind=self.kinds.index(line["model"]) if line["model"] in self.kinds else len(self.kinds),
            failure_domain=int(line["pod_group"]),
            weight=float(line["capacity_hint"]),
            # hazard: by a calendar that is behind, it has not started yet, and would count as cold for as long
            started_us=min(boot_ms * 1000 + self.to_clock_us, self.heard[uid][1]) if boot_ms else 0,
        ), endpoint(line["endpoint"])


OUTSIDE = re.compile(rb'["{}\[\]]')
IN_STRING = re.compile(rb'["\\]')


class Objects:
    """Cuts a stream into its JSON objects: one a line, or each over several lines, wherever its bytes were split."""

    def __init__(self) -> None:
        self.pending = bytearray()
        self.at = 0  # how far it has been looked through
        self.depth = 0
        self.quoted = False

    def feed(self, data: bytes) -> Iterator[Any]:
        """The objects that have become whole; raises ValueError on what is none."""
        if not self.pending and data.rstrip().endswith(b"}"):
            try:  # nearly always it is one, and whole
                yield json.loads(data)
                return
            except ValueError:
                pass
        self.pending += data
        while end := self.end():
            whole = json.loads(self.pending[:end])
            del self.pending[:end]
            self.at = 0
            yield whole
        if self.depth == 0:
            if self.pending.strip():
                raise ValueError("what comes is no object")
            self.pending.clear()
            self.at = 0
        if len(self.pending) > LONGEST_LIST:
            raise ValueError("an object without end")

    def end(self) -> int:
        """Where the first pending object ends; 0 = it is not whole."""
        while found := (IN_STRING if self.quoted else OUTSIDE).search(self.pending, self.at):
            mark, self.at = found.group(), found.end()
            if mark == b"\\":
                if self.at == len(self.pending):  # what it escapes has not come
                    self.at -= 1
                    return 0
                self.at += 1
            elif mark == b'"':
                self.quoted = not self.quoted
            else:
                self.depth += 1 if mark in b"{[" else -1
                if self.depth <= 0:
                    self.depth = 0
                    return self.at
        self.at = len(self.pending)
        return 0


class Watch(asyncio.Protocol):
    """One call for changes: it lasts until its connection ends, and then has failed."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.objects = Objects()
        self.answered = False  # an object has come, or an empty line in place of the first

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self is not self.discovery.watch:  # it was replaced while its connection came up
            transport.abort()
            return
        host, port = self.discovery.address
        log.info("watch since %d", self.discovery.version)
        transport.write(
            b"GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
            % (self.discovery.version, host.encode(), port)
        )

    def data_received(self, data: bytes) -> None:
        self.discovery.heard()
        try:
            self.parser.feed_data(data)
        except Exception as error:
            log.warning("the watch can't be read: %r", error)
            self.discovery.unreadable += 1
            self.fail()

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:  # its body says nothing, and may not end
            log.info("the watch is answered with %d", status)
            self.fail()

    def on_body(self, data: bytes) -> None:
        if self.parser.get_status_code() != 200:
            return
        for lines in self.objects.feed(data):
            self.answered = True
            self.discovery.changed(lines)
        if not self.objects.pending:
            self.discovery.heard_whole()
            if not self.answered:
                # hazard: asked for once more by a module that waits for its answer, a sound watch would be cut
                self.answered = True
                self.discovery.unchanged()

    def on_message_complete(self) -> None:
        self.fail()

    def connection_lost(self, error: Exception | None) -> None:
        self.fail()

    def fail(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        self.discovery.ended(self)


class Discovery:
    """Holds the watch. Where the list must be asked for the module does so, and is told how each call fails;
    where changes are pushed it never asks, and the watch is how they are pushed: it is always there."""

    def __init__(
        self, address: Address, directory: Directory, listener: Listener, pushed: bool, known: Any = None
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.address = address
        self.directory = directory
        self.listener = listener
        self.pushed = pushed
        self.known = known
        self.version = 0
        self.active = False  # the module wants to be told, also while it waits to ask again
        self.watch: Watch | None = None
        self.dial: asyncio.Task[None] | None = None
        self.heard_at = 0.0
        self.whole_at = 0.0  # when the call began, or brought its last whole object or empty line
        self.told = asyncio.Event()  # a list has come since the start
        self.unreadable = 0  # watches in a row that brought something else
        self.timer: asyncio.TimerHandle | None = None

    def recall(self) -> None:
        """The list as the sidecar last had it."""
        if not self.known:
            return
        try:
            event, addresses = self.directory.read(self.known, ListKind.CACHED)
        except Exception as error:
            # hazard: an old list that can't be read would keep the sidecar from ever asking for a new one
            log.warning("the known list can't be read: %r", error)
            return
        self.version = event.version
        self.listener(event, addresses)

    def start(self) -> None:
        """Hazard: without a watch a pushed list would stay for ever as it was known at the start."""
        if self.pushed:
            self.subscribe(True)

    async def first_list(self) -> None:
        """Hazard: where changes are pushed, what the agent has counts as told from the first moment, and the known
        list may be of before a drain. With its agent silent, that one is the best there is."""
        if self.pushed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_LIST_S):
                    await self.told.wait()

    def subscribe(self, active: bool) -> None:
        """Ask for changes from now on, in place of an earlier call; or stop."""
        self.stop()
        self.active = active
        if active:
            self.watch = Watch(self)
            self.heard_whole()
            self.timer = self.loop.call_later(SILENCE_S, self.check)
            self.dial = self.loop.create_task(self.connect(self.watch))

    def idents(self) -> Mapping[str, int]:
        return self.directory.idents

    def reload(self, config: Config) -> None:
        self.move(config.discovery)

    def move(self, address: Address) -> None:
        """Discovery has another address: watch there at once."""
        if address == self.address:
            return
        self.address = address
        self.version = 0  # hazard: the old one's versions mean nothing here, so the whole list is asked for
        if self.active:
            self.subscribe(True)

    def stop(self) -> None:
        watch, self.watch = self.watch, None
        if self.timer is not None:
            self.timer.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if watch is not None and watch.transport is not None:
            watch.transport.abort()

    async def connect(self, watch: Watch) -> None:
        try:
            await self.loop.create_connection(lambda: watch, *self.address)
        except OSError:
            self.ended(watch)

    def heard(self) -> None:
        self.heard_at = system.monotonic()

    def heard_whole(self) -> None:
        self.heard_at = self.whole_at = system.monotonic()

    def check(self) -> None:
        """Hazards: a machine that is cut off says nothing, and its watch would stay open for ever, as would one
        whose list never becomes whole; a connection to it may not come up for minutes."""
        left = min(self.heard_at + SILENCE_S, self.whole_at + WHOLE_S) - system.monotonic()
        if left > 0:
            self.timer = self.loop.call_later(left, self.check)
        elif self.watch is not None:
            log.warning("the watch is silent")
            self.watch.fail()

    def unchanged(self) -> None:
        """The call is answered: there is nothing new since the version that is held, if there is one."""
        if self.version:
            self.listener(UpstreamsUpdated(ListKind.DELTA, [], self.version), {})

    def changed(self, lines: Any) -> None:
        event, addresses = self.directory.read(lines)
        self.version = event.version
        self.unreadable = 0
        self.listener(event, addresses)
        self.told.set()

    def ended(self, watch: Watch) -> None:
        if watch is self.watch:
            if watch.transport is not None:
                log.info("the watch has ended")
            self.stop()
            silent_s = system.monotonic() - self.whole_at
            if self.pushed:
                # hazard: a list that stays unreadable would be read over and over
                pause_s = WATCH_AGAIN_S * 2 ** min(self.unreadable, MOST_WAITS)
                pause_s = min(pause_s, max(WATCH_AGAIN_S, AGAIN_WITHIN_S - silent_s))
                self.timer = self.loop.call_later(pause_s, self.subscribe, True)
                return
            self.listener(UpstreamsUpdated(ListKind.FAILED, silent_us=int(1e6 * silent_s)), {})
