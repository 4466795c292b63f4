"""Indices of the machines: usable ones, by free CPUs, by cached image, and idle ones.

Machines report changes of their usability to the index, and code that changes capacity or allocations reports those
changes. So the leader can find machines without scanning all of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill.workers.machine_sets import FreeMachines, MachineSet, MachineUnion

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.workers.machine import Machine

_NO_MACHINES = MachineSet()


class MachineIndex:
    """Indices of the machines known in this term."""

    def __init__(self) -> None:
        self.usable = MachineSet()  # machines on which new tasks may be placed
        self.free = FreeMachines()  # usable machines with free CPUs
        self.idle = MachineSet()  # machines without allocations, usable or not
        self._changed: dict[str, Machine] = {}  # machines changed since the demand was last computed
        self._machines_by_image: dict[str, MachineSet] = {}  # image -> machines that have it cached, as estimated

    def usable_changed(self, machine: Machine) -> None:
        """Update the indices after a change of `machine.usable`."""
        self._changed[machine.name] = machine
        if machine.usable:
            self.usable.add(machine)
            self.free.update(machine)
        else:
            self.usable.discard(machine.name)
            self.free.discard(machine.name)

    def room_changed(self, machine: Machine) -> None:
        """Update the indices after a change of the machine's capacity or allocations."""
        self._changed[machine.name] = machine
        if machine.usable:
            self.free.update(machine)
        if machine.bound_count:
            self.idle.discard(machine.name)
        else:
            self.idle.add(machine)

    def delete(self, machine: Machine) -> None:
        """Remove a machine from all indices."""
        self._changed[machine.name] = machine
        for machines in (self.usable, self.free, self.idle):
            machines.discard(machine.name)
        for image in machine.images:
            self._remove_machine_with_image(machine, image)
        machine.images.clear()

    def take_changed_machines(self) -> list[Machine]:
        """Return the machines changed since the last call. Only the demand computation may call it, as the list is
        cleared."""
        changed = list(self._changed.values())
        self._changed.clear()
        return changed

    # --- images ---

    def machines_with_image(self, image: str) -> MachineSet:
        """Machines that have the image cached."""
        return self._machines_by_image.get(image, _NO_MACHINES)

    def record_cached_image(self, machine: Machine, spec: JobSpec) -> None:
        """Record that a task of the job uses its image on the machine: the image is now cached there, and other images
        may have been evicted."""
        self._machines_by_image.setdefault(spec.image, MachineSet()).add(machine)
        for image in machine.record_cached_image(spec.image, spec.image_gb):
            self._remove_machine_with_image(machine, image)

    def _remove_machine_with_image(self, machine: Machine, image: str) -> None:
        machines = self._machines_by_image.get(image)
        if machines is not None:
            machines.discard(machine.name)
            if not machines:
                del self._machines_by_image[image]

    # --- free capacity ---

    def with_room(self, spec: JobSpec) -> MachineSet | MachineUnion:
        """Usable machines that may have enough free CPUs for a task of the job."""
        return self.free.with_room(spec.cpus) if spec.cpus > 0 else self.usable
