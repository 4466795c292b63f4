"""Takes workers' reports into the cluster state. Pure: time is given.

A report proves more than the answer to a direct call: a worker executes the commands of an answer before its next
report, while the body of a direct answer may be older than an answer that is still in flight."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.workers import messages
from sorrelsill.workers.adoption import adopt_found
from sorrelsill.workers.attempt import Attempt
from sorrelsill.workers.attempt_events import log_attempt
from sorrelsill.workers.commands import commands

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_state import ClusterState
    from sorrelsill.workers.job import Job
    from sorrelsill.workers.machine import Machine

log = logging.getLogger(__name__)


class FencedError(Exception):
    """A worker has seen a higher fencing token than ours."""

    def __init__(self, fencing_token: int) -> None:
        super().__init__(fencing_token)
        self.fencing_token = fencing_token


def on_heartbeat(
    cluster: ClusterState, heartbeat: messages.WorkerHeartbeat, now: float, acting: bool = True, fresh: bool = True
) -> list[messages.Command] | None:
    """Take a report in; the orders for the answer, or None if it must not be answered with 200.
    Without `acting` (standstill) there are no orders; without a `fresh` view of the jobs, no starts."""
    if heartbeat.fencing_token > cluster.term:
        raise FencedError(heartbeat.fencing_token)
    if cluster.tombstones.covers(heartbeat.machine, heartbeat.incarnation, heartbeat.sequence_number):
        return None  # a late copy: the machine is gone
    machine = cluster.machine(heartbeat.machine, heartbeat.machine_type, heartbeat.zone, heartbeat.spot, now)
    if heartbeat.incarnation < machine.incarnation or (
        heartbeat.incarnation == machine.incarnation and heartbeat.sequence_number <= machine.heartbeat_sequence_number
    ):
        return None  # late or repeated: its task list is older than what is known
    if machine.lease_expired and heartbeat.incarnation == machine.incarnation:
        machine.sequence_number = max(machine.sequence_number, heartbeat.sequence_number)
        return None  # its lease is over by our clock: only its next incarnation is believed
    stale = heartbeat.incarnation == machine.incarnation and heartbeat.sequence_number < machine.sequence_number
    # After anything but our 200 a worker goes on to the next controller, so a report that follows the last
    # message directly shows that answers reach it. With one that does not, work waits for the next that does.
    follows = heartbeat.incarnation == machine.incarnation and heartbeat.sequence_number == machine.sequence_number + 1
    machine.heartbeat_sequence_number = heartbeat.sequence_number
    machine.has_sent_heartbeat = True
    machine.seen_at = now
    if machine.heartbeat_overdue:
        machine.heartbeat_overdue = False
    if stale:
        # Overtaken by an answer to a direct call, which told more. It is no copy, so its lease may go on.
        if not machine.token_acknowledged:
            return None
        machine.lease_renewed_at = cluster.heard_at = now
        # No starts, but halts: an answer that renews a lease always names what has to go.
        return commands(cluster, machine, False, now) if acting else []
    known = machine.sequence_number >= 0
    _newer(cluster, machine, heartbeat, now)
    if not machine.token_acknowledged:
        if machine.first_at is None:
            machine.first_at = now
        machine.relearn |= not known and heartbeat.fencing_token == cluster.term
        _sync(cluster, machine, heartbeat, follows or not machine.relearn, now)
    else:
        # One that does not follow is no proof of the contrary: reports cross with direct answers, and a worker
        # that was led here comes from elsewhere. Found on a measured day: a sixth of the machines, and after a
        # takeover half, stood aside for a report interval each time.
        machine.reachable = follows or (machine.reachable and now - machine.proved_at <= cluster.unreachable_after_s)
    if follows:
        machine.proved_at = now
    cluster.heard_at = now
    if (
        not machine.token_acknowledged
        and machine.first_at is not None
        and now - machine.first_at > cluster.unreachable_after_s
    ):
        # Its reports arrive, our answers do not. Unanswered, its lease can run out, which is a proof.
        _reconcile(cluster, machine, heartbeat, now, True)
        return None
    machine.lease_renewed_at = now
    _reconcile(cluster, machine, heartbeat, now, True)
    return commands(cluster, machine, fresh, now) if acting else []


def on_command_response(cluster: ClusterState, heartbeat: messages.WorkerHeartbeat, now: float) -> None:
    """A worker's state in its answer to a direct call. It renews no lease, and since it may be older than the
    answer to a report in flight, what it lacks may yet be started: absence proves less than in a report."""
    if heartbeat.fencing_token > cluster.term or cluster.tombstones.covers(
        heartbeat.machine, heartbeat.incarnation, heartbeat.sequence_number
    ):
        return
    machine = cluster.machine(heartbeat.machine, heartbeat.machine_type, heartbeat.zone, heartbeat.spot, now)
    if (heartbeat.incarnation, heartbeat.sequence_number) <= (machine.incarnation, machine.sequence_number):
        return
    if machine.lease_expired and heartbeat.incarnation == machine.incarnation:
        machine.sequence_number = heartbeat.sequence_number
        return
    if machine.incarnation and heartbeat.incarnation > machine.incarnation:
        # Its lease ran out and yet it hears us: it does not reach us, so work on it would die with each lease.
        machine.heartbeat_overdue = True
    _newer(cluster, machine, heartbeat, now)
    if machine.seen_at == float("-inf"):
        machine.seen_at = now
    if heartbeat.fencing_token == cluster.term:
        _sync(cluster, machine, heartbeat, True, now, direct=True)
        machine.reachable = True
        machine.proved_at = now
    if machine.lease_renewed_at is None:
        machine.lease_renewed_at = now
    _reconcile(cluster, machine, heartbeat, now, False)


def _newer(cluster: ClusterState, machine: Machine, heartbeat: messages.WorkerHeartbeat, now: float) -> None:
    """Incarnation, serial and notice of a message that is newer than all before."""
    machine.addr = heartbeat.addr or machine.addr
    if heartbeat.incarnation > machine.incarnation:
        if machine.incarnation:
            # Its images stay: seen on a measured day, work that came back to such machines began at once.
            cluster.release_all(machine, now, "worker's lease ran out")
            machine.relearn = True
        machine.reachable = False
        machine.incarnation = heartbeat.incarnation
        if machine.token_acknowledged:
            # An incarnation has a whole lease from its beginning, which was before now, whether or not a report of it
            # was ever answered. Found on a day of our own (ran_twice): a machine that reached nobody answered
            # direct calls in its second incarnation, and was taken for lost by the lease of its first.
            machine.lease_renewed_at = now
        machine.lease_expired = False
        machine.heartbeat_sequence_number = -1
    machine.sequence_number = heartbeat.sequence_number
    if heartbeat.spot_reclaim_in_s is not None:
        machine.spot_reclaim_at = now + heartbeat.spot_reclaim_in_s
        cluster.machines_with_reclaim_notice[machine.name] = machine


def _sync(
    cluster: ClusterState,
    machine: Machine,
    heartbeat: messages.WorkerHeartbeat,
    reachable: bool,
    now: float,
    direct: bool = False,
) -> None:
    if heartbeat.fencing_token != cluster.term or machine.token_acknowledged:
        return
    machine.token_acknowledged = True
    machine.first_at = None
    machine.reachable = reachable
    machine.lease_renewed_at = now  # from now on it may be given work, and its incarnation may have begun just now
    if reachable:
        machine.proved_at = now
    if machine.registered or machine.name in cluster.failover.unconfirmed:
        machine.registered = True
    cluster.confirm(machine.name, "direct answer" if direct else "report", now)
    cluster.machines_with_pending_commands[machine.name] = machine
    if not machine.registered:
        cluster.pending_writes.registrations[machine.name] = machine
    cluster.wake_scheduler = True


def _reconcile(
    cluster: ClusterState, machine: Machine, heartbeat: messages.WorkerHeartbeat, now: float, proper: bool
) -> None:
    """Take over what the worker says of its tasks; `proper`: in a report, not in a direct answer."""
    attempts = machine.attempts
    seen = 0
    for item in heartbeat.tasks:
        attempt = attempts.get((item.task_id, item.attempt_number))
        if attempt is None:
            attempt = _found(cluster, machine, item, now)
            if attempt is None:
                continue
        elif attempt.phase == item.phase and attempt.confirmed:
            seen += 1
            continue
        seen += 1
        _take_phase(cluster, attempt, item, now)
    if seen != len(attempts):
        _drop_absent(cluster, machine, heartbeat, now, proper)
    if machine.token_acknowledged and not machine.located:
        # What an earlier message told may have been a late copy; what this one tells is there.
        machine.located = True
        for attempt in attempts.values():
            attempt.located = True


def _found(cluster: ClusterState, machine: Machine, item: messages.TaskStatus, now: float) -> Attempt | None:
    """An attempt that an earlier leader started: it is adopted, or stopped if its job is over or not known."""
    try:
        job_id, index = item.split()
    except ValueError as error:
        # Guards against one damaged entry hiding the machine's other tasks.
        log.error("report of %s: %s", machine.name, error)
        return None
    attempt = Attempt(job_id, index, item.attempt_number, machine, None, now, located=machine.located)
    if attempt.task_id != item.task_id:
        log.error("report of %s: task %s", machine.name, item.task_id[:80])
        return None
    cluster.attempts.enter(attempt)
    if item.phase != "exited":
        adopt_found(cluster, attempt)
    return attempt


def _take_phase(cluster: ClusterState, attempt: Attempt, item: messages.TaskStatus, now: float) -> None:
    machine = attempt.machine
    if not attempt.confirmed:
        attempt.confirmed = True
        if attempt.stop_requested:
            cluster.machines_with_pending_commands[machine.name] = machine
    if attempt.exited:
        return
    if item.phase == "exited":
        _exited(cluster, attempt, item, now)
        return
    attempt.phase = item.phase
    if item.phase == "waiting" and attempt.spec is not None:
        cluster.index.hold_image(machine, attempt.spec)  # it has its image, and waits for the rest of its group
    if item.phase == "running" and attempt.running_since is None:
        attempt.running_since = now
        log_attempt(log, "runs", attempt, after_bind_s=now - attempt.created)
        if attempt.spec is not None:
            cluster.index.hold_image(machine, attempt.spec)
            cluster.pending_writes.records.add(attempt.job_id)


def _drop_absent(
    cluster: ClusterState, machine: Machine, heartbeat: messages.WorkerHeartbeat, now: float, proper: bool
) -> None:
    """Attempts that a message doesn't name: gone, if their absence proves it."""
    names = {(item.task_id, item.attempt_number) for item in heartbeat.tasks}
    for attempt in [a for key, a in machine.attempts.items() if key not in names]:
        if attempt.unanswered_starts and not attempt.confirmed:
            continue  # its direct start may still be executed, so its absence proves nothing
        if attempt.confirmed or (proper and (attempt.exited or attempt.stop_requested)):
            # Cleared, vanished, or never started and no longer wanted: this newer report proves it.
            cluster.attempts.leave(attempt)
            cluster.unbind(attempt, now)


