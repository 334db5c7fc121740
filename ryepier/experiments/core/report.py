"""One HTML file for a run: claims, figures, plots and what happened; it needs no network to be opened."""

from __future__ import annotations

import io
from importlib import resources
from pathlib import Path

import jinja2
import markupsafe
import matplotlib
import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from numpy.typing import NDArray

from ryepier.emulator.records import History, RecordedEvent
from ryepier.emulator.world import World
from ryepier.experiments.core import contract, figures
from ryepier.experiments.core.judge import RULES, Breach

matplotlib.use("svg")

REPORT = "report.html"
WINDOW_S = 0.5
MOST_BREACHES = 50  # listed in the report; breaches.json has all
MOST_HAPPENINGS = 200
SIZE_IN = (9.0, 2.6)
CURVES = (("median", 50.0), ("99%", 99.0), ("99.9%", 99.9))


def write(folder: Path) -> Path:
    """Write the report of the run in `folder` beside its files and return its path. Raises OSError and
    msgspec.MsgspecError where these are missing or can't be read."""
    result = msgspec.json.decode((folder / contract.RESULT).read_bytes(), type=contract.Result)
    history = msgspec.msgpack.decode((folder / contract.HISTORY).read_bytes(), type=History)
    world = msgspec.json.decode((folder / contract.WORLD).read_bytes(), type=World)
    breaches = msgspec.json.decode((folder / contract.BREACHES).read_bytes(), type=list[Breach])
    orders = figures.operations(world, history.client_attempts)
    template = jinja2.Environment(autoescape=True).from_string(
        resources.files("ryepier.experiments.core").joinpath("report.html").read_text()
    )
    path = folder / REPORT
    path.write_text(
        template.render(
            result=result,
            world=world,
            breaches=breaches[:MOST_BREACHES],
            breach_count=len(breaches),
            rules=RULES,
            happenings=history.events[:MOST_HAPPENINGS],
            lateness=history.lateness,
            plots=[
                (title, markupsafe.Markup(svg))
                for title, svg in (
                    ("Offered and what became of it", _outcomes(world, history, orders)),
                    ("Latency of what was served", _latencies(world, orders)),
                    ("Latency by percentile", _percentiles(orders)),
                    ("Attempts a converter", _attempts(world, history)),
                    ("CPU and memory of the sidecars", _machines(history)),
                )
            ],
        )
    )
    return path


def happenings(folder: Path) -> list[RecordedEvent]:
    """What was done to the world in the run in `folder`. Raises as `write` does."""
    return msgspec.msgpack.decode((folder / contract.HISTORY).read_bytes(), type=History).events


def _svg(figure: Figure) -> str:
    text = io.StringIO()
    figure.tight_layout()
    figure.savefig(text, format="svg", metadata={"Date": None})
    whole = text.getvalue()
    return whole[whole.index("<svg") :]


def _axes(world: World | None = None) -> tuple[Figure, Axes]:
    figure = Figure(figsize=SIZE_IN)
    axes = figure.add_subplot()
    axes.grid(alpha=0.3)
    if world is not None:
        axes.set_xlabel("seconds of the run")
        for fault in world.faults:
            axes.axvspan(
                fault.at_s,
                fault.at_s + max(fault.for_s, fault.down_s if "kill" in fault.kind else 0.05),
                alpha=0.12,
                color="tab:red",
            )
            axes.annotate(
                fault.kind, (fault.at_s, 1.0), xycoords=("data", "axes fraction"), fontsize=7, rotation=20, va="bottom"
            )
    return figure, axes


def _windows(world: World) -> NDArray[np.float64]:
    return np.arange(0.0, world.duration_s + WINDOW_S, WINDOW_S)


def _outcomes(world: World, history: History, orders: list[figures.Operation]) -> str:
    figure, axes = _axes(world)
    edges = _windows(world)
    first = np.histogram([o.first.planned_us / 1e6 for o in orders], edges)[0] / WINDOW_S
    earned = np.histogram([o.first.planned_us / 1e6 for o in orders if o.earned >= o.worth > 0], edges)[0] / WINDOW_S
    axes.plot(edges[:-1], first, color="black", linewidth=1.0, label="first tries")
    axes.plot(edges[:-1], earned, color="tab:green", linewidth=1.0, label="served within the aim")
    for ending in ("refused", "failed", "timeout", "broken", "unreachable"):
        times = [item.ended_us / 1e6 for item in history.client_attempts if item.outcome == ending]
        if times:
            axes.plot(edges[:-1], np.histogram(times, edges)[0] / WINDOW_S, linewidth=1.0, label=ending)
    axes.set_ylabel("a second")
    axes.legend(fontsize=7, ncols=4)
    return _svg(figure)


def _latencies(world: World, orders: list[figures.Operation]) -> str:
    figure, axes = _axes(world)
    edges = _windows(world)
    groups: dict[int, list[figures.Operation]] = {}
    for order in orders:
        groups.setdefault(int(order.first.planned_us / 1e6 / WINDOW_S), []).append(order)
    for name, percentile in CURVES:
        values = [
            figures.latency_histogram(groups.get(i, [])).get_value_at_percentile(percentile) / 1000
            for i in range(len(edges) - 1)
        ]
        axes.plot(edges[:-1], values, linewidth=1.0, label=name)
    axes.set_ylabel("ms")
    axes.set_yscale("symlog", linthresh=1.0)
    axes.legend(fontsize=7)
    return _svg(figure)


def _percentiles(orders: list[figures.Operation]) -> str:
    figure, axes = _axes()
    histogram: HdrHistogram = figures.latency_histogram(orders)
    shares = 1.0 - np.logspace(0, -4, 200)
    axes.plot(1.0 / (1.0 - shares), [histogram.get_value_at_percentile(100 * s) / 1000 for s in shares])
    axes.set_xscale("log")
    axes.set_xticks([1, 10, 100, 1000, 10000], ["0%", "90%", "99%", "99.9%", "99.99%"])
    axes.set_ylabel("ms")
    return _svg(figure)


def _attempts(world: World, history: History) -> str:
    figure, axes = _axes(world)
    edges = _windows(world)
    uids = sorted({attempt.uid for attempt in history.converter_attempts})
    times: dict[str, list[float]] = {uid: [] for uid in uids}
    for attempt in history.converter_attempts:
        times[attempt.uid].append(attempt.received_us / 1e6)
    if uids:
        rows = np.array([np.histogram(times[uid], edges)[0] / WINDOW_S for uid in uids])
        image = axes.imshow(rows, aspect="auto", origin="lower", extent=(0.0, float(edges[-1]), -0.5, len(uids) - 0.5))
        figure.colorbar(image, label="a second")
    axes.set_ylabel("converter")
    return _svg(figure)


def _machines(history: History) -> str:
    figure, axes = _axes()
    memory = axes.twinx()
    for life in history.incarnations:
        if len(life.samples) < 2:
            continue
        at, cpu, kib = (np.array(column, dtype=np.float64) for column in zip(*life.samples, strict=True))
        axes.plot(at[1:] / 1e6, np.diff(cpu) / np.diff(at), linewidth=0.8)
        memory.plot(at / 1e6, kib / 1024, linewidth=0.8, linestyle=":")
    axes.set_xlabel("seconds of the run")
    axes.set_ylabel("cores (solid)")
    memory.set_ylabel("MiB (dotted)")
    return _svg(figure)
