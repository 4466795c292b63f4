"""Work that is lost, or about to be: leases that ran out, workers that are not heard, machines that are taken back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.workers import gangs

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_state import ClusterState
    from sorrelsill.workers.machine import Machine


def watch_for_silence(cluster: ClusterState, machine: Machine) -> None:
    """Set the machine's timer, after anything that may have brought the next look at it nearer."""
    cluster.silence.set_if_earlier(machine, _next_look(cluster, machine))


def _next_look(cluster: ClusterState, machine: Machine) -> float:
    """When silence that goes on would next change what is believed of the machine."""
    overdue_at = float("inf") if machine.heartbeat_overdue else machine.seen_at + _patience(cluster, machine)
    return min(overdue_at, _lost_at(cluster, machine))


def _patience(cluster: ClusterState, machine: Machine) -> float:
    """One that answers us and doesn't report has a lease that runs out again and again, and all work with it. After a
    takeover it has some time to find the way here. Found by reading."""
    return cluster.overdue_s if machine.has_sent_heartbeat else max(cluster.overdue_s, cluster.unreachable_after_s)


def _lost_at(cluster: ClusterState, machine: Machine) -> float:
    """From when on its lease has run out for certain."""
    if machine.lease_expired or machine.lease_renewed_at is None:
        return float("inf")
    renewed_by_others = cluster.renewed_by_others
    if machine.name in cluster.failover.unconfirmed:
        renewed_by_others = older_answers_until(cluster)
    return max(machine.lease_renewed_at, renewed_by_others) + cluster.loss_s


def older_answers_until(cluster: ClusterState) -> float:
    """Until when anyone before us may have renewed leases. An older leader's validity ran out before the key could go,
    but an early end of the key would let it answer for the rest of that time, so this is waited out as well."""
    return max(cluster.renewed_by_others, cluster.started + cluster.validity_s)


def expire_leases(cluster: ClusterState, now: float) -> list[Machine]:
    """Declare lost what has been silent for longer than the workers' lease. Returns those machines."""
    lost: list[Machine] = []
    if now - cluster.expired_at < constants.EXPIRE_EVERY_S:
        return lost
    cluster.expired_at = now
    cluster.failover.recount()
    cluster.failover.forget_ended_jobs()
    looked_at: list[Machine] = []
    released = 0
    while (machine := cluster.silence.pop_due(now)) is not None:
        if cluster.machines.get(machine.name) is not machine:
            continue  # gone since its timer was set: guards against it coming back into the indices
        looked_at.append(machine)
        if now - machine.seen_at > _patience(cluster, machine):
            machine.heartbeat_overdue = True
        if now <= _lost_at(cluster, machine):
            continue
        if released >= constants.EXPIRE_TASKS:
            # Guards against hundreds of machines lost at once: pings must not wait behind them.
            cluster.expired_at = float("-inf")
            break
        released += len(machine.attempts)
        _declare_lost(cluster, machine, now)
        lost.append(machine)
    for machine in looked_at:
        cluster.silence.set_if_earlier(machine, _next_look(cluster, machine))
    _forget_unheard(cluster, now)
    return lost


def _declare_lost(cluster: ClusterState, machine: Machine, now: float) -> None:
    machine.lease_expired = True
    machine.token_acknowledged = machine.reachable = machine.located = False
    machine.relearn = True
    machine.first_at = None
    machine.registered = False
    cluster.release_all(machine, now, "machine silent, work lost")
    cluster.confirm(machine.name, "lease over", now)
    cluster.pending_writes.deregistrations.add(machine.name)


def _forget_unheard(cluster: ClusterState, now: float) -> None:
    """Registered machines that nobody can have answered for longer than a lease hold no work any more."""
    unconfirmed = cluster.failover.unconfirmed
    if not unconfirmed or now - older_answers_until(cluster) <= cluster.loss_s:
        return
    for name in list(unconfirmed):
        machine = cluster.machines.get(name)
        if machine is None or machine.lease_renewed_at is None:
            cluster.confirm(name, "nobody can have renewed its lease", now)
            cluster.pending_writes.deregistrations.add(name)
    cluster.wake_scheduler = True


def hears_no_worker(cluster: ClusterState, now: float, limit: float) -> bool:
    """Whether workers were heard in this term and all of them have been silent since. One machine alone
    proves nothing, and a leader that never heard any is no better replaced."""
    if cluster.heard_at is None or now - max(cluster.heard_at, cluster.renewed_by_others) <= limit:
        return False
    return (
        sum(1 for h in cluster.machines.values() if not h.lease_expired and h.lease_renewed_at is not None)
        >= constants.NO_HEARTBEAT_MACHINES
    )


def drain(cluster: ClusterState, now: float) -> None:
    """Work on machines that are about to be taken: what saves itself does so as late as is safe; what can't, and
    won't be through by then, goes at once, and the rest just before the end. Found on a measured day: left to
    die with its machine it was only known to be lost once a whole lease of silence had passed."""
    for machine in cluster.machines_with_reclaim_notice.values():
        if machine.spot_reclaim_at is None or machine.lease_expired:
            continue
        for attempt in machine.attempts.values():
            spec = attempt.spec
            if spec is None or attempt.stop_requested or attempt.exited:
                continue
            left = machine.spot_reclaim_at - now
            if spec.is_gang and attempt.job_id in cluster.gangs:
                if gangs.must_leave(cluster, cluster.gangs[attempt.job_id], left):
                    cluster.stop(attempt, "machine is taken back")
                continue
            if attempt.running_since is None:
                late = True
            elif spec.checkpoint_interval_s > 0:
                late = left <= spec.checkpoint_cost_s + constants.DRAIN_AHEAD_S
            else:
                through = attempt.running_since + spec.expected_run_s
                late = left <= constants.DRAIN_AHEAD_S or spec.is_service or through > machine.spot_reclaim_at
            if late:
                cluster.stop(attempt, "machine is taken back")
