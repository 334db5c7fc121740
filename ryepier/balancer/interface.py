"""Interface between a sidecar and the decision module: settings, events in, actions out.

A sidecar that embeds the module creates a `Settings`, passes events to `Balancer.handle` in their order of
arrival, and carries out the returned actions in the order given.
"""

from __future__ import annotations

from ryepier.balancer.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    Subscribe,
)
from ryepier.balancer.events import (
    Advice,
    AttemptEnded,
    ClientDisconnected,
    Event,
    ListKind,
    Outcome,
    PeerMessage,
    PlanUpdated,
    ProbeEnded,
    RequestArrived,
    RetryStormUpdated,
    StreamStarted,
    TimerFired,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)
from ryepier.balancer.settings import Idempotency, IdempotencyScope, RequestClass, Settings, Tenant

__all__ = [
    "Action",
    "Advice",
    "AttemptEnded",
    "Cancel",
    "ClientDisconnected",
    "CloseIdle",
    "Event",
    "Fail",
    "FetchList",
    "Idempotency",
    "IdempotencyScope",
    "ListKind",
    "Log",
    "Outcome",
    "PeerMessage",
    "PlanUpdated",
    "Probe",
    "ProbeEnded",
    "Reject",
    "RequestArrived",
    "RequestClass",
    "RetryStormUpdated",
    "Send",
    "SendToPeer",
    "SetTimer",
    "Settings",
    "StreamStarted",
    "Subscribe",
    "Tenant",
    "TimerFired",
    "Upstream",
    "UpstreamState",
    "UpstreamsUpdated",
]
