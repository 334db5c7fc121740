"""What came of a run with windows, worked out from the converters' own journals, and the claims that all runs share."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from ryepier.emulator.process import monotonic_us
from ryepier.emulator.records import History
from ryepier.emulator.world import World
from ryepier.experiments.core import contract, figures, judge, runner
from ryepier.experiments.core.contract import Claim
from ryepier.experiments.maintenance.fleet_process import JournalLine
from ryepier.experiments.maintenance.maintenance_harness import HarnessRecord, MaintenanceHarness, Poll
from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.judge import FULL_SIZE, Change, breaches
from ryepier.maintenance.replication.roles import Role
from ryepier.maintenance.server import LEASE_GRANTED

RULES = (
    "unanswered",
    "held-up",
    "broken",
    "second-answer",
    "run-twice",
    "unsafe-resend",
    "together",
    "drain",
    "cold",
    "crash",
)
FOREVER_US = 10**18
IN_TERM = " in term "  # between role and term, in the log of a coordinator
LEADER_IN_TERM = f"{Role.LEADER.value}{IN_TERM}"


@dataclass(frozen=True, slots=True)
class Outage:
    """A converter that a window had out: from its drain until it was warm again."""

    converter: str
    began_us: int
    warm_us: int  # FOREVER_US where it did not come back
    tokens: frozenset[int]


@dataclass(frozen=True, slots=True)
class Outcome:
    """One run, seen from all sides; times on the machine's monotonic clock."""

    world: World
    seed: int
    folder: Path
    agreement: Agreement
    history: History
    record: HarnessRecord
    journal: Sequence[JournalLine]
    zero_us: int

    @property
    def outages(self) -> list[Outage]:
        """All windows' outages."""
        return list(outages(self.journal, round(self.world.warmth.warm_up_s * 1e6)))


def outages(journal: Sequence[JournalLine], warm_up_us: int) -> Iterator[Outage]:
    """Outages by converter, each ended by the first life that became warm."""
    by_converter: dict[str, list[JournalLine]] = defaultdict(list)
    for line in journal:
        by_converter[line.converter].append(line)
    for converter, lines in by_converter.items():
        yield from _outages_of(converter, lines, warm_up_us)


def _outages_of(converter: str, lines: Sequence[JournalLine], warm_up_us: int) -> Iterator[Outage]:
    """One converter's."""
    began_us: int | None = None
    warm_us = FOREVER_US
    tokens: set[int] = set()
    for line in lines:
        if began_us is not None and line.at_us >= warm_us:
            yield Outage(converter, began_us, warm_us, frozenset(tokens))
            began_us, warm_us, tokens = None, FOREVER_US, set()
        if line.action in ("drain", "stop"):
            began_us = line.at_us if began_us is None else began_us
            warm_us = FOREVER_US if line.action == "stop" else warm_us
            tokens.add(line.token)
        elif line.action == "start":
            warm_us = line.at_us + warm_up_us
    if began_us is not None:
        yield Outage(converter, began_us, warm_us, frozenset(tokens))


