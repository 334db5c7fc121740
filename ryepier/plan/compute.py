"""From evidence to a plan: which converters are bad, slow or well, and whether it is they at all.

Pure: a function of the evidence, what was judged before, and time. Figures are named and reasoned here; the rules that
forwarders hold plans to are theirs (`follow.py`), and a planner publishes nothing that would not pass them.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from typing import Literal

from ryepier.plan.follow import Rules
from ryepier.plan.merge import MEMORY_US, Evidence, Forwarder, Recent
from ryepier.plan.messages import TIME_BUCKETS, Entry, Plan, Term
from ryepier.plan.messages import Evidence as Basis

LEAST_BAD = 2.0  # recent bad ends at a converter that are more than chance
BAD_SHARE = 0.5  # of its recent ends: below it, what goes wrong may be a part of the requests
WELL_SHARE = 0.25
LEAST_VOTERS = 2  # forwarders that must have seen it: one alone may be broken itself
VOTE = 0.5  # recent bad ends from which a forwarder has a say against a converter
MOST_SAY = 3.0  # ends of one forwarder at one converter that count: whoever shouts is not heard further
LIAR_SHARE = 0.5  # a forwarder for whom so much is bad, where the same converters are well for the others, is not heard
LIAR_CONVERTERS = 3
TRIALS = 2  # forwarders that may try a resting converter at a time: enough to see it come back
LEAST_REST_US = 1_000_000
STEP_US = 2_000_000  # between the steps by which a converter comes back
STEPS = (0.25, 0.5)  # of its usual weight
LEAST_SERVED = 5.0  # recent answers that make a converter's usual time
SLOW = 2.0  # times the median of all converters; machines differ by less
SLOWEST = 3.0  # from here on each forwarder sends one at a time
LEAST_WEIGHT = 0.2
OVERLOADED = 0.02  # share of arrivals refused from which shares of tenants matter
VALID_MS = 2_000  # four plans' time: one that is lost costs nothing
FADE_MS = 30_000  # half a minute of most of what was known: a planner is started again within it

State = Literal["rests", "returns"]


@dataclass(slots=True)
class Judged:
    """A converter that is not as usual."""

    state: State
    since_us: int
    step: int = 0


def say(recent: Recent) -> float:
    """By what a forwarder's recent counts at one converter are multiplied, so that none outweighs the others."""
    return min(1.0, MOST_SAY / max(MOST_SAY, recent.served + recent.bad))


@dataclass(slots=True)
class _Sum:
    served: float = 0.0
    bad: float = 0.0
    times: list[float] = field(default_factory=lambda: [0.0] * TIME_BUCKETS)
    voters: int = 0
    users: int = 0

    @property
    def median_ms(self) -> float:
        """Of its answers' times, evenly within a bucket. Hazard: by the mean a few heavy requests would make a
        converter slow."""
        half, seen = sum(self.times) / 2, 0.0
        for index, count in enumerate(self.times):
            if count > 0.0 and seen + count >= half:
                low = float(2 ** (index - 1)) if index else 0.0
                return low + (2.0**index - low) * (half - seen) / count
            seen += count
        return 0.0

    @property
    def bad_share(self) -> float:
        return self.bad / (self.served + self.bad) if self.served + self.bad > 0 else 0.0


