"""What a world file may say. Pure: text in, a checked `World` out.

Times end in `_s` or `_ms`, shares run from 0 to 1, ranges are `[lowest, highest]` and drawn from evenly.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from ryepier.conf import toml_schema

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Range = tuple[NotNegative, NotNegative]

MOST_ARRIVALS = 2_000_000  # first tries in a run: their columns and records have to fit the memory of one process


def _ordered(name: str, values: tuple[float, float], above_zero: bool = False) -> None:
    if values[0] > values[1]:
        raise ValueError(f"{name}: expected [lowest, highest], got {list(values)}")
    if above_zero and values[0] <= 0:
        raise ValueError(f"{name}: expected values above 0, got {list(values)}")


class Converters(msgspec.Struct, kw_only=True, frozen=True):
    """A group of converters that are alike but for their drawn speed."""

    count: Count
    model: str = "m1"
    zone: str = "a"
    cores: Count = 3
    speed: Range = (1.0, 1.0)  # work done by one core a second, in standard cores
    queue_limit: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(
        name="waiting_room", default=24
    )  # requests that may wait; further ones are turned away
    connections: Count = 256  # that it holds; further ones are turned away
    handshake_ms: NotNegative = 0.3  # work that a new connection costs, before its first request
    pod_size: Count = 3  # converters that drop each other's repeats
    idle_close_s: Positive = 5.0

    def __post_init__(self) -> None:
        _ordered("speed", self.speed, above_zero=True)


class Warmth(msgspec.Struct, kw_only=True, frozen=True):
    """How converters start: cold, and over when pushed."""

    initial_capacity_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = msgspec.field(name="cold_share", default=0.12)
    warm_up_s: NotNegative = 5.5
    overload_factor: Positive = 4.0
    overload_window_s: Positive = msgspec.field(name="fall_s", default=0.75)


class Reports(msgspec.Struct, kw_only=True, frozen=True):
    """Load reports in answers, refreshed now and then."""

    names: list[Literal["inflight", "queue", "util"]] = msgspec.field(default_factory=lambda: ["inflight", "queue"])
    refresh_ms: Range = (15.0, 110.0)

    def __post_init__(self) -> None:
        _ordered("refresh_ms", self.refresh_ms, above_zero=True)


class RequestClass(msgspec.Struct, kw_only=True, frozen=True):
    """A class of requests; `share` of all first tries, before any skew."""

    name: str
    share: Share
    work_ms: Range  # of a standard core
    objective_ms: Positive = msgspec.field(name="aim_ms")
    deadline_ms: Positive
    priority_weight: NotNegative = msgspec.field(name="worth", default=1.0)
    late_weight: Share = msgspec.field(name="late_worth", default=0.0)
    effect: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    group: Literal["all", "zone", "cell"] = "all"
    idempotency_window_ms: NotNegative = msgspec.field(name="memory_ms", default=0.0)

    def __post_init__(self) -> None:
        _ordered("work_ms", self.work_ms, above_zero=True)
        if self.deadline_ms < self.objective_ms:
            raise ValueError("deadline_ms: expected no less than aim_ms")
        if self.effect == "deduplicated" and self.idempotency_window_ms == 0:
            raise ValueError("memory_ms: expected above 0 where the effect is deduplicated")


class Tenant(msgspec.Struct, kw_only=True, frozen=True):
    """A customer, with its share of the traffic and of the service."""

    name: str
    share: Share


class Clients(msgspec.Struct, kw_only=True, frozen=True):
    """How clients behave. Arrivals are open-loop: drawn ahead, and never held back by an answer."""

    rate_per_s: Positive  # first tries, over all sidecars
    ramp_to_per_s: NotNegative = 0.0  # where the rate rises evenly to by the end; 0 = it does not
    retries: Annotated[int, msgspec.Meta(ge=0, le=20)] = 2
    backoff: Literal["none", "constant", "exponential"] = "exponential"
    wait_ms: NotNegative = 50.0  # before the first retry
    honours_retry_after: bool = True
    obedient: Share = 1.0  # of those who honour it; the others come back as they like
    marks_retries: bool = False
    patience: Range = (0.5, 1.0)  # a try is given up after this part of the class's deadline
    hint_error: Share = 0.1  # a cost hint is off by up to this share
    hints: bool = True
    closes_after: NotNegative = 0.0  # share of requests after which the client closes its connection
    graphql: Literal["no", "usual", "unique"] = "no"  # they speak GraphQL, each class a field of its own; the same
    # few documents, as programs send them, or each request one that nobody sent before
    disconnect_share: Share = msgspec.field(
        name="leaves", default=0.0
    )  # share of tries whose client goes away within the aim, answered or not

    def __post_init__(self) -> None:
        _ordered("patience", self.patience, above_zero=True)
        if self.patience[1] > 1.0:
            raise ValueError("patience: expected at most 1")

    @property
    def speak_graphql(self) -> bool:
        return self.graphql != "no"


class Sidecars(msgspec.Struct, kw_only=True, frozen=True):
    """The sidecars under test, each a process of its own. With a count of 0 clients go to the converters directly."""

    count: Annotated[int, msgspec.Meta(ge=0, le=5000)]  # on sockets at most 200
    zoned: bool = False  # they are dealt out over the converters' zones; else all are in the first
    skew: NotNegative = 0.0  # traffic of the i-th is 1 / i**skew of the first's
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024
    memory_mb: Count = 192
    list_on_request: bool = False
    max_attempts: Annotated[int, msgspec.Meta(ge=1)] = 4
    dial_timeout_ms: Positive = 62.0
    max_retry_after_ms: NotNegative = 500.0
    storm: bool = False  # they guard against retry storms
    drain_grace_ms: Positive = 500.0


class Discovery(msgspec.Struct, kw_only=True, frozen=True):
    """When changes to the list are told."""

    late_ms: Range = (100.0, 1500.0)  # after the fact, drawn for each sidecar and change
    heartbeat_s: Positive = 2.0
    slice_size: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0  # the list comes as EndpointSlices of so many
    # endpoints, from an API server for each sidecar; 0 = from the platform's agents
    conflict_share: Share = msgspec.field(
        name="mess", default=0.0
    )  # of the drains come with slices that contradict each other
    watch_s: Annotated[int, msgspec.Meta(ge=5)] = 60  # slices: how long the sidecars ask for a watch to last

    def __post_init__(self) -> None:
        _ordered("late_ms", self.late_ms)


class Planners(msgspec.Struct, kw_only=True, frozen=True):
    """Planners beside the sidecars, each a process of its own; with any the sidecars are forwarders."""

    count: Annotated[int, msgspec.Meta(ge=0, le=20)] = 0
    report_ms: Annotated[int, msgspec.Meta(ge=200)] = 250
    snapshots: bool = True


FaultKind = Literal[
    "hang",
    "refuse",
    "reset-before",
    "reset-after",
    "half-answer",
    "slow",
    "cut",
    "zone-cut",
    "release",
    "sidecar-kill",
    "discovery-down",
    "discovery-silent",
    "discovery-stale",
    "watch-break",
    "surge",
    "tenant-surge",
    "hot-sidecar",
    "heavy-tail",
    "planner-kill",
    "planner-hang",
    "sidecar-hang",
    "turn-away",
    "clock-jump",
    "clock-drift",
]
SIDECARS_FAULTS = frozenset(("sidecar-kill", "sidecar-hang", "hot-sidecar", "clock-jump", "clock-drift"))
SIMULATED_FAULTS = frozenset(("clock-jump", "clock-drift"))  # a machine's clock is not ours to set


class Fault(msgspec.Struct, kw_only=True, frozen=True):
    """Something that goes wrong at `at_s`, and is over `for_s` later."""

    kind: FaultKind
    at_s: NotNegative
    for_s: NotNegative = 0.0
    target_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = msgspec.field(
        name="part", default=1.0
    )  # of the converters, or of the sidecars; at least one
    factor: Positive = 1.0  # the rate, or the work, is multiplied by it; a slow converter's speed is divided by it
    share: Share = 1.0  # of the requests that it strikes
    tenant: str = ""
    request_class: str = ""
    zone: str = ""  # zone-cut: the one that neither reaches the others nor is reached from them
    drain_s: NotNegative = 1.0  # release: from draining to the end
    down_s: NotNegative = 0.5  # release: from the end to the replacement's start; a kill: till the next start
    index: Annotated[int, msgspec.Meta(ge=0)] | None = None  # the one that it strikes; by default drawn
    via: Annotated[int, msgspec.Meta(ge=0)] | None = None  # turn-away: only what comes by this sidecar
    jump_s: float = 0.0  # clock-jump: by what a sidecar's calendar is set forward, or back


class HarnessSettings(msgspec.Struct, kw_only=True, frozen=True):
    """The emulator's own processes and the bound on its lateness."""

    converter_processes: Count = 2
    client_processes: Count = 1
    lateness_ms: Positive = 40.0  # a run in which one in a thousand of its steps was later than this is void


