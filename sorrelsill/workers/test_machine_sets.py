"""Sets of machines for random sampling, and the index of machines by free CPUs."""

import random

from sorrelsill.workers.machine import Machine
from sorrelsill.workers.machine_sets import FreeMachines, MachineSet


def machine(name: str, cpus: float, used: float = 0.0, zone: str = "a", spot: bool = False) -> Machine:
    new_machine = Machine(name)
    new_machine.capacity_cpus, new_machine.cpus, new_machine.zone, new_machine.spot = cpus, used, zone, spot
    return new_machine


def test_a_set_keeps_its_members_at_contiguous_positions() -> None:
    rng = random.Random(1)
    machines = {f"m{number}": machine(f"m{number}", 8.0) for number in range(50)}
    machine_set, expected = MachineSet(), set()
    for _ in range(2000):
        name = rng.choice(list(machines))
        if rng.random() < 0.5:
            machine_set.add(machines[name])
            expected.add(name)
        else:
            machine_set.discard(name)
            expected.discard(name)
        assert machine_set.names() == expected and len(machine_set) == len(expected)
        assert {machine_set[position].name for position in range(len(machine_set))} == expected


def test_machines_with_too_few_free_cpus_are_left_out_and_all_others_offered() -> None:
    rng = random.Random(2)
    free = FreeMachines()
    machines = [machine(f"m{number}", 200.0, zone="ab"[number % 2], spot=number % 3 == 0) for number in range(60)]
    for _ in range(500):
        one = rng.choice(machines)
        one.cpus = rng.choice([0.0, 0.3, 100.5, 150.0, 198.9, 199.9999999, 200.0])
        free.update(one)
        if rng.random() < 0.2:
            free.discard(one.name)
    known = [each for each in machines if each.name in free]
    for cpus in (0.05, 0.5, 1.0, 1.1, 40.0, 99.5, 200.0):
        offered = {each.name for each in free.with_room(cpus)}
        assert {each.name for each in known if each.capacity_cpus - each.cpus + 1e-6 >= cpus} <= offered
        # Machines are classed by whole free CPUs up to the number of classes, so that one offered without enough free
        # CPUs lacks less than one CPU.
        assert all(each.capacity_cpus - each.cpus > min(cpus, 64.0) - 1.0 for each in known if each.name in offered)
    by_zone = {z: sum(m.capacity_cpus - m.cpus for m in known if m.zone == z and not m.spot) for z in "ab"}
    assert {z: round(cpus, 3) for z, cpus in free.on_demand_cpus().items()} == {
        z: round(cpus, 3) for z, cpus in by_zone.items() if cpus
    }


def test_a_union_contains_each_machine_once() -> None:
    free = FreeMachines()
    for number in range(30):
        free.update(machine(f"m{number}", 16.0, used=float(number % 16)))
    union = free.with_room(4.0)
    names = [union[position].name for position in range(len(union))]
    assert len(names) == len(set(names)) == sum(1 for number in range(30) if number % 16 <= 12)
    assert [each.name for each in union] == names
