"""What tests share stands in packages/testsupport: no test module is imported by another, and nothing shipped
imports the helpers of the tests."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TEST_FOLDERS = [*sorted(ROOT.glob("packages/*/tests")), ROOT / "tests"]
TEST_FILES = [path for folder in TEST_FOLDERS for path in sorted(folder.rglob("*.py"))]
TESTSUPPORT = ROOT / "packages" / "testsupport" / "src"
HELPER_FILES = sorted(TESTSUPPORT.rglob("*.py"))
PRODUCTION_FILES = [
    path
    for folder in sorted(ROOT.glob("packages/*/src"))
    if folder != TESTSUPPORT
    for path in sorted(folder.rglob("*.py"))
]


def imported_modules(source: str) -> set[str]:
    """Return the full names of all that is imported, at the top or within functions: modules, and what is
    taken from them, which may be modules, too."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            module = "." * node.level + (node.module or "")
            names |= {module} | {f"{module}.{alias.name}" for alias in node.names}
    return names


def imported_tests(source: str) -> set[str]:
    """Return what is imported of test modules, or of other modules that stand in a folder of tests."""
    in_test_folders = {path.stem for path in TEST_FILES} | {"tests", "conftest"}
    return {
        name
        for name in imported_modules(source)
        if name.startswith(".")
        or name.partition(".")[0] in in_test_folders
        or any(part.startswith("test_") for part in name.split("."))
    }


def imported_helpers(source: str) -> set[str]:
    return {
        name
        for name in imported_modules(source)
        if name == "walnutpost.testsupport" or name.startswith("walnutpost.testsupport.")
    }


def test_no_module_imports_a_test_module() -> None:
    files = [*TEST_FILES, *HELPER_FILES, *sorted((ROOT / "benchmarks").rglob("*.py"))]
    found = {str(path): names for path in files if (names := imported_tests(path.read_text()))}
    assert len(TEST_FILES) > 100
    assert not found


def test_folders_of_tests_hold_nothing_but_test_modules() -> None:
    assert not [path for path in TEST_FILES if not path.name.startswith("test_")]


def test_no_production_package_imports_testsupport() -> None:
    found = {str(path): names for path in PRODUCTION_FILES if (names := imported_helpers(path.read_text()))}
    assert len(PRODUCTION_FILES) > 100
    assert not found


@pytest.mark.parametrize(
    "source",
    [
        "import test_workspace",
        "import test_workspace as workspace",
        "from test_workspace import ROOT",
        "from tests import test_workspace",
        "from tests.test_workspace import ROOT",
        "from packages.cli.tests.test_cli_golden import GOLDEN",
        "from . import test_workspace",
        "def later() -> None:\n    from test_workspace import ROOT",
    ],
)
def test_import_of_a_test_module_is_found(source: str) -> None:
    assert imported_tests(source)


@pytest.mark.parametrize(
    "source",
    [
        "import walnutpost.testsupport",
        "from walnutpost import testsupport",
        "from walnutpost.testsupport.node import harness",
        "from walnutpost.testsupport.node.harness import run_scenario",
    ],
)
def test_import_of_testsupport_is_found(source: str) -> None:
    assert imported_helpers(source)
    assert not imported_tests(source)
