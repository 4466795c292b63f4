"""Determines which live jobs' records have to be written, grouped by urgency."""

from __future__ import annotations

from dataclasses import dataclass, field

from sorrelsill import constants
from sorrelsill.workers import ClusterState, Job, TaskPhase


@dataclass(slots=True)
class DueRecords:
    """Jobs whose records are due. Each list starts with the job whose record was written longest ago."""

    ended: list[Job] = field(default_factory=list)  # all tasks are done
    started_or_stopped: list[Job] = field(default_factory=list)  # a first task runs now, or none does any more
    progressed: list[Job] = field(default_factory=list)


def all_tasks_done(job: Job) -> bool:
    """Whether the job is done and only has to be moved to its final key. A service is never done."""
    return job.done.count == job.spec.task_count and not job.spec.is_service


def due_records(cluster: ClusterState, writes_per_s: float, now: float) -> DueRecords:
    """The records that are due, given the allowed writes per second. Progress is written only at intervals, which grow
    with the number of pending jobs: writing a record at each change used up the store's rate and delayed submissions.
    Waiting loses nothing, as progress is only displayed and workers keep results until they are recorded."""
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
