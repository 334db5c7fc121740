"""Guard of a sidecar against retry storms: counts for the detector, and reports to the decision module."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from ryepier.balancer.interface import Outcome, RetryStormUpdated
from ryepier.storm.failed_request_sketch import FailedRequestSketch, fingerprint
from ryepier.storm.storm_detector import RetryStormDetector

log = logging.getLogger(__name__)

TICK_S = 0.2  # between two evaluations


Header = tuple[bytes, bytes]  # name, value


class Request(Protocol):
    """What the attempts of one request have in common."""

    @property
    def target(self) -> bytes:
        """Path and query."""

    @property
    def headers(self) -> Sequence[Header]:
        """Names and values."""

    @property
    def body(self) -> bytes:
        """Content."""

    @property
    def tenant(self) -> int:
        """Index of the tenant."""

    @property
    def marked_as_retry(self) -> bool:
        """Whether the client marks it as a retry."""


def identify(request: Request) -> bytes:
    """Return the hash of a request, by its idempotency key or else by its target and body."""
    for name, value in request.headers:
        if name.lower() == b"idempotency-key":
            return fingerprint(request.tenant.to_bytes(4, "big"), value)
    return fingerprint(request.tenant.to_bytes(4, "big"), request.target, request.body)


class RetryStormGuard:
    """Detects retries and observes attempts for a dispatcher; see `ryepier.sidecar.observers`."""

    def __init__(
        self, detector: RetryStormDetector, publish: Callable[[RetryStormUpdated], None], clock_us: Callable[[], int]
    ) -> None:
        """Pass each changed event to `publish`."""
        self.detector = detector
        self.publish = publish
        self.clock_us = clock_us
        self.failed_requests = FailedRequestSketch(clock_us())
        self.last_event = RetryStormUpdated()
        self.task: asyncio.Task[None] | None = None

    # Retry detector

    def retry_number(self, request: Request) -> int:
        """Return how many earlier attempts of the request were not served; 0 for a first one."""
        number = int(request.marked_as_retry)
        if not self.failed_requests.empty:
            number = max(number, self.failed_requests.retry_number(self.clock_us(), identify(request)))
        self.detector.on_request(number, request.tenant)
        return number

    def on_unserved(self, request: Request) -> None:
        """Record that the request was rejected, failed, or had no answer before its client disconnected."""
        now_us, digest = self.clock_us(), identify(request)
        self.detector.on_unserved(max(self.failed_requests.retry_number(now_us, digest), int(request.marked_as_retry)))
        self.failed_requests.add(now_us, digest)

    # Observer

    def on_request(self, tenant: int, class_index: int) -> None:
        """Ignore it: `retry_number` has counted it."""

    def on_rejection(self) -> None:
        """Ignore it: `on_unserved` has counted it."""

    def on_attempt_started(self, upstream: int, token: int, class_index: int) -> None:
        """Ignore it."""

    def on_attempt_ended(self, upstream: int, token: int, outcome: Outcome, elapsed_us: int) -> None:
        """Count a served request."""
        if outcome is Outcome.OK:
            self.detector.on_served()

    # BackgroundService

    def start(self) -> None:
        """Start reporting."""
        self.task = asyncio.get_running_loop().create_task(self.watch())

    def stop(self) -> None:
        """Stop reporting."""
        if self.task is not None:
            self.task.cancel()

    async def watch(self) -> None:
        """Report each change of the detector's event, forever."""
        while True:
            await asyncio.sleep(TICK_S)
            report = self.detector.tick(self.clock_us())
            if report.changed:
                line = "a retry storm opens: %s" if report.event.active else "a retry storm is over: %s"
                log.warning(line, report.evidence)
            if report.event != self.last_event:
                self.last_event = report.event
                self.publish(report.event)
