"""The rows of the capacity page: each role's resources, what carries them, and the figure that tells."""

from __future__ import annotations

from collections.abc import Mapping

from ryepier.balancer.tuning import RETRY_BUDGET_RATIO
from ryepier.experiments.scale.capacity import Plan, Row, Value, Work, as_is, family, level, on_line, over_the_day

LIST, FAIL, CONTROL, CALL, DEPTH = "scale-list", "scale-fail", "scale-control", "scale-call", "scale-depth"
SIDECAR, PLANNER, DISCOVERY = "Sidecar", "Planner, one of seven", "Discovery and its agent"
CONVERTER, SENDER = "Converter, as many sidecars call it", "Whoever sends out configuration"
WATCH = "watch since a revision"
WHOLE = "whole list, when its revisions are lost"
REPORTS = "reports to every planner"
LOOP = "one process, one loop"
MB = 1e-6
ONE_IN_A_HUNDRED = 0.01
FOLLOW_S = 2.0  # within which forwarders are to avoid a hung converter


def converters(plan: Plan) -> float:
    return plan.converters


def region(plan: Plan) -> float:
    return plan.converters / plan.regions


def sidecars(plan: Plan) -> float:
    return plan.sidecars


def call_cores(template: str) -> Work:
    """Cores for a sidecar's calls, by the line through the CPU of one."""
    return lambda figures, plan: on_line(template, converters, plan.calls_a_sidecar / 1e6)(figures, plan)


def as_cores(name: str) -> Work:
    """The same from the CPU of a call at one size."""
    return lambda figures, plan: Value(figures[name] * plan.calls_a_sidecar / 1e6)


def not_served(figures: Mapping[str, float], plan: Plan) -> Value:
    """Of calls, with all converters known; and up to how many known nearly all are served."""
    served = family(figures, "served_share_369_per_s_{}_known")
    fits = [known for known, share in served.items() if 1.0 - share <= ONE_IN_A_HUNDRED]
    return Value(1.0 - served[plan.converters], fits_to=max(fits, default=0) / plan.converters)


def a_core(plan: Plan) -> float:
    """All that a sidecar has."""
    return 1.0


def burst_ms(plan: Plan) -> float:
    """CPU of a sidecar's budget over the time within which a change is to be in force."""
    return plan.control_cores * plan.in_force_s * 1000


def burst_kb(plan: Plan) -> float:
    """Bytes of a sidecar's budget over that time."""
    return plan.control_bytes_per_s * plan.in_force_s / 1000


def in_force_s(plan: Plan) -> float:
    return plan.in_force_s


def control_bytes_per_s(plan: Plan) -> float:
    return plan.control_bytes_per_s


