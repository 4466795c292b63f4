"""Which live jobs' records are due to be written, by how urgent they are."""

from __future__ import annotations

from dataclasses import dataclass, field

from sorrelsill import constants
from sorrelsill.workers import ClusterState, Job, TaskPhase


@dataclass(slots=True)
class DueRecords:
    """Jobs whose records are due; those written longest ago come first."""

    ended: list[Job] = field(default_factory=list)  # all tasks are done
    started_or_stopped: list[Job] = field(default_factory=list)  # the first task runs, or none does any more
    progressed: list[Job] = field(default_factory=list)


def all_tasks_done(job: Job) -> bool:
    """Whether nothing is left of the job but to move its record to the final key. A service never is done."""
    return job.done.count == job.spec.task_count and not job.spec.is_service


def due_records(cluster: ClusterState, writes_per_s: float, now: float) -> DueRecords:
    """What is due at a store that takes so many writes a second. Progress is for display, and its results stay on the
    workers until they are recorded, so it is gathered: found on a measured day, writing each job at each change used up
    the store's rate, and submissions waited. With many jobs it is gathered longer."""
    pending = cluster.pending_writes.records
    pending.intersection_update(cluster.jobs)
    interval_s = max(constants.PROGRESS_EVERY_S, len(pending) / (constants.PROGRESS_SHARE * writes_per_s))
    due = DueRecords()
    for job in (cluster.jobs[job_id] for job_id in pending):
        if all_tasks_done(job):
            due.ended.append(job)
        elif bool(job.recorded_running) != any(a.phase == TaskPhase.RUNNING for a in job.bound.values()):
            due.started_or_stopped.append(job)
        elif now - job.recorded_at >= interval_s:
            due.progressed.append(job)
    for jobs in (due.ended, due.started_or_stopped, due.progressed):
        jobs.sort(key=lambda job: (job.recorded_at, job.order))
    return due
