"""Settings of the balancer: request classes, tenants, and limits that the operator sets.

Times are whole microseconds (`_us`).
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from ryepier.balancer.records import Record


class Idempotency(enum.Enum):
    """Whether and where a request that may have run may be sent again; the least strict comes first."""

    IDEMPOTENT = "idempotent"  # to any upstream
    IDEMPOTENCY_KEY = "idempotency_key"  # to upstreams that remember its key
    NON_IDEMPOTENT = "non_idempotent"  # never


class IdempotencyScope(enum.Enum):
    """Group of upstreams that drop each other's repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    FAILURE_DOMAIN = "failure_domain"


def _require(condition: bool, expected: str, got: object) -> None:
    if not condition:
        raise ValueError(f"expected {expected}, got {got!r}")


@dataclass(slots=True, eq=False, repr=False)
class RequestClass(Record):
    """One class of requests."""

    name: str
    latency_objective_us: int  # a response within this has its full priority weight
    deadline_us: int
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the priority weight of a later response
    latency_objective_stretch: float = 0.0  # the objective grows by this multiple of the request's work
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
    """One tenant and the request rate that is within its quota, over all sidecars together."""

    name: str
    allowance_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        """Raise ValueError for a value that is out of range."""
        _require(self.allowance_per_s >= 0, "a tenant allowance_per_s of 0 or more", self.allowance_per_s)
        _require(0 <= self.share <= 1, "a tenant share from 0 to 1", self.share)


@dataclass(slots=True, eq=False, repr=False)
class Settings(Record):
    """Settings of one sidecar, the same for all sidecars except for `self_index` and `zone`."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    instances: int = 1
    self_index: int = 0
    zone: int = 0
    tick_us: int = 1000  # shortest interval between batches of events
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    retry_after: bool = True  # rejections have a Retry-After
    cancel: bool = False
    probes: bool = False
    hedging: bool = False  # two attempts of a request may be in flight together
    polls_endpoints: bool = False  # list changes arrive only after Subscribe or FetchList
    max_poll_interval_us: int = 0  # without a subscription, the list must be polled this often
    initial_capacity_share: float = 1.0  # an upstream has at least this share of its capacity at its start
    warm_up_us: int = 0  # time after its start at which an upstream has its full capacity
    overload_factor: float = 1.0  # multiple of its capacity at which a warming upstream breaks down
    overload_window_us: int = 0  # how long the overload lasts before the upstream breaks down
    cross_zone_fee: float = 0.0
    report_names: list[str] = field(default_factory=list)
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
