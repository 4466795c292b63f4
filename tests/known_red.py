"""Tests that fail for a known fault which is not mended yet: the list `KNOWN-RED.txt` at the root.

One line each: test, cause and issue, parted by ` | `. A listed test has to fail: once it passes, the run fails until
its line is taken out, so the list can't outlive a fault or cover a test that works."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3  # tests
_SEPARATOR = " | "


class KnownRedError(Exception):
    """The list can't be used: malformed, too long, or naming a test that doesn't exist."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that is known to fail."""

    test: str  # pytest's node id
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRed]:
    """The entries of a list. Raises KnownRedError if it is malformed or too long."""
    entries = []
    for line in text.splitlines():
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(_SEPARATOR)]
        if len(fields) != 3 or not all(fields):
            raise KnownRedError(f"{KNOWN_RED_FILE}: not 'test | cause | issue': {line!r}")
        entries.append(KnownRed(*fields))
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(f"{KNOWN_RED_FILE}: {len(entries)} entries, {MAX_ENTRIES} at the most")
    if len({entry.test for entry in entries}) < len(entries):
        raise KnownRedError(f"{KNOWN_RED_FILE}: a test is listed twice")
    return entries


def load_known_red(root: Path) -> list[KnownRed]:
    """The entries of the list at the root of a checkout; none if there is no list."""
    path = root / KNOWN_RED_FILE
    return parse_known_red(path.read_text()) if path.exists() else []


def check_known_red_exist(entries: Iterable[KnownRed], collected: Iterable[str]) -> None:
    """Raises KnownRedError if a listed test is not among all that were collected."""
    missing = {entry.test for entry in entries} - set(collected)
    if missing:
        raise KnownRedError(f"{KNOWN_RED_FILE}: no such test: {', '.join(sorted(missing))}")
