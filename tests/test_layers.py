"""Rules of the package structure: modules import only from lower layers, so that each package can be understood on
its own; functions are short."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

MAX_FUNCTION_LINES = 40
PACKAGE = Path(__file__).resolve().parents[1] / "sorrelsill"

# From the lowest layer to the highest. Components of the same layer must not import one another.
LAYERS = (
    ("constants", "controller_state"),
    ("events", "timers", "settings", "metrics"),
    ("model", "token_bucket"),
    ("http",),
    ("store",),
    ("workers",),
    ("fleet",),
    ("placement",),
    ("jobs",),
    ("leadership",),
    ("peers", "membership"),
    ("controller",),
    ("serve",),
    ("cli",),
)
LAYER_NUMBERS = {name: layer for layer, names in enumerate(LAYERS) for name in names}


def product_files() -> list[Path]:
    return sorted(path for path in PACKAGE.rglob("*.py") if not path.name.startswith("test_"))


def module_of(path: Path) -> str:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_modules(path: Path, modules: set[str]) -> Iterator[str]:
    """All modules of the package that a file imports, at any place and also for type checking only."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name.startswith("sorrelsill"))
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("sorrelsill"):
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                yield submodule if submodule in modules else str(node.module)


def component_of(module: str) -> str:
    """The package or single module directly below `sorrelsill` that contains a module."""
    return module.split(".")[1] if "." in module else ""


@pytest.mark.parametrize("path", product_files(), ids=module_of)
def test_module_imports_only_its_own_package_and_lower_layers(path: Path) -> None:
    component = component_of(module_of(path))
    if not component:
        return
    modules = {module_of(file) for file in product_files()}
    imported = {component_of(name) for name in imported_modules(path, modules)} - {"", component}
    upward = {name for name in imported if LAYER_NUMBERS[name] >= LAYER_NUMBERS[component]}
    assert not upward, f"{component} must not import from its own or a higher layer: {sorted(upward)}"


def test_every_component_has_a_layer() -> None:
    assert {component_of(module_of(path)) for path in product_files()} - {""} == set(LAYER_NUMBERS)


def import_cycles(imports: dict[str, set[str]]) -> list[set[str]]:
    """Returns the sets of modules that reach one another through their imports."""

    def reachable(start: str) -> set[str]:
        found: set[str] = set()
        pending = [start]
        while pending:
            next_modules = imports.get(pending.pop(), set()) - found
            found |= next_modules
            pending.extend(next_modules)
        return found

    reached = {module: reachable(module) for module in imports}
    found = {frozenset(other for other in reached[name] if name in reached.get(other, set())) for name in imports}
    return [set(members) for members in sorted(found, key=sorted) if members]


def test_import_cycles_are_found() -> None:
    assert import_cycles({"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": {"a"}}) == [{"b", "c"}]
    assert import_cycles({"a": {"b"}, "b": set()}) == []


def test_no_import_cycles() -> None:
    modules = {module_of(path) for path in product_files()}
    imports = {module_of(path): set(imported_modules(path, modules)) & modules for path in product_files()}
    assert import_cycles(imports) == []


def test_functions_are_short() -> None:
    functions = (
        (path, node)
        for path in product_files()
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    )
    lengths = {f"{module_of(path)}.{node.name}": (node.end_lineno or 0) - node.lineno + 1 for path, node in functions}
    assert {name: lines for name, lines in lengths.items() if lines > MAX_FUNCTION_LINES} == {}
