"""The watchdog of the leader's loops: a leader whose loops do not run has to resign."""

from __future__ import annotations

import trio


class Watchdog:
    """Heartbeats of the leader's loops. A loop that exited, or has not beaten for the stall limit, is stalled."""

    def __init__(self, stall_limit_s: float, self_release_s: float) -> None:
        """A loop may be silent for `stall_limit_s` and for `self_release_s` besides, both in seconds."""
        self._stall_limit_s = stall_limit_s
        self._self_release_s = self_release_s
        self._last_beats: dict[str, float] = {}
        self._exited: set[str] = set()
        self._checked_at = trio.current_time()

    def beat(self, loop: str) -> None:
        """The loop goes on."""
        self._last_beats[loop] = trio.current_time()

    def exited(self, loop: str) -> None:
        """The loop has ended for good."""
        self._exited.add(loop)

    def stalled_loops(self) -> list[str]:
        """Loops that exited, or are silent past the stall limit and the release time; the leader resigns if any is."""
        now = trio.current_time()
        unwatched_s = now - self._checked_at
        self._checked_at = now
        if unwatched_s >= self._stall_limit_s:
            # Guards against a process that was paused as a whole and, on resuming, takes its loops for stalled.
            self._last_beats = {loop: at + unwatched_s for loop, at in self._last_beats.items()}
        limit_s = self._stall_limit_s + self._self_release_s
        silent = {loop for loop, at in self._last_beats.items() if now - at > limit_s}
        return sorted(self._exited | silent)
