"""Tasks that fail on every machine, and machines on which every task fails."""

import trio

from tests.simulation import SimulatedCluster, job, run_scenario


def inject_failures(simulation: SimulatedCluster, faulty_jobs: set[str], faulty_machines: set[str]) -> None:
    """All tasks of `faulty_jobs` fail, and all tasks on `faulty_machines`."""

    def set_failure(name: str) -> None:
        simulation.workers[name].task_fails = lambda task_id: (
            task_id.rpartition("/")[0] in faulty_jobs or name in faulty_machines
        )

    for name in list(simulation.workers):
        set_failure(name)
    simulation.on_boot = set_failure


def test_jobs_failing_everywhere_quarantine_no_machine_and_back_off() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        faulty_jobs = {f"run-bad{number}" for number in range(5)}
        inject_failures(simulation, faulty_jobs, set())
        label = await simulation.until_leader()
        await simulation.submit(job("run-good", shards=40, vcpus=1.0, expectedRunS=8.0))
        for job_id in sorted(faulty_jobs):
            await simulation.submit(job(job_id, shards=12, vcpus=1.0, expectedRunS=8.0))
        since = trio.current_time() + 10
        await simulation.until_phase("run-good", "done", 150)
        await trio.sleep(60)
        cluster = simulation.controllers[label].cluster
        assert cluster is not None
        assert not any(machine.quarantined for machine in cluster.machines.values())
        assert all(not cluster.jobs[job_id].failures.blamed_machines for job_id in faulty_jobs)
        late_starts = [
            task_id for at, task_id, _ in simulation.starts if at > since and task_id.rpartition("/")[0] in faulty_jobs
        ]
        assert len(late_starts) <= 8 * len(faulty_jobs), (
            f"{len(late_starts)} starts in {trio.current_time() - since:.0f} s"
        )
        status, answer = await simulation.ask(label, "GET", "/v2/runs/run-bad0/why")
        assert status == 200 and any("next try in" in note for note in answer["why"]), answer
        for job_id in sorted(faulty_jobs):
            assert (await simulation.cancel(job_id))["phase"] == "cancelled"
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_faulty_machine_is_detected_beside_job_failing_everywhere() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 4
        faulty_jobs, faulty_machines = {"run-bad"}, {"10.1.0.0:9000"}
        inject_failures(simulation, faulty_jobs, faulty_machines)
        await simulation.until_leader()
        await simulation.submit(job("run-bad", shards=8, vcpus=1.0))
        for number in range(4):
            await simulation.submit(job(f"run-{number}", shards=8, vcpus=2.0, expectedRunS=4.0))
        for number in range(4):
            await simulation.until_phase(f"run-{number}", "done", 120)
        await simulation.until(lambda: not faulty_machines & set(simulation.workers), 60)
        assert (await simulation.cancel("run-bad"))["phase"] == "cancelled"
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_jobs_finish_despite_faulty_machine() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=4))
        await simulation.until(lambda: len(simulation.running("run-a")) > 0)
        name = simulation.running("run-a")[0][1]
        simulation.workers[name].task_fails = lambda task_id: True
        await simulation.submit(job("run-b", shards=4))
        await simulation.until_phase("run-a", "done")
        await simulation.until_phase("run-b", "done")

    run_scenario(scenario)
