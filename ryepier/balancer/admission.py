"""Admission control: how much is admitted, from whom, and the priority of a request."""

from collections.abc import Sequence

from ryepier.balancer import tuning
from ryepier.balancer.estimates import RequestEstimates, decayed_rate
from ryepier.balancer.events import RequestArrived, RetryStormUpdated
from ryepier.balancer.settings import Settings
from ryepier.balancer.upstream import PendingRequest


class AdmissionRate:
    """The share of selections in one pool that may take a slot: it falls while all answers are slow."""

    def __init__(self, rates_updated_us: int) -> None:
        """Start with full admission, without measurements, at `rates_updated_us`."""
        self.rates_updated_us = rates_updated_us
        self.admitted_share = 1.0
        self.credit = 1.0  # selections admitted and not yet used
        self.load = 0.0  # moving average of the latency, relative to the slow one
        self.send_rate = 0.0  # attempts per second
        self.burst_rate = 0.0  # the same over the last moments only

    def add_credit(self) -> None:
        """Count one request that wants a slot."""
        self.credit = min(self.credit + self.admitted_share, tuning.MAX_ADMISSION_CREDIT)

    def use_credit(self) -> None:
        """Count one selection that took a slot."""
        self.credit = max(0.0, self.credit - 1.0)

    def count_attempt(self, now_us: int) -> None:
        """Update the rates with one attempt."""
        since_us = now_us - self.rates_updated_us
        self.rates_updated_us = now_us
        self.send_rate = decayed_rate(self.send_rate, 1.0, since_us, tuning.RATE_TIME_CONSTANT_US)
        self.burst_rate = decayed_rate(self.burst_rate, 1.0, since_us, tuning.BURST_TIME_CONSTANT_US)

    def is_overloaded(self) -> bool:
        """Return whether answers are slow in the mean; some are slow by chance at any load."""
        return self.load > tuning.TARGET_LOAD

    def observe(self, load: float) -> None:
        """Adapt to the load that one answer shows.

        Admission falls at once while queues stay, but not for one slow answer among quick ones.
        """
        self.load += (load - self.load) / tuning.LOAD_WINDOW
        is_quick = load < tuning.TARGET_LOAD
        if not is_quick and not self.is_overloaded():
            return
        # By the long memory alone, a start or a burst would be thinned as if answers were few.
        rates = (self.send_rate, self.burst_rate)
        sends_per_s = min(rates) if is_quick else max(rates)
        gain = tuning.ADMISSION_GAIN / max(1.0, sends_per_s)
        factor = max(tuning.MIN_ADMISSION_FACTOR, 1.0 + gain * (tuning.TARGET_LOAD - load))
        self.admitted_share = min(1.0, max(self.admitted_share * factor, tuning.MIN_ADMISSION_RATE))


class EvenSampler:
    """Admits a share of the arrivals of each kind, spread evenly by credit instead of by chance."""

    def __init__(self) -> None:
        """Start without credit."""
        self.credits: dict[int, float] = {}

    def admits(self, key: int, share: float) -> bool:
        """Return whether one more arrival of a kind is within the share of them to admit."""
        credit = self.credits.get(key, 0.0) + share
        self.credits[key] = credit - float(credit >= 1.0)
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
        self.tenant_arrivals = [0.0 for _ in settings.tenants]  # decaying counts
        self.total_allowance_per_s = max(1.0, sum(tenant.allowance_per_s for tenant in settings.tenants))
        self.unsent_share = 0.0  # moving average of arrivals that found no slot
        self.overloaded = False  # as last logged

    def observe_arrival(self, event: RequestArrived) -> None:
        """Count an arrival for its tenant."""
        if event.tenant < len(self.tenant_arrivals):
            remaining = 1.0 - 1.0 / tuning.TENANT_WINDOW
            self.tenant_arrivals = [count * remaining for count in self.tenant_arrivals]
            self.tenant_arrivals[event.tenant] += 1.0

    def observe_placement(self, sent: bool) -> bool:
        """Count whether an arrival was sent at once. Returns whether the sidecar is overloaded."""
        self.unsent_share += (float(not sent) - self.unsent_share) / tuning.PLACEMENT_WINDOW
        threshold = tuning.OVERLOAD_END_SHARE if self.overloaded else tuning.OVERLOAD_START_SHARE
        return self.unsent_share > threshold

    def admits(self, event: RequestArrived) -> bool:
        """Return whether a request is admitted by the plan's limit of its class and, in a storm, of
        retries."""
        class_index = event.class_index
        limits = self.class_admission
        if class_index < len(limits) and not self.class_sampler.admits(class_index, limits[class_index]):
            return False
        if not self.storm.active or event.retry_number == 0:
            return True
        return self.retry_sampler.admits(event.tenant, self._retry_admission(event))

    def _retry_admission(self, event: RequestArrived) -> float:
        """Return the share of retries like this one to admit in the current storm."""
        storm = self.storm
        share = 1.0
        if storm.admission:
            share = storm.admission[min(event.retry_number, len(storm.admission) - 1)]
        if event.tenant < len(storm.tenant_admission):
            share *= storm.tenant_admission[event.tenant]
        return share

    def priority(self, request: PendingRequest) -> float:
        """Return the priority weight per slot time of a request; it is less for a tenant over its quota, and
        in a storm for a retry."""
        event = request.event
        weight = request.request_class.priority_weight
        if not self.settings.weight_by_work:
            weight /= self.estimates.mean_latency_us[event.class_index]
        if self.tenant_weight or self.settings.tenants:
            weight *= self._tenant_factor(event.tenant)
        if self.storm.active:
            weight *= tuning.RETRY_PRIORITY_FACTOR**event.retry_number
        return weight

    def _tenant_factor(self, tenant: int) -> float:
        """Return the factor (over_quota_weight to 1) of a tenant's priority.

        Its quota is judged as planned. Without a plan it is judged among the tenants that arrive here, as a
        sidecar does not know the total rates.
        """
        if tenant < len(self.tenant_weight):
            return self._weight_at_share(self.tenant_weight[tenant])
        if tenant < len(self.settings.tenants):
            allowed_share = self.settings.tenants[tenant].allowance_per_s / self.total_allowance_per_s
            arrived_share = self.tenant_arrivals[tenant] / sum(self.tenant_arrivals)
            return self._weight_at_share(min(1.0, allowed_share / arrived_share))
        # An unknown tenant has no quota.
        return self.settings.over_quota_weight if self.settings.tenants else 1.0

    def _weight_at_share(self, share_within_quota: float) -> float:
        """Return the weight of a tenant with this share of its requests inside its quota."""
        over_quota_weight = self.settings.over_quota_weight
        return over_quota_weight + (1.0 - over_quota_weight) * share_within_quota
