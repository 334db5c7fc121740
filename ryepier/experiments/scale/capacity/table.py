"""The rows of the capacity page: the resources of each role, with their mechanisms, estimators and budgets."""

from __future__ import annotations

from ryepier.balancer.tuning import RETRY_BUDGET_RATIO
from ryepier.experiments.scale.capacity.estimates import (
    Estimator,
    Figures,
    RowEstimate,
    daily_changes,
    figures_by_size,
    fitted_line,
    median_over_sizes,
    single_figure,
)
from ryepier.experiments.scale.capacity.plan import Plan
from ryepier.experiments.scale.capacity.rows import Row, SlopeUnit

# experiments
LIST, FAIL, CONTROL, CALL, DEPTH = "scale-list", "scale-fail", "scale-control", "scale-call", "scale-depth"
# roles
SIDECAR, PLANNER, DISCOVERY = "Sidecar", "Planner, one of seven", "Discovery and its agent"
CONVERTER, CONFIG_SENDER = "Converter, as many sidecars call it", "Whoever sends out configuration"
# mechanisms
DIRECTORY = "Directory, module"
WATCH = "watch since a revision"
FULL_LIST = "whole list, when its revisions are lost"
REPORTS = "reports to every planner"
EVENT_LOOP = "one process, one loop"
RANDOM_DRAW = "draw over all known"
SPACED_CALLS = "one call a sidecar, every 0.1 s"
HOP_BUDGET = "retry budget a hop"

MB = 1e-6  # factor from bytes to MB
KB = 1e-3  # factor from bytes to KB
MS_PER_S = 1000.0
CORES_PER_CPU_US = 1e-6  # cores that one microsecond of CPU time per second takes
CONVERTERS_IN_USE = (30, 150)  # converters that a sidecar calls
MAX_FAILED_SHARE = 0.01
MAX_AVOID_S = 2.0
SERVED_SHARE_TEMPLATE = "served_share_369_per_s_{}_known"


def converters(plan: Plan) -> float:
    """Return the planned number of converters."""
    return plan.converters


def converters_per_region(plan: Plan) -> float:
    """Return the planned number of converters in a region."""
    return plan.converters / plan.regions


def sidecars(plan: Plan) -> float:
    """Return the planned number of sidecars."""
    return plan.sidecars


def one_core(plan: Plan) -> float:
    """Return a sidecar's CPU budget for its calls, in cores."""
    return 1.0


def control_cores(plan: Plan) -> float:
    """Return a sidecar's CPU budget for its control plane, in cores."""
    return plan.control_cores


def control_mb(plan: Plan) -> float:
    """Return a sidecar's memory budget for its control plane, in MB."""
    return plan.control_bytes * MB


def control_bytes_per_s(plan: Plan) -> float:
    """Return a sidecar's traffic budget for its control plane, in bytes per second."""
    return plan.control_bytes_per_s


def burst_cpu_ms(plan: Plan) -> float:
    """Return the CPU time, in ms, that a sidecar's control budget allows until a change must be in force."""
    return plan.control_cores * plan.in_force_s * 1000


def burst_kb(plan: Plan) -> float:
    """Return the traffic, in KB, that a sidecar's control budget allows until a change must be in force."""
    return plan.control_bytes_per_s * plan.in_force_s / 1000


def in_force_s(plan: Plan) -> float:
    """Return the time, in seconds, until a change must be in force."""
    return plan.in_force_s


def cores_on_fitted_line(template: str) -> Estimator:
    """Estimate the cores for a sidecar's calls by a line fitted to the CPU time of a call."""

    def estimate(figures: Figures, plan: Plan) -> RowEstimate:
        return fitted_line(template, converters, plan.calls_per_sidecar / 1e6)(figures, plan)

    return estimate


def cores_from_figure(name: str) -> Estimator:
    """Estimate the cores for a sidecar's calls by a figure that holds the CPU time of a call."""
    return lambda figures, plan: RowEstimate(figures[name] * plan.calls_per_sidecar / 1e6)


def failed_share(figures: Figures, plan: Plan) -> RowEstimate:
    """Estimate the share of failed calls if a sidecar knows all converters.

    `fitting_share` is the largest measured number of known converters with an acceptable share of failed calls, divided
    by the planned number.
    """
    served_shares = figures_by_size(figures, SERVED_SHARE_TEMPLATE)
    fitting_counts = [
        known_count for known_count, served_share in served_shares.items() if 1.0 - served_share <= MAX_FAILED_SHARE
    ]
    return RowEstimate(
        1.0 - served_shares[plan.converters], fitting_share=max(fitting_counts, default=0) / plan.converters
    )


