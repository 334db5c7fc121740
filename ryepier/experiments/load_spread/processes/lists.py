"""`load-spread-lists`: is the load even while the sidecars' endpoint lists differ, and after a zone was cut off?

Half of the sidecars keep a stale list while converters are replaced. Later, a zone is cut off from the others for 3 s.
Claims: the replacements are used, requests are served, the load is about as even as with random choice while the lists
differ, and there are no bursts.
"""

from __future__ import annotations

from collections.abc import Mapping

from ryepier.emulator import timeline
from ryepier.emulator.world import FaultKind
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run
from ryepier.experiments.core.worlds import fault_of_kind
from ryepier.experiments.load_spread.processes import fleets, measures

RELEASE_UNDERWAY_AFTER_S = 2.0  # time after the lists became stale at which the release is in progress
SERVICE_RECOVERY_S = 1.0  # time after the end of the cut at which the service level must have recovered
MIN_SERVED_SHARE = 0.9
MIN_SERVICE_LEVEL = 0.95
MAX_UNEVENNESS = 1.5  # highest allowed ratio of the variation to that of random choice, while the lists differ
STALE_END_S = fleets.STALE_AT_S + fleets.STALE_DURATION_S
CUT_MIDDLE_S = fleets.CUT_AT_S + fleets.CUT_DURATION_S / 2
US_PER_S = 1e6


def share_of_replacements_used(run: Run) -> float:
    """Return the share of the replacement converters that received attempts."""
    instances = timeline.build(run.world, run.seed).instances
    replacement_uids = {instance.uid for instance in instances if instance.start_us is not None}
    used_uids = {attempt.uid for attempt in run.history.converter_attempts} & replacement_uids
    return len(used_uids) / max(1, len(replacement_uids))


def share_across_cut(run: Run, begin_s: float, end_s: float) -> float:
    """Return the share of attempts in a part of the run that went from one side of the cut to the other."""
    cut_zone = fault_of_kind(run.world, FaultKind.ZONE_CUT).zone
    instances = timeline.build(run.world, run.seed).instances
    zone_of = {instance.uid: instance.machine.group.zone for instance in instances}
    sidecar_of = {client_attempt.request_id: client_attempt.sidecar for client_attempt in run.history.client_attempts}
    total_count = crossing_count = 0
    for attempt in run.history.converter_attempts:
        is_in_period = begin_s * US_PER_S <= attempt.received_us < end_s * US_PER_S
        if is_in_period and attempt.request_id in sidecar_of:
            sidecar = sidecar_of[attempt.request_id]
            sidecar_zone = run.world.zones[run.world.sidecar_zone(sidecar)]
            total_count += 1
            crossing_count += (sidecar_zone == cut_zone) != (zone_of[attempt.uid] == cut_zone)
    return crossing_count / max(1, total_count)


def _service_between(run: Run, begin_s: float, end_s: float) -> float:
    return figures.service_level(run.operations, figures.due_between(begin_s, end_s))


def _figures(run: Run) -> Mapping[str, float]:
    evenness_with_differing_lists = measures.measure_evenness(
        run, fleets.STALE_AT_S + RELEASE_UNDERWAY_AFTER_S, STALE_END_S
    )
    is_after_cut = phases.from_time(fleets.CUT_END_S + SERVICE_RECOVERY_S, run.world)
    return measures.spread_figures(run, fleets.CUT_END_S + fleets.RECOVERY_S, run.world.duration_s) | {
        "variation_ratio_lists_apart": evenness_with_differing_lists.variation_ratio,
        "across_cut_first_half": share_across_cut(run, fleets.CUT_AT_S, CUT_MIDDLE_S),
        "across_cut_second_half": share_across_cut(run, CUT_MIDDLE_S, fleets.CUT_END_S),
        "service_lists_apart": _service_between(run, fleets.STALE_AT_S, STALE_END_S),
        "service_cut": _service_between(run, fleets.CUT_AT_S, fleets.CUT_END_S),
        "service_after": figures.service_level(run.operations, is_after_cut),
    }


def _claims(run: Run) -> list[Claim]:
    figures_of_run = _figures(run)
    unevenness = figures_of_run["variation_ratio_lists_apart"]
    return [
        Claim("share of replacements in use", share_of_replacements_used(run), "==", 1.0),
        Claim("first tries served in the end", figures_of_run["served_in_the_end"], ">=", MIN_SERVED_SHARE),
        Claim("service while the lists differ", figures_of_run["service_lists_apart"], ">=", MIN_SERVICE_LEVEL),
        Claim("service from 1 s after the cut", figures_of_run["service_after"], ">=", MIN_SERVICE_LEVEL),
        Claim("variation while the lists differ, over by chance", unevenness, "<=", MAX_UNEVENNESS),
        *measures.burst_claims(measures.measure_bursts(run)),
    ]


EXPERIMENT = Experiment(
    name="load-spread-lists",
    description="lists of two ages in the halves of a fleet while converters are replaced, "
    "then a zone cut from the others",
    world=fleets.fleet_with_differing_lists,
    claims=_claims,
    seeded_faults=("same-order",),
    extra_figures=_figures,
)
