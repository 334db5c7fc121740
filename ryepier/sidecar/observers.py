"""Interfaces for observers of requests and attempts. Observers make no decisions and must return quickly."""

from __future__ import annotations

from typing import Protocol

from ryepier.balancer import interface as api
from ryepier.sidecar.requests import ClientRequest


class RetryDetector(Protocol):
    """Recognises requests that clients retry."""

    def retry_number(self, request: ClientRequest) -> int:
        """Return how many earlier attempts at this request were rejected, as far as they can be recognised."""

    def on_unserved(self, request: ClientRequest) -> None:
        """Record that the request ended without a successful response."""


class Observer(Protocol):
    """Receives notifications about requests and their attempts."""

    def on_request(self, tenant: int, class_index: int) -> None:
        """Record that a request has been accepted."""

    def on_rejection(self) -> None:
        """Record that a request has been rejected."""

    def on_attempt_started(self, upstream: int, token: int, class_index: int) -> None:
        """Record that an attempt starts; `token` identifies it until it ends."""

    def on_attempt_ended(self, upstream: int, token: int, outcome: api.Outcome, elapsed_us: int) -> None:
        """Record that an attempt has ended."""


class ObserverGroup:
    """Notifies several observers, one after another."""

    def __init__(self, *observers: Observer) -> None:
        """Notify `observers` in this order."""
        self.observers = observers

    def on_request(self, tenant: int, class_index: int) -> None:
        """Notify all observers of an accepted request."""
        for observer in self.observers:
            observer.on_request(tenant, class_index)

    def on_rejection(self) -> None:
        """Notify all observers of a rejected request."""
        for observer in self.observers:
            observer.on_rejection()

    def on_attempt_started(self, upstream: int, token: int, class_index: int) -> None:
        """Notify all observers of a started attempt."""
        for observer in self.observers:
            observer.on_attempt_started(upstream, token, class_index)

    def on_attempt_ended(self, upstream: int, token: int, outcome: api.Outcome, elapsed_us: int) -> None:
        """Notify all observers of an ended attempt."""
        for observer in self.observers:
            observer.on_attempt_ended(upstream, token, outcome, elapsed_us)
