"""The machines of one term, and those that have pending commands or a reclaim notice."""

from __future__ import annotations

from sorrelsill.model import Catalog, MachineType
from sorrelsill.workers.lease_monitor import LeaseMonitor
from sorrelsill.workers.machine import Machine
from sorrelsill.workers.machine_index import MachineIndex


class MachineTable:
    """The known machines by name; keeps the machine index and the lease timers consistent with them."""

    def __init__(self, catalog: Catalog, leases: LeaseMonitor) -> None:
        self._catalog = catalog
        self.machines: dict[str, Machine] = {}
        self.with_pending_commands: dict[str, Machine] = {}  # may have commands not sent yet
        self.with_reclaim_notice: dict[str, Machine] = {}
        self.index = MachineIndex()
        self._leases = leases

    def add(self, name: str, now: float) -> Machine:
        """Add a machine of which only the name is known."""
        machine = self.machines[name] = Machine(name, now, self._usable_changed)
        self.index.room_changed(machine)
        return machine

    def identify(self, machine: Machine, machine_type: str, zone: str, spot: bool) -> None:
        """Set the machine's type, zone and spot status once they are known, and its capacity by its type."""
        machine.machine_type, machine.zone, machine.spot = machine_type, zone, spot
        self._apply_capacity(machine)

    def remove(self, machine: Machine) -> None:
        """Remove a machine from the table and from all indices."""
        del self.machines[machine.name]
        self.index.delete(machine)

    def discard_pending(self, name: str) -> None:
        """Remove the machine from the lists of pending commands and reclaim notices."""
        self.with_pending_commands.pop(name, None)
        self.with_reclaim_notice.pop(name, None)

    def set_catalog(self, catalog: Catalog) -> None:
        """Replace the catalog of machine types, and update the capacities of all machines from it."""
        self._catalog = catalog
        for machine in self.machines.values():
            self._apply_capacity(machine)

    def _apply_capacity(self, machine: Machine) -> None:
        machine_type: MachineType | None = self._catalog.machine_types.get(machine.machine_type)
        if machine_type is not None:
            machine.capacity_cpus = machine_type.cpus
            machine.capacity_gpus = machine_type.gpus
            machine.capacity_memory_gb = machine_type.memory_gb
            machine.cache_gb = machine_type.cache_gb
            self.index.room_changed(machine)

    def _usable_changed(self, machine: Machine) -> None:
        if self.machines.get(machine.name) is machine:
            self.index.usable_changed(machine)
            if machine.usable:
                # A machine whose heartbeat was overdue has its timer set for the expiry of its lease, and a new machine
                # may have no timer. From now on the check is due earlier: when the heartbeat becomes overdue.
                self._leases.watch(machine)
