"""Which machines to drain for their services, and how many tasks of a service could start."""

import random

from sorrelsill.fleet.free_capacity import FreeCapacity, tasks_that_could_start
from sorrelsill.fleet.rebalancing import machines_to_drain
from sorrelsill.jobs import parse_spec
from sorrelsill.model import Catalog, MachineType, TaskSet
from sorrelsill.workers import ClusterState, Machine, WorkerHeartbeat
from tests.simulation import job

MACHINE_TYPE = MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a", "b"))
CATALOG = Catalog({"c8": MACHINE_TYPE})


def fleet_of_services(count: int, replicas: int) -> tuple[ClusterState, list[Machine]]:
    """Every machine holds the image and the same number of replicas of services of its own."""
    cluster = ClusterState(1, 0.0, CATALOG, 11.5, 2.7)
    machines = []
    for number in range(count):
        machine = cluster.get_or_add_machine(f"m{number}", "c8", "ab"[number % 2], False, 0.0)
        machine.token_acknowledged = machine.reachable = machine.registered = True
        machine.images["img"] = 0.5
        machines.append(machine)
        fields = {"shape": "standing", "shards": replicas, "rank": "prod", "vcpus": 1.0, "memoryGb": 1.0}
        spec = parse_spec(job(f"run-{number}", **fields))
        work = cluster.add_job(spec, TaskSet(spec.task_count), 2, False, 0.0, [])
        for index in range(replicas):
            cluster.bind(work, index, machine, 0.0).running_since = 0.0
    return cluster, machines


def test_services_move_from_several_machines_at_once_and_all_find_a_machine() -> None:
    cluster, machines = fleet_of_services(40, 3)
    found = machines_to_drain(machines, cluster.jobs, 100.0, lambda h: 1.0, None, ["a", "b"], 5)
    assert len(found) == 5
    room = sum(int(h.capacity_cpus - h.cpus) for h in machines if h not in found)
    assert room >= 15
    cluster, machines = fleet_of_services(10, 8)
    assert not machines_to_drain(machines, cluster.jobs, 100.0, lambda h: 1.0, None, ["a", "b"], 5)
    cluster, machines = fleet_of_services(4, 6)  # two of them fit on the other two, not three
    assert len(machines_to_drain(machines, cluster.jobs, 100.0, lambda h: 1.0, None, ["a", "b"], 4)) == 1


def test_headroom_for_one_more_service_stays_in_every_zone() -> None:
    cluster, machines = fleet_of_services(6, 3)  # 15 CPUs are free in each zone
    spare = parse_spec(job("run-x", shape="standing", shards=28, vcpus=1.0, memoryGb=1.0, scatter=True))
    assert spare.zone_limit == 14
    assert not machines_to_drain(machines, cluster.jobs, 100.0, lambda h: 1.0, spare, ["a", "b"], 6)
    assert machines_to_drain(machines, cluster.jobs, 100.0, lambda h: 1.0, None, ["a", "b"], 6)


def test_images_outlive_a_workers_lease() -> None:
    """Seen on a measured day: tasks that returned to machines of a zone after its partition healed started at once."""
    cluster = ClusterState(7, 0.0, CATALOG, 11.5, 2.7)
    for sequence_number, incarnation in ((1, 1), (2, 1), (1, 2)):
        cluster.on_heartbeat(
            WorkerHeartbeat("m1", incarnation, sequence_number, "c8", "a", "10.0.0.9:9000", False, 7),
            float(sequence_number),
        )
        if sequence_number == 2:
            cluster.machines["m1"].images["img"] = 0.5
    assert cluster.machines["m1"].incarnation == 2 and "img" in cluster.machines["m1"].images


def test_free_capacity_for_services_follows_each_change_of_a_machine() -> None:
    """Compared with a walk over all machines, after random starts, ends, troubles and departures."""
    rng = random.Random(3)
    cluster, machines = fleet_of_services(20, 2)
    small, large = (
        parse_spec(job(f"run-{name}", shape="standing", rank="prod", vcpus=cpus, memoryGb=2.0, region=zone))
        for name, cpus, zone in (("small", 1.0, None), ("large", 3.0, "a"))
    )
    lesser = cluster.add_job(parse_spec(job("run-low", shards=500, vcpus=1.0)), TaskSet(500), 2, False, 0.0, [])
    room = FreeCapacity(cluster.index)
    for _ in range(300):
        machine = rng.choice(machines)
        if rng.random() < 0.4 and machine.has_room_for(lesser.spec) and machine.name in cluster.machines:
            cluster.bind(lesser, lesser.next_task() or 0, machine, 1.0)
        elif rng.random() < 0.5 and machine.attempts:
            attempt = rng.choice(list(machine.attempts.values()))
            cluster.attempts.remove(attempt)
            cluster.unbind(attempt, 2.0)
        elif rng.random() < 0.9:
            machine.heartbeat_overdue = not machine.heartbeat_overdue
        elif len(cluster.machines) > 5:
            cluster.remove_machine(machine.name, 3.0, "returned")
        spec = rng.choice([small, small, large])
        walked: dict[str, int] = {}
        for each in cluster.machines.values():
            if each.usable and each.allows(spec):
                walked[each.zone] = walked.get(each.zone, 0) + tasks_that_could_start(each, spec)
        assert {z: n for z, n in room.by_zone(spec).items() if n} == {z: n for z, n in walked.items() if n}
