"""Large and small jobs that compete for capacity: each of them starts in bounded time."""

import trio

from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario

GUARANTEED = [Team("red", cpus=40.0), Team("guests")]


def test_huge_array_and_many_small_jobs_do_not_starve_others() -> None:
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
                submitted_at = trio.current_time()
                await simulation.until_phase(job_id, "done", 45)
                assert trio.current_time() - submitted_at < 45
        await simulation.until_phase("run-huge", "done", 240)
        await simulation.wait_for_convergence()

    run_scenario(scenario, teams=GUARANTEED)


def test_large_low_priority_job_starts_under_higher_priority_load() -> None:
    """Guards against small tasks that take every CPU as it comes free: a machine is reserved for one long-waiting
    job at a time."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.submit(job("run-first", shards=16, vcpus=1.0, memoryGb=1.0, expectedRunS=8.0))
        await simulation.until(lambda: len(simulation.running("run-first")) > 0)

        async def submit_small_jobs() -> None:
            for number in range(60):
                await simulation.submit(job(f"run-x{number}", shards=16, vcpus=1.0, memoryGb=1.0, expectedRunS=8.0))
                await trio.sleep(3)

        simulation.nursery.start_soon(submit_small_jobs)
        await trio.sleep(10)
        submitted_at = trio.current_time()
        await simulation.submit(job("run-large", shards=4, vcpus=8.0, rank="best_effort", expectedRunS=5.0))
        await simulation.until(lambda: bool(simulation.running("run-large")), 240)
        assert trio.current_time() - submitted_at > 60, "the cluster must be overloaded for this test"

    run_scenario(scenario)
