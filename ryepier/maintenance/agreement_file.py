"""Parses the TOML agreement file into an `Agreement`, or reports every problem at once with its key and line.

Performs no I/O.
"""

from __future__ import annotations

import hashlib

from ryepier.conf import toml_schema
from ryepier.conf.key_lines import KeyLines, Problem
from ryepier.conf.toml_schema import ConfigurationError
from ryepier.maintenance.agreement import Agreement, Converter, Region, Replica, Service, to_thousandths
from ryepier.maintenance.agreement_tables import AgreementTables, FailureTolerance, ServiceTable
from ryepier.maintenance.agreement_validation import AgreementValidator

MAX_FILE_BYTES = 4 * 1024 * 1024
MS_PER_S = 1000


class AgreementError(ConfigurationError):
    """The agreement file is invalid. `problems` lists everything that is wrong with it, ordered by line."""


def parse(data: bytes) -> Agreement:
    """Parse and validate the bytes of an agreement file. Raises AgreementError with all problems found."""
    text = _decode(data)
    try:
        tables = toml_schema.parse(text, AgreementTables)
    except ConfigurationError as error:
        raise AgreementError(error.problems) from None
    validator = AgreementValidator(tables, KeyLines(text))
    validator.check_names()
    validator.check_decimals()
    if not validator.problems:  # the amounts can be compared only if all names are known and all amounts are exact
        agreement = _build(tables, hashlib.sha256(data).hexdigest())
        validator.check_amounts(agreement)
        if not validator.problems:
            return agreement
    raise AgreementError(validator.problems)


def _decode(data: bytes) -> str:
    """Decode the bytes of a file as UTF-8. Raises AgreementError if the file is too long or not UTF-8."""
    if len(data) > MAX_FILE_BYTES:
        raise AgreementError([Problem("", 0, f"{len(data)} bytes; at most {MAX_FILE_BYTES} are allowed")])
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise AgreementError([Problem("", line, "not UTF-8")]) from None


def _build(tables: AgreementTables, digest: str) -> Agreement:
    """Build the agreement from its parsed tables."""
    regions = {
        table.name: Region(table.name, tuple(Replica(replica.name, replica.address) for replica in table.replicas))
        for table in tables.regions
    }
    converters = {
        table.name: Converter(table.name, table.service, table.region, table.zone, to_thousandths(table.size))
        for table in tables.converters
    }
    return Agreement({table.name: _build_service(table) for table in tables.services}, regions, converters, digest)


def _build_service(table: ServiceTable) -> Service:
    """Build a service from its table, converting amounts to thousandths and seconds to milliseconds."""
    return Service(
        name=table.name,
        min_available=to_thousandths(table.min_available),
        min_available_by_region={
            region_table.region: to_thousandths(region_table.min_available) for region_table in table.regions
        },
        tolerates_zone_loss=table.tolerates is FailureTolerance.ZONE,
        min_allowance=to_thousandths(table.min_allowance),
        warm_up_ms=round(table.warm_up_s * MS_PER_S),
        allowances={region_table.region: to_thousandths(region_table.allowance) for region_table in table.regions},
    )
