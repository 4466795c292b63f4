"""Gang placement, which machines take a gang as a whole: pure decisions over machines that may take tasks of it.

A task of a gang that waits for the others occupies its machine for nothing, so the whole gang is placed at once: by
zone, with the image at hand, on few machines of one type, since the slowest sets the pace. Unlike single tasks it is
placed on no sample: a sample of the machines that have room shows whether one task fits, not whether the rest does."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sorrelsill import constants
from sorrelsill.model import JobSpec
from sorrelsill.workers import Attempt, Machine

# Victims on a machine that let so many more tasks in than fit, and their cost.
VictimSelector = Callable[[Machine, int], tuple[float, list[Attempt]] | None]


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
            fits.append((have + 1e-6) / want)
    return max(0, math.floor(min(fits)))


def find_placements(spec: JobSpec, machines: Iterable[Machine], zones: Iterable[str]) -> list[GangPlacement]:
    """For each zone (one entry for all if the gang may be spread) the machines it would go to, best first."""
    pools: dict[str | None, list[MachineShare]] = {z: [] for z in zones} if spec.one_zone else {None: []}
    for machine in machines:
        count = task_capacity(machine, spec)
        if count > 0:
            pools.setdefault(machine.zone if spec.one_zone else None, []).append(MachineShare(machine, count))
    out = []
    for zone, shares in pools.items():
        # Concurrent fetches share a machine's rate; a type that most of the room is on makes for an even pace.
        kinds: dict[str, int] = {}
        for s in shares:
            kinds[s.machine.machine_type] = kinds.get(s.machine.machine_type, 0) + s.count
        shares.sort(key=lambda s: _sort_key(s, spec, kinds))
        taken: list[MachineShare] = []
        in_zone: dict[str, int] = {}
        left = spec.task_count
        for s in shares:
            count = min(left, s.count)
            if spec.spread_zones:
                count = min(count, spec.zone_limit - in_zone.get(s.machine.zone, 0))
            if count > 0:
                taken.append(MachineShare(s.machine, count))
                in_zone[s.machine.zone] = in_zone.get(s.machine.zone, 0) + count
                left -= count
            if not left:
                break
        out.append(GangPlacement(zone, taken, left, any(spec.image not in s.machine.images for s in taken)))
    out.sort(key=lambda o: (o.missing_tasks, o.needs_fetch, len(o.shares), o.zone or ""))
    return out


def _sort_key(s: MachineShare, spec: JobSpec, kinds: dict[str, int]) -> tuple[float, bool, int, int, float]:
    machine = s.machine
    fetch = 0.0 if spec.image in machine.images else 1.0 + len(machine.fetching - {spec.image})
    enough = kinds[machine.machine_type] >= spec.task_count
    left = machine.capacity_cpus - machine.cpus - min(s.count, spec.task_count) * spec.cpus
    return fetch, machine.spot, 0 if enough else 1, -min(s.count, spec.task_count), left


def find_preemption(
    spec: JobSpec, placements: list[GangPlacement], machines: Iterable[Machine], select_victims: VictimSelector
) -> tuple[GangPlacement, list[Attempt]] | None:
    """The zone in which the cheapest victims let the whole gang in, and these victims; None if none do."""
    candidates: dict[str | None, list[tuple[float, str, Machine]]] = {}
    for machine in machines:
        found = select_victims(machine, 1)
        if found is not None:
            candidates.setdefault(machine.zone if spec.one_zone else None, []).append((found[0], machine.name, machine))
    best: tuple[float, GangPlacement, list[Attempt]] | None = None
    for placement in placements:
        missing_tasks, cost = placement.missing_tasks, 0.0
        chosen: list[Attempt] = []
        shares = list(placement.shares)
        in_zone: dict[str, int] = {}
        for s in shares:
            in_zone[s.machine.zone] = in_zone.get(s.machine.zone, 0) + s.count
        for _, _, machine in sorted(candidates.get(placement.zone, ()), key=lambda o: o[:2]):
            most = (
                min(missing_tasks, spec.zone_limit - in_zone.get(machine.zone, 0))
                if spec.spread_zones
                else missing_tasks
            )
            # As many as may go there at once: each further machine is one more that may be slow or fail.
            for count in range(most, 0, -1):
                found = select_victims(machine, count)
                if found is not None:
                    missing_tasks -= count
                    cost += found[0]
                    chosen += found[1]
                    in_zone[machine.zone] = in_zone.get(machine.zone, 0) + count
                    shares.append(MachineShare(machine, count))
                    break
            if missing_tasks <= 0:
                break
        if missing_tasks <= 0 and (best is None or cost < best[0]):
            best = cost, GangPlacement(placement.zone, shares, 0, placement.needs_fetch), chosen
    return (best[1], best[2]) if best is not None else None


def machines_to_hold(spec: JobSpec, placements: list[GangPlacement], machines: Iterable[Machine]) -> list[Machine]:
    """Machines to hold for a gang that finds no room: in the zone that lacks least, those with most capacity that is
    not a service's, until all would fit. None are held if even all of them would not do."""
    by_zone: dict[str | None, list[tuple[int, float, Machine]]] = {}
    for machine in machines:
        tasks = [a for a in machine.attempts.values() if a.spec is not None]
        ending = [a for a in tasks if a.spec is not None and not a.spec.is_service]
        count = task_capacity(machine, spec, ending)
        if count > 0:
            ease = machine.capacity_cpus - machine.cpus - (len(tasks) - len(ending))
            by_zone.setdefault(machine.zone if spec.one_zone else None, []).append((count, ease, machine))
    for placement in placements:
        kept: list[Machine] = []
        left = spec.task_count
        for count, _, machine in sorted(by_zone.get(placement.zone, ()), key=lambda i: (-i[1], i[2].name)):
            kept.append(machine)
            left -= count
            if left <= 0 or len(kept) == constants.GANG_HOLD_MACHINES:
                break
        if left <= 0:
            return kept
    return []
