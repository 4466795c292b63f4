"""Tracks which jobs are covered by their team's guaranteed share. No I/O.

The covered jobs are the first ones of each team in order of submission, as many as fit into the share together. When a
job is submitted or ends, only the boundary between covered and uncovered jobs moves. The resources of the covered jobs
are kept as a running total, so they are not summed again."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sortedcontainers import SortedList

from sorrelsill.placement.team_quotas import TeamQuotas
from sorrelsill.settings import Team
from sorrelsill.workers import ClusterState, Job

_MICRO = 1_000_000  # amounts are added as integers, in millionths: repeated sums of floats would drift


@dataclass(frozen=True, slots=True, order=True)
class _ShareEntry:
    """A job and the resources of all its tasks in millionths; sorted by order of submission."""

    submitted: float
    order: int
    job_id: str
    cpus: int
    gpus: int


class _TeamShare:
    """The jobs of one team in order of submission; the first `_covered_count` are covered by its guaranteed share."""

    def __init__(self, team: Team) -> None:
        self._share_cpus = round(team.cpus * _MICRO) + 1
        self._share_gpus = round(team.gpus * _MICRO) + 1
        self._entries: SortedList[_ShareEntry] = SortedList()
        self._covered_count = 0
        self._used_cpus = 0
        self._used_gpus = 0

    def add(self, entry: _ShareEntry) -> bool:
        """Add a job; return whether it is covered before `update_coverage` moves the boundary."""
        position = self._entries.bisect_left(entry)
        self._entries.add(entry)
        if position >= self._covered_count:
            return False
        self._covered_count += 1
        self._change_usage(entry, 1)
        return True

    def remove(self, entry: _ShareEntry) -> None:
        position = self._entries.bisect_left(entry)
        self._entries.remove(entry)
        if position < self._covered_count:
            self._covered_count -= 1
            self._change_usage(entry, -1)

    def _change_usage(self, entry: _ShareEntry, sign: int) -> None:
        self._used_cpus += sign * entry.cpus
        self._used_gpus += sign * entry.gpus

    def _within_share(self, additional: _ShareEntry | None = None) -> bool:
        cpus = self._used_cpus + (additional.cpus if additional is not None else 0)
        gpus = self._used_gpus + (additional.gpus if additional is not None else 0)
        return cpus <= self._share_cpus and gpus <= self._share_gpus

    def update_coverage(self, guaranteed_jobs: set[str], changed_jobs: set[str]) -> None:
        """Move the boundary to where the guaranteed share is used up. Updates `guaranteed_jobs`, and adds the jobs
        whose coverage changed to `changed_jobs`."""
        while self._covered_count and not self._within_share():
            self._covered_count -= 1
            last_covered = self._entries[self._covered_count]
            self._change_usage(last_covered, -1)
            guaranteed_jobs.discard(last_covered.job_id)
            changed_jobs.add(last_covered.job_id)
        while self._covered_count < len(self._entries) and self._within_share(self._entries[self._covered_count]):
            first_uncovered = self._entries[self._covered_count]
            self._change_usage(first_uncovered, 1)
            self._covered_count += 1
            guaranteed_jobs.add(first_uncovered.job_id)
            changed_jobs.add(first_uncovered.job_id)


class GuaranteedShares:
    """Tracks the live jobs; `guaranteed_jobs` holds those covered by their team's guaranteed share."""

    def __init__(self, quotas: TeamQuotas) -> None:
        self._quotas = quotas
        self._shares: dict[str, _TeamShare] = {}
        self._entries_by_job: dict[str, tuple[_TeamShare, _ShareEntry]] = {}  # by job id; the share is its team's
        self.guaranteed_jobs: set[str] = set()

    def reset(self) -> None:
        """Clear all state at the start of a new term."""
        self._shares.clear()
        self._entries_by_job.clear()
        self.guaranteed_jobs.clear()

    def update(self, cluster: ClusterState, changed: Iterable[str]) -> set[str]:
        """Process jobs that were submitted or have ended. Return the live jobs whose coverage changed because the
        boundary moved."""
        changed_jobs: set[str] = set()
        touched_shares: dict[int, _TeamShare] = {}
        for job_id in changed:
            job = cluster.jobs.get(job_id)
            share = self._remove(job_id) if job is None else self._add(job)
            if share is not None:
                touched_shares[id(share)] = share
        for share in touched_shares.values():
            share.update_coverage(self.guaranteed_jobs, changed_jobs)
        return changed_jobs

    def _add(self, job: Job) -> _TeamShare | None:
        spec = job.spec
        team = self._quotas.get(spec.team)
        if team is None or spec.job_id in self._entries_by_job:
            return None
        share = self._shares.get(team.name)
        if share is None:
            share = self._shares[team.name] = _TeamShare(team)
        cpus, gpus = (round(each * spec.task_count * _MICRO) for each in (spec.cpus, spec.gpus))
        entry = _ShareEntry(job.submitted, job.order, spec.job_id, cpus, gpus)
        self._entries_by_job[spec.job_id] = share, entry
        if share.add(entry):
            self.guaranteed_jobs.add(spec.job_id)
        return share

    def _remove(self, job_id: str) -> _TeamShare | None:
        self.guaranteed_jobs.discard(job_id)
        known = self._entries_by_job.pop(job_id, None)
        if known is None:
            return None
        share, entry = known
        share.remove(entry)
        return share
