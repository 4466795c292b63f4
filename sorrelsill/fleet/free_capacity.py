"""How many more tasks of one kind could start at once, by zone, kept current from the machines that changed. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.workers import Machine, MachineIndex

SMALLEST_AMOUNT = 0.1  # CPUs or GB; tasks that ask for less count as this much
_TOLERANCE = 1e-6  # tasks


def tasks_that_could_start(machine: Machine, spec: JobSpec) -> int:
    """Tasks that could start on one machine, on free capacity or by preemption."""
    cpus, memory_gb = machine.capacity_cpus, machine.capacity_memory_gb
    for attempt in machine.attempts.values() if machine.bound_count else ():
        kept = attempt.spec
        if kept is not None and (kept.priority <= spec.priority or kept.is_gang):
            cpus -= kept.cpus
            memory_gb -= kept.memory_gb
    return tasks_that_fit(cpus, memory_gb, spec)


def tasks_that_fit(cpus: float, memory_gb: float, spec: JobSpec) -> int:
    """How many tasks fit into so much free capacity (CPUs, GB)."""
    by_cpus = cpus / max(spec.cpus, SMALLEST_AMOUNT)
    by_memory = memory_gb / max(spec.memory_gb, SMALLEST_AMOUNT)
    return max(0, int(min(by_cpus, by_memory) + _TOLERANCE))


class FreeCapacity:
    """Free capacity of all schedulable machines, for the kind of task that was last queried."""

    def __init__(self, index: MachineIndex) -> None:
        self._index = index
        self._spec: JobSpec | None = None
        self._counted: dict[str, tuple[str, int]] = {}  # machine -> its zone and the tasks counted there
        self._by_zone: dict[str, int] = {}

    def by_zone(self, spec: JobSpec) -> dict[str, int]:
        """Tasks that could start, in each zone where there is a machine that allows them."""
        changed = self._index.take_changed()
        if spec is not self._spec:
            self._spec = spec
            self._counted.clear()
            self._by_zone.clear()
            changed = list(self._index.ready)
        for machine in changed:
            self._recount(machine, spec)
        return dict(self._by_zone)

    def _recount(self, machine: Machine, spec: JobSpec) -> None:
        zone, tasks = self._counted.pop(machine.name, (machine.zone, 0))
        if tasks:
            self._by_zone[zone] -= tasks
        if machine in self._index.ready and machine.allows(spec):
            tasks = tasks_that_could_start(machine, spec)
            self._counted[machine.name] = machine.zone, tasks
            self._by_zone[machine.zone] = self._by_zone.get(machine.zone, 0) + tasks
