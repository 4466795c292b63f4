"""What a controller tells operators: `GET /state`, and through it the metrics and `sorrelsill status`."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from sorrelsill.settings import Team
from sorrelsill.workers import ClusterState

if TYPE_CHECKING:
    from sorrelsill.controller.controller import Controller


def controller_state(controller: Controller) -> dict[str, Any]:
    """What a controller believes: its part in leading, and what it counts while it leads (None for followers)."""
    cluster, membership = controller.cluster, controller.membership
    return {
        "label": controller.settings.label,
        "leader": controller.settings.label if controller.elector.valid() else controller.elector.leader_label(),
        "leading": controller.elector.valid(),
        "term": controller.elector.term,
        "standstill": controller.degraded_mode.active(),
        "store_failing_s": round(controller.store.failing_for(), 2),
        "jobs": len(cluster.jobs) if cluster else None,
        "hosts": len(cluster.machines) if cluster else None,
        "unheard": len(cluster.failover.unconfirmed) if cluster else None,
        "unplaced": sum(u.count for u in controller.scheduler.unschedulable.values()) if cluster else None,
        "groups": len(cluster.gangs) if cluster else None,
        "groups_waiting": sum(1 for j in cluster.gangs.values() if not j.running()) if cluster else None,
        "refused": controller.store.refused,
        "set_aside": controller.leading.record_writer.quarantined if controller.leading else 0,
        "starts_refused": cluster.starts_refused if cluster else None,
        "teams": team_state(cluster, controller.settings.facts.teams) if cluster else None,
        "counts": controller.counts,
        "peers": membership.state() if membership is not None else None,
        "handovers_s": [round(h.lasted_s, 3) for h in membership.handovers()] if membership else None,
    }


def team_state(cluster: ClusterState, teams: Iterable[Team]) -> dict[str, dict[str, float]]:
    """Per team what is bound, what may be in use beside that, the limit (0: none) and the most bound in this term."""
    return {team.name: _state_of(cluster, team) for team in teams}


def _state_of(cluster: ClusterState, team: Team) -> dict[str, float]:
    use = cluster.team_use(team.name)
    highest = cluster.bound_usage.highest(team.name)
    return {
        "bound_cpus": use.bound.cpus,
        "bound_gpus": use.bound.gpus,
        "unaccounted_cpus": use.unobserved.cpus,
        "unaccounted_gpus": use.unobserved.gpus,
        "limit_cpus": team.cpus_max,
        "limit_gpus": team.gpus_max,
        "highest_bound_cpus": highest.cpus,
        "highest_bound_gpus": highest.gpus,
    }
