"""Which machines to drain, since their services fit on others, so that they can be returned: pure decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

from sorrelsill import constants
from sorrelsill.fleet.free_capacity import tasks_that_fit

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.workers import Attempt, Job, Machine


_LEAST_PRICE = 1e-9  # guards against a division by zero where a price is not known


class _FreeAmounts:
    """Amounts that would be free on a machine."""

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

    def take(self, spec: JobSpec, sign: int = 1) -> None:
        self.cpus -= sign * spec.cpus
        self.gpus -= sign * spec.gpus
        self.memory_gb -= sign * spec.memory_gb


class _Move(NamedTuple):
    """A task's move to a machine."""

    target: _FreeAmounts
    spec: JobSpec


class _ServiceHeadroom:
    """How many tasks of a service could start in each zone; headroom for one more service is to stay free in all."""

    def __init__(self, spec: JobSpec, zones: list[str]) -> None:
        self._spec = spec
        self._by_zone = dict.fromkeys(zones, 0)
        self._counted: dict[str, int] = {}  # by machine

    def count(self, free: _FreeAmounts) -> None:
        """Count the machine, again if it was counted."""
        self.uncount(free)
        machine, spec = free.machine, self._spec
        if machine.zone not in self._by_zone or not machine.allows(spec):
            return
        self._counted[machine.name] = tasks_that_fit(free.cpus, free.memory_gb, spec)
        self._by_zone[machine.zone] += self._counted[machine.name]

    def uncount(self, free: _FreeAmounts) -> None:
        """The machine is returned, or counted again."""
        tasks = self._counted.pop(free.machine.name, 0)
        if tasks:
            self._by_zone[free.machine.zone] -= tasks

    def enough(self) -> bool:
        """Whether headroom for one more service is free in every zone."""
        return all(tasks >= self._spec.zone_limit for tasks in self._by_zone.values())


class _MovePlan:
    """Which tasks move where, machine by machine."""

    def __init__(self, usable: list[Machine], jobs: dict[str, Job], headroom: _ServiceHeadroom | None) -> None:
        self.jobs = jobs
        self._headroom = headroom
        self._free = {machine.name: _FreeAmounts(machine) for machine in usable}
        # A service moves to machines that hold its image alone, the fullest first; the others are not considered.
        self._by_image: dict[str, list[_FreeAmounts]] = {}
        for free in sorted(self._free.values(), key=lambda each: each.cpus):
            for image in free.machine.images:
                self._by_image.setdefault(image, []).append(free)
            if headroom is not None:
                headroom.count(free)
        self.zones: dict[str, dict[str, int]] = {}  # job -> zone -> tasks
        self.drained: set[str] = set()  # machines that are drained
        self.targets: set[str] = set()  # machines that tasks move to: these stay

    def move(self, machine: Machine) -> bool:
        """Find a machine for each task of this one, or change nothing."""
        moves: list[_Move] = []
        attempts = [attempt for attempt in machine.attempts.values() if attempt.spec is not None]
        for attempt in sorted(attempts, key=lambda each: -(each.spec.cpus if each.spec is not None else 0.0)):
            spec, job = attempt.spec, self.jobs.get(attempt.job_id)
            target = self._target_for(machine, spec, job) if spec is not None and job is not None else None
            if target is None or spec is None:
                self._undo(machine, moves)
                return False
            self._shift(spec, machine.zone, target.machine.zone)
            target.take(spec)
            moves.append(_Move(target, spec))
        self.drained.add(machine.name)
        self.targets.update(move.target.machine.name for move in moves)
        if self._headroom is not None:
            self._headroom.uncount(self._free[machine.name])
            for move in moves:
                self._headroom.count(move.target)
        return True

    def _undo(self, machine: Machine, moves: list[_Move]) -> None:
        for move in moves:
            self._shift(move.spec, move.target.machine.zone, machine.zone)
            move.target.take(move.spec, -1)

    def _shift(self, spec: JobSpec, source: str, target: str) -> None:
        zone = self.zones.setdefault(spec.job_id, dict(self.jobs[spec.job_id].zones))
        zone[source] = zone.get(source, 0) - 1
        zone[target] = zone.get(target, 0) + 1

    def _target_for(self, machine: Machine, spec: JobSpec, job: Job) -> _FreeAmounts | None:
        if spec.one_zone:
            return None
        zone = self.zones.setdefault(spec.job_id, dict(job.zones))
        for free in self._by_image.get(spec.image, ()):
            target = free.machine
            left = 1 if target.zone == machine.zone else 0
            if (
                target is not machine
                and target.name not in self.drained
                and free.fits(spec)
                and target.allows(spec)
                and zone.get(target.zone, 0) + 1 - left <= spec.zone_limit
                and job.avoid.get(target.name, 0.0) <= 0.0
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
    most: int = 1,
) -> list[Machine]:
    """Machines whose services fit on others that hold their images, those that cost most for what they run first.
    Headroom for one more service stays free in every zone, or a machine would be rented again at once."""
    usable = [machine for machine in machines if machine.usable]
    movable = [machine for machine in usable if _runs_only_movable_services(machine, now)]
    movable.sort(key=lambda machine: machine.cpus / max(price(machine), _LEAST_PRICE))
    headroom = _ServiceHeadroom(headroom_spec, zones) if headroom_spec is not None else None
    plan = _MovePlan(usable, jobs, headroom)
    drained: list[Machine] = []
    for machine in movable[: constants.REBALANCE_CANDIDATES * most]:
        if len(drained) == most:
            break
        if machine.name in plan.targets or not plan.move(machine):
            continue
        if headroom is not None and not headroom.enough():
            break
        drained.append(machine)
    return drained


def _runs_only_movable_services(machine: Machine, now: float) -> bool:
    """Whether an on-demand machine runs services alone, all of them for long enough to be moved."""
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
