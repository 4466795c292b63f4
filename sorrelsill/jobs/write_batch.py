"""A write batch: collects changes for one compare-and-swap transaction, with callbacks for its outcome."""

from __future__ import annotations

from collections.abc import Callable

from sorrelsill import constants
from sorrelsill.store import LEADER, Compare, Delete, Put

_BASE_BYTES = 200  # bytes of a transaction without any changes


def _no_op() -> None:
    pass


class WriteBatch:
    """Changes that are committed together. Each could also be committed alone, and has a name so that a change that the
    store refuses can be identified."""

    def __init__(self, leader_key_rev: int, max_writes: int) -> None:
        """`leader_key_rev`: the batch is committed only if the leader key still has this revision."""
        self.leader_key_rev = leader_key_rev
        self.compares = [Compare(LEADER, leader_key_rev)]
        self.writes: list[Put | Delete] = []
        self.changes: list[str] = []
        self.max_writes = max_writes
        self._size = _BASE_BYTES
        self._on_commit: list[Callable[[int], None]] = []
        self._on_failure: list[Callable[[], None]] = []

    @property
    def writes_left(self) -> int:
        """How many more writes fit."""
        return max(0, self.max_writes - len(self.writes))

    def has_room(self, compares: int, writes: int, size: int) -> bool:
        """Whether this many more compares and writes, of `size` bytes in total, fit the limits of a transaction."""
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
        on_failure: Callable[[], None] = _no_op,
    ) -> None:
        """Adds one change of `size` bytes. `on_commit` is called with the revision. `on_failure` is called if the batch
        is not known to be committed, to mark the change as due again."""
        self.changes.append(change)
        self.compares += compares
        self.writes += writes
        self._size += size
        self._on_commit.append(on_commit)
        self._on_failure.append(on_failure)

    def committed(self, rev: int) -> None:
        """Call this if the transaction was committed at this revision."""
        for on_commit in self._on_commit:
            on_commit(rev)

    def failed(self) -> None:
        """Call this if the transaction is not known to be committed."""
        for on_failure in self._on_failure:
            on_failure()
