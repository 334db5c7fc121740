"""The exhaustive check: small models keep all rules, and each planted mistake breaks its own."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from ryepier.check import explore, reached, trace
from ryepier.check.canonical import digester
from ryepier.check.model import Model, Step, walk
from ryepier.check.models import MODELS
from ryepier.check.seeded_faults import SEEDED_FAULTS
from ryepier.cli import main

ARRIVE = Step("arrive", 0)


def test_a_small_model_is_explored_whole_and_keeps_all_rules() -> None:
    outcome = explore.explore(MODELS["quick"], processes=4)
    assert outcome.whole and outcome.breach is None
    assert outcome.states > 150 and outcome.ends > 100


def in_a_process(plant: str, model: Model) -> explore.Outcome:
    return explore.explore(model, processes=2, plant=SEEDED_FAULTS[plant][1])


@pytest.mark.parametrize(
    ("plant", "model"),
    [
        ("lost-answer", Model("m", 1, ("once",), attempts=1, outcomes=("reset",))),
        ("held-answer", Model("m", 1, ("once",), attempts=1, outcomes=("reset",))),
        ("two-at-once", Model("m", 1, ("once",), attempts=2, outcomes=("ok",))),
        ("careless-resend", Model("m", 2, ("once",), attempts=2, outcomes=("reset",))),
        ("any-cell", Model("m", 2, ("cell",), attempts=2, outcomes=("reset",))),
        ("long-memory", Model("m", 1, ("cell",), attempts=2, outcomes=("reset",))),
        ("deaf", Model("m", 1, ("ask", "ask"), attempts=1, changes=1, outcomes=("ok",))),
        ("freed-twice", Model("m", 1, ("once",), attempts=1, outcomes=("ok",))),
        ("never-forgotten", Model("m", 1, ("ask",), attempts=1, outcomes=("ok",))),
        ("one-more", Model("m", 2, ("ask",), attempts=1, outcomes=("reset",))),
        ("glib-refusal", Model("m", 1, ("once",), attempts=1, outcomes=("reset",))),
        ("second-answer", Model("m", 1, ("ask",), attempts=1, leaves=1, outcomes=("ok",))),
    ],
)
def test_each_planted_mistake_breaks_its_rule(plant: str, model: Model) -> None:
    outcome = in_a_process(plant, model)
    assert outcome.breach is not None and outcome.breach.rule == SEEDED_FAULTS[plant][0]
    assert explore.explore(model, processes=2).breach is None


def test_a_path_leads_to_the_same_world_each_time_and_alike_converters_are_one() -> None:
    model = Model("m", 2, ("ask", "ask"), outcomes=("ok",))
    digest = digester(model)
    paths = [[Step("arrive", 0, "", (pick,)), Step("arrive", 1)] for pick in (0, 1)]
    first, second = (digest(walk(model, path[:1])) for path in paths)
    assert first == second == digest(walk(model, paths[0][:1]))
    apart = Model("m", 2, ("cell", "cell"), cells=(1, 1))
    assert digester(apart)(walk(apart, [Step("arrive", 0, "", (0,))])) != digester(apart)(walk(apart, []))


def test_an_exploration_goes_on_where_it_was_left(tmp_path: Path) -> None:
    keep = tmp_path / "kept"
    model = MODELS["quick"]
    part = explore.explore(model, processes=2, keep=keep, most_s=0.0)
    assert not part.whole and keep.exists()
    rest = explore.explore(model, processes=2, keep=keep)
    assert rest.whole and (rest.states, rest.transitions) == tuple(
        getattr(explore.explore(model, processes=2), name) for name in ("states", "transitions")
    )
    with pytest.raises(ValueError, match="another model"):
        explore.explore(MODELS["cells"], processes=2, keep=keep)


def test_a_trace_says_which_lines_sent_what_and_a_bad_file_is_refused(tmp_path: Path) -> None:
    lines = trace.chart(Model("m", 1, ("ask",), outcomes=("reset", "ok")), [ARRIVE, Step("answer", 0, "reset")])
    assert any("send by balancer.py:" in line and "place" in line for line in lines)
    path = tmp_path / "path.json"
    path.write_text(
        json.dumps({"model": {"name": "m", "converters": 1, "requests": ["ask"]}, "path": [["answer", 7, "ok", []]]})
    )
    got = CliRunner().invoke(main, ["check", "trace", str(path)])
    assert got.exit_code == 2 and "IndexError" in got.stderr


def test_lines_that_no_path_reaches_are_told() -> None:
    with reached.recorded() as seen:
        walk(Model("m", 1, ("ask",)), [ARRIVE, Step("answer", 0, "ok")])
    missing = dict(reached.unreached(seen))
    assert "ryepier.sidecar.dispatcher: RequestDispatcher._on_overdue" in missing
    assert "ryepier.sidecar.dispatcher: RequestDispatcher.on_request" in missing  # only the observers' lines
    assert len(missing["ryepier.sidecar.dispatcher: RequestDispatcher.on_request"]) < 3
