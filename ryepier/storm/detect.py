"""Whether retries are a storm, how much of it may come in, and when the rest is told to come back.

Pure: counts and times in, `StormUpdated` out. Rates are a second's; times whole microseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ryepier.balancer.interface import RetryStormUpdated

TRIES = 5  # first tries, and later ones by their number; the last stands for all beyond
FAST_US = 1_000_000  # memory of what goes on now
USUAL_US = 60_000_000  # and of what is usual
KNOWN_US = 4_000_000  # before, nothing is called usual
LEAST_RATE = 4.0  # arrivals a second below which nothing is a storm
OPENS_SHARE = 0.3  # of the arrivals that are retries
OPENS_UNSERVED = 0.15  # share of the arrivals that are not served
CLOSES_SHARE = 0.1
CLOSES_UNSERVED = 0.05
CLOSES_AFTER_US = 2_000_000  # for so long, so that it does not swing
SURGE = 1.5  # times the usual first tries: the demand is real, and damping retries would not mend it
AFTER_SURGE_US = 5 * FAST_US  # what was refused in a surge still comes again, and the rates still fall
OUTAGE_SERVED = 0.3  # share served below which there is an outage
JUST_ENDED_US = 30_000_000
REFUSED = 0.3  # share of first tries refused from which later ones are held back further
BACK_OFF, COME_ON, STEP = 0.8, 1.25, 0.02  # by what the share let in changes each tick; it is found out by trying
LEAST_ADMITTED = 0.05  # hazard: where first tries are refused for another reason, holding back all mends nothing
GROWTH = 2.0  # what recovers serves so many times as much by the time that they are back
LEAST_WINDOW_US = 200_000
LONGEST_WINDOW_US = 30_000_000


@dataclass(frozen=True, slots=True)
class Evidence:
    """Why it is a storm, or is none."""

    demand: float  # arrivals a second
    served: float
    later_share: float  # of the arrivals that are retries
    surge: float  # first tries beside the usual; 0 = not known
    outage_ended_us: int | None  # so long ago; None: not of late

    def __str__(self) -> str:
        usual = f"first tries {self.surge:.2f} of the usual" if self.surge else "nothing known as usual"
        ended = "" if self.outage_ended_us is None else f", an outage over {self.outage_ended_us / 1e6:.1f} s ago"
        return (
            f"{self.demand:.0f} a second come, {self.served:.0f} served, {self.later_share:.0%} are retries, "
            f"{usual}{ended}"
        )


@dataclass(slots=True)
class _Counts:
    """Since the last tick."""

    tries: list[int] = field(default_factory=lambda: [0] * TRIES)
    tenants: dict[int, int] = field(default_factory=dict)
    served: int = 0
    refused_first: int = 0


class Detector:
    """One sidecar's view; told of each arrival and each end, asked now and then."""

    def __init__(self, now_us: int, tenant_shares: list[float], longest_wait_us: int, whole_seconds: bool) -> None:
        self.tenant_shares = tenant_shares
        self.longest_wait_us = longest_wait_us
        self.whole_seconds = whole_seconds
        self.counts = _Counts()
        self.begun_us = self.ticked_us = now_us
        self.rates = [0.0] * TRIES
        self.tenants: dict[int, float] = {}
        self.served = 0.0
        self.refused_first = 0.0
        self.admitted = 1.0  # share of second tries let in; of each further one a power of it
        self.usual_first = 0.0
        self.known_us = 0  # how much of usual times has been seen
        self.outage = False
        self.outage_ended_us: int | None = None
        self.active = False
        self.calm_since_us: int | None = None
        self.surged_us = now_us - AFTER_SURGE_US  # when first tries were last far beyond the usual

    def arrived(self, tries: int, tenant: int) -> None:
        self.counts.tries[min(tries, TRIES - 1)] += 1
        self.counts.tenants[tenant] = self.counts.tenants.get(tenant, 0) + 1

    def was_served(self) -> None:
        self.counts.served += 1

    def was_refused(self, tries: int) -> None:
        self.counts.refused_first += int(tries == 0)

    def tick(self, now_us: int) -> tuple[RetryStormUpdated, Evidence, bool]:
        """What the module is told now, why, and whether a storm has just opened or closed."""
        self._fade(now_us)
        evidence = self._evidence(now_us)
        if evidence.surge > SURGE:
            self.surged_us = now_us
        was = self.active
        if not was:
            self.admitted = 1.0
        elif self.refused_first > REFUSED * self.rates[0]:
            self.admitted = max(LEAST_ADMITTED, self.admitted * BACK_OFF)
        else:
            self.admitted = min(1.0, self.admitted * COME_ON + STEP)
        if self.active:
            self._close(now_us, evidence)
        else:
            self.active = now_us - self.surged_us >= AFTER_SURGE_US and self._opens(evidence)
            self.calm_since_us = None
        return self._told() if self.active else RetryStormUpdated(), evidence, was != self.active

    def _fade(self, now_us: int) -> None:
        since_us = max(1, now_us - self.ticked_us)
        self.ticked_us = now_us
        counts, self.counts = self.counts, _Counts()
        keep = math.exp(-since_us / FAST_US)
        for number, count in enumerate(counts.tries):
            self.rates[number] += (count * 1e6 / since_us - self.rates[number]) * (1 - keep)
        for tenant in self.tenants.keys() | counts.tenants.keys():
            rate = self.tenants.get(tenant, 0.0)
            self.tenants[tenant] = rate + (counts.tenants.get(tenant, 0) * 1e6 / since_us - rate) * (1 - keep)
        self.served += (counts.served * 1e6 / since_us - self.served) * (1 - keep)
        self.refused_first += (counts.refused_first * 1e6 / since_us - self.refused_first) * (1 - keep)
        demand = sum(self.rates)
        outage = demand >= LEAST_RATE and self.served < OUTAGE_SERVED * demand
        if self.outage and not outage:
            self.outage_ended_us = now_us
        self.outage = outage
        if not outage and not self.active:
            # hazard: what goes on in an outage or a storm is not usual, and an average of it would excuse the next
            # hazard: so would a surge soon after the start, when little is known
            known_us = USUAL_US if now_us - self.surged_us < AFTER_SURGE_US else self.known_us + since_us
            slow = since_us / min(USUAL_US, known_us)
            self.usual_first += (counts.tries[0] * 1e6 / since_us - self.usual_first) * slow
            self.known_us += since_us

    def _evidence(self, now_us: int) -> Evidence:
        demand = sum(self.rates)
        later = sum(self.rates[1:]) / demand if demand > 0 else 0.0
        surge = self.rates[0] / self.usual_first if self.known_us >= KNOWN_US and self.usual_first > 0 else 0.0
        ended = None
        if self.outage_ended_us is not None and now_us - self.outage_ended_us < JUST_ENDED_US:
            ended = now_us - self.outage_ended_us
        return Evidence(demand, self.served, later, surge, ended)

    @staticmethod
    def _unserved(evidence: Evidence) -> float:
        return 1.0 - min(1.0, evidence.served / evidence.demand) if evidence.demand > 0 else 0.0

    def _opens(self, evidence: Evidence) -> bool:
        if evidence.demand < LEAST_RATE:
            return False
        return evidence.later_share >= OPENS_SHARE and self._unserved(evidence) >= OPENS_UNSERVED

    def _close(self, now_us: int, evidence: Evidence) -> None:
        calm = evidence.later_share <= CLOSES_SHARE or self._unserved(evidence) <= CLOSES_UNSERVED
        calm |= evidence.surge > SURGE or evidence.demand < LEAST_RATE
        if not calm:
            self.calm_since_us = None
        elif self.calm_since_us is None:
            self.calm_since_us = now_us
        elif now_us - self.calm_since_us >= CLOSES_AFTER_US:
            self.active = False

    def _told(self) -> RetryStormUpdated:
        admit = [self.admitted**number for number in range(TRIES)]
        # those outside come back within the time that it takes to serve as many at the rate of now
        outside = max(0.0, sum(self.rates) - self.served) * FAST_US / 1e6
        window_us = min(LONGEST_WINDOW_US, 1e6 * outside / max(GROWTH * self.served, LEAST_RATE))
        waits = [int(min(self.longest_wait_us, max(LEAST_WINDOW_US, window_us) * 2**number)) for number in range(TRIES)]
        return RetryStormUpdated(True, admit, waits, self._tenant_admit(), self.whole_seconds)

    def _tenant_admit(self) -> list[float]:
        """Of each tenant's later tries: one whose demand is beyond its share does not come back at others' cost."""
        if len(self.tenant_shares) < 2:
            return []
        whole = sum(self.rates)
        return [
            min(1.0, share * whole / self.tenants[index]) if self.tenants.get(index, 0.0) > 0 else 1.0
            for index, share in enumerate(self.tenant_shares)
        ]