def _exited(cluster: ClusterState, attempt: Attempt, item: messages.TaskStatus, now: float) -> None:
    cluster.attempts.count_unknown(attempt, -1)
    attempt.exited = True
    attempt.phase = "exited"
    job = cluster.jobs.get(attempt.job_id)
    cause = item.exit_cause or "unknown"
    machine = attempt.machine
    if cause == "done":
        if job is not None and 0 <= attempt.index < job.spec.task_count and not job.spec.is_service:
            # The tasks of a group complete together, also those whose machines die before they tell.
            for index in range(job.spec.task_count) if job.spec.is_gang else (attempt.index,):
                if job.done.add(index):
                    job.unrecorded_parts.add(index // constants.PART_TASKS)
                    cluster.pending_writes.records.add(attempt.job_id)
                    cluster.job_changed(attempt.job_id)
            _accuse(cluster, job, job.failures.success(machine.name))
        else:
            attempt.clearable = True
        # Another attempt of the same task would be wasted: the result is there.
        other = job.bound.get(attempt.index) if job is not None else None
        if other is not None and other is not attempt:
            cluster.request_stop(other, "the result is there")
        cluster.unbind(attempt, now, requeue=job is not None and job.spec.is_service)
        return
    attempt.clearable = True
    if attempt.start_sent:
        attempt.clear_after = now + constants.DUPLICATE_START_S
    cluster.unbind(attempt, now)
    if job is None:
        return
    if cause == "halted":
        job.note(
            f"task {attempt.index}: stopped{', saved' if item.saved else ''}"
            f" ({attempt.stop_reason or 'by an earlier leader'})"
        )
        return
    if cause in (messages.PEERS, messages.ALONE):
        # Another task of its group is gone or never came: the fault of neither this machine nor the job.
        job.note(f"task {attempt.index}: {cause}, its group is started anew")
        return
    job.note(f"task {attempt.index}: {cause} on {machine.name}")
    job.avoid[machine.name] = now + constants.MACHINE_AVOID_S
    if cause == "error":
        _failed(cluster, job, machine, now)


def _failed(cluster: ClusterState, job: Job, machine: Machine, now: float) -> None:
    """Guards against jobs that fail wherever they run: their failures must not cost machines their good name."""
    failures = job.failures
    if job.spec.is_service:
        for replica in job.bound.values():
            if replica.running_since is not None and now - replica.running_since >= constants.REPLICA_PROOF_S:
                _accuse(cluster, job, failures.success(replica.machine.name))
                break
    _accuse(cluster, job, failures.failed(machine.name, now))
    if failures.suspect(len(job.bound)):
        # The other machines are not to blame: avoiding them all would leave it waiting beside free room.
        job.avoid = {machine.name: job.avoid[machine.name]}
        wait_s = max(0.0, failures.next_trial_at - now)
        job.note(f"failed on all {len(failures.machines)} machines tried; next try in {wait_s:.0f} s")


def _accuse(cluster: ClusterState, job: Job, names: set[str]) -> None:
    """The job failed on these machines and succeeded on another. A machine that several jobs blame is quarantined."""
    for name in names:
        machine = cluster.machines.get(name)
        if machine is None:
            continue
        machine.accused_by.add(job.spec.job_id)
        if len(machine.accused_by) >= constants.QUARANTINE_JOBS and not machine.quarantined:
            log.info("%s is quarantined: %s failed there and succeeded elsewhere", name, sorted(machine.accused_by))
            machine.quarantined = True
