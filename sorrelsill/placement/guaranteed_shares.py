"""Which jobs are covered by their team's guaranteed share: those that fit into it with the team's earlier ones. Pure.

In the order of submission these are the first jobs of each team, up to where the sum exceeds the share. So a job
that is submitted or ends moves that boundary, and nothing else has to be summed again."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sortedcontainers import SortedList

from sorrelsill.placement.team_quotas import TeamQuotas
from sorrelsill.settings import Team
from sorrelsill.workers import ClusterState, Job

_MICRO = 1_000_000  # amounts are added up in millionths, as whole numbers: sums of fractions would drift


@dataclass(frozen=True, slots=True, order=True)
class _ShareEntry:
    """A job in its team's order of submission, and all that its tasks take, in millionths."""

    submitted: float
    order: int
    job_id: str
    cpus: int
    gpus: int


class _TeamShare:
    """The jobs of one team; the first `_covered_count` of them are covered by its guaranteed share."""

    def __init__(self, team: Team) -> None:
        self._cpus = round(team.cpus * _MICRO) + 1
        self._gpus = round(team.gpus * _MICRO) + 1
        self._entries: SortedList[_ShareEntry] = SortedList()
        self._covered_count = 0
        self._used_cpus = 0
        self._used_gpus = 0

    def add(self, entry: _ShareEntry) -> bool:
        """Whether it is covered, as long as the boundary stays where it is."""
        at = self._entries.bisect_left(entry)
        self._entries.add(entry)
        if at >= self._covered_count:
            return False
        self._covered_count += 1
        self._use(entry, 1)
        return True

    def remove(self, entry: _ShareEntry) -> None:
        at = self._entries.bisect_left(entry)
        self._entries.remove(entry)
        if at < self._covered_count:
            self._covered_count -= 1
            self._use(entry, -1)

    def _use(self, entry: _ShareEntry, sign: int) -> None:
        self._used_cpus += sign * entry.cpus
        self._used_gpus += sign * entry.gpus

    def _fits(self, more: _ShareEntry | None = None) -> bool:
        cpus = self._used_cpus + (more.cpus if more is not None else 0)
        gpus = self._used_gpus + (more.gpus if more is not None else 0)
        return cpus <= self._cpus and gpus <= self._gpus

    def update_coverage(self, guaranteed_jobs: set[str], changed_jobs: set[str]) -> None:
        """Move the boundary to where the guaranteed share ends; jobs that it passes are added to `changed_jobs`."""
        while self._covered_count and not self._fits():
            self._covered_count -= 1
            last = self._entries[self._covered_count]
            self._use(last, -1)
            guaranteed_jobs.discard(last.job_id)
            changed_jobs.add(last.job_id)
        while self._covered_count < len(self._entries) and self._fits(self._entries[self._covered_count]):
            following = self._entries[self._covered_count]
            self._use(following, 1)
            self._covered_count += 1
            guaranteed_jobs.add(following.job_id)
            changed_jobs.add(following.job_id)


class GuaranteedShares:
    """Follows the live jobs; `guaranteed_jobs` holds those covered by their team's guaranteed share."""

    def __init__(self, teams: TeamQuotas) -> None:
        self._teams = teams
        self._shares: dict[str, _TeamShare] = {}
        self._known: dict[str, tuple[_TeamShare, _ShareEntry]] = {}  # by job
        self.guaranteed_jobs: set[str] = set()

    def reset(self) -> None:
        """A new term begins."""
        self._shares.clear()
        self._known.clear()
        self.guaranteed_jobs.clear()

    def update(self, cluster: ClusterState, changed: Iterable[str]) -> set[str]:
        """Take in jobs that were submitted or have ended. Returns the live jobs that are covered now and were not, or
        the other way round."""
        changed_jobs: set[str] = set()
        touched: dict[int, _TeamShare] = {}
        for job_id in changed:
            job = cluster.jobs.get(job_id)
            share = self._remove(job_id) if job is None else self._add(job)
            if share is not None:
                touched[id(share)] = share
        for share in touched.values():
            share.update_coverage(self.guaranteed_jobs, changed_jobs)
        return changed_jobs

    def _add(self, job: Job) -> _TeamShare | None:
        spec = job.spec
        team = self._teams.get(spec.team)
        if team is None or spec.job_id in self._known:
            return None
        share = self._shares.get(team.name)
        if share is None:
            share = self._shares[team.name] = _TeamShare(team)
        cpus, gpus = (round(each * spec.task_count * _MICRO) for each in (spec.cpus, spec.gpus))
        entry = _ShareEntry(job.submitted, job.order, spec.job_id, cpus, gpus)
        self._known[spec.job_id] = share, entry
        if share.add(entry):
            self.guaranteed_jobs.add(spec.job_id)
        return share

    def _remove(self, job_id: str) -> _TeamShare | None:
        self.guaranteed_jobs.discard(job_id)
        known = self._known.pop(job_id, None)
        if known is None:
            return None
        share, entry = known
        share.remove(entry)
        return share
