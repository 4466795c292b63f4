"""Machines that are left alone for a while after a call to them failed. Pure: time is given."""

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
    """The pause after the last failed call to each machine; it doubles with each failure in a row."""

    def __init__(self) -> None:
        self._by_machine: dict[str, _Pause] = {}
        self._swept_at = float("-inf")

    def call_failed(self, name: str, now: float) -> None:
        """Leave the machine alone from now on."""
        former = self._by_machine.get(name)
        duration_s = constants.COMMAND_BACKOFF_S if former is None else 2 * former.duration_s
        self._by_machine[name] = _Pause(now, min(constants.COMMAND_BACKOFF_MAX_S, duration_s))
        if now >= self._swept_at + constants.COMMAND_BACKOFF_MAX_S:
            self._sweep(now)

    def call_answered(self, name: str) -> None:
        """The machine answers: its next failure counts as the first."""
        self._by_machine.pop(name, None)

    def is_paused(self, name: str, now: float, last_seen_at: float) -> bool:
        """Whether the machine is still left alone; not once a heartbeat of it has come since (`last_seen_at`)."""
        pause = self._by_machine.get(name)
        return pause is not None and now < pause.ends_at and last_seen_at <= pause.failed_at

    def retry_at(self, name: str, now: float) -> float:
        """When the machine may be called again."""
        pause = self._by_machine.get(name)
        return now + constants.RETRY_S if pause is None else pause.ends_at

    def _sweep(self, now: float) -> None:
        """Forget failures so long ago that they say nothing any more."""
        self._swept_at = now
        kept_since = now - 2 * constants.COMMAND_BACKOFF_MAX_S
        self._by_machine = {name: pause for name, pause in self._by_machine.items() if pause.failed_at > kept_since}
