"""Storage of an emulated Kubernetes API server: objects, resource versions, the event log, paging and selectors.

This module is pure. It follows the published API concepts and reference of Kubernetes.
"""

from __future__ import annotations

import base64
import enum
import http
import json
from dataclasses import dataclass
from typing import Any

from ryepier.errors import RyepierError

SERVICE_LABEL = "kubernetes.io/service-name"
KIND, LIST_KIND = "EndpointSlice", "EndpointSliceList"
API_VERSION = "discovery.k8s.io/v1"
FIRST_VERSION = 1000
ApiObject = dict[str, Any]  # an object of the Kubernetes API, in its JSON form


class ApiError(RyepierError):
    """A failure of an API call, which is answered with a Status object."""

    def __init__(self, code: http.HTTPStatus, reason: str, message: str) -> None:
        """Build the Status object. `reason` is the API's machine-readable reason, such as NotFound."""
        self.code = code
        self.status = {
            "kind": "Status",
            "apiVersion": "v1",
            "metadata": {},
            "status": "Failure",
            "message": message,
            "reason": reason,
            "code": int(code),
        }
        super().__init__(message)


class ExpiredError(ApiError):
    """The call refers to a resource version whose events have been compacted."""

    def __init__(self, message: str) -> None:
        """Build the Status object, with code 410 (Gone) and reason Expired."""
        super().__init__(http.HTTPStatus.GONE, "Expired", message)


class EventType(enum.StrEnum):
    """The type of a watch event."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"
    ERROR = "ERROR"


@dataclass(frozen=True, slots=True)
class Event:
    """A change of one object."""

    version: int
    type: EventType
    object: ApiObject
    namespace: str


def parse_selector(text: str) -> dict[str, str]:
    """Return the labels that a selector requires. Raises ApiError for any operator other than equality."""
    labels = {}
    for requirement in filter(None, text.split(",")):
        key, equals, value = requirement.replace("==", "=").partition("=")
        if not equals or key.endswith("!"):
            raise ApiError(
                http.HTTPStatus.BAD_REQUEST, "BadRequest", f"this stand-in knows no selector {requirement!r}"
            )
        labels[key.strip()] = value.strip()
    return labels


def matches(api_object: ApiObject, labels: dict[str, str]) -> bool:
    """Return whether an object has all the given labels, with the same values."""
    object_labels = api_object["metadata"]["labels"]
    return all(object_labels.get(key) == value for key, value in labels.items())


class Store:
    """The objects of one cluster. Resource versions are integers here, though clients must not interpret them."""

    def __init__(self, first_version: int = FIRST_VERSION) -> None:
        """Start without objects, at resource version `first_version`."""
        self.version = first_version
        self.compacted_version = first_version  # events up to this version are not available
        self.objects: dict[tuple[str, str], ApiObject] = {}  # by namespace and name
        self._events: list[Event] = []
        self._last_uid = 0

    def put(self, namespace: str, name: str, content: ApiObject, labels: dict[str, str] | None = None) -> ApiObject:
        """Create or replace an object, with a new resource version. Its generation increases if its content changed."""
        old_object = self.objects.get((namespace, name))
        if old_object is None:
            metadata = self._new_metadata(namespace, name, labels or {})
        else:
            has_changed = any(old_object.get(key) != content.get(key) for key in ("endpoints", "ports"))
            metadata = old_object["metadata"] | {"generation": old_object["metadata"]["generation"] + has_changed}
        self.version += 1
        new_object = {
            "kind": KIND,
            "apiVersion": API_VERSION,
            "metadata": metadata | {"resourceVersion": str(self.version)},
            **content,
        }
        self.objects[namespace, name] = new_object
        event_type = EventType.MODIFIED if old_object else EventType.ADDED
        self._events.append(Event(self.version, event_type, new_object, namespace))
        return new_object

    def _new_metadata(self, namespace: str, name: str, labels: dict[str, str]) -> ApiObject:
        self._last_uid += 1
        return {
            "name": name,
            "namespace": namespace,
            "uid": f"{name}-{self._last_uid:08x}",
            "generation": 1,
            "labels": labels,
            "creationTimestamp": "2026-01-01T00:00:00Z",
        }

    def delete(self, namespace: str, name: str) -> None:
        """Delete an object, and record its deletion with a new resource version."""
        old_object = self.objects.pop((namespace, name))
        self.version += 1
        deleted_object = old_object | {"metadata": old_object["metadata"] | {"resourceVersion": str(self.version)}}
        self._events.append(Event(self.version, EventType.DELETED, deleted_object, namespace))

    def compact(self) -> None:
        """Discard all recorded events, as a real server does after some minutes."""
        self.compacted_version = self.version
        self._events.clear()

    def events_since(self, version: int) -> list[Event]:
        """Return the events after a version. Raises ExpiredError if some have been discarded."""
        if version < self.compacted_version:
            raise ExpiredError(f"too old resource version: {version} ({self.compacted_version})")
        if version >= self.version:
            return []
        # versions have no gaps, so the distance to the newest version gives the position
        return self._events[len(self._events) - (self.version - version) :]

    def select(self, namespace: str, labels: dict[str, str]) -> list[ApiObject]:
        """Return the objects that match, sorted by namespace and name. An empty namespace matches all namespaces."""
        return [
            api_object
            for (object_namespace, _), api_object in sorted(self.objects.items())
            if (not namespace or object_namespace == namespace) and matches(api_object, labels)
        ]

    def list_page(self, namespace: str, labels: dict[str, str], limit: int, token: str) -> ApiObject:
        """Return one page of a list.

        The page's continue token holds the resource version at which the list began, and the last name on the page.
        Raises ApiError if `token` is invalid, and ExpiredError if its version has been compacted.
        """
        version, last_name = self._decode_token(token) if token else (self.version, "")
        items = [
            api_object for api_object in self.select(namespace, labels) if api_object["metadata"]["name"] > last_name
        ]
        metadata: ApiObject = {"resourceVersion": str(version)}
        if limit and len(items) > limit:
            next_token = json.dumps([version, items[limit - 1]["metadata"]["name"]])
            metadata |= {
                "continue": base64.urlsafe_b64encode(next_token.encode()).decode(),
                "remainingItemCount": len(items) - limit,
            }
            items = items[:limit]
        return {"kind": LIST_KIND, "apiVersion": API_VERSION, "metadata": metadata, "items": items}

    def _decode_token(self, token: str) -> list[Any]:
        try:
            decoded: list[Any] = json.loads(base64.urlsafe_b64decode(token))
            version, _ = decoded
        except ValueError:
            raise ApiError(http.HTTPStatus.BAD_REQUEST, "BadRequest", "continue key is not valid") from None
        if version < self.compacted_version:
            raise ExpiredError("The provided continue parameter is too old")
        return decoded
