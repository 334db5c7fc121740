"""Retries of emulated clients: whether the protocol allows a retry, and the backoff before it."""

from __future__ import annotations

import random
import zlib

from ryepier.emulator.records import ClientAttempt, RequestOutcome
from ryepier.emulator.world import Backoff, Clients, DeduplicationScope, Effect, RequestClass

MAX_DELAY_US = 10_000_000
BACKOFF_GROWTH = 2.0
MIN_JITTER = 0.5  # exponential backoff is multiplied by a random factor from MIN_JITTER to MIN_JITTER + 1
NOT_RETRIED_OUTCOMES = (RequestOutcome.SERVED, RequestOutcome.LEFT)
NEVER_RUN_OUTCOMES = (RequestOutcome.REFUSED, RequestOutcome.UNREACHABLE)


def may_retry(request_class: RequestClass, outcome: RequestOutcome, first_sent_us: int, now_us: int) -> bool:
    """Return whether the protocol allows a client to send a request again.

    A retry is allowed if the request certainly did not run, or if running it again is harmless.
    """
    if outcome in NOT_RETRIED_OUTCOMES:
        return False
    if outcome in NEVER_RUN_OUTCOMES or request_class.effect is Effect.IDEMPOTENT:
        return True
    is_deduplicated_everywhere = (
        request_class.effect is Effect.DEDUPLICATED and request_class.scope is DeduplicationScope.ALL
    )
    return is_deduplicated_everywhere and now_us - first_sent_us < request_class.idempotency_window_ms * 1000


def retry_delay_us(clients: Clients, attempt: ClientAttempt, random_source: random.Random) -> int:
    """Return how long a client waits before it retries a failed attempt."""
    delay_us = clients.retry_delay_ms * 1000
    if clients.backoff is Backoff.NONE:
        delay_us = 0.0
    elif clients.backoff is Backoff.EXPONENTIAL:
        delay_us *= BACKOFF_GROWTH**attempt.number * (MIN_JITTER + random_source.random())
    if clients.honours_retry_after and _honours_retry_after(clients, attempt):
        delay_us = max(delay_us, attempt.retry_after_us)
    return int(min(delay_us, MAX_DELAY_US))


def _honours_retry_after(clients: Clients, attempt: ClientAttempt) -> bool:
    return zlib.crc32(b"obeys %d" % attempt.arrival) < clients.honouring_share * 2**32