def sidecar_rows() -> list[Row]:
    of_list = [
        Row(
            role=SIDECAR,
            what="memory, all converters known",
            unit="MB",
            mechanism="Directory, module",
            experiment=LIST,
            work=on_line("memory_bytes_{}", converters, MB, plus="base_mb"),
            slope_unit="B a converter",
            budget=lambda plan: plan.control_bytes * MB,
        ),
        Row(
            role=SIDECAR,
            what="CPU of a day's list changes",
            unit="cores",
            mechanism=WATCH,
            experiment=LIST,
            work=over_the_day("idle_cores_{}", "change_cpu_us_{}", 1e-6, converters),
            slope_unit="us a change, a converter",
            budget=lambda plan: plan.control_cores,
        ),
        Row(
            role=SIDECAR,
            what="messages of a day's list changes",
            unit="B/s",
            mechanism=WATCH,
            experiment=LIST,
            work=over_the_day("idle_bytes_per_s_{}", "change_bytes_{}", 1.0, converters),
            budget=control_bytes_per_s,
        ),
        Row(
            role=SIDECAR,
            what="a zone's changes at once, CPU",
            unit="ms",
            mechanism=WATCH,
            experiment=LIST,
            work=on_line("zone_singly_cpu_ms_{}", converters),
            slope_unit="ms a converter",
            budget=burst_ms,
        ),
        Row(
            role=SIDECAR,
            what="a zone's changes at once, messages",
            unit="KB",
            mechanism=WATCH,
            experiment=LIST,
            work=on_line("zone_singly_bytes_{}", converters, 1e-3),
            slope_unit="B a converter",
            budget=burst_kb,
        ),
        Row(
            role=SIDECAR,
            what="a region's changes at once, CPU",
            unit="ms",
            mechanism=WATCH,
            experiment=FAIL,
            work=on_line("burst_cpu_ms_{}", region),
            slope_unit="us a change",
            slope_times=1000.0,
            budget=burst_ms,
        ),
        Row(
            role=SIDECAR,
            what="whole list after a reconnect, CPU",
            unit="ms",
            mechanism=WHOLE,
            experiment=LIST,
            work=on_line("again_cpu_ms_{}", converters),
            slope_unit="us a converter",
            slope_times=1000.0,
            budget=burst_ms,
        ),
        Row(
            role=SIDECAR,
            what="of it by itself, cutting pieces into objects",
            unit="ms",
            mechanism=WHOLE,
            experiment=LIST,
            work=as_is("alone_list_parse_ms_1600"),
        ),
        Row(
            role=SIDECAR,
            what="the same, come in one piece",
            unit="ms",
            mechanism=WHOLE,
            experiment=LIST,
            work=as_is("alone_list_parse_one_piece_ms_1600"),
        ),
        Row(
            role=SIDECAR,
            what="one change by itself, in the module",
            unit="us",
            mechanism=WATCH,
            experiment=LIST,
            work=on_line("alone_change_module_us_{}", converters),
            slope_unit="ns a converter",
            slope_times=1000.0,
        ),
        Row(
            role=SIDECAR,
            what="whole list after a reconnect, message",
            unit="KB",
            mechanism=WHOLE,
            experiment=LIST,
            work=on_line("again_bytes_{}", converters, 1e-3),
            slope_unit="B a converter",
            budget=burst_kb,
        ),
    ]
    of_reports = [
        row
        for in_use in (30, 150)
        for row in (
            Row(
                role=SIDECAR,
                what=f"reports and plans, {in_use} in use, messages",
                unit="B/s",
                mechanism=REPORTS,
                experiment=CONTROL,
                work=level(f"bytes_per_s_with_seven_{in_use}_in_use_{{}}"),
                budget=control_bytes_per_s,
            ),
            Row(
                role=SIDECAR,
                what=f"reports and plans, {in_use} in use, CPU",
                unit="cores",
                mechanism=REPORTS,
                experiment=CONTROL,
                work=level(f"forwarder_cores_{in_use}_in_use_{{}}"),
                budget=lambda plan: plan.control_cores,
            ),
        )
    ]
    of_calls = [
        *(
            Row(
                role=SIDECAR,
                what=f"a call's added time, 99 in 100, {known} known",
                unit="ms",
                mechanism=LOOP,
                experiment=CALL,
                work=as_is(f"added_p99_ms_369_per_s_{known}_known"),
                budget=lambda plan: plan.added_ms,
            )
            for known in (30, 150)
        ),
        Row(
            role=SIDECAR,
            what="CPU of its calls, 30 known",
            unit="cores",
            mechanism=LOOP,
            experiment=CALL,
            work=as_cores("cpu_us_a_call_369_per_s_30_known"),
            budget=a_core,
        ),
        Row(
            role=SIDECAR,
            what="CPU of its calls, all known",
            unit="cores",
            mechanism=LOOP,
            experiment=CALL,
            work=call_cores("cpu_us_a_call_369_per_s_{}_known"),
            slope_unit="us a call, a converter",
            budget=a_core,
        ),
        Row(
            role=SIDECAR,
            what="of it the module by itself, all known",
            unit="cores",
            mechanism="draw over all known",
            experiment=CALL,
            work=call_cores("module_us_a_call_{}_known"),
            slope_unit="us a call, a converter",
            budget=a_core,
        ),
        Row(
            role=SIDECAR,
            what="calls not served in time, all known",
            unit="of all",
            mechanism=LOOP,
            experiment=CALL,
            work=not_served,
            budget=lambda plan: ONE_IN_A_HUNDRED,
        ),
    ]
    return of_list + of_reports + of_calls


def planner_rows() -> list[Row]:
    return [
        row
        for in_use in (30, 150)
        for row in (
            Row(
                role=PLANNER,
                what=f"CPU, {in_use} in use",
                unit="cores",
                mechanism=REPORTS,
                experiment=CONTROL,
                work=on_line(f"planner_cores_needed_{in_use}_in_use_{{}}", sidecars),
                slope_unit="ms/s a forwarder",
                slope_times=1000.0,
                budget=lambda plan: plan.planner_cores,
            ),
            Row(
                role=PLANNER,
                what=f"memory, {in_use} in use",
                unit="MB",
                mechanism=REPORTS,
                experiment=CONTROL,
                work=on_line(f"planner_resident_bytes_{in_use}_in_use_{{}}", sidecars, MB),
                slope_unit="KB a forwarder",
                slope_times=1e-3,
                budget=lambda plan: plan.planner_bytes * MB,
            ),
            Row(
                role=PLANNER,
                what=f"95% avoid a hung one, {in_use} in use, largest fleet run",
                unit="s",
                mechanism=REPORTS,
                experiment=CONTROL,
                work=as_is(f"avoided_after_s_{in_use}_in_use"),
                budget=lambda plan: FOLLOW_S,
            ),
        )
    ]


