"""Runs a coroutine with virtual time and the simulated network in place of the machine's."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar, cast

from ryepier.errors import RyepierError
from ryepier.sidecar import system
from ryepier.sim.loop import NoProgressError, VirtualLoop
from ryepier.sim.network import Network, SimServer
from ryepier.sim.process import CURRENT_PROCESS, Clocks, Suspended
from ryepier.sim.sockets import SimSocket
from ryepier.sim.transport import SimTransport

T = TypeVar("T")
ProtocolFactory = Callable[[], asyncio.BaseProtocol]
UNIX_EPOCH_NS = 1_800_000_000 * 1_000_000_000  # the wall clock when a run begins
DEFAULT_BACKLOG = 100  # asyncio's


class SimulationError(RyepierError):
    """A callback or a task failed that no code awaited."""


def _process_of(handle: Any) -> str:
    """Return the process that a callback belongs to."""
    process: str = handle._context.get(CURRENT_PROCESS, "")
    return process


@dataclass(frozen=True, slots=True)
class _Connection:
    """A transport and the protocol that it was made for."""

    transport: SimTransport
    protocol: asyncio.BaseProtocol


class SimLoop(VirtualLoop):
    """Virtual time, connections through the simulated network, and processes that can be killed or suspended."""

    def __init__(self, seed: int) -> None:
        """Start without processes; the seed is that of the network."""
        super().__init__()
        self.network = Network(self, seed)
        self.clocks: dict[str, Clocks] = {}  # of processes whose clocks differ from the run's
        self._readers: dict[int, SimSocket] = {}
        self._dead: set[str] = set()  # killed processes
        # Tasks of killed processes are kept: collecting them would run their `finally` blocks at a time that depends on
        # the garbage collector, and runs would differ.
        self._dead_tasks: list[set[asyncio.Task[Any]]] = []
        self._suspended: dict[str, Suspended] = {}

    # Processes

    def kill(self, process: str) -> None:
        """End a process: none of its callbacks, timers and tasks runs again."""
        self._suspended.pop(process, None)
        self._dead.add(process)
        self._dead_tasks.append(asyncio.all_tasks(self))
        for handle in [*self._scheduled, *self._ready]:  # type: ignore[attr-defined]
            if _process_of(handle) == process:
                handle.cancel()
        self.network.kill(process)

    def suspend(self, process: str) -> None:
        """Suspend a process, as SIGSTOP does: data for it stays in the kernel's buffers, and time passes."""
        suspended = self._suspended.setdefault(process, Suspended())
        ready: Any = self._ready  # type: ignore[attr-defined]
        for handle in [handle for handle in ready if _process_of(handle) == process]:
            ready.remove(handle)
            suspended.ready.append(handle)
        suspended.timers += self._take_timers(process)

    def resume(self, process: str) -> None:
        """Resume a process with everything that has become due; does nothing if it was killed meanwhile."""
        suspended = self._suspended.pop(process, None)
        if suspended is None:
            return
        self._ready.extend(suspended.ready)  # type: ignore[attr-defined]
        self._put_timers(suspended.timers)

    def set_rate(self, process: str, rate: float) -> None:
        """Let a process's clocks run at `rate` times the speed of the run's from now on."""
        clocks = self.clocks.setdefault(process, Clocks())
        timers = self._take_timers(process)
        due = [clocks.process_time_s(handle._when) for handle in timers]
        clocks.set_rate(self.now_s, rate)
        for handle, process_s in zip(timers, due, strict=True):
            handle._when = clocks.run_time_s(process_s)
        self._put_timers(timers)

    def shift_wall_clock(self, process: str, by_s: float) -> None:
        """Set a process's wall clock forward or back."""
        self.clocks.setdefault(process, Clocks()).wall_offset_s += by_s

    def _take_timers(self, process: str) -> list[Any]:
        """Remove a process's timers from the schedule, and return them by their times."""
        scheduled: list[Any] = self._scheduled  # type: ignore[attr-defined]
        taken = [handle for handle in scheduled if _process_of(handle) == process and not handle._cancelled]
        if taken:
            ids = set(map(id, taken))
            scheduled[:] = [handle for handle in scheduled if id(handle) not in ids]
            heapq.heapify(scheduled)
            for handle in taken:
                handle._scheduled = False  # so that asyncio does not count it if it is cancelled
        return sorted(taken, key=lambda handle: float(handle._when))

    def _put_timers(self, timers: list[Any]) -> None:
        scheduled: list[Any] = self._scheduled  # type: ignore[attr-defined]
        for handle in timers:
            if not handle._cancelled:
                heapq.heappush(scheduled, handle)
                handle._scheduled = True

    # Clocks and callbacks, by the process whose code runs

    def _current_clocks(self) -> Clocks | None:
        return self.clocks.get(CURRENT_PROCESS.get()) if self.clocks else None

    def time(self) -> float:
        """Return the monotonic clock of the running process."""
        if not self.clocks:
            return self.now_s
        clocks = self.clocks.get(CURRENT_PROCESS.get())
        return self.now_s if clocks is None else clocks.process_time_s(self.now_s)

    def unix_s(self) -> float:
        """Return the seconds since the run began by the wall clock of the running process."""
        clocks = self._current_clocks()
        return self.now_s if clocks is None else clocks.process_time_s(self.now_s) + clocks.wall_offset_s

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> Any:  # type: ignore[override]
        """Schedule a callback as asyncio does; those of killed or suspended processes are held back."""
        if self.is_closed():  # the run is over, and objects of a killed process are being collected
            return asyncio.Handle(callback, args, self, context)
        handle = super().call_soon(callback, *args, context=context)
        process = _process_of(handle) if self._dead or self._suspended else ""
        if process in self._dead:
            handle.cancel()
        elif process in self._suspended:
            self._ready.pop()  # type: ignore[attr-defined]
            self._suspended[process].ready.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        """Schedule a callback by the clock of the running process."""
        clocks = self._current_clocks()
        if clocks is not None:
            when = clocks.run_time_s(when)
        handle = super().call_at(when, callback, *args, context=context)
        if self._dead and _process_of(handle) in self._dead:
            handle.cancel()
        return handle

    # Connections; asyncio declares the parameters far more widely than any caller here uses them

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Connect a socket through the simulated network."""
        await self.network.connect(sock, address)

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        """Connect through the simulated network."""
        sock = options.get("sock")
        if sock is None:
            sock = SimSocket(self.network)
            try:
                await self.network.connect(sock, (host, port))
            except asyncio.CancelledError:
                sock.close()
                raise
        return await self._connected(sock, protocol_factory)

    async def connect_accepted_socket(self, protocol_factory: Any, sock: Any, **options: Any) -> Any:
        """Make a connection of an accepted socket."""
        return await self._connected(sock, protocol_factory)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        """Listen on the simulated network."""
        sock = self.network.listen((host, port or 0), options.get("backlog", DEFAULT_BACKLOG))

        def accept() -> None:
            while sock.pending:
                self._make_connection(sock.accept()[0], protocol_factory)

        sock.on_readable, sock.context = accept, contextvars.copy_context()
        return SimServer(sock)

    def _make_connection(self, sock: SimSocket, factory: ProtocolFactory) -> _Connection:
        """Make a transport; as with asyncio, `connection_made` is called at the loop's next turn."""
        protocol = factory()
        transport = SimTransport(sock, protocol)
        self.call_soon(transport.start)
        return _Connection(transport, protocol)

    async def _connected(self, sock: SimSocket, factory: ProtocolFactory) -> Any:
        made = self._make_connection(sock, factory)
        await asyncio.sleep(0)
        return made.transport, made.protocol

    # Listeners that are read directly, as by the sidecar's front

    def add_reader(self, fd: Any, callback: Any, *args: Any) -> None:  # type: ignore[override]
        """Call back whenever a listening socket has pending connections."""

        def on_readable() -> None:
            if id(fd) in self._readers and fd.pending:
                callback(*args)
                if fd.pending:  # the callback may leave some for the next turn
                    self.call_soon(on_readable)

        self._readers[id(fd)] = fd
        fd.on_readable, fd.context = on_readable, contextvars.copy_context()
        if fd.pending:
            self.call_soon(on_readable)

    def remove_reader(self, fd: Any) -> bool:
        """Stop calling back for a listening socket, and return whether there was a callback."""
        fd.on_readable = None
        return self._readers.pop(id(fd), None) is not None


