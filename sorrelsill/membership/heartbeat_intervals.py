"""Adaptive suspicion threshold, derived from the intervals between a controller's heartbeats. No I/O; callers pass the
current time.

The threshold follows the mean and the standard deviation of past intervals, so a slow or lossy network raises it. Times
during which this process was paused are not counted: a pause of the observer is not a silence of the others."""

from __future__ import annotations

import math
from collections import deque

from sorrelsill import constants


class PauseAwareClock:
    """The monotonic clock minus the time during which this process was paused.

    Pauses are detected from the delay of a loop that calls `tick` at regular intervals."""

    def __init__(self, now: float, tick_s: float) -> None:
        self._tick_s = tick_s
        self._last_tick_at = now
        self._paused_s = 0.0

    def tick(self, now: float) -> None:
        """Record an iteration of the loop. One that is much too late means that the process was paused or starved."""
        late_s = now - self._last_tick_at - self._tick_s
        if late_s > constants.PAUSE_DETECTION_S:
            self._paused_s += late_s
        self._last_tick_at = now

    def unpaused_time(self, now: float) -> float:
        """The time `now` on this clock.

        An overdue tick counts as a pause at once. Guards against suspecting others after this process resumes but
        before its loop has run again."""
        overdue_s = now - self._last_tick_at - self._tick_s
        current_pause_s = overdue_s if overdue_s > constants.PAUSE_DETECTION_S else 0.0
        return now - self._paused_s - current_pause_s


class HeartbeatIntervals:
    """The intervals between the heartbeats of one controller. Times are those of a `PauseAwareClock`."""

    def __init__(self, expected_interval_s: float, sigmas: float, min_threshold_s: float) -> None:
        self._expected_interval_s = expected_interval_s  # assumed while too few intervals are known
        self._sigmas = sigmas
        self._min_threshold_s = min_threshold_s
        self._intervals: deque[float] = deque(maxlen=constants.HEARTBEAT_INTERVALS_KEPT)
        self._last_heartbeat_at: float | None = None  # in unpaused time

    def record_arrival(self, unpaused_now: float) -> None:
        """Record that a heartbeat arrived."""
        if self._last_heartbeat_at is not None:
            self._intervals.append(max(0.0, unpaused_now - self._last_heartbeat_at))
        self._last_heartbeat_at = unpaused_now

    def restart(self) -> None:
        """Record that a new process runs: the interval since the former process's last heartbeat is not counted."""
        self._last_heartbeat_at = None

    def silence_s(self, unpaused_now: float) -> float:
        """The time since the last heartbeat; 0 if there was none."""
        return unpaused_now - self._last_heartbeat_at if self._last_heartbeat_at is not None else 0.0

    def threshold_s(self) -> float:
        """The length of silence, in seconds, beyond which a controller is suspected."""
        if len(self._intervals) < constants.MIN_HEARTBEAT_INTERVALS:
            mean, deviation = self._expected_interval_s, self._expected_interval_s / 2
        else:
            mean = sum(self._intervals) / len(self._intervals)
            deviation = math.sqrt(sum((interval - mean) ** 2 for interval in self._intervals) / len(self._intervals))
        return max(self._min_threshold_s, mean + self._sigmas * deviation)
