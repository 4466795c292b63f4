"""Reconciles the attempts bound to a machine with the tasks that its worker reports. No I/O; callers pass the current
time."""

from __future__ import annotations

import logging

from sorrelsill.events import log_event
from sorrelsill.workers.adoption import adopt_or_stop
from sorrelsill.workers.attempt_events import log_attempt
from sorrelsill.workers.cluster_records import ClusterRecords
from sorrelsill.workers.machine import Attempt, Machine
from sorrelsill.workers.messages import TaskPhase, TaskStatus, WorkerHeartbeat
from sorrelsill.workers.task_exits import on_exit

log = logging.getLogger(__name__)


def reconcile_tasks(
    cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, now: float, is_heartbeat: bool
) -> None:
    """Update the machine's attempts from the reported tasks. `is_heartbeat`: whether the message is a heartbeat and not
    the response to a direct call."""
    attempts = machine.attempts
    reported_count = 0
    for status in heartbeat.tasks:
        attempt = attempts.get((status.task_id, status.attempt_number))
        if attempt is None:
            attempt = _adopt_reported(cluster, machine, status, now)
            if attempt is None:
                continue
        elif attempt.reported_phase == status.phase and attempt.confirmed:
            reported_count += 1
            continue
        reported_count += 1
        _update_phase(cluster, attempt, status, now)
    if reported_count != len(attempts):
        _remove_unreported(cluster, machine, heartbeat, now, is_heartbeat)
    if machine.token_acknowledged and not machine.attempts_verified:
        # Messages received before the worker acknowledged our fencing token may have been stale copies. This one is
        # not, so the attempts that are still recorded are on the machine.
        machine.attempts_verified = True
        for attempt in attempts.values():
            attempt.verified = True


def _adopt_reported(cluster: ClusterRecords, machine: Machine, status: TaskStatus, now: float) -> Attempt | None:
    """Adopt an attempt that an earlier leader started, or stop it if its job has ended or is not known. Returns None if
    the task ID is malformed."""
    try:
        job_id, index = status.parse_task_id()
    except ValueError as error:
        # Skip only this entry, so that one malformed task ID does not hide the machine's other tasks.
        log_event(log, logging.ERROR, "invalid_task_in_heartbeat", machine=machine.name, error=error)
        return None
    attempt = Attempt(job_id, index, status.attempt_number, machine, None, now, verified=machine.attempts_verified)
    if attempt.task_id != status.task_id:
        log_event(log, logging.ERROR, "invalid_task_in_heartbeat", machine=machine.name, error=status.task_id[:80])
        return None
    cluster.attempts.add(attempt)
    if status.phase != TaskPhase.EXITED:
        adopt_or_stop(cluster, attempt)
    return attempt


def _update_phase(cluster: ClusterRecords, attempt: Attempt, status: TaskStatus, now: float) -> None:
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
        cluster.index.record_cached_image(machine, attempt.spec)  # the image is fetched; the task waits for its gang
    if phase is TaskPhase.RUNNING and attempt.running_since is None:
        attempt.running_since = now
        log_attempt(log, "runs", attempt, after_bind_s=now - attempt.created_at)
        if attempt.spec is not None:
            cluster.index.record_cached_image(machine, attempt.spec)
            cluster.pending_writes.record_due(attempt.job_id)


def _remove_unreported(
    cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, now: float, is_heartbeat: bool
) -> None:
    """Remove the attempts that the message does not report, where that proves that they are gone."""
    reported = {(status.task_id, status.attempt_number) for status in heartbeat.tasks}
    for attempt in [attempt for key, attempt in machine.attempts.items() if key not in reported]:
        if attempt.confirmed or (is_heartbeat and (attempt.exited or attempt.stop_requested)):
            # Cleared, lost, or stopped before it was ever started: this newer message proves that it is gone.
            if not attempt.stop_requested:
                cluster.note_loss(attempt, "lost when the worker restarted")
            cluster.attempts.remove(attempt)
            cluster.unbind(attempt, now)
