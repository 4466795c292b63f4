"""What a new leader does not know yet: registered machines that are unconfirmed in its term, and tasks that may run on
them.

Until a machine has acknowledged the new fencing token or its lease has expired, it may hold tasks that an earlier
leader started. The jobs of such tasks get no new starts, and the resources that the tasks may be using count toward
their teams' limits."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from sorrelsill.model import NO_RESOURCES, Catalog, JobSpec, RegistryEntry, Resources, TaskSet, resources_of
from sorrelsill.workers.ended_jobs import EndedJob
from sorrelsill.workers.job import Job
from sorrelsill.workers.machine import Machine

_UNBOUNDED = Resources(float("inf"), float("inf"))


class MachineKind(NamedTuple):
    """The properties in a machine's registry entry that decide which tasks the machine may hold."""

    machine_type: str  # empty: not known
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
    """Resources that may be in use on unconfirmed machines."""

    by_team: dict[str, Resources]  # by the tasks of each team
    other_teams: Resources  # by the tasks of any team that is not in `by_team`

    def for_team(self, team: str) -> Resources:
        return self.by_team.get(team, self.other_teams)


class FailoverReconciliation:
    """The machines not confirmed in this term, and the resources that may be in use on them."""

    def __init__(self) -> None:
        self.unconfirmed: dict[str, MachineKind] = {}  # registered machines not confirmed in this term
        self.unconfirmed_addresses: dict[str, str] = {}
        self._unconfirmed_by_kind: dict[MachineKind, int] = {}
        self.ended: dict[str, EndedJob] = {}  # ended jobs whose tasks may still run on unconfirmed machines
        self._all_ended_known = False  # no ended job outside `ended` can have left tasks running
        self._unobserved: _Unobserved | None = None  # None: to be computed when it is next needed

    def invalidate_unobserved(self) -> None:
        """Discard the computed resources, since something that they depend on has changed. They are computed again when
        next needed."""
        self._unobserved = None

    def expect_machines(self, registered: Iterable[tuple[str, Any]]) -> None:
        """Add registered machines, to which an earlier leader may have assigned tasks. Each of them stays unconfirmed
        until it acknowledges our fencing token or its lease expires."""
        for name, value in registered:
            entry = RegistryEntry.from_stored(value)
            # An entry from the previous version has no zone and no spot flag: the machine is then assumed to be able to
            # hold tasks of any zone, and also tasks that must not run on spot machines.
            kind = MachineKind(entry.machine_type, entry.zone, entry.spot)
            if name in self.unconfirmed:
                # The machine is in two keys of the registry. If it were counted twice but confirmed once, jobs from
                # earlier terms whose tasks it may hold would get no new starts for the whole term.
                self.confirm(name)
            self.unconfirmed[name] = kind
            self._unconfirmed_by_kind[kind] = self._unconfirmed_by_kind.get(kind, 0) + 1
            self.unconfirmed_addresses[name] = entry.addr
        self._unobserved = None

    def add_ended_job(self, spec: JobSpec, accounted: TaskSet) -> EndedJob:
        """Add a job that has ended. All its tasks except those in `accounted` may still run on unconfirmed machines."""
        ended = self.ended[spec.job_id] = EndedJob(spec, accounted)
        self._unobserved = None
        return ended

    def set_all_ended_known(self, known: bool) -> None:
        """Set whether the ended jobs added include all that ended before this term and may have left tasks running."""
        self._all_ended_known = known
        self._unobserved = None

    def forget_ended_jobs(self) -> None:
        """Forget the ended jobs once all machines are confirmed, since all their remaining tasks are bound then. Must
        not be called while a heartbeat is processed: the last machine is confirmed before its tasks are adopted, and
        the adoption still needs the ended jobs."""
        if not self.unconfirmed:
            self.ended.clear()

    def confirm(self, name: str) -> bool:
        """Confirm a machine: it has acknowledged our fencing token, or it holds no tasks any more. Returns False if it
        is not among the unconfirmed machines."""
        kind = self.unconfirmed.pop(name, None)
        if kind is None:
            return False
        self._unconfirmed_by_kind[kind] -= 1
        if not self._unconfirmed_by_kind[kind]:
            del self._unconfirmed_by_kind[kind]
        self._unobserved = None
        return True

    def is_reconciled(self, job: Job) -> bool:
        """Whether all tasks of a job that an earlier leader may have started are accounted for. An unconfirmed machine
        can hold only tasks of jobs that allow its type and its zone, and spot machines if it is one."""
        return not job.from_earlier_term or not self._may_run_on_unconfirmed(job.spec)

    def _may_run_on_unconfirmed(self, spec: JobSpec) -> bool:
        """Whether an unconfirmed machine may hold tasks of the job."""
        return any(kind.may_hold(spec) for kind in self._unconfirmed_by_kind)

    def unobserved(
        self, team: str, jobs: dict[str, Job], catalog: Catalog, machines_with_unknown_tasks: Iterable[Machine]
    ) -> Resources:
        """Resources that a team's tasks may be using without being bound; they count toward the team's limit.

        Unconfirmed machines: a task of one of the team's live or recently ended jobs counts if it is neither done nor
        bound to any machine and an unconfirmed machine may hold it. All of them together count as at most the
        capacity of the unconfirmed machines. Only while some recently ended jobs are not known does that whole capacity
        count for every team. If it always did, fifty silent machines would exhaust the limits of small teams for the
        duration of a lease.

        Confirmed machines: all tasks are bound with their own sizes, including those of recently ended jobs. Counting
        the free capacity of the machine instead of these tasks would be wrong: other tasks could take it. Tasks of
        unknown jobs have no known size: for them the free capacity of their machine counts, and the machine gets no new
        tasks until they are gone."""
        if self._unobserved is None:
            self._unobserved = self._count_unobserved(jobs, catalog)
        unobserved = self._unobserved.for_team(team)
        for machine in machines_with_unknown_tasks:
            unobserved = unobserved.plus(_free_capacity(machine, catalog))
        return unobserved

    def _count_unobserved(self, jobs: dict[str, Job], catalog: Catalog) -> _Unobserved:
        capacity = NO_RESOURCES
        for kind, count in self._unconfirmed_by_kind.items():
            capacity = capacity.plus(_total_capacity(kind.machine_type, count, catalog))
        if not self._all_ended_known or not self.unconfirmed:
            return _Unobserved({}, capacity)
        by_team: dict[str, Resources] = {}
        for ended in self.ended.values():
            if self._may_run_on_unconfirmed(ended.spec):
                _add_tasks(by_team, ended.spec, ended.unobserved_count)
        for job in jobs.values():
            if not self.is_reconciled(job):
                _add_tasks(by_team, job.spec, job.unobserved_count)
        return _Unobserved({team: amount.at_most(capacity) for team, amount in by_team.items()}, NO_RESOURCES)


def _total_capacity(machine_type: str, count: int, catalog: Catalog) -> Resources:
    known = catalog.machine_types.get(machine_type)
    if known is None:
        return _UNBOUNDED  # a machine of unknown type may have any capacity
    return Resources(known.cpus * count, known.gpus * count)


def _free_capacity(machine: Machine, catalog: Catalog) -> Resources:
    if machine.machine_type not in catalog.machine_types:
        return _UNBOUNDED  # its capacity of 0 means unknown, not that the machine is full
    return Resources(machine.capacity_cpus - machine.cpus, machine.capacity_gpus - machine.gpus).at_least(NO_RESOURCES)


def _add_tasks(by_team: dict[str, Resources], spec: JobSpec, tasks: int) -> None:
    by_team[spec.team] = by_team.get(spec.team, NO_RESOURCES).plus(resources_of(spec, tasks))
