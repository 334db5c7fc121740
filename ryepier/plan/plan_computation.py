"""Computes plans from evidence: which converters fail, are slow or healthy.

Pure: a function of the evidence, the earlier statuses, and time. Forwarders hold plans to rules of their own
(`plan_follower.py`), and a planner publishes nothing that would not pass them.
"""

from __future__ import annotations

import enum
import statistics
from dataclasses import dataclass, field

from ryepier.plan.evidence import RECENT_MEMORY_US, DecayingCounts, Evidence, ForwarderStats
from ryepier.plan.messages import LATENCY_BUCKETS, ConverterAdvice, Plan, PlanBasis, Term
from ryepier.plan.plan_follower import AcceptanceRules

MIN_FAILURES = 2.0  # recent failed attempts at a converter; fewer may be chance
FAILING_SHARE = 0.5  # of its recent attempts; below it, some requests may fail by themselves
HEALTHY_SHARE = 0.25  # of its recent attempts
MIN_WITNESSES = 2  # forwarders that must have observed it; one alone may be faulty itself
MIN_WITNESS_FAILURES = 0.5  # recent failures from which a forwarder is a witness against a converter
MAX_COUNTED_ATTEMPTS = 3.0  # attempts of one forwarder at one converter that count
OUTLIER_SHARE = 0.5  # of failures at converters that are healthy for others, from which a forwarder is an outlier
MIN_OUTLIER_CONVERTERS = 3  # such converters, from which a forwarder is an outlier
MAX_TRIAL_FORWARDERS = 2  # that may try an ejected converter at a time
MIN_EJECTION_US = 1_000_000
RECOVERY_STEP_US = 2_000_000  # time at each recovery weight
RECOVERY_WEIGHTS = (0.25, 0.5)  # of its usual weight, one after the other
MIN_RESPONSES = 5.0  # recent responses that make a converter's typical latency
SLOW_RATIO = 2.0  # times the median latency of all converters
VERY_SLOW_RATIO = 3.0  # times the median; from here on each forwarder sends one request at a time
MIN_WEIGHT = 0.2  # of a slow converter
OVERLOAD_REJECTIONS = 0.02  # share of arrivals rejected, from which tenants' quotas matter
PLAN_VALIDITY_MS = 2_000  # four plan intervals
PLAN_FADE_MS = 30_000  # a planner is restarted within this time
STATUS_EXPIRY_FACTOR = 15  # times the memory of recent counts, until an unlisted converter's status is dropped


class ConverterState(enum.StrEnum):
    """Why a converter is not treated as usual; the values are those of the snapshot."""

    EJECTED = "rests"
    RECOVERING = "returns"


@dataclass(slots=True)
class ConverterStatus:
    """A converter that is not treated as usual."""

    state: ConverterState
    since_us: int
    step: int = 0  # of the recovery


def report_weight(recent: DecayingCounts) -> float:
    """Return the factor of a forwarder's recent counts at one converter, so that none outweighs the others."""
    return min(1.0, MAX_COUNTED_ATTEMPTS / max(MAX_COUNTED_ATTEMPTS, recent.served + recent.failed))


@dataclass(slots=True)
class ConverterTotals:
    """Recent counts of one converter over all forwarders."""

    served: float = 0.0
    failed: float = 0.0
    latencies: list[float] = field(default_factory=lambda: [0.0] * LATENCY_BUCKETS)
    witnesses: int = 0  # forwarders with failures
    reporters: int = 0  # forwarders with attempts

    @property
    def median_ms(self) -> float:
        """Median latency, evenly within a bucket. By the mean, a few expensive requests would make a converter
        slow."""
        half, counted = sum(self.latencies) / 2, 0.0
        for index, count in enumerate(self.latencies):
            if count > 0.0 and counted + count >= half:
                low = float(2 ** (index - 1)) if index else 0.0
                return low + (2.0**index - low) * (half - counted) / count
            counted += count
        return 0.0

    @property
    def failure_share(self) -> float:
        """Share of the attempts that failed."""
        return self.failed / (self.served + self.failed) if self.served + self.failed > 0 else 0.0


