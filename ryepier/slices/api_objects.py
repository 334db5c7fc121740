"""EndpointSlices of discovery.k8s.io/v1 and the events of a watch, as published.

Pure: JSON in, structs out. Unknown fields are skipped, as the API requires; optional ones may be null.
"""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from ryepier.errors import RyepierError

SERVICE_LABEL = "kubernetes.io/service-name"


class EventKind(enum.Enum):
    """Kind of an event of a watch."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"
    ERROR = "ERROR"


class SliceError(RyepierError):
    """Input that is no EndpointSlice, no list of them, or no event of a watch."""


class Conditions(msgspec.Struct, frozen=True):
    """Conditions of an endpoint. Each may be unset; the properties apply the API's defaults."""

    ready: bool | None = None
    serving: bool | None = None
    terminating: bool | None = None

    @property
    def is_ready(self) -> bool:
        """Ready, or unset."""
        return self.ready is not False

    @property
    def is_serving(self) -> bool:
        """Serving; if unset, ready."""
        return self.is_ready if self.serving is None else self.serving

    @property
    def is_terminating(self) -> bool:
        """Terminating."""
        return self.terminating is True


class Reference(msgspec.Struct, frozen=True):
    """The object behind an endpoint: usually a pod."""

    uid: str | None = None
    name: str | None = None
    kind: str | None = None


class ForZone(msgspec.Struct, frozen=True):
    """A zone of a hint."""

    name: str


class Hints(msgspec.Struct, frozen=True, rename="camel"):
    """Routing hints of an endpoint."""

    for_zones: list[ForZone] | None = None


class Endpoint(msgspec.Struct, frozen=True, rename="camel"):
    """One endpoint of a slice."""

    addresses: list[str]  # interchangeable; clients use the first
    conditions: Conditions | None = None
    target_ref: Reference | None = None
    node_name: str | None = None
    zone: str | None = None
    hints: Hints | None = None

    @property
    def for_zones(self) -> tuple[str, ...]:
        """The zones to serve from this endpoint, by the hints."""
        zones = self.hints.for_zones if self.hints is not None else None
        return tuple(zone.name for zone in zones or ())


class Port(msgspec.Struct, frozen=True):
    """One port of a slice's endpoints."""

    port: int | None = None
    name: str | None = None
    protocol: str | None = None


class Metadata(msgspec.Struct, frozen=True, rename="camel"):
    """Metadata of a slice."""

    name: str
    uid: str = ""
    generation: int = 0  # grows with each change of the content
    resource_version: str = ""
    labels: dict[str, str] | None = None


class Slice(msgspec.Struct, frozen=True, rename="camel"):
    """One EndpointSlice."""

    metadata: Metadata
    address_type: str
    endpoints: list[Endpoint] | None = None
    ports: list[Port] | None = None


class ListMetadata(
    msgspec.Struct, frozen=True, rename={"resource_version": "resourceVersion", "continue_token": "continue"}
):
    """Metadata of a page."""

    resource_version: str = ""
    continue_token: str | None = None  # the token for the next page


class SliceList(msgspec.Struct, frozen=True):
    """One page of a list."""

    metadata: ListMetadata
    items: list[Slice] | None = None


class Status(msgspec.Struct, frozen=True):
    """The API's description of a failed call."""

    code: int = 0
    reason: str = ""
    message: str = ""


class WatchEvent(msgspec.Struct, frozen=True):
    """One event of a watch: with a slice, or a status for an error; a bookmark has neither."""

    kind: EventKind
    slice: Slice | None = None
    status: Status | None = None
    resource_version: str = ""


class _RawEvent(msgspec.Struct):
    type: str
    object: msgspec.Raw


class _Bookmark(msgspec.Struct):
    metadata: ListMetadata


def list_query(service: str, page_size: int | None, continue_token: str) -> dict[str, str]:
    """Return the query of a list of a service's slices; `more` is the token of a further page, None no page size."""
    query = {"labelSelector": f"{SERVICE_LABEL}={service}"}
    if page_size is not None:
        query["limit"] = str(page_size)
    if continue_token:
        query["continue"] = continue_token
    return query


def watch_query(service: str, version: str, timeout_s: int) -> dict[str, str]:
    """Return the query of a watch of a service's slices since a resource version."""
    return {
        "labelSelector": f"{SERVICE_LABEL}={service}",
        "watch": "true",
        "allowWatchBookmarks": "true",
        "resourceVersion": version,
        "timeoutSeconds": str(timeout_s),
    }


def read_list(data: bytes) -> SliceList:
    """Return a page. Raises SliceError."""
    page: SliceList = _read(data, SliceList)
    return page


def read_status(data: bytes) -> Status:
    """Return the status of a failed call; an empty one if it can't be read."""
    try:
        status: Status = _read(data, Status)
    except SliceError:
        return Status()
    return status


def read_event(line: bytes) -> WatchEvent:
    """Return the event of one line. Raises SliceError."""
    raw = _read(line, _RawEvent)
    try:
        kind = EventKind(raw.type)
    except ValueError:
        raise SliceError(f"unknown event {raw.type!r}") from None
    if kind is EventKind.ERROR:
        return WatchEvent(kind, status=_read(raw.object, Status))
    if kind is EventKind.BOOKMARK:
        return WatchEvent(kind, resource_version=_read(raw.object, _Bookmark).metadata.resource_version)
    endpoint_slice = _read(raw.object, Slice)
    return WatchEvent(kind, endpoint_slice, resource_version=endpoint_slice.metadata.resource_version)


def _read(data: Any, kind: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise SliceError(f"unreadable: {error}") from None