def changes(found: Sequence[Outage]) -> Iterator[Change]:
    """Outages as the judge of the rule takes them."""
    for one in found:
        yield Change(one.began_us // 1000, one.converter, FULL_SIZE, planned=True)
        if one.warm_us < FOREVER_US:
            yield Change(-(-one.warm_us // 1000), one.converter, 0, planned=True)


def common_claims(outcome: Outcome) -> list[Claim]:
    """The one rule, the sidecars' rules, and that the emulator kept up."""
    found = judge.judge(outcome.world, outcome.history)
    orders = figures.operations(outcome.world, outcome.history.client_attempts)
    run = contract.Run(outcome.world, outcome.seed, outcome.history, orders, found, outcome.folder)
    counts = Counter(breach.rule for breach in found)
    claims = [runner.lateness_claim(run, None)]
    claims += [Claim(f"rule {rule}: breaches", counts[rule], "==", 0) for rule in RULES]
    rule_breaches = list(breaches(outcome.agreement, changes(outcome.outages)))
    claims.append(Claim("breaches of the agreed capacity", len(rule_breaches), "==", 0))
    claims.append(Claim("requests served", figures.service_level(orders), ">=", 0.98))
    return claims


def common_figures(outcome: Outcome) -> dict[str, float]:
    """Figures that all runs show."""
    found = outcome.outages
    lengths = sorted((one.warm_us - one.began_us) / 1e6 for one in found if one.warm_us < FOREVER_US)
    return {
        "outages": float(len(found)),
        "outages_that_did_not_end": float(sum(one.warm_us == FOREVER_US for one in found)),
        "longest_outage_s": lengths[-1] if lengths else 0.0,
        "median_outage_s": lengths[len(lengths) // 2] if lengths else 0.0,
        "most_out_at_once": float(_max_concurrent_outages(found)),
        "polls": float(len(outcome.record.polls)),
    }


def _max_concurrent_outages(found: Sequence[Outage]) -> int:
    """The greatest number of converters that were out together."""
    edges = sorted([(one.began_us, 1) for one in found] + [(one.warm_us, -1) for one in found])
    most = now = 0
    for _, step in edges:
        now += step
        most = max(most, now)
    return most


def done_us(outcome: Outcome, converters: Sequence[str]) -> int:
    """When the last of these converters was warm again after its first outage; FOREVER_US where one never was."""
    first: dict[str, int] = {}
    for one in sorted(outcome.outages, key=lambda one: one.began_us):
        first.setdefault(one.converter, one.warm_us)
    return max(first.get(name, FOREVER_US) for name in converters)


def unleased_outages(outcome: Outcome) -> list[tuple[Poll, str]]:
    """Polls whose leases did not hold a converter that was out, by its own journal, all the while."""
    missing = []
    for poll in outcome.record.polls:
        held = {name for lease in poll.status.leases for name in lease.unavailable}
        for one in outcome.outages:
            here = outcome.agreement.converters[one.converter].region == poll.region
            if here and one.began_us < poll.sent_us and poll.received_us < one.warm_us and one.converter not in held:
                missing.append((poll, one.converter))
    return missing


def doubly_leased_outages(outcome: Outcome) -> list[Outage]:
    """Outages in which more than one lease had the same converter."""
    return [one for one in outcome.outages if len(one.tokens) > 1]


def elections_by_term(outcome: Outcome, replicas: Sequence[str]) -> Mapping[int, int]:
    """How often replicas of one region said that they now lead a term; more than once is once too often."""
    elections: Counter[int] = Counter()
    for name in replicas:
        for line in log_lines(outcome.folder / f"{name}.log"):
            message = str(line.get("message", ""))
            if message.startswith(LEADER_IN_TERM):
                elections[int(message.removeprefix(LEADER_IN_TERM))] += 1
    return elections


def repeated_candidacies(outcome: Outcome, replicas: Sequence[str]) -> int:
    """How often a replica stood for election in a term that it had been in before: each stands by voting for itself."""
    found = 0
    for name in replicas:
        highest = 0
        for line in log_lines(outcome.folder / f"{name}.log"):
            role, separator, term = str(line.get("message", "")).partition(IN_TERM)
            if not separator or not term.isdecimal():
                continue
            found += role == Role.CANDIDATE.value and int(term) <= highest
            highest = max(highest, int(term))
    return found


def window_starts_us(outcome: Outcome, region: str) -> list[int]:
    """When a region's windows began, by the first drain of each."""
    here = outcome.agreement.converters
    return sorted(one.began_us for one in outcome.outages if here[one.converter].region == region)


def grants_us(outcome: Outcome, replicas: Sequence[str]) -> list[int]:
    """When leaders of one region granted leases, by their logs, on the machine's monotonic clock."""
    calendar_ahead_us = time.time_ns() // 1000 - monotonic_us()
    found = []
    for name in replicas:
        for line in log_lines(outcome.folder / f"{name}.log"):
            if line.get("message") == LEASE_GRANTED:
                written = datetime.fromisoformat(str(line["time"]))
                found.append(round(written.timestamp() * 1e6) - calendar_ahead_us)
    return sorted(found)


def log_lines(path: Path) -> Iterator[dict[str, object]]:
    """The records of a process's log; other lines are skipped."""
    for text in path.read_text(errors="replace").splitlines():
        try:
            line = json.loads(text)
        except ValueError:
            continue
        if isinstance(line, dict):
            yield line


def play(harness: MaintenanceHarness) -> Outcome:
    """Play, and gather what there is after the run. Raises HarnessError."""
    history = asyncio.run(harness.play())
    return Outcome(
        harness.world,
        harness.plan.seed,
        harness.folder,
        harness.agreement,
        history,
        harness.record,
        harness.journal(),
        harness.clock.zero_us,
    )
