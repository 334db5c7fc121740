"""A stand-in for a Kubernetes API server, as far as EndpointSlices go: list, watch, paging, bookmarks, compaction.

`Store` is pure: objects, resource versions and the log of events. `ApiServer` speaks HTTP/1.1 and has the faults that
a test or a world asks for. Written from the published API concepts and reference.
"""

from __future__ import annotations

import asyncio
import base64
import json
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ryepier.sidecar import system

GROUP = "/apis/discovery.k8s.io/v1"
LONGEST_HEAD = 16 * 1024
SERVICE_LABEL = "kubernetes.io/service-name"
Object = dict[str, Any]


class ApiError(Exception):
    """A call that the API answers with a Status."""

    def __init__(self, code: int, reason: str, message: str) -> None:
        self.status = {
            "kind": "Status",
            "apiVersion": "v1",
            "metadata": {},
            "status": "Failure",
            "message": message,
            "reason": reason,
            "code": code,
        }
        self.code = code
        super().__init__(message)


def expired(message: str) -> ApiError:
    return ApiError(410, "Expired", message)


def parse_selector(text: str) -> dict[str, str]:
    """Equality only. Raises ApiError."""
    wanted = {}
    for part in filter(None, text.split(",")):
        key, equals, value = part.replace("==", "=").partition("=")
        if not equals or key.endswith("!"):
            raise ApiError(400, "BadRequest", f"this stand-in knows no selector {part!r}")
        wanted[key.strip()] = value.strip()
    return wanted


@dataclass(frozen=True, slots=True)
class Event:
    version: int
    kind: str  # ADDED, MODIFIED, DELETED
    object: Object
    namespace: str


class Store:
    """The objects of one cluster. Versions are whole numbers here, though clients must not read them so."""

    def __init__(self, first_version: int = 1000) -> None:
        self.version = first_version
        self.compacted = first_version  # events up to this one are not kept
        self.objects: dict[tuple[str, str], Object] = {}
        self.events: list[Event] = []
        self.last_uid = 0

    def put(self, namespace: str, name: str, content: Object, labels: dict[str, str] | None = None) -> Object:
        """Create it, or change it: with a new version, and a new generation where its content differs."""
        old = self.objects.get((namespace, name))
        if old is None:
            self.last_uid += 1
            metadata = {
                "name": name,
                "namespace": namespace,
                "uid": f"{name}-{self.last_uid:08x}",
                "generation": 1,
                "labels": labels or {},
                "creationTimestamp": "2026-01-01T00:00:00Z",
            }
        else:
            changed = any(old.get(key) != content.get(key) for key in ("endpoints", "ports"))
            metadata = old["metadata"] | {"generation": old["metadata"]["generation"] + changed}
        self.version += 1
        new = {
            "kind": "EndpointSlice",
            "apiVersion": "discovery.k8s.io/v1",
            "metadata": metadata | {"resourceVersion": str(self.version)},
            **content,
        }
        self.objects[namespace, name] = new
        self.events.append(Event(self.version, "MODIFIED" if old else "ADDED", new, namespace))
        return new

    def delete(self, namespace: str, name: str) -> None:
        old = self.objects.pop((namespace, name))
        self.version += 1
        last = old | {"metadata": old["metadata"] | {"resourceVersion": str(self.version)}}
        self.events.append(Event(self.version, "DELETED", last, namespace))

    def compact(self) -> None:
        """Forget the events so far, as a real one does after some minutes."""
        self.compacted = self.version
        self.events.clear()

    def since(self, version: int) -> list[Event]:
        """The events after a version. Raises ApiError where they are not all kept."""
        if version < self.compacted:
            raise expired(f"too old resource version: {version} ({self.compacted})")
        # newest last and their versions without gaps: the first wanted is found by counting back
        return self.events[len(self.events) - (self.version - version) :] if version < self.version else []

    def select(self, namespace: str, wanted: dict[str, str]) -> list[Object]:
        return [
            one
            for (space, _), one in sorted(self.objects.items())
            if (not namespace or space == namespace) and matches(one, wanted)
        ]

    def page(self, namespace: str, wanted: dict[str, str], limit: int, more: str) -> Object:
        """One page; the token for the next holds the version at which the list began, and the last name."""
        version, after = self.version, ""
        if more:
            try:
                version, after = json.loads(base64.urlsafe_b64decode(more))
            except ValueError:
                raise ApiError(400, "BadRequest", "continue key is not valid") from None
            if version < self.compacted:
                raise expired("The provided continue parameter is too old")
        found = [one for one in self.select(namespace, wanted) if one["metadata"]["name"] > after]
        metadata: Object = {"resourceVersion": str(version)}
        if limit and len(found) > limit:
            token = json.dumps([version, found[limit - 1]["metadata"]["name"]])
            metadata |= {
                "continue": base64.urlsafe_b64encode(token.encode()).decode(),
                "remainingItemCount": len(found) - limit,
            }
            found = found[:limit]
        return {"kind": "EndpointSliceList", "apiVersion": "discovery.k8s.io/v1", "metadata": metadata, "items": found}


