"""World files: the schema and validation of the scenarios that the emulator runs.

This module is pure: it parses text into a validated `World`, and maps a file's keys to the names used in the code.
Durations end in `_s` or `_ms`, shares are between 0 and 1, and a range `[min, max]` is sampled uniformly.
"""

from __future__ import annotations

import enum
from typing import Annotated, Literal

import msgspec

from ryepier.conf import toml_schema

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Range = tuple[NonNegative, NonNegative]

# requests per run, without retries; the samples and records of all requests must fit in the memory of one process
MAX_ARRIVALS = 2_000_000
MAX_SHARE_SUM_ERROR = 0.01  # tolerance for shares that must add up to 1


class Effect(enum.StrEnum):
    """The effect of running a request of a class more than once."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"  # within the scope and window, repeats with the same key do not run
    AT_MOST_ONCE = "at_most_once"


class DeduplicationScope(enum.StrEnum):
    """Which converters share the idempotency keys of a class."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"  # the converters of one pod


class Backoff(enum.StrEnum):
    """How a client's delay grows with each retry."""

    NONE = "none"
    CONSTANT = "constant"
    EXPONENTIAL = "exponential"


class GraphqlMode(enum.StrEnum):
    """Whether clients speak GraphQL, and how often their documents repeat."""

    OFF = "no"
    USUAL = "usual"  # clients repeat a few documents, as programs usually do
    UNIQUE = "unique"  # each request has a document of its own


class FaultKind(enum.StrEnum):
    """The kind of a fault; the timeline expands each fault into steps."""

    HANG = "hang"
    REFUSE = "refuse"
    RESET_BEFORE = "reset-before"
    RESET_AFTER = "reset-after"
    HALF_ANSWER = "half-answer"
    NO_LENGTH = "no-length"
    NO_LENGTH_RESET = "no-length-reset"
    SECOND_ANSWER = "second-answer"
    SLOW = "slow"
    CUT = "cut"
    ZONE_CUT = "zone-cut"
    RELEASE = "release"
    SIDECAR_KILL = "sidecar-kill"
    DISCOVERY_DOWN = "discovery-down"
    DISCOVERY_SILENT = "discovery-silent"
    DISCOVERY_STALE = "discovery-stale"
    WATCH_BREAK = "watch-break"
    SURGE = "surge"
    TENANT_SURGE = "tenant-surge"
    HOT_SIDECAR = "hot-sidecar"
    HEAVY_TAIL = "heavy-tail"
    PLANNER_KILL = "planner-kill"
    PLANNER_HANG = "planner-hang"
    SIDECAR_HANG = "sidecar-hang"
    TURN_AWAY = "turn-away"
    CLOCK_JUMP = "clock-jump"
    CLOCK_DRIFT = "clock-drift"


SIDECAR_FAULTS = frozenset(
    (
        FaultKind.SIDECAR_KILL,
        FaultKind.SIDECAR_HANG,
        FaultKind.HOT_SIDECAR,
        FaultKind.CLOCK_JUMP,
        FaultKind.CLOCK_DRIFT,
    )
)
PLANNER_FAULTS = frozenset((FaultKind.PLANNER_KILL, FaultKind.PLANNER_HANG))
SIMULATION_ONLY_FAULTS = frozenset((FaultKind.CLOCK_JUMP, FaultKind.CLOCK_DRIFT))  # these need a virtual clock


def _check_range(name: str, values: tuple[float, float], must_be_positive: bool = False) -> None:
    if values[0] > values[1]:
        raise ValueError(f"{name}: expected [lowest, highest], got {list(values)}")
    if must_be_positive and values[0] <= 0:
        raise ValueError(f"{name}: expected values above 0, got {list(values)}")


