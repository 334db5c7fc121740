"""The tables of the agreement file as they are written, before anything is compared.

Amounts are in converters' sizes. The keys of the file are fixed: a field with another name here maps to its key by
`name=`.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")]
AddressText = Annotated[str, msgspec.Meta(pattern=r"^[^:/\s]+:[0-9]{1,5}$")]  # host:port
Amount = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]  # of capacity
Size = Annotated[float, msgspec.Meta(ge=0.001, le=1000)]
WarmUp = Annotated[float, msgspec.Meta(ge=0, le=3600)]  # seconds


class FailureTolerance(enum.StrEnum):
    """The failure that a service's minimum must survive, as the key `survives` names it."""

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
    """One `[[services.regions]]` table: a service's minimum in a region, and the region's initial allowance."""

    region: Name
    min_available: Amount = msgspec.field(name="least", default=0.0)
    allowance: Amount = 0.0


class ServiceTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[services]]` table. `min_allowance` is what a region keeps of its allowance when it lends."""

    name: Name
    min_available: Amount = msgspec.field(name="least")
    tolerates: FailureTolerance = msgspec.field(name="survives", default=FailureTolerance.NONE)
    min_allowance: Amount = msgspec.field(name="least_part", default=0.0)
    warm_up_s: WarmUp = 0.0
    regions: list[ServiceRegionTable]


class ConverterTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[converters]]` table."""

    name: Name
    service: Name
    region: Name
    zone: Name
    size: Size = 1.0


class AgreementTables(msgspec.Struct, kw_only=True, frozen=True):
    """The whole file."""

    services: list[ServiceTable]
    regions: list[RegionTable]
    converters: list[ConverterTable]
