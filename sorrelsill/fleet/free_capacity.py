"""How many more tasks of one kind could start at once, by zone. No I/O.

The counts are updated incrementally from the machines that changed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.workers import Machine, MachineIndex

MIN_TASK_AMOUNT = 0.1  # CPUs or GB; tasks that request less count as this much
_ROUNDING_TOLERANCE = 1e-6  # tasks; guards against rounding down a quotient that is just below a whole number


def tasks_that_could_start(machine: Machine, spec: JobSpec) -> int:
    """Number of tasks that could start on the machine, on free capacity or by preemption.

    Tasks of the same or a higher priority (a lower number) and tasks of gangs are not preempted."""
    cpus, memory_gb = machine.capacity_cpus, machine.capacity_memory_gb
    for attempt in machine.attempts.values() if machine.bound_count else ():
        bound_spec = attempt.spec
        if bound_spec is not None and (bound_spec.priority <= spec.priority or bound_spec.is_gang):
            cpus -= bound_spec.cpus
            memory_gb -= bound_spec.memory_gb
    return tasks_that_fit(cpus, memory_gb, spec)


def tasks_that_fit(cpus: float, memory_gb: float, spec: JobSpec) -> int:
    """Number of tasks that fit into the given free capacity (CPUs and GB)."""
    by_cpus = cpus / max(spec.cpus, MIN_TASK_AMOUNT)
    by_memory = memory_gb / max(spec.memory_gb, MIN_TASK_AMOUNT)
    return max(0, int(min(by_cpus, by_memory) + _ROUNDING_TOLERANCE))


class FreeCapacity:
    """Counts how many tasks could start on the schedulable machines. Caches the counts for the spec queried last."""

    def __init__(self, index: MachineIndex) -> None:
        self._index = index
        self._spec: JobSpec | None = None
        self._tasks_by_machine: dict[str, tuple[str, int]] = {}  # machine -> its zone and task count
        self._by_zone: dict[str, int] = {}

    def by_zone(self, spec: JobSpec) -> dict[str, int]:
        """Number of tasks that could start, for each zone with a machine that allows them."""
        changed = self._index.take_changed_machines()
        if spec is not self._spec:
            self._spec = spec
            self._tasks_by_machine.clear()
            self._by_zone.clear()
            changed = list(self._index.usable)
        for machine in changed:
            self._recount(machine, spec)
        return dict(self._by_zone)

    def _recount(self, machine: Machine, spec: JobSpec) -> None:
        zone, tasks = self._tasks_by_machine.pop(machine.name, (machine.zone, 0))
        if tasks:
            self._by_zone[zone] -= tasks
        if machine in self._index.usable and machine.meets_constraints_of(spec):
            tasks = tasks_that_could_start(machine, spec)
            self._tasks_by_machine[machine.name] = machine.zone, tasks
            self._by_zone[machine.zone] = self._by_zone.get(machine.zone, 0) + tasks
