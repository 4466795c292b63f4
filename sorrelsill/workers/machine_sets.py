"""Sets of machines that support random sampling, and an index of machines by free CPUs. No I/O.

The scheduler examines a sample of the machines; these sets provide one without iterating over or copying the fleet."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import chain
from typing import TYPE_CHECKING, overload

from sorrelsill.constants import AMOUNT_TOLERANCE, FREE_CPU_CLASSES

if TYPE_CHECKING:
    from sorrelsill.workers.machine import Machine

_MICROS_PER_CPU = 1_000_000  # CPUs are summed as integers, as sums of floats would accumulate rounding errors


class MachineSet(Sequence["Machine"]):
    """Machines in no particular order, with insertion, removal and access by position in constant time."""

    __slots__ = ("_machines", "_positions")

    def __init__(self) -> None:
        self._machines: list[Machine] = []
        self._positions: dict[str, int] = {}  # by name

    def add(self, machine: Machine) -> None:
        """Add a machine; without effect if it is in the set already."""
        if machine.name not in self._positions:
            self._positions[machine.name] = len(self._machines)
            self._machines.append(machine)

    def discard(self, name: str) -> None:
        """Remove a machine, if present. The last machine of the list takes the freed position."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._machines.pop()
        if last.name != name:
            self._machines[position] = last
            self._positions[last.name] = position

    def at_positions(self, positions: list[int]) -> list[Machine]:
        """Return the machines at these positions."""
        return [self._machines[position] for position in positions]

    def names(self) -> set[str]:
        """The names of the machines in the set; for tests and consistency checks."""
        return set(self._positions)

    def __contains__(self, machine: object) -> bool:
        return getattr(machine, "name", None) in self._positions

    def __len__(self) -> int:
        return len(self._machines)

    def __iter__(self) -> Iterator[Machine]:
        return iter(self._machines)

    @overload
    def __getitem__(self, index: int) -> Machine: ...

    @overload
    def __getitem__(self, index: slice) -> list[Machine]: ...

    def __getitem__(self, index: int | slice) -> Machine | list[Machine]:
        return self._machines[index]


class MachineUnion(Sequence["Machine"]):
    """A view of several disjoint sets as one sequence, without copying."""

    __slots__ = ("_lists",)

    def __init__(self, sets: list[MachineSet]) -> None:
        self._lists = [machines._machines for machines in sets]

    def __len__(self) -> int:
        return sum(map(len, self._lists))

    def __iter__(self) -> Iterator[Machine]:
        return chain.from_iterable(self._lists)

    @overload
    def __getitem__(self, index: int) -> Machine: ...

    @overload
    def __getitem__(self, index: slice) -> list[Machine]: ...

    def __getitem__(self, index: int | slice) -> Machine | list[Machine]:
        if isinstance(index, slice):
            return list(self)[index]
        return self.at_positions([index])[0]

    def at_positions(self, positions: list[int]) -> list[Machine]:
        """Return the machines at these positions, which must be in ascending order, in one pass over the sets."""
        found: list[Machine] = []
        lists = iter(self._lists)
        current: list[Machine] = []
        preceding = 0  # machines in the sets before the current one
        for position in positions:
            while position - preceding >= len(current):
                preceding += len(current)
                current = next(lists)
            found.append(current[position - preceding])
        return found


class FreeMachines:
    """Machines by their number of free CPUs, so that machines too full for a task are skipped."""

    def __init__(self) -> None:
        self._classes = [MachineSet() for _ in range(FREE_CPU_CLASSES)]
        # Machine name -> class: the whole number of free CPUs, at most FREE_CPU_CLASSES - 1
        self._class_of: dict[str, int] = {}
        # On-demand machines only, in millionths of a CPU: machine -> (zone, free CPUs)
        self._free_cpus_by_machine: dict[str, tuple[str, int]] = {}
        self._free_cpus_by_zone: dict[str, int] = {}  # zone -> free CPUs, in the same unit

    def update(self, machine: Machine) -> None:
        """Insert a usable machine, or update its entry after a change of its free CPUs; a full machine is removed."""
        free = machine.capacity_cpus - machine.cpus
        if free <= AMOUNT_TOLERANCE:
            self.discard(machine.name)
            return
        class_index = min(int(free + AMOUNT_TOLERANCE), FREE_CPU_CLASSES - 1)
        previous = self._class_of.get(machine.name)
        if previous != class_index:
            if previous is not None:
                self._classes[previous].discard(machine.name)
            self._classes[class_index].add(machine)
            self._class_of[machine.name] = class_index
        self._count_free_cpus(machine, free)

    def discard(self, name: str) -> None:
        """Remove a machine that is full or not usable any more."""
        class_index = self._class_of.pop(name, None)
        if class_index is not None:
            self._classes[class_index].discard(name)
            self._uncount_free_cpus(name)

    def _count_free_cpus(self, machine: Machine, free: float) -> None:
        if machine.spot:
            return
        self._uncount_free_cpus(machine.name)
        amount = round(free * _MICROS_PER_CPU)
        self._free_cpus_by_machine[machine.name] = machine.zone, amount
        self._free_cpus_by_zone[machine.zone] = self._free_cpus_by_zone.get(machine.zone, 0) + amount

    def _uncount_free_cpus(self, name: str) -> None:
        zone, amount = self._free_cpus_by_machine.pop(name, ("", 0))
        if amount:
            self._free_cpus_by_zone[zone] -= amount
            if not self._free_cpus_by_zone[zone]:
                del self._free_cpus_by_zone[zone]

    def on_demand_cpus(self) -> dict[str, float]:
        """Free CPUs on on-demand machines, which are not reclaimed, by zone."""
        return {zone: amount / _MICROS_PER_CPU for zone, amount in self._free_cpus_by_zone.items()}

    def with_room(self, cpus: float) -> MachineUnion:
        """Machines that may have this many free CPUs, leaving out those that certainly have fewer."""
        return MachineUnion(self._classes[min(int(cpus), FREE_CPU_CLASSES - 1) :])

    def names(self) -> set[str]:
        """The names of the machines in the index; for tests and consistency checks."""
        return set(self._class_of)

    def __contains__(self, name: object) -> bool:
        return name in self._class_of

    def __len__(self) -> int:
        return len(self._class_of)
