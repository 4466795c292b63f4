"""Adopts tasks that an earlier leader started and that workers still report. No I/O."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.workers.attempt_events import log_attempt

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_records import ClusterRecords
    from sorrelsill.workers.ended_jobs import EndedJob
    from sorrelsill.workers.job import Job
    from sorrelsill.workers.machine import Attempt

log = logging.getLogger(__name__)


def adopt_or_stop(cluster: ClusterRecords, attempt: Attempt) -> None:
    """Adopt an attempt that a worker reports as not exited, or stop it if its job has ended or is not known."""
    job = cluster.jobs.get(attempt.job_id)
    if job is not None:
        adopt(cluster, attempt, job)
        return
    ended = cluster.failover.ended.get(attempt.job_id)
    log_attempt(log, "ended_task_found", attempt, size_known=ended is not None)
    if ended is not None:
        adopt_ended(cluster, attempt, ended)
        return
    # The size of such tasks is not known, so all free capacity of the machine counts toward every team's limit.
    # New tasks must not take that capacity before these tasks are gone: it would no longer cover what these tasks use.
    attempt.machine.holds_tasks_of_unknown_size = True
    cluster.request_stop(attempt, "its job is over or not known")


def adopt_tasks_of_job(cluster: ClusterRecords, job: Job) -> None:
    """Adopt the attempts of a job that were reported before the job was known."""
    for attempt in _unknown_attempts(cluster, job.spec.job_id):
        adopt(cluster, attempt, job)


def adopt_tasks_of_ended_job(cluster: ClusterRecords, ended: EndedJob) -> None:
    """Adopt the attempts of an ended job that were reported before the job was known."""
    for attempt in _unknown_attempts(cluster, ended.spec.job_id):
        adopt_ended(cluster, attempt, ended)


def _unknown_attempts(cluster: ClusterRecords, job_id: str) -> Iterator[Attempt]:
    """Attempts of a job that have not exited and whose size is not known. Evaluated lazily, since adopting one attempt
    may change the state of the next."""
    return (a for a in cluster.attempts.of_job(job_id) if a.spec is None and not a.exited)


def adopt(cluster: ClusterRecords, attempt: Attempt, job: Job) -> None:
    """Bind an attempt to its live job. It is stopped if its task is done or does not exist, or if the task already has
    an attempt that has to be kept."""
    _allocate(cluster, attempt, job)
    other = job.bound.get(attempt.index)
    keep = 0 <= attempt.index < job.spec.task_count and attempt.index not in job.done
    if keep and other is not None:
        # Of two attempts of earlier terms, the later one was created only after the earlier one was proved gone. So the
        # earlier one comes from a stale, delayed heartbeat and must not replace the later one. An attempt of this term
        # is never replaced: this leader bound it after all earlier attempts of the task were accounted for, and any
        # attempt that this leader created later is in its records or proved gone.
        keep = (
            attempt.attempt_number > other.attempt_number
            and other.attempt_number >> constants.ATTEMPT_COUNTER_BITS < cluster.term
        )
        if keep:
            cluster.request_stop(other, "a later attempt was found")
    attempt.stop_requested = False
    if not keep:
        cluster.request_stop(attempt, "one too many")
        return
    job.bind(attempt)
    cluster.mark_job_changed(attempt.job_id)
    cluster.pending_writes.record_due(attempt.job_id)


def adopt_ended(cluster: ClusterRecords, attempt: Attempt, ended: EndedJob) -> None:
    """Stop an attempt of an ended job. Until it is proved gone, it uses capacity of its machine and counts toward its
    team's limit like any other."""
    _allocate(cluster, attempt, ended)
    ended.mark_observed(attempt.index)
    cluster.failover.invalidate_unobserved()
    cluster.request_stop(attempt, "its job is over")


def _allocate(cluster: ClusterRecords, attempt: Attempt, job: Job | EndedJob) -> None:
    """Give the attempt its job's spec, so that its size is known and counted."""
    cluster.attempts.adjust_unknown_tasks(attempt, -1)
    attempt.spec = job.spec
    cluster.allocate_resources(attempt)
