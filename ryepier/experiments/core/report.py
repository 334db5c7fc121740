"""Writes a run's report, one self-contained HTML file with its claims, figures, plots and events."""

from __future__ import annotations

import io
from collections import defaultdict
from dataclasses import dataclass
from importlib import resources
from pathlib import Path

import jinja2
import markupsafe
import matplotlib
import msgspec
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from numpy.typing import NDArray

from ryepier.emulator.records import History, RecordedEvent
from ryepier.emulator.world import Fault, World
from ryepier.experiments.core import contract, figures
from ryepier.experiments.core.judge import RULES, Breach

matplotlib.use("svg")

REPORT_FILE = "report.html"
WINDOW_S = 0.5  # length of the time windows for which curves show rates and percentiles
MAX_LISTED_BREACHES = 50  # in the report; breaches.json contains all of them
MAX_LISTED_EVENTS = 200  # in the report
PLOT_SIZE_IN = (9.0, 2.6)
LINE_WIDTH_PT = 1.0
SMALL_FONT_PT = 7
MIN_SHADED_S = 0.05  # width of the shading of a fault without a duration
LATENCY_CURVES = (("median", 50.0), ("99%", 99.0), ("99.9%", 99.9))
# tick labels by x position; a percentile, given as the share p, is plotted at x = 1 / (1 - p)
TAIL_TICKS = {1: "0%", 10: "90%", 100: "99%", 1000: "99.9%", 10000: "99.99%"}
PLOTTED_OUTCOMES = ("refused", "failed", "timeout", "broken", "unreachable")
US_PER_S = 1e6
US_PER_MS = 1000


@dataclass(frozen=True, slots=True)
class _SavedRun:
    result: contract.Result
    history: History
    world: World
    breaches: list[Breach]
    operations: list[figures.Operation]


def write(folder: Path) -> Path:
    """Write the report of a run into the run's folder, and return its path.

    Raises OSError and msgspec.MsgspecError if the run's files are missing or unreadable.
    """
    run = _read(folder)
    template = resources.files("ryepier.experiments.core").joinpath("report.html").read_text()
    text = (
        jinja2.Environment(autoescape=True)
        .from_string(template)
        .render(
            result=run.result,
            world=run.world,
            breaches=run.breaches[:MAX_LISTED_BREACHES],
            breach_count=len(run.breaches),
            rules=RULES,
            events=run.history.events[:MAX_LISTED_EVENTS],
            lateness=run.history.lateness,
            plots=[(title, markupsafe.Markup(svg)) for title, svg in _plot_all(run).items()],
        )
    )
    path = folder / REPORT_FILE
    path.write_text(text)
    return path


def events(folder: Path) -> list[RecordedEvent]:
    """Return the events (faults, drains, restarts) of the run in a folder. Raises the same errors as `write`."""
    return _read_history(folder).events


def _read(folder: Path) -> _SavedRun:
    result = msgspec.json.decode((folder / contract.RESULT_FILE).read_bytes(), type=contract.Result)
    history = _read_history(folder)
    world = msgspec.json.decode((folder / contract.WORLD_FILE).read_bytes(), type=World)
    breaches = msgspec.json.decode((folder / contract.BREACHES_FILE).read_bytes(), type=list[Breach])
    return _SavedRun(result, history, world, breaches, figures.group_operations(world, history.client_attempts))


def _read_history(folder: Path) -> History:
    return msgspec.msgpack.decode((folder / contract.HISTORY_FILE).read_bytes(), type=History)


def _plot_all(run: _SavedRun) -> dict[str, str]:
    """Return the plots as SVG, by their titles."""
    return {
        "Offered load and outcomes": _plot_outcomes(run),
        "Latency of served operations": _plot_latencies(run),
        "Latency by percentile": _plot_percentiles(run.operations),
        "Attempts per converter": _plot_attempts(run),
        "CPU and memory of the sidecars": _plot_resources(run.history),
    }


def _to_svg(figure: Figure) -> str:
    """Return a figure as an SVG element, without the XML prolog that HTML does not allow."""
    text = io.StringIO()
    figure.tight_layout()
    figure.savefig(text, format="svg", metadata={"Date": None})
    document = text.getvalue()
    return document[document.index("<svg") :]


def _make_axes(world: World | None = None) -> tuple[Figure, Axes]:
    """Return an empty plot. With a world, the x axis is the time of the run, and the world's faults are shaded."""
    figure = Figure(figsize=PLOT_SIZE_IN)
    axes = figure.add_subplot()
    axes.grid(alpha=0.3)
    if world is not None:
        axes.set_xlabel("seconds of the run")
        for fault in world.faults:
            _shade_fault(axes, fault)
    return figure, axes


def _shade_fault(axes: Axes, fault: Fault) -> None:
    down_s = fault.down_s if "kill" in fault.kind else MIN_SHADED_S
    axes.axvspan(fault.at_s, fault.at_s + max(fault.for_s, down_s), alpha=0.12, color="tab:red")
    axes.annotate(
        fault.kind,
        (fault.at_s, 1.0),
        xycoords=("data", "axes fraction"),
        fontsize=SMALL_FONT_PT,
        rotation=20,
        va="bottom",
    )


