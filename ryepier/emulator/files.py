"""The files that configure a world's sidecars and planners: platform configurations and operators' settings."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from ryepier.emulator import discovery, graphql, slices
from ryepier.emulator.process import Address, Plan
from ryepier.emulator.timeline import Timeline
from ryepier.emulator.world import RequestClass, World

GRANULARITY_US = 1000
OVER_SHARE_WEIGHT = 0.2  # priority weight of the requests of a tenant that exceed its share
MAX_POLL_INTERVAL_US = 2_500_000
LOG_LINES_PER_S = 200


def _to_us(milliseconds: float) -> int:
    return round(milliseconds * 1000)


def _request_class(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "aim": _to_us(request_class.objective_ms),
        "deadline": _to_us(request_class.deadline_ms),
        "worth": request_class.priority_weight,
        "late-worth": request_class.late_weight,
        "effect": request_class.effect,
        "group": request_class.scope,
        "memory-span": _to_us(request_class.idempotency_window_ms),
        "stream": False,
    }


def _bounds(world: World) -> dict[str, Any]:
    sidecars = world.sidecars
    return {
        "cancel": True,
        "conn-idle": round(min(group.idle_close_s for group in world.converters) * 1e6),
        "dial-timeout": _to_us(sidecars.dial_timeout_ms),
        "max-retry-after": _to_us(sidecars.max_retry_after_ms),
        "most-tries": sidecars.max_attempts,
        "probes": True,
        "retry-after": sidecars.max_retry_after_ms > 0,
        "second-copies": False,
    }


def _invariants(world: World) -> dict[str, Any]:
    warm_up = world.warm_up
    return {
        "ask-within": MAX_POLL_INTERVAL_US,
        "cold-share": warm_up.initial_capacity_share,
        "drain-grace": _to_us(world.sidecars.drain_grace_ms),
        "fall": round(warm_up.overload_window_s * 1e6),
        "overload-factor": warm_up.overload_factor,
        "warm-up": round(warm_up.warm_up_s * 1e6),
    }


def sidecar_settings(world: World, index: int) -> dict[str, Any]:
    """Return the settings of one sidecar, under the keys of the platform's configuration."""
    accounts = [
        {"name": tenant.name, "share": tenant.share, "allowance-per-s": tenant.share * world.clients.rate_per_s}
        for tenant in world.tenants
    ]
    return {
        "accounts": accounts,
        "areas": world.zones,
        "fees": {"cross-zone": 0.0},
        "granularity": GRANULARITY_US,
        "instances": world.sidecars.count,
        "kinds": sorted({group.model for group in world.converters}),
        "locality": world.sidecar_zone(index),
        "over-share-worth": OVER_SHARE_WEIGHT,
        "registry-mode": "on_request" if world.sidecars.list_on_request else "pushed",
        "report": {"how": "answers", "names": world.reports.names},
        "request-classes": [_request_class(request_class) for request_class in world.classes],
        "self-index": index,
        "value-by": "request",
        "weights": "nominal",
        "bounds": _bounds(world),
        "invariants": _invariants(world),
    }


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def platform_configurations(plan: Plan, timeline: Timeline) -> list[str]:
    """Return the platform's configuration for each sidecar as JSON."""
    world, listing = plan.world, discovery.initial_list(plan, timeline)
    limits = {"cores": 1.0, "memory_mb": world.sidecars.memory_mb, "sockets": world.sidecars.sockets}
    return [
        json.dumps(
            {
                "name": f"n{index}",
                "listen": _format_address(plan.sidecar_address(index)),
                "discovery": _format_address(plan.discovery_address(index)),
                "seed": f"{plan.seed * 1000 + index:x}",
                "known": listing,
                "limits": limits,
                "settings": sidecar_settings(world, index),
            }
        )
        for index in range(world.sidecars.count)
    ]


def has_settings_file(world: World) -> bool:
    """Return whether the sidecars need operators' settings in addition to the platform's configuration."""
    return bool(
        world.planners.count or world.discovery.slice_size or world.clients.speak_graphql or world.sidecars.storm_guard
    )


def planner_addresses(plan: Plan) -> list[str]:
    """Return each planner's address as host:port."""
    return [_format_address(plan.planner_address(index)) for index in range(plan.world.planners.count)]


def _trust_table(world: World) -> str:
    return f"[trust]\nfleet = {world.sidecars.count}\n"


def settings_text(plan: Plan) -> str:
    """Return the operators' settings that all sidecars share, as TOML."""
    world = plan.world
    text = f'[logging]\nformat = "json"\nlines_per_s = {LOG_LINES_PER_S}\n'
    if world.planners.count:
        addresses = json.dumps(planner_addresses(plan))
        text += f"[plan]\nplanners = {addresses}\nreport_ms = {world.planners.report_ms}\n{_trust_table(world)}"
    if world.discovery.slice_size:
        text += (
            f'[slices]\nservice = "{slices.SERVICE}"\nnamespace = "{slices.NAMESPACE}"\nport = "http"\n'
            f'cell = "node"\nwatch_s = {world.discovery.watch_s}\n'
        )
    if world.sidecars.storm_guard:
        text += "[storm]\nenabled = true\n"
    if world.clients.speak_graphql:
        text += graphql.settings_table(world)
    return text


def settings_environment(plan: Plan, sidecar: int) -> dict[str, str]:
    """Return the environment variables that set a sidecar's own settings, which differ between sidecars."""
    if not plan.world.discovery.slice_size:
        return {}
    return {"RYEPIER_SLICES__SERVER": f"http://{_format_address(plan.discovery_address(sidecar))}"}


def planner_settings_text(plan: Plan, index: int, snapshots_folder: Path | None) -> str:
    """Return one planner's settings as TOML."""
    addresses = planner_addresses(plan)
    peers = ", ".join(f'planner-{peer} = "{address}"' for peer, address in enumerate(addresses) if peer != index)
    shares = [tenant.share for tenant in plan.world.tenants]
    return (
        f'[logging]\nformat = "json"\n{_trust_table(plan.world)}[planner]\nname = "planner-{index}"\n'
        f'listen = "{addresses[index]}"\npeers = {{ {peers} }}\ntenant_shares = {shares}\n'
        f'snapshots = "{snapshots_folder or ""}"\n'
    )
