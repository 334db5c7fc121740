"""The capacity page's tables, worked out from kept results times the size to design for. Pure, but for reading files.

A row names the figure that it rests on; what it comes to, its share of the budget and its standing follow from the
results, never from the page.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from typing import Literal

import msgspec

from ryepier.experiments.core.contract import RESULT, Result
from ryepier.experiments.scale import slopes
from ryepier.experiments.scale.slopes import Slope, Spread

PLAN = "plan.json"
BEGIN, END = "<!-- {} from here: ryepier experiment capacity -->", "<!-- {} to here -->"
DAY_S = 86_400
MOST_BREAKS = 14  # rows in the list of what breaks first
Standing = Literal["carried", "over", "missing", "not measured"]


class CapacityError(ValueError):
    """Kept results or the page can't be used; says which and why."""


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The size to design for, as the users gave it."""

    sidecars: int
    converters: int
    services: int
    zones: int
    regions: int
    calls_per_s: float
    depth: int
    added_ms: float  # of a call, 99 in 100
    changes_a_day: int
    in_force_s: float
    control_cores: float  # a sidecar's, for control
    control_bytes: float
    control_bytes_per_s: float
    planners: int
    planner_cores: float
    planner_bytes: float
    failed_a_day: int
    replaced_a_day: int

    @property
    def calls_a_sidecar(self) -> float:
        return self.calls_per_s / self.sidecars

    @property
    def zone(self) -> int:
        """Converters in a zone."""
        return self.converters // self.zones

    @property
    def list_changes_per_s(self) -> float:
        """Of the list: each change of configuration as if it changed an entry, and each machine that fails or is
        replaced three times, as it drains, goes and comes again."""
        return (self.changes_a_day + 3 * (self.failed_a_day + self.replaced_a_day)) / DAY_S


class Kept(Result):
    """A result that the page rests on, and when it was measured."""

    date: str = ""


class Value(msgspec.Struct, frozen=True):
    """What a row comes to by one result."""

    at_size: float
    grows: float = 0.0  # the part of it that grows with the size
    slope: Slope | None = None  # in the figure's own unit
    extrapolated: bool = False
    power: int = 1  # of the size, as which that part grows
    fits_to: float | None = None  # the largest share of the size measured that fits, where no line tells it


Work = Callable[[Mapping[str, float], Plan], Value]


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One resource of one role."""

    role: str
    what: str
    unit: str
    mechanism: str = ""  # what carries it; none: missing
    experiment: str = ""
    work: Work | None = None
    slope_unit: str = ""  # of its slope, as "B a converter"
    slope_times: float = 1.0  # from the figure's unit to that
    budget: Callable[[Plan], float] | None = None
    note: str = ""  # where it was not measured, how it would be; where it is missing, its design


class Line(msgspec.Struct, frozen=True):
    """A row with what the results say of it."""

    row: Row
    standing: Standing
    value: Spread | None = None
    slope: Spread | None = None
    fitted: Sequence[Slope] = ()  # the lines behind it, one a seed
    share: float | None = None  # of its budget
    breaks_at: float | None = None  # share of the size at which it is all of its budget
    extrapolated: bool = False
    seeds: tuple[int, ...] = ()
    date: str = ""


# How figures become values


def family(figures: Mapping[str, float], template: str) -> dict[int, float]:
    """Those whose name is the template with a size in place of {}."""
    before, _, after = template.partition("{}")
    pattern = re.compile(re.escape(before) + r"(\d+)" + re.escape(after))
    found = {int(match[1]): value for name, value in figures.items() if (match := pattern.fullmatch(name))}
    return dict(sorted(found.items()))


def on_line(template: str, at: Callable[[Plan], float], times: float = 1.0, plus: str = "") -> Work:
    """By the line through a figure at several sizes, times a factor, plus another figure."""

    def work(figures: Mapping[str, float], plan: Plan) -> Value:
        points, size = family(figures, template), at(plan)
        slope = slopes.fit(list(points), list(points.values()))
        estimate = slope.at(size)
        return Value(
            estimate.value * times + (figures[plus] if plus else 0.0),
            slope.per_unit * size * times,
            slope,
            estimate.extrapolated,
        )

    return work


def level(template: str, times: float = 1.0) -> Work:
    """A figure that does not grow with the size: the middle one of those at several sizes, or the one there is."""
    return lambda figures, plan: Value(slopes.spread(list(family(figures, template).values())).median * times)


def as_is(name: str, power: int = 0) -> Work:
    """A figure told for the size itself; all of it grows as that power of the size."""
    return lambda figures, plan: Value(figures[name], figures[name] if power else 0.0, power=max(1, power))


