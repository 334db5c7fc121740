"""Parser of the settings, which a settings file or the simulator gives as path=value pairs."""

from __future__ import annotations

import math

from ryepier.balancer import interface as api
from ryepier.errors import RyepierError

# Paths that a sidecar reads in addition to those of `Settings`
ZONES_PATH = "areas"  # names of the zones, in the order of their indexes
KINDS_PATH = "kinds"  # names of the kinds of upstreams, in the order of their indexes
IDLE_TIMEOUT_PATH = "bounds.conn-idle"  # microseconds after which upstreams close an idle connection

_IDEMPOTENCY = {
    "idempotent": api.Idempotency.IDEMPOTENT,
    "deduplicated": api.Idempotency.IDEMPOTENCY_KEY,
    "at_most_once": api.Idempotency.NON_IDEMPOTENT,
}
_SCOPES = {
    "all": api.IdempotencyScope.ALL,
    "zone": api.IdempotencyScope.ZONE,
    "cell": api.IdempotencyScope.FAILURE_DOMAIN,
}
# Names of load report values; a value that is not listed keeps its name.
_REPORT_NAMES = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "utilization",
    "lat_ms": "latency_ms",
    "rate": "served_per_s",
    "fail_rate": "errors_per_s",
}


class SettingsError(RyepierError):
    """Raised for a setting that is missing or invalid; the message names it."""


class _Options:
    """The path=value pairs of the settings, with methods that return a value after checking its type."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self.pairs = pairs

    def text(self, path: str, default: str | None = None) -> str:
        value = self.pairs.get(path, default)
        if value is None:
            raise SettingsError(f"setting {path} is missing")
        return value

    def number(self, path: str, default: str | None = None) -> float:
        value = self.text(path, default)
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise SettingsError(f"setting {path}: expected a number, got {value!r}")
        return number

    def integer(self, path: str, default: str | None = None) -> int:
        number = self.number(path, default)
        if number != int(number):
            raise SettingsError(f"setting {path}: expected a whole number, got {self.text(path, default)!r}")
        return int(number)

    def choice(self, path: str, choices: tuple[str, ...], default: str | None = None) -> str:
        value = self.text(path, default)
        if value not in choices:
            raise SettingsError(f"setting {path}: expected one of {', '.join(choices)}, got {value!r}")
        return value

    def flag(self, path: str, default: str | None = None) -> bool:
        return self.choice(path, ("true", "false"), default) == "true"


def _parse_class(options: _Options, prefix: str) -> api.RequestClass:
    return api.RequestClass(
        name=options.text(prefix + "name"),
        latency_objective_us=options.integer(prefix + "aim"),
        deadline_us=options.integer(prefix + "deadline"),
        priority_weight=options.number(prefix + "worth"),
        late_weight=options.number(prefix + "late-worth", "0"),
        latency_objective_stretch=options.number(prefix + "aim-stretch", "0"),
        idempotency=_IDEMPOTENCY[options.choice(prefix + "effect", tuple(_IDEMPOTENCY))],
        idempotency_scope=_SCOPES[options.choice(prefix + "group", tuple(_SCOPES), "all")],
        idempotency_window_us=options.integer(prefix + "memory-span", "0"),
        stream=options.flag(prefix + "stream", "false"),
    )


def _parse_tenant(options: _Options, prefix: str) -> api.Tenant:
    return api.Tenant(
        options.text(prefix + "name"),
        options.number(prefix + "allowance-per-s"),
        options.number(prefix + "share", "0"),
    )


def parse_settings(text: str) -> api.Settings:
    """Return the settings of one instance from lines of path=value. Unknown paths are ignored.

    Raises SettingsError for a malformed line and for a missing or invalid setting.
    """
    pairs: dict[str, str] = {}
    for line_number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        path, equals, value = line.partition("=")
        if not equals or not path:
            raise SettingsError(f"settings line {line_number}: expected path=value, got {line!r}")
        pairs[path] = value
    return settings_from_pairs(pairs)


def settings_from_pairs(pairs: dict[str, str]) -> api.Settings:
    """Return the settings of one instance from values by path. Unknown paths are ignored.

    Raises SettingsError for a missing or invalid setting.
    """
    options = _Options(pairs)
    try:
        return api.Settings(
            classes=[
                _parse_class(options, f"request-classes.{i}.")
                for i in range(options.integer("request-classes.count"))
            ],
            tenants=[
                _parse_tenant(options, f"accounts.{i}.")
                for i in range(options.integer("accounts.count", "0"))
            ],
            over_quota_weight=options.number("over-share-worth", "1"),
            weight_by_work=options.choice("value-by", ("request", "work"), "request") == "work",
            instances=options.integer("instances"),
            self_index=options.integer("self-index", "0"),
            zone=options.integer("locality", "0"),
            tick_us=options.integer("granularity"),
            max_attempts=options.integer("bounds.most-tries"),
            max_retry_after_us=options.integer("bounds.max-retry-after", "0"),
            connect_timeout_us=options.integer("bounds.dial-timeout", "0"),
            retry_after=options.flag("bounds.retry-after"),
            cancel=options.flag("bounds.cancel"),
            probes=options.flag("bounds.probes"),
            hedging=options.flag("bounds.second-copies"),
            polls_endpoints=options.choice("registry-mode", ("pushed", "on_request")) == "on_request",
            max_poll_interval_us=options.integer("invariants.ask-within", "0"),
            initial_capacity_share=options.number("invariants.cold-share"),
            warm_up_us=options.integer("invariants.warm-up"),
            overload_factor=options.number("invariants.overload-factor"),
            overload_window_us=options.integer("invariants.fall"),
            cross_zone_fee=options.number("fees.cross-zone", "0"),
            report_names=[
                _REPORT_NAMES.get(name, name) for name in options.text("report.names", "").split(",") if name
            ],
            weighted=options.text("weights", "none") != "none",
        )
    except ValueError as error:
        raise SettingsError(f"settings: {error}") from error
