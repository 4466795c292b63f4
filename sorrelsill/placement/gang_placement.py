"""Gang placement: selects the machines for all tasks of a gang at once. No I/O.

A gang task that waits for the others occupies its machine without making progress, so all tasks are placed at once: in
one zone if the job demands it, preferably on machines that hold the image, and on few machines of one type, since the
slowest task sets the pace of the gang. Unlike single tasks, gangs are placed on all machines with room, not on a
sample: a sample shows whether one task fits, but not whether all of them do."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from sorrelsill import constants
from sorrelsill.model import JobSpec
from sorrelsill.placement.victims import VictimSet
from sorrelsill.workers import Attempt, Machine

# Returns the victims to evict so that the given number of tasks fits on the machine beyond those that fit now; None if
# there are none.
VictimSelector = Callable[[Machine, int], VictimSet | None]


@dataclass(slots=True)
class MachineSlots:
    """A machine and the number of gang tasks that it can take or is assigned."""

    machine: Machine
    count: int


@dataclass(slots=True)
class GangPlacement:
    """The machines for a gang in one zone, or in any zones (`zone` is None) if the gang may span zones."""

    zone: str | None
    machine_slots: list[MachineSlots]
    missing_tasks: int  # tasks without room
    needs_fetch: bool  # some machine has to fetch the image


@dataclass(slots=True)
class GangPreemption:
    """A placement of the whole gang that becomes possible once the victims have ended."""

    cost: float  # CPU seconds
    placement: GangPlacement
    victims: list[Attempt]


class _DrainedCapacity(NamedTuple):
    """A machine and the number of gang tasks that it can take once all its tasks except services have ended."""

    tasks: int
    spare_cpus: float  # free now, minus one CPU for each service task
    machine: Machine


class _PreemptionCandidate(NamedTuple):
    """A machine with preemption victims; sorted by cost, then by name."""

    cost: float
    name: str
    machine: Machine


def task_capacity(machine: Machine, spec: JobSpec, ended: Iterable[Attempt] = ()) -> int:
    """Return how many tasks of the job fit on the machine once the attempts in `ended` have ended."""
    ended_specs = [a.spec for a in ended if a.spec is not None]
    limits = [float(spec.task_count)]
    for available, required in (
        (machine.capacity_cpus - machine.cpus + sum(s.cpus for s in ended_specs), spec.cpus),
        (machine.capacity_memory_gb - machine.memory_gb + sum(s.memory_gb for s in ended_specs), spec.memory_gb),
        (machine.capacity_gpus - machine.gpus + sum(s.gpus for s in ended_specs), spec.gpus),
    ):
        if required > 0:
            limits.append((available + constants.AMOUNT_TOLERANCE) / required)
    return max(0, math.floor(min(limits)))


def find_placements(spec: JobSpec, machines: Iterable[Machine], zones: Iterable[str]) -> list[GangPlacement]:
    """Return a placement for each zone, or a single one for all zones if the gang may span zones, best first."""
    slots_by_zone: dict[str | None, list[MachineSlots]] = {z: [] for z in zones} if spec.one_zone else {None: []}
    for machine in machines:
        count = task_capacity(machine, spec)
        if count > 0:
            slots_by_zone.setdefault(_zone_key(machine, spec), []).append(MachineSlots(machine, count))
    placements = [_fill_zone(spec, zone, machine_slots) for zone, machine_slots in slots_by_zone.items()]
    placements.sort(key=lambda each: (each.missing_tasks, each.needs_fetch, len(each.machine_slots), each.zone or ""))
    return placements


def _fill_zone(spec: JobSpec, zone: str | None, machine_slots: list[MachineSlots]) -> GangPlacement:
    """Assign tasks to the best machines of a zone until all are placed or no machine is left."""
    # Machine types with room for the whole gang are preferred: tasks on machines of one type run at an even pace.
    capacity_by_type: dict[str, int] = {}
    for slots in machine_slots:
        machine_type = slots.machine.machine_type
        capacity_by_type[machine_type] = capacity_by_type.get(machine_type, 0) + slots.count
    machine_slots.sort(key=lambda slots: _sort_key(slots, spec, capacity_by_type))
    assigned: list[MachineSlots] = []
    tasks_by_zone: dict[str, int] = {}
    missing_tasks = spec.task_count
    for slots in machine_slots:
        count = min(missing_tasks, slots.count)
        if spec.spread_zones:
            count = min(count, spec.zone_limit - tasks_by_zone.get(slots.machine.zone, 0))
        if count > 0:
            assigned.append(MachineSlots(slots.machine, count))
            tasks_by_zone[slots.machine.zone] = tasks_by_zone.get(slots.machine.zone, 0) + count
            missing_tasks -= count
        if not missing_tasks:
            break
    needs_fetch = any(spec.image not in slots.machine.images for slots in assigned)
    return GangPlacement(zone, assigned, missing_tasks, needs_fetch)


def _sort_key(
    slots: MachineSlots, spec: JobSpec, capacity_by_type: dict[str, int]
) -> tuple[float, bool, int, int, float]:
    """Sort key of a machine; lower is better. Prefers, in this order: fewest image fetches (concurrent fetches share
    the machine's fetch rate), on-demand machines, a type with room for the whole gang, most tasks, fewest CPUs left
    over."""
    machine, count = slots.machine, min(slots.count, spec.task_count)
    fetches = 0.0 if spec.image in machine.images else 1.0 + len(machine.images_being_fetched - {spec.image})
    type_fits_gang = capacity_by_type[machine.machine_type] >= spec.task_count
    leftover_cpus = machine.capacity_cpus - machine.cpus - count * spec.cpus
    return fetches, machine.spot, 0 if type_fits_gang else 1, -count, leftover_cpus


def find_preemption(
    spec: JobSpec, placements: list[GangPlacement], machines: Iterable[Machine], select_victims: VictimSelector
) -> GangPreemption | None:
    """Return the cheapest preemption that makes room for the whole gang, or None if there is none."""
    candidates: dict[str | None, list[_PreemptionCandidate]] = {}
    for machine in machines:
        victims = select_victims(machine, 1)
        if victims is not None:
            candidates.setdefault(_zone_key(machine, spec), []).append(
                _PreemptionCandidate(victims.cost, machine.name, machine)
            )
    best: GangPreemption | None = None
    for placement in placements:
        cheapest_first = sorted(candidates.get(placement.zone, ()), key=lambda each: each[:2])
        found = _place_missing_tasks(spec, placement, cheapest_first, select_victims)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _place_missing_tasks(
    spec: JobSpec, placement: GangPlacement, candidates: list[_PreemptionCandidate], select_victims: VictimSelector
) -> GangPreemption | None:
    """Place the missing tasks of a placement on machines with victims; return None if some tasks still find no room."""
    missing_tasks, cost = placement.missing_tasks, 0.0
    victims: list[Attempt] = []
    machine_slots = list(placement.machine_slots)
    tasks_by_zone: dict[str, int] = {}
    for slots in machine_slots:
        tasks_by_zone[slots.machine.zone] = tasks_by_zone.get(slots.machine.zone, 0) + slots.count
    for _, _, machine in candidates:
        max_count = missing_tasks
        if spec.spread_zones:
            max_count = min(max_count, spec.zone_limit - tasks_by_zone.get(machine.zone, 0))
        # Place as many tasks as possible on each machine: every further machine is one more that may be slow or fail.
        for count in range(max_count, 0, -1):
            found = select_victims(machine, count)
            if found is not None:
                missing_tasks -= count
                cost += found.cost
                victims += found.attempts
                tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + count
                machine_slots.append(MachineSlots(machine, count))
                break
        if missing_tasks <= 0:
            return GangPreemption(cost, GangPlacement(placement.zone, machine_slots, 0, placement.needs_fetch), victims)
    return None


def _zone_key(machine: Machine, spec: JobSpec) -> str | None:
    """Return the machine's zone if the gang must run in one zone; None, common to all machines, if it may span
    zones."""
    return machine.zone if spec.one_zone else None


def machines_to_hold(spec: JobSpec, placements: list[GangPlacement], machines: Iterable[Machine]) -> list[Machine]:
    """Return the machines to hold for a gang that finds no room; none if draining `GANG_HOLD_MACHINES` machines makes
    room for the whole gang in no zone. Takes the first zone, in the order of `placements`, where it does, and there the
    machines with the most spare CPUs until the whole gang would fit."""
    by_zone: dict[str | None, list[_DrainedCapacity]] = {}
    for machine in machines:
        drained_capacity = _estimate_drained_capacity(machine, spec)
        if drained_capacity.tasks > 0:
            by_zone.setdefault(_zone_key(machine, spec), []).append(drained_capacity)
    for placement in placements:
        held: list[Machine] = []
        missing_tasks = spec.task_count
        for drained_capacity in sorted(
            by_zone.get(placement.zone, ()), key=lambda each: (-each.spare_cpus, each.machine.name)
        ):
            held.append(drained_capacity.machine)
            missing_tasks -= drained_capacity.tasks
            if missing_tasks <= 0 or len(held) == constants.GANG_HOLD_MACHINES:
                break
        if missing_tasks <= 0:
            return held
    return []


def _estimate_drained_capacity(machine: Machine, spec: JobSpec) -> _DrainedCapacity:
    attempts = [attempt for attempt in machine.attempts.values() if attempt.spec is not None]
    ending = [attempt for attempt in attempts if attempt.spec is not None and not attempt.spec.is_service]
    spare_cpus = machine.capacity_cpus - machine.cpus - (len(attempts) - len(ending))
    return _DrainedCapacity(task_capacity(machine, spec, ending), spare_cpus, machine)
