"""Preemption: selects the attempts to evict for a job, those whose eviction costs least."""

from __future__ import annotations

import logging
import random
from collections.abc import Hashable, Sequence
from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.fleet import can_wait_for_scale_out
from sorrelsill.model import Priority
from sorrelsill.placement import gang_placement
from sorrelsill.placement.victims import VictimSet
from sorrelsill.workers import Attempt, ClusterState, Job, Machine, gang_stop_cost

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.placement.borrowing_teams import BorrowingTeams
    from sorrelsill.placement.objectives import ServiceLevelObjectives
    from sorrelsill.placement.reservations import Reservations
    from sorrelsill.placement.scheduling_cycle import SchedulingCycle
    from sorrelsill.placement.team_quotas import TeamQuotas

log = logging.getLogger(__name__)


class Preemption:
    """Evicts victims and reserves their machines for the preempting job until the victims have ended."""

    def __init__(
        self,
        quotas: TeamQuotas,
        objectives: ServiceLevelObjectives,
        reservations: Reservations,
        guaranteed_jobs: set[str],
        borrowing_teams: BorrowingTeams,
        rng: random.Random,
    ) -> None:
        self._quotas = quotas
        self._objectives = objectives
        self._reservations = reservations
        self._guaranteed_jobs = guaranteed_jobs  # ids of jobs covered by their team's guaranteed share
        self._borrowing_teams = borrowing_teams
        self._rng = rng

    # --- eligible victims ---

    def _is_eligible_victim(self, job: Job, attempt: Attempt) -> bool:
        """Return whether the job may preempt the attempt, which requires one of these:

        - the attempt has lower priority, and the job may preempt any work of lower priority or the attempt runs on
          borrowed capacity;
        - the job is covered by its team's guaranteed share, and the attempt belongs to a job of another team that is
          not covered by that team's guaranteed share."""
        victim = attempt.spec
        if victim is None or attempt.exited:
            return False
        if victim.priority > job.spec.priority and (
            self._may_preempt_lower_priority(job) or self._runs_on_borrowed_capacity(victim, job.spec)
        ):
            return True
        return (
            job.spec.job_id in self._guaranteed_jobs
            and victim.team != job.spec.team
            and victim.job_id not in self._guaranteed_jobs
        )

    def _may_preempt_lower_priority(self, job: Job) -> bool:
        """Return whether the job may preempt any work of lower priority. Other jobs wait instead, so that work of low
        priority makes progress as well."""
        return job.spec.priority is Priority.PRODUCTION or job.spec.is_gang or job.spec.job_id in self._guaranteed_jobs

    def _objective_at_risk(self, cluster: ClusterState, job: Job, now: float) -> bool:
        """Return whether the job would miss its next objective if it waited for a rented machine. Work of borrowing
        teams is not preempted for jobs that can meet their objective without it."""
        objective = self._objectives.next_objective(job, now)
        return objective.at > now and not can_wait_for_scale_out(job.spec, cluster.catalog, objective.at - now)

    def _runs_on_borrowed_capacity(self, victim: JobSpec, claimant: JobSpec) -> bool:
        """Return whether the victim belongs to a borrowing team other than the claimant's. If such victims could not be
        preempted, arrays of borrowing teams could fill all machines while jobs of other teams with a deadline wait."""
        return victim.team != claimant.team and self._quotas.is_borrower(victim.team)

    # --- single tasks ---

    def make_room(
        self,
        cycle: SchedulingCycle,
        job: Job,
        machines: Sequence[Machine],
        reservation_s: float = constants.PREEMPTION_WAIT_S,
    ) -> int:
        """Evict the cheapest victims that make room for waiting tasks of the job; return for how many tasks room is
        made. Nothing is evicted for tasks that await preempted room already. The room is reserved for `reservation_s`
        seconds beyond the longest grace period of the victims."""
        cluster, now, spec = cycle.cluster, cycle.now, job.spec
        if not self._may_preempt_lower_priority(job) and not (
            self._borrowing_teams.any_team_except(spec.team) and self._objective_at_risk(cluster, job, now)
        ):
            return 0
        wanted = min(
            job.waiting - self._reservations.tasks_awaiting_room(spec.job_id, now), constants.PREEMPT_PER_CYCLE
        )
        search_class = self._search_class(job)
        if wanted <= 0 or self._reservations.search_failed_recently(search_class, now):
            return 0
        sampled = self._sample_machines(job, machines, now)
        candidates = [found for m in sampled if (found := self._select_victims(cluster, job, m, now)) is not None]
        if not candidates and len(machines) > len(sampled):
            self._reservations.record_failed_search(search_class, now)
        # Machines without gang victims go first, since evicting one task of a gang stops the whole gang. Without this
        # order, a service submitted under high load preempted one gang after the other.
        candidates.sort(
            key=lambda candidate: (any(a.job_id in cluster.gangs for a in candidate.attempts), candidate.cost)
        )
        return self._evict_cheapest(cluster, job, candidates, wanted, reservation_s, now)

    def _search_class(self, job: Job) -> Hashable:
        """Return the search class of a job. Jobs of one class find victims on the same machines, so a failed search for
        one of them pauses the search for all."""
        spec = job.spec
        guaranteed = spec.job_id in self._guaranteed_jobs
        return spec.priority, spec.team, guaranteed, spec.cpus, spec.memory_gb, spec.gpus, spec.spot_allowed

    def _sample_machines(self, job: Job, machines: Sequence[Machine], now: float) -> list[Machine]:
        """Return a random sample of the machines that may have victims. All machines are considered only if a first
        sample contains none."""
        found: list[Machine] = []
        for sample_size in (4 * constants.PREEMPT_SAMPLE, len(machines)):
            for machine in self._rng.sample(machines, min(sample_size, len(machines))):
                if (
                    machine.bound_count
                    and machine.usable
                    and machine.meets_constraints_of(job.spec)
                    and self._reservations.may_be_reserved(job, machine, now)
                ):
                    found.append(machine)
                    if len(found) == constants.PREEMPT_SAMPLE:
                        break
            if found or sample_size >= len(machines):
                break
        return found

    def _evict_cheapest(
        self,
        cluster: ClusterState,
        job: Job,
        candidates: list[VictimSet],
        wanted: int,
        reservation_s: float,
        now: float,
    ) -> int:
        """Evict candidates in the given order until `wanted` tasks have room; return the number of tasks with room."""
        spec = job.spec
        tasks_with_room = 0
        zones = dict(job.zones)  # zone -> tasks of the job, including those that room is made for here
        for candidate in candidates:
            if tasks_with_room >= wanted:
                break
            machine = candidate.attempts[0].machine
            if not spec.zone_allows_another_task(machine.zone, zones):
                continue
            until = now + self._evict(cluster, spec, candidate.attempts, reservation_s)
            zones[machine.zone] = zones.get(machine.zone, 0) + 1
            self._reservations.expect_room(spec.job_id, until)
            self._reservations.reserve(machine, spec.job_id, until)
            tasks_with_room += 1
        return tasks_with_room

    @staticmethod
    def _evict(cluster: ClusterState, spec: JobSpec, attempts: list[Attempt], reservation_s: float) -> float:
        """Evict the attempts for the job; return the seconds until their room should be free."""
        wait_s = reservation_s
        for attempt in attempts:
            log_event(
                log,
                logging.DEBUG,
                "preempted",
                job=spec.job_id,
                task=attempt.task_id,
                machine=attempt.machine.name,
                zone=attempt.machine.zone,
            )
            cluster.stop(attempt, _preemption_reason(spec), immediately=spec.priority is Priority.PRODUCTION)
            wait_s = max(wait_s, reservation_s + attempt.grace_period_s)
        return wait_s

    def _select_victims(
        self, cluster: ClusterState, job: Job, machine: Machine, now: float, count: int = 1
    ) -> VictimSet | None:
        """Return the cheapest victims whose eviction makes room for `count` tasks of the job on the machine; None if
        none are found or needed, or if victims on the machine are already being stopped for the job."""
        spec = job.spec
        preemption_reason = _preemption_reason(spec)
        if any(
            a.stop_requested and a.spec is not None and a.stop_reason == preemption_reason
            for a in machine.attempts.values()
        ):
            return None  # room is already being made here for this job
        missing_cpus = spec.cpus * count - (machine.capacity_cpus - machine.cpus) - constants.AMOUNT_TOLERANCE
        missing_gpus = spec.gpus * count - (machine.capacity_gpus - machine.gpus) - constants.AMOUNT_TOLERANCE
        missing_memory_gb = (
            spec.memory_gb * count - (machine.capacity_memory_gb - machine.memory_gb) - constants.AMOUNT_TOLERANCE
        )
        eligible = [a for a in machine.attempts.values() if not a.stop_requested and self._is_eligible_victim(job, a)]
        eligible.sort(
            key=lambda a: (
                -(a.spec.priority if a.spec else 0),
                a.job_id in cluster.gangs,
                _preemption_cost_s(cluster, a, now),
            )
        )
        cost, chosen = 0.0, []
        for attempt in eligible:
            if missing_cpus <= 0 and missing_gpus <= 0 and missing_memory_gb <= 0:
                break
            victim = attempt.spec
            assert victim is not None
            missing_cpus -= victim.cpus
            missing_gpus -= victim.gpus
            missing_memory_gb -= victim.memory_gb
            cost += _preemption_cost_s(cluster, attempt, now) * victim.cpus
            chosen.append(attempt)
        if not chosen or missing_cpus > 0 or missing_gpus > 0 or missing_memory_gb > 0:
            return None
        return VictimSet(cost, chosen)

    # --- gangs ---

    def make_room_for_gang(
        self, cycle: SchedulingCycle, job: Job, placements: list[gang_placement.GangPlacement]
    ) -> bool:
        """Evict victims if that makes room for the whole gang, and reserve its machines until the victims have ended.
        Return whether any were evicted."""
        cluster, now, machines, spec = cycle.cluster, cycle.now, cycle.machines, job.spec
        if not any(machine.bound_count for machine in machines):
            return False
        guaranteed = spec.job_id in self._guaranteed_jobs
        search_class = ("gang", spec.priority, spec.team, guaranteed, spec.cpus, spec.task_count, spec.spot_allowed)
        if self._reservations.search_failed_recently(search_class, now):
            return False
        sample = self._rng.sample(machines, min(len(machines), constants.PREEMPT_SAMPLE * constants.GANG_SAMPLE_FACTOR))
        eligible = [
            m
            for m in sample
            if m.bound_count and m.usable and m.meets_constraints_of(spec) and self._reservations.admits(job, m, now)
        ]

        def select_victims(machine: Machine, additional: int) -> VictimSet | None:
            return self._select_victims(
                cluster, job, machine, now, gang_placement.task_capacity(machine, spec) + additional
            )

        found = gang_placement.find_preemption(spec, placements, eligible, select_victims)
        if found is None:
            self._reservations.record_failed_search(search_class, now)
            return False
        until = now + self._evict(cluster, spec, found.victims, constants.PREEMPTION_WAIT_S)
        self._reservations.expect_room(spec.job_id, until, spec.task_count)
        for slots in found.placement.machine_slots:
            self._reservations.reserve(slots.machine, spec.job_id, until)
        return True


def _preemption_reason(spec: JobSpec) -> str:
    return f"making room for {spec.job_id}"


def _preemption_cost_s(cluster: ClusterState, attempt: Attempt, now: float) -> float:
    """Return the cost in seconds of evicting the attempt; for a gang task, the cost of stopping the whole gang."""
    gang = cluster.gangs.get(attempt.job_id)
    return gang_stop_cost(gang, now) if gang is not None else _lost_work_s(attempt, now)


def _lost_work_s(attempt: Attempt, now: float) -> float:
    """Return the cost in seconds of evicting a task that is not part of a gang: the time to save a checkpoint, or,
    without checkpoints, the run time lost plus the restart overhead; 0 if the task does not run yet."""
    if attempt.running_since is None or attempt.spec is None:
        return 0.0
    if attempt.spec.checkpoint_interval_s > 0:
        return attempt.spec.checkpoint_cost_s
    return now - attempt.running_since + constants.PREEMPT_BASE_S
