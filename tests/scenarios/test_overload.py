"""Overload by user requests: polls, heartbeats, lease renewals and submissions share one CPU."""

import trio

from sorrelsill import constants
from tests.simulation import SimulatedCluster, job, run_scenario
from tests.simulation.users import LABELS


def test_many_polls_do_not_delay_renewals_heartbeats_or_submissions() -> None:
    """Each request costs a controller 2 ms of its only CPU; 450 polls a second use most of it."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        job_ids = [f"run-{number}" for number in range(10)]
        for job_id in job_ids:
            await simulation.submit(job(job_id, shards=2, vcpus=1.0, expectedRunS=200.0))
        await simulation.until(lambda: all(len(simulation.running(job_id)) == 2 for job_id in job_ids), 60)
        terms_before, simulation.request_cost_s = len(simulation.leader_terms), 0.002
        reads_before = len(simulation.store.requests)
        statuses: dict[int, int] = {}
        latencies: list[float] = []

        async def poll(number: int) -> None:
            job_id = job_ids[number % 10] if number % 5 else f"run-never-{number}"
            sent_at = trio.current_time()
            status, _ = await simulation.ask(LABELS[number % 3], "GET", f"/v2/runs/{job_id}")
            statuses[status] = statuses.get(status, 0) + 1
            latencies.append(trio.current_time() - sent_at)

        async with trio.open_nursery() as nursery:
            for number in range(9000):
                nursery.start_soon(poll, number)
                if number % 900 == 450:
                    sent_at = trio.current_time()
                    job_id = f"run-new-{number}"
                    assert await simulation.submit(job(job_id, shards=1, vcpus=1.0, expectedRunS=1.0)) in (200, 201)
                    assert trio.current_time() - sent_at < 0.3, "submission latency stays bounded"
                    sent_at = trio.current_time()
                    assert (await simulation.cancel(job_id))["phase"] in ("cancelled", "done")
                    assert trio.current_time() - sent_at < 0.5, "cancellation latency stays bounded"
                await trio.sleep(1 / 450)
        polling_s = 9000 / 450
        assert len(simulation.leader_terms) == terms_before, "the leader renewed its lease in time"
        assert all(len(simulation.running(job_id)) == 2 for job_id in job_ids), "heartbeats are answered"
        assert set(statuses) <= {200, 404, 503}, statuses
        assert statuses[200] > 5000, statuses
        assert max(latencies) < 1.6, "each poll is answered or refused within a user's timeout"
        assert len(simulation.store.requests) - reads_before < 500 * polling_s, "polls share reads of the store"
        simulation.request_cost_s = 0.0
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_poll_queue_is_bounded_while_the_store_does_not_answer() -> None:
    """Polls that find the queue full are refused at once, with a time to retry after."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        await simulation.submit(job("run-a", shards=1, expectedRunS=200.0))
        follower = next(label for label in LABELS if label != simulation.leader())
        refused_at_once = {"run-a": 0, "run-never": 0}

        async def poll(job_id: str) -> None:
            sent_at = trio.current_time()
            status, _ = await simulation.ask(follower, "GET", f"/v2/runs/{job_id}")
            assert status in (200, 404, 503)
            refused_at_once[job_id] += status == 503 and trio.current_time() - sent_at < 0.3

        for job_id, path in (("run-a", "/follow"), ("run-never", "/kv/")):
            simulation.net.hold_request = lambda src, dst, r, path=path: src == follower and r.path.startswith(path)  # type: ignore[misc]
            async with trio.open_nursery() as nursery:
                for _ in range(3 * constants.POLL_QUEUE):
                    nursery.start_soon(poll, job_id)
            simulation.net.hold_request = lambda src, dst, request: False
            simulation.net.release()
            await trio.sleep(5)
        assert refused_at_once["run-a"] >= 2 * constants.POLL_QUEUE
        assert refused_at_once["run-never"] >= 3 * constants.POLL_QUEUE - constants.FINAL_READS_IN_FLIGHT_MAX
        await simulation.wait_for_convergence()

    run_scenario(scenario)