class Converters(msgspec.Struct, kw_only=True, frozen=True):
    """A group of converters that differ only in their sampled speed."""

    count: Count
    model: str = "m1"
    zone: str = "a"
    cores: Count = 3
    speed: Range = (1.0, 1.0)  # speed of a core, relative to a standard core
    # limit of waiting requests; additional requests are rejected
    queue_limit: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(name="waiting_room", default=24)
    connections: Count = 256  # limit of open connections; requests on additional connections are rejected
    handshake_ms: NonNegative = 0.3  # service time of accepting a connection, on a standard core
    pod_size: Count = 3  # number of converters that share one idempotency cache
    idle_close_s: Positive = 5.0

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range or contradicts another."""
        _check_range("speed", self.speed, must_be_positive=True)


class WarmUp(msgspec.Struct, kw_only=True, frozen=True):
    """How a converter warms up after its start, and the overload that crashes it during warm-up."""

    initial_capacity_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = msgspec.field(name="cold_share", default=0.12)
    warm_up_s: NonNegative = 5.5
    # a converter crashes if the work in the overload window exceeds this multiple of its current capacity
    overload_factor: Positive = 4.0
    overload_window_s: Positive = msgspec.field(name="fall_s", default=0.75)


class Reports(msgspec.Struct, kw_only=True, frozen=True):
    """The content of the converters' load reports, and how often a converter refreshes its report."""

    names: list[Literal["inflight", "queue", "util"]] = msgspec.field(default_factory=lambda: ["inflight", "queue"])
    refresh_ms: Range = (15.0, 110.0)

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range or contradicts another."""
        _check_range("refresh_ms", self.refresh_ms, must_be_positive=True)


class RequestClass(msgspec.Struct, kw_only=True, frozen=True):
    """A class of requests; `share` is its share of all arrivals before any fault changes the mix."""

    name: str
    share: Share
    work_ms: Range  # service time on a standard core
    objective_ms: Positive = msgspec.field(name="aim_ms")  # latency objective
    deadline_ms: Positive
    priority_weight: NonNegative = msgspec.field(name="worth", default=1.0)
    # weight of a response between objective and deadline
    late_weight: Share = msgspec.field(name="late_worth", default=0.0)
    effect: Effect = Effect.IDEMPOTENT
    scope: DeduplicationScope = msgspec.field(name="group", default=DeduplicationScope.ALL)
    idempotency_window_ms: NonNegative = msgspec.field(name="memory_ms", default=0.0)

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range or contradicts another."""
        _check_range("work_ms", self.work_ms, must_be_positive=True)
        if self.deadline_ms < self.objective_ms:
            raise ValueError("deadline_ms: expected at least aim_ms")
        if self.effect is Effect.DEDUPLICATED and self.idempotency_window_ms == 0:
            raise ValueError("memory_ms: expected a value above 0 for the effect deduplicated")


class Tenant(msgspec.Struct, kw_only=True, frozen=True):
    """A tenant. `share` is its share of the arrivals; sidecars give requests that exceed this share a lower weight."""

    name: str
    share: Share


