"""Small agreements, and helpers shared by the maintenance tests."""

from __future__ import annotations

from ryepier.maintenance import agreement_file
from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.commands import (
    FULL_WARMTH,
    Command,
    ConverterObservation,
    GrantLease,
    Priority,
    RecordObservation,
    ReleaseLease,
    Request,
    StartDrain,
    SubmitRequest,
)
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.results import Granted, Result

SERVICE_TEXT = """
[[services]]
name = "convert"
least = 8
least_part = 0.5
warm_up_s = 2
[[services.regions]]
region = "north"
least = 2
allowance = 2
[[services.regions]]
region = "south"
least = 2
allowance = 2
"""


def regions_text(names: tuple[str, ...] = ("north", "south")) -> str:
    lines = []
    for i, name in enumerate(names):
        lines.append(f'[[regions]]\nname = "{name}"')
        for j in range(3):
            lines.append(f'[[regions.replicas]]\nname = "{name}-{j}"\naddress = "127.0.0.1:{7500 + 10 * i + j}"')
    return "\n".join(lines) + "\n"


def converters_text(
    names: tuple[str, ...] = ("north", "south"), zone_count: int = 2, converters_per_zone: int = 3
) -> str:
    return "".join(
        f'[[converters]]\nname = "{region[0]}{zone}{i}"\nservice = "convert"\nregion = "{region}"\nzone = "z{zone}"\n'
        for region in names
        for zone in range(zone_count)
        for i in range(converters_per_zone)
    )


# 12 converters of size 1: n00..n02 and n10..n12 in north, s00..s02 and s10..s12 in south. The first digit is the zone.
AGREEMENT_TEXT = SERVICE_TEXT + regions_text() + converters_text()

WEST_SERVICE_TEXT = '[[services.regions]]\nregion = "west"\nleast = 2\nallowance = 2\n'
THREE_REGIONS = ("north", "south", "west")
# In this order: two regions, three regions, higher regional minimums, minimums that must hold after a zone loss.
AGREEMENT_TEXTS = (
    AGREEMENT_TEXT,
    SERVICE_TEXT.replace("least = 8", "least = 12")
    + WEST_SERVICE_TEXT
    + regions_text(THREE_REGIONS)
    + converters_text(THREE_REGIONS),
    AGREEMENT_TEXT.replace("least = 2", "least = 4"),
    AGREEMENT_TEXT.replace("least = 8\n", 'least = 5\nsurvives = "zone"\n').replace("least = 2", "least = 1"),
)
AGREEMENTS = tuple(agreement_file.parse(text.encode()) for text in AGREEMENT_TEXTS)


def small_agreement() -> Agreement:
    return agreement_file.parse(AGREEMENT_TEXT.encode())


def request(name: str = "r1", **changes: object) -> Request:
    fields: dict[str, object] = {
        "name": name,
        "region": "north",
        "service": "convert",
        "converters": ("n00",),
        "max_unavailable": 1,
        "duration_ms": 10_000,
        "earliest_ms": 0,
        "deadline_ms": 100_000,
        "priority": Priority.NORMAL,
    }
    return Request(**{**fields, **changes})  # type: ignore[arg-type]


class RegionLedger:
    """A region's ledger without replication: applies each command at the next log index."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger

    def apply(self, command: Command) -> Result:
        return self.ledger.apply(self.ledger.applied + 1, command)

    def observe(self, *names: str, ready: bool = True, warmth: int = FULL_WARMTH, as_of: int | None = None) -> Result:
        observed_as_of = self.ledger.applied if as_of is None else as_of
        observations = tuple(ConverterObservation(name, ready, warmth) for name in names)
        return self.apply(RecordObservation("watch", self.ledger.applied + 1, observed_as_of, observations))

    def observe_all(self) -> Result:
        region = self.ledger.region
        return self.observe(
            *[converter.name for converter in self.ledger.agreement.converters.values() if converter.region == region]
        )

    def grant(self, lease: str, request_name: str, *converters: str, agent: str = "agent-1") -> Result:
        return self.apply(GrantLease(lease, request_name, agent, converters))

    def request_and_grant(self, name: str, *converters: str) -> Granted:
        """Submit a request and grant a lease on all its converters."""
        self.apply(SubmitRequest(request(name, converters=converters, max_unavailable=len(converters))))
        result = self.grant(f"{name}/1", name, *converters)
        assert isinstance(result, Granted), result
        return result

    def drain_and_release(self, granted: Granted) -> None:
        self.apply(StartDrain(granted.lease, granted.token))
        self.apply(ReleaseLease(granted.lease, granted.token))


def north_region(ledger_type: type[Ledger] = Ledger) -> RegionLedger:
    """Return the ledger of region `north` after an observation of all its converters as ready and warm."""
    region = RegionLedger(ledger_type(small_agreement(), "north"))
    region.observe_all()
    return region
