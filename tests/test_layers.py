"""The shape of the product: packages import only downwards, so that each can be read by itself; functions are short."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

LONGEST_FUNCTION = 40  # lines
PACKAGE = Path(__file__).resolve().parents[1] / "sorrelsill"

# From the bottom to the top. What stands on one line may not import its neighbours.
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
LEVEL = {name: level for level, names in enumerate(LAYERS) for name in names}


def product_files() -> list[Path]:
    return sorted(path for path in PACKAGE.rglob("*.py") if not path.name.startswith("test_"))


def module_of(path: Path) -> str:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_modules(path: Path, modules: set[str]) -> Iterator[str]:
    """The service's modules that a file imports anywhere, also those for type checking alone."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name.startswith("sorrelsill"))
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("sorrelsill"):
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                yield submodule if submodule in modules else str(node.module)


def part_of(module: str) -> str:
    """The package or single module right below `sorrelsill` that a module belongs to."""
    return module.split(".")[1] if "." in module else ""


@pytest.mark.parametrize("path", product_files(), ids=module_of)
def test_a_module_imports_only_its_own_package_and_lower_ones(path: Path) -> None:
    part = part_of(module_of(path))
    if not part:
        return
    modules = {module_of(file) for file in product_files()}
    imported = {part_of(name) for name in imported_modules(path, modules)} - {"", part}
    upward = {name for name in imported if LEVEL[name] >= LEVEL[part]}
    assert not upward, f"{part} is below or beside {sorted(upward)}"


def test_every_part_has_a_layer() -> None:
    assert {part_of(module_of(path)) for path in product_files()} - {""} == set(LEVEL)


def circles(imports: dict[str, set[str]]) -> list[set[str]]:
    """Sets of modules that reach one another through their imports."""

    def reachable(start: str) -> set[str]:
        found: set[str] = set()
        pending = [start]
        while pending:
            following = imports.get(pending.pop(), set()) - found
            found |= following
            pending.extend(following)
        return found

    reached = {module: reachable(module) for module in imports}
    found = {frozenset(other for other in reached[name] if name in reached.get(other, set())) for name in imports}
    return [set(members) for members in sorted(found, key=sorted) if members]


def test_circles_are_found() -> None:
    assert circles({"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": {"a"}}) == [{"b", "c"}]
    assert circles({"a": {"b"}, "b": set()}) == []


def test_no_two_modules_import_one_another() -> None:
    modules = {module_of(path) for path in product_files()}
    imports = {module_of(path): set(imported_modules(path, modules)) & modules for path in product_files()}
    assert circles(imports) == []


def test_no_function_is_long() -> None:
    functions = (
        (path, node)
        for path in product_files()
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    )
    lengths = {f"{module_of(path)}.{node.name}": (node.end_lineno or 0) - node.lineno + 1 for path, node in functions}
    assert {name: lines for name, lines in lengths.items() if lines > LONGEST_FUNCTION} == {}
