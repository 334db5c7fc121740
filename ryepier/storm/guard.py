"""A sidecar's guard against retry storms: counts for the detector, and its word to the module now and then."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from ryepier.balancer.interface import Outcome, RetryStormUpdated
from ryepier.storm.detect import Detector
from ryepier.storm.sketch import Unserved, fingerprint

log = logging.getLogger(__name__)

TICK_S = 0.2


class Request(Protocol):
    """A request, as far as its tries are alike."""

    @property
    def target(self) -> bytes: ...

    @property
    def headers(self) -> Sequence[tuple[bytes, bytes]]: ...

    @property
    def body(self) -> bytes: ...

    @property
    def tenant(self) -> int: ...

    @property
    def retried(self) -> bool: ...


def identify(call: Request) -> bytes:
    """By its key where it has one; else by what it asks for."""
    for name, value in call.headers:
        if name.lower() == b"idempotency-key":
            return fingerprint(call.tenant.to_bytes(4, "big"), value)
    return fingerprint(call.tenant.to_bytes(4, "big"), call.target, call.body)


class Guard:
    """Recognises tries and observes ends for a host; see `ryepier.sidecar.host`."""

    def __init__(
        self, detector: Detector, told: Callable[[RetryStormUpdated], None], clock_us: Callable[[], int]
    ) -> None:
        self.detector = detector
        self.told = told
        self.clock_us = clock_us
        self.unserved_of_late = Unserved(clock_us())
        self.last = RetryStormUpdated()
        self.task: asyncio.Task[None] | None = None

    # As the host's recogniser

    def retry_number(self, request: Request) -> int:
        """Which try of its client's this is; 0 = the first."""
        found = int(request.retried)
        if not self.unserved_of_late.empty:
            found = max(found, self.unserved_of_late.tries(self.clock_us(), identify(request)))
        self.detector.arrived(found, request.tenant)
        return found

    def on_unserved(self, request: Request) -> None:
        """It was turned away, failed, or its client went without an answer."""
        now_us, hashed = self.clock_us(), identify(request)
        self.detector.was_refused(max(self.unserved_of_late.tries(now_us, hashed), int(request.retried)))
        self.unserved_of_late.note(now_us, hashed)

    # As an observer

    def on_request(self, tenant: int, class_index: int) -> None:
        """Counted when its try was."""

    def on_rejection(self) -> None:
        """Noted as unserved."""

    def on_attempt_started(self, upstream: int, token: int, class_index: int) -> None:
        """Of no matter here."""

    def on_attempt_ended(self, upstream: int, token: int, outcome: Outcome, elapsed_us: int) -> None:
        if outcome is Outcome.OK:
            self.detector.was_served()

    # As a companion

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.watch())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            event, evidence, changed = self.detector.tick(self.clock_us())
            if changed:
                log.warning("a retry storm %s: %s", "opens" if event.active else "is over", evidence)
            if event != self.last:
                self.last = event
                self.told(event)
