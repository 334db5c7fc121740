"""Detection of retry storms: how many retries to admit, and when clients of rejected requests should retry.

Performs no I/O and reads no clock: the caller passes arrivals, ends of requests and times, and gets `RetryStormUpdated`
events. Rates are per second; times are whole microseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ryepier.balancer.interface import RetryStormUpdated

RETRY_NUMBER_BUCKET_COUNT = 5  # first attempts (0), then retries by number; the last bucket includes higher numbers
RECENT_TIME_CONSTANT_US = 1_000_000  # time constant of the recent rates (exponential averages)
BASELINE_TIME_CONSTANT_US = 60_000_000  # time constant of the baseline rate (exponential average)
MIN_BASELINE_OBSERVATION_US = 4_000_000  # observation time after which the baseline rate counts as known
MIN_ARRIVAL_RATE = 4.0  # arrivals per second below which there is no storm
# A storm opens when retries and unserved requests both reach their opening shares of the arrivals. It closes after one
# of them has fallen to its closing share.
OPENING_RETRY_SHARE = 0.3
OPENING_UNSERVED_SHARE = 0.15
CLOSING_RETRY_SHARE = 0.1
CLOSING_UNSERVED_SHARE = 0.05
MIN_CALM_US = 2_000_000  # time for which a closing condition must hold before a storm closes, to avoid oscillation
# There is a surge while the rate of first attempts is above this multiple of the baseline rate. The demand is real
# then, and admitting fewer retries would not help.
SURGE_RATIO = 1.5
# Time after a surge in which no storm opens, as requests rejected in the surge are still retried, and the average rates
# still decay.
SURGE_RECOVERY_US = 5 * RECENT_TIME_CONSTANT_US
OUTAGE_SERVED_SHARE = 0.3  # there is an outage while a smaller share of the arrivals is served
RECENT_OUTAGE_US = 30_000_000  # time after its end for which an outage is reported as evidence
# If a larger share of the first attempts is not served, fewer retries are admitted.
MAX_UNSERVED_FIRST_ATTEMPT_SHARE = 0.3
ADMISSION_DECREASE_FACTOR = 0.8  # factor per tick by which the admitted share of retries decreases
ADMISSION_INCREASE_FACTOR = 1.25  # factor per tick by which the admitted share of retries increases
ADMISSION_INCREASE_STEP = 0.02  # added to the admitted share per tick when it increases, in addition to the factor
# Lowest admitted share of retries. Admitting none does not help if first attempts are rejected for another reason.
MIN_RETRY_ADMISSION = 0.05
RECOVERY_FACTOR = 2.0  # expected rate of served requests when the retries arrive, relative to the current rate
# Shortest and longest window for the Retry-After of a rejected first attempt. It doubles with each retry number.
MIN_RETRY_AFTER_WINDOW_US = 200_000
MAX_RETRY_AFTER_WINDOW_US = 30_000_000


@dataclass(frozen=True, slots=True)
class StormEvidence:
    """The measurements by which the detector decides whether there is a storm."""

    arrival_rate: float  # arrivals per second
    served_rate: float  # served requests per second
    retry_share: float  # share of the arrivals that are retries
    surge_ratio: float  # rate of first attempts relative to the baseline rate; 0 = not known
    since_outage_us: int | None  # time since the end of the last outage; None = no recent outage

    def __str__(self) -> str:
        """Return the text of the evidence in log lines."""
        surge_text = (
            f"first attempts at {self.surge_ratio:.2f} of the baseline rate"
            if self.surge_ratio
            else "baseline rate not known"
        )
        outage_text = (
            "" if self.since_outage_us is None else f", an outage ended {self.since_outage_us / 1e6:.1f} s ago"
        )
        return (
            f"{self.arrival_rate:.0f} arrivals per second, {self.served_rate:.0f} served, "
            f"{self.retry_share:.0%} are retries, {surge_text}{outage_text}"
        )


@dataclass(frozen=True, slots=True)
class StormReport:
    """Result of one tick of the detector."""

    event: RetryStormUpdated
    evidence: StormEvidence
    changed: bool  # whether a storm has begun or ended in this tick


@dataclass(slots=True)
class _Counts:
    """Counts since the last tick."""

    arrivals_by_retry_number: list[int] = field(default_factory=lambda: [0] * RETRY_NUMBER_BUCKET_COUNT)
    arrivals_by_tenant: dict[int, int] = field(default_factory=dict)
    served_count: int = 0
    unserved_first_attempt_count: int = 0


class RetryStormDetector:
    """Detects retry storms at one sidecar. It is notified of each arrival and end of a request, and evaluated by
    `tick`."""

    def __init__(
        self, now_us: int, tenant_shares: list[float], max_retry_after_us: int, retry_after_in_seconds: bool
    ) -> None:
        """Start at `now_us` without measurements. `tenant_shares` has the quota of each tenant; they add up to 1."""
        self.tenant_shares = tenant_shares
        self.max_retry_after_us = max_retry_after_us
        self.retry_after_in_seconds = retry_after_in_seconds
        self.counts = _Counts()
        self.started_at_us = self.last_tick_at_us = now_us
        self.arrival_rates = [0.0] * RETRY_NUMBER_BUCKET_COUNT
        self.tenant_rates: dict[int, float] = {}
        self.served_rate = 0.0
        self.unserved_first_attempt_rate = 0.0
        self.retry_admission = 1.0  # share of first retries to admit; its n-th power applies to retry number n
        self.baseline_rate = 0.0
        self.baseline_observation_us = 0  # time for which the baseline rate was observed
        self.in_outage = False
        self.outage_ended_at_us: int | None = None
        self.active = False
        self.calm_since_us: int | None = None
        self.last_surge_at_us = now_us - SURGE_RECOVERY_US  # time of the last tick in a surge

    def on_request(self, retry_number: int, tenant: int) -> None:
        """Count the arrival of a request."""
        self.counts.arrivals_by_retry_number[min(retry_number, RETRY_NUMBER_BUCKET_COUNT - 1)] += 1
        self.counts.arrivals_by_tenant[tenant] = self.counts.arrivals_by_tenant.get(tenant, 0) + 1

    def on_served(self) -> None:
        """Count a served request."""
        self.counts.served_count += 1

    def on_unserved(self, retry_number: int) -> None:
        """Count a request that was rejected, failed or abandoned by its client."""
        self.counts.unserved_first_attempt_count += int(retry_number == 0)

    def tick(self, now_us: int) -> StormReport:
        """Update the rates and the admitted share of retries. Returns whether there is a storm, with the evidence."""
        self._update_rates(now_us)
        evidence = self._evidence(now_us)
        if evidence.surge_ratio > SURGE_RATIO:
            self.last_surge_at_us = now_us
        was_active = self.active
        if not was_active:
            self.retry_admission = 1.0
        elif self.unserved_first_attempt_rate > MAX_UNSERVED_FIRST_ATTEMPT_SHARE * self.arrival_rates[0]:
            self.retry_admission = max(MIN_RETRY_ADMISSION, self.retry_admission * ADMISSION_DECREASE_FACTOR)
        else:
            self.retry_admission = min(1.0, self.retry_admission * ADMISSION_INCREASE_FACTOR + ADMISSION_INCREASE_STEP)
        if self.active:
            self._close_if_calm(now_us, evidence)
        else:
            self.active = now_us - self.last_surge_at_us >= SURGE_RECOVERY_US and self._should_open(evidence)
            self.calm_since_us = None
        event = self._event() if self.active else RetryStormUpdated()
        return StormReport(event, evidence, changed=self.active != was_active)

    def _update_rates(self, now_us: int) -> None:
        elapsed_us = max(1, now_us - self.last_tick_at_us)
        self.last_tick_at_us = now_us
        counts, self.counts = self.counts, _Counts()
        decay = math.exp(-elapsed_us / RECENT_TIME_CONSTANT_US)
        for retry_number, count in enumerate(counts.arrivals_by_retry_number):
            self.arrival_rates[retry_number] += (count * 1e6 / elapsed_us - self.arrival_rates[retry_number]) * (
                1 - decay
            )
        for tenant in self.tenant_rates.keys() | counts.arrivals_by_tenant.keys():
            rate = self.tenant_rates.get(tenant, 0.0)
            self.tenant_rates[tenant] = rate + (counts.arrivals_by_tenant.get(tenant, 0) * 1e6 / elapsed_us - rate) * (
                1 - decay
            )
        self.served_rate += (counts.served_count * 1e6 / elapsed_us - self.served_rate) * (1 - decay)
        self.unserved_first_attempt_rate += (
            counts.unserved_first_attempt_count * 1e6 / elapsed_us - self.unserved_first_attempt_rate
        ) * (1 - decay)
        arrival_rate = sum(self.arrival_rates)
        in_outage = arrival_rate >= MIN_ARRIVAL_RATE and self.served_rate < OUTAGE_SERVED_SHARE * arrival_rate
        if self.in_outage and not in_outage:
            self.outage_ended_at_us = now_us
        self.in_outage = in_outage
        if not in_outage and not self.active:
            # Rates in an outage or a storm do not count towards the baseline, as they would hide the next storm. A
            # surge soon after the start would have the same effect, so in a surge the average changes at its slowest
            # rate.
            baseline_observation_us = (
                BASELINE_TIME_CONSTANT_US
                if now_us - self.last_surge_at_us < SURGE_RECOVERY_US
                else self.baseline_observation_us + elapsed_us
            )
            weight = elapsed_us / min(BASELINE_TIME_CONSTANT_US, baseline_observation_us)
            self.baseline_rate += (counts.arrivals_by_retry_number[0] * 1e6 / elapsed_us - self.baseline_rate) * weight
            self.baseline_observation_us += elapsed_us

    def _evidence(self, now_us: int) -> StormEvidence:
        arrival_rate = sum(self.arrival_rates)
        retry_share = sum(self.arrival_rates[1:]) / arrival_rate if arrival_rate > 0 else 0.0
        surge_ratio = (
            self.arrival_rates[0] / self.baseline_rate
            if self.baseline_observation_us >= MIN_BASELINE_OBSERVATION_US and self.baseline_rate > 0
            else 0.0
        )
        since_outage_us = None
        if self.outage_ended_at_us is not None and now_us - self.outage_ended_at_us < RECENT_OUTAGE_US:
            since_outage_us = now_us - self.outage_ended_at_us
        return StormEvidence(arrival_rate, self.served_rate, retry_share, surge_ratio, since_outage_us)

    @staticmethod
    def _unserved_share(evidence: StormEvidence) -> float:
        return 1.0 - min(1.0, evidence.served_rate / evidence.arrival_rate) if evidence.arrival_rate > 0 else 0.0

    def _should_open(self, evidence: StormEvidence) -> bool:
        if evidence.arrival_rate < MIN_ARRIVAL_RATE:
            return False
        return evidence.retry_share >= OPENING_RETRY_SHARE and self._unserved_share(evidence) >= OPENING_UNSERVED_SHARE

    def _close_if_calm(self, now_us: int, evidence: StormEvidence) -> None:
        is_calm = (
            evidence.retry_share <= CLOSING_RETRY_SHARE or self._unserved_share(evidence) <= CLOSING_UNSERVED_SHARE
        )
        is_calm |= evidence.surge_ratio > SURGE_RATIO or evidence.arrival_rate < MIN_ARRIVAL_RATE
        if not is_calm:
            self.calm_since_us = None
        elif self.calm_since_us is None:
            self.calm_since_us = now_us
        elif now_us - self.calm_since_us >= MIN_CALM_US:
            self.active = False

    def _event(self) -> RetryStormUpdated:
        admission = [self.retry_admission**retry_number for retry_number in range(RETRY_NUMBER_BUCKET_COUNT)]
        # The window is the time in which as many requests as recently were not served can be served at the expected
        # rate.
        recently_unserved_count = max(0.0, sum(self.arrival_rates) - self.served_rate) * RECENT_TIME_CONSTANT_US / 1e6
        window_us = min(
            MAX_RETRY_AFTER_WINDOW_US,
            1e6 * recently_unserved_count / max(RECOVERY_FACTOR * self.served_rate, MIN_ARRIVAL_RATE),
        )
        windows_us = [
            int(min(self.max_retry_after_us, max(MIN_RETRY_AFTER_WINDOW_US, window_us) * 2**retry_number))
            for retry_number in range(RETRY_NUMBER_BUCKET_COUNT)
        ]
        return RetryStormUpdated(True, admission, windows_us, self._tenant_admission(), self.retry_after_in_seconds)

    def _tenant_admission(self) -> list[float]:
        """Return the share of retries to admit, by tenant. It is below 1 for a tenant whose demand exceeds its
        quota."""
        if len(self.tenant_shares) < 2:
            return []
        arrival_rate = sum(self.arrival_rates)
        return [
            min(1.0, share * arrival_rate / self.tenant_rates[index]) if self.tenant_rates.get(index, 0.0) > 0 else 1.0
            for index, share in enumerate(self.tenant_shares)
        ]
