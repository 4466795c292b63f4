"""The intervals between a controller's heartbeats, and after how long a silence it is suspected. Pure: time is given.

The threshold follows mean and deviation of past intervals, so a slow or lossy network raises it by itself. All times
leave out what this process did not run for: a pause of the observer is no silence of others."""

from __future__ import annotations

import math
from collections import deque

from sorrelsill import constants


class AwakeClock:
    """The steady clock, less the time in which this process did not run. It is told of each tick of a regular loop."""

    def __init__(self, now: float, tick_s: float) -> None:
        self._tick_s = tick_s
        self._last_tick = now
        self._asleep_s = 0.0

    def tick(self, now: float) -> None:
        """The loop runs again. A tick that comes much too late shows that the process was frozen or starved."""
        late_s = now - self._last_tick - self._tick_s
        if late_s > constants.TICK_LATE_S:
            self._asleep_s += late_s
        self._last_tick = now

    def awake(self, now: float) -> float:
        """Time awake until now. A tick that is overdue at this moment counts as sleep already: guards against a process
        that wakes and judges others before its own loop has run."""
        overdue_s = now - self._last_tick - self._tick_s
        unseen_s = overdue_s if overdue_s > constants.TICK_LATE_S else 0.0
        return now - self._asleep_s - unseen_s


class Arrivals:
    """The intervals between the heartbeats of one controller."""

    def __init__(self, expected_s: float, sigmas: float, least_s: float) -> None:
        self._expected_s = expected_s  # the interval assumed as long as few were seen
        self._sigmas = sigmas
        self._least_s = least_s
        self._gaps: deque[float] = deque(maxlen=constants.GAPS_KEPT)
        self.last: float | None = None  # time awake at the last heartbeat

    def arrived(self, awake: float) -> None:
        """A heartbeat came."""
        if self.last is not None:
            self._gaps.append(max(0.0, awake - self.last))
        self.last = awake

    def restart(self) -> None:
        """A new process runs: the interval from the former one's last heartbeat is not counted."""
        self.last = None

    def silence(self, awake: float) -> float:
        """How long nothing came; 0 if nothing ever did."""
        return awake - self.last if self.last is not None else 0.0

    def threshold_s(self) -> float:
        """A controller that is silent for longer than this is suspected."""
        if len(self._gaps) < constants.GAPS_ENOUGH:
            mean, spread = self._expected_s, self._expected_s / 2
        else:
            mean = sum(self._gaps) / len(self._gaps)
            spread = math.sqrt(sum((gap - mean) ** 2 for gap in self._gaps) / len(self._gaps))
        return max(self._least_s, mean + self._sigmas * spread)
