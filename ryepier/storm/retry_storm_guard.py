"""Retry storm guard of a sidecar: passes requests to the detector, and reports storms to the decision module."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from ryepier.balancer.interface import Outcome, RetryStormUpdated
from ryepier.storm.failed_request_sketch import FailedRequestSketch, fingerprint
from ryepier.storm.storm_detector import RetryStormDetector

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.2  # time between two evaluations of the detector


Header = tuple[bytes, bytes]  # name, value


class Request(Protocol):
    """The properties of a request by which its retries are recognised."""

    @property
    def target(self) -> bytes:
        """Path and query of the URL."""

    @property
    def headers(self) -> Sequence[Header]:
        """Names and values of the headers."""

    @property
    def body(self) -> bytes:
        """Content of the request body."""

    @property
    def tenant(self) -> int:
        """Index of the tenant."""

    @property
    def marked_as_retry(self) -> bool:
        """Whether the client has marked the request as a retry."""


def identify(request: Request) -> bytes:
    """Return a hash of the tenant and idempotency key of a request or, without a key, of its tenant, target and
    body."""
    for name, value in request.headers:
        if name.lower() == b"idempotency-key":
            return fingerprint(request.tenant.to_bytes(4, "big"), value)
    return fingerprint(request.tenant.to_bytes(4, "big"), request.target, request.body)


class RetryStormGuard:
    """Retry detector and observer of a dispatcher; see `ryepier.sidecar.observers` for the interfaces."""

    def __init__(
        self, detector: RetryStormDetector, publish: Callable[[RetryStormUpdated], None], clock_us: Callable[[], int]
    ) -> None:
        """Start without failed requests. `publish` gets each event that differs from the previous event; `clock_us`
        returns the current time (us)."""
        self.detector = detector
        self.publish = publish
        self.clock_us = clock_us
        self.failed_requests = FailedRequestSketch(clock_us())
        self.last_event = RetryStormUpdated()
        self.task: asyncio.Task[None] | None = None

    # Retry detector

    def retry_number(self, request: Request) -> int:
        """Count an arrival. Returns how many earlier attempts of the request were not served."""
        retry_number = int(request.marked_as_retry)
        if not self.failed_requests.empty:
            retry_number = max(retry_number, self.failed_requests.retry_number(self.clock_us(), identify(request)))
        self.detector.on_request(retry_number, request.tenant)
        return retry_number

    def on_unserved(self, request: Request) -> None:
        """Record that a request was rejected or failed, or that its client disconnected before it was answered."""
        now_us, digest = self.clock_us(), identify(request)
        self.detector.on_unserved(max(self.failed_requests.retry_number(now_us, digest), int(request.marked_as_retry)))
        self.failed_requests.add(now_us, digest)

    # Observer

    def on_request(self, tenant: int, class_index: int) -> None:
        """Do nothing: `retry_number` has counted the request."""

    def on_rejection(self) -> None:
        """Do nothing: `on_unserved` has counted the request."""

    def on_attempt_started(self, upstream: int, token: int, class_index: int) -> None:
        """Do nothing: only the end of an attempt counts."""

    def on_attempt_ended(self, upstream: int, token: int, outcome: Outcome, elapsed_us: int) -> None:
        """Count a served request."""
        if outcome is Outcome.OK:
            self.detector.on_served()

    # BackgroundService

    def start(self) -> None:
        """Start the task that reports changes."""
        self.task = asyncio.get_running_loop().create_task(self.report_changes())

    def stop(self) -> None:
        """Cancel the task that reports changes."""
        if self.task is not None:
            self.task.cancel()

    async def report_changes(self) -> None:
        """Evaluate the detector at intervals, and publish each change of its event, until the task is cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            report = self.detector.tick(self.clock_us())
            if report.changed:
                text = "a retry storm opens: %s" if report.event.active else "a retry storm is over: %s"
                log.warning(text, report.evidence)
            if report.event != self.last_event:
                self.last_event = report.event
                self.publish(report.event)
