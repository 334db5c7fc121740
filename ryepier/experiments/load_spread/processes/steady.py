"""`load-spread-processes` and `load-spread-processes-light`: how evenly do real sidecars spread a load?

Sixty sidecars (full scale: 200), each of which sees little of the load, run without faults at half of the converters'
capacity, or with `-light` at a twentieth. Claims: no converter goes without a start for a window in which twelve are
expected, hardly any attempt is rejected, and bursts are as rare as by chance.
"""

from __future__ import annotations

from collections.abc import Mapping

from ryepier.experiments.core.contract import Claim, Experiment, Run
from ryepier.experiments.load_spread.processes import figures, fleets, measures

LIGHT_WINDOW_S = 6.0  # longer windows for the evenness at light load, at which starts are rare
EXPECTED_START_COUNT = 12  # mean number of starts in a window, which is then practically never empty by chance
MAX_REJECTED_SHARE = 0.005


def count_idle_windows(run: Run) -> int:
    """Return the number of windows without a start at a converter, each long enough for 12 expected starts."""
    window_s = EXPECTED_START_COUNT * run.world.converter_count / run.world.clients.rate_per_s
    end_s = run.world.duration_s
    window_count = int((end_s - fleets.SETTLED_AT_S) / window_s)
    begin_s = end_s - window_count * window_s
    return figures.count_idle_windows(measures.count_starts(run, begin_s, end_s, window_s))


def _claims(run: Run) -> list[Claim]:
    rejected_share = figures.rejected_share(run.history)
    return [
        Claim("windows without a start in which 12 are to be expected", count_idle_windows(run), "==", 0),
        Claim("refused", rejected_share, "<=", MAX_REJECTED_SHARE),
        *measures.burst_claims(measures.measure_bursts(run)),
    ]


def _figures(run: Run, window_s: float = measures.EVENNESS_WINDOW_S) -> Mapping[str, float]:
    spread = measures.spread_figures(run, fleets.SETTLED_AT_S, run.world.duration_s, window_s)
    return spread | {"idle_windows": count_idle_windows(run)}


EXPERIMENTS = (
    Experiment(
        name="load-spread-processes",
        description="60 sidecars (full: 200) that each see little of the load, at half of what the converters can do",
        world=fleets.fleet,
        claims=_claims,
        seeded_faults=("same-order", "same-seed"),
        extra_figures=_figures,
    ),
    Experiment(
        name="load-spread-processes-light",
        description="the same at a twentieth of what the converters can do",
        world=fleets.lightly_loaded_fleet,
        claims=_claims,
        seeded_faults=("same-order",),
        extra_figures=lambda run: _figures(run, LIGHT_WINDOW_S),
    ),
)
