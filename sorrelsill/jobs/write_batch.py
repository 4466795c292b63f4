"""A write batch: one compare-and-swap transaction in the making, and what its commit means."""

from __future__ import annotations

from collections.abc import Callable

from sorrelsill import constants
from sorrelsill.store import LEADER, Compare, Delete, Put

_FRAME_BYTES = 200  # of a transaction without any changes


def _nothing() -> None:
    pass


class WriteBatch:
    """Changes that go to the store together. Each of them could go by itself, and is named so that one that the store
    refuses can be told from the others."""

    def __init__(self, term: int, max_writes: int) -> None:
        self.compares = [Compare(LEADER, term)]
        self.writes: list[Put | Delete] = []
        self.changes: list[str] = []
        self.max_writes = max_writes
        self._size = _FRAME_BYTES
        self._on_commit: list[Callable[[int], None]] = []
        self._on_failure: list[Callable[[], None]] = []

    @property
    def writes_left(self) -> int:
        """How many more writes it may hold."""
        return max(0, self.max_writes - len(self.writes))

    def has_room(self, compares: int, writes: int, size: int) -> bool:
        """Whether so many more, of `size` bytes together, keep to the limits of a transaction."""
        return (
            len(self.writes) + writes <= self.max_writes
            and len(self.compares) + compares <= self.max_writes * constants.COMPARES_PER_OP
            and self._size + size <= constants.TXN_BYTES
        )

    def add(
        self,
        change: str,
        compares: list[Compare],
        writes: list[Put | Delete],
        size: int,
        on_commit: Callable[[int], None],
        on_failure: Callable[[], None] = _nothing,
    ) -> None:
        """Add one change of `size` bytes. `on_commit` is told the revision; `on_failure` is called if the batch is not
        known to be committed, to make due again what was taken off."""
        self.changes.append(change)
        self.compares += compares
        self.writes += writes
        self._size += size
        self._on_commit.append(on_commit)
        self._on_failure.append(on_failure)

    def committed(self, rev: int) -> None:
        """The store carried it out at this revision."""
        for on_commit in self._on_commit:
            on_commit(rev)

    def failed(self) -> None:
        """It is not known to be committed."""
        for on_failure in self._on_failure:
            on_failure()
