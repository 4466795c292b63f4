"""Tests of the scheduler on a cluster state alone: choice of machines, order of jobs, machine indices."""

import random

import pytest

from sorrelsill.jobs import parse_spec
from sorrelsill.model import Catalog, MachineType, TaskSet
from sorrelsill.placement import Scheduler
from sorrelsill.settings import Objective, Team
from sorrelsill.workers import ClusterState, Job, Machine
from tests.simulation import count_calls, job

MACHINE_TYPE = MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a", "b"))
OBJECTIVES = [Objective("wait", "live", 1.0), Objective("finished", "w", 60.0)]


def cluster_with(*machines: tuple[str, str, bool]) -> ClusterState:
    cluster = ClusterState(1, 0.0, Catalog({"c8": MACHINE_TYPE}), 11.5, 2.7)
    for name, zone, spot in machines:
        machine = cluster.get_or_add_machine(name, "c8", zone, spot, 0.0)
        machine.token_acknowledged = machine.reachable = machine.registered = True
    return cluster


def add(cluster: ClusterState, job_id: str, submitted: float = 0.0, **fields: object) -> Job:
    spec = parse_spec(job(job_id, **fields))
    return cluster.add_job(spec, TaskSet(spec.task_count), 2, False, submitted, [])


def run_cycle(
    cluster: ClusterState, now: float = 1.0, optimise_latency: bool = False, budget: float = 1.0
) -> Scheduler:
    scheduler = Scheduler([Team("red")], OBJECTIVES, random.Random(1), 24, optimise_latency)
    scheduler.run_cycle(cluster, now, lambda: now, budget)
    return scheduler


def machines_of(job: Job) -> list[Machine]:
    return [a.machine for a in job.bound.values()]


def test_spot_machines_are_last_choice_for_latency_and_first_for_cost() -> None:
    for optimise_latency in (True, False):
        cluster = cluster_with(("m1", "a", True), ("m2", "a", False))
        low = add(cluster, "run-1", shards=2, reclaimable=True)
        run_cycle(cluster, optimise_latency=optimise_latency)
        assert {machine.spot for machine in machines_of(low)} == {not optimise_latency}


def test_job_with_least_remaining_work_goes_first() -> None:
    """Guards against a burst whose jobs share the capacity, so that all of them finish late."""
    cluster = cluster_with(("m1", "a", False))
    large = add(cluster, "run-large", submitted=0.0, shards=50)
    small = add(cluster, "run-small", submitted=0.5, shards=3)
    run_cycle(cluster)
    assert len(small.bound) == 3 and len(large.bound) == 1


def test_service_replicas_spread_and_array_tasks_share_an_image_fetch() -> None:
    machines = [(f"m{n}", "ab"[n % 2], False) for n in range(8)]
    cluster = cluster_with(*machines)
    service = add(cluster, "run-s", shape="standing", rank="prod", workload="live", shards=6, scatter=True)
    run_cycle(cluster)
    assert len({machine.name for machine in machines_of(service)}) == 6
    cluster = cluster_with(*machines)
    array = add(cluster, "run-a", shards=4)
    run_cycle(cluster)
    assert len({machine.name for machine in machines_of(array)}) == 1


def test_unreachable_machine_gets_no_work() -> None:
    cluster = cluster_with(("m1", "a", False))
    cluster.machines["m1"].reachable = False
    waiting = add(cluster, "run-a")
    scheduler = run_cycle(cluster)
    assert not waiting.bound and scheduler.unschedulable["run-a"].count == 2


def test_indices_match_the_attempts_on_machines() -> None:
    """Tasks of an ended job count toward their team's usage until they are gone from the machine."""
    cluster = cluster_with(("m1", "a", False), ("m2", "b", False))
    work = add(cluster, "run-a", shards=4)
    run_cycle(cluster)
    machine = machines_of(work)[0]
    assert (
        set(cluster.attempts.by_job["run-a"]) == set(work.bound.values())
        and machine.bound_count == 4
        and cluster.unobserved("red") == (0.0, 0.0)
    )
    cluster.end_job("run-a")
    assert cluster.bound_usage.of("red").cpus == 8.0 and all(a.stop_requested for a in machine.attempts.values())
    cluster.remove_machine(machine.name, 2.0, "returned")
    assert (
        cluster.bound_usage.of("red").cpus == 0.0
        and "run-a" not in cluster.attempts.by_job
        and machine.name not in cluster.machines_with_pending_commands
    )


def test_machine_index_follows_machine_state() -> None:
    """Scheduling cycles read the index instead of iterating over all machines, so a stale index would hide machines or
    select unusable ones."""
    cluster = cluster_with(("m1", "a", False), ("m2", "b", False))
    work = add(cluster, "run-a", shards=4)
    run_cycle(cluster)
    full, other = machines_of(work)[0].name, {"m1": "m2", "m2": "m1"}[machines_of(work)[0].name]
    index = cluster.index
    assert index.usable.names() == {"m1", "m2"} and index.free.names() == {other} and index.idle.names() == {other}
    cluster.machines[other].draining = True  # assigning the attribute updates the indices
    assert index.usable.names() == {full} and not index.free.names()
    index.record_cached_image(cluster.machines[full], work.spec)
    assert index.machines_with_image("img").names() == {full}
    cluster.remove_machine(full, 3.0, "returned")
    assert (
        not index.usable and not index.free and not index.machines_with_image("img") and index.idle.names() == {other}
    )
    cluster.machines[other].draining = False
    assert index.usable.names() == index.free.names() == {other}


@pytest.mark.parametrize(
    ("condition", "schedulable"),
    [
        ("token_acknowledged", True),
        ("reachable", True),
        ("registered", True),
        ("lease_expired", False),
        ("heartbeat_overdue", False),
        ("draining", False),
        ("returning", False),
        ("quarantined", False),
    ],
)
def test_machine_condition_updates_the_indices_at_once(condition: str, schedulable: bool) -> None:
    cluster = cluster_with(("m1", "a", False))
    setattr(cluster.machines["m1"], condition, not schedulable)
    assert not cluster.index.usable and not cluster.index.free
    setattr(cluster.machines["m1"], condition, schedulable)
    assert cluster.index.usable.names() == cluster.index.free.names() == {"m1"}


def test_spot_reclaim_and_new_capacity_update_the_index() -> None:
    cluster = cluster_with(("m1", "a", False), ("m2", "a", False))
    cluster.machines["m1"].spot_reclaim_at = 30.0
    assert cluster.index.usable.names() == {"m2"}
    spec = parse_spec(job("run-a", vcpus=12.0))
    assert {m.name for m in cluster.index.with_room(spec)} == set()
    cluster.set_catalog(Catalog({"c8": MachineType("c8", 16.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a", "b"))}))
    assert {m.name for m in cluster.index.with_room(spec)} == {"m2"}


def test_cycle_cost_does_not_grow_with_the_number_of_machines() -> None:
    """A cycle without waiting work, and one that binds a few small jobs, examine only the machines they sample. Cost is
    counted in function calls, so the result is deterministic."""

    def calls(machines: int, work: int) -> int:
        cluster = cluster_with(*((f"m{n}", "ab"[n % 2], False) for n in range(machines)))
        for number in range(work):
            add(cluster, f"run-{number}")
        scheduler = Scheduler([Team("red")], OBJECTIVES, random.Random(1), 24, False)
        return count_calls(lambda: scheduler.run_cycle(cluster, 1.0, lambda: 1.0, 1.0))

    for work in (0, 1, 5):
        assert calls(930, work) <= 1.1 * calls(310, work) + 5