class Planner:
    """What was judged so far, and the plans made of it."""

    def __init__(self, rules: Rules, tenant_shares: list[float], class_limits: list[float] | None = None) -> None:
        self.rules = rules
        self.class_limits = class_limits or []  # arrivals a second over all forwarders; 0 = no limit
        self.tenant_shares = tenant_shares
        self.judged: dict[str, Judged] = {}
        self.liars: set[str] = set()
        self.fleet_trouble = False

    def basis(self, now_us: int, evidence: Evidence) -> Basis:
        """What a plan made now would rest on."""
        heard = evidence.heard(now_us)
        return self._basis(now_us, evidence, heard, self._sums(heard))

    def _basis(self, now_us: int, evidence: Evidence, heard: dict[str, Forwarder], sums: dict[str, _Sum]) -> Basis:
        listed = max((known.listed for known in heard.values()), default=0)
        window_ms = min(now_us - evidence.since_us, MEMORY_US) // 1000
        attempts = sum(total.served + total.bad for total in sums.values())
        return Basis(len(heard), max(0, window_ms), len(sums), listed, int(attempts))

    def sound(self, basis: Basis) -> bool:
        """Whether it is enough to speak at all: a planner that has just started knows nothing."""
        rules = self.rules
        return (
            basis.forwarders >= max(1.0, rules.least_reporters * rules.fleet)
            and basis.window_ms >= rules.least_window_ms
            and basis.covered >= rules.least_covered * basis.listed
            and basis.listed > 0
        )

    def plan(self, now_us: int, evidence: Evidence, term: Term, number: int) -> Plan | None:
        """The plan for now, or None while the evidence is not enough."""
        heard = evidence.heard(now_us)
        self.liars = self._find_liars(heard)
        sums = self._sums(heard)
        basis = self._basis(now_us, evidence, heard, sums)
        if not self.sound(basis):
            return None
        self._judge(now_us, sums, basis)
        entries = self._entries(sums, len(heard))
        return Plan(
            term, number, basis, entries, VALID_MS, FADE_MS, self._tenant_worth(heard), self._class_admit(heard)
        )

    def resting(self) -> set[str]:
        return {uid for uid, judged in self.judged.items() if judged.state == "rests"}

    def _sums(self, heard: dict[str, Forwarder]) -> dict[str, _Sum]:
        """By converter, over the forwarders that are heard."""
        sums: dict[str, _Sum] = {}
        for name, known in heard.items():
            if name in self.liars:
                continue
            for uid, cell in known.cells.items():
                total, recent = sums.setdefault(uid, _Sum()), cell.recent
                part = say(recent)
                total.served += recent.served * part
                total.bad += recent.bad * part
                if recent.served > 0.0:
                    for index, count in enumerate(recent.times):
                        if count:
                            total.times[index] += count * part
                total.voters += recent.bad >= VOTE
                total.users += recent.served + recent.bad >= VOTE
        return sums

    def _find_liars(self, heard: dict[str, Forwarder]) -> set[str]:
        """Forwarders for whom most is bad, at converters that are well for all the others."""
        whole: dict[str, _Sum] = {}
        for known in heard.values():
            for uid, cell in known.cells.items():
                total = whole.setdefault(uid, _Sum())
                part = say(cell.recent)
                total.served += cell.recent.served * part
                total.bad += cell.recent.bad * part
        found = set()
        for name, known in heard.items():
            bad = {uid: cell.recent for uid, cell in known.cells.items() if cell.recent.bad >= VOTE}
            own = _Sum(
                sum(cell.recent.served for cell in known.cells.values()),
                sum(cell.recent.bad for cell in known.cells.values()),
            )
            if len(bad) < LIAR_CONVERTERS or own.bad_share < LIAR_SHARE:
                continue
            others = _Sum(
                sum(whole[uid].served - recent.served * say(recent) for uid, recent in bad.items()),
                sum(whole[uid].bad - recent.bad * say(recent) for uid, recent in bad.items()),
            )
            if others.served + others.bad >= LEAST_BAD and others.bad_share < WELL_SHARE:
                found.add(name)
        return found

    def _is_bad(self, total: _Sum) -> bool:
        return (
            total.bad >= LEAST_BAD
            and total.bad_share >= BAD_SHARE
            and total.voters >= min(LEAST_VOTERS, max(1, total.users))
        )

    def _judge(self, now_us: int, sums: dict[str, _Sum], basis: Basis) -> None:
        """Who begins to rest, comes back, or is as usual again."""
        bad = {uid for uid, total in sums.items() if self._is_bad(total)}
        resting = {uid for uid, judged in self.judged.items() if judged.state == "rests"} | bad
        # hazard: where much of the fleet is bad, it is the load or the network: resting it would push over the rest
        self.fleet_trouble = len(resting) > self.rules.most_resting * max(1, basis.listed)
        for uid in list(self.judged):
            if uid not in sums and now_us > self.judged[uid].since_us + MEMORY_US * 15:
                del self.judged[uid]  # nobody has it any more
        for uid, judged in list(self.judged.items()):
            total = sums.get(uid, _Sum())
            if uid in bad:
                if judged.state != "rests":
                    self.judged[uid] = Judged("rests", now_us)
            elif judged.state == "rests":
                well = total.served >= 1.0 and total.bad_share < WELL_SHARE
                if well and now_us >= judged.since_us + LEAST_REST_US:
                    self.judged[uid] = Judged("returns", now_us)
            elif now_us >= judged.since_us + STEP_US:
                if judged.step + 1 < len(STEPS):
                    self.judged[uid] = Judged("returns", now_us, judged.step + 1)
                else:
                    del self.judged[uid]
        for uid in bad - self.judged.keys():
            self.judged[uid] = Judged("rests", now_us)

    def _entries(self, sums: dict[str, _Sum], forwarders: int) -> dict[str, Entry]:
        entries: dict[str, Entry] = {}
        times = {uid: total.median_ms for uid, total in sums.items() if total.served >= LEAST_SERVED}
        usual_ms = statistics.median(times.values()) if times else 0.0
        for uid, took_ms in times.items():
            if took_ms > SLOW * usual_ms > 0.0 and uid not in self.judged:
                ratio = took_ms / usual_ms
                entries[uid] = Entry(
                    max(LEAST_WEIGHT, 1.0 / ratio),
                    1 if ratio > SLOWEST else 0,
                    why=f"its median answer takes {took_ms:.0f} ms, {ratio:.1f} times the usual",
                )
        if self.fleet_trouble:
            return entries
        for uid, judged in self.judged.items():
            total = sums.get(uid, _Sum())
            if judged.state == "rests":
                trial = min(1.0, TRIALS / max(1, forwarders))
                entries[uid] = Entry(
                    1.0,
                    0,
                    True,
                    trial,
                    f"{total.bad_share:.0%} of {total.served + total.bad:.1f} "
                    f"recent ends bad, seen by {total.voters} of {total.users} forwarders",
                )
            else:
                entries[uid] = Entry(STEPS[judged.step], 1, why="comes back after a rest")
        return entries

    def _tenant_worth(self, heard: dict[str, Forwarder]) -> list[float]:
        """By tenant, how much of what it sends is within its share; nothing while there is room for all."""
        seen = [0.0] * len(self.tenant_shares)
        refused = 0.0
        for name, known in heard.items():
            if name in self.liars:
                continue
            refused += known.recent_refused
            for index, count in enumerate(known.recent_arrivals[: len(seen)]):
                seen[index] += count
        total = sum(seen)
        if total <= 0.0 or refused < OVERLOADED * total:
            return []
        return [
            min(1.0, share * total / count) if count > 0.0 else 1.0
            for share, count in zip(self.tenant_shares, seen, strict=True)
        ]

    def _class_admit(self, heard: dict[str, Forwarder]) -> list[float]:
        """By class, the share of all arrivals that its limit lets in; nothing where none is over its limit."""
        per_s = [0.0] * len(self.class_limits)
        for known in heard.values():
            for index, count in enumerate(known.recent_class_arrivals[: len(per_s)]):
                per_s[index] += count / (MEMORY_US / 1e6)  # what fades so fast sums up to the rate times its memory
        admit = [
            min(1.0, limit / rate) if limit > 0.0 and rate > 0.0 else 1.0
            for limit, rate in zip(self.class_limits, per_s, strict=True)
        ]
        return admit if min(admit, default=1.0) < 1.0 else []