@contextlib.contextmanager
def _replace_system(loop: SimLoop) -> Iterator[None]:
    """Put the loop's clocks and network in place of the machine's."""
    originals = system.monotonic_ns, system.unix_ns, system.tcp_socket, system.listen
    system.monotonic_ns = lambda: round(loop.time() * 1e9)
    system.unix_ns = lambda: UNIX_EPOCH_NS + round(loop.unix_s() * 1e9)
    system.tcp_socket = cast(Any, lambda family: SimSocket(loop.network))
    system.listen = cast(Any, loop.network.listen)
    try:
        yield
    finally:
        system.monotonic_ns, system.unix_ns, system.tcp_socket, system.listen = originals


def simulate(seed: int, main: Callable[[SimLoop], Awaitable[T]]) -> T:
    """Run the coroutine that `main` returns to its end, and return its result.

    Raises whatever it raises, NoProgressError if it never ends, and SimulationError if a callback or a task failed that
    no other code awaited.
    """
    loop = SimLoop(seed)
    try:
        with _replace_system(loop):
            asyncio.set_event_loop(loop)
            result = loop.run_until_complete(asyncio.ensure_future(main(loop), loop=loop))
            if loop.failures:
                raise SimulationError("; ".join(loop.failures))
            return result
    finally:
        _close(loop)


def _close(loop: SimLoop) -> None:
    """Cancel what is left, and close the loop."""
    for task in asyncio.all_tasks(loop):
        task.cancel()
    with contextlib.suppress(NoProgressError):
        loop.run_until_complete(asyncio.sleep(0))
    asyncio.set_event_loop(None)
    loop.close()
