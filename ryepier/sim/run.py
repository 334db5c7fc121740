"""Runs a coroutine with virtual time and the network in memory in the place of the machine's."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar, cast

from ryepier.sidecar import system
from ryepier.sim.loop import NoProgressError, VirtualLoop
from ryepier.sim.network import Address, Factory, Network, SimServer, SimSocket, SimTransport
from ryepier.sim.process import OWNER, Clocks, Frozen

T = TypeVar("T")
UNIX_ZERO_NS = 1_800_000_000 * 1_000_000_000  # of every run


def owner_of(handle: Any) -> str:
    """The process that a callback belongs to."""
    owner: str = handle._context.get(OWNER, "")
    return owner


class SimLoop(VirtualLoop):
    """Virtual time, and connections through the network in memory."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.network = Network(self, seed)
        self.readers: dict[int, SimSocket] = {}
        self.dead: set[str] = set()  # processes that were killed
        # hazard: what a dead task holds would be let go whenever memory is collected, its `finally`s would run, and two
        # runs would differ
        self.graves: list[set[asyncio.Task[Any]]] = []
        self.frozen: dict[str, Frozen] = {}
        self.clocks: dict[str, Clocks] = {}  # of processes whose clocks are not the run's

    # Processes

    def kill(self, owner: str) -> None:
        """Nothing of a process runs from now on: no callback, no timer, no task."""
        self.frozen.pop(owner, None)
        self.dead.add(owner)
        self.graves.append(asyncio.all_tasks(self))
        for handle in [*self._scheduled, *self._ready]:  # type: ignore[attr-defined]
            if owner_of(handle) == owner:
                handle.cancel()
        self.network.kill(owner)

    def suspend(self, owner: str) -> None:
        """It stands still, as on SIGSTOP: what comes for it waits in the kernel's buffers, and time goes on."""
        frozen = self.frozen.setdefault(owner, Frozen())
        ready: Any = self._ready  # type: ignore[attr-defined]
        for handle in [handle for handle in ready if owner_of(handle) == owner]:
            ready.remove(handle)
            frozen.ready.append(handle)
        frozen.timers += self._take_timers(owner)

    def resume(self, owner: str) -> None:
        """It goes on with all that has become due; one that was killed meanwhile does not."""
        frozen = self.frozen.pop(owner, None)
        if frozen is None:
            return
        self._ready.extend(frozen.ready)  # type: ignore[attr-defined]
        self._put_timers(frozen.timers)

    def set_rate(self, owner: str, rate: float) -> None:
        """Its steady clock goes so many times as fast as the run's from now on."""
        clocks = self.clocks.setdefault(owner, Clocks())
        timers = self._take_timers(owner)
        due = [clocks.own(handle._when) for handle in timers]
        clocks.set_rate(self.now_s, rate)
        for handle, own_s in zip(timers, due, strict=True):
            handle._when = clocks.when(own_s)
        self._put_timers(timers)

    def shift_calendar(self, owner: str, by_s: float) -> None:
        """Its calendar is set forward, or back."""
        self.clocks.setdefault(owner, Clocks()).calendar_s += by_s

    def _take_timers(self, owner: str) -> list[Any]:
        scheduled: list[Any] = self._scheduled  # type: ignore[attr-defined]
        mine = [handle for handle in scheduled if owner_of(handle) == owner and not handle._cancelled]
        if mine:
            taken = set(map(id, mine))
            scheduled[:] = [handle for handle in scheduled if id(handle) not in taken]
            heapq.heapify(scheduled)
            for handle in mine:
                handle._scheduled = False  # its loop need not count it should it be cancelled
        return sorted(mine, key=lambda handle: float(handle._when))

    def _put_timers(self, timers: list[Any]) -> None:
        scheduled: list[Any] = self._scheduled  # type: ignore[attr-defined]
        for handle in timers:
            if not handle._cancelled:
                heapq.heappush(scheduled, handle)
                handle._scheduled = True

    def time(self) -> float:
        clocks = self.clocks.get(OWNER.get()) if self.clocks else None
        return self.now_s if clocks is None else clocks.own(self.now_s)

    def unix_s(self) -> float:
        """Seconds since the run's beginning by the calendar of whose code runs."""
        clocks = self.clocks.get(OWNER.get()) if self.clocks else None
        return self.now_s if clocks is None else clocks.own(self.now_s) + clocks.calendar_s

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> Any:  # type: ignore[override]
        if self.is_closed():  # the run is over, and what a killed process held is let go of
            return asyncio.Handle(callback, args, self, context)
        handle = super().call_soon(callback, *args, context=context)
        owner = owner_of(handle) if self.dead or self.frozen else ""
        if owner in self.dead:
            handle.cancel()
        elif owner in self.frozen:
            self._ready.pop()  # type: ignore[attr-defined]
            self.frozen[owner].ready.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        clocks = self.clocks.get(OWNER.get()) if self.clocks else None
        if clocks is not None:
            when = clocks.when(when)
        handle = super().call_at(when, callback, *args, context=context)
        if self.dead and owner_of(handle) in self.dead:
            handle.cancel()
        return handle

    # asyncio declares these far more widely than anything here calls them

    async def sock_connect(self, sock: Any, address: Any) -> None:
        await self.network.connect(sock, address)

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        sock = more.get("sock")
        if sock is None:
            sock = SimSocket(self.network)
            try:
                await self.network.connect(sock, (host, port))
            except asyncio.CancelledError:
                sock.close()
                raise
        return await self._connected(sock, protocol_factory)

    async def connect_accepted_socket(self, protocol_factory: Any, sock: Any, **more: Any) -> Any:
        return await self._connected(sock, protocol_factory)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        sock = self.network.listen((host, port or 0), more.get("backlog", 100))

        def accept() -> None:
            while sock.pending:
                self._transport(sock.accept()[0], protocol_factory)

        sock.on_readable, sock.context = accept, contextvars.copy_context()
        return SimServer(sock)

    def _transport(self, sock: SimSocket, factory: Factory) -> tuple[SimTransport, asyncio.BaseProtocol]:
        """As asyncio does it: the protocol hears of its connection at the loop's next turn."""
        protocol = factory()
        transport = SimTransport(sock, protocol)
        self.call_soon(transport.start)
        return transport, protocol

    async def _connected(self, sock: SimSocket, factory: Factory) -> tuple[SimTransport, asyncio.BaseProtocol]:
        made = self._transport(sock, factory)
        await asyncio.sleep(0)
        return made

    # Listeners that are read by hand, as the sidecar's front does

    def add_reader(self, fd: Any, callback: Any, *args: Any) -> None:  # type: ignore[override]
        def ready() -> None:
            if id(fd) in self.readers and fd.pending:
                callback(*args)
                if fd.pending:  # what was not taken is still there at the next turn
                    self.call_soon(ready)

        self.readers[id(fd)] = fd
        fd.on_readable, fd.context = ready, contextvars.copy_context()
        if fd.pending:
            self.call_soon(ready)

    def remove_reader(self, fd: Any) -> bool:
        fd.on_readable = None
        return self.readers.pop(id(fd), None) is not None


