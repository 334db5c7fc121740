"""An emulated Kubernetes API server for EndpointSlices over HTTP/1.1: get, list, watch, bookmarks and faults."""

from __future__ import annotations

import asyncio
import http
import json
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from ryepier.emulator.api_store import (
    API_VERSION,
    KIND,
    ApiError,
    ApiObject,
    EventType,
    ExpiredError,
    Store,
    matches,
    parse_selector,
)
from ryepier.sidecar import system

GROUP_PATH = "/apis/discovery.k8s.io/v1"
NAMESPACES, RESOURCE = "namespaces", "endpointslices"
MAX_HEAD_BYTES = 16 * 1024
DEFAULT_WATCH_S = "3600"
TRUE_VALUES = ("1", "true", "True")
GET = "GET"
REASON_PHRASE = "X"  # arbitrary text, because clients must ignore the reason phrase


@dataclass(slots=True)
class ApiServerFaults:
    """Faults of the server. Each fault is active while its field is set."""

    silent: bool = False  # nothing is written, while the connections stay open
    retry_after_s: int | None = None  # requests are answered with 429 and this Retry-After
    truncates_watches: bool = False  # watches end in the middle of their first event
    max_write_bytes: int = 0  # 0 = no limit
    write_pause_s: float = 0.0  # pause after each write, if `max_write_bytes` is set
    omits_bookmarks: bool = False  # watches receive no bookmarks
    rejects_tokens: bool = False  # all requests are rejected with 401, whatever their bearer token


@dataclass(frozen=True, slots=True)
class Resource:
    """The target of a path: an object, or a list if `name` is empty. An empty namespace stands for all namespaces."""

    namespace: str
    name: str


def parse_path(path: str) -> Resource:
    """Return the resource that a path refers to. Raises ApiError if the path is not served."""
    parts = path.removeprefix(GROUP_PATH).strip("/").split("/")
    if path.startswith(GROUP_PATH + "/"):
        if parts == [RESOURCE]:
            return Resource("", "")
        if parts[0] == NAMESPACES and len(parts) in (3, 4) and parts[2] == RESOURCE:
            return Resource(parts[1], parts[3] if len(parts) == 4 else "")
    raise ApiError(http.HTTPStatus.NOT_FOUND, "NotFound", "the server could not find the requested resource")


@dataclass(slots=True)
class Watch:
    """An open watch. All events up to `version` have been written to its connection."""

    writer: asyncio.StreamWriter
    namespace: str
    labels: dict[str, str]
    version: int
    wants_bookmarks: bool
    ends_at_s: float  # when the watch times out, on the monotonic clock


OnWritten = Callable[[asyncio.StreamWriter, list[ApiObject], bool], None]
"""Called after objects have been written: with the connection, the objects, and whether they are a full list."""


