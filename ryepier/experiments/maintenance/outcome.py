"""Derives the outcome of a run from the converters' own journals, and the claims common to maintenance experiments."""

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

CLAIMED_RULES = (
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
    """The time for which a converter was out of service for maintenance: from its drain until it was warm again.

    `tokens` are the fencing tokens of the maintenance windows that drained or stopped it.
    """

    converter: str
    start_us: int
    warm_us: int  # FOREVER_US if the converter did not become warm again during the run
    tokens: frozenset[int]


@dataclass(frozen=True, slots=True)
class UnleasedOutage:
    """A status poll, sent at `polled_at_us`, that showed no lease on a converter that was out of service."""

    converter: str
    polled_at_us: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """All records of one run. Times are microseconds of the machine's monotonic clock."""

    world: World
    seed: int
    folder: Path
    agreement: Agreement
    history: History
    record: HarnessRecord
    journal: Sequence[JournalLine]
    run_start_us: int

    @property
    def outages(self) -> list[Outage]:
        """The outages of all converters."""
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
    """Yield the outages of each converter. An outage ends when an incarnation of the converter has become warm."""
    by_converter: dict[str, list[JournalLine]] = defaultdict(list)
    for line in journal:
        by_converter[line.converter].append(line)
    for converter, lines in by_converter.items():
        yield from _converter_outages(converter, lines, warm_up_us)


def _converter_outages(converter: str, lines: Sequence[JournalLine], warm_up_us: int) -> Iterator[Outage]:
    """Yield the outages of one converter, whose journal lines are in chronological order."""
    start_us: int | None = None
    warm_us = FOREVER_US
    tokens: set[int] = set()
    for line in lines:
        if start_us is not None and line.at_us >= warm_us:
            yield Outage(converter, start_us, warm_us, frozenset(tokens))
            start_us, warm_us, tokens = None, FOREVER_US, set()
        if line.action in (Action.DRAIN, Action.STOP):
            start_us = line.at_us if start_us is None else start_us
            warm_us = FOREVER_US if line.action == Action.STOP else warm_us
            tokens.add(line.token)
        elif line.action == Action.START:
            warm_us = line.at_us + warm_up_us
    if start_us is not None:
        yield Outage(converter, start_us, warm_us, frozenset(tokens))


def capacity_changes(window_outages: Sequence[Outage]) -> Iterator[CapacityChange]:
    """Yield the capacity changes of outages, for the check of the agreement."""
    for outage in window_outages:
        yield CapacityChange(outage.start_us // 1000, outage.converter, FULL_SHARE, planned=True)
        if outage.warm_us < FOREVER_US:
            yield CapacityChange(-(-outage.warm_us // 1000), outage.converter, 0, planned=True)


def common_claims(outcome: Outcome) -> list[Claim]:
    """Return the claims on the emulator's lateness, the rules, the agreed capacity and the service level."""
    breaches = judge.find_breaches(outcome.world, outcome.history)
    operations = figures.group_operations(outcome.world, outcome.history.client_attempts)
    contract_run = contract.Run(outcome.world, outcome.seed, outcome.history, operations, breaches, outcome.folder)
    counts = Counter(breach.rule for breach in breaches)
    claims = [runner.lateness_claim(contract_run, None)]
    claims += [Claim(f"rule {rule}: breaches", counts[rule], "==", 0) for rule in CLAIMED_RULES]
    agreement_breaches = list(find_breaches(outcome.agreement, capacity_changes(outcome.outages)))
    claims.append(Claim("breaches of the agreed capacity", len(agreement_breaches), "==", 0))
    claims.append(Claim("requests served", figures.service_level(operations), ">=", MIN_SERVICE_LEVEL))
    return claims


def lease_claims(outcome: Outcome) -> list[Claim]:
    """Return the claims that every outage was covered by exactly one lease."""
    outages_without_lease, outages_with_several_leases = unleased_outages(outcome), doubly_leased_outages(outcome)
    return [
        Claim("polls in which a converter that was out was under no lease", len(outages_without_lease), "==", 0),
        Claim("converters that two leases had at once", len(outages_with_several_leases), "==", 0),
    ]


def common_figures(outcome: Outcome) -> dict[str, float]:
    """Return the figures that all maintenance experiments report."""
    all_outages = outcome.outages
    durations_s = sorted(
        (outage.warm_us - outage.start_us) / 1e6 for outage in all_outages if outage.warm_us < FOREVER_US
    )
    return {
        "outages": float(len(all_outages)),
        "outages_that_did_not_end": float(sum(outage.warm_us == FOREVER_US for outage in all_outages)),
        "longest_outage_s": durations_s[-1] if durations_s else 0.0,
        "median_outage_s": durations_s[len(durations_s) // 2] if durations_s else 0.0,
        "most_out_at_once": float(_max_concurrent_outages(all_outages)),
        "polls": float(len(outcome.record.polls)),
    }


def _max_concurrent_outages(all_outages: Sequence[Outage]) -> int:
    """Return the maximum number of converters that were out at the same time."""
    edges = sorted([(outage.start_us, 1) for outage in all_outages] + [(outage.warm_us, -1) for outage in all_outages])
    max_out = currently_out = 0
    for _, change in edges:
        currently_out += change
        max_out = max(max_out, currently_out)
    return max_out


def accepted_requests(outcome: Outcome) -> list[SubmittedRequest]:
    """Return the requests that were accepted."""
    return [
        submitted_request
        for submitted_request in outcome.record.submitted
        if isinstance(submitted_request.result, Accepted)
    ]


def done_requests(outcome: Outcome) -> list[SubmittedRequest]:
    """Return the accepted requests whose converters were all warm again at the end of the run."""
    return [
        submitted_request
        for submitted_request in accepted_requests(outcome)
        if done_us(outcome, submitted_request.request.converters) < FOREVER_US
    ]


def done_us(outcome: Outcome, converters: Sequence[str]) -> int:
    """Return when all of these converters were warm after their first outages, or FOREVER_US if one never was."""
    first_warm_us: dict[str, int] = {}
    for outage in sorted(outcome.outages, key=lambda outage: outage.start_us):
        first_warm_us.setdefault(outage.converter, outage.warm_us)
    return max(first_warm_us.get(name, FOREVER_US) for name in converters)


def unleased_outages(outcome: Outcome) -> list[UnleasedOutage]:
    """Return the polls without a lease on a converter that, by its own journal, was out during the whole poll."""
    outages_without_lease = []
    for poll in outcome.record.polls:
        leased_converters = {name for lease in poll.status.leases for name in lease.unavailable}
        for outage in outcome.outages:
            is_local = outcome.agreement.converters[outage.converter].region == poll.region
            is_out = outage.start_us < poll.sent_us and poll.received_us < outage.warm_us
            if is_local and is_out and outage.converter not in leased_converters:
                outages_without_lease.append(UnleasedOutage(outage.converter, poll.sent_us))
    return outages_without_lease


def doubly_leased_outages(outcome: Outcome) -> list[Outage]:
    """Return the outages with steps under the fencing tokens of more than one lease."""
    return [outage for outage in outcome.outages if len(outage.tokens) > 1]


def window_starts_us(outcome: Outcome, region: str) -> list[int]:
    """Return the start times of a region's windows, taken from the drains of its converters, sorted."""
    converters = outcome.agreement.converters
    return sorted(outage.start_us for outage in outcome.outages if converters[outage.converter].region == region)


def elections_by_term(outcome: Outcome, replicas: Sequence[str]) -> Mapping[int, int]:
    """Return how often one of these replicas became the leader, by term."""
    return coordinator_logs.elections_by_term(_log_paths(outcome, replicas))


def repeated_candidacies(outcome: Outcome, replicas: Sequence[str]) -> int:
    """Return how often one of these replicas became a candidate in a term that it had already entered."""
    return coordinator_logs.repeated_candidacies(_log_paths(outcome, replicas))


def grants_us(outcome: Outcome, replicas: Sequence[str]) -> list[int]:
    """Return the times at which these replicas granted leases, in µs of the monotonic clock, sorted."""
    return coordinator_logs.grants_us(_log_paths(outcome, replicas))


def _log_paths(outcome: Outcome, replicas: Sequence[str]) -> list[Path]:
    """Return the paths of the coordinators' logs."""
    return [outcome.folder / f"{name}.log" for name in replicas]
