"""The calls to a Kubernetes API server: HTTP/1.1 over TCP or TLS, one call a connection."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from urllib.parse import urlsplit

import httptools

from ryepier.slices import objects, reflect
from ryepier.slices.reflect import Apply, Call, Delete, Failure, Reflector, Replace, Trouble, Wait

log = logging.getLogger(__name__)

CONNECT_S = 3.0  # with TLS
LIST_S = 20.0  # for one page, however slowly it comes
GRACE_S = 5.0  # a watch that says nothing for so long after its time hangs
LONGEST_LINE = 4 * 1024 * 1024  # one slice has at most 1,000 endpoints
LONGEST_PAGE = 32 * 1024 * 1024
LONGEST_ERROR = 64 * 1024
KEEPALIVE_S = (5, 2, 3)  # idle, between probes, how many: a machine that is cut off is noticed after 11 s
POD = Path("/var/run/secrets/kubernetes.io/serviceaccount")  # where a pod finds what it needs


class AccessError(ValueError):
    """The API server can't be addressed as the settings say."""


@dataclass(frozen=True, slots=True)
class Access:
    """Where the API server is, and what it is shown."""

    host: str
    port: int
    tls: bool
    prefix: str = ""  # of each path, as behind a proxy
    token: Path | None = None  # read for each call: the cluster puts a new one there every hour
    authority: Path | None = None
    certificate: Path | None = None
    key: Path | None = None


def find_access(server: str, token: str = "", authority: str = "", certificate: str = "", key: str = "") -> Access:
    """What the settings name; with an empty `server` what a pod is given. Raises AccessError."""
    if not server:
        host, port = os.environ.get("KUBERNETES_SERVICE_HOST", ""), os.environ.get("KUBERNETES_SERVICE_PORT", "")
        if not host or not port.isdecimal():
            raise AccessError("no server is named, and KUBERNETES_SERVICE_HOST and _PORT tell of none")
        return Access(
            host,
            int(port),
            True,
            "",
            Path(token or POD / "token"),
            Path(authority or POD / "ca.crt"),
            Path(certificate) if certificate else None,
            Path(key) if key else None,
        )
    try:
        url = urlsplit(server)
        port_number = url.port
    except ValueError as error:
        raise AccessError(f"server {server!r}: {error}") from None
    if url.scheme not in ("http", "https") or not url.hostname or url.query or url.fragment or url.username:
        raise AccessError(f"server {server!r}: expected http://host:port or https://host:port")
    if bool(certificate) != bool(key):
        raise AccessError("a client certificate and its key go together")
    tls = url.scheme == "https"
    return Access(
        url.hostname,
        port_number or (443 if tls else 80),
        tls,
        url.path.rstrip("/"),
        *(Path(name) if name else None for name in (token, authority, certificate, key)),
    )


def tls_context(access: Access) -> ssl.SSLContext | None:
    """Made for each call, as certificates are replaced in their files. Raises OSError, of which ssl's errors are."""
    if not access.tls:
        return None
    context = ssl.create_default_context(cafile=str(access.authority) if access.authority else None)
    if access.certificate is not None:
        context.load_cert_chain(str(access.certificate), str(access.key))
    return context


def request_head(access: Access, target: str) -> bytes:
    """Raises OSError where the token can't be read, and ValueError where it is none."""
    host = f"[{access.host}]" if ":" in access.host else access.host
    lines = [
        f"GET {access.prefix}{target} HTTP/1.1",
        f"Host: {host}:{access.port}",
        "Accept: application/json",
        "User-Agent: ryepier",
    ]
    if access.token is not None:
        token = access.token.read_text(encoding="ascii").strip()
        if not token or not token.isprintable():
            raise ValueError(f"{access.token} holds no token")
        lines.append(f"Authorization: Bearer {token}")
    return "\r\n".join([*lines, "", ""]).encode("ascii")


class Answer(asyncio.Protocol):
    """The answer to one call, as its bytes come: lines of a watch at once, all else whole."""

    def __init__(self, kind: str, line: Callable[[bytes], None], heard: Callable[[], None]) -> None:
        self.kind = kind
        self.line = line
        self.heard = heard
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.body = bytearray()
        self.status = 0
        self.retry_after_s: int | None = None
        self.complete = False
        self.failure: Exception | None = None
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock: socket.socket | None = transport.get_extra_info("socket")
        if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, value in zip(
                (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT), KEEPALIVE_S, strict=True
            ):
                sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def data_received(self, data: bytes) -> None:
        if self.done.done():
            return
        self.heard()
        try:
            self.parser.feed_data(data)
        except Exception as error:  # noqa: BLE001
            self.failure = error
            self.finish()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after" and value.strip().isdigit():
            self.retry_after_s = int(value)

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self.body += data
        if self.status != 200:
            if len(self.body) > LONGEST_ERROR:
                raise ValueError("the error's text is too long")
        elif self.kind == "list":
            if len(self.body) > LONGEST_PAGE:
                raise ValueError("the page is too long")
        else:
            self.take_lines(len(data))

    def take_lines(self, new: int) -> None:
        """Only what has just come can hold a line's end."""
        if self.body.find(b"\n", len(self.body) - new) >= 0:
            *lines, rest = bytes(self.body).split(b"\n")
            self.body = bytearray(rest)
            for line in lines:
                if line.strip():
                    self.line(line)
        if len(self.body) > LONGEST_LINE:
            raise ValueError("a line without end")

    def on_message_complete(self) -> None:
        self.complete = True
        self.finish()

    def connection_lost(self, error: Exception | None) -> None:
        self.failure = self.failure or error
        self.finish()

    def finish(self) -> None:
        if not self.done.done():
            self.done.set_result(None)
        if self.transport is not None:
            self.transport.abort()


