"""Tasks that fail on every machine, and machines on which every task fails."""

import trio

from tests.simulation import SimulatedCluster, job, run_scenario


def fail_jobs_with_a_mistake(simulation: SimulatedCluster, mistaken: set[str], faulty: set[str]) -> None:
    """Tasks of these jobs fail on every machine, and every task on these machines."""

    def on(name: str) -> None:
        simulation.workers[name].task_fails = lambda task_id: task_id.rpartition("/")[0] in mistaken or name in faulty

    for name in list(simulation.workers):
        on(name)
    simulation.on_boot = on


def test_jobs_that_fail_everywhere_quarantine_no_machine_and_are_retried_with_backoff() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        mistaken = {f"run-bad{number}" for number in range(5)}
        fail_jobs_with_a_mistake(simulation, mistaken, set())
        label = await simulation.until_leader()
        await simulation.submit(job("run-good", shards=40, vcpus=1.0, expectedRunS=8.0))
        for job_id in sorted(mistaken):
            await simulation.submit(job(job_id, shards=12, vcpus=1.0, expectedRunS=8.0))
        since = trio.current_time() + 10
        await simulation.until_phase("run-good", "done", 150)
        await trio.sleep(60)
        cluster = simulation.controllers[label].cluster
        assert cluster is not None
        assert not any(machine.quarantined for machine in cluster.machines.values())
        assert all(not cluster.jobs[job_id].failures.blamed_machines for job_id in mistaken)
        late = [
            task_id for at, task_id, _ in simulation.starts if at > since and task_id.rpartition("/")[0] in mistaken
        ]
        assert len(late) <= 8 * len(mistaken), f"{len(late)} tries in {trio.current_time() - since:.0f} s"
        status, answer = await simulation.ask(label, "GET", "/v2/runs/run-bad0/why")
        assert status == 200 and any("next try in" in note for note in answer["why"]), answer
        for job_id in sorted(mistaken):
            assert (await simulation.cancel(job_id))["phase"] == "cancelled"
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_a_faulty_machine_is_found_beside_jobs_that_fail_everywhere() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 4
        mistaken, faulty = {"run-bad"}, {"10.1.0.0:9000"}
        fail_jobs_with_a_mistake(simulation, mistaken, faulty)
        await simulation.until_leader()
        await simulation.submit(job("run-bad", shards=8, vcpus=1.0))
        for number in range(4):
            await simulation.submit(job(f"run-{number}", shards=8, vcpus=2.0, expectedRunS=4.0))
        for number in range(4):
            await simulation.until_phase(f"run-{number}", "done", 120)
        await simulation.until(lambda: not faulty & set(simulation.workers), 60)
        assert (await simulation.cancel("run-bad"))["phase"] == "cancelled"
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_a_faulty_machine_is_quarantined_and_a_faulty_job_is_retried_with_backoff() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=4))
        await simulation.until(lambda: len(simulation.running("run-a")) > 0)
        name = simulation.running("run-a")[0][1]
        simulation.workers[name].task_fails = lambda task_id: True
        await simulation.submit(job("run-b", shards=4))
        await simulation.until_phase("run-a", "done")
        await simulation.until_phase("run-b", "done")

    run_scenario(scenario)
