"""A group of upstreams whose admission, slow start and subset are controlled together."""

from ryepier.balancer.admission import AdmissionRate
from ryepier.balancer.settings import Settings
from ryepier.balancer.slow_start import SlowStart
from ryepier.balancer.subsetting import Subset


class UpstreamPool:
    """All upstreams or, if cross-zone traffic has a fee, those of the sidecar's zone or of all other
    zones."""

    def __init__(self, settings: Settings, now_us: int) -> None:
        """Start with full admission and no measurements at `now_us` (microseconds)."""
        self.admission = AdmissionRate(now_us)
        self.slow_start = SlowStart(settings, now_us)
        self.subset = Subset()
        self.fault_share = 0.0  # moving average of the share of attempts that were faults
