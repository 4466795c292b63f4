"""Controllers that are all away, machines that come late or never, storms of polls, guests, and jobs that fail wherever
they run."""

import pytest
import trio

from sorrelsill import constants
from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.rules import LEASE_S
from tests.simulation.users import LABELS

GUARANTEED = [Team("red", cpus=40.0), Team("guests")]


async def wait_for_steps(
    simulation: SimulatedCluster, began: float, services: list[str], starts_before: int
) -> dict[str, float]:
    """Seconds from `began` until each step of a restart of all controllers."""
    steps: dict[str, float] = {}

    def note(step: str, reached: bool) -> None:
        if reached and step not in steps:
            steps[step] = trio.current_time() - began

    while len(steps) < 6:
        assert trio.current_time() - began < 90, steps
        up = [node for label, node in simulation.nodes.items() if label not in simulation.net.down]
        note("process up", bool(up))
        note("view loaded", any(node.watch_cache.loaded for node in up))
        label = simulation.leader()
        note("leading", label is not None)
        cluster = simulation.nodes[label].cluster if label is not None else None
        note(
            "machines confirmed", cluster is not None and not cluster.failover.unconfirmed and bool(cluster.index.ready)
        )
        note("first start", len(simulation.starts) > starts_before)
        note("last service up", all(len(simulation.running(job_id)) == 3 for job_id in services))
        await trio.sleep(0.01)
    return steps


