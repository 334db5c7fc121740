"""The schema of the agreement file's tables. Checks that involve several values are in `agreement_validation`.

Amounts are in units of capacity: a converter of size 1 has one unit. The keys of the file are fixed; a field whose name
differs from its key declares the key with `name=`.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")]
AddressText = Annotated[str, msgspec.Meta(pattern=r"^[^:/\s]+:[0-9]{1,5}$")]  # host:port
Amount = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]  # units of capacity
Size = Annotated[float, msgspec.Meta(ge=0.001, le=1000)]  # units of capacity
WarmUpSeconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]


class FailureTolerance(enum.StrEnum):
    """The failure during which a service's minimums must still be met.

    The values are those of the key `survives`.
    """

    NONE = ""
    ZONE = "zone"


class ReplicaTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[regions.replicas]]` table."""

    name: Name
    address: AddressText


class RegionTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[regions]]` table."""

    name: Name
    replicas: list[ReplicaTable]


class ServiceRegionTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[services.regions]]` table: a service's minimum capacity and initial allowance in one region."""

    region: Name
    min_available: Amount = msgspec.field(name="least", default=0.0)
    allowance: Amount = 0.0


class ServiceTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[services]]` table.

    `min_allowance` is the least allowance that a region keeps when it transfers allowance to other regions.
    """

    name: Name
    min_available: Amount = msgspec.field(name="least")
    tolerates: FailureTolerance = msgspec.field(name="survives", default=FailureTolerance.NONE)
    min_allowance: Amount = msgspec.field(name="least_part", default=0.0)
    warm_up_s: WarmUpSeconds = 0.0
    regions: list[ServiceRegionTable]


class ConverterTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[converters]]` table."""

    name: Name
    service: Name
    region: Name
    zone: Name
    size: Size = 1.0


class AgreementTables(msgspec.Struct, kw_only=True, frozen=True):
    """All tables of an agreement file."""

    services: list[ServiceTable]
    regions: list[RegionTable]
    converters: list[ConverterTable]
