"""Gangs: jobs whose tasks run all together or not at all. Decisions on the leader's cluster state, without I/O.

All tasks of one start of a gang share an attempt number, and no number is used for a second start. If a task is
missing, the others are stopped, and the gang is restarted once every task of the attempt is proved gone. The protocol
would allow a replacement task with the same number to complete a gang that has not started to run. But the same attempt
of a task could then be on two machines, while the proofs that an attempt is gone (`cluster_records.py`) require that it
is on one only. The measured cost of a restart is in docs/results.md."""

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
    """Stop the remaining tasks of gangs that are incomplete or that an earlier leader has begun to stop."""
    for job in cluster.gangs.values():
        if job.bound and job.done.count < job.spec.task_count:
            _enforce_completeness(cluster, job)


def _enforce_completeness(cluster: ClusterRecords, job: Job) -> None:
    tasks = list(job.bound.values())
    if all(a.stop_requested for a in tasks):
        return
    if any(a.phase == TaskPhase.CHECKPOINTING for a in tasks):
        # An earlier leader began to stop the gang with a checkpoint but did not reach all tasks. If the others are
        # stopped in time, all tasks checkpoint together. That loses no work, since the gang has made no progress since
        # its first task was stopped.
        log_event(log, logging.INFO, "stop_of_gang_continued", job=job.spec.job_id)
        stop_gang(cluster, job, "stopped by an earlier leader", False)
        return
    if not cluster.failover.is_reconciled(job):
        return  # a task that is not bound may run on an unconfirmed machine
    complete = len(tasks) == job.spec.task_count and len({a.attempt_number for a in tasks}) == 1
    if complete and not any(a.stop_requested for a in tasks):
        return
    # Stopping the tasks immediately is faster than waiting until they notice that one is missing, and loses no
    # additional work: a gang that lost a task restarts from its last checkpoint anyway.
    for attempt in tasks:
        cluster.stop_attempt(attempt, "its group is not whole", True)


def all_machines_reachable(job: Job) -> bool:
    """Whether a command will most likely reach all machines of the gang without delay."""
    return all(
        a.machine.token_acknowledged
        and a.machine.reachable
        and not a.machine.heartbeat_overdue
        and not a.machine.lease_expired
        for a in job.bound.values()
    )


def can_checkpoint(job: Job) -> bool:
    """Whether the gang can be stopped with a checkpoint: its job has checkpoints, and all tasks run and can be stopped
    at nearly the same time."""
    return (
        job.spec.checkpoint_interval_s > 0
        and len(job.bound) == job.spec.task_count
        and all(a.phase == TaskPhase.RUNNING and not a.stop_requested for a in job.bound.values())
        and all_machines_reachable(job)
    )


def stop_gang(cluster: ClusterRecords, job: Job, reason: str, immediately: bool) -> None:
    """Stop a gang. Unless `immediately` is set, it saves a checkpoint first if it can (`can_checkpoint`) or if one of
    its tasks is already checkpointing."""
    checkpointing = any(a.phase == TaskPhase.CHECKPOINTING for a in job.bound.values())
    can_keep_progress = can_checkpoint(job) or (checkpointing and job.spec.checkpoint_interval_s > 0)
    with_checkpoint = not immediately and can_keep_progress
    for attempt in list(job.bound.values()):
        cluster.stop_attempt(attempt, reason, not with_checkpoint, cluster.gang_peer_s if with_checkpoint else 0.0)


def gang_must_stop(job: Job, remaining_s: float) -> bool:
    """Whether a gang must be stopped now, because one of its machines is reclaimed in `remaining_s` seconds.

    A gang that does not run yet is stopped immediately, and one that can checkpoint as late as is safe. Any other gang
    (without checkpoints, or with an unreachable machine) is stopped at the last moment, as an earlier stop would only
    lose progress."""
    if not any(a.running_since is not None for a in job.bound.values()):
        return True
    if can_checkpoint(job):
        return remaining_s <= job.spec.checkpoint_cost_s + constants.RECLAIM_STOP_AHEAD_S
    return remaining_s <= constants.RECLAIM_STOP_AHEAD_S


def gang_stop_cost(job: Job, now: float) -> float:
    """Cost in seconds of stopping one task: the run time lost by all tasks of the gang, plus their restart overhead."""
    return sum(now - a.running_since for a in job.bound.values() if a.running_since is not None) + (
        constants.PREEMPT_BASE_S * len(job.bound)
    )
