"""Types of discovery.k8s.io/v1: EndpointSlices, lists of them, and the events of a watch.

The functions decode JSON; there is no I/O. Unknown fields are ignored, as the API requires, and optional fields may be
null.
"""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from ryepier.errors import RyepierError

SERVICE_LABEL = "kubernetes.io/service-name"


class EventKind(enum.Enum):
    """Type of a watch event."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"
    ERROR = "ERROR"


class SliceError(RyepierError):
    """Input can't be decoded as an EndpointSlice, a list of them or a watch event."""


class Conditions(msgspec.Struct, frozen=True):
    """Conditions of an endpoint. Each may be unset; the properties apply the defaults of the API."""

    ready: bool | None = None
    serving: bool | None = None
    terminating: bool | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint is ready; true if unset."""
        return self.ready is not False

    @property
    def is_serving(self) -> bool:
        """Whether the endpoint is serving; the value of `is_ready` if unset."""
        return self.is_ready if self.serving is None else self.serving

    @property
    def is_terminating(self) -> bool:
        """Whether the endpoint is terminating; false if unset."""
        return self.terminating is True


class Reference(msgspec.Struct, frozen=True):
    """Reference to the object behind an endpoint, usually a pod."""

    uid: str | None = None
    name: str | None = None
    kind: str | None = None


class ForZone(msgspec.Struct, frozen=True):
    """A zone in the hints of an endpoint."""

    name: str


class Hints(msgspec.Struct, frozen=True, rename="camel"):
    """Routing hints of an endpoint."""

    for_zones: list[ForZone] | None = None


class Endpoint(msgspec.Struct, frozen=True, rename="camel"):
    """One endpoint of a slice."""

    addresses: list[str]  # equivalent addresses; clients use the first one
    conditions: Conditions | None = None
    target_ref: Reference | None = None
    node_name: str | None = None
    zone: str | None = None
    hints: Hints | None = None

    @property
    def for_zones(self) -> tuple[str, ...]:
        """Zones that this endpoint should serve according to its hints."""
        zones = self.hints.for_zones if self.hints is not None else None
        return tuple(zone.name for zone in zones or ())


class Port(msgspec.Struct, frozen=True):
    """One port, common to all endpoints of a slice."""

    port: int | None = None
    name: str | None = None
    protocol: str | None = None


class Metadata(msgspec.Struct, frozen=True, rename="camel"):
    """Metadata of a slice."""

    name: str
    uid: str = ""
    generation: int = 0  # increases with each change of the content
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
    """Metadata of one page of a list."""

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
    """One event of a watch. Has a slice, or a status if it is an error; a bookmark has neither."""

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
    """Return the query parameters to list a service's slices. A `page_size` of None disables paging; `continue_token`
    is empty for the first page."""
    query = {"labelSelector": f"{SERVICE_LABEL}={service}"}
    if page_size is not None:
        query["limit"] = str(page_size)
    if continue_token:
        query["continue"] = continue_token
    return query


def watch_query(service: str, version: str, timeout_s: int) -> dict[str, str]:
    """Return the query parameters to watch a service's slices from a resource version on."""
    return {
        "labelSelector": f"{SERVICE_LABEL}={service}",
        "watch": "true",
        "allowWatchBookmarks": "true",
        "resourceVersion": version,
        "timeoutSeconds": str(timeout_s),
    }


def read_list(data: bytes) -> SliceList:
    """Decode one page of a list. Raises SliceError."""
    page: SliceList = _read(data, SliceList)
    return page


def read_status(data: bytes) -> Status:
    """Decode the status of a failed call; returns an empty one if it can't be decoded."""
    try:
        status: Status = _read(data, Status)
    except SliceError:
        return Status()
    return status


def read_event(line: bytes) -> WatchEvent:
    """Decode the event in one line of a watch. Raises SliceError."""
    raw_event = _read(line, _RawEvent)
    try:
        kind = EventKind(raw_event.type)
    except ValueError:
        raise SliceError(f"unknown event type {raw_event.type!r}") from None
    if kind is EventKind.ERROR:
        return WatchEvent(kind, status=_read(raw_event.object, Status))
    if kind is EventKind.BOOKMARK:
        return WatchEvent(kind, resource_version=_read(raw_event.object, _Bookmark).metadata.resource_version)
    endpoint_slice = _read(raw_event.object, Slice)
    return WatchEvent(kind, endpoint_slice, resource_version=endpoint_slice.metadata.resource_version)


def _read(data: Any, target_type: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=target_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise SliceError(f"can't be decoded: {error}") from None