class Clients(msgspec.Struct, kw_only=True, frozen=True):
    """The load and how clients behave. The load is open-loop: arrivals never wait for responses."""

    rate_per_s: Positive  # arrivals at all sidecars together
    ramp_to_per_s: NonNegative = 0.0  # the rate rises linearly to this value at the end of the run; 0 = a constant rate
    retries: Annotated[int, msgspec.Meta(ge=0, le=20)] = 2
    backoff: Backoff = Backoff.EXPONENTIAL
    retry_delay_ms: NonNegative = msgspec.field(name="wait_ms", default=50.0)  # delay before the first retry
    honours_retry_after: bool = True
    # share of the clients that honour Retry-After if `honours_retry_after` is set; the others ignore it
    honouring_share: Share = msgspec.field(name="obedient", default=1.0)
    sends_retry_header: bool = msgspec.field(name="marks_retries", default=False)  # retries carry X-Retry
    # timeout of an attempt as a share of its class's deadline
    timeout_share: Range = msgspec.field(name="patience", default=(0.5, 1.0))
    hint_error: Share = 0.1  # largest relative error of a cost hint
    hints: bool = True
    # share of requests after which the client closes its connection
    close_share: NonNegative = msgspec.field(name="closes_after", default=0.0)
    graphql: GraphqlMode = GraphqlMode.OFF
    # share of attempts in which the client disconnects within the latency objective
    disconnect_share: Share = msgspec.field(name="leaves", default=0.0)

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range or contradicts another."""
        _check_range("patience", self.timeout_share, must_be_positive=True)
        if self.timeout_share[1] > 1.0:
            raise ValueError("patience: expected at most 1")

    @property
    def speak_graphql(self) -> bool:
        """Whether requests are GraphQL operations."""
        return self.graphql is not GraphqlMode.OFF


class Sidecars(msgspec.Struct, kw_only=True, frozen=True):
    """The sidecars under test, one process each. With a count of 0, clients connect to the converters directly."""

    count: Annotated[int, msgspec.Meta(ge=0, le=5000)]  # at most 200 on real sockets
    zoned: bool = False  # sidecars are spread over the converters' zones; otherwise all are in the first zone
    skew: NonNegative = 0.0  # exponent of the Zipf distribution of arrivals over the sidecars
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024
    memory_mb: Count = 192
    list_on_request: bool = False
    max_attempts: Annotated[int, msgspec.Meta(ge=1)] = 4
    dial_timeout_ms: Positive = 62.0
    max_retry_after_ms: NonNegative = 500.0
    storm_guard: bool = msgspec.field(name="storm", default=False)  # sidecars run with protection from retry storms
    drain_grace_ms: Positive = 500.0


class Discovery(msgspec.Struct, kw_only=True, frozen=True):
    """How and when sidecars are notified of changes to the endpoint list."""

    # delay of a notice, sampled for each sidecar and change
    notice_delay_ms: Range = msgspec.field(name="late_ms", default=(100.0, 1500.0))
    heartbeat_s: Positive = 2.0
    # endpoints per EndpointSlice; each sidecar then has an API server. 0 = the platform's discovery agents are used
    slice_size: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    conflict_share: Share = msgspec.field(name="mess", default=0.0)  # share of drains with contradictory slices
    watch_s: Annotated[int, msgspec.Meta(ge=5)] = 60  # with slices: the duration that sidecars request for a watch

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range or contradicts another."""
        _check_range("late_ms", self.notice_delay_ms)


class Planners(msgspec.Struct, kw_only=True, frozen=True):
    """The planners, one process each. If there are any, the sidecars are forwarders that follow the planners' plans."""

    count: Annotated[int, msgspec.Meta(ge=0, le=20)] = 0
    report_ms: Annotated[int, msgspec.Meta(ge=200)] = 250
    snapshots: bool = True


class Fault(msgspec.Struct, kw_only=True, frozen=True):
    """An entry of the fault schedule. It begins at `at_s` and ends `for_s` later."""

    kind: FaultKind
    at_s: NonNegative
    for_s: NonNegative = 0.0
    # share of the targets that the fault affects; at least one is affected
    target_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = msgspec.field(name="part", default=1.0)
    factor: Positive = 1.0  # multiplies the arrival rate or the work, or divides a slow converter's speed
    share: Share = 1.0  # share of requests that the fault affects
    tenant: str = ""
    request_class: str = ""
    zone: str = ""  # zone-cut: the zone that is partitioned from the others
    drain_s: NonNegative = 1.0  # release: time between the start of draining and the end of the process
    # release: time between the end of a process and the start of its replacement; kill: time until the restart
    down_s: NonNegative = 0.5
    index: Annotated[int, msgspec.Meta(ge=0)] | None = None  # the only target; None = sampled targets
    via: Annotated[int, msgspec.Meta(ge=0)] | None = None  # turn-away: only requests from this sidecar are affected
    jump_s: float = 0.0  # clock-jump: change of a sidecar's wall clock


class HarnessSettings(msgspec.Struct, kw_only=True, frozen=True):
    """The emulator's own processes, and their maximum lateness in a valid run."""

    converter_processes: Count = 2
    client_processes: Count = 1
    lateness_ms: Positive = 40.0  # limit of the 99.9th percentile of each process's lateness


