"""Handles the exit of a task: records its result, which machine its job avoids next, and whether job or machine is at
fault. No I/O; callers pass the current time."""

from __future__ import annotations

import logging

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.workers.cluster_records import ClusterRecords
from sorrelsill.workers.job import Job
from sorrelsill.workers.machine import Attempt, Machine
from sorrelsill.workers.messages import ExitCause, TaskPhase, TaskStatus

log = logging.getLogger(__name__)


def on_exit(cluster: ClusterRecords, attempt: Attempt, status: TaskStatus, now: float) -> None:
    """Handle the first report that an attempt has exited."""
    cluster.attempts.adjust_unknown_tasks(attempt, -1)
    attempt.exited = True
    attempt.phase = TaskPhase.EXITED
    if status.known_exit_cause() is ExitCause.DONE:
        _on_completion(cluster, attempt, now)
        return
    job = cluster.jobs.get(attempt.job_id)
    attempt.may_be_cleared = True
    cluster.unbind(attempt, now)
    if job is not None:
        _note_exit(cluster, job, attempt, status, now)


def _on_completion(cluster: ClusterRecords, attempt: Attempt, now: float) -> None:
    job = cluster.jobs.get(attempt.job_id)
    if job is not None and 0 <= attempt.index < job.spec.task_count and not job.spec.is_service:
        _mark_done(cluster, job, attempt.index)
        _blame_machines(cluster, job, job.failures.record_success(attempt.machine.name))
    else:
        attempt.may_be_cleared = True
    # Stop any other attempt of the task: its result is no longer needed.
    other = job.bound.get(attempt.index) if job is not None else None
    if other is not None and other is not attempt:
        cluster.request_stop(other, "the result is there")
    cluster.unbind(attempt, now, requeue=job is not None and job.spec.is_service)


def _mark_done(cluster: ClusterRecords, job: Job, index: int) -> None:
    """Mark a task as done. The tasks of a gang complete together, so one exit marks them all, including those whose
    machines fail before reporting it."""
    for done_index in range(job.spec.task_count) if job.spec.is_gang else (index,):
        if job.done.add(done_index):
            job.unrecorded_small_chunks.add(done_index // constants.SMALL_CHUNK_TASKS)
            cluster.pending_writes.record_due(job.spec.job_id)
            cluster.mark_job_changed(job.spec.job_id)


def _note_exit(cluster: ClusterRecords, job: Job, attempt: Attempt, status: TaskStatus, now: float) -> None:
    """Add a note for the job's users on why a task exited without a result. If the machine may be at fault, the job
    avoids it for a while."""
    machine = attempt.machine
    cause = status.known_exit_cause()
    if cause is ExitCause.STOPPED:
        saved = ", saved" if status.saved else ""
        job.note(f"task {attempt.index}: stopped{saved} ({attempt.stop_reason or 'by an earlier leader'})")
        return
    if cause in (ExitCause.PEER_LOST, ExitCause.GANG_INCOMPLETE):
        # Another task of its gang was lost or never started: neither this machine nor the job is at fault.
        job.note(f"task {attempt.index}: {status.exit_cause_text()}, its group is started anew")
        return
    job.note(f"task {attempt.index}: {status.exit_cause_text()} on {machine.name}")
    job.avoided_machines[machine.name] = now + constants.MACHINE_AVOID_S
    if cause is ExitCause.ERROR:
        _on_failure(cluster, job, machine, now)


def _on_failure(cluster: ClusterRecords, job: Job, machine: Machine, now: float) -> None:
    """Record a failed task and decide whether it counts against the job or the machine. A job that fails on every
    machine must not get machines quarantined."""
    failures = job.failures
    if job.spec.is_service:
        for replica in job.bound.values():
            if replica.running_since is not None and now - replica.running_since >= constants.REPLICA_PROOF_S:
                _blame_machines(cluster, job, failures.record_success(replica.machine.name))
                break
    _blame_machines(cluster, job, failures.record_failure(machine.name, now))
    if failures.is_suspect(len(job.bound)):
        # The job itself is probably at fault, so it avoids only the machine of this failure from now on: if it avoided
        # all machines on which it failed, it would wait although there is free capacity.
        job.avoided_machines = {machine.name: job.avoided_machines[machine.name]}
        wait_s = max(0.0, failures.next_retry_at - now)
        job.note(f"failed on all {len(failures.machines)} machines tried; next try in {wait_s:.0f} s")


def _blame_machines(cluster: ClusterRecords, job: Job, names: set[str]) -> None:
    """Count the job's failures against these machines, on which it failed while it succeeded on another. A machine that
    several jobs blame is quarantined."""
    for name in names:
        machine = cluster.machines.get(name)
        if machine is None:
            continue
        machine.blamed_by_jobs.add(job.spec.job_id)
        if len(machine.blamed_by_jobs) >= constants.QUARANTINE_JOBS and not machine.quarantined:
            jobs = ",".join(sorted(machine.blamed_by_jobs))
            log_event(log, logging.INFO, "machine_quarantined", machine=name, jobs=jobs)
            machine.quarantined = True
