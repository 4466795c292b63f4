"""Rebalancing: which machines to drain since their services fit on others, so that they can be returned. No I/O;
callers pass the current time."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

from sorrelsill import constants
from sorrelsill.fleet.free_capacity import tasks_that_fit

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.workers import Attempt, Job, Machine


_MIN_PRICE = 1e-9  # guards against a division by zero if the price is not known


class _FreeResources:
    """CPUs, GPUs and memory that would be free on a machine after the planned moves."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.cpus = machine.capacity_cpus - machine.cpus
        self.gpus = machine.capacity_gpus - machine.gpus
        self.memory_gb = machine.capacity_memory_gb - machine.memory_gb

    def fits(self, spec: JobSpec) -> bool:
        tolerance = constants.AMOUNT_TOLERANCE
        return (
            self.cpus + tolerance >= spec.cpus
            and self.gpus + tolerance >= spec.gpus
            and self.memory_gb + tolerance >= spec.memory_gb
        )

    def reserve(self, spec: JobSpec, sign: int = 1) -> None:
        """Reserve the resources of a task; with `sign` -1, release them again."""
        self.cpus -= sign * spec.cpus
        self.gpus -= sign * spec.gpus
        self.memory_gb -= sign * spec.memory_gb


class _Move(NamedTuple):
    """The move of one task to a machine."""

    target: _FreeResources
    spec: JobSpec


class _ServiceHeadroom:
    """Counts how many tasks of a service could start in each zone, to keep headroom for one more such service."""

    def __init__(self, spec: JobSpec, zones: list[str]) -> None:
        self._spec = spec
        self._by_zone = dict.fromkeys(zones, 0)
        self._tasks_by_machine: dict[str, int] = {}  # the counts in `_by_zone`, by machine

    def update(self, free: _FreeResources) -> None:
        """Count the tasks that fit on the machine, in place of its earlier count."""
        self.remove(free)
        machine, spec = free.machine, self._spec
        if machine.zone not in self._by_zone or not machine.meets_constraints_of(spec):
            return
        self._tasks_by_machine[machine.name] = tasks_that_fit(free.cpus, free.memory_gb, spec)
        self._by_zone[machine.zone] += self._tasks_by_machine[machine.name]

    def remove(self, free: _FreeResources) -> None:
        """Drop the count of the machine."""
        tasks = self._tasks_by_machine.pop(free.machine.name, 0)
        if tasks:
            self._by_zone[free.machine.zone] -= tasks

    def is_sufficient(self) -> bool:
        """Whether every zone has headroom for one more service."""
        return all(tasks >= self._spec.zone_limit for tasks in self._by_zone.values())


