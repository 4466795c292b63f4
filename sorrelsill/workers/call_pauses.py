"""Pauses direct calls to machines after a call failed. No I/O; callers pass the current time."""

from __future__ import annotations

from dataclasses import dataclass

from sorrelsill import constants


@dataclass(frozen=True, slots=True)
class _Pause:
    failed_at: float
    duration_s: float

    @property
    def ends_at(self) -> float:
        return self.failed_at + self.duration_s


class CallPauses:
    """The pause after the last failed call to each machine; it doubles with each consecutive failure, up to a limit."""

    def __init__(self) -> None:
        self._by_machine: dict[str, _Pause] = {}
        self._swept_at = float("-inf")

    def call_failed(self, name: str, now: float) -> None:
        """Pause calls to the machine from now on."""
        previous = self._by_machine.get(name)
        duration_s = constants.COMMAND_BACKOFF_S if previous is None else 2 * previous.duration_s
        self._by_machine[name] = _Pause(now, min(constants.COMMAND_BACKOFF_MAX_S, duration_s))
        if now >= self._swept_at + constants.COMMAND_BACKOFF_MAX_S:
            self._sweep(now)

    def call_answered(self, name: str) -> None:
        """End the pause: the next failure counts as the first again."""
        self._by_machine.pop(name, None)

    def is_paused(self, name: str, now: float, last_seen_at: float) -> bool:
        """Whether calls to the machine are still paused. A heartbeat received after the failure (`last_seen_at`) ends
        the pause."""
        pause = self._by_machine.get(name)
        return pause is not None and now < pause.ends_at and last_seen_at <= pause.failed_at

    def retry_at(self, name: str, now: float) -> float:
        """Time from which the machine may be called again: the end of its pause, or `RETRY_PAUSE_S` from now if it has
        none."""
        pause = self._by_machine.get(name)
        return now + constants.RETRY_PAUSE_S if pause is None else pause.ends_at

    def _sweep(self, now: float) -> None:
        """Remove entries whose failure was longer ago than twice the longest pause."""
        self._swept_at = now
        kept_since = now - 2 * constants.COMMAND_BACKOFF_MAX_S
        self._by_machine = {name: pause for name, pause in self._by_machine.items() if pause.failed_at > kept_since}
