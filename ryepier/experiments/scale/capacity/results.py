"""Stores and reads the kept results behind the capacity page, one file per experiment and seed."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ryepier.experiments.core.contract import RESULT_FILE, Result
from ryepier.experiments.scale.capacity.plan import PLAN_FILE, CapacityError


class KeptResult(Result):
    """A result kept for the capacity page, with the date of its run."""

    date: str = ""


def read_results(folder: Path) -> list[KeptResult]:
    """Return all results in a folder.

    Raises CapacityError if a file is unreadable or misnamed, or if its run had a seeded fault.
    """
    return [_read_result(path) for path in sorted(folder.glob("*.json")) if path.name != PLAN_FILE]


def _read_result(path: Path) -> KeptResult:
    try:
        result = msgspec.json.decode(path.read_bytes(), type=KeptResult)
    except (OSError, msgspec.MsgspecError) as error:
        raise CapacityError(f"{path}: {error}") from None
    if result.seeded_fault:
        raise CapacityError(f"{path}: the result comes from a run with a seeded fault")
    if path.name != file_name(result):
        raise CapacityError(f"{path}: the file name does not match its content, which belongs in {file_name(result)}")
    return result


def file_name(result: Result) -> str:
    """Return the name of the file that holds a kept result."""
    return f"{result.name}-{result.seed}.json"


def keep_result(run_folder: Path, folder: Path, date: str) -> Path:
    """Copy the result of a run into the folder of kept results, and return the new path.

    Raises CapacityError if the run is unreadable or had a seeded fault.
    """
    try:
        result = msgspec.json.decode((run_folder / RESULT_FILE).read_bytes(), type=Result)
    except (OSError, msgspec.MsgspecError) as error:
        raise CapacityError(f"{run_folder}: the result of the run cannot be read: {error}") from None
    if result.seeded_fault:
        raise CapacityError(f"{run_folder}: a run with a seeded fault cannot be kept")
    kept_result = KeptResult(**{name: getattr(result, name) for name in Result.__struct_fields__}, date=date)
    path = folder / file_name(kept_result)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(kept_result), indent=1) + b"\n")
    return path