def _window_edges(world: World) -> NDArray[np.float64]:
    return np.arange(0.0, world.duration_s + WINDOW_S, WINDOW_S)


def _rate_per_s(times_us: list[int], edges_s: NDArray[np.float64]) -> NDArray[np.float64]:
    """Return the number of events per second in each window."""
    counts: NDArray[np.int64] = np.histogram([at_us / US_PER_S for at_us in times_us], edges_s)[0]
    return counts / WINDOW_S


def _plot_outcomes(run: _SavedRun) -> str:
    figure, axes = _make_axes(run.world)
    edges_s = _window_edges(run.world)
    planned_us = [operation.first_attempt.planned_us for operation in run.operations]
    on_time_planned_us = [
        operation.first_attempt.planned_us
        for operation in run.operations
        if operation.earned_weight >= operation.weight > 0
    ]
    window_starts_s = edges_s[:-1]
    axes.plot(
        window_starts_s,
        _rate_per_s(planned_us, edges_s),
        color="black",
        linewidth=LINE_WIDTH_PT,
        label="first attempts",
    )
    axes.plot(
        window_starts_s,
        _rate_per_s(on_time_planned_us, edges_s),
        color="tab:green",
        linewidth=LINE_WIDTH_PT,
        label="served within the latency objective",
    )
    for outcome in PLOTTED_OUTCOMES:
        times_us = [attempt.ended_us for attempt in run.history.client_attempts if attempt.outcome == outcome]
        if times_us:
            axes.plot(window_starts_s, _rate_per_s(times_us, edges_s), linewidth=LINE_WIDTH_PT, label=outcome)
    axes.set_ylabel("per second")
    axes.legend(fontsize=SMALL_FONT_PT, ncols=4)
    return _to_svg(figure)


def _plot_latencies(run: _SavedRun) -> str:
    figure, axes = _make_axes(run.world)
    window_starts_s = _window_edges(run.world)[:-1]
    operations_by_window: dict[int, list[figures.Operation]] = defaultdict(list)
    for operation in run.operations:
        operations_by_window[int(operation.first_attempt.planned_us / US_PER_S / WINDOW_S)].append(operation)
    histograms = [figures.latency_histogram(operations_by_window[window]) for window in range(len(window_starts_s))]
    for label, percentile in LATENCY_CURVES:
        latencies_ms = [histogram.get_value_at_percentile(percentile) / US_PER_MS for histogram in histograms]
        axes.plot(window_starts_s, latencies_ms, linewidth=LINE_WIDTH_PT, label=label)
    axes.set_ylabel("ms")
    axes.set_yscale("symlog", linthresh=1.0)
    axes.legend(fontsize=SMALL_FONT_PT)
    return _to_svg(figure)


def _plot_percentiles(operations: list[figures.Operation]) -> str:
    figure, axes = _make_axes()
    histogram = figures.latency_histogram(operations)
    tails = np.logspace(0, -4, 200)
    axes.plot(1.0 / tails, [histogram.get_value_at_percentile(100 * (1.0 - tail)) / US_PER_MS for tail in tails])
    axes.set_xscale("log")
    axes.set_xticks(list(TAIL_TICKS), list(TAIL_TICKS.values()))
    axes.set_xlabel("percentile")
    axes.set_ylabel("ms")
    return _to_svg(figure)


def _plot_attempts(run: _SavedRun) -> str:
    figure, axes = _make_axes(run.world)
    edges_s = _window_edges(run.world)
    times_us: dict[str, list[int]] = defaultdict(list)
    for attempt in run.history.converter_attempts:
        times_us[attempt.uid].append(attempt.received_us)
    if times_us:
        rows = np.array([_rate_per_s(times_us[uid], edges_s) for uid in sorted(times_us)])
        extent = (0.0, float(edges_s[-1]), -0.5, len(rows) - 0.5)
        image = axes.imshow(rows, aspect="auto", origin="lower", extent=extent)
        figure.colorbar(image, label="attempts per second")
    axes.set_ylabel("converter")
    return _to_svg(figure)


def _plot_resources(history: History) -> str:
    figure, axes = _make_axes()
    memory_axes = axes.twinx()
    for incarnation in history.incarnations:
        if len(incarnation.samples) < 2:
            continue
        at_us, cpu_us, kib = (np.array(column, dtype=np.float64) for column in zip(*incarnation.samples, strict=True))
        axes.plot(at_us[1:] / US_PER_S, np.diff(cpu_us) / np.diff(at_us), linewidth=0.8)
        memory_axes.plot(at_us / US_PER_S, kib / figures.KIB_PER_MIB, linewidth=0.8, linestyle=":")
    axes.set_xlabel("seconds of the run")
    axes.set_ylabel("cores (solid)")
    memory_axes.set_ylabel("MiB (dotted)")
    return _to_svg(figure)
