"""Handles tasks that are lost or about to be: expired leases, silent workers, and spot machines to be reclaimed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.workers.gangs import gang_must_stop
from sorrelsill.workers.stopping import stop

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.workers.cluster_records import ClusterRecords
    from sorrelsill.workers.machine import Attempt, Machine


def expire_leases(cluster: ClusterRecords, now: float) -> list[Machine]:
    """Declare lost the machines that have been silent for longer than the workers' lease. Returns these machines; none
    if the last check was less than `LEASE_CHECK_INTERVAL_S` ago."""
    if not cluster.leases.begin_check_if_due(now):
        return []
    cluster.failover.invalidate_unobserved()
    cluster.failover.forget_ended_jobs()
    lost = _check_due_machines(cluster, now)
    _confirm_expired_machines(cluster, now)
    return lost


def _check_due_machines(cluster: ClusterRecords, now: float) -> list[Machine]:
    """Check the machines whose timer has expired: mark them as overdue or lost, and set their timers again. Returns the
    lost ones."""
    lost: list[Machine] = []
    checked: list[Machine] = []
    released_tasks = 0
    while (machine := cluster.leases.pop_due(now)) is not None:
        if cluster.machines.get(machine.name) is not machine:
            continue  # removed since its timer was set: an update would put it back into the indices
        checked.append(machine)
        if cluster.leases.heartbeat_is_overdue(machine, now):
            machine.heartbeat_overdue = True
        if now <= cluster.leases.lease_expires_at(machine):
            continue
        if released_tasks >= constants.LOST_TASKS_PER_CHECK:
            # Stop here and go on with the next call: when hundreds of machines are lost at once, lease renewals must
            # not be delayed.
            cluster.leases.make_check_due()
            break
        released_tasks += len(machine.attempts)
        _declare_lost(cluster, machine, now)
        lost.append(machine)
    for machine in checked:
        cluster.leases.watch(machine)
    return lost


def _declare_lost(cluster: ClusterRecords, machine: Machine, now: float) -> None:
    machine.lease_expired = True
    machine.token_acknowledged = machine.reachable = machine.attempts_verified = False
    machine.token_may_be_inherited = True
    machine.unacknowledged_since = None
    machine.registered = False
    cluster.release_all(machine, now, "machine silent, work lost")
    cluster.confirm(machine.name, "lease over", now)
    cluster.pending_writes.deregistration_due(machine.name)


def _confirm_expired_machines(cluster: ClusterRecords, now: float) -> None:
    """Confirm the registered machines whose heartbeats nobody can have answered for longer than a lease: they hold no
    tasks any more."""
    unconfirmed = cluster.failover.unconfirmed
    if not unconfirmed or now - cluster.leases.latest_renewal_before_term() <= cluster.loss_s:
        return
    for name in list(unconfirmed):
        machine = cluster.machines.get(name)
        if machine is None or machine.lease_renewed_at is None:
            cluster.confirm(name, "nobody can have renewed its lease", now)
            cluster.pending_writes.deregistration_due(name)
    cluster.wake_scheduler = True


def receives_no_heartbeats(cluster: ClusterRecords, now: float, limit_s: float) -> bool:
    """Whether there were heartbeats in this term, but none from any worker for `limit_s` seconds. False while
    fewer than `NO_HEARTBEAT_MACHINES` machines have a lease, since the silence of few machines proves nothing about
    this leader. Also false for a leader that never received a heartbeat: another leader would be no better."""
    if (
        cluster.last_heartbeat_at is None
        or now - max(cluster.last_heartbeat_at, cluster.others_may_renew_until) <= limit_s
    ):
        return False
    machines = cluster.machines.values()
    with_lease = sum(1 for m in machines if not m.lease_expired and m.lease_renewed_at is not None)
    return with_lease >= constants.NO_HEARTBEAT_MACHINES


def stop_tasks_on_reclaimed_machines(cluster: ClusterRecords, now: float) -> None:
    """Stop tasks on machines that are about to be reclaimed. The loss of a task that runs until its machine is gone is
    detected only after a full lease of silence."""
    for machine in cluster.machines_with_reclaim_notice.values():
        if machine.spot_reclaim_at is None or machine.lease_expired:
            continue
        for attempt in machine.attempts.values():
            spec = attempt.spec
            if spec is None or attempt.stop_requested or attempt.exited:
                continue
            if _must_stop_now(cluster, attempt, spec, machine.spot_reclaim_at, now):
                stop(cluster, attempt, "machine is taken back")


def _must_stop_now(cluster: ClusterRecords, attempt: Attempt, spec: JobSpec, reclaim_at: float, now: float) -> bool:
    """Whether a task has to be stopped now, because its machine is reclaimed at `reclaim_at`.

    For a gang's task, `gang_must_stop` decides. A task that does not run yet is stopped at once, and a running task
    with checkpoints as late as is safe. A running task without checkpoints is stopped at once, unless it will probably
    complete before the reclaim; if it has not completed by then, it is stopped shortly before the reclaim."""
    remaining_s = reclaim_at - now
    if spec.is_gang and attempt.job_id in cluster.gangs:
        return gang_must_stop(cluster.gangs[attempt.job_id], remaining_s)
    if attempt.running_since is None:
        return True
    if spec.checkpoint_interval_s > 0:
        return remaining_s <= spec.checkpoint_cost_s + constants.RECLAIM_STOP_AHEAD_S
    complete_at = attempt.running_since + spec.expected_run_s
    return remaining_s <= constants.RECLAIM_STOP_AHEAD_S or spec.is_service or complete_at > reclaim_at
