"""Schedules gangs: binds all tasks of a gang in one scheduling cycle, or none."""

from __future__ import annotations

import logging

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.placement import gang_placement
from sorrelsill.placement.candidates import MachineChooser
from sorrelsill.placement.gang_headroom import GangHeadroom
from sorrelsill.placement.gang_placement import GangPlacement
from sorrelsill.placement.objectives import ServiceLevelObjectives
from sorrelsill.placement.order import is_starved
from sorrelsill.placement.preemption import Preemption
from sorrelsill.placement.reservations import Reservations
from sorrelsill.placement.scheduling_cycle import SchedulingCycle, equivalence_class
from sorrelsill.placement.team_quotas import TeamQuotas
from sorrelsill.workers import Job, UnschedulableDemand

log = logging.getLogger(__name__)


class GangScheduler:
    """Binds gangs, preempts other work for them, or holds machines until a whole gang fits."""

    def __init__(
        self,
        quotas: TeamQuotas,
        objectives: ServiceLevelObjectives,
        reservations: Reservations,
        gang_headroom: GangHeadroom,
        chooser: MachineChooser,
        preemption: Preemption,
        unschedulable: dict[str, UnschedulableDemand],
    ) -> None:
        self._quotas = quotas
        self._objectives = objectives
        self._reservations = reservations
        self._gang_headroom = gang_headroom
        self._chooser = chooser
        self._preemption = preemption
        self._unschedulable = unschedulable  # by job id; shared with the scheduler

    def schedule(self, cycle: SchedulingCycle, job: Job) -> None:
        """Bind all tasks of the gang under one attempt number, or none: nothing is bound before every task has a
        machine."""
        cluster, now, spec = cycle.cluster, cycle.now, job.spec
        if job.bound or cluster.attempts.has_live_attempts(spec.job_id):
            return  # attempts of an earlier start have not ended yet, so their room and zone are not free
        if not self._quotas.allows(cluster, spec, job.waiting):
            self._unschedulable[spec.job_id] = UnschedulableDemand(job, job.waiting, True)
            job.note(f"waiting: the limit of {spec.team} is reached")
            return
        equivalence = ("gang", equivalence_class(spec), spec.task_count)
        reservations = self._reservations
        has_reserved_machines = reservations.has_reservation(spec.job_id) or reservations.holds_machines_for(
            spec.job_id
        )
        if equivalence in cycle.unschedulable_classes and not has_reserved_machines:
            self._unschedulable[spec.job_id] = UnschedulableDemand(job, job.waiting, False, spec.zone)
            return
        machines_with_room = [m for m in cluster.index.with_room(spec) if self._chooser.is_feasible(job, m, now)]
        zones = [zone for zone in cluster.catalog.zones if spec.zone in (None, zone)]
        placements = gang_placement.find_placements(spec, machines_with_room, zones)
        if placements and not placements[0].missing_tasks:
            self._bind_gang(cycle, job, placements[0])
            return
        cycle.unschedulable_classes.add(equivalence)
        job.note("waiting: the whole group does not fit at once")
        self._wait_for_gang_room(cycle, job, placements)

    def _bind_gang(self, cycle: SchedulingCycle, job: Job, placement: GangPlacement) -> None:
        cluster, spec = cycle.cluster, job.spec
        attempt_number = cluster.next_attempt_number()
        machine_of_task = [slots.machine for slots in placement.machine_slots for _ in range(slots.count)]
        for index, machine in enumerate(machine_of_task):
            cluster.bind(job, index, machine, cycle.now, attempt_number)
            self._gang_headroom.deduct_task(spec, machine)
        log_event(
            log,
            logging.DEBUG,
            "gang_bound",
            job=spec.job_id,
            tasks=spec.task_count,
            machines=len(placement.machine_slots),
            zone=placement.zone,
            waited_s=cycle.now - job.submitted,
            image="cold" if placement.needs_fetch else "held",
        )
        self._reservations.release(spec.job_id)

    def _wait_for_gang_room(self, cycle: SchedulingCycle, job: Job, placements: list[GangPlacement]) -> None:
        """Preempt for the whole gang, or hold machines for it; report capacity that is still missing to the fleet."""
        spec, now = job.spec, cycle.now
        if self._reservations.tasks_awaiting_room(spec.job_id, now):
            return  # it awaits the room that was preempted for it
        if placements and not self._preemption.make_room_for_gang(cycle, job, placements):
            self._hold_machines_for_gang(cycle, job, placements)
        if self._reservations.tasks_awaiting_room(spec.job_id, now):
            return
        best = placements[0] if placements else None
        count = best.missing_tasks if best is not None else job.waiting
        self._unschedulable[spec.job_id] = UnschedulableDemand(
            job, count, False, best.zone if best is not None else spec.zone
        )

    def _hold_machines_for_gang(self, cycle: SchedulingCycle, job: Job, placements: list[GangPlacement]) -> None:
        """Hold machines for a gang while they drain; otherwise small tasks would take the room as it becomes
        free, and the gang would never fit. Machines are held at once for latency-sensitive gangs, and for other gangs
        once they are starved. No more are held once `GANG_HOLD_SHARE` of the usable machines are, so that arrays can
        still run."""
        spec, now, reservations = job.spec, cycle.now, self._reservations
        urgent = self._objectives.is_latency_sensitive(spec.job_class) or is_starved(job, now)
        if reservations.holds_machines_for(spec.job_id) or not urgent:
            return
        if reservations.gang_hold_count() >= constants.GANG_HOLD_SHARE * len(cycle.machines):
            return
        eligible = [
            machine
            for machine in cycle.machines
            if machine.meets_constraints_of(spec)
            and reservations.admits(job, machine, now)
            and not reservations.is_held_for_gang(machine)
        ]
        for machine in gang_placement.machines_to_hold(spec, placements, eligible):
            reservations.hold_for_gang(machine, job, now + constants.GANG_HOLD_S)
