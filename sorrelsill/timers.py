"""Timers for state that is checked again when its timer expires. A timer may expire too early, never too late. No I/O;
callers pass the current time.

Each key has one timer. An event that postpones a key's due time leaves its timer as it is; when the timer expires, the
owner computes the next due time and sets the timer again. So postponing costs nothing, and the cost of a check depends
only on the number of expired timers."""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

_Key = TypeVar("_Key", bound=Hashable)


class Timers(Generic[_Key]):
    """One timer per key."""

    def __init__(self) -> None:
        self._due_at: dict[_Key, float] = {}
        self._heap: list[tuple[float, int, _Key]] = []
        self._sequence = 0  # timers set so far; of timers with equal times, the one set first expires first

    def set_if_earlier(self, key: _Key, at: float) -> None:
        """Sets the timer of the key to expire at `at`, unless it expires earlier anyway."""
        if at >= self._due_at.get(key, float("inf")):
            return
        self._due_at[key] = at
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, key))

    def __contains__(self, key: object) -> bool:
        return key in self._due_at

    def pop_due(self, now: float) -> _Key | None:
        """Removes the timer that expired first, before `now`, and returns its key; None if no timer has expired."""
        while self._heap and self._heap[0][0] < now:
            at, _, key = heapq.heappop(self._heap)
            if self._due_at.get(key) == at:  # otherwise an earlier timer of the key replaced this one
                del self._due_at[key]
                return key
        return None

    def clear(self) -> None:
        """Removes all timers."""
        self._due_at.clear()
        self._heap.clear()

    def __len__(self) -> int:
        return len(self._due_at)
