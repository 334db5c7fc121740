"""Admission control: how much is admitted, from whom, and the priority of a request."""

from collections.abc import Sequence
from dataclasses import dataclass

from ryepier.balancer import tuning
from ryepier.balancer.estimates import RequestEstimates, decayed_rate
from ryepier.balancer.events import RequestArrived, RetryStormUpdated
from ryepier.balancer.settings import Settings
from ryepier.balancer.upstream import PendingRequest


@dataclass(slots=True)
class AdmissionRate:
    """The share of selections in one pool that may take a slot: it falls while all answers are slow."""

    rates_updated_us: int
    rate: float = 1.0
    credit: float = 1.0  # selections admitted and not yet used
    load: float = 0.0  # moving average of the latency, relative to the slow one
    send_rate: float = 0.0  # attempts per second
    burst_rate: float = 0.0  # the same over the last moments only

    def add_credit(self) -> None:
        """Count one request that wants a slot."""
        self.credit = min(self.credit + self.rate, tuning.MAX_ADMISSION_CREDIT)

    def use_credit(self) -> None:
        """Count one selection that took a slot."""
        self.credit = max(0.0, self.credit - 1.0)

    def count_attempt(self, now_us: int) -> None:
        """Update the rates with one attempt."""
        since_us, self.rates_updated_us = now_us - self.rates_updated_us, now_us
        self.send_rate = decayed_rate(self.send_rate, 1.0, since_us, tuning.RATE_MEMORY_US)
        self.burst_rate = decayed_rate(self.burst_rate, 1.0, since_us, tuning.BURST_MEMORY_US)

    def is_overloaded(self) -> bool:
        """Return whether answers are slow in the mean; some are slow by chance at any load."""
        return self.load > tuning.TARGET_LOAD

    def observe(self, load: float) -> None:
        """Adapt to the load that one answer shows: at once if queues stay for seconds, but not for one slow
        answer among quick ones."""
        self.load += (load - self.load) / tuning.LOAD_MEMORY
        # By the long memory alone, a start or a burst would be thinned as if answers were few.
        rates = self.send_rate, self.burst_rate
        sends_per_s = min(rates) if load < tuning.TARGET_LOAD else max(rates)
        changes = load < tuning.TARGET_LOAD or self.is_overloaded()
        gain = tuning.ADMISSION_GAIN / max(1.0, sends_per_s) if changes else 0.0
        self.rate *= max(0.3, 1.0 + gain * (tuning.TARGET_LOAD - load))
        self.rate = min(1.0, max(self.rate, tuning.MIN_ADMISSION_RATE))


class EvenSampler:
    """Admits a share of the arrivals of each kind, spread evenly by credit instead of by chance."""

    def __init__(self) -> None:
        """Start without credit."""
        self.credits: dict[int, float] = {}

    def admits(self, index: int, share: float) -> bool:
        """Return whether one more arrival of a kind is within the share of them to admit."""
        credit = self.credits.get(index, 0.0) + share
        self.credits[index] = credit - float(credit >= 1.0)
        return credit >= 1.0


class AdmissionControl:
    """Planned limits of classes, retry storms, tenants' quotas, and the priority of a request."""

    def __init__(self, settings: Settings, estimates: RequestEstimates) -> None:
        """Start without a plan or a storm."""
        self.settings = settings
        self.estimates = estimates
        self.storm = RetryStormUpdated()  # as last reported
        self.class_admission: Sequence[float] = ()  # by class, as planned; empty: all are admitted
        self.tenant_weight: Sequence[float] = ()  # by tenant, as planned; empty: judged by what arrives here
        self.class_sampler = EvenSampler()
        self.retry_sampler = EvenSampler()  # by tenant
        self.tenant_arrivals = [0.0 for _ in settings.tenants]  # of each, the old ones fading
        self.allowed_per_s = max(1.0, sum(tenant.allowance_per_s for tenant in settings.tenants))
        self.unsent_share = 0.0  # moving average of arrivals that found no slot
        self.overloaded = False  # as last logged

    def observe_arrival(self, event: RequestArrived) -> None:
        """Count an arrival for its tenant."""
        if event.tenant < len(self.tenant_arrivals):
            remaining = 1.0 - 1.0 / tuning.TENANT_MEMORY
            self.tenant_arrivals = [count * remaining for count in self.tenant_arrivals]
            self.tenant_arrivals[event.tenant] += 1.0

    def observe_placement(self, sent: bool) -> bool:
        """Count whether an arrival was sent at once. Returns whether the sidecar is overloaded."""
        self.unsent_share += (float(not sent) - self.unsent_share) / tuning.TENANT_MEMORY
        return self.unsent_share > (
            tuning.OVERLOAD_END_SHARE if self.overloaded else tuning.OVERLOAD_START_SHARE
        )

    def admits(self, event: RequestArrived) -> bool:
        """Return whether the plan's limit of its class and, in a storm, that of retries admit a request."""
        index, storm = event.class_index, self.storm
        limits = self.class_admission
        if index < len(limits) and not self.class_sampler.admits(index, limits[index]):
            return False
        if not storm.active or event.retry_number == 0:
            return True
        share = storm.admission[min(event.retry_number, len(storm.admission) - 1)] if storm.admission else 1.0
        if event.tenant < len(storm.tenant_admission):
            share *= storm.tenant_admission[event.tenant]
        return self.retry_sampler.admits(event.tenant, share)

    def priority(self, request: PendingRequest) -> float:
        """Return the priority weight per slot time of a request, less where its tenant exceeds its quota: as
        planned, or else among the tenants that arrive here, as a sidecar does not know the total rates."""
        settings, event = self.settings, request.event
        weight = request.request_class.priority_weight
        if not settings.weight_by_work:
            weight /= self.estimates.mean_latency_us[event.class_index]
        if event.tenant < len(self.tenant_weight):
            weight *= self._over_quota(self.tenant_weight[event.tenant])
        elif event.tenant < len(settings.tenants):
            allowed = settings.tenants[event.tenant].allowance_per_s / self.allowed_per_s
            arrived = self.tenant_arrivals[event.tenant] / sum(self.tenant_arrivals)
            weight *= self._over_quota(min(1.0, allowed / arrived))
        elif settings.tenants:  # a tenant that is not known has no quota
            weight *= settings.over_quota_weight
        return weight * tuning.RETRY_PRIORITY_FACTOR**event.retry_number if self.storm.active else weight

    def _over_quota(self, within: float) -> float:
        """Return the weight of a tenant of whose requests the share `within` is inside its quota."""
        return self.settings.over_quota_weight + (1.0 - self.settings.over_quota_weight) * within
