"""What a new leader can't see yet: machines of the registry that it has not heard, and what may run on them.

Until such a machine has shown the new fencing token or its lease has run out, it may hold tasks of jobs that an
earlier leader started. Those jobs get no new starts, and what their teams may use unseen counts toward the teams'
limits."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from sorrelsill.model import NOTHING, Catalog, JobSpec, RegistryEntry, Resources, TaskSet, resources_of
from sorrelsill.workers.ended_jobs import EndedJob
from sorrelsill.workers.job import Job
from sorrelsill.workers.machine import Machine

_ANY_SIZE = Resources(float("inf"), float("inf"))


class MachineKind(NamedTuple):
    """What a registry entry tells of a machine."""

    machine_type: str
    zone: str | None  # None: not known
    spot: bool  # whether it is certainly a spot machine

    def may_hold(self, spec: JobSpec) -> bool:
        """Whether a task of the job may run on such a machine."""
        if self.spot and not spec.spot_allowed:
            return False
        if self.machine_type and spec.machine_types is not None and self.machine_type not in spec.machine_types:
            return False
        return spec.zone is None or self.zone is None or self.zone == spec.zone


@dataclass(frozen=True, slots=True)
class _Unobserved:
    """What may be in use on machines that are not heard."""

    by_team: dict[str, Resources]  # by tasks of each team
    others: Resources  # by tasks of any other team

    def of(self, team: str) -> Resources:
        return self.by_team.get(team, self.others)


class FailoverReconciliation:
    """The machines not confirmed in this term, and the resources that may be in use on them."""

    def __init__(self) -> None:
        self.unconfirmed: dict[str, MachineKind] = {}  # registered machines not yet heard with our fencing token
        self.unconfirmed_addresses: dict[str, str] = {}
        self._unconfirmed_kinds: dict[MachineKind, int] = {}
        self.ended: dict[str, EndedJob] = {}  # jobs that are over, of which such machines may hold tasks
        self._all_ended_known = False  # no other job can have left tasks there
        self._unobserved: _Unobserved | None = None

    def recount(self) -> None:
        """What the counts rest on has changed: work them out anew when they are next needed."""
        self._unobserved = None

    def expect_machines(self, registered: Iterable[tuple[str, Any]]) -> None:
        """Machines that an earlier leader may have given work: they have to be heard, or time out."""
        for name, value in registered:
            entry = RegistryEntry.from_stored(value)
            # An entry of an earlier version lacks zone and kind: the machine may be any.
            kind = MachineKind(entry.machine_type, entry.zone, entry.spot)
            if name in self.unconfirmed:
                # It stands in two parts of the registry. Guards against counting it twice and hearing it once, which
                # would hold back every older job that it may hold for the whole term.
                self.confirm(name)
            self.unconfirmed[name] = kind
            self._unconfirmed_kinds[kind] = self._unconfirmed_kinds.get(kind, 0) + 1
            self.unconfirmed_addresses[name] = entry.addr
        self._unobserved = None

    def add_ended_job(self, spec: JobSpec, accounted: TaskSet) -> EndedJob:
        """A job is over; all but the tasks accounted for may still run on machines that are not heard."""
        ended = self.ended[spec.job_id] = EndedJob(spec, accounted)
        self._unobserved = None
        return ended

    def set_all_ended_known(self, known: bool) -> None:
        """Whether the jobs added are all that were over before this term and may have left tasks."""
        self._all_ended_known = known
        self._unobserved = None

    def forget_ended_jobs(self) -> None:
        """Once all machines are heard, tasks of these are bound where they are. Not in the middle of a heartbeat: the
        last machine's tasks are still to be found then."""
        if not self.unconfirmed:
            self.ended.clear()

    def confirm(self, name: str) -> bool:
        """The machine was heard with the new fencing token, or holds nothing any more. False if it was confirmed
        before."""
        kind = self.unconfirmed.pop(name, None)
        if kind is None:
            return False
        self._unconfirmed_kinds[kind] -= 1
        if not self._unconfirmed_kinds[kind]:
            del self._unconfirmed_kinds[kind]
        self._unobserved = None
        return True

    def reconciled(self, job: Job) -> bool:
        """Whether everything an earlier leader may have started of a job is accounted for. A machine that is not heard
        yet can hold tasks only of jobs that allow its type, zone and kind."""
        return not job.from_earlier_term or not self._may_be_unheard(job.spec)

    def _may_be_unheard(self, spec: JobSpec) -> bool:
        """Whether a machine that is not heard may hold tasks of the job."""
        return any(kind.may_hold(spec) for kind in self._unconfirmed_kinds)

    def unobserved(
        self, team: str, jobs: dict[str, Job], catalog: Catalog, with_unknown_tasks: Iterable[Machine]
    ) -> Resources:
        """What tasks of a team may be using unseen, which count toward its limit.

        On machines not heard yet: what is neither done nor on a heard machine of its jobs, live ones and those lately
        over, that such a machine may hold; never more than all such machines. With their whole size
        counted for every team, fifty silent machines would fill small teams' limits for a lease.

        On machines heard, everything is bound with its own size, tasks of jobs lately over as well. Counted by
        the room left on their machine, other work could take that room. Of tasks of jobs that are
        not known the size can't be told, so that room counts, and the machine takes no work until they are gone."""
        if self._unobserved is None:
            self._unobserved = self._count_unobserved(jobs, catalog)
        unobserved = self._unobserved.of(team)
        for machine in with_unknown_tasks:
            unobserved = unobserved.plus(_room_left(machine, catalog))
        return unobserved

    def _count_unobserved(self, jobs: dict[str, Job], catalog: Catalog) -> _Unobserved:
        size = NOTHING
        for kind, count in self._unconfirmed_kinds.items():
            size = size.plus(_size_of(kind.machine_type, count, catalog))
        if not self._all_ended_known or not self.unconfirmed:
            return _Unobserved({}, size)
        by_team: dict[str, Resources] = {}
        for ended in self.ended.values():
            if self._may_be_unheard(ended.spec):
                _add(by_team, ended.spec, ended.unobserved_count)
        for job in jobs.values():
            if not self.reconciled(job):
                _add(by_team, job.spec, job.unobserved_count)
        return _Unobserved({team: amount.at_most(size) for team, amount in by_team.items()}, NOTHING)


def _size_of(machine_type: str, count: int, catalog: Catalog) -> Resources:
    known = catalog.machine_types.get(machine_type)
    if known is None:
        return _ANY_SIZE  # a type that is not known may be of any size
    return Resources(known.cpus * count, known.gpus * count)


def _room_left(machine: Machine, catalog: Catalog) -> Resources:
    if machine.machine_type not in catalog.machine_types:
        return _ANY_SIZE  # guards against a machine whose size is not known counting as one without room
    return Resources(machine.capacity_cpus - machine.cpus, machine.capacity_gpus - machine.gpus).at_least(NOTHING)


def _add(by_team: dict[str, Resources], spec: JobSpec, tasks: int) -> None:
    by_team[spec.team] = by_team.get(spec.team, NOTHING).plus(resources_of(spec, tasks))
