"""Keeps the last live records of jobs that ended recently, for a fixed time."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class EndedRecords:
    """Jobs that ended within a time window."""

    records: list[tuple[str, Any]]  # job IDs and last live records
    complete: bool  # no job that ended within the window is missing


@dataclass(frozen=True, slots=True)
class _EndedJob:
    ended_at: float  # when this process learnt of the end
    last_record: Any


class RecentlyEndedJobs:
    """Remembers jobs that ended recently. A new leader counts their tasks toward the quotas of their teams, since the
    tasks of a cancelled job may keep running for a while."""

    def __init__(self, keep_s: float) -> None:
        """`keep_s`: seconds for which an ended job is kept."""
        self._keep_s = keep_s
        self._ended: OrderedDict[str, _EndedJob] = OrderedDict()  # oldest end first

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._ended

    def job_ids(self) -> list[str]:
        """IDs of the jobs kept, in the order in which they ended."""
        return list(self._ended)

    def add(self, job_id: str, last_record: Any, now: float) -> None:
        """Adds a job that ended now, and drops those that ended more than `keep_s` seconds ago."""
        self._ended[job_id] = _EndedJob(now, last_record)
        self._ended.move_to_end(job_id)
        while now - next(iter(self._ended.values())).ended_at > self._keep_s:
            self._ended.popitem(last=False)

    def within(self, window_s: float, complete_since: float, now: float) -> EndedRecords:
        """The jobs that ended within the last `window_s` seconds. `complete_since`: time since which the watch
        cache has missed no end of a job."""
        complete = now - window_s >= complete_since and window_s <= self._keep_s
        records = [(i, job.last_record) for i, job in self._ended.items() if now - job.ended_at <= window_s]
        return EndedRecords(records, complete)
