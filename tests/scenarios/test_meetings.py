"""Meetings of two troubles, as the users tell them: looks at all controllers within milliseconds, lost answers,
transactions and reports that come late, hands that change, machines that are cut off, hang, hear or tell nothing. The
stand-ins check the protocol's rules on the way, and at the end that nothing is forgotten or left waiting."""

import msgspec
import pytest
import trio

from sorrelsill.http import Request
from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.rules import LEASE_S
from tests.simulation.users import LABELS


async def look_closely(simulation: SimulatedCluster, job_id: str, rounds: int = 3) -> None:
    """Polls and repeats of the submission at all controllers, again within milliseconds."""
    async with trio.open_nursery() as nursery:
        for _ in range(rounds):
            for label in LABELS:
                nursery.start_soon(simulation.ask, label, "GET", f"/v2/runs/{job_id}")
                nursery.start_soon(simulation.ask, label, "POST", "/v2/runs", simulation.specs[job_id])
            await trio.sleep(0.003)


@pytest.mark.parametrize("trouble", ["none", "lost answers", "late writes", "leaders change"])
def test_close_looks_get_nothing_older_than_what_was_told(trouble: str) -> None:
    """Right after a job was accepted, ended or confirmed as cancelled."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        if trouble in ("lost answers", "late writes"):
            simulation.late_writes(0.3, at_once=trouble == "lost answers")
        for number in range(12):
            if trouble == "leaders change" and number % 4 == 3:
                leader = simulation.leader() or "n0"
                simulation.kill(leader)
                simulation.nursery.start_soon(_back, simulation, leader, 0.3)
            job_id = f"run-{number}"
            await simulation.submit(job(job_id, shards=1, vcpus=1.0, expectedRunS=1.0, sizeGb=0.0))
            await look_closely(simulation, job_id)
            if number % 3 == 0:
                await simulation.cancel(job_id)
                await look_closely(simulation, job_id)
            elif number % 3 == 1:
                await simulation.until(lambda u=job_id: f"{u}/0" in simulation.finished, 60)  # type: ignore[misc]
                await simulation.cancel(job_id)  # at the end of its last task
                await look_closely(simulation, job_id)
            else:
                await simulation.until_phase(job_id, "done", 120)
                await look_closely(simulation, job_id)
        await simulation.wait_for_convergence()
        for job_id in sorted(simulation.accepted):
            await look_closely(simulation, job_id)

    run_scenario(scenario)


async def _back(simulation: SimulatedCluster, label: str, away_s: float) -> None:
    await trio.sleep(away_s)
    if label in simulation.net.down:
        simulation.start(label)


def test_transactions_carried_out_late_change_nothing_that_was_told() -> None:
    """After newer ones of the same controller, and after its end."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        simulation.late_writes(0.25)
        for number in range(10):
            job_id = f"run-{number}"
            await simulation.submit(job(job_id, shards=2, vcpus=1.0, expectedRunS=3.0))
            if number % 3 == 0:
                await simulation.cancel(job_id)
            if number % 4 == 2:
                leader = await simulation.until_leader()
                simulation.kill(leader)
                await trio.sleep(0.2)
                simulation.start(leader)
        await trio.sleep(20)
        await simulation.wait_for_convergence()
        for label in LABELS:  # what memories hide, the records have to say as well
            simulation.kill(label)
        for label in LABELS:
            simulation.start(label)
        await simulation.wait_for_convergence()
        for job_id in sorted(simulation.accepted):
            await look_closely(simulation, job_id)

    run_scenario(scenario)


def test_a_record_written_late_does_not_bring_a_finished_job_back() -> None:
    """The leader's own, carried out after its newer one that ended the job."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        held: list[str] = []

        def late(src: str, dst: str, request: Request) -> float | None:
            if request.path != "/multi" or held:
                return None
            writes = msgspec.msgpack.decode(request.body)["writes"]
            if any(w.get("set") == "s/j/run-a" and w["value"]["r"] for w in writes):
                held.append(src)
                return 12.0
            return None

        simulation.net.late = late
        await simulation.submit(job("run-a", shards=2, expectedRunS=3.0))
        await simulation.until_phase("run-a", "done")
        assert held
        await trio.sleep(15)
        for label in LABELS:
            simulation.kill(label)
        for label in LABELS:
            simulation.start(label)
        await trio.sleep(5)
        await look_closely(simulation, "run-a")
        assert (await simulation.poll("run-a"))[1]["phase"] == "done"

    run_scenario(scenario)


def test_an_old_report_names_a_task_that_runs_elsewhere_now() -> None:
    """It reaches the next leader first; the machine that truly has the task takes its time to find that leader."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=1, vcpus=6.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 1)
        first = simulation.running("run-s")[0][1]
        old: list[Request] = []

        def keep(src: str, dst: str, request: Request) -> None:
            if src == first and request.path == "/hello" and b"run-s/0" in request.body:
                old.append(request)

        simulation.net.copy = keep
        await trio.sleep(3)
        simulation.cut_machine(first)
        await simulation.until(lambda: [h for _, h in simulation.running("run-s")] not in ([], [first]), 60)
        second = next(h for _, h in simulation.running("run-s") if h != first)
        await trio.sleep(3)
        before = len(simulation.starts)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        simulation.net.refused = {(second, label) for label in LABELS}
        simulation.cut_machine(second)
        await simulation.until_leader(15)
        for label in LABELS:
            await simulation.net.deliver_copy(first, label, old[-1])
        simulation.net._cuts = {c for c in simulation.net._cuts if second in c}
        await trio.sleep(5)
        simulation.net.refused.clear()
        simulation.net.heal()
        simulation.start(leader)
        await simulation.wait_for_convergence()
        assert len(simulation.starts) == before, "it ran on where it was"

    run_scenario(scenario)


