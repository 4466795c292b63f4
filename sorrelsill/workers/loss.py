"""Work that is lost, or about to be: leases that expired, workers that are not heard, machines that are reclaimed."""

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
    """Declare lost what has been silent for longer than the workers' lease. Returns those machines."""
    if not cluster.leases.begin_expiry(now):
        return []
    cluster.failover.recount()
    cluster.failover.forget_ended_jobs()
    lost = _check_due_machines(cluster, now)
    _confirm_expired_machines(cluster, now)
    return lost


def _check_due_machines(cluster: ClusterRecords, now: float) -> list[Machine]:
    """Mark the machines whose timer is up as overdue or lost, and set their timers anew. Returns the lost ones."""
    lost: list[Machine] = []
    checked: list[Machine] = []
    released_tasks = 0
    while (machine := cluster.leases.pop_due(now)) is not None:
        if cluster.machines.get(machine.name) is not machine:
            continue  # gone since its timer was set: guards against it coming back into the indices
        checked.append(machine)
        if cluster.leases.heartbeat_is_overdue(machine, now):
            machine.heartbeat_overdue = True
        if now <= cluster.leases.lease_expires_at(machine):
            continue
        if released_tasks >= constants.EXPIRE_TASKS:
            # Guards against hundreds of machines lost at once: lease renewals must not wait behind them.
            cluster.leases.continue_expiry()
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
    """Registered machines that nobody can have answered for longer than a lease hold no work any more."""
    unconfirmed = cluster.failover.unconfirmed
    if not unconfirmed or now - cluster.leases.renewed_before_term_until() <= cluster.loss_s:
        return
    for name in list(unconfirmed):
        machine = cluster.machines.get(name)
        if machine is None or machine.lease_renewed_at is None:
            cluster.confirm(name, "nobody can have renewed its lease", now)
            cluster.pending_writes.deregistration_due(name)
    cluster.wake_scheduler = True


def hears_no_worker(cluster: ClusterRecords, now: float, limit: float) -> bool:
    """Whether workers were heard in this term and all of them have been silent since. One machine alone
    proves nothing, and a leader that never heard any is no better replaced."""
    if cluster.last_heartbeat_at is None or now - max(cluster.last_heartbeat_at, cluster.renewed_by_others) <= limit:
        return False
    machines = cluster.machines.values()
    with_lease = sum(1 for m in machines if not m.lease_expired and m.lease_renewed_at is not None)
    return with_lease >= constants.NO_HEARTBEAT_MACHINES


def drain(cluster: ClusterRecords, now: float) -> None:
    """Stop work on machines that are about to be reclaimed. A task that ended with its machine would only be known to
    be lost once a whole lease of silence had passed."""
    for machine in cluster.machines_with_reclaim_notice.values():
        if machine.spot_reclaim_at is None or machine.lease_expired:
            continue
        for attempt in machine.attempts.values():
            spec = attempt.spec
            if spec is None or attempt.stop_requested or attempt.exited:
                continue
            if _must_leave(cluster, attempt, spec, machine.spot_reclaim_at, now):
                stop(cluster, attempt, "machine is taken back")


def _must_leave(cluster: ClusterRecords, attempt: Attempt, spec: JobSpec, reclaim_at: float, now: float) -> bool:
    """What can checkpoint does so as late as is safe; what can't, and won't be complete by then, goes at once, and the
    rest just before the end."""
    remaining_s = reclaim_at - now
    if spec.is_gang and attempt.job_id in cluster.gangs:
        return gang_must_stop(cluster.gangs[attempt.job_id], remaining_s)
    if attempt.running_since is None:
        return True
    if spec.checkpoint_interval_s > 0:
        return remaining_s <= spec.checkpoint_cost_s + constants.DRAIN_AHEAD_S
    complete_at = attempt.running_since + spec.expected_run_s
    return remaining_s <= constants.DRAIN_AHEAD_S or spec.is_service or complete_at > reclaim_at
