"""Scheduling cycles: each waiting task goes to the best fit among a few sampled machines, under a time budget.

The order of jobs is that of `order.py`. A cycle that runs out of time is continued by the next one where it stopped."""

from __future__ import annotations

import enum
import random
from collections import deque
from collections.abc import Callable

from sorrelsill import constants
from sorrelsill.model import Priority
from sorrelsill.placement.borrowing_teams import BorrowingTeams
from sorrelsill.placement.candidates import CandidatePool, MachineChooser
from sorrelsill.placement.gang_headroom import GangHeadroom
from sorrelsill.placement.gang_scheduler import GangScheduler
from sorrelsill.placement.guaranteed_shares import GuaranteedShares
from sorrelsill.placement.job_queue import JobQueue
from sorrelsill.placement.objectives import ServiceLevelObjectives
from sorrelsill.placement.order import is_starved
from sorrelsill.placement.preemption import Preemption
from sorrelsill.placement.reservations import Reservations
from sorrelsill.placement.scheduling_cycle import SchedulingCycle, equivalence_class
from sorrelsill.placement.team_quotas import TeamQuotas
from sorrelsill.settings import Objective, Team
from sorrelsill.workers import ClusterState, Job, Machine, UnschedulableDemand


class _BindOutcome(enum.Enum):
    """Why no further task of a job was bound in a scheduling cycle."""

    ALL_BOUND = enum.auto()
    NO_ROOM = enum.auto()
    QUOTA_EXCEEDED = enum.auto()  # the team's quota is used up
    TRIAL_PENDING = enum.auto()  # a job that failed on every machine waits for the outcome of its trial tasks
    OUT_OF_TIME = enum.auto()