@pytest.mark.parametrize("for_next", [True, False])
def test_old_reports_reach_every_controller_as_a_leader_begins(for_next: bool) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4, vcpus=1.0))
        await simulation.submit(job("run-a", shards=16, vcpus=1.0, expectedRunS=9.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4)
        simulation.late_reports(0.4, for_next)
        for turn in range(4):
            await trio.sleep(6)
            leader = await simulation.until_leader()
            simulation.kill(leader)
            if turn == 1 and simulation.running("run-a"):
                simulation.cut_machine(simulation.running("run-a")[0][1])
            if turn == 2:
                await simulation.submit(service("run-c", shards=2, vcpus=1.0))
                await simulation.cancel("run-c")
            await trio.sleep(2)
            simulation.start(leader)
        await simulation.wait_for_convergence()

    run_scenario(scenario, teams=[Team("red", cpus_max=24.0), Team("blue")])


def test_jobs_are_cancelled_in_the_seconds_in_which_work_changes_hands() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        names = [f"run-{n}" for n in range(9)]
        for job_id in names:
            await simulation.submit(service(job_id, shards=2, vcpus=1.0))
        await simulation.until(lambda: all(len(simulation.running(job_id)) == 2 for job_id in names))
        for turn in range(3):
            leader = await simulation.until_leader()
            await simulation.cancel(names[3 * turn])
            simulation.kill(leader)
            await simulation.cancel(names[3 * turn + 1])
            simulation.start(leader)
            await simulation.until_leader()
            await simulation.cancel(names[3 * turn + 2])
        assert simulation.started_cancelled == 0
        await simulation.until(lambda: not any(simulation.running(job_id) for job_id in names), 15)

    run_scenario(scenario)


@pytest.mark.parametrize("trouble", ["cut", "hang", "deaf", "mute"])
def test_full_teams_whose_cancelled_jobs_stay_on_machines_that_cannot_be_asked(trouble: str) -> None:
    """The leader changes as well. What may still run counts toward the limit until it is proved gone."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 8
        for team in ("red", "blue"):
            for number in range(4):
                await simulation.submit(service(f"run-{team}{number}", owner=team, shards=2, vcpus=2.0))
        await simulation.until(lambda: sum(len(w.on) for w in simulation.workers.values()) == 16)
        for team in ("red", "blue"):
            for number in range(4, 6):
                await simulation.submit(service(f"run-{team}{number}", owner=team, shards=2, vcpus=2.0))
        gone = {name for job_id in ("run-red0", "run-blue0") for _, name in simulation.running(job_id)}
        act = {
            "cut": simulation.cut_machine,
            "hang": simulation.hang,
            "deaf": simulation.deafen,
            "mute": simulation.mute,
        }[trouble]
        for name in gone:
            act(name)
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
            await simulation.cancel(job_id)  # so that all that is left has room in its team
        await simulation.wait_for_convergence()

    run_scenario(scenario, teams=[Team("red", cpus_max=16.0), Team("blue", cpus_max=16.0)])


def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends() -> None:
    """The roster's write gets no answer and comes late; the machines take their time to find the next leader."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        simulation.net.late = lambda src, dst, request: (
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


def test_ten_changes_of_leader_in_two_minutes_also_in_an_outage() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4, vcpus=1.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4)
        for turn in range(10):
            began = trio.current_time()
            await simulation.submit(job(f"run-{turn}", shards=2, vcpus=1.0, expectedRunS=4.0), 5.0)
            leader = simulation.leader() or LABELS[turn % 3]
            simulation.kill(leader)
            simulation.cut_machine(
                simulation.running("run-s")[0][1]
            )  # one machine does not find the next leader at once
            if turn in (3, 7):
                simulation.store.begin_outage()
            await trio.sleep(0.2 if turn % 2 else 4.0)
            simulation.start(leader)
            await trio.sleep(3)
            simulation.store.end_outage()
            simulation.net.heal()
            await trio.sleep_until(began + 12)
        await simulation.wait_for_convergence()
        assert len(simulation.led) > 5

    run_scenario(scenario)


