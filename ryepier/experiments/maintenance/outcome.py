"""The outcome of a run, from the converters' own journals, and the claims that all maintenance experiments share."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from ryepier.emulator.records import History
from ryepier.emulator.world import World
from ryepier.experiments.core import contract, figures, judge, runner
from ryepier.experiments.core.contract import Claim
from ryepier.experiments.maintenance import coordinator_logs
from ryepier.experiments.maintenance.fleet_process import JournalLine
from ryepier.experiments.maintenance.maintenance_harness import HarnessRecord, MaintenanceHarness, SubmittedRequest
from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.fleet import Action
from ryepier.maintenance.judge import FULL_SHARE, CapacityChange, find_breaches
from ryepier.maintenance.results import Accepted

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
MIN_SERVICE_LEVEL = 0.98
FOREVER_US = 10**18


@dataclass(frozen=True, slots=True)
class Outage:
    """The time for which a window had a converter out: from its drain until it was warm again."""

    converter: str
    began_us: int
    warm_us: int  # FOREVER_US where it did not recover
    tokens: frozenset[int]


@dataclass(frozen=True, slots=True)
class UnleasedOutage:
    """A poll, sent at `poll_us`, in which a converter that was out was under no lease."""

    converter: str
    poll_us: int


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
    zero_us: int  # the start of the run

    @property
    def outages(self) -> list[Outage]:
        """The outages of all windows."""
        return list(outages(self.journal, round(self.world.warm_up.warm_up_s * 1e6)))


def run(harness: MaintenanceHarness) -> Outcome:
    """Run a scenario and gather its outcome. Raises HarnessError."""
    history = asyncio.run(harness.run())
    return Outcome(
        harness.world,
        harness.plan.seed,
        harness.folder,
        harness.agreement,
        history,
        harness.record,
        harness.journal(),
        harness.clock.run_start_us,
    )


def outages(journal: Sequence[JournalLine], warm_up_us: int) -> Iterator[Outage]:
    """Yield the outages by converter, each ended by the first incarnation that became warm."""
    by_converter: dict[str, list[JournalLine]] = defaultdict(list)
    for line in journal:
        by_converter[line.converter].append(line)
    for converter, lines in by_converter.items():
        yield from _outages_of(converter, lines, warm_up_us)


def _outages_of(converter: str, lines: Sequence[JournalLine], warm_up_us: int) -> Iterator[Outage]:
    """Yield the outages of one converter."""
    began_us: int | None = None
    warm_us = FOREVER_US
    tokens: set[int] = set()
    for line in lines:
        if began_us is not None and line.at_us >= warm_us:
            yield Outage(converter, began_us, warm_us, frozenset(tokens))
            began_us, warm_us, tokens = None, FOREVER_US, set()
        if line.action in (Action.DRAIN, Action.STOP):
            began_us = line.at_us if began_us is None else began_us
            warm_us = FOREVER_US if line.action == Action.STOP else warm_us
            tokens.add(line.token)
        elif line.action == Action.START:
            warm_us = line.at_us + warm_up_us
    if began_us is not None:
        yield Outage(converter, began_us, warm_us, frozenset(tokens))


def changes(found: Sequence[Outage]) -> Iterator[CapacityChange]:
    """Yield outages as the judge of the agreement takes them."""
    for outage in found:
        yield CapacityChange(outage.began_us // 1000, outage.converter, FULL_SHARE, planned=True)
        if outage.warm_us < FOREVER_US:
            yield CapacityChange(-(-outage.warm_us // 1000), outage.converter, 0, planned=True)


def common_claims(outcome: Outcome) -> list[Claim]:
    """Return the claims on the agreement, on the sidecars' rules, and that the emulator kept up."""
    found = judge.find_breaches(outcome.world, outcome.history)
    operations = figures.group_operations(outcome.world, outcome.history.client_attempts)
    contract_run = contract.Run(outcome.world, outcome.seed, outcome.history, operations, found, outcome.folder)
    counts = Counter(breach.rule for breach in found)
    claims = [runner.lateness_claim(contract_run, None)]
    claims += [Claim(f"rule {rule}: breaches", counts[rule], "==", 0) for rule in RULES]
    agreement_breaches = list(find_breaches(outcome.agreement, changes(outcome.outages)))
    claims.append(Claim("breaches of the agreed capacity", len(agreement_breaches), "==", 0))
    claims.append(Claim("requests served", figures.service_level(operations), ">=", MIN_SERVICE_LEVEL))
    return claims