def discovery_rows() -> list[Row]:
    return [
        Row(
            role=DISCOVERY,
            what="calls after an outage",
            unit="calls",
            mechanism="one call a sidecar, every 0.1 s",
            experiment=LIST,
            work=on_line("fleet_calls_{}", sidecars),
            slope_unit="a sidecar",
        ),
        Row(
            role=DISCOVERY,
            what="of these within 0.1 s",
            unit="of all",
            mechanism="one call a sidecar, every 0.1 s",
            experiment=LIST,
            work=level("fleet_peak_share_{}"),
        ),
        Row(
            role=DISCOVERY,
            what="until the last has a list of 150 again",
            unit="s",
            mechanism="one call a sidecar, every 0.1 s",
            experiment=LIST,
            work=on_line("fleet_back_alone_s_{}", sidecars),
            slope_unit="ms a sidecar",
            slope_times=1000.0,
            budget=in_force_s,
        ),
        Row(
            role=DISCOVERY,
            what="whole lists to all after an outage",
            unit="MB",
            mechanism=WHOLE,
            experiment=LIST,
            work=whole_lists,
            slope_unit="B a converter, a sidecar",
        ),
        Row(
            role=DISCOVERY,
            what="messages of a zone's changes",
            unit="messages",
            mechanism=WATCH,
            experiment=FAIL,
            work=as_is("zone_messages", power=2),
        ),
        Row(
            role=DISCOVERY,
            what="until the last has a rack's changes, one by one",
            unit="s",
            mechanism=WATCH,
            experiment=FAIL,
            work=as_is("rack_singly_last_s", power=1),
            budget=in_force_s,
        ),
        Row(
            role=DISCOVERY,
            what="until the last has a zone's, one by one",
            unit="s",
            mechanism=WATCH,
            experiment=FAIL,
            work=as_is("zone_singly_last_s", power=2),
            budget=in_force_s,
        ),
        Row(
            role=DISCOVERY,
            what="until the last has a zone's, in one message",
            unit="s",
            mechanism=WATCH,
            experiment=FAIL,
            work=as_is("zone_together_last_s", power=2),
            budget=in_force_s,
        ),
        Row(
            role=DISCOVERY,
            what="until the last has a region's, one by one",
            unit="s",
            mechanism=WATCH,
            experiment=FAIL,
            work=as_is("region_singly_last_s", power=2),
            budget=in_force_s,
        ),
        Row(
            role=DISCOVERY,
            what="until the last has a region's, in one message",
            unit="s",
            mechanism=WATCH,
            experiment=FAIL,
            work=as_is("region_together_last_s", power=2),
            budget=in_force_s,
        ),
    ]


def whole_lists(figures: Mapping[str, float], plan: Plan) -> Value:
    """Bytes over the fleet, where all come back to a discovery without its revisions."""
    return on_line("again_bytes_{}", converters, plan.sidecars * MB)(figures, plan)


def converter_rows() -> list[Row]:
    return [
        *(
            Row(
                role=CONVERTER,
                what=f"attempts a call at the last of 11 services, {said} of them fail",
                unit="",
                mechanism="retry budget a hop, time left",
                experiment=DEPTH,
                work=as_is(f"attempts_a_call_11_deep_{failing:g}_failing"),
                budget=lambda plan: (1 + RETRY_BUDGET_RATIO) ** plan.depth,
            )
            for failing, said in ((0.5, "half"), (1.0, "all"))
        ),
        Row(
            role=CONVERTER,
            what="what a hop multiplies these by, half fail",
            unit="",
            mechanism="retry budget a hop",
            experiment=DEPTH,
            work=as_is("factor_a_hop_0.5_failing"),
            budget=lambda plan: 1 + RETRY_BUDGET_RATIO,
        ),
        Row(
            role=CONVERTER,
            what="connections that sidecars hold to it",
            unit="",
            mechanism="pool, idle ones closed",
            note="hollow converters that count them, hollow sidecars that call at 369 a second over 30 converters",
        ),
        Row(
            role=CONVERTER,
            what="what a cold one gets from all sidecars",
            unit="",
            mechanism="slow start by turns",
            note="the release world in simulation at four sizes of the fleet, the load a converter kept",
        ),
    ]


ROWS = (
    *sidecar_rows(),
    *planner_rows(),
    *discovery_rows(),
    *converter_rows(),
    Row(
        role=SENDER,
        what="a change in force everywhere within 6 s",
        unit="",
        note="SIGHUP takes only discovery's address; its design is below",
    ),
)
