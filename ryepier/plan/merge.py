"""What a planner knows: the reports of all forwarders, each counted once however often and in whatever order it came.

Pure. Counters are merged by taking the greater value, which neither order nor repetition changes; what is recent is
made from their growth and fades, so that old trouble is forgotten.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import zip_longest

from ryepier.plan.messages import TIME_BUCKETS, Report, Seen, Term

MEMORY_US = 2_000_000  # what is recent fades to a third within it
HEARD_US = 3_000_000  # a forwarder that was not heard for longer does not count
FORGET_US = 60_000_000  # and is forgotten after this, as are converters that nobody saw
NEARLY_NONE = 0.01


@dataclass(slots=True)
class Recent:
    """Counts that fade with time, by their growth alone."""

    served: float = 0.0
    bad: float = 0.0
    full: float = 0.0
    times: list[float] = field(default_factory=lambda: [0.0] * TIME_BUCKETS)
    at_us: int = 0

    def fade(self, now_us: int) -> None:
        if now_us <= self.at_us:
            return
        share = math.exp(-max(0, now_us - self.at_us) / MEMORY_US)
        self.served *= share
        self.bad *= share
        self.full *= share
        self.times = [count * share for count in self.times]
        self.at_us = max(self.at_us, now_us)


@dataclass(slots=True)
class Cell:
    """One converter as one forwarder sees it."""

    seen: Seen
    recent: Recent


@dataclass(slots=True)
class Forwarder:
    """All that one process life of a forwarder has reported."""

    boot: int
    since_us: int  # its first report came
    heard_us: int
    number: int = 0
    listed: int = 0
    cells: dict[str, Cell] = field(default_factory=dict)
    outstanding: dict[str, int] = field(default_factory=dict)
    arrivals: list[int] = field(default_factory=list)
    recent_arrivals: list[float] = field(default_factory=list)
    class_arrivals: list[int] = field(default_factory=list)
    recent_class_arrivals: list[float] = field(default_factory=list)
    refused: int = 0
    recent_refused: float = 0.0
    rates_us: int = 0
    term: Term = Term()
    plan_taken_us: int = 0  # by this planner's clock


def greater(one: Seen, other: Seen) -> Seen:
    """The merge of two states of the same counters."""
    return Seen(
        max(one.sends, other.sends),
        max(one.served, other.served),
        max(one.bad, other.bad),
        max(one.full, other.full),
        tuple(map(max, zip_longest(one.times[:TIME_BUCKETS], other.times[:TIME_BUCKETS], fillvalue=0))),
    )


def _grow(whole: list[int], recent: list[float], counts: list[int], share: float, first: bool) -> None:
    """Take counters as they stand now; what they grew by is recent."""
    whole += [0] * (len(counts) - len(whole))
    recent += [0.0] * (len(counts) - len(recent))
    for index, count in enumerate(counts):
        recent[index] = recent[index] * share + (0 if first else max(0, count - whole[index]))
        whole[index] = max(whole[index], count)


class Evidence:
    """The merged reports, on the planner's own clock."""

    def __init__(self, now_us: int) -> None:
        self.since_us = now_us
        self.forwarders: dict[str, Forwarder] = {}

    def merge(self, now_us: int, name: str, boot: int, report: Report) -> bool:
        """Count a report; False where it comes from an earlier life of its forwarder and is not counted."""
        known = self.forwarders.get(name)
        if known is not None and boot < known.boot:
            return False
        if known is None or boot > known.boot:
            known = self.forwarders[name] = Forwarder(boot, now_us, now_us, rates_us=now_us)
        first = known.number == 0
        for uid, seen in report.seen.items():
            self._merge_cell(now_us, known, uid, seen, first)
        known.heard_us = max(known.heard_us, now_us)
        if report.number > known.number:  # the rest is no counter: what is newest counts
            self._merge_rates(now_us, known, report, first)
            known.number, known.listed, known.outstanding = report.number, report.listed, report.outstanding
        if report.term >= known.term:
            known.term = report.term
            known.plan_taken_us = max(known.plan_taken_us, now_us - report.plan_age_ms * 1000)
        return True

    @staticmethod
    def _merge_cell(now_us: int, known: Forwarder, uid: str, seen: Seen, first: bool) -> None:
        cell = known.cells.get(uid)
        if cell is None:
            # what a forwarder saw before this planner heard of it is no news; a converter new to it begins at 0
            cell = known.cells[uid] = Cell(seen if first else Seen(), Recent(at_us=now_us))
        merged, recent = greater(cell.seen, seen), cell.recent
        recent.fade(now_us)
        recent.served += merged.served - cell.seen.served
        recent.bad += merged.bad - cell.seen.bad
        recent.full += merged.full - cell.seen.full
        for index, count in enumerate(merged.times):
            recent.times[index] += count - (cell.seen.times[index] if index < len(cell.seen.times) else 0)
        cell.seen = merged

    @staticmethod
    def _merge_rates(now_us: int, known: Forwarder, report: Report, first: bool) -> None:
        share = math.exp(-max(0, now_us - known.rates_us) / MEMORY_US)
        known.rates_us = now_us
        _grow(known.arrivals, known.recent_arrivals, report.arrivals, share, first)
        _grow(known.class_arrivals, known.recent_class_arrivals, report.class_arrivals, share, first)
        known.recent_refused = known.recent_refused * share + (0 if first else max(0, report.refused - known.refused))
        known.refused = max(known.refused, report.refused)

    def forget(self, now_us: int) -> None:
        """What is too old to tell anything. Hazard: forwarders and converters come and go for ever."""
        self.forwarders = {
            name: known for name, known in self.forwarders.items() if known.heard_us > now_us - FORGET_US
        }
        for known in self.forwarders.values():
            known.cells = {
                uid: cell
                for uid, cell in known.cells.items()
                if cell.recent.at_us > now_us - FORGET_US or uid in known.outstanding
            }

    def heard(self, now_us: int) -> dict[str, Forwarder]:
        """Those that count now, their recent counts brought up to date."""
        found = {name: known for name, known in self.forwarders.items() if known.heard_us > now_us - HEARD_US}
        for known in found.values():
            for cell in known.cells.values():
                at_us = cell.recent.at_us
                cell.recent.fade(now_us)
                if cell.recent.served + cell.recent.bad + cell.recent.full < NEARLY_NONE:
                    cell.recent.at_us = at_us  # nothing new: it goes on ageing
        return found

    def totals(self) -> dict[str, dict[str, Seen]]:
        """The merged counters: the same for any order and repetition of the same reports."""
        return {name: {uid: cell.seen for uid, cell in known.cells.items()} for name, known in self.forwarders.items()}
