"""Reconciles the attempts that are bound to a machine with the tasks that its worker names in a message. Pure."""

from __future__ import annotations

import logging

from sorrelsill.events import log_event
from sorrelsill.workers.adoption import adopt_found
from sorrelsill.workers.attempt_events import log_attempt
from sorrelsill.workers.cluster_records import ClusterRecords
from sorrelsill.workers.machine import Attempt, Machine
from sorrelsill.workers.messages import TaskPhase, TaskStatus, WorkerHeartbeat
from sorrelsill.workers.task_exits import on_exit

log = logging.getLogger(__name__)


def reconcile_tasks(
    cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, now: float, is_heartbeat: bool
) -> None:
    """Take in what the worker says of its tasks; `is_heartbeat`: in a heartbeat, not in the answer to a direct call."""
    attempts = machine.attempts
    named = 0
    for status in heartbeat.tasks:
        attempt = attempts.get((status.task_id, status.attempt_number))
        if attempt is None:
            attempt = _adopt(cluster, machine, status, now)
            if attempt is None:
                continue
        elif attempt.reported_phase == status.phase and attempt.confirmed:
            named += 1
            continue
        named += 1
        _take_phase(cluster, attempt, status, now)
    if named != len(attempts):
        _drop_absent(cluster, machine, heartbeat, now, is_heartbeat)
    if machine.token_acknowledged and not machine.attempts_verified:
        # An earlier message may have been a stale copy; what this one names is there.
        machine.attempts_verified = True
        for attempt in attempts.values():
            attempt.verified = True


def _adopt(cluster: ClusterRecords, machine: Machine, status: TaskStatus, now: float) -> Attempt | None:
    """An attempt that an earlier leader started: it is adopted, or stopped if its job is over or not known."""
    try:
        job_id, index = status.split()
    except ValueError as error:
        # Guards against one damaged entry hiding the machine's other tasks.
        log_event(log, logging.ERROR, "invalid_task_in_heartbeat", machine=machine.name, error=error)
        return None
    attempt = Attempt(job_id, index, status.attempt_number, machine, None, now, verified=machine.attempts_verified)
    if attempt.task_id != status.task_id:
        log_event(log, logging.ERROR, "invalid_task_in_heartbeat", machine=machine.name, error=status.task_id[:80])
        return None
    cluster.attempts.add(attempt)
    if status.phase != TaskPhase.EXITED:
        adopt_found(cluster, attempt)
    return attempt


def _take_phase(cluster: ClusterRecords, attempt: Attempt, status: TaskStatus, now: float) -> None:
    machine = attempt.machine
    if not attempt.confirmed:
        attempt.confirmed = True
        if attempt.stop_requested:
            cluster.machines_with_pending_commands[machine.name] = machine
    if attempt.exited:
        return
    attempt.reported_phase = status.phase
    phase = status.known_phase()
    if phase is TaskPhase.EXITED:
        on_exit(cluster, attempt, status, now)
        return
    attempt.phase = phase
    if phase is TaskPhase.WAITING and attempt.spec is not None:
        cluster.index.record_cached_image(machine, attempt.spec)  # it has its image, and waits for the rest of its gang
    if phase is TaskPhase.RUNNING and attempt.running_since is None:
        attempt.running_since = now
        log_attempt(log, "runs", attempt, after_bind_s=now - attempt.created_at)
        if attempt.spec is not None:
            cluster.index.record_cached_image(machine, attempt.spec)
            cluster.pending_writes.record_due(attempt.job_id)


def _drop_absent(
    cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, now: float, is_heartbeat: bool
) -> None:
    """Attempts that a message doesn't name: gone, if their absence proves it."""
    named = {(status.task_id, status.attempt_number) for status in heartbeat.tasks}
    for attempt in [attempt for key, attempt in machine.attempts.items() if key not in named]:
        if attempt.unanswered_starts and not attempt.confirmed:
            continue  # its direct start may still be executed, so its absence proves nothing
        if attempt.confirmed or (is_heartbeat and (attempt.exited or attempt.stop_requested)):
            # Cleared, vanished, or never started and no longer wanted: this newer heartbeat proves it.
            cluster.attempts.remove(attempt)
            cluster.unbind(attempt, now)