def full_lists(figures: Figures, plan: Plan) -> RowEstimate:
    """Estimate the traffic, in MB, of sending the full list to every sidecar."""
    return fitted_line("again_bytes_{}", converters, plan.sidecars * MB)(figures, plan)


# the formatter is off, so that the rows stay readable as a table
# fmt: off
LIST_ROWS = (
    Row(SIDECAR, "memory, all converters known", "MB", DIRECTORY, LIST,
        fitted_line("memory_bytes_{}", converters, MB, added_figure="base_mb"), control_mb, SlopeUnit("B a converter")),
    Row(SIDECAR, "CPU of a day's list changes", "cores", WATCH, LIST,
        daily_changes("idle_cores_{}", "change_cpu_us_{}", CORES_PER_CPU_US, converters), control_cores,
        SlopeUnit("us a change, a converter")),
    Row(SIDECAR, "messages of a day's list changes", "B/s", WATCH, LIST,
        daily_changes("idle_bytes_per_s_{}", "change_bytes_{}", 1.0, converters), control_bytes_per_s),
    Row(SIDECAR, "a zone's changes at once, CPU", "ms", WATCH, LIST,
        fitted_line("zone_singly_cpu_ms_{}", converters), burst_cpu_ms, SlopeUnit("ms a converter")),
    Row(SIDECAR, "a zone's changes at once, messages", "KB", WATCH, LIST,
        fitted_line("zone_singly_bytes_{}", converters, KB), burst_kb, SlopeUnit("B a converter")),
    Row(SIDECAR, "a region's changes at once, CPU", "ms", WATCH, FAIL,
        fitted_line("burst_cpu_ms_{}", converters_per_region), burst_cpu_ms, SlopeUnit("us a change", 1000.0)),
    Row(SIDECAR, "whole list after a reconnect, CPU", "ms", FULL_LIST, LIST,
        fitted_line("again_cpu_ms_{}", converters), burst_cpu_ms, SlopeUnit("us a converter", 1000.0)),
    Row(SIDECAR, "of it by itself, cutting pieces into objects", "ms", FULL_LIST, LIST,
        single_figure("alone_list_parse_ms_1600")),
    Row(SIDECAR, "the same, come in one piece", "ms", FULL_LIST, LIST,
        single_figure("alone_list_parse_one_piece_ms_1600")),
    Row(SIDECAR, "one change by itself, in the module", "us", WATCH, LIST,
        fitted_line("alone_change_module_us_{}", converters), slope=SlopeUnit("ns a converter", 1000.0)),
    Row(SIDECAR, "whole list after a reconnect, message", "KB", FULL_LIST, LIST,
        fitted_line("again_bytes_{}", converters, KB), burst_kb, SlopeUnit("B a converter")),
)


def report_rows(converters_in_use: int) -> tuple[Row, ...]:
    """Return the rows for a sidecar's load reports and plans if it uses `converters_in_use` converters."""
    return (
        Row(SIDECAR, f"reports and plans, {converters_in_use} in use, messages", "B/s", REPORTS, CONTROL,
            median_over_sizes(f"bytes_per_s_with_seven_{converters_in_use}_in_use_{{}}"), control_bytes_per_s),
        Row(SIDECAR, f"reports and plans, {converters_in_use} in use, CPU", "cores", REPORTS, CONTROL,
            median_over_sizes(f"forwarder_cores_{converters_in_use}_in_use_{{}}"), control_cores),
    )


CALL_ROWS = (
    *(
        Row(SIDECAR, f"a call's added time, 99 in 100, {known_count} known", "ms", EVENT_LOOP, CALL,
            single_figure(f"added_p99_ms_369_per_s_{known_count}_known"), lambda plan: plan.added_ms)
        for known_count in (30, 150)
    ),
    Row(SIDECAR, "CPU of its calls, 30 known", "cores", EVENT_LOOP, CALL,
        cores_from_figure("cpu_us_a_call_369_per_s_30_known"), one_core),
    Row(SIDECAR, "CPU of its calls, all known", "cores", EVENT_LOOP, CALL,
        cores_on_fitted_line("cpu_us_a_call_369_per_s_{}_known"), one_core, SlopeUnit("us a call, a converter")),
    Row(SIDECAR, "of it the module by itself, all known", "cores", RANDOM_DRAW, CALL,
        cores_on_fitted_line("module_us_a_call_{}_known"), one_core, SlopeUnit("us a call, a converter")),
    Row(SIDECAR, "calls not served in time, all known", "of all", EVENT_LOOP, CALL,
        failed_share, lambda plan: MAX_FAILED_SHARE),
)


