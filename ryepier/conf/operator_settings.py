"""The operators' settings (`deploy/ryepier.toml`), in addition to the platform's configuration."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec

from ryepier.conf import toml_schema

ENVIRONMENT_PREFIX = "RYEPIER_"
MAX_LINES_PER_SECOND = 1000  # more would make the log the sidecar's main work


class LogFormat(enum.Enum):
    """How a log record is written."""

    PLAIN = "plain"
    JSON = "json"  # one object per line


class FailureDomainBy(enum.Enum):
    """Which endpoints of a slice drop each other's repeats of a request."""

    ENDPOINT = "endpoint"  # none: each is on its own
    NODE = "node"  # those on one node


class LoggingSettings(msgspec.Struct, kw_only=True, frozen=True):
    """How the sidecar writes its log, to standard error."""

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
        "min_reporters": "least_reporters",
        "min_window_ms": "least_window_ms",
        "min_covered": "least_covered",
        "max_ejected": "most_resting",
        "min_weight": "least_weight",
    },
):
    """What a plan must satisfy: forwarders reject others, and planners send no others."""

    fleet: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1  # approximate number of forwarders
    min_reporters: Share = 0.5
    min_window_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 1000
    min_covered: Share = 0.5
    max_ejected: Share = 0.4
    min_weight: Share = 0.4


class ForwarderSettings(msgspec.Struct, kw_only=True, frozen=True):
    """A sidecar as a forwarder: whose plans it follows. Without planners it follows none."""

    planners: list[Address] = msgspec.field(default_factory=list)
    report_ms: Annotated[int, msgspec.Meta(ge=200, le=60_000)] = 500
    name: str = ""  # by default the platform's


class PlannerSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"max_forwarders": "most_forwarders"}):
    """A planner, as `ryepier planner` starts it."""

    name: Name = "planner"
    listen: Address = "127.0.0.1:7400"
    peers: dict[Name, Address] = msgspec.field(default_factory=dict)
    tenant_shares: list[Share] = msgspec.field(default_factory=list)  # in the order of the platform's accounts
    class_limits: list[Annotated[float, msgspec.Meta(ge=0)]] = msgspec.field(default_factory=list)  # a second
    max_forwarders: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 2000
    snapshots: str = ""  # the folder; empty: none are kept

    def __post_init__(self) -> None:
        """Raise ValueError if the planner is its own peer."""
        if self.name in self.peers:
            raise ValueError(f"peers: {self.name!r} is this planner's own name")


ClusterName = Annotated[str, msgspec.Meta(pattern=r"^([a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?)?$")]


class EndpointSliceSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"failure_domain": "cell"}):
    """A Kubernetes service whose EndpointSlices are the list of converters, in place of the platform's discovery."""

    service: ClusterName = ""
    namespace: ClusterName = ""  # by default the pod's own
    server: str = ""  # http://host:port or https://host:port; by default what a pod is given
    port: str = ""  # the name of the port; by default a slice's first
    token_file: str = ""
    ca_file: str = ""
    client_cert_file: str = ""
    client_key_file: str = ""
    failure_domain: FailureDomainBy = FailureDomainBy.ENDPOINT
    watch_s: Annotated[int, msgspec.Meta(ge=5, le=600)] = 60
    settle_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 3000
    hold_s: Annotated[int, msgspec.Meta(ge=0, le=600)] = 30
    cache: str = ""  # a file; empty: the list is not written down

    def __post_init__(self) -> None:
        """Raise ValueError if a certificate comes without its key."""
        if bool(self.client_cert_file) != bool(self.client_key_file):
            raise ValueError("client_cert_file: goes together with client_key_file")


class GraphqlField(msgspec.Struct, kw_only=True, frozen=True):
    """What one field at the top of an operation means."""

    type: Literal["query", "mutation"]
    name: Annotated[str, msgspec.Meta(pattern=r"^[_A-Za-z][_0-9A-Za-z]*$")]
    request_class: Name
    key: str = ""  # the argument that names one run; goes with a class that is deduplicated
    cost_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 0.0
    deadline_ms: Annotated[float, msgspec.Meta(ge=0, le=600_000)] = 0.0  # where the client names none; 0 = the class's


class GraphqlSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"max_batch": "most_batch"}):
    """A front for GraphQL over HTTP; off unless it has a path or a listener."""

    path: Annotated[str, msgspec.Meta(pattern=r"^(/[!-~]*)?$")] = ""  # on the platform's own listener
    listen: Annotated[str, msgspec.Meta(pattern=r"^([^:/\s]+:[0-9]{1,5})?$")] = ""  # or on one of its own
    queries: str = ""  # the class of queries that the table does not name
    mutations: str = ""  # and of mutations
    max_batch: Annotated[int, msgspec.Meta(ge=1, le=100)] = 20
    fields: list[GraphqlField] = msgspec.field(default_factory=list)

    def __post_init__(self) -> None:
        """Raise ValueError if a class is missing or a field is named twice."""
        if self.enabled and not (self.queries and self.mutations):
            raise ValueError("queries, mutations: expected the classes of what the table does not name")
        names = [(field.type, field.name) for field in self.fields]
        if len(set(names)) < len(names):
            raise ValueError("fields: one is named twice")

    @property
    def enabled(self) -> bool:
        """Whether the front has a path or a listener."""
        return bool(self.path or self.listen)


class RetryGuardSettings(msgspec.Struct, kw_only=True, frozen=True, rename={"rounds_to_seconds": "whole_seconds"}):
    """The guard against retry storms."""

    enabled: bool = False
    rounds_to_seconds: bool = False  # Retry-After in whole seconds, for clients that read nothing else


class OperatorSettings(msgspec.Struct, kw_only=True, frozen=True):
    """The whole file; every table may be left out."""

    logging: LoggingSettings = msgspec.field(default_factory=LoggingSettings)
    plan: ForwarderSettings = msgspec.field(default_factory=ForwarderSettings)
    planner: PlannerSettings = msgspec.field(default_factory=PlannerSettings)
    graphql: GraphqlSettings = msgspec.field(default_factory=GraphqlSettings)
    slices: EndpointSliceSettings = msgspec.field(default_factory=EndpointSliceSettings)
    storm: RetryGuardSettings = msgspec.field(default_factory=RetryGuardSettings)
    acceptance: PlanAcceptanceSettings = msgspec.field(name="trust", default_factory=PlanAcceptanceSettings)


def parse(text: str, environment: Mapping[str, str]) -> OperatorSettings:
    """Return the settings of a file's text, overridden by `RYEPIER_TABLE__KEY` variables; raises ConfigurationError."""
    return toml_schema.parse(text, OperatorSettings, environment, ENVIRONMENT_PREFIX)