def lease_claims(outcome: Outcome) -> list[Claim]:
    """Return the claims that every outage was under one lease."""
    unleased, doubly_leased = unleased_outages(outcome), doubly_leased_outages(outcome)
    return [
        Claim("polls in which a converter that was out was under no lease", len(unleased), "==", 0),
        Claim("converters that two leases had at once", len(doubly_leased), "==", 0),
    ]


def common_figures(outcome: Outcome) -> dict[str, float]:
    """Return the figures that all runs report."""
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
    """Return the greatest number of converters that were out together."""
    edges = sorted([(one.began_us, 1) for one in found] + [(one.warm_us, -1) for one in found])
    highest = current = 0
    for _, step in edges:
        current += step
        highest = max(highest, current)
    return highest


def accepted_requests(outcome: Outcome) -> list[SubmittedRequest]:
    """Return the requests that were accepted."""
    return [one for one in outcome.record.submitted if isinstance(one.result, Accepted)]


def done_requests(outcome: Outcome) -> list[SubmittedRequest]:
    """Return the accepted requests that were done by the end of the run."""
    return [one for one in accepted_requests(outcome) if done_us(outcome, one.request.converters) < FOREVER_US]


def done_us(outcome: Outcome, converters: Sequence[str]) -> int:
    """Return when the last of these converters was warm after its first outage; FOREVER_US where one never was."""
    first: dict[str, int] = {}
    for outage in sorted(outcome.outages, key=lambda one: one.began_us):
        first.setdefault(outage.converter, outage.warm_us)
    return max(first.get(name, FOREVER_US) for name in converters)


def unleased_outages(outcome: Outcome) -> list[UnleasedOutage]:
    """Return the polls without a lease on a converter that was out, by its own journal, all through the poll."""
    found = []
    for poll in outcome.record.polls:
        leased = {name for lease in poll.status.leases for name in lease.unavailable}
        for outage in outcome.outages:
            is_local = outcome.agreement.converters[outage.converter].region == poll.region
            is_out = outage.began_us < poll.sent_us and poll.received_us < outage.warm_us
            if is_local and is_out and outage.converter not in leased:
                found.append(UnleasedOutage(outage.converter, poll.sent_us))
    return found


def doubly_leased_outages(outcome: Outcome) -> list[Outage]:
    """Return the outages in which more than one lease had the converter."""
    return [outage for outage in outcome.outages if len(outage.tokens) > 1]


def window_starts_us(outcome: Outcome, region: str) -> list[int]:
    """Return when a region's windows started, by the drain of each converter."""
    converters = outcome.agreement.converters
    return sorted(one.began_us for one in outcome.outages if converters[one.converter].region == region)


def elections_by_term(outcome: Outcome, replicas: Sequence[str]) -> Mapping[int, int]:
    """Return how often these replicas became the leader of each term."""
    return coordinator_logs.elections_by_term(_logs(outcome, replicas))


def repeated_candidacies(outcome: Outcome, replicas: Sequence[str]) -> int:
    """Return how often one of these replicas was a candidate in a term that it had been in before."""
    return coordinator_logs.repeated_candidacies(_logs(outcome, replicas))


def grants_us(outcome: Outcome, replicas: Sequence[str]) -> list[int]:
    """Return when these replicas granted leases, on the machine's monotonic clock."""
    return coordinator_logs.grants_us(_logs(outcome, replicas))


def _logs(outcome: Outcome, replicas: Sequence[str]) -> list[Path]:
    """Return the paths of coordinators' logs."""
    return [outcome.folder / f"{name}.log" for name in replicas]
