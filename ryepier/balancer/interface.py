"""What a sidecar and the decision module say to each other: settings, events in, actions out.

Times are whole microseconds (`_us`) on the sidecar's own clock, which only moves forward.
An embedding sidecar makes a `Settings`, hands events to `Balancer.handle` in their order of
arrival and carries out the actions it gets back in the order given.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """How one attempt or probe ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # rejected unseen; never ran
    TIMEOUT = "timeout"  # no answer in time; may have run or be running
    CONNECT_FAILED = "connect_failed"  # no connection; never ran
    RESET = "reset"  # the connection broke; may have run
    MALFORMED_RESPONSE = "malformed_response"  # an answer that can't be read; has run
    CANCELLED = "cancelled"  # cancelled by us; may have run
    NOT_SENT = "not_sent"  # the sidecar could not send it; never ran


class UpstreamState(enum.Enum):
    """What the upstream list says of one upstream."""

    REMOVED = "removed"
    READY = "ready"
    DRAINING = "draining"


class ListKind(enum.Enum):
    """What an `UpstreamsUpdated` event carries."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list as last known, possibly outdated
    FAILED = "failed"  # a call failed or the subscription broke; the list stays as it was


class Effect(enum.StrEnum):
    """What a repeat of a request does; the values are those of the settings."""

    IDEMPOTENT = "idempotent"  # may be repeated anywhere
    IDEMPOTENCY_KEY = "deduplicated"  # may be repeated where its key is remembered
    NON_IDEMPOTENT = "at_most_once"  # must not be repeated once it may have run


class IdempotencyScope(enum.StrEnum):
    """Which upstreams drop each other's repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    FAILURE_DOMAIN = "cell"


def _require(condition: bool, expected: str, got: object) -> None:
    if not condition:
        raise ValueError(f"expected {expected}, got {got!r}")