class Client:
    """Carries out what a reflector asks for, until it is cancelled; `tell` hears of all that a call brings, at once."""

    def __init__(
        self,
        access: Access,
        reflector: Reflector,
        tell: Callable[[list[Replace | Apply | Delete]], None],
        lost: Callable[[], None],
        clock_us: Callable[[], int],
    ) -> None:
        self.access = access
        self.reflector = reflector
        self.tell = tell
        self.lost = lost
        self.clock_us = clock_us
        self.next: list[Call | Wait] = []
        self.news: list[Replace | Apply | Delete] = []
        self.flushing = False
        self.heard_us = 0
        self.troubles = 0

    async def run(self) -> None:
        self.carry_out(self.reflector.begin(self.clock_us()))
        while True:
            step = self.next.pop()
            if isinstance(step, Wait):
                self.lost()
                await asyncio.sleep(max(0.0, (step.until_us - self.clock_us()) / 1e6))
                self.carry_out(self.reflector.woken(self.clock_us()))
            else:
                await self.call(step)

    def carry_out(self, actions: list[reflect.Action]) -> None:
        for action in actions:
            if isinstance(action, Call | Wait):
                self.next.append(action)
            elif isinstance(action, Trouble):
                self.troubles += 1
                log.warning("EndpointSlices: %s", action.why)
            else:
                self.news.append(action)
        if self.news and not self.flushing:
            # what came in one piece is told in one piece, before anything else that waits for the loop
            self.flushing = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        self.flushing = False
        news, self.news = self.news, []
        self.tell(news)

    async def call(self, call: Call) -> None:
        """One call, from its connection to what it led to."""
        answer = Answer(call.kind, self.take_line, self.heard)
        self.heard()
        try:
            # files of a token or certificate are small and local; a thread for them would cost more than it saves
            head, context = request_head(self.access, call.target), tls_context(self.access)
            async with asyncio.timeout(CONNECT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: answer, self.access.host, self.access.port, ssl=context
                )
            assert answer.transport is not None
            answer.transport.write(head)
            await self.until_over(call, answer)
        except TimeoutError:
            answer.failure = TimeoutError("no answer in time")
        except (OSError, ValueError) as error:
            answer.failure = error
        finally:
            answer.finish()
        if not self.next:
            self.carry_out(self.outcome(call, answer))

    async def until_over(self, call: Call, answer: Answer) -> None:
        """Hazards: a page that comes a byte a second, and a watch that stays open and silent."""
        if call.kind == "list":
            async with asyncio.timeout(LIST_S):
                await answer.done
            return
        limit_us = int((self.reflector.watch_s + GRACE_S) * 1e6)
        while not answer.done.done():
            left_us = self.heard_us + limit_us - self.clock_us()
            if left_us <= 0:
                raise TimeoutError
            await asyncio.wait([answer.done], timeout=left_us / 1e6)

    def heard(self) -> None:
        self.heard_us = self.clock_us()

    def take_line(self, line: bytes) -> None:
        if not self.next:  # after an error's event nothing more of this watch counts
            self.carry_out(self.reflector.event(self.clock_us(), objects.read_event(line)))

    def outcome(self, call: Call, answer: Answer) -> list[reflect.Action]:
        now_us = self.clock_us()
        if answer.failure is None and answer.complete and answer.status == 200:
            if call.kind == "watch":
                # an end within a line loses nothing: the next watch begins where the last whole line was
                return self.reflector.ended(now_us)
            try:
                return self.reflector.page(now_us, objects.read_list(bytes(answer.body)))
            except objects.SliceError as error:
                return self.reflector.failed(now_us, Failure(str(error)))
        if answer.failure is None and answer.status not in (0, 200):
            said = objects.read_status(bytes(answer.body))
            return self.reflector.failed(
                now_us, Failure(said.message or said.reason or "refused", answer.status, answer.retry_after_s)
            )
        why = str(answer.failure) or type(answer.failure).__name__ if answer.failure else "the connection ended early"
        return self.reflector.failed(now_us, Failure(why))


def make_client(
    access: Access,
    namespace: str,
    service: str,
    watch_s: int,
    seed: int,
    tell: Callable[[list[Replace | Apply | Delete]], None],
    lost: Callable[[], None],
    clock_us: Callable[[], int],
) -> Client:
    """A client for one service's slices."""
    return Client(access, Reflector(namespace, service, Random(seed), watch_s), tell, lost, clock_us)
