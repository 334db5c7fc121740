"""The deploy file's command answers a real frame; the limits on the decision module."""

from __future__ import annotations

import ast
import os
import struct
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.test_simulator_protocol import EMPTY_BATCH, LIST_RECORD, batch_frame, instance_started

pytestmark = pytest.mark.xdist_group("deploy_build")  # builds the environment in the tree

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


@pytest.fixture(scope="module")
def sim() -> str:
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=300)
    return str(DEPLOY["sim"])


def start(sim: str, data: bytes) -> subprocess.CompletedProcess[bytes]:
    plain = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV"))}
    return subprocess.run(["/bin/sh", "-c", sim], cwd=ROOT, input=data, capture_output=True, timeout=60, env=plain)


def test_the_deployed_command_answers_and_ends_with_its_input(sim: str) -> None:
    members = bytes.fromhex("50 0300 02 29000000 00000000")
    frames = bytes.fromhex(EMPTY_BATCH) + batch_frame([instance_started(), bytes.fromhex(LIST_RECORD), members])
    done = start(sim, frames)
    assert (done.returncode, done.stderr) == (0, b"")
    assert done.stdout.startswith(bytes(8))
    size, _ = struct.unpack_from("<II", done.stdout, 8)
    assert len(done.stdout) == 16 + size


def test_the_deployed_command_ends_on_a_bad_frame_with_one_line(sim: str) -> None:
    done = start(sim, bytes.fromhex(EMPTY_BATCH) + b"\x01\x00")
    assert done.returncode != 0 and done.stdout == bytes(8)
    assert done.stderr.decode().splitlines() == ["ryepier.balancer: batch 1: truncated header: 2 of 16 bytes"]


POLICY = {name: (ROOT / name).read_text() for name in DEPLOY["policy"]}
MAX_MODULE_LINES = 400
MAX_LINE_LENGTH = 110
# Standard modules without I/O, clocks or randomness of their own; draws come from the seeded `random.Random`.
PURE_MODULES = {"__future__", "collections.abc", "dataclasses", "enum", "heapq", "math", "random", "typing"}


def imports_of(text: str) -> set[str]:
    """Return the dotted names that a module imports: of `from a import b` both `a` and `a.b`."""
    found = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found |= {str(node.module), *(f"{node.module}.{alias.name}" for alias in node.names)}
    return found


def module_name(path: str) -> str:
    return path.removesuffix(".py").replace("/", ".")


@pytest.mark.parametrize("name", POLICY)
def test_a_decision_module_has_one_concern_and_a_readable_size(name: str) -> None:
    lines = POLICY[name].splitlines()
    assert len(lines) <= MAX_MODULE_LINES
    assert max(map(len, lines)) <= MAX_LINE_LENGTH
    docstring = ast.get_docstring(ast.parse(POLICY[name]))
    assert docstring is not None
    concern = docstring.splitlines()[0]
    # The first module also names the interface.
    assert concern.endswith(".") and concern.count(". ") <= int(name == DEPLOY["policy"][0])


def test_no_two_decision_modules_state_the_same_concern() -> None:
    concerns = [(ast.get_docstring(ast.parse(text)) or "").splitlines()[0] for text in POLICY.values()]
    assert len(set(concerns)) == len(concerns)


def test_the_first_decision_module_names_the_interface() -> None:
    assert "ryepier/balancer/interface.py" in POLICY[DEPLOY["policy"][0]].splitlines()[0]


@pytest.mark.parametrize("name", POLICY)
def test_a_decision_module_is_pure(name: str) -> None:
    outside = {one for one in imports_of(POLICY[name]) if not one.startswith("ryepier.balancer")}
    modules = {one for one in outside if one in sys.stdlib_module_names or one.rpartition(".")[0] not in outside}
    assert modules <= PURE_MODULES
    # The functions of `random` itself draw from a generator without our seed.
    drawing = {one for one in outside if one.partition(".")[0] == "random"}
    assert drawing in (set(), {"random", "random.Random"}) and "import random" not in POLICY[name].splitlines()


