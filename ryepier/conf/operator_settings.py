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
    JSON = "json"  # one object in each line


class FailureDomainScope(enum.Enum):
    """Which endpoints of a slice form a failure domain, in which a repeated request is deduplicated."""

    ENDPOINT = "endpoint"  # each endpoint is a failure domain of its own
    NODE = "node"  # all endpoints on one node


class LoggingSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Format, level and rate limit of the log, which goes to standard error."""

    format: LogFormat = LogFormat.PLAIN
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_per_s: Annotated[int, msgspec.Meta(ge=1, le=MAX_LINES_PER_SECOND)] = 5


Address = Annotated[str, msgspec.Meta(pattern=r"^[^:/\s]+:[0-9]{1,5}$")]  # host:port
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


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
    """Requirements on a plan: planners send only plans that satisfy them, and forwarders reject all others."""

    fleet_size: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1  # approximate number of forwarders
    min_reporters: Share = 0.5
    min_window_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 1000
    min_covered: Share = 0.5
    max_ejected: Share = 0.4
    min_weight: Share = 0.4


class ForwarderSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of a sidecar as a forwarder, which follows the plans of planners; disabled without planners."""

    planners: list[Address] = msgspec.field(default_factory=list)
    report_ms: Annotated[int, msgspec.Meta(ge=200, le=60_000)] = 500
    name: str = ""  # default: the name in the platform's configuration


class PlannerSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"max_forwarders": "most_forwarders"}):
    """Settings of a planner, which `ryepier planner` starts."""

    name: Name = "planner"
    listen: Address = "127.0.0.1:7400"
    peers: dict[Name, Address] = msgspec.field(default_factory=dict)
    tenant_shares: list[Share] = msgspec.field(default_factory=list)  # in the order of the platform's accounts
    class_limits: list[Annotated[float, msgspec.Meta(ge=0)]] = msgspec.field(default_factory=list)  # requests/s
    max_forwarders: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 2000
    snapshots: str = ""  # folder for snapshots; empty: no snapshots are written

    def __post_init__(self) -> None:
        """Raise ValueError if the peers include the planner itself."""
        if self.name in self.peers:
            raise ValueError(f"peers: {self.name!r} is this planner's own name")


ClusterName = Annotated[str, msgspec.Meta(pattern=r"^([a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?)?$")]


class EndpointSliceSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"failure_domain_scope": "cell"}):
    """A Kubernetes service whose EndpointSlices list the converters; replaces the platform's discovery."""

    service: ClusterName = ""
    namespace: ClusterName = ""  # default: the pod's own namespace
    server: str = ""  # http://host:port or https://host:port; default: the API server in the pod's environment
    port: str = ""  # name of the port; default: the first port of each slice
    token_file: str = ""
    ca_file: str = ""
    client_cert_file: str = ""
    client_key_file: str = ""
    failure_domain_scope: FailureDomainScope = FailureDomainScope.ENDPOINT
    watch_s: Annotated[int, msgspec.Meta(ge=5, le=600)] = 60
    settle_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 3000
    hold_s: Annotated[int, msgspec.Meta(ge=0, le=600)] = 30
    cache: str = ""  # file in which the list is cached; empty: no cache

    def __post_init__(self) -> None:
        """Raise ValueError unless the client certificate and its key are set together."""
        if bool(self.client_cert_file) != bool(self.client_key_file):
            raise ValueError("client_cert_file: must be set together with client_key_file")


class GraphqlField(msgspec.Struct, kw_only=True, frozen=True):
    """Classification rule for operations with a given root field."""

    type: Literal["query", "mutation"]
    name: Annotated[str, msgspec.Meta(pattern=r"^[_A-Za-z][_0-9A-Za-z]*$")]
    request_class: Name
    key: str = ""  # argument that holds the idempotency key; required for a class with idempotency keys
    cost_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 0.0
    deadline_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 0.0  # if the client sets none; 0 = the class's


class GraphqlSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"max_batch_size": "most_batch"}):
    """The front end for GraphQL over HTTP; disabled unless `path` or `listen` is set."""

    path: Annotated[str, msgspec.Meta(pattern=r"^(/[!-~]*)?$")] = ""  # GraphQL's path on the platform's listener
    listen: Annotated[str, msgspec.Meta(pattern=r"^([^:/\s]+:[0-9]{1,5})?$")] = ""  # address of a separate listener
    queries: str = ""  # class of queries whose root field is not in `fields`
    mutations: str = ""  # class of mutations whose root field is not in `fields`
    max_batch_size: Annotated[int, msgspec.Meta(ge=1, le=100)] = 20
    fields: list[GraphqlField] = msgspec.field(default_factory=list)

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
    """Settings of the guard against retry storms."""

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
    """Return the settings in a file's text; variables named `RYEPIER_TABLE__KEY` override it.

    Raises ConfigurationError.
    """
    return toml_schema.parse(text, OperatorSettings, environment, ENVIRONMENT_PREFIX)
