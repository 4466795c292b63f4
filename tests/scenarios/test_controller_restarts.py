"""Crashes and restarts of controllers: one, one after the other, or all for longer than a lease."""

import pytest
import trio

from sorrelsill.constants import HEARTBEAT_HOLD_S
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.rules import LEASE_S


async def wait_for_steps(
    simulation: SimulatedCluster, began: float, services: list[str], starts_before: int
) -> dict[str, float]:
    """Returns the seconds from `began` until each step of a restart of all controllers."""
    steps: dict[str, float] = {}

    def record(step: str, reached: bool) -> None:
        if reached and step not in steps:
            steps[step] = trio.current_time() - began

    while len(steps) < 6:
        assert trio.current_time() - began < 90, steps
        up = [controller for label, controller in simulation.controllers.items() if label not in simulation.net.down]
        record("process up", bool(up))
        record("view loaded", any(controller.watch_cache.loaded for controller in up))
        label = simulation.leader()
        record("leading", label is not None)
        cluster = simulation.controllers[label].cluster if label is not None else None
        record(
            "machines confirmed",
            cluster is not None and not cluster.failover.unconfirmed and bool(cluster.index.usable),
        )
        record("first start", len(simulation.starts) > starts_before)
        record("last service up", all(len(simulation.running(job_id)) == 3 for job_id in services))
        await trio.sleep(0.01)
    return steps


