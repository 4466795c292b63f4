"""Machines that stop sending heartbeats, hang, are partitioned from the controllers or are reclaimed by the cloud."""

import trio

from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario, service


def test_new_leader_keeps_machines_without_a_heartbeat_yet() -> None:
    """Guards against a new leader that returns every registered machine whose first heartbeat takes a few seconds."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=6)
        await trio.sleep(120)
        machines = set(simulation.cloud.machines)
        old_leader = await simulation.until_leader()
        for name in simulation.workers:
            for label in simulation.controllers:
                simulation.net.cut(name, label)
        simulation.kill(old_leader)
        await simulation.until_leader(10)
        await trio.sleep(3)
        simulation.net.heal()
        await trio.sleep(10)
        assert set(simulation.cloud.machines) == machines and len(simulation.running("run-s")) == 6

    run_scenario(scenario)


def test_worker_silent_within_its_lease_keeps_its_tasks() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=2)
        starts_before = len(simulation.starts)
        machine = simulation.running("run-s")[0][1]
        simulation.cut_machine(machine)
        await trio.sleep(8)
        assert len(simulation.starts) == starts_before
        simulation.net.heal()
        await trio.sleep(10)
        assert len(simulation.starts) == starts_before and len(simulation.running("run-s")) == 2

    run_scenario(scenario)


def test_silent_worker_is_replaced_only_after_its_lease() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=2)
        machine = simulation.running("run-s")[0][1]
        simulation.cut_machine(machine)
        cut_at = trio.current_time()
        await simulation.until(
            lambda: (
                len({m for _, m in simulation.running("run-s")} - {machine}) > 0
                and len([1 for _, m in simulation.running("run-s") if m != machine]) == 2
            ),
            60,
        )
        assert trio.current_time() - cut_at > 10
        simulation.net.heal()  # now late heartbeats of the old incarnation and late commands of the leader arrive
        await trio.sleep(30)
        assert len(simulation.running("run-s")) == 2

    run_scenario(scenario)


def test_hung_machine_resumes_after_its_lease() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=4, expectedRunS=20.0))
        await simulation.until(lambda: len(simulation.running("run-a")) == 4)
        name = simulation.running("run-a")[0][1]
        worker = simulation.workers[name]
        worker.hung = True
        for task_id in list(worker.active_tasks):
            worker._set_active(task_id, False)  # a hung machine does not execute its tasks
        await trio.sleep(25)
        worker.hung = False
        await simulation.until_phase("run-a", "done")

    run_scenario(scenario)


def test_delayed_direct_start_of_a_cancelled_job_has_no_effect() -> None:
    """A direct start command that is delayed while its job is cancelled must not start the task when it arrives."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-0", shards=4, vcpus=1.0)
        machines = set(simulation.workers)
        simulation.net.hold_request = lambda src, dst, request: dst in machines and request.path == "/commands"
        await simulation.submit(service("run-s", shards=2, vcpus=1.0, sizeGb=0.0))
        await trio.sleep(0.5)
        await simulation.cancel("run-s")
        await trio.sleep(45)
        simulation.net.hold_request = lambda src, dst, request: False
        simulation.net.release()
        await trio.sleep(10)
        assert simulation.running("run-s") == []

    run_scenario(scenario)


def test_failover_replaces_tasks_of_a_silent_worker_after_its_lease() -> None:
    """Tasks of the silent machine must not start elsewhere before its lease has ended; a new job need not wait for
    that."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4, scatter=True)
        silent_machine = simulation.running("run-s")[0][1]
        simulation.cut_machine(silent_machine)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        await simulation.until_leader(10)
        new_leader_at = trio.current_time()
        await simulation.submit(job("run-n", expectedRunS=2.0))
        await simulation.until_phase("run-n", "done")
        assert trio.current_time() - new_leader_at < 12
        await simulation.until(lambda: len([1 for _, m in simulation.running("run-s") if m != silent_machine]) == 4, 60)

    run_scenario(scenario)


def test_tasks_of_a_partitioned_zone_count_until_proved_lost() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4, scatter=True)
        zone_a_machines = {m for _, m in simulation.running("run-s") if simulation.workers[m].zone == "a"}
        for machine in zone_a_machines:
            simulation.cut_machine(machine)
        simulation.kill(await simulation.until_leader())
        await trio.sleep(40)
        simulation.net.heal()
        await simulation.until(lambda: len(simulation.running("run-s")) == 4, 60)

    run_scenario(scenario, teams=[Team("red", cpus_max=8.0)])


def test_zone_partition_and_recovery() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=6, scatter=True, vcpus=1.0))
        await simulation.submit(job("run-a", shards=10, expectedRunS=15.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 6)
        for name in [n for n, w in simulation.workers.items() if w.zone == "b"]:
            simulation.cut_machine(name)
        await trio.sleep(30)
        simulation.net.heal()
        await simulation.until_phase("run-a", "done", 200)
        await simulation.until(lambda: len(simulation.running("run-s")) == 6, 60)

    run_scenario(scenario)


def test_tasks_are_checkpointed_before_a_spot_machine_is_reclaimed() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        fields = {"reclaimable": True, "snapshotEveryS": 5.0, "snapshotCostS": 1.0, "expectedRunS": 30.0}
        await simulation.submit(job("run-a", shards=2, **fields))
        await simulation.until(lambda: len(simulation.running("run-a")) == 2)
        name = simulation.running("run-a")[0][1]
        worker = simulation.workers[name]
        assert worker.spot
        worker.spot_reclaim_at = trio.current_time() + 8
        await trio.sleep(8)
        saved = [t for t in worker.tasks.values() if t.get("saved")]
        assert saved or not worker.tasks, "its task was checkpointed before the machine was reclaimed"
        simulation.cloud.machines.pop(name, None)
        simulation.kill_machine(name)
        await simulation.until_phase("run-a", "done")

    run_scenario(scenario)


def test_task_without_checkpoints_moves_before_its_spot_machine_is_reclaimed() -> None:
    """Guards against a task that is lost with its spot machine and restarted only after the lease of the machine."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=1, reclaimable=True, expectedRunS=60.0))
        await simulation.until(lambda: len(simulation.running("run-a")) == 1)
        spot_machine = simulation.running("run-a")[0][1]
        await simulation.run_service("run-k", shards=4)
        simulation.workers[spot_machine].spot_reclaim_at = trio.current_time() + 8
        notice_at = trio.current_time()
        await simulation.until(lambda: any(m != spot_machine for _, m in simulation.running("run-a")), 10)
        assert trio.current_time() - notice_at < 8

    run_scenario(scenario)
