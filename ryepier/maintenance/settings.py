"""The settings of a coordinator, and the component classes that it uses."""

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

Addresses = Mapping[str, Address]  # replica name to address


@dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """The settings of one coordinator.

    `bootstrap` creates the log file of a region that starts for the first time. `discovery` is discovery's address, or
    None if converters are not observed. New requests do not move planned windows that start within `freeze_ms`.
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
        """The addresses of all replicas of the region, including this one."""
        return replica_addresses(self.agreement, self.region)

    @property
    def identity(self) -> storage.Identity:
        """The identity of this replica, which its log file in `folder` must have."""
        return storage.Identity(self.region, self.replica, tuple(self.addresses))


@dataclass(frozen=True, slots=True)
class CoordinatorComponents:
    """The component classes of a coordinator. Experiments replace them with classes that have a seeded fault."""

    replica_type: type[Replica] = Replica
    storage_type: type[storage.FileStorage] = storage.FileStorage
    ledger_type: type[Ledger] = Ledger


def replica_addresses(agreement: Agreement, region: str) -> Addresses:
    """Return the addresses of a region's replicas.

    Raises KeyError if the region is unknown, or ValueError if an address is malformed.
    """
    return {replica.name: parse_address(replica.address) for replica in agreement.regions[region].replicas}