def matches(found: Object, wanted: dict[str, str]) -> bool:
    labels = found["metadata"]["labels"]
    return all(labels.get(key) == value for key, value in wanted.items())


@dataclass(slots=True)
class Faults:
    """What the server does wrong, for as long as it is set."""

    silent: bool = False  # connections stay open, and nothing is written
    busy_s: int | None = None  # 429, with so long a Retry-After
    torn: bool = False  # watches break off in the middle of a line, each after its first event
    pieces: int = 0  # bytes written at a time; 0 = all at once
    pause_s: float = 0.0  # between the pieces
    no_bookmarks: bool = False
    no_token: bool = False  # every token is refused


@dataclass(slots=True)
class Watch:
    writer: asyncio.StreamWriter
    namespace: str
    wanted: dict[str, str]
    version: int
    bookmarks: bool
    ends: float


Written = Callable[[asyncio.StreamWriter, list[Object], bool], None]  # whom, which objects, whether a whole list


class ApiServer:
    """One address of an API server. `changed` has to be called after a change of the store."""

    def __init__(self, store: Store, token: str = "", written: Written | None = None, bookmark_s: float = 1.0) -> None:
        self.store = store
        self.token = token
        self.written = written or (lambda writer, found, whole: None)
        self.bookmark_s = bookmark_s
        self.faults = Faults()
        self.calls: list[str] = []  # the targets, as they were asked for
        self.server: asyncio.Server | None = None
        self.writers: dict[asyncio.StreamWriter, None] = {}  # in the order of their coming, which a set has not
        self.news = asyncio.Event()

    async def listen(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> int:
        """The port that it has."""
        self.server = await asyncio.start_server(self.serve, host, port, limit=LONGEST_HEAD, ssl=tls)
        found: int = self.server.sockets[0].getsockname()[1]
        return found

    def changed(self) -> None:
        """Wake the watches."""
        self.news.set()
        self.news = asyncio.Event()

    def end_connections(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        self.end_connections()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                await self.answer(head, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ssl.SSLError):
            pass
        except asyncio.CancelledError:
            pass  # the end of the loop; asyncio would tell of it as of a failure
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def answer(self, head: list[str], writer: asyncio.StreamWriter) -> None:
        method, _, rest = head[0].partition(" ")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
        target = rest.split(" ")[0]
        self.calls.append(target)
        while self.faults.silent:
            await self.sleep_until_news(self.bookmark_s)
        try:
            if self.faults.no_token or (self.token and headers.get("authorization") != f"Bearer {self.token}"):
                raise ApiError(401, "Unauthorized", "Unauthorized")
            if self.faults.busy_s is not None:
                raise ApiError(429, "TooManyRequests", "the server has received too many requests")
            if method != "GET":
                raise ApiError(405, "MethodNotAllowed", "this stand-in only lists and watches")
            await self.get(target, writer)
        except ApiError as error:
            more = f"Retry-After: {self.faults.busy_s}\r\n" if error.code == 429 else ""
            await self.write_json(writer, error.code, error.status, more)

    async def get(self, target: str, writer: asyncio.StreamWriter) -> None:
        url = urlsplit(target)
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        namespace, name = route(url.path)
        if name:
            found = self.store.objects.get((namespace, name))
            if found is None:
                raise ApiError(404, "NotFound", f'endpointslices.discovery.k8s.io "{name}" not found')
            await self.write_json(writer, 200, found)
            return
        wanted = parse_selector(query.get("labelSelector", ""))
        if query.get("watch") in ("1", "true", "True"):
            await self.watch(namespace, wanted, query, writer)
            return
        limit = query.get("limit", "0")
        page = self.store.page(namespace, wanted, int(limit) if limit.isdecimal() else 0, query.get("continue", ""))
        await self.write_json(writer, 200, page)
        self.written(writer, page["items"], True)

    async def watch(
        self, namespace: str, wanted: dict[str, str], query: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """From a version on, or from what there is now, as ADDED; it ends when its time is out."""
        asked = query.get("resourceVersion", "")
        timeout_s = float(query.get("timeoutSeconds", "3600"))
        version = int(asked) if asked.isdecimal() else 0
        first: list[Object] = []
        if version:
            self.store.since(version)
        else:
            version = self.store.version
            first = self.store.select(namespace, wanted)
        bookmarks = query.get("allowWatchBookmarks") in ("1", "true", "True")
        watch = Watch(writer, namespace, wanted, version, bookmarks, system.monotonic() + timeout_s)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        for one in first:
            await self.write_event(watch, "ADDED", one)
        while system.monotonic() < watch.ends and not writer.is_closing():
            news = self.news  # before looking: what changes while it writes must not be slept through
            if not self.faults.silent:
                try:
                    await self.catch_up(watch)
                except ApiError as error:
                    await self.write_event(watch, "ERROR", error.status)
                    break
            left_s = min(self.bookmark_s, watch.ends - system.monotonic())
            try:
                async with asyncio.timeout(max(0.0, left_s)):
                    await news.wait()
            except TimeoutError:
                if watch.bookmarks and not self.faults.silent and not self.faults.no_bookmarks:
                    await self.write_event(
                        watch,
                        "BOOKMARK",
                        {
                            "kind": "EndpointSlice",
                            "apiVersion": "discovery.k8s.io/v1",
                            "metadata": {"resourceVersion": str(watch.version), "creationTimestamp": None},
                        },
                    )
        await self.write(writer, b"0\r\n\r\n")

    async def catch_up(self, watch: Watch) -> None:
        for event in self.store.since(watch.version):
            watch.version = event.version
            if (not watch.namespace or event.namespace == watch.namespace) and matches(event.object, watch.wanted):
                await self.write_event(watch, event.kind, event.object)

    async def write_event(self, watch: Watch, kind: str, found: Object) -> None:
        line = json.dumps({"type": kind, "object": found}).encode() + b"\n"
        if self.faults.torn and kind != "BOOKMARK":
            half = line[: len(line) // 2]
            await self.write(watch.writer, b"%x\r\n%s\r\n" % (len(half), half))
            watch.writer.transport.close()
            raise ConnectionResetError
        await self.write(watch.writer, b"%x\r\n%s\r\n" % (len(line), line))
        if kind in ("ADDED", "MODIFIED", "DELETED"):
            self.written(watch.writer, [found], False)

    async def write_json(self, writer: asyncio.StreamWriter, code: int, body: Object, more: str = "") -> None:
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 {code} X\r\nContent-Type: application/json\r\n{more}Content-Length: {len(data)}\r\n\r\n"
        await self.write(writer, head.encode() + data)

    async def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        pieces = self.faults.pieces or len(data)
        for begin in range(0, len(data), pieces):
            writer.write(data[begin : begin + pieces])
            await writer.drain()
            if self.faults.pieces:
                await asyncio.sleep(self.faults.pause_s)

    async def sleep_until_news(self, most_s: float) -> None:
        try:
            async with asyncio.timeout(most_s):
                await self.news.wait()
        except TimeoutError:
            pass


def route(path: str) -> tuple[str, str]:
    """Namespace (empty: all) and name (empty: the list) of a path. Raises ApiError."""
    parts = path.removeprefix(GROUP).strip("/").split("/")
    if path.startswith(GROUP + "/"):
        if parts == ["endpointslices"]:
            return "", ""
        if parts[0] == "namespaces" and len(parts) in (3, 4) and parts[2] == "endpointslices":
            return parts[1], parts[3] if len(parts) == 4 else ""
    raise ApiError(404, "NotFound", "the server could not find the requested resource")
