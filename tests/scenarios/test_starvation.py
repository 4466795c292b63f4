"""Large and small work beside each other: each of it begins in bounded time."""

import trio

from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario

GUARANTEED = [Team("red", cpus=40.0), Team("guests")]


def test_a_huge_array_and_a_swarm_starve_nobody_and_are_served() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 8
        await simulation.until_leader()
        await simulation.submit(
            job("run-huge", owner="guests", rank="best_effort", shards=1500, vcpus=0.5, memoryGb=0.5, expectedRunS=3.0)
        )
        for number in range(60):
            await simulation.submit(
                job(
                    f"run-w{number}",
                    owner="guests",
                    rank="best_effort",
                    shards=1,
                    vcpus=0.5,
                    memoryGb=0.5,
                    expectedRunS=10.0,
                )
            )
            if number % 20 == 0:
                job_id = f"run-d{number}"
                await simulation.submit(job(job_id, shards=4, vcpus=2.0, expectedRunS=8.0, dueS=60.0))
                began = trio.current_time()
                await simulation.until_phase(job_id, "done", 45)
                assert trio.current_time() - began < 45
        await simulation.until_phase("run-huge", "done", 240)
        await simulation.wait_for_convergence()

    run_scenario(scenario, teams=GUARANTEED)


def test_large_low_priority_work_begins_although_higher_priority_work_never_ends() -> None:
    """Small tasks would take every piece that comes free; a machine is kept for one aged job at a time."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.submit(job("run-first", shards=16, vcpus=1.0, memoryGb=1.0, expectedRunS=8.0))
        await simulation.until(lambda: len(simulation.running("run-first")) > 0)

        async def stream() -> None:
            for number in range(60):
                await simulation.submit(job(f"run-x{number}", shards=16, vcpus=1.0, memoryGb=1.0, expectedRunS=8.0))
                await trio.sleep(3)

        simulation.nursery.start_soon(stream)
        await trio.sleep(10)
        began = trio.current_time()
        await simulation.submit(job("run-large", shards=4, vcpus=8.0, rank="best_effort", expectedRunS=5.0))
        await simulation.until(lambda: bool(simulation.running("run-large")), 240)
        assert trio.current_time() - began > 60, "the story must be one of overload"

    run_scenario(scenario)
