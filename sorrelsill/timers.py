"""Timers that only ever need to be early: for state that is looked at anew when its time comes. Pure: time is given.

Each key has one timer. Events that move its moment away leave the timer alone; when it is up, whoever keeps the timers
works out the next moment and sets it again. So an event costs nothing, and a look costs what is due."""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

_Key = TypeVar("_Key", bound=Hashable)


class Timers(Generic[_Key]):
    """Keys by the time at which they are to be looked at."""

    def __init__(self) -> None:
        self._due_at: dict[_Key, float] = {}
        self._heap: list[tuple[float, int, _Key]] = []
        self._sequence = 0  # timers set so far; among equal times the earlier one is first

    def set_if_earlier(self, key: _Key, at: float) -> None:
        """Look at the key at that time, unless it is looked at before then anyway."""
        if at >= self._due_at.get(key, float("inf")):
            return
        self._due_at[key] = at
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, key))

    def __contains__(self, key: object) -> bool:
        return key in self._due_at

    def pop_due(self, now: float) -> _Key | None:
        """A key whose time is over, earliest first, with its timer taken off; None if there is none."""
        while self._heap and self._heap[0][0] < now:
            at, _, key = heapq.heappop(self._heap)
            if self._due_at.get(key) == at:  # else an earlier timer has taken its place
                del self._due_at[key]
                return key
        return None

    def clear(self) -> None:
        """Take all timers off."""
        self._due_at.clear()
        self._heap.clear()

    def __len__(self) -> int:
        return len(self._due_at)
