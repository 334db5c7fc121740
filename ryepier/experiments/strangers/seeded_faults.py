"""Seeded faults in how a sidecar treats unknown peers."""

from __future__ import annotations

from collections.abc import Callable

from ryepier.sidecar import client_connection
from ryepier.sidecar.client_connection import ClientState

PATIENT_TIMEOUT_S = 6.0


def wait_long_for_requests() -> None:
    """Give peers far longer than they are owed to send their first request."""
    client_connection.STATE_TIMEOUTS_S[ClientState.NEW] = PATIENT_TIMEOUT_S
    client_connection.READ_TIMEOUT_S = PATIENT_TIMEOUT_S
    client_connection.READ_STALL_S = PATIENT_TIMEOUT_S


SEEDED_FAULTS: dict[str, Callable[[], None]] = {"patient": wait_long_for_requests}
