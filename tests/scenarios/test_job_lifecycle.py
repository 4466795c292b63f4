"""Jobs from submission to completion or cancellation."""

import itertools

import trio

from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario


def test_job_completes_and_stays_done() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        assert await simulation.submit(job("run-1", shards=5)) == 201
        await simulation.until_phase("run-1", "done")
        for label in simulation.controllers:
            assert (await simulation.poll("run-1", label))[1]["phase"] == "done"
        assert await simulation.submit(job("run-1", shards=5)) == 200
        await trio.sleep(40)
        assert len(simulation.starts) == 5
        assert simulation.cloud.machines == {}, "idle machines are returned"

    run_scenario(scenario)


def test_cancelled_service_stops_and_stays_cancelled() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-s", shape="standing", shards=4, scatter=True, expectedRunS=0.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4)
        assert (await simulation.cancel("run-s"))["phase"] == "cancelled"
        await simulation.until(lambda: not simulation.running("run-s"), 5)
        for label in simulation.controllers:
            assert (await simulation.poll("run-s", label))[1]["phase"] == "cancelled"
        assert (await simulation.cancel("run-s"))["phase"] == "cancelled"

    run_scenario(scenario)


def test_job_over_team_limit_waits_and_completes_later() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-1", shards=12))
        await simulation.submit(job("run-2", shards=6, owner="blue"))
        await simulation.until_phase("run-2", "done")
        await simulation.until_phase("run-1", "done")
        _, answer = await simulation.ask("n0", "GET", "/v2/runs/run-1/why")
        assert any("limit of red" in note for note in answer["why"])

    run_scenario(scenario, teams=[Team("red", cpus_max=8.0), Team("blue")])


def test_progress_of_very_large_job_survives_failover() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-big", shards=100_000, vcpus=0.5, memoryGb=0.5, expectedRunS=1.0))
        await simulation.until(lambda: len(simulation.finished) > 500, 120)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        await simulation.until_leader()
        _, before = await simulation.poll("run-big")
        assert before["done"] > 300
        assert (await simulation.cancel("run-big"))["phase"] == "cancelled"

    run_scenario(scenario)


def test_machine_gets_its_next_task_in_the_answer_to_the_heartbeat_that_reports_the_last_one() -> None:
    """Without waiting for the scheduling cycle that the heartbeat causes, the start goes in the answer to the next
    heartbeat, half a second later."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 1
        run_s = 2.7
        await simulation.submit(job("run-a", shards=12, vcpus=8.0, sizeGb=0.0, expectedRunS=run_s))
        await simulation.until_phase("run-a", "done")
        started_at = [at for at, _, _ in simulation.starts]
        gaps = [later - earlier for earlier, later in itertools.pairwise(started_at)]
        assert len(gaps) == 11 and max(gaps) < run_s + 0.5

    run_scenario(scenario)
