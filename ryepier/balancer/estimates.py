"""Moving averages of the latency of requests, by class, and of their cost."""

import math

from ryepier.balancer import tuning
from ryepier.balancer.events import RequestArrived
from ryepier.balancer.settings import RequestClass


def decayed_rate(rate: float, amount: float, elapsed_us: int, time_constant_us: int) -> float:
    """Return an exponentially averaged rate per second, to which `amount` is added `elapsed_us` after the
    last update."""
    return rate * math.exp(-elapsed_us / time_constant_us) + amount * tuning.SECOND_US / time_constant_us


class RequestEstimates:
    """Mean latency of requests, by class, and their mean cost, as observed by this sidecar."""

    def __init__(self, classes: list[RequestClass]) -> None:
        """Start with a mean latency of a quarter of each class's latency objective."""
        # Half the latency objective of each class. It is also the longest wait in the buffer, so that the
        # other half remains for an attempt.
        self.slow_latency_us = [request_class.latency_objective_us // 2 for request_class in classes]
        self.mean_latency_us = [request_class.latency_objective_us / 4 for request_class in classes]
        self.mean_cost_us = 0.0
        self.observed_cost_count = 0

    def observe_cost(self, cost_us: int) -> None:
        """Update the mean cost with the cost hint of one request (us of work); 0 = no hint."""
        if cost_us <= 0:
            return
        self.observed_cost_count = min(self.observed_cost_count + 1, tuning.COST_WINDOW)
        mean_us = self.mean_cost_us or cost_us
        bounded_us = min(cost_us, tuning.MAX_RELATIVE_COST * mean_us)
        self.mean_cost_us += (bounded_us - self.mean_cost_us) / self.observed_cost_count

    def observe_latency(self, class_index: int, elapsed_us: int) -> None:
        """Update the mean latency of a class with one attempt.

        Attempts that timed out count too, as the few fast answers of a slow fleet would give too low a mean.
        """
        mean_us = self.mean_latency_us[class_index]
        bounded_us = min(elapsed_us, 2 * self.slow_latency_us[class_index])
        mean_us += (bounded_us - mean_us) / tuning.LATENCY_WINDOW
        self.mean_latency_us[class_index] = max(1.0, mean_us)

    def relative_cost(self, event: RequestArrived) -> float:
        """Return a request's expected work relative to the mean; 1 without a hint."""
        return event.cost_us / self.mean_cost_us if event.cost_us > 0 else 1.0
