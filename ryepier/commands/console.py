"""Output shared by several commands: client counts during a run, the events of a run, and claims."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from ryepier.commands.exits import ExitCode
from ryepier.emulator.harness import ProgressCallback
from ryepier.emulator.records import RecordedEvent
from ryepier.experiments.core.contract import Claim

PRINT_INTERVAL_S = 2.0  # time between printed lines if standard error is not a terminal
ALWAYS_SHOWN = ("offered", "served")  # counts that are shown even if they are zero
COUNT_NAMES = (*ALWAYS_SHOWN, "refused", "failed", "timeout", "broken", "unreachable", "retries", "open")


def describe_counts(counts: Counter[str]) -> str:
    """Return the clients' counts in one line. Counts of zero are left out, except those in `ALWAYS_SHOWN`."""
    return "  ".join(f"{name} {counts[name]}" for name in COUNT_NAMES if counts[name] or name in ALWAYS_SHOWN)


@contextmanager
def live_summary(title: str, duration_s: float) -> Iterator[ProgressCallback]:
    """Show the clients' counts on standard error: with a progress bar on a terminal, otherwise in a line every 2 s."""
    console = Console(stderr=True)
    if not console.is_terminal:
        yield _make_line_printer()
        return
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), TextColumn("{task.fields[counts]}"))
    with Progress(*columns, console=console) as progress:
        task = progress.add_task(title, total=duration_s, counts="")

        def update_progress(at_s: float, counts: Counter[str]) -> None:
            completed_s = min(max(0.0, at_s), duration_s)
            progress.update(task, completed=completed_s, counts=describe_counts(counts))

        yield update_progress


def _make_line_printer() -> ProgressCallback:
    last_printed_s = -PRINT_INTERVAL_S

    def print_line(at_s: float, counts: Counter[str]) -> None:
        nonlocal last_printed_s
        if at_s >= last_printed_s + PRINT_INTERVAL_S:
            last_printed_s = at_s
            print(f"{at_s:5.1f} s  {describe_counts(counts)}", file=sys.stderr)

    return print_line


def format_events(events: Iterable[RecordedEvent]) -> list[str]:
    """Return a line for each event of a run, with its time in seconds."""
    return [f"{event.at_us / 1e6:8.3f} s  {event.text}" for event in events]


def exit_if_claim_fails(claims: Sequence[Claim]) -> None:
    """Exit with 1 if a claim does not hold; return otherwise."""
    if not all(claim.holds for claim in claims):
        sys.exit(ExitCode.FAILURE)
