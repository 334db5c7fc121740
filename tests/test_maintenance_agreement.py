"""The agreement file: parsed values, and every error reported with its key and line."""

from __future__ import annotations

from pathlib import Path

import pytest

from ryepier.maintenance import agreement_file
from ryepier.maintenance.agreement import Converter, Replica
from ryepier.maintenance.agreement_file import AgreementError
from tests.maintenance_world import AGREEMENT_TEXT, small_agreement


def reported_problems(data: bytes) -> list[str]:
    with pytest.raises(AgreementError) as error_info:
        agreement_file.parse(data)
    return [str(problem) for problem in error_info.value.problems]


def line_of(text: str, key_text: str) -> int:
    return text[: text.index(key_text)].count("\n") + 1


def test_amounts_of_the_file_are_read_in_thousandths() -> None:
    agreement = small_agreement()
    service = agreement.services["convert"]
    assert (service.min_available, service.min_allowance, service.warm_up_ms, service.tolerates_zone_loss) == (
        8000,
        500,
        2000,
        False,
    )
    assert service.min_available_by_region == {"north": 2000, "south": 2000}
    assert agreement.regions["south"].replicas[2] == Replica("south-2", "127.0.0.1:7512")
    assert agreement.converters["n10"] == Converter("n10", "convert", "north", "z1", 1000)
    assert agreement.max_unavailable("convert") == 4000 == sum(service.allowances.values())
    assert agreement.max_unavailable_in("convert", "north") == 4000
    assert agreement.digest != agreement_file.parse((AGREEMENT_TEXT + "# more").encode()).digest


def test_tolerating_a_zone_loss_reserves_the_largest_zone() -> None:
    text = AGREEMENT_TEXT.replace("least = 8\n", 'least = 6\nsurvives = "zone"\n').replace(
        "allowance = 2", "allowance = 1.5"
    )
    agreement = agreement_file.parse(text.encode())
    assert agreement.max_unavailable("convert") == 3000 and agreement.max_unavailable_in("convert", "north") == 1000


@pytest.mark.parametrize(
    ("old", "new", "key", "message"),
    [
        ("least = 8", "least = 12.5", "services[0].least", "requires 12.5 but has 12: 0.5 too much"),
        ("least = 8", "least = 7", "services[0].regions", "add up to 4; they must add up to 5"),
        ("least = 8", "least = 9", "services[0].regions", "add up to 4; they must add up to 3"),
        ("least = 2", "least = 7", "services[0].regions[0].least", "requires 7 in 'north' but has 6: 1 too much"),
        ("least_part = 0.5", "least_part = 3", "services[0].regions[0].allowance", "2 is less than"),
        ("least = 8", "least = -1", "services[0].least", ">= 0"),
        ("least = 8", "least = nan", "services[0].least", ">= 0.0, got nan"),
        ("least = 8", "least = inf", "services[0].least", "<= 1000000"),
        ("least = 8", "least = 8.0001", "services[0].least", "three decimals"),
        ("least = 8", 'least = "8"', "services[0].least", "expected `float`"),
        ("warm_up_s = 2", "warm_up_s = 1e9", "services[0].warm_up_s", "<= 3600"),
        ("warm_up_s = 2", 'survives = "rack"', "services[0].survives", "got 'rack'"),
        ("warm_up_s = 2", "warm_up = 2", "services[0].warm_up", "did you mean 'warm_up_s'?"),
        ('region = "south"\nleast', 'region = "west"\nleast', "services[0].regions[1].region", "unknown region 'west'"),
        (
            'region = "south"\nleast',
            'region = "north"\nleast',
            "services[0].regions[1].region",
            "'north' is a duplicate, first used at",
        ),
        (
            'name = "n01"',
            'name = "n00"',
            "converters[1].name",
            "'n00' is a duplicate, first used at converters[0].name",
        ),
        ('name = "n01"', 'name = "n 01"', "converters[1].name", "matching regex"),
        ('name = "n01"', 'name = "n01"\nsize = 0', "converters[1].size", ">= 0.001"),
        ('name = "south"', 'name = "north"', "regions[1].name", "is a duplicate, first used at"),
        ('name = "south-0"', 'name = "north-0"', "regions[1].replicas[0].name", "is a duplicate, first used at"),
        ("127.0.0.1:7510", "127.0.0.1:7500", "regions[1].replicas[0].address", "is a duplicate, first used at"),
        ('service = "convert"', 'service = "print"', "converters[0].service", "unknown service 'print'"),
    ],
)
def test_an_error_is_reported_with_its_key_and_line(old: str, new: str, key: str, message: str) -> None:
    text = AGREEMENT_TEXT.replace(old, new, 1)
    assert text != AGREEMENT_TEXT
    problems = reported_problems(text.encode())
    assert any(f" {key}: " in problem and message in problem and problem.startswith("line ") for problem in problems), (
        problems
    )
    assert all("\n" not in problem for problem in problems)


def test_a_problem_has_the_line_of_its_key() -> None:
    text = AGREEMENT_TEXT.replace("least = 8", "least = 13")
    assert reported_problems(text.encode())[0].startswith(f"line {line_of(text, 'least = 13')}: services[0].least: ")
    text = AGREEMENT_TEXT.replace('name = "s11"', 'name = "s10"')
    assert reported_problems(text.encode())[0].startswith(
        f"line {text[: text.rindex('s10')].count(chr(10)) + 1}: converters[10]"
    )


def test_missing_replicas_and_unlisted_regions_are_reported() -> None:
    last_replica = '[[regions.replicas]]\nname = "north-2"\naddress = "127.0.0.1:7502"\n'
    assert (
        "2 replicas; a region needs at least 3"
        in reported_problems(AGREEMENT_TEXT.replace(last_replica, "").encode())[0]
    )
    south_table = '[[services.regions]]\nregion = "south"\nleast = 2\nallowance = 2\n'
    assert any(
        "region 'south' has converters of the service but is not listed" in problem
        for problem in reported_problems(AGREEMENT_TEXT.replace(south_table, "").encode())
    )


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\xff", "line 1: not UTF-8"),
        (b"a = \n", "line 1: not TOML"),
        (b"", "services: is missing"),
        (b"#" * (agreement_file.MAX_FILE_BYTES + 1), "4194304 are allowed"),
    ],
)
def test_bytes_that_are_not_an_agreement_are_rejected(data: bytes, message: str) -> None:
    assert any(message in problem for problem in reported_problems(data))


def test_the_pure_modules_import_no_clock_randomness_or_io() -> None:
    pure_modules = (
        "agreement agreement_file agreement_tables agreement_validation capacity commands escrow judge lease_commands "
        "ledger ledger_context limits observation_commands placement problem profile request_commands results "
        "scheduler seeded_faults state submission tables transfer_commands"
    )
    for name in pure_modules.split():
        assert agreement_file.__file__
        source = (Path(agreement_file.__file__).parent / f"{name}.py").read_text()
        for forbidden in ("time", "random", "os", "socket", "asyncio", "pathlib", "threading"):
            assert f"import {forbidden}\n" not in source and f"from {forbidden} import" not in source, (
                f"{name} imports {forbidden}"
            )
