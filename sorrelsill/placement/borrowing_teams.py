"""Which borrowing teams (teams without a guarantee, which run on what nobody else needs) have tasks on machines: these
tasks may be preempted for other teams. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from sorrelsill.placement.team_quotas import TeamQuotas
from sorrelsill.workers import ClusterState


class BorrowingTeams:
    """Follows the live jobs of teams without a guarantee."""

    def __init__(self, teams: TeamQuotas) -> None:
        self._teams = teams
        self._team_of: dict[str, str] = {}  # job with tasks on machines -> its team
        self._jobs: dict[str, int] = {}  # team -> how many such jobs it has

    def reset(self) -> None:
        """A new term begins."""
        self._team_of.clear()
        self._jobs.clear()

    def update(self, cluster: ClusterState, changed: Iterable[str]) -> None:
        """Take in jobs that were submitted, changed or have ended."""
        for job_id in changed:
            job = cluster.jobs.get(job_id)
            if job is not None and job.bound and self._teams.is_borrower(job.spec.team):
                if job_id not in self._team_of:
                    self._team_of[job_id] = job.spec.team
                    self._jobs[job.spec.team] = self._jobs.get(job.spec.team, 0) + 1
            elif job_id in self._team_of:
                team = self._team_of.pop(job_id)
                self._jobs[team] -= 1
                if not self._jobs[team]:
                    del self._jobs[team]

    def any_other_than(self, team: str) -> bool:
        """Whether another borrowing team has work on machines."""
        return any(name != team for name in self._jobs)