def planner_rows(converters_in_use: int) -> tuple[Row, ...]:
    """Return the rows for a planner if each sidecar uses `converters_in_use` converters."""
    return (
        Row(PLANNER, f"CPU, {converters_in_use} in use", "cores", REPORTS, CONTROL,
            fitted_line(f"planner_cores_needed_{converters_in_use}_in_use_{{}}", sidecars),
            lambda plan: plan.planner_cores, SlopeUnit("ms/s a forwarder", MS_PER_S)),
        Row(PLANNER, f"memory, {converters_in_use} in use", "MB", REPORTS, CONTROL,
            fitted_line(f"planner_resident_bytes_{converters_in_use}_in_use_{{}}", sidecars, MB),
            lambda plan: plan.planner_bytes * MB, SlopeUnit("KB a forwarder", KB)),
        Row(PLANNER, f"95% avoid a hung one, {converters_in_use} in use, largest fleet run", "s", REPORTS, CONTROL,
            single_figure(f"avoided_after_s_{converters_in_use}_in_use"), lambda plan: MAX_AVOID_S),
    )


DISCOVERY_ROWS = (
    Row(DISCOVERY, "calls after an outage", "calls", SPACED_CALLS, LIST,
        fitted_line("fleet_calls_{}", sidecars), slope=SlopeUnit("a sidecar")),
    Row(DISCOVERY, "of these within 0.1 s", "of all", SPACED_CALLS, LIST, median_over_sizes("fleet_peak_share_{}")),
    Row(DISCOVERY, "until the last has a list of 150 again", "s", SPACED_CALLS, LIST,
        fitted_line("fleet_back_alone_s_{}", sidecars), in_force_s, SlopeUnit("ms a sidecar", MS_PER_S)),
    Row(DISCOVERY, "whole lists to all after an outage", "MB", FULL_LIST, LIST,
        full_lists, slope=SlopeUnit("B a converter, a sidecar")),
    Row(DISCOVERY, "messages of a zone's changes", "messages", WATCH, FAIL, single_figure("zone_messages", exponent=2)),
    Row(DISCOVERY, "until the last has a rack's changes, one by one", "s", WATCH, FAIL,
        single_figure("rack_singly_last_s", exponent=1), in_force_s),
    Row(DISCOVERY, "until the last has a zone's, one by one", "s", WATCH, FAIL,
        single_figure("zone_singly_last_s", exponent=2), in_force_s),
    Row(DISCOVERY, "until the last has a zone's, in one message", "s", WATCH, FAIL,
        single_figure("zone_together_last_s", exponent=2), in_force_s),
    Row(DISCOVERY, "until the last has a region's, one by one", "s", WATCH, FAIL,
        single_figure("region_singly_last_s", exponent=2), in_force_s),
    Row(DISCOVERY, "until the last has a region's, in one message", "s", WATCH, FAIL,
        single_figure("region_together_last_s", exponent=2), in_force_s),
)


def depth_row(failing_share: float, description: str) -> Row:
    """Return the row for the attempts at the last service of a chain if a share of these attempts fails."""
    return Row(CONVERTER, f"attempts a call at the last of 11 services, {description} of them fail", "",
               f"{HOP_BUDGET}, time left", DEPTH, single_figure(f"attempts_a_call_11_deep_{failing_share:g}_failing"),
               lambda plan: (1 + RETRY_BUDGET_RATIO) ** plan.depth)


CONVERTER_ROWS = (
    depth_row(0.5, "half"),
    depth_row(1.0, "all"),
    Row(CONVERTER, "what a hop multiplies these by, half fail", "", HOP_BUDGET, DEPTH,
        single_figure("factor_a_hop_0.5_failing"), lambda plan: 1 + RETRY_BUDGET_RATIO),
    Row(CONVERTER, "connections that sidecars hold to it", "", "pool, idle ones closed",
        note="hollow converters that count them, hollow sidecars that call at 369 a second over 30 converters"),
    Row(CONVERTER, "what a cold one gets from all sidecars", "", "slow start by turns",
        note="the release world in simulation at four sizes of the fleet, the load a converter kept"),
)

ROWS = (
    *LIST_ROWS,
    *(row for count in CONVERTERS_IN_USE for row in report_rows(count)),
    *CALL_ROWS,
    *(row for count in CONVERTERS_IN_USE for row in planner_rows(count)),
    *DISCOVERY_ROWS,
    *CONVERTER_ROWS,
    Row(CONFIG_SENDER, "a change in force everywhere within 6 s", "",
        note="SIGHUP takes only discovery's address; its design is below"),
)
# fmt: on
