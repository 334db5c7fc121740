"""The application's side: reads its requests over HTTP/1.1 and writes their answers."""

from __future__ import annotations

import asyncio
import enum
import hashlib
import http
import itertools
import logging
import re
import socket
from collections.abc import Iterator, Mapping, Sequence
from typing import Protocol
from urllib.parse import quote

import httptools

from ryepier.balancer.interface import Effect, Settings
from ryepier.sidecar import system
from ryepier.sidecar.host import Answer, Call, Host, Verdict, clock_us

log = logging.getLogger(__name__)

LONGEST_BODY = 64 * 1024
LONGEST_HEAD = 16 * 1024
LONGEST_CHUNKED = 8 * LONGEST_BODY  # the bytes of a chunked message: chunks of one byte take six each
LONGEST_READ_S = 2.4  # to connect and send a whole request, and to send each later one;
LONGEST_SLOW_S = 6.0  # or so long, the later ones, as long as their bytes keep coming
LONGEST_PAUSE_S = 0.8
LONGEST_IDLE_S = 60.0
LONGEST_UNREAD_S = 5.0  # and so long more while part of an answer waits for its client to read on
LONGEST_LINGER_S = 1.0  # how long a connection that is to end stays for its client to read what it was told
MOST_DISCARDED = 64 * 1024  # of what still comes on such a connection; the rest is not even read
FIRST_COMES_S = 0.25  # who connects sends at once; later nothing is on its way
SWEEP_S = 0.1
ACCEPTS_A_TURN = 16  # hazard: hundreds of connections at once would keep what is open waiting
NO_ROOM_S = 0.05
PARTIAL_RETRY_AFTER_US = 250_000  # a client whose request came in part is told to stay away for so long
MOST_DIGITS = 9
OWN_HEADERS = frozenset(
    (  # of this connection, or written anew for each attempt
        b"host",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"content-length",
        b"transfer-encoding",
        b"x-deadline-ms",
    )
)
SINGLE_HEADERS = frozenset(
    (  # hazard: of two, the upstream might go by the other one
        b"host",
        b"content-length",
        b"x-request-id",
        b"x-class",
        b"x-tenant",
        b"x-key",
        b"x-deadline-ms",
        b"x-retry",
        b"x-cost-hint",
        b"x-extras",
        b"idempotency-key",
    )
)
IDENT = re.compile(rb"[!-~]{1,128}")
VALUE = re.compile(rb"[\t -~]*")
NAME = re.compile(rb"[\t -~\x80-\xff]*")
NAMING_HEADERS = frozenset((b"x-class", b"x-tenant"))  # their values are the settings' names, in any language
REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
Reply = tuple[int, bytes, bytes]  # status, body, and header lines of its own, each with its end


class RequestError(Exception):
    """Input that is not taken: it is answered with this status, and the connection closed, unless it was sound HTTP
    and only its content was not."""

    def __init__(self, status: int, why: str, keeps: bool = False) -> None:
        super().__init__(why)
        self.status = status
        self.keeps = keeps