def over_the_day(idle: str, change: str, times: float, at: Callable[[Plan], float]) -> Work:
    """What stands idle, and a day's changes by the line through the cost of one."""

    def work(figures: Mapping[str, float], plan: Plan) -> Value:
        points, size = family(figures, change), at(plan)
        slope = slopes.fit(list(points), list(points.values()))
        estimate, each = slope.at(size), plan.list_changes_per_s * times
        return Value(
            level(idle)(figures, plan).at_size + each * estimate.value,
            each * slope.per_unit * size,
            slope,
            estimate.extrapolated,
        )

    return work


# The results


def read_plan(folder: Path) -> Plan:
    """Raises CapacityError."""
    try:
        return msgspec.json.decode((folder / PLAN).read_bytes(), type=Plan)
    except (OSError, msgspec.MsgspecError) as error:
        raise CapacityError(f"{folder / PLAN}: {error}") from None


def read_kept(folder: Path) -> list[Kept]:
    """All results in the folder, but for the plan. Raises CapacityError."""
    found = []
    for path in sorted(folder.glob("*.json")):
        if path.name == PLAN:
            continue
        try:
            found.append(msgspec.json.decode(path.read_bytes(), type=Kept))
        except (OSError, msgspec.MsgspecError) as error:
            raise CapacityError(f"{path}: {error}") from None
        if found[-1].seeded_fault:
            raise CapacityError(f"{path}: of a run with a planted mistake")
        if path.name != kept_name(found[-1]):
            raise CapacityError(f"{path}: holds {kept_name(found[-1])}")
    return found


def kept_name(result: Result) -> str:
    return f"{result.name}-{result.seed}.json"


def keep(run: Path, folder: Path, date: str) -> Path:
    """Put the result of a run with those that the page rests on. Raises CapacityError."""
    try:
        result = msgspec.json.decode((run / RESULT).read_bytes(), type=Result)
    except (OSError, msgspec.MsgspecError) as error:
        raise CapacityError(f"{run}: no readable run: {error}") from None
    if result.seeded_fault:
        raise CapacityError(f"{run}: of a run with a planted mistake")
    kept = Kept(**{name: getattr(result, name) for name in Result.__struct_fields__}, date=date)
    path = folder / kept_name(kept)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(kept), indent=1) + b"\n")
    return path


# From rows to lines


def share_at_budget(at_size: float, grows: float, budget: float, power: int = 1) -> float | None:
    """The share of the size at which all of a budget is used; 0 where it is at any, none where it never is."""
    if grows <= 0:
        return 0.0 if at_size > budget else None
    return float(max(0.0, 1.0 + (budget - at_size) / grows) ** (1 / power))


def breaking_share(values: Sequence[Value], at_size: float, budget: float) -> float | None:
    """Over the seeds, the middle one."""
    fits_to = [one.fits_to for one in values if one.fits_to is not None]
    if fits_to:
        return slopes.spread(fits_to).median
    return share_at_budget(at_size, slopes.spread([one.grows for one in values]).median, budget, values[0].power)


def line_of(row: Row, kept: Iterable[Kept], plan: Plan) -> Line:
    """What the results say of a row. Raises CapacityError where they lack what it rests on."""
    if not row.mechanism:
        return Line(row, "missing")
    results = [result for result in kept if row.work is not None and result.name == row.experiment]
    if row.work is None or not results:
        return Line(row, "not measured")
    found, lacks = [], ""
    for result in results:
        try:
            found.append((result, row.work(result.figures, plan)))
        except (KeyError, ValueError) as error:  # a seed may lack a figure that never came to an end in it
            lacks = str(error)
    if not found:
        raise CapacityError(f"{row.role}, {row.what}: {row.experiment} has no such figure: {lacks}")
    results, values = [result for result, _ in found], [value for _, value in found]
    value = slopes.spread([one.at_size for one in values])
    fitted = [one.slope for one in values if one.slope is not None and row.slope_unit]
    budget = row.budget(plan) if row.budget is not None else None
    share = value.median / budget if budget is not None else None
    return Line(
        row,
        "over" if share is not None and share > 1 else "carried",
        value,
        slopes.spread([one.per_unit * row.slope_times for one in fitted]) if fitted else None,
        fitted,
        share,
        breaking_share(values, value.median, budget) if budget is not None else None,
        any(one.extrapolated for one in values),
        tuple(sorted(one.seed for one in results)),
        max(one.date for one in results),
    )


def work_out(rows: Sequence[Row], kept: Sequence[Kept], plan: Plan) -> list[Line]:
    return [line_of(row, kept, plan) for row in rows]


def breaks(lines: Sequence[Line]) -> list[Line]:
    """What breaks first, in order: what no mechanism carries, then by the share of the size at which it does."""
    missing = [line for line in lines if line.standing == "missing"]
    grown = sorted(
        (line for line in lines if line.breaks_at is not None),
        key=lambda line: (line.breaks_at or 0.0, -(line.share or 0.0)),
    )
    return (missing + grown)[:MOST_BREAKS]


# As a page has it


