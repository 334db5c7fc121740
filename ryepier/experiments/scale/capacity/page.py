"""Formats the capacity page as Markdown: tables by role, the limits that are reached first, and the kept results."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from ryepier.experiments.scale.capacity.plan import CapacityError, Plan
from ryepier.experiments.scale.capacity.results import KeptResult
from ryepier.experiments.scale.capacity.rows import Row, RowResult, Standing, evaluate
from ryepier.experiments.scale.slopes import Slope, Spread

BEGIN_MARKER, END_MARKER = "<!-- {} from here: ryepier experiment capacity -->", "<!-- {} to here -->"
TABLES_PART, LIMITS_PART = "tables", "breaks"  # parts of the page, named in its markers
MAX_LISTED_LIMITS = 14  # most rows in the list of the limits that are reached first
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


def make_parts(rows: Sequence[Row], kept_results: Sequence[KeptResult], plan: Plan) -> dict[str, str]:
    """Return the text between the page's markers, by part. Raises CapacityError like `evaluate_row`."""
    results = evaluate(rows, kept_results, plan)
    return {
        TABLES_PART: format_roles(results) + "\n\n" + format_sources(kept_results),
        LIMITS_PART: format_first_limits(results),
    }


def replace_parts(page: str, parts: Mapping[str, str]) -> str:
    """Return the page with the text between its markers replaced. Raises CapacityError if it lacks a marker."""
    for name, text in parts.items():
        begin_marker, end_marker = BEGIN_MARKER.format(name), END_MARKER.format(name)
        text_before, found_begin, rest = page.partition(begin_marker)
        _, found_end, text_after = rest.partition(end_marker)
        if not found_begin or not found_end:
            raise CapacityError(f"the page has no marker {begin_marker if not found_begin else end_marker}")
        page = f"{text_before}{begin_marker}\n\n{text}\n\n{end_marker}{text_after}"
    return page


def first_limits_reached(results: Sequence[RowResult]) -> list[RowResult]:
    """Return the rows whose limits are reached first, at most `MAX_LISTED_LIMITS`.

    Rows without a mechanism come first, then the others by the size at which their budget is used up.
    """
    missing_results = [result for result in results if result.standing is Standing.MISSING]
    limited_results = [result for result in results if result.breaks_at is not None]
    limited_results.sort(key=lambda result: (result.breaks_at or 0.0, -(result.share or 0.0)))
    return (missing_results + limited_results)[:MAX_LISTED_LIMITS]


def format_number(value: float) -> str:
    """Return a number with three significant digits, or with two if it is below 0.001."""
    if value == 0 or 0.001 <= abs(value) < 1000:
        return f"{value:.3g}"
    if abs(value) < 0.001:
        return f"{value:.2g}"
    digits = len(str(int(abs(value)))) - 3
    return f"{round(value, -digits):,.0f}"


def format_spread(spread: Spread) -> str:
    """Return the median as text, with the range if the values differ."""
    median, least, most = (format_number(value) for value in (spread.median, spread.least, spread.most))
    return median if least == most else f"{median} ({least} to {most})"


def format_fit(lines: Sequence[Slope]) -> str:
    """Return the ranges of sizes that lines were fitted to, and their largest relative residual, as text."""
    ranges = {(format_number(slope.from_size), format_number(slope.to_size)) for slope in lines}
    residual_percent = 100 * max(slope.relative_residual for slope in lines)
    return ", ".join(f"{low} to {high}" for low, high in sorted(ranges)) + f", off by {residual_percent:.2g}%"


def format_cells(result: RowResult) -> list[str]:
    """Return the cells of a row, without the role."""
    row = result.row
    if result.value is None:
        note = row.note or f"would be by `run {row.experiment}`, three seeds"
        return [row.resource, result.standing, note, "", "", row.mechanism, row.experiment]
    share = "none set" if result.share is None else f"{format_number(100 * result.share)}%"
    value = f"{format_spread(result.value)} {row.unit}".rstrip()
    if result.is_extrapolated:
        value += ", by calculation"
    slope = ""
    if result.slope is not None and row.slope is not None:
        slope = f"{format_spread(result.slope)} {row.slope.text}; {format_fit(result.fitted)}"
    source = f"{row.experiment}, {' '.join(map(str, result.seeds))}, {result.date}"
    return [row.resource, result.standing, value, share, slope, row.mechanism, source]


def format_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    return "\n".join("| " + " | ".join(row) + " |" for row in (header, ["---"] * len(header), *rows))


def format_roles(results: Sequence[RowResult]) -> str:
    """Return a table in the order of the results, with the name of a role only in its first row."""
    rows = []
    previous_role = ""
    for result in results:
        role = f"**{result.row.role}**" if result.row.role != previous_role else ""
        rows.append([role, *format_cells(result)])
        previous_role = result.row.role
    return format_table(HEADER, rows)


def format_first_limits(results: Sequence[RowResult]) -> str:
    """Return a numbered list of the rows whose limits are reached first."""
    lines = []
    for rank, result in enumerate(first_limits_reached(results), 1):
        used_share = f"{format_number(100 * (result.share or 0.0))}% of its budget"
        reason = "nothing carries it" if result.standing is Standing.MISSING else used_share
        size = _format_breaking_size(result.breaks_at or 0.0)
        lines.append(f"{rank}. {result.row.role}, {result.row.resource}: {size} ({reason})")
    return "\n".join(lines)


def _format_breaking_size(share: float) -> str:
    if share > 1:
        return f"at {format_number(share)} times the size"
    return f"at {format_number(100 * share)}% of the size" if share else "at any size"


def format_sources(kept_results: Sequence[KeptResult]) -> str:
    """Return a sentence that names the experiments behind the tables, with scale, cores and failed claims."""
    names = dict.fromkeys(result.name for result in kept_results)
    if not names:
        return "No result is kept."
    sources = [_format_source(name, [result for result in kept_results if result.name == name]) for name in names]
    return "Kept results: " + "; ".join(sources) + "."


def _format_source(name: str, results: Sequence[KeptResult]) -> str:
    failed_claims = [
        f"seed {result.seed}: {claim['name']} ({format_number(float(str(claim['value'])))})"
        for result in results
        for claim in result.claims
        if not claim["holds"]
    ]
    scales = ", ".join(dict.fromkeys(result.scale for result in results))
    verdict = "fails " + "; ".join(failed_claims) if failed_claims else "every claim holds"
    return f"{name} ({scales}, {results[0].versions['cores']} shared cores): {verdict}"