class Dialect(Protocol):
    """How the requests on a front are read, and how their answers are worded; it decides nothing of where they go."""

    def call(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> Call:
        """What a request asks for. Raises RequestError."""

    def answer(self, call: Call, answer: Answer) -> Reply:
        """The final answer to a request that was taken."""

    def rejected(self, target: bytes, reject: RequestError) -> Reply:
        """The answer to one that was not; `target` as far as it was read."""


def stable_hash(key: bytes) -> int:
    """The same in every process, which Python's own is not."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big")


def whole_number(text: bytes, what: str) -> int:
    if not text.isdigit() or len(text) > MOST_DIGITS:
        raise RequestError(400, f"{what} is no whole number")
    return int(text)


def read_headers(headers: list[tuple[bytes, bytes]], single: frozenset[bytes]) -> dict[bytes, bytes]:
    """By name in small letters; of those that may come twice the last. Raises RequestError."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        name = name.lower()
        if name in found and name in single:
            raise RequestError(400, "a header is repeated")
        if not (NAME if name in NAMING_HEADERS else VALUE).fullmatch(value):
            raise RequestError(400, "a header's value is not plain text")
        found[name] = value.strip()
    return found


def by_spelling(names: Sequence[str]) -> dict[bytes, int]:
    """The place of each name, by what may stand for it in a header or a path: UTF-8, Latin-1, percent-encoded."""
    found = {name.encode(): index for index, name in enumerate(names)}
    for index, name in enumerate(names):
        found.setdefault(quote(name, safe="").encode(), index)
        if all(ord(letter) < 256 for letter in name):
            found.setdefault(name.encode("latin-1"), index)
    return found


class Tenants:
    """The tenants that requests name."""

    def __init__(self, settings: Settings) -> None:
        self.places = by_spelling([tenant.name for tenant in settings.tenants])
        self.nobody = len(settings.tenants)

    def place(self, found: Mapping[bytes, bytes]) -> int:
        """Hazard: who names none, or one that is not known, must not be counted against one that is."""
        return self.places.get(found.get(b"x-tenant", b""), self.nobody)


class Catalogue:
    """The classes and tenants that requests name."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = by_spelling([kind.name for kind in settings.classes])
        self.tenants = Tenants(settings)

    def call(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> Call:
        """Check a request and give it its place in the settings. Hazard: what upstreams turn away or close on
        costs their connections and the requests behind, so what the protocol doesn't allow ends here."""
        found = read_headers(headers, SINGLE_HEADERS)
        path, _, query = target.partition(b"?")
        name = path[1:].split(b"/")[0]
        index = self.classes.get(name) if path.startswith(b"/") and b"#" not in target else None
        if index is None or self.classes.get(found.get(b"x-class", b"")) != index:
            raise RequestError(404, "unknown class")
        if not IDENT.fullmatch(found.get(b"x-request-id", b"")):
            raise RequestError(400, "no X-Request-Id")
        kind = self.settings.classes[index]
        if method != (b"GET" if kind.effect == Effect.IDEMPOTENT else b"POST"):
            raise RequestError(400, "not the method of this class")
        if method == b"GET" and body:
            raise RequestError(400, "a GET has no body")
        if kind.effect == Effect.IDEMPOTENCY_KEY:
            if not IDENT.fullmatch(found.get(b"idempotency-key", b"")):
                raise RequestError(400, "no Idempotency-Key")
        elif b"idempotency-key" in found:
            raise RequestError(400, "an Idempotency-Key, but not for this class")
        key = found.get(b"x-key")
        cost = found.get(b"x-cost-hint")
        deadline_us = 1000 * whole_number(found.get(b"x-deadline-ms", b""), "X-Deadline-Ms")
        return Call(
            method,
            target,
            [(n, v) for n, v in headers if n.lower() not in OWN_HEADERS],
            body,
            clock_us(),
            deadline_us=min(deadline_us, kind.deadline_us),  # hazard: else a request could stay for years
            class_index=index,
            ident=found[b"x-request-id"],
            tenant=self.tenants.place(found),
            key=stable_hash(key) if key else 0,
            cost_us=whole_number(cost, "X-Cost-Hint") if cost else 0,
            retried=found.get(b"x-retry") == b"1",
        )

    @staticmethod
    def answer(call: Call, answer: Answer) -> Reply:
        if answer.verdict is Verdict.SERVED:
            return 200, answer.body, b"Content-Type: %s\r\n" % answer.content_type if answer.content_type else b""
        if answer.verdict is Verdict.REFUSED:
            return 503, b"", retry_after(answer.retry_after_us)
        return 500, b"", b""

    @staticmethod
    def rejected(target: bytes, reject: RequestError) -> Reply:
        return reject.status, str(reject).encode() + b"\n", b""


def retry_after(after_us: int) -> bytes:
    """The header line that tells a client when to come back; none where there is nothing to tell."""
    return b"Retry-After: %.3f\r\n" % (after_us / 1e6) if after_us else b""


class SeenIds:
    """The ids of the open requests and of those of late; it forgets by halves."""

    def __init__(self, period_s: float) -> None:
        self.period_s = period_s  # no request is open for longer
        self.young: set[bytes] = set()
        self.old: set[bytes] = set()
        self.turned_at = system.monotonic()

    def add(self, ident: bytes) -> bool:
        """Whether it is new."""
        now = system.monotonic()
        if now > self.turned_at + self.period_s:
            self.old = self.young if now <= self.turned_at + 2 * self.period_s else set()
            self.young = set()
            self.turned_at = now
        if ident in self.young or ident in self.old:
            return False
        self.young.add(ident)
        return True


class State(enum.Enum):
    """Of a connection of the application."""

    FRESH = enum.auto()  # no whole request has come yet
    IDLE = enum.auto()  # between requests
    READING = enum.auto()  # part of a further request has come
    OPEN = enum.auto()  # a request has been taken and not answered
    ENDING = enum.auto()  # it has its last answer


LONGEST_S = {
    State.FRESH: LONGEST_READ_S,
    State.IDLE: LONGEST_IDLE_S,
    State.READING: LONGEST_READ_S,
    State.ENDING: LONGEST_LINGER_S,
}  # an open request has its own deadline


# Which connections make room for a new one, in this order: (state, for how long it has been in it without a byte,
# whether part of a request has come). A client that has just connected is about to send its request; where none of
# these is left, new connections wait in the listener's queue.
MAKES_ROOM = (
    (State.ENDING, 0.0, False),
    (State.FRESH, FIRST_COMES_S, False),
    (State.IDLE, 2.0, False),
    (State.FRESH, FIRST_COMES_S, True),
    (State.READING, FIRST_COMES_S, True),
    (State.IDLE, 0.0, False),
)


class Client(asyncio.Protocol):
    """One connection of the application; it carries one request at a time."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.state = State.FRESH
        self.since = system.monotonic()  # when that state began
        self.ident = 0  # the host's name for the open request
        self.extra = False  # bytes came while a request was open
        self.last = False  # the connection closes with the next answer
        self.discarded = 0
        self.answered = 0
        self.reset()

    def reset(self) -> None:
        self.whole = False
        self.head_done = False
        self.chunked = False
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.size = 0
        self.heard = 0.0  # when the last bytes of the message being read came
        self.body = bytearray()
        self.call: Call | None = None  # the open request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state is State.ENDING:  # closed to make room while it came up
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.remove(self)
        self.parser = self.call = None  # hazard: they hold each other, and would wait for a rare full collection
        if self.state is State.OPEN:
            self.server.host.gone(self.ident)

    # A request, as the parser reads it

    def on_message_begin(self) -> None:
        if self.whole:
            self.extra = True

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.whole or self.head_done:  # hazard: a trailer could change what the head says of the request
            return
        plain = name.lower()
        if plain == b"transfer-encoding":
            if value.strip().lower() != b"chunked":
                raise RequestError(400, "a transfer coding other than chunked")
            self.chunked = True
        if plain == b"content-length" and int(value) > LONGEST_BODY:
            raise RequestError(413, "the body is too long")  # hazard: 60 MB would be read for nothing
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        if self.whole:
            return
        # hazard: a server of 1.0 before us would have gone by the length, and seen the next request begin elsewhere
        if self.chunked and self.parser.get_http_version() != "1.1":
            raise RequestError(400, "a transfer coding, but not HTTP/1.1")
        self.head_done = True

    def on_body(self, data: bytes) -> None:
        if self.whole:
            return
        self.body += data
        if len(self.body) > LONGEST_BODY:  # a chunked one, which tells no length at its head
            raise RequestError(413, "the body is too long")

    def on_message_complete(self) -> None:
        self.whole = True

    def data_received(self, data: bytes) -> None:
        if self.state in (State.ENDING, State.OPEN):
            self.extra = True  # pipelined: the open request is answered, then the connection ends
            self.discarded += len(data)
            if self.discarded > MOST_DISCARDED and self.transport is not None:
                if self.state is State.OPEN:
                    # hazard: what is not read on can't be seen to leave, and its request would be sent on
                    self.server.host.gone(self.ident)
                    self.write(400, b"", last=True)
                self.transport.pause_reading()  # hazard: to read it all, only to drop it, takes the CPU
            return
        if self.state is State.IDLE:
            self.server.move(self, State.READING)
        self.size += len(data)
        self.heard = system.monotonic()
        try:
            self.feed(data)
            if self.whole:
                self.take()
        except RequestError as reject:
            self.write(*self.server.dialect.rejected(self.target, reject), last=not reject.keeps)
        except Exception:
            # hazard: a fault with one request must end neither the process nor other requests
            log.exception("a request could not be read")
            self.write(500, b"", last=True)

    def feed(self, data: bytes) -> None:
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, RequestError) else error from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # hazard: what follows a whole request and is no request shows that its length was wrong
            raise RequestError(400, "malformed request") from None
        if not self.head_done and self.size > LONGEST_HEAD:
            raise RequestError(413, "the head is too long")  # hazard: one without end would fill the memory
        if self.chunked and not self.whole and self.size > LONGEST_CHUNKED:
            raise RequestError(413, "the chunks are too long")  # hazard: extensions and trailers may have no end

    def take(self) -> None:
        """The request has come whole."""
        assert self.transport is not None and self.parser is not None
        method = self.parser.get_method()
        if self.parser.get_http_version() not in ("1.0", "1.1"):
            raise RequestError(400, "not HTTP/1.1")
        if not self.parser.should_keep_alive():
            self.last = True
        target, headers, body = self.target, self.headers, bytes(self.body)
        if target == b"/up" and method == b"GET":
            self.write(200 if self.server.ready else 503, b"")
            return
        call = self.call = self.server.dialect.call(method, target, headers, body)
        if not self.server.seen.add(call.ident):
            # hazard: an upstream that has it already turns it away; its answer might go to the wrong client
            raise RequestError(409, "this X-Request-Id has been used")
        if self.transport.get_write_buffer_size() > 0:
            raise RequestError(400, "the last answer was not read")  # hazard: unread answers would fill the memory
        self.server.move(self, State.OPEN)
        call.left = self.left
        self.ident = self.server.host.arrived(call, self.answer)

    def left(self) -> bool:
        """Whether the client of the open request has gone; what has come ahead of its end is dropped, as it would
        be when read. An end of its sending alone can't be told from a close, and counts as one."""
        assert self.transport is not None
        while not self.transport.is_closing():
            room = MOST_DISCARDED - self.discarded
            try:
                if not self.sock.recv(1, socket.MSG_PEEK) or not room:
                    return True  # its end, or too much: its request would be given up when that is read
                self.discarded += len(self.sock.recv(room))
            except BlockingIOError:
                return False
            except OSError:  # it was reset
                return True
            self.extra = True
        return True

    def answer(self, answer: Answer) -> None:
        if self.state is State.OPEN and self.call is not None:
            self.write(*self.server.dialect.answer(self.call, answer))

    def write(self, status: int, body: bytes, head: bytes = b"", last: bool = False) -> None:
        assert self.transport is not None
        if self.transport.is_closing():
            return
        # hazard: clients have a bound of their own; those who ask once and stay keep the others from asking
        only_one = self.state is State.OPEN and self.answered == 0 and self.server.crowded()
        last = last or self.last or self.server.stopping or only_one
        self.answered += 1
        if last:
            head += b"Connection: close\r\n"
        data = b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n" % (status, REASONS[status], head, len(body))
        data += body
        if self.extra and not last:
            data += b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        self.transport.write(data)
        if last or self.extra:
            self.end()
        else:
            self.reset()
            self.server.move(self, State.IDLE)

    def end(self) -> None:
        """Hazard: closing with bytes unread resets the connection, and the client may lose its answer."""
        assert self.transport is not None
        self.server.move(self, State.ENDING)
        self.transport.write_eof()

    def flushed(self) -> bool:
        """Whether all that was written has left the process. Hazard: what has not is lost with the connection, and
        the answer cut short."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def quiet(self) -> bool:
        """Whether nothing has come that was not read yet."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:  # nothing has come, or it has broken
            return True

    def close(self) -> None:
        """End it at once; only where no request is open."""
        self.server.move(self, State.ENDING)
        if self.transport is not None:
            self.transport.abort()

    def request_is_partial(self) -> bool:
        """Whether part of a request has come, or had when its connection began to end: such a client may still send
        the rest, and a close before it has read its answer would reset the connection."""
        return self.size > 0 and not self.whole

    def reject(self) -> None:
        """Give the final answer to a request that has come in part only, and end its connection."""
        self.write(503, b"", retry_after(self.server.partial_retry_after_us), last=True)

    def overdue(self) -> None:
        """Its state has lasted too long."""
        if self.state in (State.FRESH, State.READING) and self.size:
            now = system.monotonic()
            # hazard: one that has never sent a whole request is owed an end within 3 s, however its bytes drip
            longest_s = LONGEST_READ_S if self.state is State.FRESH else LONGEST_SLOW_S
            if now > min(self.heard + LONGEST_PAUSE_S, self.since + longest_s):
                self.write(408, b"", last=True)
            return
        patient = system.monotonic() < self.since + LONGEST_S[self.state] + LONGEST_UNREAD_S
        if (self.flushed() or not patient) and (self.state is State.ENDING or self.quiet()):
            self.close()


class Server:
    """All connections of the application."""

    def __init__(
        self,
        host: Host,
        settings: Settings,
        address: tuple[str, int],
        most_clients: int,
        dialect: Dialect | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.host = host
        self.address = address
        self.dialect = dialect or Catalogue(settings)
        self.seen = SeenIds(max(kind.deadline_us for kind in settings.classes) / 1e6)
        self.most_clients = most_clients
        # its class is not known yet
        self.partial_retry_after_us = min(PARTIAL_RETRY_AFTER_US, settings.max_retry_after_us)
        if not settings.retry_after:
            self.partial_retry_after_us = 0
        # each in the order in which its state began, so that the oldest is found at once
        self.clients: dict[State, dict[Client, None]] = {state: {} for state in State}
        self.coming: set[asyncio.Task[object]] = set()
        self.stopping = False
        self.sock: socket.socket | None = None

    @property
    def ready(self) -> bool:
        return self.host.ready and not self.stopping

    def count(self) -> int:
        return sum(len(group) for group in self.clients.values())

    def crowded(self) -> bool:
        """Whether so many connections are open that new ones had better not stay."""
        return self.count() > self.most_clients // 2

    def listen(self) -> None:
        self.sock = system.listen(self.address, 1024)
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock, self.accept)
        self.sweep()

    def accept(self) -> None:
        """Take what waits, in small lots. Hazard: asyncio's own server takes all that waits at once, and with
        no descriptor left it stops for a second."""
        self.accept_some(ACCEPTS_A_TURN)

    def accept_some(self, most: int) -> None:
        assert self.sock is not None
        for _ in range(most):
            if self.count() >= self.most_clients and not self.make_room():
                self.pause()
                return
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("no connection can be taken: %r", error)
                self.make_room()
                self.pause()
                return
            sock.setblocking(False)
            client = Client(self, sock)
            self.clients[State.FRESH][client] = None
            task = self.loop.create_task(self.take(client, sock))
            self.coming.add(task)
            task.add_done_callback(self.coming.discard)

    async def take(self, client: Client, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            self.remove(client)
            sock.close()

    def pause(self) -> None:
        """Take no more for a moment, or the loop would turn without a rest."""
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.loop.call_later(NO_ROOM_S, self.resume)

    def resume(self) -> None:
        if self.sock is not None:
            self.loop.add_reader(self.sock, self.accept)

    def make_room(self) -> bool:
        """Close the connection without an open request that has been of no use for longest. Returns whether there is
        room now; clients whose requests have come in part are rejected, and make room once they have read that.

        Without a bound no descriptor would be left for upstreams and discovery.
        """
        now = system.monotonic()
        for state, age_s, partial in MAKES_ROOM:
            replaceable = self.replaceable(state, now - age_s, partial)
            if partial:
                for client in list(itertools.islice(replaceable, ACCEPTS_A_TURN)):
                    client.reject()
            elif (idle := next(replaceable, None)) is not None:
                idle.close()
                self.remove(idle)
                return True
        return False

    def replaceable(self, state: State, since: float, partial: bool) -> Iterator[Client]:
        """The clients in a state since then or earlier, without a byte since then, that may make room."""
        for client in self.clients[state]:
            if client.since > since:
                return
            if (
                client.transport is not None
                and client.request_is_partial() is partial
                and client.flushed()
                and client.heard <= since
                and (state is State.ENDING or client.quiet())
            ):
                yield client

    def move(self, client: Client, state: State) -> None:
        """Its state changes."""
        if client in self.clients[client.state]:
            del self.clients[client.state][client]
            client.state, client.since = state, system.monotonic()
            self.clients[state][client] = None

    def remove(self, client: Client) -> None:
        self.clients[client.state].pop(client, None)

    def sweep(self) -> None:
        """Hazard: one who says nothing, or half of it, would hold a connection for ever."""
        self.loop.call_later(SWEEP_S, self.sweep)
        now = system.monotonic()
        for state, longest_s in LONGEST_S.items():
            overdue = []
            for client in self.clients[state]:
                if client.since > now - longest_s:
                    break
                overdue.append(client)
            for client in overdue:
                client.overdue()

    def stop_idle(self) -> None:
        """From now on each answer is the last one of its connection; idle connections close, but for those whose
        first request is surely on its way."""
        self.stopping = True
        young = system.monotonic() - FIRST_COMES_S
        for state in (State.IDLE, State.FRESH):
            for client in list(self.clients[state]):
                if (
                    client.size == 0
                    and client.transport is not None
                    and client.flushed()
                    and client.quiet()
                    and (state is State.IDLE or client.since <= young)
                ):
                    client.close()

    def stop_listening(self) -> None:
        """Hazard: closing the listener resets what waits to be taken, and the request that it brings."""
        if self.sock is not None:
            self.accept_some(self.most_clients)
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def turn_away(self) -> None:
        """Hazard: what has not come whole may come whole at the last moment, and would be lost."""
        for state in (State.FRESH, State.READING):
            for client in list(self.clients[state]):
                if client.transport is not None:
                    client.reject()
