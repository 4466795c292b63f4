"""The scheduler: in each scheduling cycle, binds waiting tasks to the best fit among sampled machines.

Jobs are scheduled in the order defined in `order.py`. A cycle has a time budget; if it is used up, the next cycle
continues with the job at which this one stopped."""

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
    """Why a scheduling cycle stopped binding tasks of a job."""

    ALL_BOUND = enum.auto()
    NO_ROOM = enum.auto()
    QUOTA_EXCEEDED = enum.auto()  # another task would exceed the team's quota
    # the job failed on every machine tried, and the few tasks started to test it have not ended yet
    SUSPECT_JOB_PENDING = enum.auto()
    OUT_OF_TIME = enum.auto()


class Scheduler:
    """Binds waiting tasks to machines in consecutive scheduling cycles."""

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
        self._cluster: ClusterState | None = None  # the cluster state that the queue was built from
        self._remaining_jobs: deque[str] = deque()  # job ids still to be scheduled in this pass over the queue
        self._warm_room_deadlines: dict[str, float] = {}  # job id -> end of the wait for room on warm machines
        self.unschedulable: dict[str, UnschedulableDemand] = {}  # by job id; the fleet may rent capacity for it
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
        """Clear all state at the start of a new term."""
        self._cluster = None
        self._remaining_jobs.clear()
        self._queue.reset()
        self._guaranteed_shares.reset()
        self._borrowing_teams.reset()
        self._warm_room_deadlines.clear()
        self._reservations.reset()
        self.unschedulable.clear()

    # --- scheduling cycle ---

    def run_cycle(self, cluster: ClusterState, now: float, clock: Callable[[], float], budget: float) -> bool:
        """Run one scheduling cycle: bind the waiting tasks that fit. `budget` is in seconds, measured with `clock`.
        Return False if it was used up before all jobs were considered; the next call then continues with the job at
        which this one stopped."""
        started_at = clock()
        if not self._remaining_jobs:
            self._start_cycle(cluster, now)
        self._gang_headroom.update(cluster)
        cycle = SchedulingCycle(cluster, now, lambda: clock() - started_at > budget, cluster.index.usable)
        while self._remaining_jobs:
            job = cluster.jobs.get(self._remaining_jobs[0])
            if job is not None and job.waiting > 0:
                if not self._schedule_job(cycle, job):
                    return False
            elif job is not None:
                self.unschedulable.pop(job.spec.job_id, None)
            self._remaining_jobs.popleft()
        return True

    def _start_cycle(self, cluster: ClusterState, now: float) -> None:
        """Update the queue and start a new pass over all waiting jobs, in scheduling order."""
        changed = cluster.take_changed_jobs()
        if self._cluster is not cluster:
            self._cluster = cluster
            changed = list(cluster.jobs)
        moved_jobs = self._guaranteed_shares.update(cluster, changed)
        self._borrowing_teams.update(cluster, changed)
        self._queue.update(cluster, [*changed, *sorted(moved_jobs)], now)
        self._remaining_jobs.extend(self._queue.in_order())
        for job_id in changed:
            if job_id not in cluster.jobs:
                self.unschedulable.pop(job_id, None)
                self._warm_room_deadlines.pop(job_id, None)
        self._reservations.expire(cluster, now)

    def _schedule_job(self, cycle: SchedulingCycle, job: Job) -> bool:
        """Schedule the waiting tasks of a job; return False if the cycle's time budget was used up first."""
        self.unschedulable.pop(job.spec.job_id, None)
        if not cycle.cluster.failover.is_reconciled(job) or job.failures.next_retry_at > cycle.now:
            return True
        if job.spec.is_gang:
            self._gangs.schedule(cycle, job)
            return not cycle.out_of_time()
        outcome = self._bind_tasks(cycle, job)
        if outcome is _BindOutcome.OUT_OF_TIME:
            return False
        if outcome is not _BindOutcome.SUSPECT_JOB_PENDING and job.waiting > 0:
            self._handle_unschedulable(cycle, job, limited=outcome is _BindOutcome.QUOTA_EXCEEDED)
        return True

    # --- single tasks ---

    def _bind_tasks(self, cycle: SchedulingCycle, job: Job) -> _BindOutcome:
        """Bind tasks of a job one by one until none is waiting or the next one cannot be bound."""
        spec = job.spec
        equivalence = equivalence_class(spec)
        unconstrained = not (spec.spread_zones or spec.one_zone or job.avoided_machines)
        pool: CandidatePool | None = None
        while (index := job.next_task()) is not None:
            if cycle.out_of_time():
                return _BindOutcome.OUT_OF_TIME
            if job.new_starts_allowed() <= 0:
                return _BindOutcome.SUSPECT_JOB_PENDING
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
        """Record the tasks that fit on no machine as demand on the fleet, and preempt for them where allowed. `limited`
        means that the team's quota is the reason."""
        if job.failures.is_suspect(len(job.bound)):
            return  # it fails on every machine tried: no capacity is rented or preempted for it
        count = max(0, job.waiting - self._reservations.tasks_awaiting_room(job.spec.job_id, cycle.now))
        self.unschedulable[job.spec.job_id] = UnschedulableDemand(job, count, limited)
        if limited:
            return
        job.note("waiting: no room on the machines it may use")
        self._preemption.make_room(cycle, job, cycle.machines)
        if is_starved(job, cycle.now):
            self._reserve_for_starved_job(cycle, job)

    def _reserve_for_starved_job(self, cycle: SchedulingCycle, job: Job) -> None:
        """Reserve one machine for a starved job until the job's tasks fit; otherwise small tasks of other jobs would
        take the room as it becomes free. Only one starved job has a reservation at a time."""
        jobs, now = cycle.cluster.jobs, cycle.now
        if any(
            job_id in jobs and is_starved(jobs[job_id], now)
            for job_id in self._reservations.jobs_with_reservations(now)
        ):
            return
        suitable_machines = [machine for machine in cycle.machines if self._could_run_once_drained(job, machine, now)]
        if suitable_machines:
            reserved = max(suitable_machines, key=_cpus_not_used_by_services)
            self._reservations.reserve(reserved, job.spec.job_id, now + constants.STARVED_RESERVATION_S)

    def _could_run_once_drained(self, job: Job, machine: Machine, now: float) -> bool:
        """Return whether the job could run on the machine if the machine were drained."""
        spec = job.spec
        return (
            machine.meets_constraints_of(spec)
            and self._reservations.may_be_reserved(job, machine, now)
            and machine.large_enough_for(spec)
            and spec.zone_allows_another_task(machine.zone, job.zones)
        )

    def _cold_start_misses_objective(self, cluster: ClusterState, job: Job, machine: Machine) -> bool:
        """Return whether the image fetch on this machine would by itself take longer than the objective of a production
        job for the start of its tasks."""
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
        """Preempt on warm machines (those that hold the image), once per job; return True while that room is awaited.
        Room preempted on machines without the image is not awaited here: when it was, the job refused that room again
        and again after it had become free, because of the image fetch."""
        job_id, now = job.spec.job_id, cycle.now
        if job_id not in self._warm_room_deadlines:
            warm = cycle.cluster.index.machines_with_image(job.spec.image)
            room_made = self._preemption.make_room(cycle, job, warm, constants.WARM_PREEMPTION_WAIT_S) if warm else 0
            self._warm_room_deadlines[job_id] = now + constants.WARM_PREEMPTION_WAIT_S if room_made else now
        return now < self._warm_room_deadlines[job_id]


def _cpus_not_used_by_services(machine: Machine) -> float:
    """Return the machine's free CPUs minus the CPUs of its service tasks, which do not end by themselves. Used to rank
    machines: of two with the same free CPUs, the one with fewer CPUs used by services makes more room as it drains."""
    services = sum(a.spec.cpus for a in machine.attempts.values() if a.spec is not None and a.spec.is_service)
    return machine.capacity_cpus - machine.cpus - services