class Scheduler:
    """Binds waiting tasks to machines, one scheduling cycle after the other."""

    def __init__(
        self,
        teams: list[Team],
        objectives: list[Objective],
        rng: random.Random,
        sample: int,
        optimise_latency: bool = False,
    ) -> None:
        self._objectives = ServiceLevelObjectives(objectives)
        self._quotas = TeamQuotas(teams)
        self._reservations = Reservations()
        self._gang_headroom = GangHeadroom(self._objectives, optimise_latency)
        self._chooser = MachineChooser(
            self._objectives, self._reservations, self._gang_headroom, rng, sample, optimise_latency
        )
        self._guaranteed_shares = GuaranteedShares(self._quotas)
        self._queue = JobQueue(self._objectives, self._guaranteed_shares.guaranteed_jobs)
        self._borrowing_teams = BorrowingTeams(self._quotas)
        self._preemption = Preemption(
            self._quotas,
            self._objectives,
            self._reservations,
            self._guaranteed_shares.guaranteed_jobs,
            self._borrowing_teams,
            rng,
        )
        self._cluster: ClusterState | None = None  # the one whose changes the queue follows
        self._remaining: deque[str] = deque()  # jobs that the last cycle did not get to
        self._warm_until: dict[str, float] = {}  # job -> until when room preempted on warm machines is awaited
        self.unschedulable: dict[str, UnschedulableDemand] = {}  # by job; what the fleet may rent capacity for
        self._gangs = GangScheduler(
            self._quotas,
            self._objectives,
            self._reservations,
            self._gang_headroom,
            self._chooser,
            self._preemption,
            self.unschedulable,
        )

    def reset(self) -> None:
        """A new term begins."""
        self._cluster = None
        self._remaining.clear()
        self._queue.reset()
        self._guaranteed_shares.reset()
        self._borrowing_teams.reset()
        self._warm_until.clear()
        self._reservations.reset()
        self.unschedulable.clear()

    # --- scheduling cycle ---

    def run_cycle(self, cluster: ClusterState, now: float, clock: Callable[[], float], budget: float) -> bool:
        """Bind what fits. `budget` is in seconds of `clock`; False if it ran out before all jobs were considered."""
        begun = clock()
        if not self._remaining:
            self._start_cycle(cluster, now)
        self._gang_headroom.update(cluster)
        cycle = SchedulingCycle(cluster, now, lambda: clock() - begun > budget, cluster.index.ready)
        while self._remaining:
            job = cluster.jobs.get(self._remaining[0])
            if job is not None and job.waiting > 0:
                if not self._schedule_job(cycle, job):
                    return False
            elif job is not None:
                self.unschedulable.pop(job.spec.job_id, None)
            self._remaining.popleft()
        return True

    def _start_cycle(self, cluster: ClusterState, now: float) -> None:
        """Queue all waiting jobs again, in their order."""
        changed = cluster.take_changed_jobs()
        if self._cluster is not cluster:
            self._cluster = cluster
            changed = list(cluster.jobs)
        moved_jobs = self._guaranteed_shares.update(cluster, changed)
        self._borrowing_teams.update(cluster, changed)
        self._queue.update(cluster, [*changed, *sorted(moved_jobs)], now)
        self._remaining.extend(self._queue.in_order())
        for job_id in changed:
            if job_id not in cluster.jobs:
                self.unschedulable.pop(job_id, None)
                self._warm_until.pop(job_id, None)
        self._reservations.expire(cluster, now)

    def _schedule_job(self, cycle: SchedulingCycle, job: Job) -> bool:
        """False if the cycle's time budget is used up before all tasks of the job were considered."""
        self.unschedulable.pop(job.spec.job_id, None)
        if not cycle.cluster.failover.reconciled(job) or job.failures.next_trial_at > cycle.now:
            return True
        if job.spec.is_gang:
            self._gangs.schedule(cycle, job)
            return not cycle.out_of_time()
        outcome = self._bind_tasks(cycle, job)
        if outcome is _BindOutcome.OUT_OF_TIME:
            return False
        if outcome is not _BindOutcome.TRIAL_PENDING and job.waiting > 0:
            self._handle_unschedulable(cycle, job, limited=outcome is _BindOutcome.QUOTA_EXCEEDED)
        return True

    # --- single tasks ---

    def _bind_tasks(self, cycle: SchedulingCycle, job: Job) -> _BindOutcome:
        """Bind tasks of a job, one after the other, until none is left or none may be bound."""
        spec = job.spec
        equivalence = equivalence_class(spec)
        unconstrained = not (spec.spread_zones or spec.one_zone or job.avoid)
        pool: CandidatePool | None = None
        while (index := job.next_task()) is not None:
            if cycle.out_of_time():
                return _BindOutcome.OUT_OF_TIME
            if job.trials_left() <= 0:
                return _BindOutcome.TRIAL_PENDING
            if not self._quotas.allows(cycle.cluster, spec):
                job.note(f"waiting: the limit of {spec.team} is reached")
                return _BindOutcome.QUOTA_EXCEEDED
            machine = None
            if not (unconstrained and equivalence in cycle.unschedulable_classes):
                pool = pool or CandidatePool(cycle.cluster, spec)
                machine = self._chooser.choose(job, pool, cycle.now)
            if machine is None:
                if unconstrained:
                    cycle.unschedulable_classes.add(equivalence)
                return _BindOutcome.NO_ROOM
            misses_objective = self._cold_start_misses_objective(cycle.cluster, job, machine)
            if misses_objective and self._preempt_on_warm_machines(cycle, job):
                return _BindOutcome.NO_ROOM
            cycle.cluster.bind(job, index, machine, cycle.now)
            self._gang_headroom.deduct_task(spec, machine)
            self._reservations.on_task_bound(spec.job_id, machine)
        return _BindOutcome.ALL_BOUND

    def _handle_unschedulable(self, cycle: SchedulingCycle, job: Job, limited: bool) -> None:
        """Record the tasks that fit nowhere as demand for the fleet, and preempt for them where that is allowed."""
        if job.failures.is_suspect(len(job.bound)):
            return  # it fails on every machine: nothing is rented or preempted for it
        count = max(0, job.waiting - self._reservations.tasks_awaiting_room(job.spec.job_id, cycle.now))
        self.unschedulable[job.spec.job_id] = UnschedulableDemand(job, count, limited)
        if limited:
            return
        job.note("waiting: no room on the machines it may use")
        self._preemption.make_room(cycle, job, cycle.machines)
        if is_starved(job, cycle.now):
            self._reserve_for_starved_job(cycle, job)

    def _reserve_for_starved_job(self, cycle: SchedulingCycle, job: Job) -> None:
        """Reserve one machine for a starved job until enough of it is free: small tasks of others would take each gap
        for ever. For one job at a time."""
        jobs, now = cycle.cluster.jobs, cycle.now
        if any(
            job_id in jobs and is_starved(jobs[job_id], now)
            for job_id in self._reservations.jobs_with_reservations(now)
        ):
            return
        fitting = [machine for machine in cycle.machines if self._could_run_once_drained(job, machine, now)]
        if fitting:
            reserved = max(fitting, key=_cpus_without_arrays)
            self._reservations.reserve(reserved, job.spec.job_id, now + constants.STARVED_RESERVATION_S)

    def _could_run_once_drained(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether the job could run on the machine once enough of it is free."""
        spec = job.spec
        return (
            machine.allows(spec)
            and self._reservations.may_be_reserved(job, machine, now)
            and machine.large_enough_for(spec)
            and spec.may_add_in(machine.zone, job.zones)
        )

    def _cold_start_misses_objective(self, cluster: ClusterState, job: Job, machine: Machine) -> bool:
        """Whether fetching the image on this machine alone makes the start miss its class's objective."""
        spec = job.spec
        within_s = self._objectives.start_within_s.get(spec.job_class)
        machine_type = cluster.catalog.machine_types.get(machine.machine_type)
        if (
            within_s is None
            or machine_type is None
            or spec.image in machine.images
            or spec.priority is not Priority.PRODUCTION
        ):
            return False
        return spec.image_gb / machine_type.fetch_gb_per_s > within_s

    def _preempt_on_warm_machines(self, cycle: SchedulingCycle, job: Job) -> bool:
        """Preempt on machines that hold the image already; True while that room is awaited. No other
        room is awaited: on a measured day, room that had been freed elsewhere was refused again and again."""
        job_id, now = job.spec.job_id, cycle.now
        if job_id not in self._warm_until:
            warm = cycle.cluster.index.holders(job.spec.image)
            evicted_for = self._preemption.make_room(cycle, job, warm, constants.WARM_PREEMPTION_WAIT_S) if warm else 0
            self._warm_until[job_id] = now + constants.WARM_PREEMPTION_WAIT_S if evicted_for else now
        return now < self._warm_until[job_id]


def _cpus_without_arrays(machine: Machine) -> float:
    """CPUs that are free or become free once the tasks other than services have ended."""
    services = sum(a.spec.cpus for a in machine.attempts.values() if a.spec is not None and a.spec.is_service)
    return machine.capacity_cpus - machine.cpus - services
