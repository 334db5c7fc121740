"""Schema of the operators' settings file (`deploy/ryepier.toml`), which supplements the platform's configuration."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec

from ryepier.conf import toml_schema

ENVIRONMENT_PREFIX = "RYEPIER_"
MAX_LINES_PER_SECOND = 1000  # beyond this, logging would take most of the sidecar's CPU time


class LogFormat(enum.Enum):
    """Format of log records."""

    PLAIN = "plain"
    JSON = "json"  # one JSON object per line


class FailureDomainScope(enum.Enum):
    """Which endpoints share a failure domain. Within a failure domain, repeated requests are deduplicated."""

    ENDPOINT = "endpoint"  # each endpoint is a separate failure domain
    NODE = "node"  # all endpoints on the same node share one


class LoggingSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Format, level and rate limit of the log, which goes to standard error."""

    format: LogFormat = LogFormat.PLAIN
    level: Literal["debug", "info", "warning", "error"] = "info"
    # limit for warnings and errors, and separately for all other lines; further lines are dropped
    lines_per_s: Annotated[int, msgspec.Meta(ge=1, le=MAX_LINES_PER_SECOND)] = 5


Address = Annotated[str, msgspec.Meta(pattern=r"^[^:/\s]+:[0-9]{1,5}$")]  # host:port
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]  # fraction of a whole, from 0 to 1


class PlanAcceptanceSettings(
    msgspec.Struct,
    kw_only=True,
    frozen=True,
    rename={
        "fleet_size": "fleet",
        "min_reporters": "least_reporters",
        "min_window_ms": "least_window_ms",
        "min_covered": "least_covered",
        "max_ejected": "most_resting",
        "min_weight": "least_weight",
    },
):
    """Requirements on plans: planners publish only plans that satisfy them, and forwarders reject all others."""

    fleet_size: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1  # approximate number of forwarders
    min_reporters: Share = 0.5  # share of the forwarders that must have reported
    min_window_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 1000  # time over which reports must be collected
    min_covered: Share = 0.5  # share of the listed converters on which reports must exist
    max_ejected: Share = 0.4  # share of the listed converters that a plan may eject
    min_weight: Share = 0.4  # share of the total weight of the listed converters that must remain


class ForwarderSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of a sidecar that reports to planners and follows their plans; disabled if `planners` is empty."""

    planners: list[Address] = msgspec.field(default_factory=list)
    report_ms: Annotated[int, msgspec.Meta(ge=200, le=60_000)] = 500  # interval between reports
    name: str = ""  # name of the forwarder; default: the name in the platform's configuration


class PlannerSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"max_forwarders": "most_forwarders"}):
    """Settings for the command `ryepier planner`."""

    name: Name = "planner"
    listen: Address = "127.0.0.1:7400"
    peers: dict[Name, Address] = msgspec.field(default_factory=dict)  # the other planners, by name
    # quotas of the tenants as shares of all requests, in the order of the platform's accounts;
    # empty: each sidecar enforces the quotas on its own
    tenant_shares: list[Share] = msgspec.field(default_factory=list)
    # requests per second of each class over all sidecars, in the order of the platform's classes; 0: no limit
    class_limits: list[Annotated[float, msgspec.Meta(ge=0)]] = msgspec.field(default_factory=list)
    max_forwarders: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 2000  # connected at the same time
    snapshots: str = ""  # folder in which snapshots are stored; empty: no snapshots are written

    def __post_init__(self) -> None:
        """Raise ValueError if the peers include the planner itself."""
        if self.name in self.peers:
            raise ValueError(f"peers: {self.name!r} is this planner's own name")


ClusterName = Annotated[str, msgspec.Meta(pattern=r"^([a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?)?$")]


class EndpointSliceSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"failure_domain_scope": "cell"}):
    """The Kubernetes service whose EndpointSlices list the converters, in place of the platform's discovery.

    Disabled if `service` is empty.
    """

    service: ClusterName = ""
    namespace: ClusterName = ""  # default: the pod's own namespace
    server: str = ""  # http://host:port or https://host:port; default: the API server in the pod's environment
    port: str = ""  # name of the converters' port in the slices; default: the first port of each slice
    token_file: str = ""
    ca_file: str = ""
    client_cert_file: str = ""
    client_key_file: str = ""
    failure_domain_scope: FailureDomainScope = FailureDomainScope.ENDPOINT
    watch_s: Annotated[int, msgspec.Meta(ge=5, le=600)] = 60  # duration of each watch
    # how long an endpoint must be ready again before it is published as ready
    settle_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 3000
    # how long the last list of endpoints is kept when all endpoints vanish at once
    hold_s: Annotated[int, msgspec.Meta(ge=0, le=600)] = 30
    cache: str = ""  # file in which the list of endpoints is cached; empty: no cache

    def __post_init__(self) -> None:
        """Raise ValueError unless the client certificate and its key are set together."""
        if bool(self.client_cert_file) != bool(self.client_key_file):
            raise ValueError("client_cert_file: must be set together with client_key_file")


class GraphqlFieldRule(msgspec.Struct, kw_only=True, frozen=True):
    """Classification rule for a root field of queries or mutations."""

    type: Literal["query", "mutation"]
    name: Annotated[str, msgspec.Meta(pattern=r"^[_A-Za-z][_0-9A-Za-z]*$")]
    request_class: Name
    # name of the field's argument whose value is the idempotency key; required for a class with idempotency keys
    key: str = ""
    cost_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 0.0  # expected processing time; 0 = unknown
    # deadline of requests for which the client sets none; 0 = the deadline of the class
    deadline_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 0.0


class GraphqlSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"max_batch_size": "most_batch"}):
    """Settings of the front end for GraphQL over HTTP; disabled unless `path` or `listen` is set."""

    path: Annotated[str, msgspec.Meta(pattern=r"^(/[!-~]*)?$")] = ""  # path on the platform's listener
    listen: Annotated[str, msgspec.Meta(pattern=r"^([^:/\s]+:[0-9]{1,5})?$")] = ""  # address of a separate listener
    queries: str = ""  # class of queries whose root field is not in `fields`
    mutations: str = ""  # class of mutations whose root field is not in `fields`
    max_batch_size: Annotated[int, msgspec.Meta(ge=1, le=100)] = 20  # operations in one request
    fields: list[GraphqlFieldRule] = msgspec.field(default_factory=list)

    def __post_init__(self) -> None:
        """Raise ValueError if a default class is missing or a field has two rules."""
        if self.enabled and not (self.queries and self.mutations):
            raise ValueError("queries, mutations: the classes of operations that are not in fields must be set")
        names = [(field.type, field.name) for field in self.fields]
        if len(set(names)) < len(names):
            raise ValueError("fields: two rules have the same type and name")

    @property
    def enabled(self) -> bool:
        """Whether the front end has a path or a listener."""
        return bool(self.path or self.listen)


class RetryGuardSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"rounds_to_seconds": "whole_seconds"}):
    """Settings of the guard that detects clients' retry storms."""

    enabled: bool = False
    rounds_to_seconds: bool = False  # round Retry-After to whole seconds, for clients that do not parse decimals


class OperatorSettings(msgspec.Struct, kw_only=True, frozen=True):
    """The complete settings file; every table is optional."""

    logging: LoggingSettings = msgspec.field(default_factory=LoggingSettings)
    forwarder: ForwarderSettings = msgspec.field(name="plan", default_factory=ForwarderSettings)
    planner: PlannerSettings = msgspec.field(default_factory=PlannerSettings)
    graphql: GraphqlSettings = msgspec.field(default_factory=GraphqlSettings)
    slices: EndpointSliceSettings = msgspec.field(default_factory=EndpointSliceSettings)
    retry_guard: RetryGuardSettings = msgspec.field(name="storm", default_factory=RetryGuardSettings)
    plan_acceptance: PlanAcceptanceSettings = msgspec.field(name="trust", default_factory=PlanAcceptanceSettings)


def parse(text: str, environment: Mapping[str, str]) -> OperatorSettings:
    """Return the settings in the text of a settings file. Raises ConfigurationError.

    Variables of the `environment` that are named `RYEPIER_TABLE__KEY` override keys of the file.
    """
    return toml_schema.parse(text, OperatorSettings, environment, ENVIRONMENT_PREFIX)
