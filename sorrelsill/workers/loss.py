"""Work that is lost, or about to be: leases that ran out, workers that are not heard, machines that are taken back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.workers import groups

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_state import ClusterState
    from sorrelsill.workers.machine import Machine


def expire_leases(cluster: ClusterState, now: float) -> list[Machine]:
    """Declare lost what has been silent for longer than the workers' lease. Returns those machines."""
    lost: list[Machine] = []
    if now - cluster.expired_at < constants.EXPIRE_EVERY_S:
        return lost
    cluster.expired_at = now
    cluster.takeover.recount()
    floor = cluster.renewed_by_others
    # An older leader's last answers: its validity ran out before the key could go, but an early
    # end of the key would let it answer for the rest of that time, so this is waited out as well.
    older = max(floor, cluster.started + cluster.validity_s)
    released = 0
    for machine in cluster.machines.values():
        # One that answers us and doesn't report has a lease that runs out again and again, and all work with it.
        # After a takeover it has some time to find the way here. Found by reading.
        patience = cluster.overdue_s if machine.reports else max(cluster.overdue_s, cluster.unreachable_after_s)
        if not machine.overdue and now - machine.seen_at > patience:
            machine.overdue = True
        cluster.reindex(machine)
        if machine.lost or machine.answered_at is None:
            continue
        if (
            now - max(machine.answered_at, older if machine.name in cluster.takeover.unconfirmed else floor)
            > cluster.loss_s
        ):
            if released >= constants.EXPIRE_TASKS:
                # Guards against hundreds of machines lost at once: pings must not wait behind them.
                cluster.expired_at = float("-inf")
                break
            released += len(machine.attempts)
            machine.lost = True
            machine.synced = machine.reachable = False
            machine.relearn = True
            machine.first_at = None
            machine.rostered = False
            cluster.release_all(machine, now, "machine silent, work lost")
            cluster.takeover.confirm(machine.name)
            cluster.gone.add(machine.name)
            lost.append(machine)
    if cluster.takeover.unconfirmed and now - older > cluster.loss_s:
        for name in [
            n for n in cluster.takeover.unconfirmed if (h := cluster.machines.get(n)) is None or h.answered_at is None
        ]:
            cluster.takeover.confirm(name)
            cluster.gone.add(name)
        cluster.wake_placing = True
    return lost


def hears_no_worker(cluster: ClusterState, now: float, limit: float) -> bool:
    """Whether workers were heard in this term and all of them have been silent since. One machine alone
    proves nothing, and a leader that never heard any is no better replaced."""
    if cluster.heard_at is None or now - max(cluster.heard_at, cluster.renewed_by_others) <= limit:
        return False
    return sum(1 for h in cluster.machines.values() if not h.lost and h.answered_at is not None) >= constants.DEAF_HOSTS


def drain(cluster: ClusterState, now: float) -> None:
    """Work on machines that are about to be taken: what saves itself does so as late as is safe; what can't, and
    won't be through by then, goes at once, and the rest just before the end. Found on a measured day: left to
    die with its machine it was only known to be lost once a whole lease of silence had passed."""
    for machine in cluster.evicting.values():
        if machine.evict_at is None or machine.lost:
            continue
        for attempt in machine.attempts.values():
            spec = attempt.spec
            if spec is None or attempt.stop or attempt.exited:
                continue
            left = machine.evict_at - now
            if spec.whole and attempt.job_id in cluster.groups:
                if groups.must_leave(cluster, cluster.groups[attempt.job_id], left):
                    cluster.stop(attempt, "machine is taken back")
                continue
            if attempt.running_since is None:
                late = True
            elif spec.snapshot_s > 0:
                late = left <= spec.snapshot_cost_s + constants.DRAIN_AHEAD_S
            else:
                through = attempt.running_since + spec.expected_s
                late = left <= constants.DRAIN_AHEAD_S or spec.endless or through > machine.evict_at
            if late:
                cluster.stop(attempt, "machine is taken back")
