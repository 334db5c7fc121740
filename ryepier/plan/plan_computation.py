"""Computes plans from evidence: decides which converters are failing, slow or healthy.

A plan depends only on the evidence, the earlier statuses and the time; there is no I/O. Forwarders check plans against
the acceptance rules (`plan_follower.py`), and a planner publishes no plan that would fail them.
"""

from __future__ import annotations

import enum
import statistics
from dataclasses import dataclass, field

from ryepier.plan.evidence import DECAY_TIME_CONSTANT_US, DecayingCounts, Evidence, ForwarderStats
from ryepier.plan.messages import LATENCY_BUCKET_COUNT, ConverterAdvice, Plan, PlanBasis, Term
from ryepier.plan.plan_follower import AcceptanceRules

# A converter counts as failing only if it reaches all of MIN_FAILURES, MIN_FAILURE_SHARE and MIN_FAILURE_REPORTERS.
MIN_FAILURES = 2.0  # recent failed attempts; fewer may be chance
MIN_FAILURE_SHARE = 0.5  # share of recent attempts that failed; a smaller one may be due to the requests themselves
MAX_HEALTHY_FAILURE_SHARE = 0.25  # share of recent attempts that failed, below which a converter is healthy
MIN_FAILURE_REPORTERS = 2  # forwarders with failed attempts; a single one may be faulty itself
# a forwarder counts as a reporter of attempts (or failures) if its decayed count of them is at least this
MIN_REPORTED_COUNT = 0.5
MAX_COUNTED_ATTEMPTS = 3.0  # per forwarder and converter; if there are more, their counts are scaled down to this sum
# A forwarder is an outlier, and its reports are ignored, if at least MIN_OUTLIER_FAILURE_SHARE of its attempts fail,
# and they fail at MIN_OUTLIER_CONVERTERS or more converters that are healthy for the other forwarders.
MIN_OUTLIER_FAILURE_SHARE = 0.5
MIN_OUTLIER_CONVERTERS = 3
MAX_TRIAL_FORWARDERS = 2  # forwarders that may send trial requests to an ejected converter at a time
MIN_EJECTION_US = 1_000_000  # least duration of an ejection
RECOVERY_STEP_US = 2_000_000  # time for which a recovering converter keeps each of RECOVERY_WEIGHTS
RECOVERY_WEIGHTS = (0.25, 0.5)  # shares of the default weight that a recovering converter gets, step by step
MIN_RESPONSES = 5.0  # recent responses needed to determine a converter's median latency
# ratio of a converter's median latency to the median over all converters, above which the converter is slow
SLOW_RATIO = 2.0
VERY_SLOW_RATIO = 3.0  # ratio above which each forwarder sends the converter only one request at a time
MIN_WEIGHT = 0.2  # lower bound of a slow converter's weight
MIN_OVERLOAD_REJECTION_SHARE = 0.02  # quotas of tenants apply if at least this share of the arrivals is rejected
PLAN_VALIDITY_MS = 2_000  # four plan intervals
PLAN_FADE_MS = 30_000  # long enough for a failed planner to be restarted
# a status older than this many decay time constants is dropped if no active forwarder reports on its converter
STATUS_EXPIRY_FACTOR = 15


class ConverterState(enum.StrEnum):
    """Why a converter deviates from the default treatment. The values are stored in snapshots."""

    EJECTED = "rests"
    RECOVERING = "returns"


@dataclass(slots=True)
class ConverterStatus:
    """Status of an ejected or recovering converter; healthy converters have none."""

    state: ConverterState
    since_us: int  # when the state, or the current step of the recovery, began
    step: int = 0  # index into RECOVERY_WEIGHTS


def report_weight(recent_counts: DecayingCounts) -> float:
    """Return the factor by which one forwarder's recent counts at a converter are scaled down, so that it does not
    outweigh the other forwarders."""
    return min(1.0, MAX_COUNTED_ATTEMPTS / max(MAX_COUNTED_ATTEMPTS, recent_counts.served + recent_counts.failed))


