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
    """A cluster in which each machine holds the image and runs the replicas of one service of its own."""
    cluster = ClusterState(1, 0.0, CATALOG, 11.5, 2.7)
    machines = []
    for number in range(count):
        machine = cluster.get_or_add_machine(f"m{number}", "c8", "ab"[number % 2], False, 0.0)
        machine.token_acknowledged = machine.reachable = machine.registered = True
        machine.images["img"] = 0.5
        machines.append(machine)
        fields = {"shape": "standing", "shards": replicas, "rank": "prod", "vcpus": 1.0, "memoryGb": 1.0}
        spec = parse_spec(job(f"run-{number}", **fields))
        service = cluster.add_job(spec, TaskSet(spec.task_count), 2, False, 0.0, [])
        for index in range(replicas):
            cluster.bind(service, index, machine, 0.0).running_since = 0.0
    return cluster, machines


def test_several_machines_are_drained_if_all_their_services_fit_elsewhere() -> None:
    cluster, machines = fleet_of_services(40, 3)
    drained = machines_to_drain(machines, cluster.jobs, 100.0, lambda each: 1.0, None, ["a", "b"], 5)
    assert len(drained) == 5
    free_cpus = sum(int(each.capacity_cpus - each.cpus) for each in machines if each not in drained)
    assert free_cpus >= 15
    cluster, machines = fleet_of_services(10, 8)
    assert not machines_to_drain(machines, cluster.jobs, 100.0, lambda each: 1.0, None, ["a", "b"], 5)
    cluster, machines = fleet_of_services(4, 6)  # 6 free CPUs on three machines take 6 replicas, 4 on two don't take 12
    assert len(machines_to_drain(machines, cluster.jobs, 100.0, lambda each: 1.0, None, ["a", "b"], 4)) == 1


def test_draining_keeps_headroom_for_one_more_service_in_every_zone() -> None:
    cluster, machines = fleet_of_services(6, 3)  # 15 CPUs are free in each zone
    headroom_spec = parse_spec(job("run-x", shape="standing", shards=28, vcpus=1.0, memoryGb=1.0, scatter=True))
    assert headroom_spec.zone_limit == 14
    assert not machines_to_drain(machines, cluster.jobs, 100.0, lambda each: 1.0, headroom_spec, ["a", "b"], 6)
    assert machines_to_drain(machines, cluster.jobs, 100.0, lambda each: 1.0, None, ["a", "b"], 6)


def test_cached_images_survive_a_new_incarnation() -> None:
    """A worker whose lease expired returns with a new incarnation and still holds its images: after the partition of a
    zone healed, tasks that returned to its machines started at once."""
    cluster = ClusterState(7, 0.0, CATALOG, 11.5, 2.7)
    for sequence_number, incarnation in ((1, 1), (2, 1), (1, 2)):
        cluster.on_heartbeat(
            WorkerHeartbeat("m1", incarnation, sequence_number, "c8", "a", "10.0.0.9:9000", False, 7),
            float(sequence_number),
        )
        if sequence_number == 2:
            cluster.machines["m1"].images["img"] = 0.5
    assert cluster.machines["m1"].incarnation == 2 and "img" in cluster.machines["m1"].images


def test_incremental_free_capacity_matches_a_full_recount() -> None:
    """Checked after each of many random task starts, task ends, overdue heartbeats and removals of machines."""
    rng = random.Random(3)
    cluster, machines = fleet_of_services(20, 2)
    small, large = (
        parse_spec(job(f"run-{name}", shape="standing", rank="prod", vcpus=cpus, memoryGb=2.0, region=zone))
        for name, cpus, zone in (("small", 1.0, None), ("large", 3.0, "a"))
    )
    low_priority = cluster.add_job(parse_spec(job("run-low", shards=500, vcpus=1.0)), TaskSet(500), 2, False, 0.0, [])
    free_capacity = FreeCapacity(cluster.index)
    for _ in range(300):
        machine = rng.choice(machines)
        if rng.random() < 0.4 and machine.has_room_for(low_priority.spec) and machine.name in cluster.machines:
            cluster.bind(low_priority, low_priority.next_task() or 0, machine, 1.0)
        elif rng.random() < 0.5 and machine.attempts:
            attempt = rng.choice(list(machine.attempts.values()))
            cluster.attempts.remove(attempt)
            cluster.unbind(attempt, 2.0)
        elif rng.random() < 0.9:
            machine.heartbeat_overdue = not machine.heartbeat_overdue
        elif len(cluster.machines) > 5:
            cluster.remove_machine(machine.name, 3.0, "returned")
        spec = rng.choice([small, small, large])
        expected: dict[str, int] = {}
        for each in cluster.machines.values():
            if each.usable and each.meets_constraints_of(spec):
                expected[each.zone] = expected.get(each.zone, 0) + tasks_that_could_start(each, spec)
        assert {z: n for z, n in free_capacity.by_zone(spec).items() if n} == {z: n for z, n in expected.items() if n}
