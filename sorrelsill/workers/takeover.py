"""What a new leader can't see yet: machines of the registry that it has not heard, and what may run on them.

Until such a machine has shown the new token or its lease has run out, it may hold tasks of jobs that an earlier leader
started. Those jobs get no new starts, and what their teams may use unseen counts toward the teams' limits."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from sorrelsill.fleet import Catalog
from sorrelsill.jobs import JobSpec, RosterEntry
from sorrelsill.workers.job import Job
from sorrelsill.workers.machine import Machine
from sorrelsill.workers.team_usage import Resources

MachineKind = tuple[str, str | None, bool]  # type, zone (None: not known), whether it is certainly a spot machine


def _may_hold(sort: MachineKind, spec: JobSpec) -> bool:
    machine_type, zone, spot = sort
    if (
        spec.machine_types is not None
        and machine_type
        and machine_type not in spec.machine_types
        or spot
        and not spec.spot
    ):
        return False
    return spec.zone is None or zone is None or zone == spec.zone


class TakeoverAccounting:
    """The machines not confirmed in this term, and the resources that may be in use on them."""

    def __init__(self) -> None:
        self.unconfirmed: dict[str, MachineKind] = {}  # registered machines not yet heard with our token
        self.unconfirmed_addresses: dict[str, str] = {}
        self._unconfirmed_kinds: dict[MachineKind, int] = {}
        self._ended_unaccounted: dict[str, tuple[float, float]] | None = None  # team -> what its ended jobs may use
        self._unaccounted: tuple[tuple[float, float], dict[str, tuple[float, float]] | None] | None = None

    def recount(self) -> None:
        """What the counts rest on has changed: work them out anew when they are next asked for."""
        self._unaccounted = None

    def expect_machines(self, roster: Iterable[tuple[str, Any]]) -> None:
        """Machines that an earlier leader may have given work: they have to be heard, or time out."""
        for name, value in roster:
            entry = RosterEntry.from_stored(value)
            # An entry of an earlier version lacks zone and kind: the machine may be any.
            sort = entry.machine_type, entry.zone, entry.spot
            if name in self.unconfirmed:
                # It stands in two parts of the roster. Found by reading: counted twice and heard once, it would have
                # held back every older job that it may hold for the whole term.
                self.confirm(name)
            self.unconfirmed[name] = sort
            self._unconfirmed_kinds[sort] = self._unconfirmed_kinds.get(sort, 0) + 1
            self.unconfirmed_addresses[name] = entry.addr
        self._unaccounted = None

    def expect_ended_jobs(self, ended: list[tuple[str, float, float]] | None) -> None:
        """Team, CPUs and GPUs that jobs lately over may still use; None if that is not known."""
        self._ended_unaccounted = None if ended is None else {}
        self._unaccounted = None
        for team, cpus, gpus in ended or ():
            self.count_ended(team, cpus, gpus)

    def count_ended(self, team: str, cpus: float, gpus: float) -> None:
        """A job that is over may still use so much."""
        if self._ended_unaccounted is not None:
            have = self._ended_unaccounted.get(team, (0.0, 0.0))
            self._ended_unaccounted[team] = have[0] + cpus, have[1] + gpus
            self._unaccounted = None

    def confirm(self, name: str) -> bool:
        """The machine was heard with the new token, or holds nothing any more. False if it was confirmed before."""
        sort = self.unconfirmed.pop(name, None)
        if sort is None:
            return False
        self._unconfirmed_kinds[sort] -= 1
        if not self._unconfirmed_kinds[sort]:
            del self._unconfirmed_kinds[sort]
        self._unaccounted = None
        return True

    def settled(self, job: Job) -> bool:
        """Whether everything an earlier leader may have started of a job is accounted for. A machine that is not heard
        yet can hold tasks only of jobs that allow its type, zone and kind."""
        return not job.old or not any(_may_hold(sort, job.spec) for sort in self._unconfirmed_kinds)

    def unaccounted(self, team: str, jobs: dict[str, Job], catalog: Catalog, unknown: Iterable[Machine]) -> Resources:
        """What tasks of a team may be using unseen, which count toward its limit.

        On machines not heard yet: what is neither done nor on a heard machine of its jobs that such a machine may hold,
        and what is left of its jobs lately over; never more than all such machines. Found by reasoning: with their
        whole size counted for every team, fifty silent machines filled small teams' limits for a lease.

        On machines heard: tasks of jobs that were over before this term began, and are not gone yet. Found in an
        incident: a job cancelled while nobody led was not counted, and its team went over its limit."""
        if self._unaccounted is None:
            self._unaccounted = self._count_unaccounted(jobs, catalog)
        size, by_team = self._unaccounted
        cpus, gpus = size
        if by_team is not None:
            mine = by_team.get(team, (0.0, 0.0))
            cpus, gpus = min(cpus, mine[0]), min(gpus, mine[1])
        for machine in unknown:
            cpus += max(0.0, machine.cap_cpus - machine.cpus)
            gpus += max(0.0, machine.cap_gpus - machine.gpus)
        return Resources(cpus, gpus)

    def _count_unaccounted(
        self, jobs: dict[str, Job], catalog: Catalog
    ) -> tuple[tuple[float, float], dict[str, tuple[float, float]] | None]:
        cpus = gpus = 0.0
        for (machine_type, _, _), count in self._unconfirmed_kinds.items():
            kind = catalog.machine_types.get(machine_type)
            # A type that is not known may be of any size.
            cpus += kind.cpus * count if kind is not None else float("inf")
            gpus += kind.gpus * count if kind is not None else float("inf")
        size = cpus, gpus
        if self._ended_unaccounted is None or not self.unconfirmed:
            return size, None
        by_team = dict(self._ended_unaccounted)
        for job in jobs.values():
            if not self.settled(job):
                have = by_team.get(job.spec.team, (0.0, 0.0))
                left = job.unknown
                by_team[job.spec.team] = have[0] + left * job.spec.cpus, have[1] + left * job.spec.gpus
        return size, by_team
