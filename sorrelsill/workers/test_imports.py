"""The modules of this package can be read from the bottom upwards: no two import one another."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

HERE = Path(__file__).resolve().parent
PACKAGE = "sorrelsill.workers"
MODULES = sorted(path.stem for path in HERE.glob("*.py") if not path.name.startswith("test_"))


def imported(module: str) -> set[str]:
    """Modules of this package that a module imports anywhere, also for type checking alone."""
    found: set[str] = set()
    for node in ast.walk(ast.parse((HERE / f"{module}.py").read_text())):
        if isinstance(node, ast.Import):
            found.update(module_of(alias.name) for alias in node.names if is_inside(alias.name))
        elif isinstance(node, ast.ImportFrom) and is_inside(node.module or ""):
            assert node.module is not None
            if node.module == PACKAGE:
                found.update(alias.name if alias.name in MODULES else "__init__" for alias in node.names)
            else:
                found.add(module_of(node.module))
    return found


def is_inside(name: str) -> bool:
    return name == PACKAGE or name.startswith(f"{PACKAGE}.")


def module_of(name: str) -> str:
    return name.split(".")[2] if name != PACKAGE else "__init__"


def reached_from(module: str) -> set[str]:
    """All modules that a module imports, directly or through others."""
    reached: set[str] = set()
    open_modules = imported(module)
    while open_modules:
        current = open_modules.pop()
        if current not in reached:
            reached.add(current)
            open_modules |= imported(current)
    return reached


@pytest.mark.parametrize("module", MODULES)
def test_no_module_imports_itself_through_others(module: str) -> None:
    assert module not in reached_from(module)
