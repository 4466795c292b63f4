"""Machines whose heartbeats arrive while answers and commands to them are lost."""

import trio

from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario, service


def test_a_machine_in_a_one_way_partition_is_replaced_and_gets_no_work_until_it_heals() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 3
        await simulation.run_service("run-s", shards=2)
        name = simulation.running("run-s")[0][1]
        simulation.drop_inbound(name)
        await simulation.until(lambda: len([1 for _, h in simulation.running("run-s") if h != name]) == 2, 60)
        before = [s for s in simulation.starts if s[2] == name]
        await simulation.submit(job("run-a", shards=12, expectedRunS=3.0))
        await simulation.until_phase("run-a", "done")
        assert [s for s in simulation.starts if s[2] == name] == before, "work was bound to it that it can't hear of"
        simulation.net.end_cuts_to(name)
        await trio.sleep(10)
        if name in simulation.workers:
            await simulation.submit(job("run-b", shards=12, expectedRunS=30.0))
            await simulation.until(lambda: any(h == name for _, h in simulation.running("run-b")), 60)

    run_scenario(scenario)


def test_a_start_lost_in_a_one_way_partition_is_moved() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.submit(service("run-s", shards=1, region="a"))
        await simulation.submit(service("run-t", shards=1, region="b"))
        await simulation.until(lambda: len(simulation.running("run-s")) == 1 and len(simulation.running("run-t")) == 1)
        name = simulation.running("run-s")[0][1]
        simulation.drop_inbound(name)
        await simulation.submit(service("run-n", shards=2, vcpus=1.0))
        await simulation.until(lambda: len([1 for _, h in simulation.running("run-n") if h != name]) == 2, 40)

    run_scenario(scenario)


def test_a_one_way_partition_does_not_block_a_failover_for_long() -> None:
    """Registered machines were only given up when silent; one that sends heartbeats but never shows our term blocked
    all old jobs and counted toward every team's limit for ever."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4, scatter=True)
        name = simulation.running("run-s")[0][1]
        simulation.drop_inbound(name)
        simulation.kill(await simulation.until_leader())
        began = trio.current_time()
        await simulation.until(lambda: len([1 for _, h in simulation.running("run-s") if h != name]) == 4, 60)
        assert trio.current_time() - began < 35
        leader = await simulation.until_leader()
        assert not simulation.cluster_state(leader).failover.unconfirmed

    run_scenario(scenario, teams=[Team("red", cpus_max=10.0)])


def test_a_cancellation_reaches_an_unreachable_machine_by_its_lease() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        simulation.drop_inbound(simulation.running("run-s")[0][1])
        await simulation.cancel("run-s")
        await simulation.until(lambda: not simulation.running("run-s"), 25)

    run_scenario(scenario)
