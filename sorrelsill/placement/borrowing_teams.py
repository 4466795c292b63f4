"""Tracks which borrowing teams have tasks on machines. A borrowing team has no guaranteed share and runs on capacity
that no other team needs, so its tasks may be preempted for other teams. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from sorrelsill.placement.team_quotas import TeamQuotas
from sorrelsill.workers import ClusterState


class BorrowingTeams:
    """Counts, per team without a guaranteed share, the jobs that have tasks on machines."""

    def __init__(self, quotas: TeamQuotas) -> None:
        self._quotas = quotas
        self._team_of: dict[str, str] = {}  # job id -> its team; only jobs with tasks on machines
        self._job_counts: dict[str, int] = {}  # team -> number of such jobs

    def reset(self) -> None:
        """Clear all state at the start of a new term."""
        self._team_of.clear()
        self._job_counts.clear()

    def update(self, cluster: ClusterState, changed: Iterable[str]) -> None:
        """Process jobs that were submitted, changed or have ended."""
        for job_id in changed:
            job = cluster.jobs.get(job_id)
            if job is not None and job.bound and self._quotas.is_borrower(job.spec.team):
                if job_id not in self._team_of:
                    self._team_of[job_id] = job.spec.team
                    self._job_counts[job.spec.team] = self._job_counts.get(job.spec.team, 0) + 1
            elif job_id in self._team_of:
                team = self._team_of.pop(job_id)
                self._job_counts[team] -= 1
                if not self._job_counts[team]:
                    del self._job_counts[team]

    def any_team_except(self, team: str) -> bool:
        """Return whether a borrowing team other than `team` has tasks on machines."""
        return any(name != team for name in self._job_counts)