def number(value: float) -> str:
    """Three digits that tell, and no more."""
    if value == 0 or 0.001 <= abs(value) < 1000:
        return f"{value:.3g}"
    if abs(value) < 0.001:
        return f"{value:.2g}"
    digits = len(str(int(abs(value)))) - 3
    return f"{round(value, -digits):,.0f}"


def ranged(spread: Spread) -> str:
    """The median, and the least and the most where they differ."""
    middle, least, most = (number(value) for value in (spread.median, spread.least, spread.most))
    return middle if least == most else f"{middle} ({least} to {most})"


def holds(fitted: Sequence[Slope]) -> str:
    """The sizes that lines hold for, and how far what was measured lies from them, at most."""
    sizes = {(number(one.from_size), number(one.to_size)) for one in fitted}
    return (
        ", ".join(f"{low} to {high}" for low, high in sorted(sizes))
        + f", off by {100 * max(one.relative_residual for one in fitted):.2g}%"
    )


def cells(line: Line) -> list[str]:
    row = line.row
    if line.value is None:
        note = row.note or f"would be by `run {row.experiment}`, three seeds"
        return [row.what, line.standing, note, "", "", row.mechanism, row.experiment]
    share = "none set" if line.share is None else f"{number(100 * line.share)}%"
    value = f"{ranged(line.value)} {row.unit}".rstrip() + (", by calculation" if line.extrapolated else "")
    slope = "" if line.slope is None else f"{ranged(line.slope)} {row.slope_unit}; {holds(line.fitted)}"
    seeds = " ".join(map(str, line.seeds))
    return [row.what, line.standing, value, share, slope, row.mechanism, f"{row.experiment}, {seeds}, {line.date}"]


HEADER = (
    "role",
    "what",
    "standing",
    "at the size",
    "of budget",
    "slope; sizes measured",
    "carried by",
    "experiment, seeds, date",
)


def table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    return "\n".join("| " + " | ".join(row) + " |" for row in (header, ["---"] * len(header), *rows))


def roles(lines: Sequence[Line]) -> str:
    """One table, in the order of the rows; a role is named where it begins."""
    names = ["", *(line.row.role for line in lines)]
    return table(
        HEADER,
        [
            [f"**{line.row.role}**" if line.row.role != before else "", *cells(line)]
            for before, line in zip(names, lines, strict=False)
        ],
    )


def broken(lines: Sequence[Line]) -> str:
    """The list of what breaks first."""
    found = []
    for place, line in enumerate(breaks(lines), 1):
        share = line.breaks_at or 0.0
        at = (
            f"at {number(share)} times the size"
            if share > 1
            else f"at {number(100 * share)}% of the size"
            if share
            else "at any size"
        )
        used = f"{number(100 * (line.share or 0.0))}% of its budget"
        why = "nothing carries it" if line.standing == "missing" else used
        found.append(f"{place}. {line.row.role}, {line.row.what}: {at} ({why})")
    return "\n".join(found)


def sources(kept: Sequence[Kept]) -> str:
    """The experiments behind the tables: scale, machine and which of their claims failed."""
    said = []
    for name in dict.fromkeys(result.name for result in kept):
        mine = [result for result in kept if result.name == name]
        failed = [
            f"seed {one.seed}: {claim['name']} ({number(float(str(claim['value'])))})"
            for one in mine
            for claim in one.claims
            if not claim["holds"]
        ]
        said.append(
            f"{name} ({', '.join(dict.fromkeys(one.scale for one in mine))}, "
            f"{mine[0].versions['cores']} shared cores): "
            + ("every claim holds" if not failed else "fails " + "; ".join(failed))
        )
    return "Kept results: " + "; ".join(said) + "." if said else "No result is kept."


def parts(rows: Sequence[Row], kept: Sequence[Kept], plan: Plan) -> dict[str, str]:
    """What the page has between its markers."""
    lines = work_out(rows, kept, plan)
    return {"tables": roles(lines) + "\n\n" + sources(kept), "breaks": broken(lines)}


def as_objects(lines: Sequence[Line]) -> list[dict[str, object]]:
    """For programs."""
    return [
        {
            "role": line.row.role,
            "what": line.row.what,
            "unit": line.row.unit,
            "mechanism": line.row.mechanism,
            "experiment": line.row.experiment,
            "note": line.row.note,
        }
        | {name: msgspec.to_builtins(getattr(line, name)) for name in Line.__struct_fields__ if name != "row"}
        for line in lines
    ]


def put_in(page: str, made: Mapping[str, str]) -> str:
    """The page with its parts made again. Raises CapacityError where it lacks a marker."""
    for name, text in made.items():
        begin, end = BEGIN.format(name), END.format(name)
        before, found, rest = page.partition(begin)
        _, ends, after = rest.partition(end)
        if not found or not ends:
            raise CapacityError(f"the page has no {begin if not found else end}")
        page = f"{before}{begin}\n\n{text}\n\n{end}{after}"
    return page
