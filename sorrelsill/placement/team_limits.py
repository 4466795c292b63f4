"""Teams' guarantees and limits, as far as placing keeps them. Pure."""

from __future__ import annotations

from sorrelsill import constants
from sorrelsill.jobs import JobSpec
from sorrelsill.settings import Team
from sorrelsill.workers import ClusterState


class TeamLimits:
    """What each team may use at the most, and which teams are guests."""

    def __init__(self, teams: list[Team]) -> None:
        self._teams = {team.name: team for team in teams}

    def get(self, name: str) -> Team | None:
        """The team of that name."""
        return self._teams.get(name)

    def allows(self, cluster: ClusterState, spec: JobSpec, tasks: int = 1) -> bool:
        """Whether so many more tasks of the job keep its team under its limit."""
        team = self._teams.get(spec.team)
        if team is None:
            return False
        if not team.cpus_max and not team.gpus_max:
            return True
        unseen_cpus, unseen_gpus = cluster.unaccounted(spec.team)
        cpus = cluster.team_cpus.get(spec.team, 0.0) + unseen_cpus + spec.cpus * tasks
        gpus = cluster.team_gpus.get(spec.team, 0.0) + unseen_gpus + spec.gpus * tasks
        return (not team.cpus_max or cpus <= team.cpus_max + constants.AMOUNT_TOLERANCE) and (
            not team.gpus_max or gpus <= team.gpus_max + constants.AMOUNT_TOLERANCE
        )

    def is_guest(self, name: str) -> bool:
        """Guests are teams without a guarantee: they run on what nobody else needs."""
        team = self._teams.get(name)
        return team is not None and not team.cpus and not team.gpus
