"""The files that a world's sidecars and planners are started with: the platform's configuration and the operators'."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from ryepier.emulator import discovery, graphql, slices, timeline
from ryepier.emulator.process import Plan
from ryepier.emulator.world import World


def sidecar_settings(world: World, index: int) -> dict[str, Any]:
    """The platform's settings for one sidecar, as its configuration holds them."""

    def whole_us(milliseconds: float) -> int:
        return round(milliseconds * 1000)

    classes = [
        {
            "name": kind.name,
            "aim": whole_us(kind.objective_ms),
            "deadline": whole_us(kind.deadline_ms),
            "worth": kind.priority_weight,
            "late-worth": kind.late_weight,
            "effect": kind.effect,
            "group": kind.group,
            "memory-span": whole_us(kind.idempotency_window_ms),
            "stream": False,
        }
        for kind in world.classes
    ]
    accounts = [
        {"name": tenant.name, "share": tenant.share, "allowance-per-s": tenant.share * world.clients.rate_per_s}
        for tenant in world.tenants
    ]
    sidecars, warmth = world.sidecars, world.warmth
    return {
        "accounts": accounts,
        "areas": world.zones,
        "fees": {"cross-zone": 0.0},
        "granularity": 1000,
        "instances": sidecars.count,
        "kinds": sorted({group.model for group in world.converters}),
        "locality": world.sidecar_zone(index),
        "over-share-worth": 0.2,
        "registry-mode": "on_request" if sidecars.list_on_request else "pushed",
        "report": {"how": "answers", "names": world.reports.names},
        "request-classes": classes,
        "self-index": index,
        "value-by": "request",
        "weights": "nominal",
        "bounds": {
            "cancel": True,
            "conn-idle": round(min(g.idle_close_s for g in world.converters) * 1e6),
            "dial-timeout": whole_us(sidecars.dial_timeout_ms),
            "max-retry-after": whole_us(sidecars.max_retry_after_ms),
            "most-tries": sidecars.max_attempts,
            "probes": True,
            "retry-after": sidecars.max_retry_after_ms > 0,
            "second-copies": False,
        },
        "invariants": {
            "ask-within": 2_500_000,
            "cold-share": warmth.initial_capacity_share,
            "drain-grace": whole_us(sidecars.drain_grace_ms),
            "fall": round(warmth.overload_window_s * 1e6),
            "overload-factor": warmth.overload_factor,
            "warm-up": round(warmth.warm_up_s * 1e6),
        },
    }


def platform_files(plan: Plan, built: timeline.Timeline) -> list[str]:
    """The platform's configuration of each sidecar, as JSON."""
    world, listing = plan.world, discovery.first_list(plan, built)
    texts = []
    for index in range(world.sidecars.count):
        listen, agent = plan.sidecar_address(index), plan.discovery_address(index)
        texts.append(
            json.dumps(
                {
                    "name": f"n{index}",
                    "listen": f"{listen[0]}:{listen[1]}",
                    "discovery": f"{agent[0]}:{agent[1]}",
                    "seed": f"{plan.seed * 1000 + index:x}",
                    "known": listing,
                    "limits": {"cores": 1.0, "memory_mb": world.sidecars.memory_mb, "sockets": world.sidecars.sockets},
                    "settings": sidecar_settings(world, index),
                }
            )
        )
    return texts


def has_operators_file(world: World) -> bool:
    """Whether its sidecars are more than the platform's."""
    return bool(
        world.planners.count or world.discovery.slice_size or world.clients.speak_graphql or world.sidecars.storm
    )


def planner_addresses(plan: Plan) -> list[str]:
    return [":".join(map(str, plan.planner_address(index))) for index in range(plan.world.planners.count)]


def _trust(world: World) -> str:
    return f"[trust]\nfleet = {world.sidecars.count}\n"


def operators_text(plan: Plan) -> str:
    """The sidecars' common operators' file."""
    world = plan.world
    text = '[logging]\nformat = "json"\nlines_per_s = 200\n'
    if world.planners.count:
        addresses = json.dumps(planner_addresses(plan))
        text += f"[plan]\nplanners = {addresses}\nreport_ms = {world.planners.report_ms}\n{_trust(world)}"
    if world.discovery.slice_size:
        text += (
            f'[slices]\nservice = "{slices.SERVICE}"\nnamespace = "{slices.NAMESPACE}"\nport = "http"\n'
            f'cell = "node"\nwatch_s = {world.discovery.watch_s}\n'
        )
    if world.sidecars.storm:
        text += "[storm]\nenabled = true\n"
    if world.clients.speak_graphql:
        text += graphql.operators_table(world)
    return text


def operators_environment(plan: Plan, sidecar: int) -> dict[str, str]:
    """What differs between the sidecars."""
    if not plan.world.discovery.slice_size:
        return {}
    host, port = plan.discovery_address(sidecar)
    return {"RYEPIER_SLICES__SERVER": f"http://{host}:{port}"}


def planner_text(plan: Plan, index: int, snapshots: Path | None) -> str:
    """One planner's operators' file."""
    addresses = planner_addresses(plan)
    peers = ", ".join(f'planner-{i} = "{address}"' for i, address in enumerate(addresses) if i != index)
    shares = [tenant.share for tenant in plan.world.tenants]
    return (
        f'[logging]\nformat = "json"\n{_trust(plan.world)}[planner]\nname = "planner-{index}"\n'
        f'listen = "{addresses[index]}"\npeers = {{ {peers} }}\ntenant_shares = {shares}\n'
        f'snapshots = "{snapshots or ""}"\n'
    )
