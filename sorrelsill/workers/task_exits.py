"""Takes in that a task exited: its result, where it may be tried again, and whose fault a failure is. Pure."""

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
    """The worker says for the first time that the attempt has exited."""
    cluster.attempts.adjust_unknown_tasks(attempt, -1)
    attempt.exited = True
    attempt.phase = TaskPhase.EXITED
    if status.known_exit_cause() is ExitCause.DONE:
        _on_completion(cluster, attempt, now)
        return
    job = cluster.jobs.get(attempt.job_id)
    attempt.clearable = True
    if attempt.start_sent:
        attempt.clear_after = now + constants.DUPLICATE_START_S
    cluster.unbind(attempt, now)
    if job is not None:
        _explain(cluster, job, attempt, status, now)


def _on_completion(cluster: ClusterRecords, attempt: Attempt, now: float) -> None:
    job = cluster.jobs.get(attempt.job_id)
    if job is not None and 0 <= attempt.index < job.spec.task_count and not job.spec.is_service:
        _mark_done(cluster, job, attempt.index)
        _blame(cluster, job, job.failures.record_success(attempt.machine.name))
    else:
        attempt.clearable = True
    # Another attempt of the same task would be wasted: the result is there.
    other = job.bound.get(attempt.index) if job is not None else None
    if other is not None and other is not attempt:
        cluster.request_stop(other, "the result is there")
    cluster.unbind(attempt, now, requeue=job is not None and job.spec.is_service)


def _mark_done(cluster: ClusterRecords, job: Job, index: int) -> None:
    """The tasks of a gang complete together, also those whose machines die before they say so."""
    for done_index in range(job.spec.task_count) if job.spec.is_gang else (index,):
        if job.done.add(done_index):
            job.unrecorded_parts.add(done_index // constants.PART_TASKS)
            cluster.pending_writes.record_due(job.spec.job_id)
            cluster.mark_job_changed(job.spec.job_id)


def _explain(cluster: ClusterRecords, job: Job, attempt: Attempt, status: TaskStatus, now: float) -> None:
    """Tell the job's users why a task exited without a result, and keep the next attempt off the machine if that may be
    to blame."""
    machine = attempt.machine
    cause = status.known_exit_cause()
    if cause is ExitCause.STOPPED:
        saved = ", saved" if status.saved else ""
        job.note(f"task {attempt.index}: stopped{saved} ({attempt.stop_reason or 'by an earlier leader'})")
        return
    if cause in (ExitCause.PEER_LOST, ExitCause.GANG_INCOMPLETE):
        # Another task of its gang is gone or never came: the fault of neither this machine nor the job.
        job.note(f"task {attempt.index}: {status.exit_cause_text()}, its group is started anew")
        return
    job.note(f"task {attempt.index}: {status.exit_cause_text()} on {machine.name}")
    job.avoid[machine.name] = now + constants.MACHINE_AVOID_S
    if cause is ExitCause.ERROR:
        _on_failure(cluster, job, machine, now)


def _on_failure(cluster: ClusterRecords, job: Job, machine: Machine, now: float) -> None:
    """Guards against jobs that fail wherever they run: their failures must not get machines quarantined."""
    failures = job.failures
    if job.spec.is_service:
        for replica in job.bound.values():
            if replica.running_since is not None and now - replica.running_since >= constants.REPLICA_PROOF_S:
                _blame(cluster, job, failures.record_success(replica.machine.name))
                break
    _blame(cluster, job, failures.record_failure(machine.name, now))
    if failures.is_suspect(len(job.bound)):
        # The other machines are not to blame: avoiding them all would leave it waiting beside free room.
        job.avoid = {machine.name: job.avoid[machine.name]}
        wait_s = max(0.0, failures.next_retry_at - now)
        job.note(f"failed on all {len(failures.machines)} machines tried; next try in {wait_s:.0f} s")


def _blame(cluster: ClusterRecords, job: Job, names: set[str]) -> None:
    """The job failed on these machines and succeeded on another. A machine that several jobs blame is quarantined."""
    for name in names:
        machine = cluster.machines.get(name)
        if machine is None:
            continue
        machine.blamed_by_jobs.add(job.spec.job_id)
        if len(machine.blamed_by_jobs) >= constants.QUARANTINE_JOBS and not machine.quarantined:
            jobs = ",".join(sorted(machine.blamed_by_jobs))
            log_event(log, logging.INFO, "machine_quarantined", machine=name, jobs=jobs)
            machine.quarantined = True
