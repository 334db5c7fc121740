"""Detection of retry storms: how many retries to admit, and when the others may come back.

Pure: counts and times in, `RetryStormUpdated` out. Rates are per second; times are whole microseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ryepier.balancer.interface import RetryStormUpdated

ATTEMPT_NUMBERS = 5  # 0 for first attempts, then the retries by number; the last one stands for all beyond
RECENT_MEMORY_US = 1_000_000  # of the recent rates
BASELINE_MEMORY_US = 60_000_000  # of the baseline rate
MIN_BASELINE_US = 4_000_000  # of observation before the baseline rate is known
MIN_RATE = 4.0  # arrivals per second below which there is no storm
OPENING_RETRY_SHARE = 0.3  # of the arrivals, at which a storm begins
OPENING_UNSERVED_SHARE = 0.15  # of the arrivals, at which a storm begins
CLOSING_RETRY_SHARE = 0.1  # of the arrivals, at which it may end
CLOSING_UNSERVED_SHARE = 0.05  # of the arrivals, at which it may end
MIN_CALM_US = 2_000_000  # before a storm ends, to avoid oscillation
SURGE_RATIO = 1.5  # times the baseline: the demand is real, and fewer retries would not help
SURGE_AFTERMATH_US = 5 * RECENT_MEMORY_US  # rejections of a surge still cause retries, and the rates still decay
OUTAGE_SERVED_SHARE = 0.3  # of the arrivals; with fewer served there is an outage
RECENT_OUTAGE_US = 30_000_000  # for which an outage is named as evidence
MAX_FIRST_REJECTIONS = 0.3  # of the first attempts, above which fewer retries are admitted
ADMISSION_DECREASE = 0.8  # factor of the admitted share per tick
ADMISSION_INCREASE = 1.25  # the same
ADMISSION_INCREASE_STEP = 0.02  # in addition, of all retries
MIN_ADMISSION = 0.05  # of the retries: if first attempts are rejected for another reason, admitting none does not help
RECOVERY_FACTOR = 2.0  # of the rate of service by the time of the retries
MIN_WINDOW_US = 200_000  # of Retry-After
MAX_WINDOW_US = 30_000_000  # of Retry-After


@dataclass(frozen=True, slots=True)
class StormEvidence:
    """Why there is a storm, or none."""

    arrival_rate: float  # arrivals per second
    served_rate: float
    retry_share: float  # of the arrivals
    surge_ratio: float  # first attempts relative to the usual rate; 0 = not known
    since_outage_us: int | None  # time since its end; None: no recent one

    def __str__(self) -> str:
        """Render the evidence for the log."""
        surge = (
            f"first attempts at {self.surge_ratio:.2f} of the baseline" if self.surge_ratio else "baseline not known"
        )
        ended = "" if self.since_outage_us is None else f", an outage over {self.since_outage_us / 1e6:.1f} s ago"
        return (
            f"{self.arrival_rate:.0f} arrivals per second, {self.served_rate:.0f} served, "
            f"{self.retry_share:.0%} are retries, {surge}{ended}"
        )


@dataclass(frozen=True, slots=True)
class StormReport:
    """The result of one tick."""

    event: RetryStormUpdated
    evidence: StormEvidence
    changed: bool  # a storm has just begun or ended


@dataclass(slots=True)
class _Counts:
    """Counts since the last tick."""

    retry_number: list[int] = field(default_factory=lambda: [0] * ATTEMPT_NUMBERS)
    tenants: dict[int, int] = field(default_factory=dict)
    served: int = 0
    first_rejections: int = 0


class RetryStormDetector:
    """One sidecar's view of retries: notified of each arrival and each end, polled by `tick`."""

    def __init__(
        self, now_us: int, tenant_shares: list[float], max_retry_after_us: int, retry_after_in_seconds: bool
    ) -> None:
        """Start at `now_us`; `tenant_shares` are the tenants' quotas, summing up to 1."""
        self.tenant_shares = tenant_shares
        self.max_retry_after_us = max_retry_after_us
        self.retry_after_in_seconds = retry_after_in_seconds
        self.counts = _Counts()
        self.started_us = self.last_tick_us = now_us
        self.arrival_rates = [0.0] * ATTEMPT_NUMBERS
        self.tenants: dict[int, float] = {}
        self.served_rate = 0.0
        self.first_rejection_rate = 0.0
        self.admission = 1.0  # share of first retries to admit; for each further one a power of it
        self.baseline_rate = 0.0
        self.baseline_observed_us = 0  # for how long usual rates were observed
        self.in_outage = False
        self.outage_ended_us: int | None = None
        self.active = False
        self.calm_since_us: int | None = None
        self.last_surge_us = now_us - SURGE_AFTERMATH_US  # when first attempts last exceeded the usual rate by far

    def on_request(self, retry_number: int, tenant: int) -> None:
        """Count an arrival."""
        self.counts.retry_number[min(retry_number, ATTEMPT_NUMBERS - 1)] += 1
        self.counts.tenants[tenant] = self.counts.tenants.get(tenant, 0) + 1

    def on_served(self) -> None:
        """Count a served request."""
        self.counts.served += 1

    def on_unserved(self, retry_number: int) -> None:
        """Count a request that was not served."""
        self.counts.first_rejections += int(retry_number == 0)

    def tick(self, now_us: int) -> StormReport:
        """Update the rates and return whether there is a storm."""
        self._update_rates(now_us)
        evidence = self._evidence(now_us)
        if evidence.surge_ratio > SURGE_RATIO:
            self.last_surge_us = now_us
        was_active = self.active
        if not was_active:
            self.admission = 1.0
        elif self.first_rejection_rate > MAX_FIRST_REJECTIONS * self.arrival_rates[0]:
            self.admission = max(MIN_ADMISSION, self.admission * ADMISSION_DECREASE)
        else:
            self.admission = min(1.0, self.admission * ADMISSION_INCREASE + ADMISSION_INCREASE_STEP)
        if self.active:
            self._update_calm(now_us, evidence)
        else:
            self.active = now_us - self.last_surge_us >= SURGE_AFTERMATH_US and self._should_open(evidence)
            self.calm_since_us = None
        event = self._event() if self.active else RetryStormUpdated()
        return StormReport(event, evidence, changed=self.active != was_active)

    def _update_rates(self, now_us: int) -> None:
        since_us = max(1, now_us - self.last_tick_us)
        self.last_tick_us = now_us
        counts, self.counts = self.counts, _Counts()
        decay = math.exp(-since_us / RECENT_MEMORY_US)
        for number, count in enumerate(counts.retry_number):
            self.arrival_rates[number] += (count * 1e6 / since_us - self.arrival_rates[number]) * (1 - decay)
        for tenant in self.tenants.keys() | counts.tenants.keys():
            rate = self.tenants.get(tenant, 0.0)
            self.tenants[tenant] = rate + (counts.tenants.get(tenant, 0) * 1e6 / since_us - rate) * (1 - decay)
        self.served_rate += (counts.served * 1e6 / since_us - self.served_rate) * (1 - decay)
        self.first_rejection_rate += (counts.first_rejections * 1e6 / since_us - self.first_rejection_rate) * (
            1 - decay
        )
        demand = sum(self.arrival_rates)
        in_outage = demand >= MIN_RATE and self.served_rate < OUTAGE_SERVED_SHARE * demand
        if self.in_outage and not in_outage:
            self.outage_ended_us = now_us
        self.in_outage = in_outage
        if not in_outage and not self.active:
            # Rates of an outage or a storm are not usual: averaged, they would excuse the next one, and so would a
            # surge soon after the start, when little is known.
            baseline_observed_us = (
                BASELINE_MEMORY_US
                if now_us - self.last_surge_us < SURGE_AFTERMATH_US
                else self.baseline_observed_us + since_us
            )
            slow = since_us / min(BASELINE_MEMORY_US, baseline_observed_us)
            self.baseline_rate += (counts.retry_number[0] * 1e6 / since_us - self.baseline_rate) * slow
            self.baseline_observed_us += since_us

    def _evidence(self, now_us: int) -> StormEvidence:
        demand = sum(self.arrival_rates)
        retries = sum(self.arrival_rates[1:]) / demand if demand > 0 else 0.0
        surge = (
            self.arrival_rates[0] / self.baseline_rate
            if self.baseline_observed_us >= MIN_BASELINE_US and self.baseline_rate > 0
            else 0.0
        )
        ended = None
        if self.outage_ended_us is not None and now_us - self.outage_ended_us < RECENT_OUTAGE_US:
            ended = now_us - self.outage_ended_us
        return StormEvidence(demand, self.served_rate, retries, surge, ended)

    @staticmethod
    def _unserved(evidence: StormEvidence) -> float:
        return 1.0 - min(1.0, evidence.served_rate / evidence.arrival_rate) if evidence.arrival_rate > 0 else 0.0

    def _should_open(self, evidence: StormEvidence) -> bool:
        if evidence.arrival_rate < MIN_RATE:
            return False
        return evidence.retry_share >= OPENING_RETRY_SHARE and self._unserved(evidence) >= OPENING_UNSERVED_SHARE

    def _update_calm(self, now_us: int, evidence: StormEvidence) -> None:
        is_calm = evidence.retry_share <= CLOSING_RETRY_SHARE or self._unserved(evidence) <= CLOSING_UNSERVED_SHARE
        is_calm |= evidence.surge_ratio > SURGE_RATIO or evidence.arrival_rate < MIN_RATE
        if not is_calm:
            self.calm_since_us = None
        elif self.calm_since_us is None:
            self.calm_since_us = now_us
        elif now_us - self.calm_since_us >= MIN_CALM_US:
            self.active = False

    def _event(self) -> RetryStormUpdated:
        admission = [self.admission**number for number in range(ATTEMPT_NUMBERS)]
        # rejected clients come back within the time that it takes to serve as many at the current rate
        outside = max(0.0, sum(self.arrival_rates) - self.served_rate) * RECENT_MEMORY_US / 1e6
        window_us = min(MAX_WINDOW_US, 1e6 * outside / max(RECOVERY_FACTOR * self.served_rate, MIN_RATE))
        windows_us = [
            int(min(self.max_retry_after_us, max(MIN_WINDOW_US, window_us) * 2**number))
            for number in range(ATTEMPT_NUMBERS)
        ]
        return RetryStormUpdated(True, admission, windows_us, self._tenant_admission(), self.retry_after_in_seconds)

    def _tenant_admission(self) -> list[float]:
        """Return by tenant the share of retries to admit: less for one whose demand exceeds its quota."""
        if len(self.tenant_shares) < 2:
            return []
        demand = sum(self.arrival_rates)
        return [
            min(1.0, share * demand / self.tenants[index]) if self.tenants.get(index, 0.0) > 0 else 1.0
            for index, share in enumerate(self.tenant_shares)
        ]
