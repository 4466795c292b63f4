"""Making room for a job by stopping lesser work: who may stop whom, and what costs least."""

from __future__ import annotations

import logging
import random
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.fleet import can_wait_for_scale_out
from sorrelsill.model import Priority
from sorrelsill.placement import gang_placement
from sorrelsill.workers import Attempt, ClusterState, Job, Machine, gang_loss

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.placement.borrowing_teams import BorrowingTeams
    from sorrelsill.placement.objectives import ServiceLevelObjectives
    from sorrelsill.placement.reservations import Reservations
    from sorrelsill.placement.scheduling_cycle import SchedulingCycle
    from sorrelsill.placement.team_quotas import TeamQuotas

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class VictimSet:
    """Attempts whose end makes room on their machine, and the work that is lost with them."""

    cost: float  # CPU seconds
    attempts: list[Attempt]


class Preemption:
    """Stops lesser work, and reserves the machine for the claimant until it is gone."""

    def __init__(
        self,
        teams: TeamQuotas,
        objectives: ServiceLevelObjectives,
        reservations: Reservations,
        guaranteed: set[str],
        borrowing_teams: BorrowingTeams,
        rng: random.Random,
    ) -> None:
        self._teams = teams
        self._objectives = objectives
        self._reservations = reservations
        self._guaranteed = guaranteed  # jobs within their team's guarantee
        self._borrowing_teams = borrowing_teams
        self._rng = rng

    # --- who may stop whom ---

    def _is_eligible_victim(self, job: Job, attempt: Attempt) -> bool:
        """By higher rank, or to give a team its guarantee out of what another runs beyond its own."""
        victim = attempt.spec
        if victim is None or attempt.exited:
            return False
        if victim.priority > job.spec.priority and (
            self._may_preempt(job) or self._runs_on_borrowed_capacity(victim, job.spec)
        ):
            return True
        return (
            job.spec.job_id in self._guaranteed
            and victim.team != job.spec.team
            and victim.job_id not in self._guaranteed
        )

    def _may_preempt(self, job: Job) -> bool:
        """Whether the job may take room from any lower work: others wait, so that low work gets done as well."""
        return job.spec.priority is Priority.PRODUCTION or job.spec.is_gang or job.spec.job_id in self._guaranteed

    def _objective_at_risk(self, cluster: ClusterState, job: Job, now: float) -> bool:
        """Whether the next moment that matters to the job's user would pass before a rented machine could help. Until
        then guests keep their room: guards against stopping work for a job that can be in time without."""
        objective = self._objectives.next_objective(job, now)
        return objective.at > now and not can_wait_for_scale_out(job.spec, cluster.catalog, objective.at - now)

    def _runs_on_borrowed_capacity(self, victim: JobSpec, claimant: JobSpec) -> bool:
        """Guests, whose team has no guarantee, run on what nobody else needs: guards against their arrays filling all
        machines while work of others with a deadline waits."""
        return victim.team != claimant.team and self._teams.is_borrower(victim.team)

    # --- single tasks ---

    def make_room(
        self,
        cycle: SchedulingCycle,
        job: Job,
        machines: Sequence[Machine],
        reservation_s: float = constants.PREEMPTION_WAIT_S,
    ) -> int:
        """Stop the least work that lets waiting tasks in; their room is awaited before more is stopped."""
        cluster, now, spec = cycle.cluster, cycle.now, job.spec
        if not self._may_preempt(job) and not (
            self._borrowing_teams.any_other_than(spec.team) and self._objective_at_risk(cluster, job, now)
        ):
            return 0
        wanted = min(
            job.waiting - self._reservations.tasks_awaiting_room(spec.job_id, now), constants.PREEMPT_PER_CYCLE
        )
        kind = self._search_class(job)
        if wanted <= 0 or self._reservations.search_failed_recently(kind, now):
            return 0
        looked_at = self._sample_machines(job, machines, now)
        candidates = [found for m in looked_at if (found := self._select_victims(cluster, job, m, now)) is not None]
        if not candidates and len(machines) > len(looked_at):
            self._reservations.record_failed_search(kind, now)
        # Found on a measured day: a service that came in a busy minute stopped group after group, each whole.
        candidates.sort(
            key=lambda candidate: (any(a.job_id in cluster.gangs for a in candidate.attempts), candidate.cost)
        )
        return self._evict_cheapest(cluster, job, candidates, wanted, reservation_s, now)

    def _search_class(self, job: Job) -> Hashable:
        """Jobs of one kind find room in the same places."""
        spec = job.spec
        guaranteed = spec.job_id in self._guaranteed
        return spec.priority, spec.team, guaranteed, spec.cpus, spec.memory_gb, spec.gpus, spec.spot_allowed

    def _sample_machines(self, job: Job, machines: Sequence[Machine], now: float) -> list[Machine]:
        """Few of the machines where room may be made, by the dice; all are asked only if hardly any will do."""
        found: list[Machine] = []
        for few in (4 * constants.PREEMPT_SAMPLE, len(machines)):
            for machine in self._rng.sample(machines, min(few, len(machines))):
                if (
                    machine.bound_count
                    and machine.usable
                    and machine.allows(job.spec)
                    and not self._reservations.reserved(machine)
                    and job.avoid.get(machine.name, 0.0) <= now
                ):
                    found.append(machine)
                    if len(found) == constants.PREEMPT_SAMPLE:
                        break
            if found or few >= len(machines):
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
        """Stop what is offered, cheapest first, until enough tasks have room; returns for how many."""
        spec = job.spec
        made = 0
        zones = dict(job.zones)  # with what the room made in this round will add
        for candidate in candidates:
            if made >= wanted:
                break
            machine = candidate.attempts[0].machine
            if not spec.may_add_in(machine.zone, zones):
                continue
            until = now + self._evict(cluster, spec, candidate.attempts, reservation_s)
            zones[machine.zone] = zones.get(machine.zone, 0) + 1
            self._reservations.expect_room(spec.job_id, until)
            self._reservations.reserve(machine, spec.job_id, until)
            made += 1
        return made

    @staticmethod
    def _evict(cluster: ClusterState, spec: JobSpec, attempts: list[Attempt], reservation_s: float) -> float:
        """Stop these for the job; returns how long their room is to be awaited."""
        names = [f"{a.task_id} on {a.machine.name} {a.machine.zone}" for a in attempts]
        log.debug("room for %s: %s", spec.job_id, names)
        wait_s = reservation_s
        for attempt in attempts:
            cluster.stop(attempt, _reason(spec), immediately=spec.priority is Priority.PRODUCTION)
            wait_s = max(wait_s, reservation_s + attempt.grace_period_s)
        return wait_s

    def _select_victims(
        self, cluster: ClusterState, job: Job, machine: Machine, now: float, count: int = 1
    ) -> VictimSet | None:
        """The least to stop so that `count` tasks of the job fit; None if nothing is or need be stopped there."""
        spec = job.spec
        mine = _reason(spec)
        if any(a.stop_requested and a.spec is not None and a.stop_reason == mine for a in machine.attempts.values()):
            return None  # room is being made here for this job already
        lack_cpus = spec.cpus * count - (machine.capacity_cpus - machine.cpus) - constants.AMOUNT_TOLERANCE
        lack_gpus = spec.gpus * count - (machine.capacity_gpus - machine.gpus) - constants.AMOUNT_TOLERANCE
        lack_memory = (
            spec.memory_gb * count - (machine.capacity_memory_gb - machine.memory_gb) - constants.AMOUNT_TOLERANCE
        )
        can = [a for a in machine.attempts.values() if not a.stop_requested and self._is_eligible_victim(job, a)]
        can.sort(
            key=lambda a: (
                -(a.spec.priority if a.spec else 0),
                a.job_id in cluster.gangs,
                _preemption_cost_s(cluster, a, now),
            )
        )
        cost, chosen = 0.0, []
        for attempt in can:
            if lack_cpus <= 0 and lack_gpus <= 0 and lack_memory <= 0:
                break
            victim = attempt.spec
            assert victim is not None
            lack_cpus -= victim.cpus
            lack_gpus -= victim.gpus
            lack_memory -= victim.memory_gb
            cost += _preemption_cost_s(cluster, attempt, now) * victim.cpus
            chosen.append(attempt)
        if not chosen or lack_cpus > 0 or lack_gpus > 0 or lack_memory > 0:
            return None
        return VictimSet(cost, chosen)

    # --- groups ---

    def make_room_for_gang(
        self, cycle: SchedulingCycle, job: Job, placements: list[gang_placement.GangPlacement]
    ) -> bool:
        """Stop lesser work if that lets the whole group in; the machines are reserved until it is gone."""
        cluster, now, machines, spec = cycle.cluster, cycle.now, cycle.machines, job.spec
        if not any(machine.bound_count for machine in machines):
            return False
        guaranteed = spec.job_id in self._guaranteed
        kind = ("group", spec.priority, spec.team, guaranteed, spec.cpus, spec.task_count, spec.spot_allowed)
        if self._reservations.search_failed_recently(kind, now):
            return False
        sample = self._rng.sample(machines, min(len(machines), constants.PREEMPT_SAMPLE * constants.GANG_SAMPLES))
        may = [
            m
            for m in sample
            if m.bound_count and m.usable and m.allows(spec) and self._reservations.admits(job, m, now)
        ]

        def select_victims(machine: Machine, more: int) -> tuple[float, list[Attempt]] | None:
            found = self._select_victims(cluster, job, machine, now, gang_placement.task_capacity(machine, spec) + more)
            return (found.cost, found.attempts) if found is not None else None

        found = gang_placement.find_preemption(spec, placements, may, select_victims)
        if found is None:
            self._reservations.record_failed_search(kind, now)
            return False
        placement, victims = found
        until = now + self._evict(cluster, spec, victims, constants.PREEMPTION_WAIT_S)
        self._reservations.expect_room(spec.job_id, until, spec.task_count)
        for share in placement.shares:
            self._reservations.reserve(share.machine, spec.job_id, until)
        return True


def _reason(spec: JobSpec) -> str:
    return f"making room for {spec.job_id}"


def _preemption_cost_s(cluster: ClusterState, attempt: Attempt, now: float) -> float:
    """Seconds of work thrown away; of a group, by all of its tasks."""
    gang = cluster.gangs.get(attempt.job_id)
    return gang_loss(gang, now) if gang is not None else _lost_work(attempt, now)


def _lost_work(attempt: Attempt, now: float) -> float:
    """Seconds of work that stopping the attempt throws away."""
    if attempt.running_since is None or attempt.spec is None:
        return 0.0
    if attempt.spec.checkpoint_interval_s > 0:
        return attempt.spec.checkpoint_cost_s
    return now - attempt.running_since + constants.PREEMPT_BASE_S
