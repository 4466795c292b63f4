"""Preemption of borrowed or low-priority capacity for jobs with a deadline or a higher priority."""

import trio

from sorrelsill import constants
from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario, service


async def notes(simulation: SimulatedCluster, job_id: str) -> list[str]:
    """Return the notes on why the job's tasks stopped or wait."""
    _, answer = await simulation.ask("n1", "GET", f"/v2/runs/{job_id}/why")
    return list(answer["why"])


def test_borrowed_capacity_is_preempted_for_a_deadline() -> None:
    """An array of a team without a guarantee uses every machine that the cloud has; the tasks that have run for the
    shortest time are preempted."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 6
        await simulation.until_leader()
        await simulation.submit(
            job("run-g", owner="guests", rank="best_effort", shards=200, vcpus=0.5, memoryGb=0.5, expectedRunS=40.0)
        )
        await simulation.until(lambda: len(simulation.running("run-g")) >= 96, 60)
        await trio.sleep(5)
        await simulation.submit(job("run-d", shards=10, vcpus=4.0, expectedRunS=10.0, dueS=28.0))
        submitted_at = trio.current_time()
        await simulation.until(lambda: len(simulation.running("run-d")) == 10, 6)
        await simulation.until_phase("run-d", "done", 28)
        assert trio.current_time() - submitted_at < 28, "done before its deadline"
        await simulation.submit(service("run-s", shards=2, rank="prod", vcpus=4.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 3)
        await simulation.wait_for_convergence()

    run_scenario(scenario, teams=[Team("red"), Team("guests")])


def test_no_preemption_while_machines_can_be_rented_in_time() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        await simulation.submit(
            job("run-g", owner="guests", rank="best_effort", shards=60, vcpus=0.5, memoryGb=0.5, expectedRunS=60.0)
        )
        await simulation.until(lambda: len(simulation.running("run-g")) == 60, 60)
        starts_before = len(simulation.starts)
        await simulation.submit(job("run-d", shards=10, vcpus=4.0, expectedRunS=10.0, dueS=60.0))
        await simulation.until_phase("run-d", "done", 60)
        assert len(simulation.starts) == starts_before + 10, "no task on borrowed capacity was preempted"
        await simulation.wait_for_convergence()

    run_scenario(scenario, teams=[Team("red"), Team("guests")])


def test_production_service_preempts_at_once() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.submit(job("run-low", shards=8, rank="best_effort", expectedRunS=300.0))
        await simulation.until(lambda: len(simulation.running("run-low")) == 8)
        submitted_at = trio.current_time()
        await simulation.submit(job("run-live", shape="standing", shards=2, rank="prod"))
        await simulation.until(lambda: len(simulation.running("run-live")) == 2, 10)
        assert trio.current_time() - submitted_at < 3
        # The notes are stored with the job's next progress record.
        with trio.fail_after(constants.PROGRESS_EVERY_S):
            while not any("making room for run-live" in note for note in await notes(simulation, "run-low")):
                await trio.sleep(0.1)

    run_scenario(scenario)
