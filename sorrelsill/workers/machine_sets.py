"""Sets of machines that can be drawn from at random, and an index of machines by the room that is left on them. Pure.

The scheduler looks at a sample of the machines; these sets give it one without walking or copying the fleet."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import chain
from typing import TYPE_CHECKING, overload

from sorrelsill.constants import AMOUNT_TOLERANCE, FREE_CPU_CLASSES

if TYPE_CHECKING:
    from sorrelsill.workers.machine import Machine

_MICRO = 1_000_000  # CPUs are added up in millionths, as whole numbers: sums of fractions would drift


class MachineSet(Sequence["Machine"]):
    """Machines in no particular order: adding, removing and reaching the nth one take the same time however many."""

    __slots__ = ("_machines", "_positions")

    def __init__(self) -> None:
        self._machines: list[Machine] = []
        self._positions: dict[str, int] = {}  # by name

    def add(self, machine: Machine) -> None:
        """Without effect if it is in the set."""
        if machine.name not in self._positions:
            self._positions[machine.name] = len(self._machines)
            self._machines.append(machine)

    def discard(self, name: str) -> None:
        """The last machine takes the place of the one removed."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._machines.pop()
        if last.name != name:
            self._machines[position] = last
            self._positions[last.name] = position

    def at_positions(self, positions: list[int]) -> list[Machine]:
        """The machines at these positions."""
        return [self._machines[position] for position in positions]

    def names(self) -> set[str]:
        """For tests and checks."""
        return set(self._positions)

    def __contains__(self, machine: object) -> bool:
        return getattr(machine, "name", None) in self._positions

    def __len__(self) -> int:
        return len(self._machines)

    def __iter__(self) -> Iterator[Machine]:
        return iter(self._machines)

    @overload
    def __getitem__(self, at: int) -> Machine: ...

    @overload
    def __getitem__(self, at: slice) -> list[Machine]: ...

    def __getitem__(self, at: int | slice) -> Machine | list[Machine]:
        return self._machines[at]


class MachineUnion(Sequence["Machine"]):
    """Several disjoint sets as one, without a copy."""

    __slots__ = ("_lists",)

    def __init__(self, sets: list[MachineSet]) -> None:
        self._lists = [machines._machines for machines in sets]

    def __len__(self) -> int:
        return sum(map(len, self._lists))

    def __iter__(self) -> Iterator[Machine]:
        return chain.from_iterable(self._lists)

    @overload
    def __getitem__(self, at: int) -> Machine: ...

    @overload
    def __getitem__(self, at: slice) -> list[Machine]: ...

    def __getitem__(self, at: int | slice) -> Machine | list[Machine]:
        if isinstance(at, slice):
            return list(self)[at]
        return self.at_positions([at])[0]

    def at_positions(self, positions: list[int]) -> list[Machine]:
        """The machines at these positions, which are in rising order, in one pass over the sets."""
        found: list[Machine] = []
        lists = iter(self._lists)
        current: list[Machine] = []
        passed = 0  # machines in the sets before the current one
        for position in positions:
            while position - passed >= len(current):
                passed += len(current)
                current = next(lists)
            found.append(current[position - passed])
        return found


class FreeMachines:
    """Machines with CPUs left, by how many: what is too full for a task is never looked at."""

    def __init__(self) -> None:
        self._classes = [MachineSet() for _ in range(FREE_CPU_CLASSES)]
        self._class_of: dict[str, int] = {}  # by name
        self._counted: dict[str, tuple[str, int]] = {}  # ordinary machine -> its zone, and its millionths of free CPUs
        self._ordinary: dict[str, int] = {}  # zone -> millionths of CPUs free on ordinary machines

    def put(self, machine: Machine) -> None:
        """The machine may be given work, and this is what is free on it now."""
        free = machine.capacity_cpus - machine.cpus
        if free <= AMOUNT_TOLERANCE:
            self.discard(machine.name)
            return
        number = min(int(free + AMOUNT_TOLERANCE), FREE_CPU_CLASSES - 1)
        former = self._class_of.get(machine.name)
        if former != number:
            if former is not None:
                self._classes[former].discard(machine.name)
            self._classes[number].add(machine)
            self._class_of[machine.name] = number
        self._count(machine, free)

    def discard(self, name: str) -> None:
        """The machine is full, or may be given no work."""
        number = self._class_of.pop(name, None)
        if number is not None:
            self._classes[number].discard(name)
            self._uncount(name)

    def _count(self, machine: Machine, free: float) -> None:
        if machine.spot:
            return
        self._uncount(machine.name)
        amount = round(free * _MICRO)
        self._counted[machine.name] = machine.zone, amount
        self._ordinary[machine.zone] = self._ordinary.get(machine.zone, 0) + amount

    def _uncount(self, name: str) -> None:
        zone, amount = self._counted.pop(name, ("", 0))
        if amount:
            self._ordinary[zone] -= amount
            if not self._ordinary[zone]:
                del self._ordinary[zone]

    def ordinary_cpus(self) -> dict[str, float]:
        """CPUs free on machines that won't be reclaimed, by zone."""
        return {zone: amount / _MICRO for zone, amount in self._ordinary.items()}

    def with_room(self, cpus: float) -> MachineUnion:
        """Machines that may have so many CPUs free; those that certainly have fewer are left out."""
        return MachineUnion(self._classes[min(int(cpus), FREE_CPU_CLASSES - 1) :])

    def names(self) -> set[str]:
        """For tests and checks."""
        return set(self._class_of)

    def __contains__(self, name: object) -> bool:
        return name in self._class_of

    def __len__(self) -> int:
        return len(self._class_of)
