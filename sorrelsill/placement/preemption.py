"""Making room for a job by stopping lesser work: who may stop whom, and what costs least."""

from __future__ import annotations

import logging
import random
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.fleet import time_to_rent
from sorrelsill.model import Priority
from sorrelsill.placement import gang_placement
from sorrelsill.workers import Attempt, ClusterState, Job, Machine, gang_loss

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.placement.guests import Guests
    from sorrelsill.placement.objectives import ServiceLevelObjectives
    from sorrelsill.placement.reservations import Reservations
    from sorrelsill.placement.scheduling_cycle import SchedulingCycle
    from sorrelsill.placement.team_limits import TeamLimits

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Victims:
    """Attempts whose end makes room on their machine, and the work that is lost with them."""

    cost: float  # CPU seconds
    attempts: list[Attempt]


class Preemption:
    """Stops lesser work, and reserves the machine for the claimant until it is gone."""

    def __init__(
        self,
        teams: TeamLimits,
        objectives: ServiceLevelObjectives,
        reservations: Reservations,
        guaranteed: set[str],
        guests: Guests,
        rng: random.Random,
    ) -> None:
        self._teams = teams
        self._objectives = objectives
        self._reservations = reservations
        self._guaranteed = guaranteed  # jobs within their team's guarantee
        self._guests = guests
        self._rng = rng

    # --- who may stop whom ---

    def _may_stop(self, job: Job, attempt: Attempt) -> bool:
        """By higher rank, or to give a team its guarantee out of what another runs beyond its own."""
        victim = attempt.spec
        if victim is None or attempt.exited:
            return False
        if victim.priority > job.spec.priority and (self._may_preempt(job) or self._yields(victim, job.spec)):
            return True
        return (
            job.spec.job_id in self._guaranteed
            and victim.team != job.spec.team
            and victim.job_id not in self._guaranteed
        )

    def _may_preempt(self, job: Job) -> bool:
        """Whether the job may take room from any lower work: others wait, so that low work gets done as well."""
        return job.spec.priority is Priority.PRODUCTION or job.spec.is_gang or job.spec.job_id in self._guaranteed

    def _presses(self, cluster: ClusterState, job: Job, now: float) -> bool:
        """Whether the next moment that matters to the job's user would pass before a rented machine could help. Until
        then guests keep their room: guards against stopping work for a job that can be in time without."""
        mark = self._objectives.next_mark(job, now)
        return mark.at > now and not time_to_rent(job.spec, cluster.catalog, mark.at - now)

    def _yields(self, victim: JobSpec, claimant: JobSpec) -> bool:
        """Guests, whose team has no guarantee, run on what nobody else needs: guards against their arrays filling all
        machines while work of others with a deadline waits."""
        return victim.team != claimant.team and self._teams.is_guest(victim.team)

    # --- single tasks ---

    def make_room(
        self, cycle: SchedulingCycle, job: Job, machines: Sequence[Machine], patience_s: float = constants.CLAIM_S
    ) -> int:
        """Stop the least work that lets waiting tasks in; their room is awaited before more is stopped."""
        cluster, now, spec = cycle.cluster, cycle.now, job.spec
        if not self._may_preempt(job) and not (self._guests.other_than(spec.team) and self._presses(cluster, job, now)):
            return 0
        wanted = min(job.waiting - self._reservations.claimed(spec.job_id, now), constants.PREEMPT_PER_CYCLE)
        kind = self._kind(job)
        if wanted <= 0 or self._reservations.searched_in_vain(kind, now):
            return 0
        looked_at = self._sample(job, machines, now)
        offers = [found for m in looked_at if (found := self._victims(cluster, job, m, now)) is not None]
        if not offers and len(machines) > len(looked_at):
            self._reservations.found_no_room(kind, now)
        # Found on a measured day: a service that came in a busy minute stopped group after group, each whole.
        offers.sort(key=lambda offer: (any(a.job_id in cluster.gangs for a in offer.attempts), offer.cost))
        return self._take(cluster, job, offers, wanted, patience_s, now)

    def _kind(self, job: Job) -> Hashable:
        """Jobs of one kind find room in the same places."""
        spec = job.spec
        guaranteed = spec.job_id in self._guaranteed
        return spec.priority, spec.team, guaranteed, spec.cpus, spec.memory_gb, spec.gpus, spec.spot_allowed

    def _sample(self, job: Job, machines: Sequence[Machine], now: float) -> list[Machine]:
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

    def _take(
        self, cluster: ClusterState, job: Job, offers: list[Victims], wanted: int, patience_s: float, now: float
    ) -> int:
        """Stop what is offered, cheapest first, until enough tasks have room; returns for how many."""
        spec = job.spec
        made = 0
        zones = dict(job.zones)  # with what the room made in this round will add
        for offer in offers:
            if made >= wanted:
                break
            machine = offer.attempts[0].machine
            if not spec.may_add_in(machine.zone, zones):
                continue
            until = now + self._stop(cluster, spec, offer.attempts, patience_s)
            zones[machine.zone] = zones.get(machine.zone, 0) + 1
            self._reservations.claim(spec.job_id, until)
            self._reservations.reserve(machine, spec.job_id, until)
            made += 1
        return made

    @staticmethod
    def _stop(cluster: ClusterState, spec: JobSpec, attempts: list[Attempt], patience_s: float) -> float:
        """Stop these for the job; returns how long their room is to be awaited."""
        names = [f"{a.task_id} on {a.machine.name} {a.machine.zone}" for a in attempts]
        log.debug("room for %s: %s", spec.job_id, names)
        wait_s = patience_s
        for attempt in attempts:
            cluster.stop(attempt, _reason(spec), immediately=spec.priority is Priority.PRODUCTION)
            wait_s = max(wait_s, patience_s + attempt.grace_period_s)
        return wait_s

    def _victims(self, cluster: ClusterState, job: Job, machine: Machine, now: float, count: int = 1) -> Victims | None:
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
        can = [a for a in machine.attempts.values() if not a.stop_requested and self._may_stop(job, a)]
        can.sort(key=lambda a: (-(a.spec.priority if a.spec else 0), a.job_id in cluster.gangs, _loss(cluster, a, now)))
        cost, chosen = 0.0, []
        for attempt in can:
            if lack_cpus <= 0 and lack_gpus <= 0 and lack_memory <= 0:
                break
            victim = attempt.spec
            assert victim is not None
            lack_cpus -= victim.cpus
            lack_gpus -= victim.gpus
            lack_memory -= victim.memory_gb
            cost += _loss(cluster, attempt, now) * victim.cpus
            chosen.append(attempt)
        if not chosen or lack_cpus > 0 or lack_gpus > 0 or lack_memory > 0:
            return None
        return Victims(cost, chosen)

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
        if self._reservations.searched_in_vain(kind, now):
            return False
        sample = self._rng.sample(machines, min(len(machines), constants.PREEMPT_SAMPLE * constants.GANG_SAMPLES))
        may = [
            m
            for m in sample
            if m.bound_count and m.usable and m.allows(spec) and self._reservations.open_to(job, m, now)
        ]

        def offer(machine: Machine, more: int) -> tuple[float, list[Attempt]] | None:
            found = self._victims(cluster, job, machine, now, gang_placement.capacity(machine, spec) + more)
            return (found.cost, found.attempts) if found is not None else None

        found = gang_placement.room_for(spec, placements, may, offer)
        if found is None:
            self._reservations.found_no_room(kind, now)
            return False
        placement, victims = found
        until = now + self._stop(cluster, spec, victims, constants.CLAIM_S)
        self._reservations.claim(spec.job_id, until, spec.task_count)
        for share in placement.shares:
            self._reservations.reserve(share.machine, spec.job_id, until)
        return True


def _reason(spec: JobSpec) -> str:
    return f"making room for {spec.job_id}"


def _loss(cluster: ClusterState, attempt: Attempt, now: float) -> float:
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
