"""Tests of the model checker: a small model violates no rule, and each seeded fault violates the expected rule."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from ryepier.check import explore, line_coverage, trace
from ryepier.check.canonical import digester
from ryepier.check.model import Action, Model, Step
from ryepier.check.models import MODELS
from ryepier.check.seeded_faults import SEEDED_FAULTS
from ryepier.check.state import replay
from ryepier.cli import main

ARRIVE = Step(Action.ARRIVE, 0)


def test_a_small_model_is_explored_completely_without_violations() -> None:
    exploration = explore.explore(MODELS["quick"], processes=4)
    assert exploration.complete and exploration.violation is None
    assert exploration.states > 150 and exploration.terminal_states > 100


def explore_with_fault(fault_name: str, model: Model) -> explore.Exploration:
    return explore.explore(model, processes=2, install_fault=SEEDED_FAULTS[fault_name].install)


@pytest.mark.parametrize(
    ("fault_name", "model"),
    [
        ("lost-answer", Model("m", 1, ("once",), max_attempts=1, outcomes=("reset",))),
        ("held-answer", Model("m", 1, ("once",), max_attempts=1, outcomes=("reset",))),
        ("two-at-once", Model("m", 1, ("once",), max_attempts=2, outcomes=("ok",))),
        ("careless-resend", Model("m", 2, ("once",), max_attempts=2, outcomes=("reset",))),
        ("any-cell", Model("m", 2, ("cell",), max_attempts=2, outcomes=("reset",))),
        ("long-memory", Model("m", 1, ("cell",), max_attempts=2, outcomes=("reset",))),
        ("deaf", Model("m", 1, ("ask", "ask"), max_attempts=1, list_changes=1, outcomes=("ok",))),
        ("freed-twice", Model("m", 1, ("once",), max_attempts=1, outcomes=("ok",))),
        ("never-forgotten", Model("m", 1, ("ask",), max_attempts=1, outcomes=("ok",))),
        ("one-more", Model("m", 2, ("ask",), max_attempts=1, outcomes=("reset",))),
        ("glib-refusal", Model("m", 1, ("once",), max_attempts=1, outcomes=("reset",))),
        ("second-answer", Model("m", 1, ("ask",), max_attempts=1, client_disconnects=1, outcomes=("ok",))),
    ],
)
def test_each_seeded_fault_violates_its_rule(fault_name: str, model: Model) -> None:
    exploration = explore_with_fault(fault_name, model)
    assert exploration.violation is not None and exploration.violation.rule == SEEDED_FAULTS[fault_name].rule
    assert explore.explore(model, processes=2).violation is None


def test_a_path_always_leads_to_the_same_state_and_equivalent_converters_are_interchangeable() -> None:
    model = Model("m", 2, ("ask", "ask"), outcomes=("ok",))
    digest = digester(model)
    paths = [[Step(Action.ARRIVE, 0, "", (draw,)), Step(Action.ARRIVE, 1)] for draw in (0, 1)]
    first_digest, second_digest = (digest(replay(model, path[:1])) for path in paths)
    assert first_digest == second_digest == digest(replay(model, paths[0][:1]))
    shared_domain_model = Model("m", 2, ("cell", "cell"), failure_domains=(1, 1))
    assert digester(shared_domain_model)(replay(shared_domain_model, [Step(Action.ARRIVE, 0, "", (0,))])) != digester(
        shared_domain_model
    )(replay(shared_domain_model, []))


def test_an_exploration_continues_from_its_checkpoint(tmp_path: Path) -> None:
    checkpoint = tmp_path / "kept"
    model = MODELS["quick"]
    partial_exploration = explore.explore(model, processes=2, checkpoint=checkpoint, max_seconds=0.0)
    assert not partial_exploration.complete and checkpoint.exists()
    continued_exploration = explore.explore(model, processes=2, checkpoint=checkpoint)
    assert continued_exploration.complete and (
        continued_exploration.states,
        continued_exploration.transitions,
    ) == tuple(getattr(explore.explore(model, processes=2), name) for name in ("states", "transitions"))
    with pytest.raises(ValueError, match="another model"):
        explore.explore(MODELS["cells"], processes=2, checkpoint=checkpoint)


def test_charts_name_the_lines_that_send_attempts_and_malformed_files_are_rejected(tmp_path: Path) -> None:
    lines = trace.chart(Model("m", 1, ("ask",), outcomes=("reset", "ok")), [ARRIVE, Step(Action.ANSWER, 0, "reset")])
    assert any("send by balancer.py:" in line and "place" in line for line in lines)
    path = tmp_path / "path.json"
    path.write_text(
        json.dumps({"model": {"name": "m", "converters": 1, "requests": ["ask"]}, "path": [["answer", 7, "ok", []]]})
    )
    result = CliRunner().invoke(main, ["check", "trace", str(path)])
    assert result.exit_code == 2 and "IndexError" in result.stderr


def test_lines_that_no_path_executes_are_listed() -> None:
    with line_coverage.record_lines() as executed:
        replay(Model("m", 1, ("ask",)), [ARRIVE, Step(Action.ANSWER, 0, "ok")])
    uncovered = dict(line_coverage.uncovered_lines(executed))
    assert "ryepier.sidecar.dispatcher: RequestDispatcher._on_overdue" in uncovered
    # `on_request` is executed except for the lines that call observers.
    assert "ryepier.sidecar.dispatcher: RequestDispatcher.on_request" in uncovered
    assert len(uncovered["ryepier.sidecar.dispatcher: RequestDispatcher.on_request"]) < 3
