"""The documents' links and the files that they name exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
DOCUMENTS = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
# Documents that lead readers to the code, where every named file has to be there. Histories may name removed files.
GUIDES = [ROOT / name for name in ("README.md", "CONTRIBUTING.md", "docs/architecture.md")]

_INLINE_CODE = re.compile(r"`[^`\n]*`")
_LINK = re.compile(r"\[[^\]]*\]\(\s*<?([^)\s>]+)[^)]*\)")
_REFERENCE = re.compile(r"^ {0,3}\[[^\]]+\]:\s*<?([^\s>]+)", re.MULTILINE)
_HEADING = re.compile(r"^#{1,6}\s+(.+?)\s*#*$", re.MULTILINE)
_PYTHON_FILE = re.compile(r"`([\w./-]+\.py)`")


def names(paths: list[Path]) -> list[str]:
    return [str(path.relative_to(ROOT)) for path in paths]


def without_code(text: str) -> str:
    blocks = "\n".join("" if line.startswith("    ") else line for line in text.split("\n"))
    return _INLINE_CODE.sub("", re.sub(r"^```.*?^```$", "", blocks, flags=re.MULTILINE | re.DOTALL))


def anchors(path: Path) -> set[str]:
    """The anchors of a document's headings, as the usual renderers make them."""
    found = (heading.replace("`", "").lower() for heading in _HEADING.findall(path.read_text(encoding="utf-8")))
    return {re.sub(r"[^\w\- ]", "", heading).replace(" ", "-") for heading in found}


def relative_links(path: Path) -> list[str]:
    text = without_code(path.read_text(encoding="utf-8"))
    found = [*_LINK.findall(text), *_REFERENCE.findall(text)]
    return [target for target in found if not re.match(r"[a-z][a-z0-9+.-]*:", target)]


def broken(path: Path, target: str) -> bool:
    """Whether a link leads out of the repository, to no file, or to no heading of a document."""
    name, _, anchor = target.partition("#")
    file = (path.parent / name).resolve() if name else path
    if not file.is_relative_to(ROOT) or not file.exists():
        return True
    return bool(anchor) and (file.suffix != ".md" or anchor not in anchors(file))


def test_there_are_documents_to_check() -> None:
    assert set(GUIDES) <= set(DOCUMENTS)
    assert sum(len(relative_links(path)) for path in DOCUMENTS) > 0


@pytest.mark.parametrize("path", DOCUMENTS, ids=names(DOCUMENTS))
def test_every_relative_link_resolves(path: Path) -> None:
    assert [target for target in relative_links(path) if broken(path, target)] == []


@pytest.mark.parametrize("path", GUIDES, ids=names(GUIDES))
def test_every_python_file_that_a_guide_names_exists(path: Path) -> None:
    """Named from the root of the repository, or from the package's directory."""
    named = set(_PYTHON_FILE.findall(path.read_text(encoding="utf-8")))
    assert named
    missing = [
        name for name in sorted(named) if not any((base / name).is_file() for base in (ROOT, ROOT / "sorrelsill"))
    ]
    assert missing == []


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("glossary.md", False),
        ("architecture.md#packages", False),
        ("#packages", False),
        ("../README.md", False),
        ("absent.md", True),
        ("architecture.md#absent", True),
        ("../../outside.md", True),
    ],
)
def test_broken_links_are_told_from_whole_ones(target: str, expected: bool) -> None:
    assert broken(ROOT / "docs" / "architecture.md", target) is expected