class _MovePlan:
    """Plans the moves of tasks, one drained machine at a time."""

    def __init__(self, usable: list[Machine], jobs: dict[str, Job], headroom: _ServiceHeadroom | None) -> None:
        self.jobs = jobs
        self._headroom = headroom
        self._free = {machine.name: _FreeResources(machine) for machine in usable}
        # A service moves only to machines that hold its image, those with the fewest free CPUs first.
        self._by_image: dict[str, list[_FreeResources]] = {}
        for free in sorted(self._free.values(), key=lambda each: each.cpus):
            for image in free.machine.images:
                self._by_image.setdefault(image, []).append(free)
            if headroom is not None:
                headroom.update(free)
        self.zones: dict[str, dict[str, int]] = {}  # job -> zone -> number of tasks after the planned moves
        self.drained: set[str] = set()  # machines to drain
        self.targets: set[str] = set()  # machines that tasks move to; these are not drained

    def plan_drain(self, machine: Machine) -> bool:
        """Plan to move all tasks off the machine. Returns False and changes nothing if one of them fits nowhere."""
        moves: list[_Move] = []
        attempts = [attempt for attempt in machine.attempts.values() if attempt.spec is not None]
        for attempt in sorted(attempts, key=lambda each: -(each.spec.cpus if each.spec is not None else 0.0)):
            spec, job = attempt.spec, self.jobs.get(attempt.job_id)
            target = self._find_target(machine, spec, job) if spec is not None and job is not None else None
            if target is None or spec is None:
                self._undo(machine, moves)
                return False
            self._change_zone(spec, machine.zone, target.machine.zone)
            target.reserve(spec)
            moves.append(_Move(target, spec))
        self.drained.add(machine.name)
        self.targets.update(move.target.machine.name for move in moves)
        if self._headroom is not None:
            self._headroom.remove(self._free[machine.name])
            for move in moves:
                self._headroom.update(move.target)
        return True

    def _undo(self, machine: Machine, moves: list[_Move]) -> None:
        for move in moves:
            self._change_zone(move.spec, move.target.machine.zone, machine.zone)
            move.target.reserve(move.spec, -1)

    def _change_zone(self, spec: JobSpec, source: str, target: str) -> None:
        """Count a task of the job in the zone `target` instead of `source`."""
        tasks_by_zone = self.zones.setdefault(spec.job_id, dict(self.jobs[spec.job_id].zones))
        tasks_by_zone[source] = tasks_by_zone.get(source, 0) - 1
        tasks_by_zone[target] = tasks_by_zone.get(target, 0) + 1

    def _find_target(self, machine: Machine, spec: JobSpec, job: Job) -> _FreeResources | None:
        """A machine that can take the task and holds its image, or None. A task of a job that must stay in one zone is
        never moved."""
        if spec.one_zone:
            return None
        tasks_by_zone = self.zones.setdefault(spec.job_id, dict(job.zones))
        for free in self._by_image.get(spec.image, ()):
            target = free.machine
            moved_away = 1 if target.zone == machine.zone else 0
            if (
                target is not machine
                and target.name not in self.drained
                and free.fits(spec)
                and target.meets_constraints_of(spec)
                and tasks_by_zone.get(target.zone, 0) + 1 - moved_away <= spec.zone_limit
                and job.avoided_machines.get(target.name, 0.0) <= 0.0
            ):
                return free
        return None


def machines_to_drain(
    machines: Iterable[Machine],
    jobs: dict[str, Job],
    now: float,
    price: Callable[[Machine], float],
    headroom_spec: JobSpec | None,
    zones: list[str],
    max_machines: int = 1,
) -> list[Machine]:
    """Up to `max_machines` machines whose services fit on others that hold their images.

    Machines with the highest price per used CPU come first. Headroom for one more service stays free in every zone:
    otherwise a machine would be rented again at once."""
    usable = [machine for machine in machines if machine.usable]
    movable = [machine for machine in usable if _runs_only_movable_services(machine, now)]
    movable.sort(key=lambda machine: machine.cpus / max(price(machine), _MIN_PRICE))
    headroom = _ServiceHeadroom(headroom_spec, zones) if headroom_spec is not None else None
    plan = _MovePlan(usable, jobs, headroom)
    drained: list[Machine] = []
    for machine in movable[: constants.REBALANCE_CANDIDATES * max_machines]:
        if len(drained) == max_machines:
            break
        if machine.name in plan.targets or not plan.plan_drain(machine):
            continue
        if headroom is not None and not headroom.is_sufficient():
            break
        drained.append(machine)
    return drained


def _runs_only_movable_services(machine: Machine, now: float) -> bool:
    """Whether the machine is on-demand and runs nothing but services that have run long enough to be moved."""
    if machine.spot:
        return False
    attempts = machine.attempts.values()
    if any(attempt.spec is None and not attempt.exited for attempt in attempts):
        return False
    known = [attempt for attempt in attempts if attempt.spec is not None]
    return bool(known) and all(_is_movable(attempt, now) for attempt in known)


def _is_movable(attempt: Attempt, now: float) -> bool:
    return (
        not attempt.stop_requested
        and attempt.spec is not None
        and attempt.spec.is_service
        and attempt.running_since is not None
        and now - attempt.running_since >= constants.MIN_RUN_BEFORE_MOVE_S
    )
