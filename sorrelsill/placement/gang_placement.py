"""Gang placement, which machines take a gang as a whole: pure decisions over machines that may take tasks of it.

A task of a gang that waits for the others occupies its machine for nothing, so the whole gang is placed at once: by
zone, with the image at hand, on few machines of one type, since the slowest sets the pace. Unlike single tasks it is
placed on no sample: a sample of the machines that have room shows whether one task fits, not whether the rest does."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from sorrelsill import constants
from sorrelsill.model import JobSpec
from sorrelsill.placement.victims import VictimSet
from sorrelsill.workers import Attempt, Machine

# Victims on a machine that let so many more tasks in than fit, and their cost.
VictimSelector = Callable[[Machine, int], VictimSet | None]


@dataclass(slots=True)
class MachineShare:
    """A machine and how many tasks of the gang it can take."""

    machine: Machine
    count: int


@dataclass(slots=True)
class GangPlacement:
    """Machines for a gang in one zone, or in any if it may be spread; `missing_tasks` find no room."""

    zone: str | None
    shares: list[MachineShare]
    missing_tasks: int
    needs_fetch: bool  # an image has to be fetched


@dataclass(slots=True)
class GangPreemption:
    """A placement of the whole gang once its victims have ended."""

    cost: float  # CPU seconds
    placement: GangPlacement
    victims: list[Attempt]


class _Drainable(NamedTuple):
    """A machine and how many tasks of the gang it can take once all but its services have ended."""

    tasks: int
    spare_cpus: float  # free now, less one for each service
    machine: Machine


class _Candidate(NamedTuple):
    """A machine with victims; lower cost goes first, then the name."""

    cost: float
    name: str
    machine: Machine


def task_capacity(machine: Machine, spec: JobSpec, gone: Iterable[Attempt] = ()) -> int:
    """Tasks that fit on a machine, as it stands or once some others are gone."""
    freed = [a.spec for a in gone if a.spec is not None]
    fits = [float(spec.task_count)]
    for have, want in (
        (machine.capacity_cpus - machine.cpus + sum(s.cpus for s in freed), spec.cpus),
        (machine.capacity_memory_gb - machine.memory_gb + sum(s.memory_gb for s in freed), spec.memory_gb),
        (machine.capacity_gpus - machine.gpus + sum(s.gpus for s in freed), spec.gpus),
    ):
        if want > 0:
            fits.append((have + constants.AMOUNT_TOLERANCE) / want)
    return max(0, math.floor(min(fits)))


def find_placements(spec: JobSpec, machines: Iterable[Machine], zones: Iterable[str]) -> list[GangPlacement]:
    """For each zone (one entry for all if the gang may be spread) the machines it would go to, best first."""
    pools: dict[str | None, list[MachineShare]] = {z: [] for z in zones} if spec.one_zone else {None: []}
    for machine in machines:
        count = task_capacity(machine, spec)
        if count > 0:
            pools.setdefault(_zone_key(machine, spec), []).append(MachineShare(machine, count))
    placements = [_fill_zone(spec, zone, shares) for zone, shares in pools.items()]
    placements.sort(key=lambda each: (each.missing_tasks, each.needs_fetch, len(each.shares), each.zone or ""))
    return placements


def _fill_zone(spec: JobSpec, zone: str | None, shares: list[MachineShare]) -> GangPlacement:
    """Take the best machines of a zone until the gang fits."""
    # Concurrent fetches share a machine's rate; a type that most of the room is on makes for an even pace.
    capacity_by_type: dict[str, int] = {}
    for share in shares:
        machine_type = share.machine.machine_type
        capacity_by_type[machine_type] = capacity_by_type.get(machine_type, 0) + share.count
    shares.sort(key=lambda share: _sort_key(share, spec, capacity_by_type))
    taken: list[MachineShare] = []
    in_zone: dict[str, int] = {}
    missing_tasks = spec.task_count
    for share in shares:
        count = min(missing_tasks, share.count)
        if spec.spread_zones:
            count = min(count, spec.zone_limit - in_zone.get(share.machine.zone, 0))
        if count > 0:
            taken.append(MachineShare(share.machine, count))
            in_zone[share.machine.zone] = in_zone.get(share.machine.zone, 0) + count
            missing_tasks -= count
        if not missing_tasks:
            break
    needs_fetch = any(spec.image not in share.machine.images for share in taken)
    return GangPlacement(zone, taken, missing_tasks, needs_fetch)


def _sort_key(
    share: MachineShare, spec: JobSpec, capacity_by_type: dict[str, int]
) -> tuple[float, bool, int, int, float]:
    """Lower goes first: least to fetch, on-demand, one type for all, most tasks, least CPUs left over."""
    machine, count = share.machine, min(share.count, spec.task_count)
    fetches = 0.0 if spec.image in machine.images else 1.0 + len(machine.fetching - {spec.image})
    enough = capacity_by_type[machine.machine_type] >= spec.task_count
    left_over = machine.capacity_cpus - machine.cpus - count * spec.cpus
    return fetches, machine.spot, 0 if enough else 1, -count, left_over


def find_preemption(
    spec: JobSpec, placements: list[GangPlacement], machines: Iterable[Machine], select_victims: VictimSelector
) -> GangPreemption | None:
    """The zone in which the cheapest victims let the whole gang in, and these victims; None if none do."""
    candidates: dict[str | None, list[_Candidate]] = {}
    for machine in machines:
        victims = select_victims(machine, 1)
        if victims is not None:
            candidates.setdefault(_zone_key(machine, spec), []).append(_Candidate(victims.cost, machine.name, machine))
    best: GangPreemption | None = None
    for placement in placements:
        cheapest_first = sorted(candidates.get(placement.zone, ()), key=lambda each: each[:2])
        found = _complete(spec, placement, cheapest_first, select_victims)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _complete(
    spec: JobSpec, placement: GangPlacement, candidates: list[_Candidate], select_victims: VictimSelector
) -> GangPreemption | None:
    """Place the missing tasks on machines with victims; None if some still find no room."""
    missing_tasks, cost = placement.missing_tasks, 0.0
    victims: list[Attempt] = []
    shares = list(placement.shares)
    in_zone: dict[str, int] = {}
    for share in shares:
        in_zone[share.machine.zone] = in_zone.get(share.machine.zone, 0) + share.count
    for _, _, machine in candidates:
        most = missing_tasks
        if spec.spread_zones:
            most = min(most, spec.zone_limit - in_zone.get(machine.zone, 0))
        # As many as may go there at once: each further machine is one more that may be slow or fail.
        for count in range(most, 0, -1):
            found = select_victims(machine, count)
            if found is not None:
                missing_tasks -= count
                cost += found.cost
                victims += found.attempts
                in_zone[machine.zone] = in_zone.get(machine.zone, 0) + count
                shares.append(MachineShare(machine, count))
                break
        if missing_tasks <= 0:
            return GangPreemption(cost, GangPlacement(placement.zone, shares, 0, placement.needs_fetch), victims)
    return None


def _zone_key(machine: Machine, spec: JobSpec) -> str | None:
    """The zone if the gang must stay in one; None, for all machines together, if it may be spread."""
    return machine.zone if spec.one_zone else None


def machines_to_hold(spec: JobSpec, placements: list[GangPlacement], machines: Iterable[Machine]) -> list[Machine]:
    """Machines to hold for a gang that finds no room: in the zone that lacks least, those with most capacity that is
    not a service's, until all would fit. None are held if even all of them would not do."""
    by_zone: dict[str | None, list[_Drainable]] = {}
    for machine in machines:
        drainable = _drainable(machine, spec)
        if drainable.tasks > 0:
            by_zone.setdefault(_zone_key(machine, spec), []).append(drainable)
    for placement in placements:
        held: list[Machine] = []
        missing_tasks = spec.task_count
        for drainable in sorted(
            by_zone.get(placement.zone, ()), key=lambda each: (-each.spare_cpus, each.machine.name)
        ):
            held.append(drainable.machine)
            missing_tasks -= drainable.tasks
            if missing_tasks <= 0 or len(held) == constants.GANG_HOLD_MACHINES:
                break
        if missing_tasks <= 0:
            return held
    return []


def _drainable(machine: Machine, spec: JobSpec) -> _Drainable:
    attempts = [attempt for attempt in machine.attempts.values() if attempt.spec is not None]
    ending = [attempt for attempt in attempts if attempt.spec is not None and not attempt.spec.is_service]
    spare_cpus = machine.capacity_cpus - machine.cpus - (len(attempts) - len(ending))
    return _Drainable(task_capacity(machine, spec, ending), spare_cpus, machine)
