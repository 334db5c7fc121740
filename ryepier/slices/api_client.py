"""Client of a Kubernetes API server, using HTTP/1.1 over TCP or TLS with one call per connection."""

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

from ryepier.errors import RyepierError
from ryepier.slices import api_objects, reflector
from ryepier.slices.reflector import Apply, Call, CallKind, Delete, Failure, Problem, Reflector, Replace, Wait

log = logging.getLogger(__name__)

# URL schemes
HTTP = "http"
HTTPS = "https"
CONNECT_TIMEOUT_S = 3.0  # includes the TLS handshake
LIST_TIMEOUT_S = 20.0  # per page of a list
WATCH_GRACE_S = 5.0  # a watch counts as hung after silence for its requested duration plus this time
MAX_LINE_BYTES = 4 * 1024 * 1024  # a line holds one slice, which has at most 1,000 endpoints
MAX_PAGE_BYTES = 32 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024  # checked after each read
MAX_ERROR_BYTES = 64 * 1024  # limit on the body of an error response
# TCP keep-alive: an unreachable host is detected after 11 s (idle time plus three probes)
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBE_COUNT = 3
SERVICE_ACCOUNT_FOLDER = Path("/var/run/secrets/kubernetes.io/serviceaccount")  # mounted in pods by Kubernetes


class AccessError(RyepierError, ValueError):
    """The settings for access to the API server are missing or invalid."""


@dataclass(frozen=True, slots=True)
class Access:
    """Address of the API server, and the files with the credentials."""

    host: str
    port: int
    tls: bool
    prefix: str = ""  # prepended to each path; needed behind a proxy
    token_file: Path | None = None  # read for each call, as the cluster rotates the token every hour
    ca_file: Path | None = None
    client_cert_file: Path | None = None
    client_key_file: Path | None = None


def find_access(
    server: str, token_file: str = "", ca_file: str = "", client_cert_file: str = "", client_key_file: str = ""
) -> Access:
    """Return the address and credentials for the API server.

    If `server` is empty, the address comes from the pod's environment, and the token and CA files default to those of
    its service account. Raises AccessError if a setting is missing or invalid.
    """
    if not server:
        host, port = os.environ.get("KUBERNETES_SERVICE_HOST", ""), os.environ.get("KUBERNETES_SERVICE_PORT", "")
        if not host or not port.isdecimal():
            raise AccessError("no server is set, and KUBERNETES_SERVICE_HOST or KUBERNETES_SERVICE_PORT is missing")
        return Access(
            host,
            int(port),
            True,
            "",
            Path(token_file or SERVICE_ACCOUNT_FOLDER / "token"),
            Path(ca_file or SERVICE_ACCOUNT_FOLDER / "ca.crt"),
            Path(client_cert_file) if client_cert_file else None,
            Path(client_key_file) if client_key_file else None,
        )
    try:
        url = urlsplit(server)
        port_number = url.port
    except ValueError as error:
        raise AccessError(f"server {server!r}: {error}") from None
    if url.scheme not in (HTTP, HTTPS) or not url.hostname or url.query or url.fragment or url.username:
        raise AccessError(f"server {server!r}: expected http://host:port or https://host:port")
    if bool(client_cert_file) != bool(client_key_file):
        raise AccessError("a client certificate and its key must be set together")
    tls = url.scheme == HTTPS
    return Access(
        url.hostname,
        port_number or (443 if tls else 80),
        tls,
        url.path.rstrip("/"),
        *(Path(path) if path else None for path in (token_file, ca_file, client_cert_file, client_key_file)),
    )


def tls_context(access: Access) -> ssl.SSLContext | None:
    """Return a TLS context, or None without TLS. It is created for each call, as certificates are rotated. Raises
    OSError if a file can't be read."""
    if not access.tls:
        return None
    context = ssl.create_default_context(cafile=str(access.ca_file) if access.ca_file else None)
    if access.client_cert_file is not None:
        context.load_cert_chain(str(access.client_cert_file), str(access.client_key_file))
    return context


