"""Observers of requests and attempts; they decide nothing and must be quick."""

from __future__ import annotations

from typing import Protocol

from ryepier.balancer import interface as api
from ryepier.sidecar.requests import ClientRequest


class RetryDetector(Protocol):
    """Recognises requests that clients send again."""

    def retry_number(self, request: ClientRequest) -> int:
        """Return how many earlier attempts of the client were rejected, as far as can be recognised."""

    def on_unserved(self, request: ClientRequest) -> None:
        """Record that the request ended without a successful response."""


class Observer(Protocol):
    """Is notified of requests and of their attempts."""

    def on_request(self, tenant: int, class_index: int) -> None:
        """Record that a request has been accepted."""

    def on_rejection(self) -> None:
        """Record that a request has been rejected."""

    def on_attempt_started(self, upstream: int, token: int, class_index: int) -> None:
        """Record that an attempt is sent; `token` identifies it until its end."""

    def on_attempt_ended(self, upstream: int, token: int, outcome: api.Outcome, elapsed_us: int) -> None:
        """Record that an attempt has ended."""


class ObserverGroup:
    """Notifies several observers, one after another."""

    def __init__(self, *observers: Observer) -> None:
        """Notify `observers` in this order."""
        self.observers = observers

    def on_request(self, tenant: int, class_index: int) -> None:
        """Notify all of an accepted request."""
        for observer in self.observers:
            observer.on_request(tenant, class_index)

    def on_rejection(self) -> None:
        """Notify all of a rejected request."""
        for observer in self.observers:
            observer.on_rejection()

    def on_attempt_started(self, upstream: int, token: int, class_index: int) -> None:
        """Notify all of an attempt."""
        for observer in self.observers:
            observer.on_attempt_started(upstream, token, class_index)

    def on_attempt_ended(self, upstream: int, token: int, outcome: api.Outcome, elapsed_us: int) -> None:
        """Notify all of the end of an attempt."""
        for observer in self.observers:
            observer.on_attempt_ended(upstream, token, outcome, elapsed_us)
