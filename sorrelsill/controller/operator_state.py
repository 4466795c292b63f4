"""Builds the response to `GET /state`, from which the metrics and `sorrelsill status` are also produced."""

from __future__ import annotations

from collections.abc import Iterable

from sorrelsill.controller.components import ControllerComponents
from sorrelsill.controller.leader_term import LeaderTerm
from sorrelsill.controller_state import ControllerState, TeamState
from sorrelsill.settings import Team
from sorrelsill.workers import ClusterState


def controller_state(
    components: ControllerComponents, leader_term: LeaderTerm | None, event_counts: dict[str, int]
) -> ControllerState:
    """The state of a controller as it sees it: its role, and the counts that only a leader has (None for followers)."""
    cluster = leader_term.cluster if leader_term is not None else None
    label, elector, membership = components.settings.label, components.elector, components.membership
    return ControllerState(
        label=label,
        leader=label if elector.valid() else elector.leader_label(),
        leading=elector.valid(),
        term=elector.term,
        standstill=components.degraded_mode.active(),
        store_failing_s=round(components.store.failing_for(), 2),
        jobs=len(cluster.jobs) if cluster else None,
        hosts=len(cluster.machines) if cluster else None,
        unheard=len(cluster.failover.unconfirmed) if cluster else None,
        unplaced=sum(demand.count for demand in components.scheduler.unschedulable.values()) if cluster else None,
        groups=len(cluster.gangs) if cluster else None,
        groups_waiting=sum(1 for gang in cluster.gangs.values() if not gang.running()) if cluster else None,
        refused=components.store.refused,
        set_aside=leader_term.record_writer.quarantined if leader_term is not None else 0,
        starts_refused=cluster.counters.starts_refused if cluster else None,
        teams=team_states(cluster, components.settings.platform.teams) if cluster else None,
        counts=event_counts,
        peers=membership.state() if membership is not None else None,
        handovers_s=[round(handover.duration_s, 3) for handover in membership.handovers()] if membership else None,
    )


def team_states(cluster: ClusterState, teams: Iterable[Team]) -> dict[str, TeamState]:
    """For each team: the bound resources, further resources that may be in use, the quota (0: none), and the highest
    bound resources in this term."""
    return {team.name: _team_state(cluster, team) for team in teams}


def _team_state(cluster: ClusterState, team: Team) -> TeamState:
    use = cluster.team_use(team.name)
    highest = cluster.bound_usage.highest(team.name)
    return TeamState(
        bound_cpus=use.bound.cpus,
        bound_gpus=use.bound.gpus,
        unaccounted_cpus=use.unobserved.cpus,
        unaccounted_gpus=use.unobserved.gpus,
        limit_cpus=team.cpus_max,
        limit_gpus=team.gpus_max,
        highest_bound_cpus=highest.cpus,
        highest_bound_gpus=highest.gpus,
    )