class Planner:
    """Keeps the converters' statuses and computes plans."""

    def __init__(
        self, rules: AcceptanceRules, tenant_shares: list[float], class_limits: list[float] | None = None
    ) -> None:
        """Start without statuses. `class_limits` are arrivals per second over all forwarders; 0 is no limit."""
        self.rules = rules
        self.class_limits = class_limits or []
        self.tenant_shares = tenant_shares
        self.statuses: dict[str, ConverterStatus] = {}
        self.outlier_reporters: set[str] = set()
        self.fleet_is_failing = False

    def basis(self, now_us: int, evidence: Evidence) -> PlanBasis:
        """Return the basis of a plan computed now."""
        active = evidence.active(now_us)
        return self._basis_of(now_us, evidence, active, self._totals(active))

    @staticmethod
    def _basis_of(
        now_us: int, evidence: Evidence, active: dict[str, ForwarderStats], totals: dict[str, ConverterTotals]
    ) -> PlanBasis:
        listed = max((forwarder.listed for forwarder in active.values()), default=0)
        window_ms = min(now_us - evidence.since_us, RECENT_MEMORY_US) // 1000
        attempts = sum(total.served + total.failed for total in totals.values())
        return PlanBasis(len(active), max(0, window_ms), len(totals), listed, int(attempts))

    def has_enough_evidence(self, basis: PlanBasis) -> bool:
        """Return whether a plan may be computed: a planner that has just started knows nothing."""
        rules = self.rules
        return (
            basis.forwarders >= max(1.0, rules.min_reporters * rules.fleet)
            and basis.window_ms >= rules.min_window_ms
            and basis.covered >= rules.min_covered * basis.listed
            and basis.listed > 0
        )

    def plan(self, now_us: int, evidence: Evidence, term: Term, number: int) -> Plan | None:
        """Return the current plan, or None while there is not enough evidence."""
        active = evidence.active(now_us)
        self.outlier_reporters = self._find_outlier_reporters(active)
        totals = self._totals(active)
        basis = self._basis_of(now_us, evidence, active, totals)
        if not self.has_enough_evidence(basis):
            return None
        self._update_statuses(now_us, totals, basis)
        entries = self._entries(totals, len(active))
        return Plan(
            term,
            number,
            basis,
            entries,
            PLAN_VALIDITY_MS,
            PLAN_FADE_MS,
            self._tenant_weights(active),
            self._class_admission(active),
        )

    def ejected(self) -> set[str]:
        """Return the uids of the ejected converters."""
        return {uid for uid, status in self.statuses.items() if status.state is ConverterState.EJECTED}

    def _totals(self, active: dict[str, ForwarderStats]) -> dict[str, ConverterTotals]:
        """Return the totals by converter, over the active forwarders."""
        totals: dict[str, ConverterTotals] = {}
        for name, forwarder in active.items():
            if name in self.outlier_reporters:
                continue
            for uid, stats in forwarder.converters.items():
                total, recent = totals.setdefault(uid, ConverterTotals()), stats.recent
                weight = report_weight(recent)
                total.served += recent.served * weight
                total.failed += recent.failed * weight
                if recent.served > 0.0:
                    for index, count in enumerate(recent.latencies):
                        if count:
                            total.latencies[index] += count * weight
                total.witnesses += recent.failed >= MIN_WITNESS_FAILURES
                total.reporters += recent.served + recent.failed >= MIN_WITNESS_FAILURES
        return totals

    def _find_outlier_reporters(self, active: dict[str, ForwarderStats]) -> set[str]:
        """Return the forwarders for which most attempts fail, at converters that are healthy for all others."""
        all_totals: dict[str, ConverterTotals] = {}
        for forwarder in active.values():
            for uid, stats in forwarder.converters.items():
                total = all_totals.setdefault(uid, ConverterTotals())
                weight = report_weight(stats.recent)
                total.served += stats.recent.served * weight
                total.failed += stats.recent.failed * weight
        return {name for name, forwarder in active.items() if self._is_outlier_reporter(forwarder, all_totals)}

    @staticmethod
    def _is_outlier_reporter(forwarder: ForwarderStats, all_totals: dict[str, ConverterTotals]) -> bool:
        recent_by_uid = {uid: stats.recent for uid, stats in forwarder.converters.items()}
        failing = {uid: recent for uid, recent in recent_by_uid.items() if recent.failed >= MIN_WITNESS_FAILURES}
        own = ConverterTotals(
            sum(recent.served for recent in recent_by_uid.values()),
            sum(recent.failed for recent in recent_by_uid.values()),
        )
        if len(failing) < MIN_OUTLIER_CONVERTERS or own.failure_share < OUTLIER_SHARE:
            return False
        others = ConverterTotals(
            sum(all_totals[uid].served - recent.served * report_weight(recent) for uid, recent in failing.items()),
            sum(all_totals[uid].failed - recent.failed * report_weight(recent) for uid, recent in failing.items()),
        )
        return others.served + others.failed >= MIN_FAILURES and others.failure_share < HEALTHY_SHARE

    def _is_failing(self, total: ConverterTotals) -> bool:
        return (
            total.failed >= MIN_FAILURES
            and total.failure_share >= FAILING_SHARE
            and total.witnesses >= min(MIN_WITNESSES, max(1, total.reporters))
        )

    def _update_statuses(self, now_us: int, totals: dict[str, ConverterTotals], basis: PlanBasis) -> None:
        """Eject failing converters, and let the others recover step by step."""
        failing = {uid for uid, total in totals.items() if self._is_failing(total)}
        # If much of the fleet fails, it is the load or the network: ejections would overload the others.
        self.fleet_is_failing = len(self.ejected() | failing) > self.rules.max_ejected * max(1, basis.listed)
        for uid in list(self.statuses):
            if uid not in totals and now_us > self.statuses[uid].since_us + STATUS_EXPIRY_FACTOR * RECENT_MEMORY_US:
                del self.statuses[uid]  # no forwarder lists it any more
        for uid, status in list(self.statuses.items()):
            if uid in failing:
                if status.state is not ConverterState.EJECTED:
                    self.statuses[uid] = ConverterStatus(ConverterState.EJECTED, now_us)
            else:
                self._recover(now_us, uid, status, totals.get(uid, ConverterTotals()))
        for uid in failing - self.statuses.keys():
            self.statuses[uid] = ConverterStatus(ConverterState.EJECTED, now_us)

    def _recover(self, now_us: int, uid: str, status: ConverterStatus, total: ConverterTotals) -> None:
        """Take the next step of a converter's recovery, if it is due."""
        if status.state is ConverterState.EJECTED:
            healthy = total.served >= 1.0 and total.failure_share < HEALTHY_SHARE
            if healthy and now_us >= status.since_us + MIN_EJECTION_US:
                self.statuses[uid] = ConverterStatus(ConverterState.RECOVERING, now_us)
        elif now_us >= status.since_us + RECOVERY_STEP_US:
            if status.step + 1 < len(RECOVERY_WEIGHTS):
                self.statuses[uid] = ConverterStatus(ConverterState.RECOVERING, now_us, status.step + 1)
            else:
                del self.statuses[uid]

    def _entries(self, totals: dict[str, ConverterTotals], forwarders: int) -> dict[str, ConverterAdvice]:
        """Return the advice on converters that are slow, ejected or recovering."""
        entries = self._slow_entries(totals)
        if self.fleet_is_failing:
            return entries
        trial_share = min(1.0, MAX_TRIAL_FORWARDERS / max(1, forwarders))
        for uid, status in self.statuses.items():
            total = totals.get(uid, ConverterTotals())
            if status.state is ConverterState.EJECTED:
                reason = (
                    f"{total.failure_share:.0%} of {total.served + total.failed:.1f} "
                    f"recent ends bad, seen by {total.witnesses} of {total.reporters} forwarders"
                )
                entries[uid] = ConverterAdvice(1.0, 0, True, trial_share, reason)
            else:
                entries[uid] = ConverterAdvice(RECOVERY_WEIGHTS[status.step], 1, reason="comes back after a rest")
        return entries

    def _slow_entries(self, totals: dict[str, ConverterTotals]) -> dict[str, ConverterAdvice]:
        entries: dict[str, ConverterAdvice] = {}
        latencies = {uid: total.median_ms for uid, total in totals.items() if total.served >= MIN_RESPONSES}
        typical_ms = statistics.median(latencies.values()) if latencies else 0.0
        for uid, median_ms in latencies.items():
            if median_ms > SLOW_RATIO * typical_ms > 0.0 and uid not in self.statuses:
                ratio = median_ms / typical_ms
                entries[uid] = ConverterAdvice(
                    max(MIN_WEIGHT, 1.0 / ratio),
                    1 if ratio > VERY_SLOW_RATIO else 0,
                    reason=f"its median answer takes {median_ms:.0f} ms, {ratio:.1f} times the usual",
                )
        return entries

    def _tenant_weights(self, active: dict[str, ForwarderStats]) -> list[float]:
        """Return by tenant how much of its requests is within its quota; nothing while there is capacity for all."""
        counted = [0.0] * len(self.tenant_shares)
        rejections = 0.0
        for name, forwarder in active.items():
            if name in self.outlier_reporters:
                continue
            rejections += forwarder.recent_rejections
            for index, count in enumerate(forwarder.recent_arrivals[: len(counted)]):
                counted[index] += count
        total = sum(counted)
        if total <= 0.0 or rejections < OVERLOAD_REJECTIONS * total:
            return []
        return [
            min(1.0, share * total / count) if count > 0.0 else 1.0
            for share, count in zip(self.tenant_shares, counted, strict=True)
        ]

    def _class_admission(self, active: dict[str, ForwarderStats]) -> list[float]:
        """Return by class the share of arrivals within its limit; nothing if none exceeds its limit."""
        per_s = [0.0] * len(self.class_limits)
        for forwarder in active.values():
            for index, count in enumerate(forwarder.recent_class_arrivals[: len(per_s)]):
                # a count that decays with this memory is the rate times the memory
                per_s[index] += count / (RECENT_MEMORY_US / 1e6)
        admission = [
            min(1.0, limit / rate) if limit > 0.0 and rate > 0.0 else 1.0
            for limit, rate in zip(self.class_limits, per_s, strict=True)
        ]
        return admission if min(admission, default=1.0) < 1.0 else []
