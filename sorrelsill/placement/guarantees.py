"""Which jobs lie within their team's guarantee: those that fit into it together with the team's earlier ones. Pure."""

from __future__ import annotations

from sorrelsill.placement.team_limits import TeamLimits
from sorrelsill.workers import ClusterState

_TOLERANCE = 1e-6  # CPUs or GPUs


def find_guaranteed(cluster: ClusterState, teams: TeamLimits) -> set[str]:
    """Jobs that fit into their team's guarantee together with the team's earlier unfinished ones."""
    used: dict[str, tuple[float, float]] = {}
    inside = set()
    for job in sorted(cluster.jobs.values(), key=lambda j: j.submitted):
        team = teams.get(job.spec.team)
        if team is None:
            continue
        cpus, gpus = used.get(team.name, (0.0, 0.0))
        cpus += job.spec.cpus * job.spec.shards
        gpus += job.spec.gpus * job.spec.shards
        used[team.name] = cpus, gpus
        if cpus <= team.cpus + _TOLERANCE and gpus <= team.gpus + _TOLERANCE:
            inside.add(job.spec.job_id)
    return inside
