"""The settings of a coordinator, and the classes that it is made of."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ryepier.maintenance.address import Address, parse_address
from ryepier.maintenance.agreement import Agreement
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.placement import FREEZE_MS
from ryepier.maintenance.replication import storage
from ryepier.maintenance.replication.core import Replica

Addresses = Mapping[str, Address]  # by replica


@dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """The settings of one coordinator.

    `discovery` lists the converters; without it none is observed. Planned windows that start within `freeze_ms` are
    not moved by new requests.
    """

    agreement: Agreement
    region: str
    replica: str
    folder: Path
    seed: int
    bootstrap: bool = False
    discovery: Address | None = None
    freeze_ms: int = FREEZE_MS

    @property
    def addresses(self) -> Addresses:
        """All replicas of the region."""
        return replica_addresses(self.agreement, self.region)

    @property
    def identity(self) -> storage.Identity:
        """The replica that the files in `folder` belong to."""
        return storage.Identity(self.region, self.replica, tuple(self.addresses))


@dataclass(frozen=True, slots=True)
class CoordinatorComponents:
    """The classes that a coordinator is made of; experiments substitute ones with a seeded fault."""

    replica_type: type[Replica] = Replica
    storage_type: type[storage.FileStorage] = storage.FileStorage
    ledger_type: type[Ledger] = Ledger


def replica_addresses(agreement: Agreement, region: str) -> Addresses:
    """Return the addresses of a region's replicas. Raises KeyError, ValueError."""
    return {replica.name: parse_address(replica.address) for replica in agreement.regions[region].replicas}