def request_head(access: Access, target: str) -> bytes:
    """Return the head of a GET request. Raises OSError or ValueError if the token can't be read or is invalid."""
    host = f"[{access.host}]" if ":" in access.host else access.host
    lines = [
        f"GET {access.prefix}{target} HTTP/1.1",
        f"Host: {host}:{access.port}",
        "Accept: application/json",
        "User-Agent: ryepier",
    ]
    if access.token_file is not None:
        token = access.token_file.read_text(encoding="ascii").strip()
        if not token or not token.isprintable():
            raise ValueError(f"{access.token_file} holds no valid token")
        lines.append(f"Authorization: Bearer {token}")
    return "\r\n".join([*lines, "", ""]).encode("ascii")


class ResponseReader(asyncio.Protocol):
    """Reads the response to one call. Passes on the lines of a watch as they arrive, and buffers any other body."""

    def __init__(self, kind: CallKind, on_line: Callable[[bytes], None], on_data: Callable[[], None]) -> None:
        """Start unconnected. `on_line` is called for each line of a watch, `on_data` whenever bytes arrive."""
        self.kind = kind
        self.on_line = on_line
        self.on_data = on_data
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.body = bytearray()
        self.status = 0
        self.retry_after_s: int | None = None
        self.received_bytes = 0
        self.is_complete = False
        self.failure: Exception | None = None
        self.done_future: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable TCP keep-alive."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock: socket.socket | None = transport.get_extra_info("socket")
        if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response; a parse error ends the call."""
        if self.done_future.done():
            return
        self.on_data()
        try:
            self.parser.feed_data(data)
        # HttpParserError also wraps the errors that the callbacks below raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_complete:
                self.failure = error
            self.finish()
        self.received_bytes += len(data)
        if not self.status and self.received_bytes > MAX_HEAD_BYTES:
            self.failure = self.failure or ValueError("response head exceeds the size limit")
            self.finish()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the value of Retry-After if it is a number of seconds; a date is ignored."""
        if self.is_complete:
            return
        if name.lower() == b"retry-after" and value.strip().isdigit():
            self.retry_after_s = int(value)

    def on_headers_complete(self) -> None:
        """Store the status code. Bytes after the response may form another message, which is ignored."""
        if not self.is_complete:
            self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Append part of the body, and pass on the complete lines of a watch."""
        if self.is_complete:
            return
        self.body += data
        if self.status != 200:
            if len(self.body) > MAX_ERROR_BYTES:
                raise ValueError("error response exceeds the size limit")
        elif self.kind is CallKind.LIST:
            if len(self.body) > MAX_PAGE_BYTES:
                raise ValueError("list page exceeds the size limit")
        else:
            self.read_lines(len(data))

    def read_lines(self, new_byte_count: int) -> None:
        """Pass on the complete lines; only the last `new_byte_count` bytes can contain a line end."""
        if self.body.find(b"\n", len(self.body) - new_byte_count) >= 0:
            *lines, remainder = bytes(self.body).split(b"\n")
            self.body = bytearray(remainder)
            for line in lines:
                if line.strip():
                    self.on_line(line)
        if len(self.body) > MAX_LINE_BYTES:
            raise ValueError("line of the watch exceeds the size limit")

    def on_message_complete(self) -> None:
        """Record that the response is complete, and close the connection."""
        self.is_complete = True
        self.finish()

    def connection_lost(self, error: Exception | None) -> None:
        """Record the error, if any, and end the call."""
        self.failure = self.failure or error
        self.finish()

    def finish(self) -> None:
        """End the call and close the connection."""
        if not self.done_future.done():
            self.done_future.set_result(None)
        if self.transport is not None:
            self.transport.abort()


class ApiClient:
    """Executes the actions of a reflector until it is cancelled."""

    def __init__(
        self,
        access: Access,
        reflector: Reflector,
        on_changes: Callable[[list[Replace | Apply | Delete]], None],
        on_failure: Callable[[], None],
        clock_us: Callable[[], int],
    ) -> None:
        """Start without calls; `run` makes them. `on_changes` gets all changes that arrive together, and `on_failure`
        is called when a call has failed."""
        self.access = access
        self.reflector = reflector
        self.on_changes = on_changes
        self.on_failure = on_failure
        self.clock_us = clock_us
        self.pending_steps: list[Call | Wait] = []
        self.changes: list[Replace | Apply | Delete] = []
        self.is_flush_scheduled = False
        self.last_received_at_us = 0
        self.problem_count = 0

    async def run(self) -> None:
        """Execute calls and waits until the task is cancelled."""
        self.execute(self.reflector.start(self.clock_us()))
        while True:
            step = self.pending_steps.pop()
            if isinstance(step, Wait):
                self.on_failure()
                await asyncio.sleep(max(0.0, (step.until_us - self.clock_us()) / 1e6))
                self.execute(self.reflector.on_wake(self.clock_us()))
            else:
                await self.call(step)

    def execute(self, actions: list[reflector.Action]) -> None:
        """Queue calls and waits, log problems and collect changes."""
        for action in actions:
            if isinstance(action, Call | Wait):
                self.pending_steps.append(action)
            elif isinstance(action, Problem):
                self.problem_count += 1
                log.warning("EndpointSlices: %s", action.reason)
            else:
                self.changes.append(action)
        if self.changes and not self.is_flush_scheduled:
            # changes that arrive in the same iteration of the event loop are passed on together
            self.is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Pass on the collected changes."""
        self.is_flush_scheduled = False
        changes, self.changes = self.changes, []
        self.on_changes(changes)

    async def call(self, call: Call) -> None:
        """Make one call, and execute the actions that result from its end."""
        response = ResponseReader(call.kind, self.read_line, self.on_data)
        self.on_data()
        try:
            # token and certificate files are small and local; reading them in a thread would cost more than it saves
            head, context = request_head(self.access, call.target), tls_context(self.access)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: response, self.access.host, self.access.port, ssl=context
                )
            assert response.transport is not None
            response.transport.write(head)
            await self.wait_until_done(call, response)
        except TimeoutError:
            response.failure = TimeoutError("timed out")
        except (OSError, ValueError) as error:
            response.failure = error
        finally:
            response.finish()
        if not self.pending_steps:
            self.execute(self.next_actions(call, response))

    async def wait_until_done(self, call: Call, response: ResponseReader) -> None:
        """Wait for the end of a response. Raises TimeoutError if a page or the silence of a watch lasts too long."""
        if call.kind is CallKind.LIST:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                await response.done_future
            return
        silence_limit_us = int((self.reflector.watch_s + WATCH_GRACE_S) * 1e6)
        while not response.done_future.done():
            remaining_us = self.last_received_at_us + silence_limit_us - self.clock_us()
            if remaining_us <= 0:
                raise TimeoutError
            await asyncio.wait([response.done_future], timeout=remaining_us / 1e6)

    def on_data(self) -> None:
        """Record the time at which bytes arrived."""
        self.last_received_at_us = self.clock_us()

    def read_line(self, line: bytes) -> None:
        """Decode a line of a watch and pass the event to the reflector."""
        if not self.pending_steps:  # lines after an error event are ignored, as it ends the watch
            self.execute(self.reflector.on_event(self.clock_us(), api_objects.read_event(line)))

    def next_actions(self, call: Call, response: ResponseReader) -> list[reflector.Action]:
        """Return the reflector's actions after the end of a call."""
        now_us = self.clock_us()
        if response.failure is None and response.is_complete and response.status == 200:
            if call.kind is CallKind.WATCH:
                # no event is lost if the response ended within a line: the next watch starts after the last full line
                return self.reflector.on_watch_end(now_us)
            try:
                return self.reflector.on_page(now_us, api_objects.read_list(bytes(response.body)))
            except api_objects.SliceError as error:
                return self.reflector.on_failure(now_us, Failure(str(error)))
        if response.failure is None and response.status not in (0, 200):
            status = api_objects.read_status(bytes(response.body))
            return self.reflector.on_failure(
                now_us,
                Failure(status.message or status.reason or "no reason given", response.status, response.retry_after_s),
            )
        reason = (
            str(response.failure) or type(response.failure).__name__
            if response.failure
            else "connection closed before the end of the response"
        )
        return self.reflector.on_failure(now_us, Failure(reason))


def make_client(
    access: Access,
    namespace: str,
    service: str,
    watch_s: int,
    seed: int,
    on_changes: Callable[[list[Replace | Apply | Delete]], None],
    on_failure: Callable[[], None],
    clock_us: Callable[[], int],
) -> ApiClient:
    """Return a client that follows the slices of one service; `seed` determines the jitter of its retries."""
    return ApiClient(access, Reflector(namespace, service, Random(seed), watch_s), on_changes, on_failure, clock_us)
