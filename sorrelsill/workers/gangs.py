"""Gangs: jobs whose tasks run together or not at all. Pure decisions on the leader's cluster state.

All tasks of one start share an attempt number, and no number is used for a second start: where a task is missing
the rest are stopped, and the whole starts anew once every task of the attempt is proved gone. The protocol would let a
replacement of the same number complete a gang that has not begun; that number would then stand on two machines, and
the proofs of the cluster state rest on it standing on one. What a new start costs is measured in docs/results.md."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.workers.messages import TaskPhase

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_records import ClusterRecords
    from sorrelsill.workers.job import Job

log = logging.getLogger(__name__)


def enforce_gang_completeness(cluster: ClusterRecords) -> None:
    """Gangs that are not complete any more, or that somebody began to stop, and what has to be done about the rest."""
    for job in cluster.gangs.values():
        if job.bound and job.done.count < job.spec.task_count:
            _enforce(cluster, job)


def _enforce(cluster: ClusterRecords, job: Job) -> None:
    tasks = list(job.bound.values())
    if all(a.stop_requested for a in tasks):
        return
    if any(a.phase == TaskPhase.CHECKPOINTING for a in tasks):
        # A leader before us began to stop it in order and did not reach all tasks: stopped in time they checkpoint
        # together, and the gang has made no progress since the first was stopped.
        log_event(log, logging.INFO, "stop_of_gang_continued", job=job.spec.job_id)
        stop_gang(cluster, job, "stopped by an earlier leader", False)
        return
    if not cluster.failover.reconciled(job):
        return  # what is missing may be on a machine that was not heard yet
    complete = len(tasks) == job.spec.task_count and len({a.attempt_number for a in tasks}) == 1
    if complete and not any(a.stop_requested for a in tasks):
        return
    # Stopping at once is quicker than waiting until the others notice, and loses no more: a gang that lost a task falls
    # back to its last checkpoint anyway.
    for attempt in tasks:
        cluster.stop_one(attempt, "its group is not whole", True)


def all_machines_reachable(job: Job) -> bool:
    """Whether all machines of the gang will most likely get a command at once."""
    return all(
        a.machine.token_acknowledged
        and a.machine.reachable
        and not a.machine.heartbeat_overdue
        and not a.machine.lease_expired
        for a in job.bound.values()
    )


def can_checkpoint(job: Job) -> bool:
    """An orderly stop needs all tasks running and all of them stopped within a moment of each other."""
    return (
        job.spec.checkpoint_interval_s > 0
        and len(job.bound) == job.spec.task_count
        and all(a.phase == TaskPhase.RUNNING and not a.stop_requested for a in job.bound.values())
        and all_machines_reachable(job)
    )


def stop_gang(cluster: ClusterRecords, job: Job, reason: str, immediately: bool) -> None:
    """Stop a gang: with a checkpoint, so that its progress is kept, if all can be reached; else at once."""
    checkpointing = any(a.phase == TaskPhase.CHECKPOINTING for a in job.bound.values())
    can_keep_progress = can_checkpoint(job) or (checkpointing and job.spec.checkpoint_interval_s > 0)
    orderly = not immediately and can_keep_progress
    for attempt in list(job.bound.values()):
        cluster.stop_one(attempt, reason, not orderly, cluster.peer_s if orderly else 0.0)


def gang_must_leave(job: Job, remaining_s: float) -> bool:
    """Whether a gang has to leave a machine that is reclaimed in `remaining_s` seconds. One that does not run yet goes
    at once, one that can checkpoint as late as is safe; if one of its machines can't be reached, that is not begun
    before the last moment, as it would only cost the progress until then."""
    if not any(a.running_since is not None for a in job.bound.values()):
        return True
    if can_checkpoint(job):
        return remaining_s <= job.spec.checkpoint_cost_s + constants.DRAIN_AHEAD_S
    return remaining_s <= constants.DRAIN_AHEAD_S


def gang_loss(job: Job, now: float) -> float:
    """Seconds of work, of all its tasks together, that stopping one of them throws away."""
    return sum(now - a.running_since for a in job.bound.values() if a.running_since is not None) + (
        constants.PREEMPT_BASE_S * len(job.bound)
    )
