"""Overlapping failures of machines, controllers and the store, with messages that arrive late or twice."""

import pytest
import trio

from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.recorded_messages import SentMessage, record_messages
from tests.simulation.rules import LEASE_S
from tests.simulation.users import LABELS


async def start_mixed_load(simulation: SimulatedCluster) -> None:
    """Fills some twenty machines with services and arrays of two teams."""
    simulation.cloud.capacity = 24
    for number in range(4):
        await simulation.submit(service(f"run-s{number}", shards=6, scatter=True, rank="prod", workload="live"))
    for number in range(4):
        team = "red" if number % 2 else "blue"
        await simulation.submit(job(f"run-{number}", shards=24, owner=team, vcpus=1.0, memoryGb=1.0, expectedRunS=25.0))
    await simulation.until(lambda: sum(len(w.active_tasks) for w in simulation.workers.values()) > 90)


async def send_copies(simulation: SimulatedCluster, sent: list[SentMessage], count: int) -> None:
    """Delivers copies of recorded messages to the machines that still exist and to every running controller."""
    for src, dst, request in simulation.rng.sample(sent, min(count, len(sent))):
        targets = (
            [dst]
            if dst in simulation.workers
            else [label for label in simulation.controllers if label not in simulation.net.down]
        )
        for target in targets:
            with trio.move_on_after(1):
                await simulation.net.handlers[target](src, request)


async def until_work_recovered(simulation: SimulatedCluster) -> None:
    for number in range(4):
        await simulation.until_phase(f"run-{number}", "done", 240)
    for number in range(4):
        await simulation.until(lambda n=number: len(simulation.running(f"run-s{n}")) == 6, 120)  # type: ignore[misc]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_failover_with_partitioned_and_hung_machines(seed: int) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await start_mixed_load(simulation)
        sent = record_messages(simulation, "/hello", "/commands")
        names = sorted(simulation.workers)
        cut = [n for n in names if simulation.workers[n].zone == "b"]
        hung = simulation.rng.sample([n for n in names if n not in cut], 4)
        for name in cut:
            simulation.cut_machine(name)
        for name in hung:
            simulation.workers[name].hung = True
        await trio.sleep(simulation.rng.random() * 8)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        await trio.sleep(simulation.rng.random())
        simulation.start(leader)
        await simulation.cancel("run-0")
        await trio.sleep(6)
        for name in hung:
            if name in simulation.workers:
                simulation.workers[name].hung = False
        await send_copies(simulation, sent, 60)
        await trio.sleep(8)
        simulation.net.heal()
        await send_copies(simulation, sent, 60)
        for number in range(1, 4):
            await simulation.until_phase(f"run-{number}", "done", 240)
        for number in range(4):
            await simulation.until(lambda n=number: len(simulation.running(f"run-s{n}")) == 6, 120)  # type: ignore[misc]
        assert not simulation.running("run-0")

    run_scenario(scenario, seed, [Team("red", cpus_max=100.0), Team("blue", cpus_max=50.0)])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_restart_of_each_controller_while_machines_fail(seed: int) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await start_mixed_load(simulation)
        sent = record_messages(simulation, "/hello", "/commands")
        for label in sorted(simulation.controllers):
            simulation.kill(label)
            for name in simulation.rng.sample(sorted(simulation.workers), 3):
                simulation.kill_machine(name)
                simulation.cloud.machines[name]["phase"] = "failed"
            await trio.sleep(simulation.rng.choice([0.2, 3.0]))
            simulation.start(label)
            await trio.sleep(5)
            await send_copies(simulation, sent, 30)
        await until_work_recovered(simulation)

    run_scenario(scenario, seed)


def test_restart_of_all_controllers_in_an_outage_with_a_partitioned_zone() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await start_mixed_load(simulation)
        sent = record_messages(simulation, "/hello", "/commands")
        for name in [n for n, w in simulation.workers.items() if w.zone == "a"]:
            simulation.cut_machine(name)
        simulation.store.begin_outage()
        await trio.sleep(3)
        simulation.kill_all()
        await trio.sleep(0.3)
        simulation.start_all()
        await trio.sleep(9)
        simulation.store.end_outage()
        await send_copies(simulation, sent, 60)
        await trio.sleep(6)
        simulation.net.heal()
        await until_work_recovered(simulation)

    run_scenario(scenario)


def test_every_job_is_answered_soon_after_the_last_failure() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        for number in range(30):
            await simulation.submit(job(f"run-{number}", shards=2, expectedRunS=15.0))
        simulation.store.begin_outage()
        await trio.sleep(10)
        simulation.kill_all()
        await trio.sleep(3)
        simulation.start_all()
        await trio.sleep(10)
        simulation.store.end_outage()
        outage_ended_at = trio.current_time()
        for number in range(30):
            status, answer = await simulation.poll(f"run-{number}")
            assert status == 200 and answer["phase"] in ("pending", "running", "done")
        assert trio.current_time() - outage_ended_at < 75
        for number in range(30):
            await simulation.until_phase(f"run-{number}", "done")

    run_scenario(scenario)


