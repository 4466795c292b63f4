"""Machines that send heartbeats but receive neither the answers nor any command."""

import trio

from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario, service


def test_machine_in_a_one_way_partition_is_replaced_and_gets_no_tasks() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 3
        await simulation.run_service("run-s", shards=2)
        machine = simulation.running("run-s")[0][1]
        simulation.drop_inbound(machine)
        await simulation.until(lambda: len([1 for _, m in simulation.running("run-s") if m != machine]) == 2, 60)
        starts_before = [start for start in simulation.starts if start[2] == machine]
        await simulation.submit(job("run-a", shards=12, expectedRunS=3.0))
        await simulation.until_phase("run-a", "done")
        assert [start for start in simulation.starts if start[2] == machine] == starts_before, (
            "tasks were bound to a machine that no command reaches"
        )
        simulation.net.end_cuts_to(machine)
        await trio.sleep(10)
        if machine in simulation.workers:
            await simulation.submit(job("run-b", shards=12, expectedRunS=30.0))
            await simulation.until(lambda: any(m == machine for _, m in simulation.running("run-b")), 60)

    run_scenario(scenario)


def test_lost_start_command_is_moved_to_another_machine() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.submit(service("run-s", shards=1, region="a"))
        await simulation.submit(service("run-t", shards=1, region="b"))
        await simulation.until(lambda: len(simulation.running("run-s")) == 1 and len(simulation.running("run-t")) == 1)
        machine = simulation.running("run-s")[0][1]
        simulation.drop_inbound(machine)
        await simulation.submit(service("run-n", shards=2, vcpus=1.0))
        await simulation.until(lambda: len([1 for _, m in simulation.running("run-n") if m != machine]) == 2, 40)

    run_scenario(scenario)


def test_one_way_partition_does_not_block_a_failover() -> None:
    """Guards against a machine that sends heartbeats but never acknowledges the leader's term: as only silent
    machines were given up, it blocked all old jobs and counted toward every team's limit indefinitely."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4, scatter=True)
        machine = simulation.running("run-s")[0][1]
        simulation.drop_inbound(machine)
        simulation.kill(await simulation.until_leader())
        killed_at = trio.current_time()
        await simulation.until(lambda: len([1 for _, m in simulation.running("run-s") if m != machine]) == 4, 60)
        assert trio.current_time() - killed_at < 35
        leader = await simulation.until_leader()
        assert not simulation.cluster_state(leader).failover.unconfirmed

    run_scenario(scenario, teams=[Team("red", cpus_max=10.0)])


def test_cancelled_tasks_on_an_unreachable_machine_end_with_its_lease() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        simulation.drop_inbound(simulation.running("run-s")[0][1])
        await simulation.cancel("run-s")
        await simulation.until(lambda: not simulation.running("run-s"), 25)

    run_scenario(scenario)