@pytest.mark.parametrize("way", ["together", "one by one", "back and gone again"])
def test_all_controllers_away_longer_than_a_lease(way: str) -> None:
    """What was accepted is known and starts anew; users are answered as soon as one controller is up."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        services = [f"run-s{number}" for number in range(4)]
        for job_id in services:
            await simulation.submit(service(job_id, shards=3))
        await simulation.until(lambda: all(len(simulation.running(job_id)) == 3 for job_id in services), 90)
        await simulation.submit(job("run-a", shards=8, expectedRunS=20.0))
        await trio.sleep(3)
        for label in LABELS:
            simulation.kill(label)
        await trio.sleep(2 * LEASE_S)
        assert not any(worker.on for worker in simulation.workers.values())
        starts = len(simulation.starts)
        began = trio.current_time()
        if way == "back and gone again":
            for label in LABELS:
                simulation.start(label)
            await trio.sleep(0.7)
            for label in LABELS:
                simulation.kill(label)
            await trio.sleep(5)
            began = trio.current_time()
        if way == "one by one":
            simulation.start("n2")
            simulation.nursery.start_soon(_start_later, simulation, {"n0": 6.0, "n1": 12.0})
        else:
            for label in LABELS:
                simulation.start(label)
        simulation.nursery.start_soon(_ask_soon, simulation, [*services, "run-a"])
        steps = await wait_for_steps(simulation, began, services, starts)
        print(f"{way}: " + ", ".join(f"{step} {at:.2f} s" for step, at in steps.items()))
        assert steps["view loaded"] < 0.5
        assert steps["leading"] < 2.6, "a promise of the former process, and the key"
        assert steps["first start"] - steps["leading"] < 2.0
        assert steps["last service up"] - steps["first start"] < 5.0
        await simulation.wait_for_convergence()

    run_scenario(scenario)


async def _ask_soon(simulation: SimulatedCluster, job_ids: list[str]) -> None:
    """Users are answered long before anybody leads."""
    await trio.sleep(0.5)
    assert simulation.leader() is None
    for job_id in job_ids:
        status, _ = await simulation.ask("n2", "GET", f"/v2/runs/{job_id}")
        assert status == 200, f"{job_id} is answered as soon as a controller is up"
    assert (await simulation.ask("n2", "GET", "/v2/runs/run-never"))[0] == 404
    job_id = "run-early"
    simulation.specs[job_id] = job(job_id, shards=1)
    status, _ = await simulation.ask("n2", "POST", "/v2/runs", simulation.specs[job_id])
    assert status in (201, 503), "no machine types are known yet, or they are on record"


async def _start_later(simulation: SimulatedCluster, delays: dict[str, float]) -> None:
    began = trio.current_time()
    for label, delay_s in delays.items():
        await trio.sleep_until(began + delay_s)
        simulation.start(label)


@pytest.mark.parametrize("new_leader", [False, True])
def test_late_and_lost_machines_are_replaced_and_given_up_without_running_away(new_leader: bool) -> None:
    """Half of the machines never come up, others take several times as long, and the list is 12 s late."""

    async def scenario(simulation: SimulatedCluster) -> None:
        cloud = simulation.cloud
        cloud.lag_s = 12.0
        cloud.never_boots = set(range(0, 400, 2))
        cloud.boot_times = lambda number: 4.0 if number % 4 == 1 else 1.0
        leader = await simulation.until_leader()
        await simulation.submit(job("run-a", shards=24, vcpus=4.0, expectedRunS=40.0))
        began = trio.current_time()
        if new_leader:
            await trio.sleep(25)
            simulation.kill(leader)
            await trio.sleep(1)
            simulation.start(leader)
        await simulation.until(lambda: len(simulation.running("run-a")) >= 20, 60)
        print("twenty after", trio.current_time() - began)
        await simulation.until_phase("run-a", "done", 240)
        spent = trio.current_time() - began
        print("spent", spent, "rented", sum(count for _, count in cloud.rented), "calls", cloud.calls)
        assert spent < 180, f"done after {spent:.0f} s"
        assert cloud.calls < 1.5 * spent + 10, "the cloud's rate"
        rented = sum(count for _, count in cloud.rented)
        assert rented <= 40, f"{rented} machines were rented for the work of 12"
        await trio.sleep(90)
        for name, machine in cloud.machines.items():
            assert name in simulation.workers, f"{name} was never up and is paid for since {machine['born']:.0f} s"
        lost = [seconds for name, seconds in cloud.paid.items() if name not in simulation.ever_up]
        assert lost, "some never came up"
        print("lost", sorted(lost))
        assert max(lost) < 50, f"paid for {max(lost):.0f} s, with boots of 5 s"
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_a_storm_of_polls_leaves_pings_reports_and_submissions_their_time() -> None:
    """Each request costs a controller 2 ms of its only processor; 450 polls a second take most of it."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        job_ids = [f"run-{number}" for number in range(10)]
        for job_id in job_ids:
            await simulation.submit(job(job_id, shards=2, vcpus=1.0, expectedRunS=200.0))
        await simulation.until(lambda: all(len(simulation.running(job_id)) == 2 for job_id in job_ids), 60)
        led, simulation.request_cost_s = len(simulation.led), 0.002
        reads_before = len(simulation.store.requests)
        statuses: dict[int, int] = {}
        latencies: list[float] = []

        async def poll(number: int) -> None:
            job_id = job_ids[number % 10] if number % 5 else f"run-never-{number}"
            began = trio.current_time()
            status, _ = await simulation.ask(LABELS[number % 3], "GET", f"/v2/runs/{job_id}")
            statuses[status] = statuses.get(status, 0) + 1
            latencies.append(trio.current_time() - began)

        async with trio.open_nursery() as nursery:
            for number in range(9000):
                nursery.start_soon(poll, number)
                if number % 900 == 450:
                    began = trio.current_time()
                    job_id = f"run-new-{number}"
                    assert await simulation.submit(job(job_id, shards=1, vcpus=1.0, expectedRunS=1.0)) in (200, 201)
                    assert trio.current_time() - began < 0.3, "a submission keeps its latency"
                    began = trio.current_time()
                    assert (await simulation.cancel(job_id))["phase"] in ("cancelled", "done")
                    assert trio.current_time() - began < 0.5, "a cancellation keeps its latency"
                await trio.sleep(1 / 450)
        spent_s = 9000 / 450
        assert len(simulation.led) == led, "pings keep their time"
        assert all(len(simulation.running(job_id)) == 2 for job_id in job_ids), "reports are answered"
        assert set(statuses) <= {200, 404, 503}, statuses
        assert statuses[200] > 5000, statuses
        assert max(latencies) < 1.6, "answered or refused within a user's patience"
        assert len(simulation.store.requests) - reads_before < 500 * spent_s, "reads are shared"
        simulation.request_cost_s = 0.0
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_what_waits_in_a_storm_is_bounded_while_the_store_is_silent() -> None:
    """Polls that find no place among those that wait are told at once to come back."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        await simulation.submit(job("run-a", shards=1, expectedRunS=200.0))
        follower = next(label for label in LABELS if label != simulation.leader())
        at_once = {"run-a": 0, "run-never": 0}

        async def poll(job_id: str) -> None:
            began = trio.current_time()
            status, _ = await simulation.ask(follower, "GET", f"/v2/runs/{job_id}")
            assert status in (200, 404, 503)
            at_once[job_id] += status == 503 and trio.current_time() - began < 0.3

        for job_id, path in (("run-a", "/follow"), ("run-never", "/kv/")):
            simulation.net.hold_request = lambda src, dst, r, path=path: src == follower and r.path.startswith(path)  # type: ignore[misc]
            async with trio.open_nursery() as nursery:
                for _ in range(3 * constants.POLL_QUEUE):
                    nursery.start_soon(poll, job_id)
            simulation.net.hold_request = lambda src, dst, request: False
            simulation.net.release()
            await trio.sleep(5)
        assert at_once["run-a"] >= 2 * constants.POLL_QUEUE
        assert at_once["run-never"] >= 3 * constants.POLL_QUEUE - constants.LOOKUPS_AT_ONCE
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_guests_give_their_room_to_work_with_a_deadline_within_seconds() -> None:
    """A guest's array holds every machine that the cloud has; it loses the tasks that ran for the shortest time."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 6
        await simulation.until_leader()
        await simulation.submit(
            job("run-g", owner="guests", rank="best_effort", shards=200, vcpus=0.5, memoryGb=0.5, expectedRunS=40.0)
        )
        await simulation.until(lambda: len(simulation.running("run-g")) >= 96, 60)
        await trio.sleep(5)
        await simulation.submit(job("run-d", shards=10, vcpus=4.0, expectedRunS=10.0, dueS=28.0))
        submitted = trio.current_time()
        await simulation.until(lambda: len(simulation.running("run-d")) == 10, 6)
        await simulation.until_phase("run-d", "done", 28)
        assert trio.current_time() - submitted < 28, "in time"
        await simulation.submit(service("run-s", shards=2, rank="prod", vcpus=4.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 3)
        await simulation.wait_for_convergence()

    run_scenario(scenario, teams=[Team("red"), Team("guests")])


def test_guests_keep_their_room_while_machines_can_still_be_rented_in_time() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        await simulation.submit(
            job("run-g", owner="guests", rank="best_effort", shards=60, vcpus=0.5, memoryGb=0.5, expectedRunS=60.0)
        )
        await simulation.until(lambda: len(simulation.running("run-g")) == 60, 60)
        before = len(simulation.starts)
        await simulation.submit(job("run-d", shards=10, vcpus=4.0, expectedRunS=10.0, dueS=60.0))
        await simulation.until_phase("run-d", "done", 60)
        assert len(simulation.starts) == before + 10, "no task of the guests was stopped"
        await simulation.wait_for_convergence()

    run_scenario(scenario, teams=[Team("red"), Team("guests")])


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


def fail_jobs_with_a_mistake(simulation: SimulatedCluster, mistaken: set[str], faulty: set[str]) -> None:
    """Tasks of these jobs fail on every machine, and every task on these machines."""

    def on(name: str) -> None:
        simulation.workers[name].fail = lambda task_id: task_id.rpartition("/")[0] in mistaken or name in faulty

    for name in list(simulation.workers):
        on(name)
    simulation.on_boot = on


def test_jobs_that_fail_everywhere_cost_no_machine_its_name_and_are_tried_ever_less() -> None:
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
        cluster = simulation.nodes[label].cluster
        assert cluster is not None
        assert not any(machine.quarantined for machine in cluster.machines.values())
        assert all(not cluster.jobs[job_id].failures.accused for job_id in mistaken)
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