@pytest.mark.parametrize("restart_pattern", ["together", "one by one", "back and gone again"])
def test_all_jobs_recover_after_all_controllers_were_down(restart_pattern: str) -> None:
    """Accepted jobs are known and restarted, and user requests are answered as soon as one controller is up."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        services = [f"run-s{number}" for number in range(4)]
        for job_id in services:
            await simulation.submit(service(job_id, shards=3))
        await simulation.until(lambda: all(len(simulation.running(job_id)) == 3 for job_id in services), 90)
        await simulation.submit(job("run-a", shards=8, expectedRunS=20.0))
        await trio.sleep(3)
        simulation.kill_all()
        await trio.sleep(2 * LEASE_S)
        assert not any(worker.active_tasks for worker in simulation.workers.values())
        starts = len(simulation.starts)
        began = trio.current_time()
        if restart_pattern == "back and gone again":
            simulation.start_all()
            await trio.sleep(0.7)
            simulation.kill_all()
            await trio.sleep(5)
            began = trio.current_time()
        if restart_pattern == "one by one":
            simulation.start("n2")
            simulation.nursery.start_soon(_start_later, simulation, {"n0": 6.0, "n1": 12.0})
        else:
            simulation.start_all()
        simulation.nursery.start_soon(_query_before_election, simulation, [*services, "run-a"])
        steps = await wait_for_steps(simulation, began, services, starts)
        print(f"{restart_pattern}: " + ", ".join(f"{step} {at:.2f} s" for step, at in steps.items()))
        assert steps["view loaded"] < 0.5
        assert steps["leading"] < 2.6, "waits for the previous process's promise, then takes the leader key"
        assert steps["first start"] - steps["leading"] < 2.0
        assert steps["last service up"] - steps["first start"] < 5.0
        await simulation.wait_for_convergence()

    run_scenario(scenario)


async def _query_before_election(simulation: SimulatedCluster, job_ids: list[str]) -> None:
    """User requests are answered long before any controller leads."""
    await trio.sleep(0.5)
    assert simulation.leader() is None
    for job_id in job_ids:
        status, _ = await simulation.ask("n2", "GET", f"/v2/runs/{job_id}")
        assert status == 200, f"{job_id} is answered as soon as a controller is up"
    assert (await simulation.ask("n2", "GET", "/v2/runs/run-never"))[0] == 404
    job_id = "run-early"
    simulation.specs[job_id] = job(job_id, shards=1)
    status, _ = await simulation.ask("n2", "POST", "/v2/runs", simulation.specs[job_id])
    assert status in (201, 503), "503 while no machine types are known, 201 if they are stored"


async def _start_later(simulation: SimulatedCluster, delays: dict[str, float]) -> None:
    began = trio.current_time()
    for label, delay_s in delays.items():
        await trio.sleep_until(began + delay_s)
        simulation.start(label)


def test_leader_is_elected_despite_restarts_during_elections() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        before = len(simulation.starts)
        for turn in range(6):
            label = simulation.leader() or sorted(simulation.controllers)[turn % 3]
            simulation.kill(label)
            await trio.sleep(0.2)
            simulation.start(label)
            await trio.sleep(0.7 * (turn + 1))
        began = trio.current_time()
        await simulation.until_leader(10)
        assert trio.current_time() - began < 6
        await simulation.submit(job("run-n"))
        await simulation.until_phase("run-n", "done")
        assert len(simulation.running("run-s")) == 4 and len(simulation.starts) == before + 2

    run_scenario(scenario)


def test_leader_restarted_at_once_does_not_wait_for_its_key_to_expire() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old = await simulation.until_leader()
        simulation.kill(old)
        await trio.sleep(0.1)
        simulation.start(old)
        began = trio.current_time()
        await simulation.until_leader(10)
        assert trio.current_time() - began < simulation.controllers[old].timings.lease_s / 2

    run_scenario(scenario)


def test_one_controller_serves_users_after_all_were_down_longer_than_a_lease() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4, vcpus=1.0))
        await simulation.submit(job("run-a", shards=6, vcpus=1.0, expectedRunS=20.0))
        await simulation.submit(service("run-c", shards=2, vcpus=1.0))
        await simulation.until(lambda: len(simulation.running("run-c")) == 2 and len(simulation.running("run-a")) == 6)
        await simulation.cancel("run-c")
        simulation.kill_all()
        await trio.sleep(2 * LEASE_S)
        assert not any(simulation.running(job_id) for job_id in ("run-s", "run-a", "run-c"))
        simulation.start("n1")
        assert (await simulation.poll("run-a", "n1"))[0] in (200, 503)
        await trio.sleep(3)
        assert (await simulation.poll("run-a", "n1"))[0] == 200 and await simulation.submit(job("run-n")) == 201
        await simulation.until_leader(15)
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_restart_of_all_controllers_keeps_all_jobs() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-d"))
        await simulation.until_phase("run-d", "done")
        await simulation.submit(service("run-s", shards=2))
        await simulation.submit(service("run-c", shards=2))
        await simulation.cancel("run-c")
        await simulation.until(lambda: len(simulation.running("run-s")) == 2)
        simulation.kill_all()
        await trio.sleep(4)
        simulation.start_all()
        assert (await simulation.poll("run-d"))[1]["phase"] == "done"
        assert (await simulation.poll("run-c"))[1]["phase"] == "cancelled"
        assert await simulation.submit(job("run-d")) == 200
        await simulation.until_leader()
        await trio.sleep(15)
        assert len(simulation.running("run-s")) == 2

    run_scenario(scenario)


def test_rolling_restart_interrupts_no_task() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        before = len(simulation.starts)
        for label in list(simulation.controllers):
            simulation.kill(label)
            await trio.sleep(4)
            simulation.start(label)
            await trio.sleep(10)
        assert len(simulation.running("run-s")) == 4 and len(simulation.starts) == before

    run_scenario(scenario)


def test_workers_are_answered_as_soon_as_a_leader_is_elected_after_all_were_down() -> None:
    """Without holding their heartbeats during the election, controllers send workers away without a leader's label,
    and each worker waits for a second before it tries the next one."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=12, vcpus=4.0)
        simulation.kill_all()
        await trio.sleep(3)
        simulation.start_all()
        await simulation.until(lambda: simulation.leader() is not None, 20)
        elected_at = trio.current_time()
        await trio.sleep(0.5)  # a worker that is redirected to the leader reports there after up to half a second
        # The leases count from the sending of the heartbeats, which were held for up to HEARTBEAT_HOLD_S.
        late = [w.name for w in simulation.workers.values() if w.lease_renewed_at < elected_at - HEARTBEAT_HOLD_S]
        assert not late

    run_scenario(scenario)
