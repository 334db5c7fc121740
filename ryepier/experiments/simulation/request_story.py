"""Lists the events of one request, from the records of clients, converters and discovery."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.emulator.records import NEVER, ClientAttempt, ConverterAttempt, EndpointNotice, History
from ryepier.emulator.timeline import ListState

US_PER_MS = 1000
US_PER_S = 1e6


@dataclass(frozen=True, slots=True, order=True)
class Event:
    """An event of a request, and its time since the start of the run."""

    at_us: int
    text: str

    def __str__(self) -> str:
        """Return one line with the time in seconds and the text."""
        return f"{self.at_us / US_PER_S:10.6f} s  {self.text}"


def request_events(history: History, request_id: str) -> list[str]:
    """Return a line for each event of a request in chronological order; empty if the request was not recorded."""
    request = next((attempt for attempt in history.client_attempts if attempt.request_id == request_id), None)
    events = _client_events(request) if request is not None else []
    for attempt in history.converter_attempts:
        if attempt.request_id == request_id:
            events += _converter_events(attempt)
            if request is not None:
                events += _notice_events(history.notices, request.sidecar, attempt.uid)
    return [str(event) for event in sorted(set(events))]


def _client_events(request: ClientAttempt) -> list[Event]:
    wait_ms = request.deadline_us // US_PER_MS
    sent_text = f"client sends {request.request_id} to sidecar {request.sidecar}, and waits {wait_ms} ms"
    ended_text = f"client: {request.outcome}" + (f", status {request.status}" if request.status else "")
    return [Event(request.sent_us, sent_text), Event(request.ended_us, ended_text)]


def _converter_events(attempt: ConverterAttempt) -> list[Event]:
    events = [
        Event(attempt.first_byte_us, f"{attempt.uid}: its first byte"),
        Event(attempt.received_us, f"{attempt.uid}: whole"),
    ]
    if attempt.started_us != NEVER:
        events.append(Event(attempt.started_us, f"{attempt.uid}: runs it"))
    events.append(Event(attempt.ended_us, f"{attempt.uid}: {attempt.outcome}"))
    return events


def _notice_events(notices: list[EndpointNotice], sidecar: int, uid: str) -> list[Event]:
    """Return the notices that a sidecar received of a converter's state, except those of the active state."""
    return [
        Event(notice.at_us, f"sidecar {notice.sidecar} is told: {notice.uid} {notice.state}")
        for notice in notices
        if notice.uid == uid and notice.sidecar == sidecar and notice.state != ListState.ACTIVE
    ]
