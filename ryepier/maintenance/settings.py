"""What a coordinator is told, and the classes that it is made of."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from ryepier.maintenance.address import parse_address
from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.placement import FREEZE_MS
from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.core import Replica


@dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """What a coordinator is told. `discovery` is asked for the converters; None: nobody is seen.

    Planned windows that start within `freeze_ms` are not moved by new requests.
    """

    agreement: Agreement
    region: str
    replica: str
    folder: Path
    seed: int
    bootstrap: bool = False
    discovery: tuple[str, int] | None = None
    freeze_ms: int = FREEZE_MS

    @property
    def addresses(self) -> dict[str, tuple[str, int]]:
        """All replicas of the region."""
        return addresses_of(self.agreement, self.region)

    @property
    def identity(self) -> storage.Identity:
        """Whose disk it is."""
        return storage.Identity(self.region, self.replica, tuple(self.addresses))


@dataclass(frozen=True, slots=True)
class CoordinatorComponents:
    """The classes that a coordinator is made of; experiments put in ones with a mistake."""

    replica: type[Replica] = Replica
    storage: type[storage.FileStorage] = storage.FileStorage
    ledger: type[Ledger] = Ledger


def addresses_of(agreement: Agreement, region: str) -> dict[str, tuple[str, int]]:
    """The replicas of a region, by name. Raises KeyError, ValueError."""
    return {one.name: parse_address(one.address) for one in agreement.regions[region].replicas}
