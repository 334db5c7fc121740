"""The commands and file lists in the deploy file, and the rules for the decision modules."""

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

pytestmark = pytest.mark.xdist_group("deploy_build")  # builds the environment in the source tree

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


@pytest.fixture(scope="module")
def simulator_command() -> str:
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=300)
    return str(DEPLOY["sim"])


def run_simulator(simulator_command: str, data: bytes) -> subprocess.CompletedProcess[bytes]:
    environment = {name: value for name, value in os.environ.items() if not name.startswith(("PYTHON", "VIRTUAL_ENV"))}
    return subprocess.run(
        ["/bin/sh", "-c", simulator_command], cwd=ROOT, input=data, capture_output=True, timeout=60, env=environment
    )


def test_deployed_command_answers_and_exits_at_end_of_input(simulator_command: str) -> None:
    members = bytes.fromhex("50 0300 02 29000000 00000000")
    frames = bytes.fromhex(EMPTY_BATCH) + batch_frame([instance_started(), bytes.fromhex(LIST_RECORD), members])
    completed_process = run_simulator(simulator_command, frames)
    assert (completed_process.returncode, completed_process.stderr) == (0, b"")
    assert completed_process.stdout.startswith(bytes(8))
    size, _ = struct.unpack_from("<II", completed_process.stdout, 8)
    assert len(completed_process.stdout) == 16 + size


def test_deployed_command_reports_a_malformed_frame_in_one_line(simulator_command: str) -> None:
    completed_process = run_simulator(simulator_command, bytes.fromhex(EMPTY_BATCH) + b"\x01\x00")
    assert completed_process.returncode != 0 and completed_process.stdout == bytes(8)
    assert completed_process.stderr.decode().splitlines() == [
        "ryepier.balancer: batch 1: truncated header: 2 of 16 bytes"
    ]


POLICY_MODULES = {name: (ROOT / name).read_text() for name in DEPLOY["policy"]}
MAX_MODULE_LINES = 400
MAX_LINE_LENGTH = 110
# Standard modules without I/O, clocks or unseeded randomness; random numbers come from the seeded `random.Random`.
PURE_MODULES = {"__future__", "collections.abc", "dataclasses", "enum", "heapq", "math", "random", "typing"}


def imports_of(text: str) -> set[str]:
    """Return the dotted names that a module imports; `from a import b` counts as both `a` and `a.b`."""
    imported_names = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            imported_names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported_names |= {str(node.module), *(f"{node.module}.{alias.name}" for alias in node.names)}
    return imported_names


def module_name(path: str) -> str:
    return path.removesuffix(".py").replace("/", ".")


@pytest.mark.parametrize("name", POLICY_MODULES)
def test_decision_module_has_a_one_sentence_summary_and_limited_size(name: str) -> None:
    lines = POLICY_MODULES[name].splitlines()
    assert len(lines) <= MAX_MODULE_LINES
    assert max(map(len, lines)) <= MAX_LINE_LENGTH
    docstring = ast.get_docstring(ast.parse(POLICY_MODULES[name]))
    assert docstring is not None
    summary_line = docstring.splitlines()[0]
    # The first module's docstring has a second sentence, which names the interface.
    assert summary_line.endswith(".") and summary_line.count(". ") <= int(name == DEPLOY["policy"][0])


def test_decision_modules_have_distinct_summaries() -> None:
    summary_lines = [(ast.get_docstring(ast.parse(text)) or "").splitlines()[0] for text in POLICY_MODULES.values()]
    assert len(set(summary_lines)) == len(summary_lines)


def test_first_decision_module_names_the_interface() -> None:
    assert "ryepier/balancer/interface.py" in POLICY_MODULES[DEPLOY["policy"][0]].splitlines()[0]


@pytest.mark.parametrize("name", POLICY_MODULES)
def test_decision_module_is_pure(name: str) -> None:
    external_names = {
        imported_name
        for imported_name in imports_of(POLICY_MODULES[name])
        if not imported_name.startswith("ryepier.balancer")
    }
    modules = {
        imported_name
        for imported_name in external_names
        if imported_name in sys.stdlib_module_names or imported_name.rpartition(".")[0] not in external_names
    }
    assert modules <= PURE_MODULES
    # The functions of the `random` module use a generator that is not seeded by the balancer.
    random_names = {imported_name for imported_name in external_names if imported_name.partition(".")[0] == "random"}
    assert (
        random_names in (set(), {"random", "random.Random"})
        and "import random" not in POLICY_MODULES[name].splitlines()
    )


