"""Which jobs lie within their team's guarantee: those that fit into it together with the team's earlier ones. Pure.

In the order of submission these are the first jobs of each team, up to where the sum passes the guarantee. So a job
that comes or ends moves that border, and nothing else has to be added up anew."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sortedcontainers import SortedList

from sorrelsill.placement.team_limits import TeamLimits
from sorrelsill.settings import Team
from sorrelsill.workers import ClusterState, Job

_MICRO = 1_000_000  # amounts are added up in millionths, as whole numbers: sums of fractions would drift


@dataclass(frozen=True, slots=True, order=True)
class _Claimant:
    """A job in its team's order of submission, and all that its tasks take, in millionths."""

    submitted: float
    order: int
    job_id: str
    cpus: int
    gpus: int


class _TeamShare:
    """The jobs of one team; the first `inside` of them lie within its guarantee."""

    def __init__(self, team: Team) -> None:
        self._cpus = round(team.cpus * _MICRO) + 1
        self._gpus = round(team.gpus * _MICRO) + 1
        self._claimants: SortedList[_Claimant] = SortedList()
        self._inside = 0
        self._used_cpus = 0
        self._used_gpus = 0

    def add(self, claimant: _Claimant) -> bool:
        """Whether it lies inside, as long as the border stays where it is."""
        at = self._claimants.bisect_left(claimant)
        self._claimants.add(claimant)
        if at >= self._inside:
            return False
        self._inside += 1
        self._use(claimant, 1)
        return True

    def remove(self, claimant: _Claimant) -> None:
        at = self._claimants.bisect_left(claimant)
        self._claimants.remove(claimant)
        if at < self._inside:
            self._inside -= 1
            self._use(claimant, -1)

    def _use(self, claimant: _Claimant, sign: int) -> None:
        self._used_cpus += sign * claimant.cpus
        self._used_gpus += sign * claimant.gpus

    def _fits(self, more: _Claimant | None = None) -> bool:
        cpus = self._used_cpus + (more.cpus if more is not None else 0)
        gpus = self._used_gpus + (more.gpus if more is not None else 0)
        return cpus <= self._cpus and gpus <= self._gpus

    def move_border(self, inside: set[str], moved: set[str]) -> None:
        """Bring the border to where the guarantee ends; jobs that it passes are noted."""
        while self._inside and not self._fits():
            self._inside -= 1
            last = self._claimants[self._inside]
            self._use(last, -1)
            inside.discard(last.job_id)
            moved.add(last.job_id)
        while self._inside < len(self._claimants) and self._fits(self._claimants[self._inside]):
            following = self._claimants[self._inside]
            self._use(following, 1)
            self._inside += 1
            inside.add(following.job_id)
            moved.add(following.job_id)


class Guarantees:
    """Follows the live jobs; `inside` holds those within their team's guarantee."""

    def __init__(self, teams: TeamLimits) -> None:
        self._teams = teams
        self._shares: dict[str, _TeamShare] = {}
        self._known: dict[str, tuple[_TeamShare, _Claimant]] = {}  # by job
        self.inside: set[str] = set()

    def reset(self) -> None:
        """A new term begins."""
        self._shares.clear()
        self._known.clear()
        self.inside.clear()

    def update(self, cluster: ClusterState, changed: Iterable[str]) -> set[str]:
        """Take in jobs that have come or are over. Returns the live jobs that are inside now and were not, or the
        other way round."""
        moved: set[str] = set()
        touched: dict[int, _TeamShare] = {}
        for job_id in changed:
            job = cluster.jobs.get(job_id)
            share = self._remove(job_id) if job is None else self._add(job)
            if share is not None:
                touched[id(share)] = share
        for share in touched.values():
            share.move_border(self.inside, moved)
        return moved

    def _add(self, job: Job) -> _TeamShare | None:
        spec = job.spec
        team = self._teams.get(spec.team)
        if team is None or spec.job_id in self._known:
            return None
        share = self._shares.get(team.name)
        if share is None:
            share = self._shares[team.name] = _TeamShare(team)
        cpus, gpus = (round(each * spec.task_count * _MICRO) for each in (spec.cpus, spec.gpus))
        claimant = _Claimant(job.submitted, job.order, spec.job_id, cpus, gpus)
        self._known[spec.job_id] = share, claimant
        if share.add(claimant):
            self.inside.add(spec.job_id)
        return share

    def _remove(self, job_id: str) -> _TeamShare | None:
        self.inside.discard(job_id)
        known = self._known.pop(job_id, None)
        if known is None:
            return None
        share, claimant = known
        share.remove(claimant)
        return share