class ApiServer:
    """An API server on one address. After each change of the store, the caller must call `on_change`."""

    def __init__(
        self, store: Store, token: str = "", on_written: OnWritten | None = None, bookmark_interval_s: float = 1.0
    ) -> None:
        """Prepare to serve `store`; `listen` opens the socket.

        Clients must send `token` unless it is empty. A watch receives a bookmark after `bookmark_interval_s` without a
        change.
        """
        self.store = store
        self.token = token
        self.bookmark_interval_s = bookmark_interval_s
        self.faults = ApiServerFaults()
        self.request_targets: list[str] = []  # targets of the requests received
        self._on_written = on_written or (lambda writer, objects, is_full_list: None)
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, None] = {}  # in the order in which the connections were opened
        self._change_event = asyncio.Event()  # set at each change, and then replaced by a new event

    async def listen(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> int:
        """Accept connections, and return the port, which the system selects if `port` is 0."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_HEAD_BYTES, ssl=tls)
        bound_port: int = self._server.sockets[0].getsockname()[1]
        return bound_port

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    def on_change(self) -> None:
        """Wake the open watches, which then write the new events."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    def end_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Refuse connections, and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.end_connections()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers[writer] = None
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                await self._respond(head, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ssl.SSLError):
            pass
        except asyncio.CancelledError:
            pass  # the event loop is closing; asyncio would log the cancellation as an error
        finally:
            self._writers.pop(writer, None)
            writer.close()

    async def _respond(self, head: list[str], writer: asyncio.StreamWriter) -> None:
        method, _, target_and_version = head[0].partition(" ")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
        target = target_and_version.split(" ")[0]
        self.request_targets.append(target)
        while self.faults.silent:
            await self._wait_for_change(self.bookmark_interval_s)
        try:
            self._check_request(method, headers)
            await self._get(target, writer)
        except ApiError as error:
            is_busy = error.code is http.HTTPStatus.TOO_MANY_REQUESTS
            retry_after = f"Retry-After: {self.faults.retry_after_s}\r\n" if is_busy else ""
            await self._write_json(writer, error.code, error.status, retry_after)

    def _check_request(self, method: str, headers: dict[str, str]) -> None:
        """Raise ApiError for a request that is rejected regardless of its target."""
        if self.faults.rejects_tokens or (self.token and headers.get("authorization") != f"Bearer {self.token}"):
            raise ApiError(http.HTTPStatus.UNAUTHORIZED, "Unauthorized", "Unauthorized")
        if self.faults.retry_after_s is not None:
            message = "the server has received too many requests"
            raise ApiError(http.HTTPStatus.TOO_MANY_REQUESTS, "TooManyRequests", message)
        if method != GET:
            message = "this stand-in only lists and watches"
            raise ApiError(http.HTTPStatus.METHOD_NOT_ALLOWED, "MethodNotAllowed", message)

    async def _get(self, target: str, writer: asyncio.StreamWriter) -> None:
        url = urlsplit(target)
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        resource = parse_path(url.path)
        if resource.name:
            await self._get_object(resource, writer)
            return
        labels = parse_selector(query.get("labelSelector", ""))
        if query.get("watch") in TRUE_VALUES:
            await self._serve_watch(resource.namespace, labels, query, writer)
            return
        limit = query.get("limit", "0")
        token = query.get("continue", "")
        page = self.store.list_page(resource.namespace, labels, int(limit) if limit.isdecimal() else 0, token)
        await self._write_json(writer, http.HTTPStatus.OK, page)
        self._on_written(writer, page["items"], True)

    async def _get_object(self, resource: Resource, writer: asyncio.StreamWriter) -> None:
        api_object = self.store.objects.get((resource.namespace, resource.name))
        if api_object is None:
            message = f'endpointslices.discovery.k8s.io "{resource.name}" not found'
            raise ApiError(http.HTTPStatus.NOT_FOUND, "NotFound", message)
        await self._write_json(writer, http.HTTPStatus.OK, api_object)

    # Watches

    async def _serve_watch(
        self, namespace: str, labels: dict[str, str], query: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Serve a watch until its timeout.

        The watch begins after the requested resource version. Without a version, it begins with the existing objects
        as ADDED events. Raises ApiError if the events after the version have been compacted.
        """
        requested_version = query.get("resourceVersion", "")
        version = int(requested_version) if requested_version.isdecimal() else 0
        existing_objects: list[ApiObject] = []
        if version:
            self.store.events_since(version)
        else:
            version = self.store.version
            existing_objects = self.store.select(namespace, labels)
        ends_at_s = system.monotonic() + float(query.get("timeoutSeconds", DEFAULT_WATCH_S))
        wants_bookmarks = query.get("allowWatchBookmarks") in TRUE_VALUES
        watch = Watch(writer, namespace, labels, version, wants_bookmarks, ends_at_s)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        for api_object in existing_objects:
            await self._write_event(watch, EventType.ADDED, api_object)
        await self._stream_events(watch)
        await self._write(writer, b"0\r\n\r\n")

    async def _stream_events(self, watch: Watch) -> None:
        """Write events as they happen, and a bookmark after `bookmark_interval_s` without a change."""
        while system.monotonic() < watch.ends_at_s and not watch.writer.is_closing():
            change_event = self._change_event  # read before writing, so that no change is missed
            if not self.faults.silent:
                try:
                    await self._write_new_events(watch)
                except ExpiredError as error:
                    await self._write_event(watch, EventType.ERROR, error.status)
                    return
            timeout_s = max(0.0, min(self.bookmark_interval_s, watch.ends_at_s - system.monotonic()))
            try:
                async with asyncio.timeout(timeout_s):
                    await change_event.wait()
            except TimeoutError:
                await self._write_bookmark(watch)

    async def _write_new_events(self, watch: Watch) -> None:
        for event in self.store.events_since(watch.version):
            watch.version = event.version
            is_in_namespace = not watch.namespace or event.namespace == watch.namespace
            if is_in_namespace and matches(event.object, watch.labels):
                await self._write_event(watch, event.type, event.object)

    async def _write_bookmark(self, watch: Watch) -> None:
        if not watch.wants_bookmarks or self.faults.silent or self.faults.omits_bookmarks:
            return
        metadata = {"resourceVersion": str(watch.version), "creationTimestamp": None}
        bookmark = {"kind": KIND, "apiVersion": API_VERSION, "metadata": metadata}
        await self._write_event(watch, EventType.BOOKMARK, bookmark)

    async def _write_event(self, watch: Watch, event_type: EventType, api_object: ApiObject) -> None:
        line = json.dumps({"type": event_type, "object": api_object}).encode() + b"\n"
        if self.faults.truncates_watches and event_type is not EventType.BOOKMARK:
            first_half = line[: len(line) // 2]
            await self._write(watch.writer, b"%x\r\n%s\r\n" % (len(first_half), first_half))
            watch.writer.transport.close()
            raise ConnectionResetError
        await self._write(watch.writer, b"%x\r\n%s\r\n" % (len(line), line))
        if event_type in (EventType.ADDED, EventType.MODIFIED, EventType.DELETED):
            self._on_written(watch.writer, [api_object], False)

    # Output

    async def _write_json(
        self, writer: asyncio.StreamWriter, code: http.HTTPStatus, body: ApiObject, extra_headers: str = ""
    ) -> None:
        data = json.dumps(body).encode()
        head = (
            f"HTTP/1.1 {code.value} {REASON_PHRASE}\r\nContent-Type: application/json\r\n"
            f"{extra_headers}Content-Length: {len(data)}\r\n\r\n"
        )
        await self._write(writer, head.encode() + data)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write data; a fault may split it into small writes with pauses."""
        write_size = self.faults.max_write_bytes or len(data)
        for begin in range(0, len(data), write_size):
            writer.write(data[begin : begin + write_size])
            await writer.drain()
            if self.faults.max_write_bytes:
                await asyncio.sleep(self.faults.write_pause_s)

    async def _wait_for_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._change_event.wait()
        except TimeoutError:
            pass