def test_modules_outside_the_policy_make_no_decisions() -> None:
    """Such modules use no randomness and import no decision module, except that two may import the balancer itself."""
    decision_modules = {module_name(name) for name in POLICY_MODULES}
    modules_with_balancer = {"ryepier/balancer/simulator_adapter.py", "ryepier/sidecar/dispatcher.py"}
    checked_module_count = 0
    for directory in ("ryepier/balancer", "ryepier/sidecar"):
        for path in (ROOT / directory).glob("*.py"):
            name = str(path.relative_to(ROOT))
            if name in POLICY_MODULES:
                continue
            allowed_modules = {"ryepier.balancer.balancer"} if name in modules_with_balancer else set()
            imported_names = imports_of(path.read_text())
            assert not {"random", "secrets"} & imported_names, f"{name} uses random numbers"
            assert imported_names & decision_modules <= allowed_modules, f"{name} imports a decision module"
            checked_module_count += 1
    assert checked_module_count > len(NON_DECISION_MODULES)


def test_numbers_in_decision_modules_are_named_constants_or_allowed() -> None:
    # generic numbers that are not tuned to a particular case
    allowed_numbers = {0, 1, 2, 4, 8, 20, 0.02, 0.1, 0.2, 0.25, 0.3, 0.5, 1_000_000}
    tree = ast.parse("\n".join((ROOT / name).read_text() for name in DEPLOY["policy"]))
    definitions = [node for node in tree.body if isinstance(node, ast.ClassDef | ast.FunctionDef)]
    numbers = {
        node.value
        for definition in definitions
        for node in ast.walk(definition)
        if isinstance(node, ast.Constant) and type(node.value) in (int, float)
    }
    assert numbers - allowed_numbers == set()
    assert "deployment" not in ast.dump(tree).lower()


# Modules of the balancer package that only describe, read or write data; all others make decisions.
NON_DECISION_MODULES = {
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


def test_deploy_file_lists_exactly_the_decision_modules() -> None:
    package = ROOT / "ryepier" / "balancer"
    decision_modules = {path.stem for path in package.glob("*.py")} - NON_DECISION_MODULES
    assert len(DEPLOY["policy"]) == len(set(DEPLOY["policy"]))
    assert {Path(name) for name in DEPLOY["policy"]} == {
        Path("ryepier/balancer") / f"{name}.py" for name in decision_modules
    }


def test_decision_modules_read_no_instance_names_or_indexes() -> None:
    text = "\n".join((ROOT / name).read_text() for name in DEPLOY["policy"])
    assert not [word for word in (".name", "self_index", "entry.kind", "os.environ", "open(") if word in text]


def test_balancer_package_imports_only_the_standard_library() -> None:
    code = "import sys, ryepier.balancer.simulator_adapter; print(*sorted({m.split('.')[0] for m in sys.modules}))"
    module_names = subprocess.run(
        [sys.executable, "-S", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    ).stdout.split()
    assert set(module_names) - set(sys.stdlib_module_names) <= {"ryepier", "__main__", "sitecustomize"}


def test_deploy_file_lists_every_package_that_the_sidecar_imports() -> None:
    code = (
        "import sys, ryepier.sidecar.__main__, ryepier.sidecar.process; "
        "print(*(getattr(m, '__file__', None) for m in sys.modules.values()))"
    )
    file_names = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    ).stdout.split()
    own_files = {Path(name).relative_to(ROOT) for name in file_names if Path(name).is_relative_to(ROOT / "ryepier")}
    deployed_paths = [Path(name) for name in DEPLOY["node"]]
    assert own_files and not [
        path for path in own_files if not any(path.is_relative_to(name) for name in deployed_paths)
    ]


def test_readme_example_prints_the_documented_output() -> None:
    text = (ROOT / "README.md").read_text()
    example = text.split("```python\n")[1].split("```")[0]
    completed_process = subprocess.run(
        [sys.executable, "-c", example], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    expected_output = text.split("It prints:\n\n```\n")[1].split("```")[0]
    assert completed_process.stdout == expected_output
