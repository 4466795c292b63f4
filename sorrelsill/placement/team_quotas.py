"""Team quotas and guaranteed shares that the scheduler enforces. No I/O."""

from __future__ import annotations

import logging

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.model import JobSpec
from sorrelsill.settings import Team
from sorrelsill.workers import ClusterState, TeamUse

log = logging.getLogger(__name__)


class TeamQuotas:
    """The quota of each team, and whether it is a borrowing team."""

    def __init__(self, teams: list[Team]) -> None:
        self._teams = {team.name: team for team in teams}

    def get(self, name: str) -> Team | None:
        """Return the team with that name, or None if there is none."""
        return self._teams.get(name)

    def allows(self, cluster: ClusterState, spec: JobSpec, tasks: int = 1) -> bool:
        """Return whether starting `tasks` more tasks of the job keeps its team within its quota. All quota checks are
        made here."""
        team = self._teams.get(spec.team)
        if team is None:
            return False
        if not team.cpus_max and not team.gpus_max:
            return True
        use = cluster.team_use(spec.team)
        # Called thousands of times per second while teams are at their quota, so it adds plain numbers instead of
        # allocating Resources objects.
        cpus = use.bound.cpus + use.unobserved.cpus + spec.cpus * tasks
        gpus = use.bound.gpus + use.unobserved.gpus + spec.gpus * tasks
        allowed = (not team.cpus_max or cpus <= team.cpus_max + constants.AMOUNT_TOLERANCE) and (
            not team.gpus_max or gpus <= team.gpus_max + constants.AMOUNT_TOLERANCE
        )
        if not allowed:
            cluster.counters.start_refused()
        if log.isEnabledFor(logging.DEBUG):
            _log_quota_check(cluster, spec, tasks, team, use, allowed)
        return allowed

    def is_borrower(self, name: str) -> bool:
        """Return whether the team is a borrowing team: it has no guaranteed share and runs on capacity that no other
        team needs."""
        team = self._teams.get(name)
        return team is not None and not team.cpus and not team.gpus


def _log_quota_check(cluster: ClusterState, spec: JobSpec, tasks: int, team: Team, use: TeamUse, allowed: bool) -> None:
    log_event(
        log,
        logging.DEBUG,
        "start_allowed" if allowed else "start_refused",
        job=spec.job_id,
        team=spec.team,
        asked_cpus=spec.cpus * tasks,
        bound_cpus=use.bound.cpus,
        unaccounted_cpus=use.unobserved.cpus,
        limit_cpus=team.cpus_max,
        asked_gpus=spec.gpus * tasks,
        bound_gpus=use.bound.gpus,
        unaccounted_gpus=use.unobserved.gpus,
        limit_gpus=team.gpus_max,
        unconfirmed=len(cluster.failover.unconfirmed),
    )
