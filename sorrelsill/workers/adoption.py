"""Tasks that an earlier leader started and that are found on their machines. Pure."""

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


def adopt_found(cluster: ClusterRecords, attempt: Attempt) -> None:
    """Take over an attempt that was found running: for its job, or to be stopped if that is over or not known."""
    job = cluster.jobs.get(attempt.job_id)
    if job is not None:
        adopt(cluster, attempt, job)
        return
    ended = cluster.failover.ended.get(attempt.job_id)
    log_attempt(log, "ended_task_found", attempt, size_known=ended is not None)
    if ended is not None:
        adopt_ended(cluster, attempt, ended)
        return
    # Guards against work that fills the machine and hides what these tasks use: their size is not known, so the room
    # that is left counts toward every team's limit, and must not be given away before they are gone.
    attempt.machine.holds_tasks_of_unknown_size = True
    cluster.request_stop(attempt, "its job is over or not known")


def adopt_tasks_of(cluster: ClusterRecords, job: Job) -> None:
    """Adopt the tasks of a job that were found before the job was known."""
    for attempt in _unknown_attempts(cluster, job.spec.job_id):
        adopt(cluster, attempt, job)


def adopt_tasks_of_ended(cluster: ClusterRecords, ended: EndedJob) -> None:
    """Adopt the tasks of a job that is over and that were found before the job was known."""
    for attempt in _unknown_attempts(cluster, ended.spec.job_id):
        adopt_ended(cluster, attempt, ended)


def _unknown_attempts(cluster: ClusterRecords, job_id: str) -> Iterator[Attempt]:
    """Attempts of a job that run and whose size is not known. Lazy: adopting one may change what is true of the
    next."""
    return (a for a in cluster.attempts.of_job(job_id) if a.spec is None and not a.exited)


def adopt(cluster: ClusterRecords, attempt: Attempt, job: Job) -> None:
    """A task of a live job. If it is one too many, it is stopped."""
    _take_room(cluster, attempt, job)
    known = job.bound.get(attempt.index)
    keep = 0 <= attempt.index < job.spec.task_count and attempt.index not in job.done
    if keep and known is not None:
        # The later attempt was only made once the earlier one was proved gone. So the earlier is a stale copy
        # out of a late heartbeat, and must not cost the true one its place.
        keep = (
            attempt.attempt_number > known.attempt_number
            and known.attempt_number >> constants.ATTEMPT_COUNTER_BITS < cluster.term
        )
        if keep:
            cluster.request_stop(known, "a later attempt was found")
    attempt.stop_requested = False
    if not keep:
        cluster.request_stop(attempt, "one too many")
        return
    job.bind(attempt)
    cluster.mark_job_changed(attempt.job_id)
    cluster.pending_writes.record_due(attempt.job_id)


def adopt_ended(cluster: ClusterRecords, attempt: Attempt, ended: EndedJob) -> None:
    """A task of a job that is over. It takes room and counts toward its team's limit like any other, until it is proved
    gone."""
    _take_room(cluster, attempt, ended)
    ended.mark_observed(attempt.index)
    cluster.failover.recount()
    cluster.request_stop(attempt, "its job is over")


def _take_room(cluster: ClusterRecords, attempt: Attempt, job: Job | EndedJob) -> None:
    """From now on its size is known."""
    cluster.attempts.adjust_unknown_tasks(attempt, -1)
    attempt.spec = job.spec
    cluster.allocate_resources(attempt)
