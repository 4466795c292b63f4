"""Machines that are silent, hang, are cut off or taken back."""

import trio

from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario, service


def test_a_new_leader_does_not_return_machines_without_a_heartbeat_yet() -> None:
    """Guards against this: old machines that were slow to reach the new leader all went back."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=6)
        await trio.sleep(120)
        machines = set(simulation.cloud.machines)
        old = await simulation.until_leader()
        for name in simulation.workers:
            for label in simulation.controllers:
                simulation.net.cut(name, label)
        simulation.kill(old)
        await simulation.until_leader(10)
        await trio.sleep(3)
        simulation.net.heal()
        await trio.sleep(10)
        assert set(simulation.cloud.machines) == machines and len(simulation.running("run-s")) == 6

    run_scenario(scenario)


def test_a_worker_silent_within_its_lease_keeps_its_tasks() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=2)
        before = len(simulation.starts)
        name = simulation.running("run-s")[0][1]
        simulation.cut_machine(name)
        await trio.sleep(8)
        assert len(simulation.starts) == before
        simulation.net.heal()
        await trio.sleep(10)
        assert len(simulation.starts) == before and len(simulation.running("run-s")) == 2

    run_scenario(scenario)


def test_a_worker_silent_past_its_lease_is_replaced_but_not_before() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=2)
        name = simulation.running("run-s")[0][1]
        simulation.cut_machine(name)
        began = trio.current_time()
        await simulation.until(
            lambda: (
                len({h for _, h in simulation.running("run-s")} - {name}) > 0
                and len([1 for _, h in simulation.running("run-s") if h != name]) == 2
            ),
            60,
        )
        assert trio.current_time() - began > 10
        simulation.net.heal()  # late heartbeats of the old incarnation, late commands of ours
        await trio.sleep(30)
        assert len(simulation.running("run-s")) == 2

    run_scenario(scenario)


def test_a_hung_machine_resumes_past_its_lease() -> None:
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


def test_late_direct_orders_find_nothing_to_do() -> None:
    """A direct start that is held while the job is cancelled must not bring a task back minutes later."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-0", shards=4, vcpus=1.0)
        names = set(simulation.workers)
        simulation.net.hold_request = lambda src, dst, request: dst in names and request.path == "/commands"
        await simulation.submit(service("run-s", shards=2, vcpus=1.0, sizeGb=0.0))
        await trio.sleep(0.5)
        await simulation.cancel("run-s")
        await trio.sleep(45)
        simulation.net.hold_request = lambda src, dst, request: False
        simulation.net.release()
        await trio.sleep(10)
        assert simulation.running("run-s") == []

    run_scenario(scenario)


def test_a_failover_with_a_silent_worker_waits_for_its_lease() -> None:
    """What the silent machine runs may not be started elsewhere; a job that came later need not wait."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4, scatter=True)
        name = simulation.running("run-s")[0][1]
        simulation.cut_machine(name)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        await simulation.until_leader(10)
        began = trio.current_time()
        await simulation.submit(job("run-n", expectedRunS=2.0))
        await simulation.until_phase("run-n", "done")
        assert trio.current_time() - began < 12
        await simulation.until(lambda: len([1 for _, h in simulation.running("run-s") if h != name]) == 4, 60)

    run_scenario(scenario)


def test_zone_spread_and_limits_count_what_is_not_proved_lost() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4, scatter=True)
        zone_a = {h for _, h in simulation.running("run-s") if simulation.workers[h].zone == "a"}
        for name in zone_a:
            simulation.cut_machine(name)
        simulation.kill(await simulation.until_leader())
        await trio.sleep(40)
        simulation.net.heal()
        await simulation.until(lambda: len(simulation.running("run-s")) == 4, 60)

    run_scenario(scenario, teams=[Team("red", cpus_max=8.0)])


def test_a_whole_zone_dark_and_back() -> None:
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


def test_a_spot_machine_is_reclaimed_with_notice() -> None:
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
        assert saved or not worker.tasks, "its work was saved before the machine went"
        simulation.cloud.machines.pop(name, None)
        simulation.kill_machine(name)
        await simulation.until_phase("run-a", "done")

    run_scenario(scenario)


def test_a_task_without_checkpoints_leaves_a_spot_machine_before_it_is_reclaimed() -> None:
    """Guards against this: it died with its machine and was known lost only after a lease of silence."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=1, reclaimable=True, expectedRunS=60.0))
        await simulation.until(lambda: len(simulation.running("run-a")) == 1)
        name = simulation.running("run-a")[0][1]
        await simulation.run_service("run-k", shards=4)
        simulation.workers[name].spot_reclaim_at = trio.current_time() + 8
        began = trio.current_time()
        await simulation.until(lambda: any(h != name for _, h in simulation.running("run-a")), 10)
        assert trio.current_time() - began < 8

    run_scenario(scenario)
