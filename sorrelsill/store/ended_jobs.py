"""The last live records of jobs that ended recently, kept for a fixed time."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class EndedRecords:
    """Jobs that ended recently."""

    records: list[tuple[str, Any]]  # job ids, and last live records
    complete: bool  # none can be missing


@dataclass(frozen=True, slots=True)
class _EndedJob:
    ended_at: float  # when its end was seen
    last_record: Any


class RecentlyEndedJobs:
    """A new leader counts the tasks of these toward their teams' limits, since a cancelled job may run
    on for a while."""

    def __init__(self, keep_s: float) -> None:
        """`keep_s`: how many seconds an end is remembered."""
        self._keep_s = keep_s
        self._ended: OrderedDict[str, _EndedJob] = OrderedDict()  # oldest end first

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._ended

    def job_ids(self) -> list[str]:
        """The jobs that are remembered, oldest end first."""
        return list(self._ended)

    def add(self, job_id: str, last_record: Any, now: float) -> None:
        """Remember an end that was seen now, and forget those whose time is over."""
        self._ended[job_id] = _EndedJob(now, last_record)
        self._ended.move_to_end(job_id)
        while now - next(iter(self._ended.values())).ended_at > self._keep_s:
            self._ended.popitem(last=False)

    def within(self, window_s: float, complete_since: float, now: float) -> EndedRecords:
        """The jobs that ended within the last `window_s` seconds, given since when no end can have been missed."""
        complete = now - window_s >= complete_since and window_s <= self._keep_s
        records = [(i, job.last_record) for i, job in self._ended.items() if now - job.ended_at <= window_s]
        return EndedRecords(records, complete)
