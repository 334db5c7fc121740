"""Reads the agreement file: TOML bytes in, `Agreement` out, or every problem at once with its key and line. Pure."""

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
    """An agreement that cannot be used; `problems` holds all that is wrong with it, in the order of its lines."""


def parse(data: bytes) -> Agreement:
    """Return the agreement in a TOML file's bytes. Raises AgreementError."""
    text = _decode(data)
    try:
        tables = toml_schema.parse(text, AgreementTables)
    except ConfigurationError as error:
        raise AgreementError(error.problems) from None
    validator = AgreementValidator(tables, KeyLines(text))
    validator.check_names()
    validator.check_decimals()
    if not validator.problems:  # amounts can be compared only where every name is known
        agreement = _build(tables, hashlib.sha256(data).hexdigest())
        validator.check_amounts(agreement)
        if not validator.problems:
            return agreement
    raise AgreementError(validator.problems)


def _decode(data: bytes) -> str:
    """Return the text of a file. Raises AgreementError where it is too long or not UTF-8."""
    if len(data) > MAX_FILE_BYTES:
        raise AgreementError([Problem("", 0, f"{len(data)} bytes; {MAX_FILE_BYTES} are allowed")])
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise AgreementError([Problem("", line, "not UTF-8")]) from None


def _build(tables: AgreementTables, digest: str) -> Agreement:
    """Return the agreement that the tables describe."""
    regions = {
        table.name: Region(table.name, tuple(Replica(replica.name, replica.address) for replica in table.replicas))
        for table in tables.regions
    }
    converters = {
        table.name: Converter(table.name, table.service, table.region, table.zone, to_thousandths(table.size))
        for table in tables.converters
    }
    return Agreement({table.name: _service(table) for table in tables.services}, regions, converters, digest)


def _service(table: ServiceTable) -> Service:
    """Return a service with its amounts in thousandths."""
    return Service(
        name=table.name,
        min_available=to_thousandths(table.min_available),
        min_available_by_region={part.region: to_thousandths(part.min_available) for part in table.regions},
        tolerates_zone_loss=table.tolerates is FailureTolerance.ZONE,
        min_allowance=to_thousandths(table.min_allowance),
        warm_up_ms=round(table.warm_up_s * MS_PER_S),
        allowances={part.region: to_thousandths(part.allowance) for part in table.regions},
    )
