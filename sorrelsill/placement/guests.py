"""Which guest teams have work on machines: their work may be stopped for others. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from sorrelsill.placement.team_limits import TeamLimits
from sorrelsill.workers import ClusterState


class Guests:
    """Follows the live jobs of teams without a guarantee."""

    def __init__(self, teams: TeamLimits) -> None:
        self._teams = teams
        self._team_of: dict[str, str] = {}  # job with tasks on machines -> its team
        self._jobs: dict[str, int] = {}  # team -> how many such jobs it has

    def reset(self) -> None:
        """A new term begins."""
        self._team_of.clear()
        self._jobs.clear()

    def update(self, cluster: ClusterState, changed: Iterable[str]) -> None:
        """Take in jobs that came, changed or are over."""
        for job_id in changed:
            job = cluster.jobs.get(job_id)
            if job is not None and job.bound and self._teams.is_guest(job.spec.team):
                if job_id not in self._team_of:
                    self._team_of[job_id] = job.spec.team
                    self._jobs[job.spec.team] = self._jobs.get(job.spec.team, 0) + 1
            elif job_id in self._team_of:
                team = self._team_of.pop(job_id)
                self._jobs[team] -= 1
                if not self._jobs[team]:
                    del self._jobs[team]

    def other_than(self, team: str) -> bool:
        """Whether guests of another team have work on machines."""
        return any(name != team for name in self._jobs)
