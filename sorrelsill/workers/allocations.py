"""Resources allocated to bound attempts, per machine and per team."""

from __future__ import annotations

from sorrelsill.model import JobSpec
from sorrelsill.workers.machine import Machine
from sorrelsill.workers.machine_index import MachineIndex
from sorrelsill.workers.team_usage import BoundUsage


class Allocations:
    """Allocates and releases resources on machines. Each change updates the machine, the usage of its teams and the
    machine index together, so that they stay consistent."""

    def __init__(self, index: MachineIndex) -> None:
        self.by_team = BoundUsage()
        self._index = index

    def allocate(self, machine: Machine, spec: JobSpec) -> None:
        """Allocate the resources of one task of the job on the machine."""
        machine.bound_count += 1
        machine.cpus += spec.cpus
        machine.gpus += spec.gpus
        machine.memory_gb += spec.memory_gb
        self.by_team.add(spec)
        self._index.room_changed(machine)

    def release(self, machine: Machine, spec: JobSpec) -> None:
        """Release the resources of one task of the job on the machine."""
        machine.bound_count -= 1
        machine.cpus = max(0.0, machine.cpus - spec.cpus)
        machine.gpus = max(0.0, machine.gpus - spec.gpus)
        machine.memory_gb = max(0.0, machine.memory_gb - spec.memory_gb)
        self.by_team.subtract(spec)
        self._index.room_changed(machine)

    def clear(self, machine: Machine) -> None:
        """Reset the usage of a machine without attempts to zero, which removes remaining rounding errors."""
        machine.cpus = machine.gpus = machine.memory_gb = 0.0
        self._index.room_changed(machine)
