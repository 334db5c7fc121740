"""Configuration files: errors with key and line, overrides by environment variables, and defaults."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from ryepier.conf import operator_settings
from ryepier.conf.toml_schema import ConfigurationError
from ryepier.emulator import world

ROOT = Path(__file__).resolve().parent.parent
STEADY_WORLD = (ROOT / "ryepier" / "worlds" / "steady.toml").read_text()


def find_problems(text: str, **environment: str) -> list[str]:
    with pytest.raises(ConfigurationError) as error_info:
        operator_settings.parse(text, environment)
    return [str(problem) for problem in error_info.value.problems]


def find_world_problems(text: str) -> list[tuple[int, str]]:
    with pytest.raises(ConfigurationError) as error_info:
        world.parse(text)
    return [(problem.line, problem.key) for problem in error_info.value.problems]


def test_all_errors_are_reported_together_with_line_and_key() -> None:
    messages = find_problems('[logging]\n# a comment\nformat = "xml"\nlevle = "info"\nlines_per_s = 0\n[lgging]\n')
    assert [text.split(":")[0] for text in messages] == ["line 3", "line 4", "line 5", "line 6"]
    assert "logging.format" in messages[0] and "did you mean 'level'?" in messages[1]
    assert ">= 1" in messages[2] and "did you mean 'logging'?" in messages[3]


@pytest.mark.parametrize(
    ("text", "expected_start"),
    [
        ("[logging]\nformat = \n", "line 2: not TOML"),
        ("logging = 3\n", "line 1: logging: expected a table, got int"),
        ("[logging]\nlines_per_s = true\n", "line 2: logging.lines_per_s: expected `int`, got `bool`, got True"),
    ],
)
def test_invalid_file_is_reported_in_one_line(text: str, expected_start: str) -> None:
    assert find_problems(text)[0].startswith(expected_start)


def test_environment_overrides_the_file_and_is_validated() -> None:
    settings = operator_settings.parse(
        '[logging]\nformat = "plain"\nlevel = "debug"\n',
        {"RYEPIER_LOGGING__FORMAT": "json", "RYEPIER_LOGGING__LINES_PER_S": "7", "HOME": "/"},
    )
    assert settings.logging.format is operator_settings.LogFormat.JSON
    assert (settings.logging.level, settings.logging.lines_per_s) == ("debug", 7)
    assert "logging.format" in find_problems("", RYEPIER_LOGGING__FORMAT="loud")[0]


def test_shipped_file_has_every_key_and_its_default() -> None:
    text = (ROOT / "deploy" / "ryepier.toml").read_text()
    assert operator_settings.parse(text, {}) == operator_settings.OperatorSettings()
    assert tomllib.loads(text)["logging"].keys() == set(operator_settings.LoggingSettings.__struct_fields__)


def test_file_keys_set_the_fields_that_are_named_differently() -> None:
    """The keys are documented for operators, so they must keep working where a field has a different name."""
    settings = operator_settings.parse(
        "[trust]\nleast_reporters = 0.1\nleast_window_ms = 2\nleast_covered = 0.3\n"
        "most_resting = 0.6\nleast_weight = 0.7\n"
        "[planner]\nmost_forwarders = 8\n[graphql]\nmost_batch = 9\n"
        '[slices]\ncell = "node"\n[storm]\nwhole_seconds = true\n',
        {"RYEPIER_PLANNER__MOST_FORWARDERS": "7"},
    )
    requirements = settings.plan_acceptance
    assert (requirements.min_reporters, requirements.min_window_ms, requirements.min_covered) == (0.1, 2, 0.3)
    assert (requirements.max_ejected, requirements.min_weight) == (0.6, 0.7)
    assert (settings.planner.max_forwarders, settings.graphql.max_batch_size) == (7, 9)
    assert settings.slices.failure_domain_scope is operator_settings.FailureDomainScope.NODE
    assert settings.retry_guard.rounds_to_seconds is True
    assert find_problems("[trust]\nmin_reporters = 0.1\n")[0].startswith("line 2: trust.min_reporters: unknown key")


def test_error_in_a_world_file_is_reported_with_its_line() -> None:
    lines = STEADY_WORLD.splitlines()
    index = lines.index('effect = "deduplicated"')
    lines[index] = 'effect = "sometimes"'
    lines[:0] = [""] * (39 - index)  # moves the invalid value to line 40
    assert find_world_problems("\n".join(lines)) == [(40, "classes[1].effect")]


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("work_ms = [17.0, 33.0]", "work_ms = [33.0, 17.0]", "classes[0]"),
        ("share = 0.65", "share = 0.95", ""),  # the shares of both classes add up to more than 1
        ("count = 6", "cuont = 6", "converters[0].cuont"),
        ("rate_per_s = 700.0", "rate_per_s = 7e8", ""),
        ("skew = 0.5", 'skew = 0.5\n[[faults]]\nkind = "heavy-tail"\nat_s = 1.0\n', ""),
    ],
)
def test_invalid_worlds_are_rejected(old: str, new: str, key: str) -> None:
    assert key in [problem_key for _, problem_key in find_world_problems(STEADY_WORLD.replace(old, new, 1))]
