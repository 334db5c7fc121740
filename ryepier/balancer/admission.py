"""Admission control by load, request class, tenant and retry storm, and the priority of a request."""

from collections.abc import Sequence

from ryepier.balancer import tuning
from ryepier.balancer.estimates import RequestEstimates, decayed_rate
from ryepier.balancer.events import RequestArrived, RetryStormUpdated
from ryepier.balancer.settings import Settings
from ryepier.balancer.upstream import PendingRequest


class AdmissionRate:
    """Share of the selections in a pool that may take a slot; falls while answers are slow on average."""

    def __init__(self, rates_updated_at_us: int) -> None:
        """Start with full admission and no measurements; `rates_updated_at_us` is the current time (us)."""
        self.rates_updated_at_us = rates_updated_at_us
        self.admitted_share = 1.0
        self.credit = 1.0  # selections that were admitted and have not taken a slot yet
        self.load = 0.0  # moving average of the latency, relative to the slow latency of the class
        self.send_rate = 0.0  # attempts per second
        self.burst_rate = 0.0  # attempts per second, averaged over a shorter time

    def add_credit(self) -> None:
        """Add the admitted share to the credit, for one request that needs a slot."""
        self.credit = min(self.credit + self.admitted_share, tuning.MAX_ADMISSION_CREDIT)

    def use_credit(self) -> None:
        """Use one credit, for a selection that took a slot."""
        self.credit = max(0.0, self.credit - 1.0)

    def count_attempt(self, now_us: int) -> None:
        """Update the attempt rates with one attempt."""
        elapsed_us = now_us - self.rates_updated_at_us
        self.rates_updated_at_us = now_us
        self.send_rate = decayed_rate(self.send_rate, 1.0, elapsed_us, tuning.RATE_TIME_CONSTANT_US)
        self.burst_rate = decayed_rate(self.burst_rate, 1.0, elapsed_us, tuning.BURST_TIME_CONSTANT_US)

    def is_overloaded(self) -> bool:
        """Return whether answers are slow on average, as single answers may be slow at any load."""
        return self.load > tuning.TARGET_LOAD

    def observe(self, load: float) -> None:
        """Adapt the admitted share to the load that one answer shows.

        While queues persist, each slow answer reduces the share; one slow answer among fast ones does not.
        """
        self.load += (load - self.load) / tuning.LOAD_WINDOW
        is_fast = load < tuning.TARGET_LOAD
        if not is_fast and not self.is_overloaded():
            return
        # The gain of an answer is inversely proportional to the rate of attempts. After a start or in a
        # burst, the long-term rate alone is too low, and each slow answer would cut admission too much.
        rates = (self.send_rate, self.burst_rate)
        sends_per_s = min(rates) if is_fast else max(rates)
        gain = tuning.ADMISSION_GAIN / max(1.0, sends_per_s)
        factor = max(tuning.MIN_ADMISSION_FACTOR, 1.0 + gain * (tuning.TARGET_LOAD - load))
        self.admitted_share = min(1.0, max(self.admitted_share * factor, tuning.MIN_ADMITTED_SHARE))


class EvenSampler:
    """Admits a share of the arrivals of each key, spread evenly by a credit instead of drawn at random."""

    def __init__(self) -> None:
        """Start with no credit for any key."""
        self.credits: dict[int, float] = {}

    def admits(self, key: int, share: float) -> bool:
        """Add `share` to the credit of a key. Returns whether the arrival is admitted, which uses 1
        credit."""
        credit = self.credits.get(key, 0.0) + share
        self.credits[key] = credit - float(credit >= 1.0)
        return credit >= 1.0


