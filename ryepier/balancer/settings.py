"""Settings of the balancer: request classes, tenants, and limits that the operator sets.

Durations are whole microseconds (`_us`).
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from ryepier.balancer.records import Record


class Idempotency(enum.Enum):
    """Whether and where a request that may have run may be sent again; the least strict comes first."""

    IDEMPOTENT = "idempotent"  # may be sent again to any upstream
    IDEMPOTENCY_KEY = "idempotency_key"  # may be sent again to upstreams that remember its idempotency key
    NON_IDEMPOTENT = "non_idempotent"  # must not be sent again


class IdempotencyScope(enum.Enum):
    """Group of upstreams that share their idempotency keys, so that none of them runs a repeat."""

    ALL = "all"
    ZONE = "zone"
    FAILURE_DOMAIN = "failure_domain"


def _require(condition: bool, expected: str, got: object) -> None:
    if not condition:
        raise ValueError(f"expected {expected}, got {got!r}")


@dataclass(slots=True, eq=False, repr=False)
class RequestClass(Record):
    """Objectives, priority and idempotency of one class of requests."""

    name: str
    latency_objective_us: int  # a response within this time has its full priority weight
    deadline_us: int  # a response after this time has no value
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the priority weight that a response after the latency objective has
    latency_objective_stretch: float = 0.0  # multiple of a request's work that is added to the objective
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_us: int = 0  # how long upstreams remember an idempotency key
    stream: bool = False

    def __post_init__(self) -> None:
        """Raise ValueError for a value that is out of range."""
        _require(
            self.latency_objective_us > 0,
            "a request class latency_objective_us above 0",
            self.latency_objective_us,
        )
        _require(self.deadline_us > 0, "a request class deadline_us above 0", self.deadline_us)
        _require(
            self.priority_weight >= 0, "a request class priority_weight of 0 or more", self.priority_weight
        )
        _require(0 <= self.late_weight <= 1, "a late_weight from 0 to 1", self.late_weight)
        _require(
            self.latency_objective_stretch >= 0,
            "a latency_objective_stretch of 0 or more",
            self.latency_objective_stretch,
        )
        _require(isinstance(self.idempotency, Idempotency), "an Idempotency", self.idempotency)
        _require(
            isinstance(self.idempotency_scope, IdempotencyScope),
            "an IdempotencyScope",
            self.idempotency_scope,
        )
        _require(
            self.idempotency_window_us >= 0,
            "an idempotency_window_us of 0 or more",
            self.idempotency_window_us,
        )


@dataclass(slots=True, eq=False, repr=False)
class Tenant(Record):
    """One tenant and its quota, which applies to its requests at all sidecars together."""

    name: str
    allowance_per_s: float  # requests per second within the quota
    share: float = 0.0  # quota relative to those of the other tenants; 0 = by `allowance_per_s`

    def __post_init__(self) -> None:
        """Raise ValueError for a value that is out of range."""
        _require(self.allowance_per_s >= 0, "a tenant allowance_per_s of 0 or more", self.allowance_per_s)
        _require(0 <= self.share <= 1, "a tenant share from 0 to 1", self.share)


@dataclass(slots=True, eq=False, repr=False)
class Settings(Record):
    """Settings of one sidecar, the same for all sidecars except for `self_index` and `zone`."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_weight: float = 1.0  # factor of the priority weight of requests beyond the tenant's quota
    weight_by_work: bool = False  # weights apply per unit of work instead of per request
    instances: int = 1  # number of sidecars
    self_index: int = 0  # index of this sidecar
    zone: int = 0
    tick_us: int = 1000  # shortest interval between batches of events
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    retry_after: bool = True  # rejections have a Retry-After
    cancel: bool = False  # attempts may be cancelled
    probes: bool = False  # health probes may be sent
    hedging: bool = False  # two attempts of a request may be in flight together
    polls_endpoints: bool = False  # list changes arrive only after Subscribe or FetchList
    max_poll_interval_us: int = 0  # without a subscription, the list must be polled at least this often
    initial_capacity_share: float = 1.0  # an upstream has at least this share of its capacity at its start
    warm_up_us: int = 0  # time after which a started upstream has its full capacity
    overload_factor: float = 1.0  # load, relative to its capacity, at which a warming upstream breaks down
    overload_window_us: int = 0  # time for which a warming upstream withstands such a load
    cross_zone_fee: float = 0.0
    report_names: list[str] = field(default_factory=list)  # names of the values in a load report, in order
    weighted: bool = False  # weights in the endpoint list denote upstream sizes

    def __post_init__(self) -> None:
        """Raise ValueError for a value that is out of range."""
        _require(len(self.classes) > 0, "at least one request class", self.classes)
        _require(self.instances >= 1, "instances of 1 or more", self.instances)
        _require(self.self_index >= 0, "a self_index of 0 or more", self.self_index)
        _require(0 <= self.over_quota_weight <= 1, "an over_quota_weight from 0 to 1", self.over_quota_weight)
        _require(self.max_attempts >= 1, "a max_attempts of 1 or more", self.max_attempts)
        _require(
            0 < self.initial_capacity_share <= 1,
            "an initial_capacity_share above 0, at most 1",
            self.initial_capacity_share,
        )
        _require(self.overload_factor > 0, "an overload_factor above 0", self.overload_factor)
        for name in (
            "zone",
            "tick_us",
            "max_retry_after_us",
            "connect_timeout_us",
            "max_poll_interval_us",
            "warm_up_us",
            "overload_window_us",
            "cross_zone_fee",
        ):
            _require(getattr(self, name) >= 0, f"a {name} of 0 or more", getattr(self, name))