@dataclass(slots=True)
class ConverterTotals:
    """Recent counts of one converter, summed over all forwarders."""

    served: float = 0.0
    failed: float = 0.0
    latencies: list[float] = field(default_factory=lambda: [0.0] * LATENCY_BUCKET_COUNT)
    failure_reporters: int = 0  # number of forwarders that report failed attempts at it
    reporters: int = 0  # number of forwarders that report attempts at it

    @property
    def median_ms(self) -> float:
        """Median latency, interpolated linearly within its bucket. With the mean, a few expensive requests would make
        a converter count as slow."""
        half_count, count_below = sum(self.latencies) / 2, 0.0
        for index, count in enumerate(self.latencies):
            if count > 0.0 and count_below + count >= half_count:
                lower_bound_ms = float(2 ** (index - 1)) if index else 0.0
                return lower_bound_ms + (2.0**index - lower_bound_ms) * (half_count - count_below) / count
            count_below += count
        return 0.0

    @property
    def failure_share(self) -> float:
        """Share of the attempts that failed; 0 without attempts."""
        return self.failed / (self.served + self.failed) if self.served + self.failed > 0 else 0.0


class Planner:
    """Computes plans, and keeps the statuses of ejected and recovering converters from one plan to the next."""

    def __init__(
        self, rules: AcceptanceRules, tenant_shares: list[float], class_limits: list[float] | None = None
    ) -> None:
        """Start with all converters healthy.

        `rules` are the rules by which forwarders accept plans. `tenant_shares` are the tenants' quotas as shares of all
        arrivals. `class_limits` are arrivals per second over all forwarders; 0 means no limit.
        """
        self.rules = rules
        self.class_limits = class_limits or []
        self.tenant_shares = tenant_shares
        self.statuses: dict[str, ConverterStatus] = {}
        self.outlier_reporters: set[str] = set()  # names of the forwarders whose reports are ignored
        self.too_many_converters_fail = False

    def basis(self, now_us: int, evidence: Evidence) -> PlanBasis:
        """Return the amount of evidence that a plan computed now would be based on."""
        active_forwarders = evidence.active_forwarders(now_us)
        return self._compute_basis(now_us, evidence, active_forwarders, self._sum_by_converter(active_forwarders))

    @staticmethod
    def _compute_basis(
        now_us: int,
        evidence: Evidence,
        active_forwarders: dict[str, ForwarderStats],
        totals: dict[str, ConverterTotals],
    ) -> PlanBasis:
        max_listed_count = max(
            (forwarder.listed_converter_count for forwarder in active_forwarders.values()), default=0
        )
        window_ms = min(now_us - evidence.started_at_us, DECAY_TIME_CONSTANT_US) // 1000
        attempts = sum(total.served + total.failed for total in totals.values())
        return PlanBasis(len(active_forwarders), max(0, window_ms), len(totals), max_listed_count, int(attempts))

    def has_enough_evidence(self, basis: PlanBasis) -> bool:
        """Return whether a plan may be computed; right after its start, a planner lacks the reports for it."""
        rules = self.rules
        return (
            basis.forwarders >= max(1.0, rules.min_reporters * rules.fleet_size)
            and basis.window_ms >= rules.min_window_ms
            and basis.covered >= rules.min_covered * basis.listed
            and basis.listed > 0
        )

    def plan(self, now_us: int, evidence: Evidence, term: Term, number: int) -> Plan | None:
        """Return the current plan, or None while there is not enough evidence."""
        active_forwarders = evidence.active_forwarders(now_us)
        self.outlier_reporters = self._find_outlier_reporters(active_forwarders)
        totals = self._sum_by_converter(active_forwarders)
        basis = self._compute_basis(now_us, evidence, active_forwarders, totals)
        if not self.has_enough_evidence(basis):
            return None
        self._update_statuses(now_us, totals, basis)
        entries = self._build_entries(totals, len(active_forwarders))
        return Plan(
            term,
            number,
            basis,
            entries,
            PLAN_VALIDITY_MS,
            PLAN_FADE_MS,
            self._tenant_shares_within_quota(active_forwarders),
            self._class_admission(active_forwarders),
        )

    def ejected_uids(self) -> set[str]:
        """Return the uids of the ejected converters."""
        return {uid for uid, status in self.statuses.items() if status.state is ConverterState.EJECTED}

    def _sum_by_converter(self, active_forwarders: dict[str, ForwarderStats]) -> dict[str, ConverterTotals]:
        """Return the totals by converter over the active forwarders except the outliers."""
        totals: dict[str, ConverterTotals] = {}
        for name, forwarder in active_forwarders.items():
            if name in self.outlier_reporters:
                continue
            for uid, stats in forwarder.converters.items():
                total, recent_counts = totals.setdefault(uid, ConverterTotals()), stats.recent_counts
                weight = report_weight(recent_counts)
                total.served += recent_counts.served * weight
                total.failed += recent_counts.failed * weight
                if recent_counts.served > 0.0:
                    for index, count in enumerate(recent_counts.latencies):
                        if count:
                            total.latencies[index] += count * weight
                total.failure_reporters += recent_counts.failed >= MIN_REPORTED_COUNT
                total.reporters += recent_counts.served + recent_counts.failed >= MIN_REPORTED_COUNT
        return totals

    def _find_outlier_reporters(self, active_forwarders: dict[str, ForwarderStats]) -> set[str]:
        """Return the forwarders for which most attempts fail, at converters that are healthy for the others."""
        totals: dict[str, ConverterTotals] = {}
        for forwarder in active_forwarders.values():
            for uid, stats in forwarder.converters.items():
                total = totals.setdefault(uid, ConverterTotals())
                weight = report_weight(stats.recent_counts)
                total.served += stats.recent_counts.served * weight
                total.failed += stats.recent_counts.failed * weight
        return {name for name, forwarder in active_forwarders.items() if self._is_outlier_reporter(forwarder, totals)}

    @staticmethod
    def _is_outlier_reporter(forwarder: ForwarderStats, totals: dict[str, ConverterTotals]) -> bool:
        recent_by_uid = {uid: stats.recent_counts for uid, stats in forwarder.converters.items()}
        failing_by_uid = {
            uid: recent_counts
            for uid, recent_counts in recent_by_uid.items()
            if recent_counts.failed >= MIN_REPORTED_COUNT
        }
        own_totals = ConverterTotals(
            sum(recent_counts.served for recent_counts in recent_by_uid.values()),
            sum(recent_counts.failed for recent_counts in recent_by_uid.values()),
        )
        if len(failing_by_uid) < MIN_OUTLIER_CONVERTERS or own_totals.failure_share < MIN_OUTLIER_FAILURE_SHARE:
            return False
        other_totals = ConverterTotals(
            sum(
                totals[uid].served - recent_counts.served * report_weight(recent_counts)
                for uid, recent_counts in failing_by_uid.items()
            ),
            sum(
                totals[uid].failed - recent_counts.failed * report_weight(recent_counts)
                for uid, recent_counts in failing_by_uid.items()
            ),
        )
        return (
            other_totals.served + other_totals.failed >= MIN_FAILURES
            and other_totals.failure_share < MAX_HEALTHY_FAILURE_SHARE
        )

    def _is_failing(self, total: ConverterTotals) -> bool:
        return (
            total.failed >= MIN_FAILURES
            and total.failure_share >= MIN_FAILURE_SHARE
            and total.failure_reporters >= min(MIN_FAILURE_REPORTERS, max(1, total.reporters))
        )

    def _update_statuses(self, now_us: int, totals: dict[str, ConverterTotals], basis: PlanBasis) -> None:
        """Eject failing converters, and move the other ejected ones through the steps of their recovery."""
        failing_uids = {uid for uid, total in totals.items() if self._is_failing(total)}
        # If a large share of the converters fails, the cause is assumed to be the load or the network, and ejections
        # would overload the remaining converters.
        self.too_many_converters_fail = len(self.ejected_uids() | failing_uids) > self.rules.max_ejected * max(
            1, basis.listed
        )
        for uid in list(self.statuses):
            if (
                uid not in totals
                and now_us > self.statuses[uid].since_us + STATUS_EXPIRY_FACTOR * DECAY_TIME_CONSTANT_US
            ):
                del self.statuses[uid]  # no active forwarder reports on it any more
        for uid, status in list(self.statuses.items()):
            if uid in failing_uids:
                if status.state is not ConverterState.EJECTED:
                    self.statuses[uid] = ConverterStatus(ConverterState.EJECTED, now_us)
            else:
                self._recover(now_us, uid, status, totals.get(uid, ConverterTotals()))
        for uid in failing_uids - self.statuses.keys():
            self.statuses[uid] = ConverterStatus(ConverterState.EJECTED, now_us)

    def _recover(self, now_us: int, uid: str, status: ConverterStatus, total: ConverterTotals) -> None:
        """Move a converter to the next step of its recovery if that is due; it is healthy after the last step."""
        if status.state is ConverterState.EJECTED:
            is_healthy = total.served >= 1.0 and total.failure_share < MAX_HEALTHY_FAILURE_SHARE
            if is_healthy and now_us >= status.since_us + MIN_EJECTION_US:
                self.statuses[uid] = ConverterStatus(ConverterState.RECOVERING, now_us)
        elif now_us >= status.since_us + RECOVERY_STEP_US:
            if status.step + 1 < len(RECOVERY_WEIGHTS):
                self.statuses[uid] = ConverterStatus(ConverterState.RECOVERING, now_us, status.step + 1)
            else:
                del self.statuses[uid]

    def _build_entries(self, totals: dict[str, ConverterTotals], forwarder_count: int) -> dict[str, ConverterAdvice]:
        """Return the advice on converters that are slow, ejected or recovering."""
        entries = self._build_slow_entries(totals)
        if self.too_many_converters_fail:
            return entries
        trial_share = min(1.0, MAX_TRIAL_FORWARDERS / max(1, forwarder_count))
        for uid, status in self.statuses.items():
            total = totals.get(uid, ConverterTotals())
            if status.state is ConverterState.EJECTED:
                reason = (
                    f"{total.failure_share:.0%} of {total.served + total.failed:.1f} "
                    f"recent ends bad, seen by {total.failure_reporters} of {total.reporters} forwarders"
                )
                entries[uid] = ConverterAdvice(1.0, 0, True, trial_share, reason)
            else:
                entries[uid] = ConverterAdvice(RECOVERY_WEIGHTS[status.step], 1, reason="comes back after a rest")
        return entries

    def _build_slow_entries(self, totals: dict[str, ConverterTotals]) -> dict[str, ConverterAdvice]:
        entries: dict[str, ConverterAdvice] = {}
        median_ms_by_uid = {uid: total.median_ms for uid, total in totals.items() if total.served >= MIN_RESPONSES}
        median_of_medians_ms = statistics.median(median_ms_by_uid.values()) if median_ms_by_uid else 0.0
        for uid, median_ms in median_ms_by_uid.items():
            if median_ms > SLOW_RATIO * median_of_medians_ms > 0.0 and uid not in self.statuses:
                ratio = median_ms / median_of_medians_ms
                entries[uid] = ConverterAdvice(
                    max(MIN_WEIGHT, 1.0 / ratio),
                    1 if ratio > VERY_SLOW_RATIO else 0,
                    reason=f"its median answer takes {median_ms:.0f} ms, {ratio:.1f} times the usual",
                )
        return entries

    def _tenant_shares_within_quota(self, active_forwarders: dict[str, ForwarderStats]) -> list[float]:
        """Return by tenant the share of its requests that is within its quota; empty while there is no overload."""
        arrivals = [0.0] * len(self.tenant_shares)
        rejections = 0.0
        for name, forwarder in active_forwarders.items():
            if name in self.outlier_reporters:
                continue
            rejections += forwarder.recent_rejections
            for index, count in enumerate(forwarder.recent_arrivals[: len(arrivals)]):
                arrivals[index] += count
        total_arrivals = sum(arrivals)
        if total_arrivals <= 0.0 or rejections < MIN_OVERLOAD_REJECTION_SHARE * total_arrivals:
            return []
        return [
            min(1.0, share * total_arrivals / count) if count > 0.0 else 1.0
            for share, count in zip(self.tenant_shares, arrivals, strict=True)
        ]

    def _class_admission(self, active_forwarders: dict[str, ForwarderStats]) -> list[float]:
        """Return by class the share of arrivals that is within its limit; empty if no class exceeds its limit."""
        rates_per_s = [0.0] * len(self.class_limits)
        for forwarder in active_forwarders.values():
            for index, count in enumerate(forwarder.recent_class_arrivals[: len(rates_per_s)]):
                # at a constant rate, a decaying count converges to the rate times the time constant
                rates_per_s[index] += count / (DECAY_TIME_CONSTANT_US / 1e6)
        admission = [
            min(1.0, limit / rate_per_s) if limit > 0.0 and rate_per_s > 0.0 else 1.0
            for limit, rate_per_s in zip(self.class_limits, rates_per_s, strict=True)
        ]
        return admission if min(admission, default=1.0) < 1.0 else []