def simulate(seed: int, main: Callable[[SimLoop], Awaitable[T]]) -> T:
    """Run the coroutine that `main` returns to its end, and return its result.

    Raises whatever it raises, NoProgressError if it never ends, and SimulationError if a callback or a task failed that
    no other code awaited.
    """
    loop = SimLoop(seed)
    before = system.monotonic_ns, system.unix_ns, system.tcp_socket, system.listen
    system.monotonic_ns = lambda: round(loop.time() * 1e9)
    system.unix_ns = lambda: UNIX_ZERO_NS + round(loop.unix_s() * 1e9)
    system.tcp_socket = cast(Any, lambda family: SimSocket(loop.network))
    system.listen = cast(Any, loop.network.listen)
    try:
        asyncio.set_event_loop(loop)
        result = loop.run_until_complete(asyncio.ensure_future(main(loop), loop=loop))
        if loop.failures:
            raise SimulationError("; ".join(loop.failures))
        return result
    finally:
        system.monotonic_ns, system.unix_ns, system.tcp_socket, system.listen = before
        for task in asyncio.all_tasks(loop):
            task.cancel()
        with contextlib.suppress(NoProgressError):
            loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()


class SimulationError(Exception):
    """Something failed in a run that nobody waited for."""


__all__ = ["Address", "SimLoop", "SimulationError", "simulate"]
