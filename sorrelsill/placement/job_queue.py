"""The waiting jobs in the order in which they are served, kept up to date by what changes. Pure: time is given.

A job moves when it changes, when the boundary of its team's guaranteed share passes it, or at a time at which its
precedence changes by itself: an objective is missed, or the job is starved."""

from __future__ import annotations

from collections.abc import Iterable

from sortedcontainers import SortedList

from sorrelsill import constants
from sorrelsill.placement.objectives import ServiceLevelObjectives
from sorrelsill.placement.order import Precedence, precedence
from sorrelsill.timers import Timers
from sorrelsill.workers import ClusterState, Job

_QueueKey = tuple[Precedence, int, str]  # precedence, then order of submission, then job id


class JobQueue:
    """Live jobs with tasks that wait."""

    def __init__(self, objectives: ServiceLevelObjectives, guaranteed: set[str]) -> None:
        self._objectives = objectives
        self._guaranteed = guaranteed
        self._sorted: SortedList[_QueueKey] = SortedList()
        self._keys: dict[str, _QueueKey] = {}  # by job
        self._timers: Timers[str] = Timers()  # when the precedence of a job will change by itself

    def reset(self) -> None:
        """A new term begins."""
        self._sorted.clear()
        self._keys.clear()
        self._timers.clear()

    def update(self, cluster: ClusterState, changed: Iterable[str], now: float) -> None:
        """Take in jobs that were submitted, changed or have ended, and those whose precedence changes by now."""
        for job_id in changed:
            self._place(cluster.jobs.get(job_id), job_id, now)
        due = []
        while (moved := self._timers.pop_due(now)) is not None:
            due.append(moved)
        for job_id in due:
            self._place(cluster.jobs.get(job_id), job_id, now)

    def _place(self, job: Job | None, job_id: str, now: float) -> None:
        former_key = self._keys.get(job_id)
        key: _QueueKey | None = None
        if job is not None and job.waiting > 0:
            key = precedence(job, self._objectives, job_id in self._guaranteed, now), job.order, job_id
            self._set_timer(job, now)
        if key == former_key:
            return
        if former_key is not None:
            self._sorted.remove(former_key)
            del self._keys[job_id]
        if key is not None:
            self._sorted.add(key)
            self._keys[job_id] = key

    def _set_timer(self, job: Job, now: float) -> None:
        moments = [
            job.submitted + target_s - job.spec.expected_run_s
            for target_s in self._objectives.completion_targets_s(job)
        ]
        if not job.bound:
            moments.append(job.last_activity_at + constants.STARVATION_S)
        coming = [moment for moment in moments if moment >= now]
        if coming:
            self._timers.set_if_earlier(job.spec.job_id, min(coming))

    def in_order(self) -> list[str]:
        """The waiting jobs, the one to be served first in front."""
        return [job_id for _, _, job_id in self._sorted]

    def __len__(self) -> int:
        return len(self._keys)