class World(msgspec.Struct, kw_only=True, frozen=True):
    """The content of one world file."""

    name: str
    duration_s: Positive
    converters: list[Converters]
    classes: list[RequestClass]
    clients: Clients
    sidecars: Sidecars
    tenants: list[Tenant] = msgspec.field(default_factory=lambda: [Tenant(name="one", share=1.0)])
    warm_up: WarmUp = msgspec.field(name="warmth", default_factory=WarmUp)
    reports: Reports = msgspec.field(default_factory=Reports)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    faults: list[Fault] = msgspec.field(default_factory=list)
    planners: Planners = msgspec.field(default_factory=Planners)
    harness: HarnessSettings = msgspec.field(name="rig", default_factory=HarnessSettings)

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range or contradicts another."""
        for entries in (self.converters, self.classes, self.tenants):
            if not entries:
                raise ValueError("expected at least one converter group, one class and one tenant")
        self._check_names([request_class.name for request_class in self.classes])
        self._check_names([tenant.name for tenant in self.tenants])
        self._check_shares("classes", [request_class.share for request_class in self.classes])
        self._check_shares("tenants", [tenant.share for tenant in self.tenants])
        arrivals = max(self.clients.rate_per_s, self.clients.ramp_to_per_s) * self.duration_s
        if arrivals > MAX_ARRIVALS:
            raise ValueError(f"expected at most {MAX_ARRIVALS} arrivals, got {arrivals:.0f}")
        for number, fault in enumerate(self.faults):
            self._check_fault(f"faults[{number}] ({fault.kind})", fault)

    @staticmethod
    def _check_names(names: list[str]) -> None:
        if len(set(names)) < len(names):
            raise ValueError(f"expected unique names, got {names}")

    @staticmethod
    def _check_shares(list_name: str, shares: list[float]) -> None:
        if abs(sum(shares) - 1.0) > MAX_SHARE_SUM_ERROR:
            raise ValueError(f"the shares of {list_name}: expected a sum of 1, got {sum(shares):.3f}")

    def _check_fault(self, location: str, fault: Fault) -> None:
        if fault.at_s >= self.duration_s:
            raise ValueError(f"{location}: at_s: expected a time before the end of the run")
        if fault.kind is FaultKind.TENANT_SURGE and fault.tenant not in {tenant.name for tenant in self.tenants}:
            raise ValueError(f"{location}: unknown tenant {fault.tenant!r}")
        if fault.kind is FaultKind.HEAVY_TAIL and fault.request_class not in {
            request_class.name for request_class in self.classes
        }:
            raise ValueError(f"{location}: unknown request_class {fault.request_class!r}")
        if fault.kind in PLANNER_FAULTS and self.planners.count == 0:
            raise ValueError(f"{location}: the world has no planners")
        if fault.kind in SIDECAR_FAULTS and self.sidecars.count == 0:
            raise ValueError(f"{location}: the world has no sidecars")
        if fault.kind is FaultKind.ZONE_CUT and (fault.zone not in self.zones or not self.sidecars.zoned):
            raise ValueError(f"{location}: zone: expected one of {', '.join(self.zones)}, and sidecars that are zoned")
        if fault.kind is FaultKind.DISCOVERY_STALE and self.discovery.slice_size:
            raise ValueError(f"{location}: only where the list comes from the platform's agents")
        if fault.via is not None and (fault.kind is not FaultKind.TURN_AWAY or fault.via >= self.sidecars.count):
            raise ValueError(f"{location}: via: expected the index of a sidecar, for a turn-away fault")

    @property
    def zones(self) -> list[str]:
        """The converters' zones, sorted by name."""
        return sorted({group.zone for group in self.converters})

    def sidecar_zone(self, index: int) -> int:
        """Return the position in `zones` of a sidecar's zone."""
        return index % len(self.zones) if self.sidecars.zoned else 0

    @property
    def converter_count(self) -> int:
        """The total number of converters in all groups."""
        return sum(group.count for group in self.converters)


def parse(text: str) -> World:
    """Return the world that a file's text describes. Raises toml_schema.ConfigurationError with every problem in it."""
    return toml_schema.parse(text, World)