def test_a_module_that_the_deploy_file_does_not_name_decides_nothing() -> None:
    """It draws nothing, and reads neither the constants of the decisions nor the state of upstreams."""
    deciding = {module_name(name) for name in POLICY}
    embedding = {"ryepier/balancer/simulator_adapter.py", "ryepier/sidecar/dispatcher.py"}
    checked = 0
    for folder in ("ryepier/balancer", "ryepier/sidecar"):
        for path in (ROOT / folder).glob("*.py"):
            name = str(path.relative_to(ROOT))
            if name in POLICY:
                continue
            allowed = {"ryepier.balancer.balancer"} if name in embedding else set()
            imported = imports_of(path.read_text())
            assert not {"random", "secrets"} & imported, f"{name} draws"
            assert imported & deciding <= allowed, f"{name} uses a decision"
            checked += 1
    assert checked > len(WITHOUT_DECISIONS)


def test_figures_stand_in_named_constants_or_are_plain_fractions() -> None:
    plain = {0, 1, 2, 4, 8, 20, 0.02, 0.1, 0.2, 0.25, 0.3, 0.5, 1_000_000}  # fit nobody
    tree = ast.parse("\n".join((ROOT / name).read_text() for name in DEPLOY["policy"]))
    bodies = [node for node in tree.body if isinstance(node, ast.ClassDef | ast.FunctionDef)]
    figures = {
        node.value
        for body in bodies
        for node in ast.walk(body)
        if isinstance(node, ast.Constant) and type(node.value) in (int, float)
    }
    assert figures - plain == set()
    assert "deployment" not in ast.dump(tree).lower()


# Modules of the package that describe, read or write; all others decide.
WITHOUT_DECISIONS = {
    "__init__",
    "actions",
    "events",
    "interface",
    "records",
    "settings",
    "settings_parser",
    "simulator_adapter",
    "simulator_protocol",
}


def test_the_deploy_file_names_exactly_the_modules_that_decide() -> None:
    package = ROOT / "ryepier" / "balancer"
    deciding = {path.stem for path in package.glob("*.py")} - WITHOUT_DECISIONS
    assert len(DEPLOY["policy"]) == len(set(DEPLOY["policy"]))
    assert {Path(name) for name in DEPLOY["policy"]} == {Path("ryepier/balancer") / f"{name}.py" for name in deciding}


def test_the_decisions_read_no_name_and_no_number_of_an_instance() -> None:
    text = "\n".join((ROOT / name).read_text() for name in DEPLOY["policy"])
    assert not [word for word in (".name", "self_index", "entry.kind", "os.environ", "open(") if word in text]


def test_the_package_needs_the_standard_library_only() -> None:
    code = "import sys, ryepier.balancer.simulator_adapter; print(*sorted({m.split('.')[0] for m in sys.modules}))"
    found = subprocess.run(
        [sys.executable, "-S", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    ).stdout.split()
    assert set(found) - set(sys.stdlib_module_names) <= {"ryepier", "__main__", "sitecustomize"}


def test_the_deploy_file_names_every_package_that_the_sidecar_imports() -> None:
    code = "import sys, ryepier.sidecar.__main__; print(*(getattr(m, '__file__', None) for m in sys.modules.values()))"
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    ).stdout.split()
    ours = {Path(name).relative_to(ROOT) for name in found if Path(name).is_relative_to(ROOT / "ryepier")}
    named = [Path(name) for name in DEPLOY["node"]]
    assert ours and not [path for path in ours if not any(path.is_relative_to(name) for name in named)]


def test_the_readme_example_runs_as_written() -> None:
    text = (ROOT / "README.md").read_text()
    example = text.split("```python\n")[1].split("```")[0]
    done = subprocess.run(
        [sys.executable, "-c", example], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    shown = text.split("It prints:\n\n```\n")[1].split("```")[0]
    assert done.stdout == shown
