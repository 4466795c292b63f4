"""The queue of waiting jobs in scheduling order, updated incrementally. No I/O; callers pass the current time.

A job's position changes when the job changes, when its team's guaranteed share begins or ceases to cover it, or at a
known time: when it can no longer meet an objective, or becomes starved."""

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
    """The live jobs that have waiting tasks, sorted by precedence."""

    def __init__(self, objectives: ServiceLevelObjectives, guaranteed_jobs: set[str]) -> None:
        self._objectives = objectives
        self._guaranteed_jobs = guaranteed_jobs
        self._sorted: SortedList[_QueueKey] = SortedList()
        self._keys: dict[str, _QueueKey] = {}  # by job id
        self._timers: Timers[str] = Timers()  # job id -> next time at which its precedence changes without an event

    def reset(self) -> None:
        """Clear all state at the start of a new term."""
        self._sorted.clear()
        self._keys.clear()
        self._timers.clear()

    def update(self, cluster: ClusterState, changed: Iterable[str], now: float) -> None:
        """Update the positions of jobs that were submitted, changed or have ended, and of those whose timer is due."""
        for job_id in changed:
            self._update_position(cluster.jobs.get(job_id), job_id, now)
        due_jobs = []
        while (due_job := self._timers.pop_due(now)) is not None:
            due_jobs.append(due_job)
        for job_id in due_jobs:
            self._update_position(cluster.jobs.get(job_id), job_id, now)

    def _update_position(self, job: Job | None, job_id: str, now: float) -> None:
        former_key = self._keys.get(job_id)
        key: _QueueKey | None = None
        if job is not None and job.waiting > 0:
            key = precedence(job, self._objectives, job_id in self._guaranteed_jobs, now), job.order, job_id
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
        change_times = [
            job.submitted + target_s - job.spec.expected_run_s
            for target_s in self._objectives.completion_targets_s(job)
        ]
        if not job.bound:
            change_times.append(job.last_activity_at + constants.STARVATION_S)
        future_times = [change_time for change_time in change_times if change_time >= now]
        if future_times:
            self._timers.set_if_earlier(job.spec.job_id, min(future_times))

    def in_order(self) -> list[str]:
        """Return the ids of the waiting jobs, the one to schedule first at the front."""
        return [job_id for _, _, job_id in self._sorted]

    def __len__(self) -> int:
        return len(self._keys)