def test_jobs_cancelled_during_a_failover_end() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        job_ids = [f"run-{number}" for number in range(9)]
        for job_id in job_ids:
            await simulation.submit(service(job_id, shards=2, vcpus=1.0))
        await simulation.until(lambda: all(len(simulation.running(job_id)) == 2 for job_id in job_ids))
        for round_number in range(3):
            leader = await simulation.until_leader()
            await simulation.cancel(job_ids[3 * round_number])
            simulation.kill(leader)
            await simulation.cancel(job_ids[3 * round_number + 1])
            simulation.start(leader)
            await simulation.until_leader()
            await simulation.cancel(job_ids[3 * round_number + 2])
        assert simulation.starts_after_cancellation == 0
        await simulation.until(lambda: not any(simulation.running(job_id) for job_id in job_ids), 15)

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["cut", "hang", "inbound_lost", "outbound_refused"])
def test_cancelled_jobs_of_full_teams_on_unreachable_machines(fault: str) -> None:
    """The leader changes as well. A task counts toward its team's limit until it is proved to have ended."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 8
        for team in ("red", "blue"):
            for number in range(4):
                await simulation.submit(service(f"run-{team}{number}", owner=team, shards=2, vcpus=2.0))
        await simulation.until(lambda: sum(len(w.active_tasks) for w in simulation.workers.values()) == 16)
        for team in ("red", "blue"):
            for number in range(4, 6):
                await simulation.submit(service(f"run-{team}{number}", owner=team, shards=2, vcpus=2.0))
        unreachable = {name for job_id in ("run-red0", "run-blue0") for _, name in simulation.running(job_id)}
        inject_fault = {
            "cut": simulation.cut_machine,
            "hang": simulation.hang,
            "inbound_lost": simulation.drop_inbound,
            "outbound_refused": simulation.refuse_outbound,
        }[fault]
        for name in unreachable:
            inject_fault(name)
        leader = await simulation.until_leader()
        await simulation.cancel("run-red0")
        simulation.kill(leader)
        await simulation.cancel("run-blue0")
        await trio.sleep(1)
        await simulation.cancel("run-red1")
        await simulation.until_leader(15)
        await trio.sleep(8)
        simulation.start(leader)
        await trio.sleep(3 * LEASE_S)
        for job_id in ("run-blue1", "run-red2", "run-blue2"):
            await simulation.cancel(job_id)  # so that all remaining jobs fit into the limits of their teams
        await simulation.wait_for_convergence()

    run_scenario(scenario, teams=[Team("red", cpus_max=16.0), Team("blue", cpus_max=16.0)])


def test_new_machines_get_work_while_registry_writes_lag_and_leaders_fail() -> None:
    """Writes of the machine registry get no response and are committed 12 s late; half of the machines reach the next
    leader late."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        simulation.net.late_delivery_s = lambda src, dst, request: (
            12.0 if request.path == "/multi" and b"s/m/" in request.body else None
        )
        await simulation.submit(job("run-a", shards=8, vcpus=2.0, expectedRunS=25.0))
        for _ in range(3):
            await simulation.until(lambda: bool(simulation.workers), 60)
            await trio.sleep(2)
            leader = await simulation.until_leader(20)
            simulation.kill(leader)
            simulation.net.refused = {(name, label) for name in list(simulation.workers)[::2] for label in LABELS}
            for name in list(simulation.workers)[::2]:
                simulation.cut_machine(name)
            await trio.sleep(0.3)
            simulation.start(leader)
            await trio.sleep(7)
            simulation.net.refused.clear()
            simulation.net.heal()
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_ten_leader_changes_in_two_minutes_with_outages() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4, vcpus=1.0)
        for round_number in range(10):
            round_started_at = trio.current_time()
            await simulation.submit(job(f"run-{round_number}", shards=2, vcpus=1.0, expectedRunS=4.0), 5.0)
            leader = simulation.leader() or LABELS[round_number % 3]
            simulation.kill(leader)
            simulation.cut_machine(simulation.running("run-s")[0][1])  # this machine reaches the next leader late
            if round_number in (3, 7):
                simulation.store.begin_outage()
            await trio.sleep(0.2 if round_number % 2 else 4.0)
            simulation.start(leader)
            await trio.sleep(3)
            simulation.store.end_outage()
            simulation.net.heal()
            await trio.sleep_until(round_started_at + 12)
        await simulation.wait_for_convergence()
        assert len(simulation.leader_terms) > 5

    run_scenario(scenario)


def test_stream_of_small_jobs_with_cancellations_and_a_failover() -> None:
    """Each job is accepted, and runs to its end or is cancelled, although the leader changes half-way."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 16
        await simulation.until_leader()
        cancelled = 0

        async def submit_and_maybe_cancel(number: int) -> None:
            nonlocal cancelled
            job_id = f"run-{number}"
            await simulation.submit(job(job_id, shards=1, vcpus=0.5, memoryGb=1.0, expectedRunS=10.0))
            if number % 4 == 0:
                await trio.sleep(simulation.rng.uniform(0, 12))
                cancelled += (await simulation.cancel(job_id)).get("phase") == "cancelled"

        async with trio.open_nursery() as nursery:
            for number in range(360):
                nursery.start_soon(submit_and_maybe_cancel, number)
                if number == 180:
                    leader = await simulation.until_leader()
                    simulation.kill(leader)
                    nursery.start_soon(simulation.restart_later, leader, 4.0)
                await trio.sleep(0.25)
        assert cancelled > 50 and simulation.starts_after_cancellation <= cancelled // 10, (
            simulation.starts_after_cancellation
        )
        await simulation.wait_for_convergence()

    run_scenario(scenario)