class World(msgspec.Struct, kw_only=True, frozen=True):
    """One world file."""

    name: str
    duration_s: Positive
    converters: list[Converters]
    classes: list[RequestClass]
    clients: Clients
    sidecars: Sidecars
    tenants: list[Tenant] = msgspec.field(default_factory=lambda: [Tenant(name="one", share=1.0)])
    warmth: Warmth = msgspec.field(default_factory=Warmth)
    reports: Reports = msgspec.field(default_factory=Reports)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    faults: list[Fault] = msgspec.field(default_factory=list)
    planners: Planners = msgspec.field(default_factory=Planners)
    harness: HarnessSettings = msgspec.field(name="rig", default_factory=HarnessSettings)

    def __post_init__(self) -> None:
        for what in (self.converters, self.classes, self.tenants):
            if not what:
                raise ValueError("expected at least one of converters, classes and tenants each")
        for names in ([c.name for c in self.classes], [t.name for t in self.tenants]):
            if len(set(names)) < len(names):
                raise ValueError(f"expected names that differ, got {names}")
        for shares, whose in (
            ([c.share for c in self.classes], "classes"),
            ([t.share for t in self.tenants], "tenants"),
        ):
            if abs(sum(shares) - 1.0) > 0.01:
                raise ValueError(f"the shares of {whose}: expected a sum of 1, got {sum(shares):.3f}")
        most = max(self.clients.rate_per_s, self.clients.ramp_to_per_s) * self.duration_s
        if most > MOST_ARRIVALS:
            raise ValueError(f"expected at most {MOST_ARRIVALS} first tries, got {most:.0f}")
        for number, fault in enumerate(self.faults):
            self._check_fault(number, fault)

    def _check_fault(self, number: int, fault: Fault) -> None:
        where = f"faults[{number}] ({fault.kind})"
        if fault.at_s >= self.duration_s:
            raise ValueError(f"{where}: at_s is past the world's end")
        if fault.kind == "tenant-surge" and fault.tenant not in {t.name for t in self.tenants}:
            raise ValueError(f"{where}: unknown tenant {fault.tenant!r}")
        if fault.kind == "heavy-tail" and fault.request_class not in {c.name for c in self.classes}:
            raise ValueError(f"{where}: unknown request_class {fault.request_class!r}")
        if fault.kind in ("planner-kill", "planner-hang") and self.planners.count == 0:
            raise ValueError(f"{where}: the world has no planners")
        if fault.kind in SIDECARS_FAULTS and self.sidecars.count == 0:
            raise ValueError(f"{where}: the world has no sidecars")
        if fault.kind == "zone-cut" and (fault.zone not in self.zones or not self.sidecars.zoned):
            raise ValueError(f"{where}: zone: expected one of {', '.join(self.zones)}, and sidecars that are zoned")
        if fault.kind == "discovery-stale" and self.discovery.slice_size:
            raise ValueError(f"{where}: only where the list comes from the platform's agents")
        if fault.via is not None and (fault.kind != "turn-away" or fault.via >= self.sidecars.count):
            raise ValueError(f"{where}: via: expected a sidecar of the world, and a turn-away")

    @property
    def zones(self) -> list[str]:
        """The converters' zones, by name."""
        return sorted({group.zone for group in self.converters})

    def sidecar_zone(self, index: int) -> int:
        """The zone that a sidecar is in, by its place among `zones`."""
        return index % len(self.zones) if self.sidecars.zoned else 0

    @property
    def converter_count(self) -> int:
        return sum(group.count for group in self.converters)


def parse(text: str) -> World:
    """The world that a file's text describes; raises toml_schema.ConfigurationError with all its mistakes."""
    return toml_schema.parse(text, World)
