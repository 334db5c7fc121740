"""Moving estimates of the latency and the cost of requests, by class."""

import math

from ryepier.balancer import tuning
from ryepier.balancer.events import RequestArrived
from ryepier.balancer.settings import RequestClass


def decayed_rate(rate: float, amount: float, since_us: int, memory_us: int) -> float:
    """Return a rate per second, averaged over `memory_us`, after `amount` more since `since_us` ago."""
    return rate * math.exp(-since_us / memory_us) + amount * tuning.SECOND_US / memory_us


class RequestEstimates:
    """What requests take and cost, as this sidecar has measured it."""

    def __init__(self, classes: list[RequestClass]) -> None:
        """Start from a quarter of each class's latency objective."""
        # by class; also the longest wait in the buffer, which leaves the other half for another attempt
        self.slow_latency_us = [request_class.latency_objective_us // 2 for request_class in classes]
        self.mean_latency_us = [request_class.latency_objective_us / 4 for request_class in classes]
        self.mean_cost_us = 0.0
        self.costs_observed = 0

    def observe_cost(self, cost_us: int) -> None:
        """Count the cost hint of one request (us of work); 0 = no hint."""
        if cost_us <= 0:
            return
        self.costs_observed = min(self.costs_observed + 1, tuning.COST_MEMORY)
        mean_us = self.mean_cost_us or cost_us
        bounded_us = min(cost_us, tuning.MAX_RELATIVE_COST * mean_us)
        self.mean_cost_us += (bounded_us - self.mean_cost_us) / self.costs_observed

    def observe_latency(self, class_index: int, elapsed_us: int) -> None:
        """Count the latency of one attempt.

        Timeouts count too: in a slow fleet, the few quick answers alone would give too low a mean.
        """
        mean_us = self.mean_latency_us[class_index]
        bounded_us = min(elapsed_us, 2 * self.slow_latency_us[class_index])
        mean_us += (bounded_us - mean_us) / tuning.LATENCY_MEMORY
        self.mean_latency_us[class_index] = max(1.0, mean_us)

    def relative_cost(self, event: RequestArrived) -> float:
        """Return a request's expected work relative to the mean; 1 without a hint."""
        return event.cost_us / self.mean_cost_us if event.cost_us > 0 else 1.0