def test_one_task_jobs_four_a_second_a_quarter_cancelled() -> None:
    """Every job is answered for, starts and ends; the leader changes in the middle."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 16
        await simulation.until_leader()
        cancelled = 0

        async def one(number: int) -> None:
            nonlocal cancelled
            job_id = f"run-{number}"
            await simulation.submit(job(job_id, shards=1, vcpus=0.5, memoryGb=1.0, expectedRunS=10.0))
            if number % 4 == 0:
                await trio.sleep(simulation.rng.uniform(0, 12))
                cancelled += (await simulation.cancel(job_id)).get("phase") == "cancelled"

        async with trio.open_nursery() as nursery:
            for number in range(360):
                nursery.start_soon(one, number)
                if number == 180:
                    leader = await simulation.until_leader()
                    simulation.kill(leader)
                    nursery.start_soon(_back, simulation, leader, 4.0)
                await trio.sleep(0.25)
        assert cancelled > 50 and simulation.started_cancelled <= cancelled // 10, simulation.started_cancelled
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_all_controllers_are_away_for_longer_than_a_lease() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4, vcpus=1.0))
        await simulation.submit(job("run-a", shards=6, vcpus=1.0, expectedRunS=20.0))
        await simulation.submit(service("run-c", shards=2, vcpus=1.0))
        await simulation.until(lambda: len(simulation.running("run-c")) == 2 and len(simulation.running("run-a")) == 6)
        await simulation.cancel("run-c")
        for label in LABELS:
            simulation.kill(label)
        await trio.sleep(2 * LEASE_S)
        assert not any(simulation.running(job_id) for job_id in ("run-s", "run-a", "run-c"))
        simulation.start("n1")
        assert (await simulation.poll("run-a", "n1"))[0] in (200, 503)
        await trio.sleep(3)
        assert (await simulation.poll("run-a", "n1"))[0] == 200 and await simulation.submit(job("run-n")) == 201
        await simulation.until_leader(15)
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_odd_requests_keep_their_answers() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        await simulation.submit(job("run-a", expectedRunS=1.0))
        await simulation.until_phase("run-a", "done")
        for label in LABELS:
            assert (await simulation.ask(label, "POST", "/v2/runs", simulation.specs["run-a"]))[0] == 200
            assert (await simulation.ask(label, "POST", "/v2/runs/run-a/cancel"))[1]["phase"] == "done"
            lacking = {k: v for k, v in job("run-x").items() if k != "shards"}
            assert (await simulation.ask(label, "POST", "/v2/runs", lacking))[0] == 400
            assert (await simulation.ask(label, "POST", "/v2/runs", job("run-y", vcpus=4000.0)))[0] == 422
            assert (await simulation.ask(label, "POST", "/v2/runs", job("run-z", owner="nobody")))[0] == 422
            for job_id in ("run-x", "run-y", "run-z", "run-never"):
                assert (await simulation.ask(label, "GET", f"/v2/runs/{job_id}"))[0] == 404
                assert (await simulation.ask(label, "POST", f"/v2/runs/{job_id}/cancel"))[0] == 404

    run_scenario(scenario)


def test_a_damaged_record_costs_nobody_else_anything_and_can_be_cancelled() -> None:
    """Found by reading: a damaged time in one record made every follower read all keys anew, again and again."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=2, vcpus=1.0))
        await simulation.submit(service("run-d", shards=2, vcpus=1.0))
        await simulation.until(lambda: len(simulation.running("run-d")) == 2)
        for broken in ({"t": "soon"}, {"s": None}, {"n": "x", "d": "9999"}):
            value, _, _ = simulation.store.kv["s/j/run-d"]
            simulation.store._multi({"if": [], "writes": [{"set": "s/j/run-d", "value": {**value, **broken}}]})
            simulation.kill(await simulation.until_leader())  # it would write its own record over it
            await simulation.until_leader(15)
            for label in LABELS:
                if label in simulation.net.down:
                    simulation.start(label)
            await trio.sleep(4)
            await simulation.until_leader()
            assert (await simulation.poll("run-d"))[0] == 200
        await simulation.submit(job("run-n", expectedRunS=1.0))
        await simulation.until_phase("run-n", "done")
        assert (await simulation.cancel("run-d"))["phase"] == "cancelled"
        await simulation.until(lambda: not simulation.running("run-d"), 20)
        await simulation.wait_for_convergence()

    run_scenario(scenario)
