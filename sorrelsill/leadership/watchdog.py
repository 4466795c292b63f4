"""Watchdog of the leader's loops: a leader must step down if one of its loops has stalled or exited."""

from __future__ import annotations

import trio


class Watchdog:
    """Tracks the heartbeats of the leader's loops and detects loops that stalled or exited."""

    def __init__(self, stall_limit_s: float, self_release_s: float) -> None:
        """A loop is stalled when it sent no heartbeat for `stall_limit_s` plus `self_release_s`, both in seconds."""
        self._stall_limit_s = stall_limit_s
        self._self_release_s = self_release_s
        self._last_heartbeats: dict[str, float] = {}
        self._exited: set[str] = set()
        self._checked_at = trio.current_time()

    def record_heartbeat(self, loop: str) -> None:
        """Record that the loop is running."""
        self._last_heartbeats[loop] = trio.current_time()

    def record_exit(self, loop: str) -> None:
        """Record that the loop has exited for good."""
        self._exited.add(loop)

    def stalled_loops(self) -> list[str]:
        """The loops that exited, or sent no heartbeat for the stall limit plus the self-release time.

        The leader steps down if there is any."""
        now = trio.current_time()
        since_last_check_s = now - self._checked_at
        self._checked_at = now
        if since_last_check_s >= self._stall_limit_s:
            # Guards against reporting stalled loops after a pause of the whole process: the pause does not count.
            self._last_heartbeats = {loop: at + since_last_check_s for loop, at in self._last_heartbeats.items()}
        limit_s = self._stall_limit_s + self._self_release_s
        stalled = {loop for loop, at in self._last_heartbeats.items() if now - at > limit_s}
        return sorted(self._exited | stalled)