@dataclass(slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective_us: int  # an answer within this earns the full worth
    deadline_us: int
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the worth left for an answer after the aim
    latency_objective_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    effect: Effect = Effect.IDEMPOTENT
    idempotency_scope: IdempotencyScope = (
        IdempotencyScope.ALL
    )  # deduplicated: which upstreams drop each other's repeats
    idempotency_window_us: int = 0  # deduplicated: how long they remember a request
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
        _require(self.effect in list(Effect), f"an effect out of {', '.join(Effect)}", self.effect)
        _require(
            self.idempotency_scope in list(IdempotencyScope),
            f"an idempotency_scope out of {', '.join(IdempotencyScope)}",
            self.idempotency_scope,
        )
        _require(
            self.idempotency_window_us >= 0,
            "an idempotency_window_us of 0 or more",
            self.idempotency_window_us,
        )


@dataclass(slots=True)
class Tenant:
    """One tenant and the request rate that is within its share, over all sidecars together."""

    name: str
    allowance_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        """Raise ValueError for a value that is out of range."""
        _require(self.allowance_per_s >= 0, "a tenant allowance_per_s of 0 or more", self.allowance_per_s)
        _require(0 <= self.share <= 1, "a tenant share from 0 to 1", self.share)


@dataclass(slots=True)
class Settings:
    """What the operator allows and wants; the same for all sidecars but for `self_index` and `zone`."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    instances: int = 1
    self_index: int = 0
    zone: int = 0
    tick_us: int = 1000  # the shortest gap between batches
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    retry_after: bool = True  # clients are told how long to stay away
    cancel: bool = False
    probes: bool = False
    hedging: bool = False  # two attempts of a request may be out together
    polls_endpoints: bool = False  # upstream changes come only after Subscribe or FetchList
    max_poll_interval_us: int = 0  # without a subscription, the list must be asked for this often
    initial_capacity_share: float = 1.0  # an upstream boots at this share of its capacity or more
    warm_up_us: int = 0  # and is warm after this
    overload_factor: float = 1.0  # a cold upstream falls over at this multiple of its capacity
    overload_window_us: int = 0  # sustained for this long
    cross_zone_fee: float = 0.0
    report_names: list[str] = field(default_factory=list)
    weighted: bool = False  # the list's weights speak of size

    def __post_init__(self) -> None:
        """Raise ValueError for a value that is out of range."""
        _require(len(self.classes) > 0, "at least one request class", self.classes)
        _require(self.instances >= 1, "an instances of 1 or more", self.instances)
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


@dataclass(slots=True)
class Upstream:
    """One entry of the upstream list."""

    id: int
    state: UpstreamState = UpstreamState.READY
    zone: int = 0
    kind: int = 0
    failure_domain: int = 0
    weight: float = 1.0
    started_us: int = 0  # its most recent start; 0 = long ago


# Events


@dataclass(slots=True)
class UpstreamsUpdated:
    """The upstream list, changes to it, or the failure to get it."""

    kind: ListKind
    upstreams: list[Upstream] = field(default_factory=list)
    version: int = 0
    silent_us: int = 0  # FAILED: for how long nothing sound had come, where that is known


@dataclass(slots=True)
class RequestArrived:
    """A client's request has come in; a final answer is owed."""

    request: int
    due_us: int  # when the client stops waiting
    class_index: int = 0
    tenant: int = 0
    key: int = 0  # 0 = none
    cost_us: int = 0  # expected work on a standard core; 0 = not known
    retried: bool = False  # the client sends it again
    retry_number: int = 0  # as far as it can be told, how many of its client's tries were turned away before
    write: bool = False


@dataclass(slots=True)
class ClientDisconnected:
    """The client has quit; no answer is owed any more."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended after `elapsed_us`."""

    request: int
    attempt: int
    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    final: bool = False  # the request has ended; otherwise an answer is still owed
    report: list[float] = field(default_factory=list)  # values in the order of `report_names`


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun; the request can't be sent again."""

    request: int
    attempt: int
    upstream: int
    elapsed_us: int = 0


@dataclass(slots=True)
class ProbeEnded:
    """A health probe has ended after `elapsed_us`."""

    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class TimerFired:
    """A timer that `SetTimer` asked for has fired."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A message from another sidecar."""

    sender: int
    payload: bytes


@dataclass(slots=True)
class Advice:
    """What a plan says of one upstream, as far as the sidecar trusts it at this moment."""

    upstream: int
    weight: float = 1.0  # its slots count so much in the draw
    concurrency_limit: int = 0  # no more are opened; 0 = no limit of the plan's
    ejected: bool = False  # nothing new while others are there


@dataclass(slots=True)
class PlanUpdated:
    """Advice in place of all earlier advice; upstreams that it does not name, or that the list lacks, go
    without. It bounds and informs: which upstream gets a request is still decided here."""

    advice: list[Advice] = field(default_factory=list)
    tenant_weight: list[float] = field(
        default_factory=list
    )  # by tenant: 1 = within its share over all sidecars
    class_admission: list[float] = field(
        default_factory=list
    )  # by class: the share of arrivals let in; empty = all


@dataclass(slots=True)
class RetryStormUpdated:
    """Whether clients' retries are a storm, and how to take them, in place of what was said before. Lists are
    by `RequestArrived.tries`, their last entry for all beyond; first tries are always let in."""

    active: bool = False
    admission: list[float] = field(default_factory=list)  # the share of arrivals let in
    retry_after_us: list[int] = field(
        default_factory=list
    )  # what is turned away is told to come back within it
    tenant_admission: list[float] = field(default_factory=list)  # by tenant, of its later tries; empty = all
    retry_after_in_seconds: bool = False  # clients read no parts of a second


Event = (
    UpstreamsUpdated
    | PlanUpdated
    | RetryStormUpdated
    | RequestArrived
    | ClientDisconnected
    | AttemptEnded
    | StreamStarted
    | ProbeEnded
    | TimerFired
    | PeerMessage
)


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of their sends."""

    request: int
    upstream: int
    timeout_us: int = 0  # 0 = until the client quits
    latest_us: int = 0  # it must not be written later, however long its connection takes; 0 = no such time


@dataclass(slots=True)
class Reject:
    """Final answer: not done, and trying again is harmless."""

    request: int
    retry_after_us: int = 0  # 0 = no advice


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about what it did."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Give up an attempt that is out."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Send a health probe to an upstream."""

    upstream: int


@dataclass(slots=True)
class SetTimer:
    """Fire a timer at a time (us)."""

    at_us: int
    token: int = 0


@dataclass(slots=True)
class Subscribe:
    """Begin or end the subscription to the upstream list; where lists come on request, ask for it once."""

    active: bool = True


@dataclass(slots=True)
class FetchList:
    """Ask for the whole upstream list."""

    pass


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an upstream."""

    upstream: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to another sidecar, or to all."""

    payload: bytes
    to: int | None = None  # None = every peer


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Send | Reject | Fail | Cancel | Probe | SetTimer | Subscribe | FetchList | CloseIdle | SendToPeer | Log
)