class AdmissionControl:
    """Applies planned class limits, retry storm limits and tenant quotas, and computes request priorities."""

    def __init__(self, settings: Settings, estimates: RequestEstimates) -> None:
        """Start without a plan and outside a retry storm."""
        self.settings = settings
        self.estimates = estimates
        self.storm = RetryStormUpdated()  # the latest report on retry storms
        self.class_admission: Sequence[float] = ()  # by class, share of arrivals to admit; empty = all
        # by tenant, the share of its requests that is within its quota; empty = no plan
        self.tenant_shares_within_quota: Sequence[float] = ()
        self.class_sampler = EvenSampler()  # its keys are request classes
        self.retry_sampler = EvenSampler()  # its keys are tenants
        self.tenant_arrivals = [0.0 for _ in settings.tenants]  # exponentially decaying counts, by tenant
        self.total_allowance_per_s = max(1.0, sum(tenant.allowance_per_s for tenant in settings.tenants))
        self.unsent_share = 0.0  # moving average of the share of arrivals that found no slot
        self.logged_overloaded = False  # whether, according to the log, there is an overload

    def observe_arrival(self, event: RequestArrived) -> None:
        """Count an arrival for its tenant."""
        if event.tenant < len(self.tenant_arrivals):
            decay_factor = 1.0 - 1.0 / tuning.TENANT_WINDOW
            self.tenant_arrivals = [count * decay_factor for count in self.tenant_arrivals]
            self.tenant_arrivals[event.tenant] += 1.0

    def observe_placement(self, sent: bool) -> bool:
        """Record whether an arrival was sent immediately. Returns whether the sidecar is overloaded."""
        self.unsent_share += (float(not sent) - self.unsent_share) / tuning.PLACEMENT_WINDOW
        threshold = tuning.OVERLOAD_END_SHARE if self.logged_overloaded else tuning.OVERLOAD_START_SHARE
        return self.unsent_share > threshold

    def admits(self, event: RequestArrived) -> bool:
        """Return whether a request is admitted by the planned share of its class and, in a retry storm, by
        the share of retries to admit."""
        class_index = event.class_index
        planned_shares = self.class_admission
        if class_index < len(planned_shares) and not self.class_sampler.admits(
            class_index, planned_shares[class_index]
        ):
            return False
        if not self.storm.active or event.retry_number == 0:
            return True
        return self.retry_sampler.admits(event.tenant, self._retry_admission(event))

    def _retry_admission(self, event: RequestArrived) -> float:
        """Return the share of retries with this number and tenant to admit in the current retry storm."""
        storm = self.storm
        share = 1.0
        if storm.admission:
            share = storm.admission[min(event.retry_number, len(storm.admission) - 1)]
        if event.tenant < len(storm.tenant_admission):
            share *= storm.tenant_admission[event.tenant]
        return share

    def priority(self, request: PendingRequest) -> float:
        """Return the priority of a request: the weight of its class per expected slot time, reduced for a
        tenant over its quota and, in a retry storm, for a retry."""
        event = request.event
        weight = request.request_class.priority_weight
        if not self.settings.weight_by_work:
            weight /= self.estimates.mean_latency_us[event.class_index]
        if self.tenant_shares_within_quota or self.settings.tenants:
            weight *= self._tenant_factor(event.tenant)
        if self.storm.active:
            weight *= tuning.RETRY_PRIORITY_FACTOR**event.retry_number
        return weight

    def _tenant_factor(self, tenant: int) -> float:
        """Return the priority factor of a tenant, from `over_quota_weight` to 1.

        The share of its requests that is within its quota comes from the plan. Without a plan, the share is
        estimated from the tenants' shares of the arrivals at this sidecar, as it does not know the other
        sidecars' rates.
        """
        if tenant < len(self.tenant_shares_within_quota):
            return self._priority_factor(self.tenant_shares_within_quota[tenant])
        if tenant < len(self.settings.tenants):
            allowed_share = self.settings.tenants[tenant].allowance_per_s / self.total_allowance_per_s
            arrived_share = self.tenant_arrivals[tenant] / sum(self.tenant_arrivals)
            return self._priority_factor(min(1.0, allowed_share / arrived_share))
        # An unknown tenant has no quota.
        return self.settings.over_quota_weight if self.settings.tenants else 1.0

    def _priority_factor(self, share_within_quota: float) -> float:
        """Return the priority factor of a tenant with this share of its requests within its quota."""
        over_quota_weight = self.settings.over_quota_weight
        return over_quota_weight + (1.0 - over_quota_weight) * share_within_quota
