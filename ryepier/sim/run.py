"""Runs a coroutine with virtual time and the simulated network in place of the machine's clocks and network."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from ryepier.errors import RyepierError
from ryepier.sidecar import system
from ryepier.sim.loop import NoProgressError, VirtualLoop
from ryepier.sim.network import Network, SimServer
from ryepier.sim.process import CURRENT_PROCESS, Clocks, SuspendedCallbacks
from ryepier.sim.sockets import SimSocket
from ryepier.sim.transport import SimTransport

T = TypeVar("T")
ProtocolFactory = Callable[[], asyncio.BaseProtocol]
UNIX_EPOCH_NS = 1_800_000_000 * 1_000_000_000  # wall clock at the start of a run
DEFAULT_BACKLOG = 100  # asyncio's default for create_server


class SimulationError(RyepierError):
    """A callback or a task of the run raised an exception that no code handled."""


def _process_of(handle: Any) -> str:
    """Return the name of the process to which a callback belongs, or "" if it belongs to none."""
    process: str = handle._context.get(CURRENT_PROCESS, "")
    return process


@dataclass(frozen=True, slots=True)
class _Connection:
    """A transport and its protocol."""

    transport: SimTransport
    protocol: asyncio.BaseProtocol


class SimLoop(VirtualLoop):
    """An event loop with virtual time, a simulated network, and processes that can be killed or suspended."""

    def __init__(self, seed: int) -> None:
        """Create a loop at time 0 without processes; `seed` seeds the network's random numbers."""
        super().__init__()
        self.network = Network(self, seed)
        self.clocks: dict[str, Clocks] = {}  # by process name; only processes whose clocks were changed
        self._readers: dict[int, SimSocket] = {}  # listening sockets that have a reader callback, by `id(socket)`
        self._killed_processes: set[str] = set()  # names of killed processes
        # References to the tasks of killed processes. If these tasks were garbage-collected, their `finally` blocks
        # would run at a time that depends on the collector, and runs with the same seed would differ.
        self._retained_tasks: list[set[asyncio.Task[Any]]] = []
        self._suspended_callbacks: dict[str, SuspendedCallbacks] = {}  # by names of suspended processes

    # Processes

    def kill(self, process: str) -> None:
        """Kill a process: cancel its callbacks and timers, never run its tasks again, and close its sockets."""
        self._suspended_callbacks.pop(process, None)
        self._killed_processes.add(process)
        self._retained_tasks.append(asyncio.all_tasks(self))
        for handle in [*self._scheduled, *self._ready]:  # type: ignore[attr-defined]
            if _process_of(handle) == process:
                handle.cancel()
        self.network.kill(process)

    def suspend(self, process: str) -> None:
        """Suspend a process as SIGSTOP does: its code does not run, time passes, and arriving data is buffered."""
        suspended_callbacks = self._suspended_callbacks.setdefault(process, SuspendedCallbacks())
        ready_handles: Any = self._ready  # type: ignore[attr-defined]
        for handle in [handle for handle in ready_handles if _process_of(handle) == process]:
            ready_handles.remove(handle)
            suspended_callbacks.ready_handles.append(handle)
        suspended_callbacks.timer_handles += self._remove_timers(process)

    def resume(self, process: str) -> None:
        """Resume a process and run the callbacks that became due. Does nothing if the process was killed meanwhile."""
        suspended_callbacks = self._suspended_callbacks.pop(process, None)
        if suspended_callbacks is None:
            return
        self._ready.extend(suspended_callbacks.ready_handles)  # type: ignore[attr-defined]
        self._reschedule_timers(suspended_callbacks.timer_handles)

    def set_rate(self, process: str, rate: float) -> None:
        """Run a process's clocks at `rate` times the speed of the run's clock from now on."""
        clocks = self.clocks.setdefault(process, Clocks())
        timers = self._remove_timers(process)
        due_times_process_s = [clocks.process_time_s(handle._when) for handle in timers]
        clocks.set_rate(self.now_s, rate)
        for handle, process_s in zip(timers, due_times_process_s, strict=True):
            handle._when = clocks.run_time_s(process_s)
        self._reschedule_timers(timers)

    def shift_wall_clock(self, process: str, by_s: float) -> None:
        """Set a process's wall clock forward by `by_s` seconds, or back if `by_s` is negative."""
        self.clocks.setdefault(process, Clocks()).wall_offset_s += by_s

    def _remove_timers(self, process: str) -> list[Any]:
        """Remove a process's timers from the schedule, and return them sorted by time."""
        scheduled_handles: list[Any] = self._scheduled  # type: ignore[attr-defined]
        timers = [handle for handle in scheduled_handles if _process_of(handle) == process and not handle._cancelled]
        if timers:
            ids = set(map(id, timers))
            scheduled_handles[:] = [handle for handle in scheduled_handles if id(handle) not in ids]
            heapq.heapify(scheduled_handles)
            for handle in timers:
                # Otherwise, asyncio would count the timer as a cancelled timer in the heap if it is cancelled later.
                handle._scheduled = False
        return sorted(timers, key=lambda handle: float(handle._when))

    def _reschedule_timers(self, timers: list[Any]) -> None:
        scheduled_handles: list[Any] = self._scheduled  # type: ignore[attr-defined]
        for handle in timers:
            if not handle._cancelled:
                heapq.heappush(scheduled_handles, handle)
                handle._scheduled = True

    # Clocks and callbacks of the running process

    def _current_clocks(self) -> Clocks | None:
        return self.clocks.get(CURRENT_PROCESS.get()) if self.clocks else None

    def time(self) -> float:
        """Return the time of the running process's monotonic clock, in seconds."""
        if not self.clocks:
            return self.now_s
        clocks = self.clocks.get(CURRENT_PROCESS.get())
        return self.now_s if clocks is None else clocks.process_time_s(self.now_s)

    def unix_s(self) -> float:
        """Return the time of the running process's wall clock, in seconds since the start of the run."""
        clocks = self._current_clocks()
        return self.now_s if clocks is None else clocks.process_time_s(self.now_s) + clocks.wall_offset_s

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> Any:  # type: ignore[override]
        """Schedule a callback, but cancel it if its process was killed, and defer it while its process is suspended."""
        if self.is_closed():  # garbage collection of killed processes' objects may call this after the run
            return asyncio.Handle(callback, args, self, context)
        handle = super().call_soon(callback, *args, context=context)
        process = _process_of(handle) if self._killed_processes or self._suspended_callbacks else ""
        if process in self._killed_processes:
            handle.cancel()
        elif process in self._suspended_callbacks:
            self._ready.pop()  # type: ignore[attr-defined]
            self._suspended_callbacks[process].ready_handles.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        """Schedule a callback at a time of the running process's monotonic clock."""
        clocks = self._current_clocks()
        if clocks is not None:
            when = clocks.run_time_s(when)
        handle = super().call_at(when, callback, *args, context=context)
        if self._killed_processes and _process_of(handle) in self._killed_processes:
            handle.cancel()
        return handle

    # Connections. The signatures have only those of asyncio's parameters that callers in this project use.

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Connect a socket through the simulated network."""
        await self.network.connect(sock, address)

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        """Connect through the simulated network, and return the transport and the protocol."""
        sock = options.get("sock")
        if sock is None:
            sock = SimSocket(self.network)
            try:
                await self.network.connect(sock, (host, port))
            except asyncio.CancelledError:
                sock.close()
                raise
        return await self._open_connection(sock, protocol_factory)

    async def connect_accepted_socket(self, protocol_factory: Any, sock: Any, **options: Any) -> Any:
        """Create the transport and the protocol of an accepted socket."""
        return await self._open_connection(sock, protocol_factory)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        """Listen on the simulated network, and create a protocol for each accepted connection."""
        sock = self.network.listen((host, port or 0), options.get("backlog", DEFAULT_BACKLOG))

        def accept() -> None:
            while sock.pending_connections:
                self._make_connection(sock.accept()[0], protocol_factory)

        sock.on_readable, sock.context = accept, contextvars.copy_context()
        return SimServer(sock)

    def _make_connection(self, sock: SimSocket, factory: ProtocolFactory) -> _Connection:
        """Create a transport and its protocol. As in asyncio, the next iteration calls `connection_made`."""
        protocol = factory()
        transport = SimTransport(sock, protocol)
        self.call_soon(transport.start)
        return _Connection(transport, protocol)

    async def _open_connection(self, sock: SimSocket, factory: ProtocolFactory) -> Any:
        connection = self._make_connection(sock, factory)
        await asyncio.sleep(0)
        return connection.transport, connection.protocol

    # Reader callbacks of listening sockets, with which the sidecar accepts connections

    def add_reader(self, fd: Any, callback: Any, *args: Any) -> None:  # type: ignore[override]
        """Call `callback` whenever the listening socket `fd` has pending connections."""

        def on_readable() -> None:
            if id(fd) in self._readers and fd.pending_connections:
                callback(*args)
                if fd.pending_connections:  # the callback may leave some connections pending
                    self.call_soon(on_readable)

        self._readers[id(fd)] = fd
        fd.on_readable, fd.context = on_readable, contextvars.copy_context()
        if fd.pending_connections:
            self.call_soon(on_readable)

    def remove_reader(self, fd: Any) -> bool:
        """Remove the reader callback of a listening socket, and return whether there was one."""
        fd.on_readable = None
        return self._readers.pop(id(fd), None) is not None


@contextlib.contextmanager
def _replace_system(loop: SimLoop) -> Iterator[None]:
    """Replace the clocks and sockets of `sidecar.system` with those of the loop within the context."""
    replacements = {
        "monotonic_ns": lambda: round(loop.time() * 1e9),
        "unix_ns": lambda: UNIX_EPOCH_NS + round(loop.unix_s() * 1e9),
        "tcp_socket": lambda family: SimSocket(loop.network),
        "listen": loop.network.listen,
        "accept_queue_length": lambda sock: len(sock.pending_connections),
        "resident_bytes": lambda: 0,
    }
    originals = {name: getattr(system, name) for name in replacements}
    try:
        for name, replacement in replacements.items():
            setattr(system, name, replacement)
        yield
    finally:
        for name, original in originals.items():
            setattr(system, name, original)


def simulate(seed: int, main: Callable[[SimLoop], Awaitable[T]]) -> T:
    """Run the coroutine that `main` returns in a new simulation, and return its result.

    Raises the coroutine's exceptions, NoProgressError if the run cannot end, and SimulationError if a callback or a
    task raised an exception that no code handled.
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
    """Cancel the remaining tasks, run the loop once so that they handle the cancellation, and close it."""
    for task in asyncio.all_tasks(loop):
        task.cancel()
    with contextlib.suppress(NoProgressError):
        loop.run_until_complete(asyncio.sleep(0))
    asyncio.set_event_loop(None)
    loop.close()
