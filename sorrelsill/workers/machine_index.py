"""Indices of the machines: which may be given work, how much is free on them, who holds an image, which are idle.

Machines report when they begin or cease to be usable; whoever changes what is bound to a machine says so. So no part of
the leader walks all machines to find the ones that it wants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill.workers.machine_sets import FreeMachines, MachineSet, MachineUnion

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.workers.machine import Machine

_NO_MACHINES = MachineSet()


class MachineIndex:
    """Kept for the machines that are known in this term."""

    def __init__(self) -> None:
        self.ready = MachineSet()  # machines that may be given work
        self.free = FreeMachines()  # those of them with CPUs left
        self.idle = MachineSet()  # machines that hold no room for any task, usable or not
        self._changed: dict[str, Machine] = {}  # machines that changed since the demand was last worked out
        self._holders: dict[str, MachineSet] = {}  # image -> machines that hold it, as far as is guessed

    def usable_changed(self, machine: Machine) -> None:
        """The machine begins or ceases to be one that may be given work."""
        self._changed[machine.name] = machine
        if machine.usable:
            self.ready.add(machine)
            self.free.update(machine)
        else:
            self.ready.discard(machine.name)
            self.free.discard(machine.name)

    def room_changed(self, machine: Machine) -> None:
        """Its size, or what is bound to it, has changed."""
        self._changed[machine.name] = machine
        if machine.usable:
            self.free.update(machine)
        if machine.bound_count:
            self.idle.discard(machine.name)
        else:
            self.idle.add(machine)

    def remove_machine(self, machine: Machine) -> None:
        """The machine is gone."""
        self._changed[machine.name] = machine
        for machines in (self.ready, self.free, self.idle):
            machines.discard(machine.name)
        for image in machine.images:
            self._remove_holder(machine, image)
        machine.images.clear()

    def take_changed(self) -> list[Machine]:
        """The machines that have changed since this was last called; only the demand for machines calls it."""
        changed = list(self._changed.values())
        self._changed.clear()
        return changed

    # --- images ---

    def holders(self, image: str) -> MachineSet:
        """Machines that hold the image."""
        return self._holders.get(image, _NO_MACHINES)

    def record_cached_image(self, machine: Machine, spec: JobSpec) -> None:
        """A task with this image runs there, so the image is there, and others may have made way for it."""
        self._holders.setdefault(spec.image, MachineSet()).add(machine)
        for image in machine.record_cached_image(spec.image, spec.image_gb):
            self._remove_holder(machine, image)

    def _remove_holder(self, machine: Machine, image: str) -> None:
        holders = self._holders.get(image)
        if holders is not None:
            holders.discard(machine.name)
            if not holders:
                del self._holders[image]

    # --- room ---

    def with_room(self, spec: JobSpec) -> MachineSet | MachineUnion:
        """Machines that may be given work and may have the CPUs for a task of the job."""
        return self.free.with_room(spec.cpus) if spec.cpus > 0 else self.ready
