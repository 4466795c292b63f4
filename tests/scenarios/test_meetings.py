"""Meetings of two troubles, as the users tell them: looks at all controllers within milliseconds, lost answers,
transactions and reports that come late, hands that change, machines that are cut off, hang, hear or tell nothing. The
stand-ins check the protocol's rules on the way, and at the end that nothing is forgotten or left waiting."""

import msgspec
import pytest
import trio

from sorrelsill.http import Request
from sorrelsill.settings import Team
from tests.simulation import World, job, story
from tests.simulation.world import LABELS, LEASE_S

from .test_failures import service


async def reindex(world: World, job_id: str, rounds: int = 3) -> None:
    """Polls and repeats of the submission at all controllers, again within milliseconds."""
    async with trio.open_nursery() as nursery:
        for _ in range(rounds):
            for label in LABELS:
                nursery.start_soon(world.ask, label, "GET", f"/v2/runs/{job_id}")
                nursery.start_soon(world.ask, label, "POST", "/v2/runs", world.specs[job_id])
            await trio.sleep(0.003)


@pytest.mark.parametrize("trouble", ["none", "lost answers", "late writes", "leaders change"])
def test_close_looks_get_nothing_older_than_what_was_told(trouble: str) -> None:
    """Right after a job was accepted, ended or confirmed as cancelled."""

    async def tell(world: World) -> None:
        await world.until_leader()
        if trouble in ("lost answers", "late writes"):
            world.late_writes(0.3, at_once=trouble == "lost answers")
        for number in range(12):
            if trouble == "leaders change" and number % 4 == 3:
                leader = world.leader() or "n0"
                world.kill(leader)
                world.nursery.start_soon(_back, world, leader, 0.3)
            job_id = f"run-{number}"
            await world.submit(job(job_id, shards=1, vcpus=1.0, expectedRunS=1.0, sizeGb=0.0))
            await reindex(world, job_id)
            if number % 3 == 0:
                await world.cancel(job_id)
                await reindex(world, job_id)
            elif number % 3 == 1:
                await world.until(lambda u=job_id: f"{u}/0" in world.finished, 60)  # type: ignore[misc]
                await world.cancel(job_id)  # at the end of its last task
                await reindex(world, job_id)
            else:
                await world.until_phase(job_id, "done", 120)
                await reindex(world, job_id)
        await world.calm()
        for job_id in sorted(world.accepted):
            await reindex(world, job_id)

    story(tell)


async def _back(world: World, label: str, away_s: float) -> None:
    await trio.sleep(away_s)
    if label in world.net.down:
        world.start(label)


def test_transactions_carried_out_late_change_nothing_that_was_told() -> None:
    """After newer ones of the same controller, and after its end."""

    async def tell(world: World) -> None:
        await world.until_leader()
        world.late_writes(0.25)
        for number in range(10):
            job_id = f"run-{number}"
            await world.submit(job(job_id, shards=2, vcpus=1.0, expectedRunS=3.0))
            if number % 3 == 0:
                await world.cancel(job_id)
            if number % 4 == 2:
                leader = await world.until_leader()
                world.kill(leader)
                await trio.sleep(0.2)
                world.start(leader)
        await trio.sleep(20)
        await world.calm()
        for label in LABELS:  # what memories hide, the records have to say as well
            world.kill(label)
        for label in LABELS:
            world.start(label)
        await world.calm()
        for job_id in sorted(world.accepted):
            await reindex(world, job_id)

    story(tell)


def test_a_record_written_late_does_not_bring_a_finished_job_back() -> None:
    """The leader's own, carried out after its newer one that ended the job."""

    async def tell(world: World) -> None:
        await world.until_leader()
        held: list[str] = []

        def late(src: str, dst: str, request: Request) -> float | None:
            if request.path != "/multi" or held:
                return None
            writes = msgspec.msgpack.decode(request.body)["writes"]
            if any(w.get("set") == "s/j/run-a" and w["value"]["r"] for w in writes):
                held.append(src)
                return 12.0
            return None

        world.net.late = late
        await world.submit(job("run-a", shards=2, expectedRunS=3.0))
        await world.until_phase("run-a", "done")
        assert held
        await trio.sleep(15)
        for label in LABELS:
            world.kill(label)
        for label in LABELS:
            world.start(label)
        await trio.sleep(5)
        await reindex(world, "run-a")
        assert (await world.poll("run-a"))[1]["phase"] == "done"

    story(tell)


def test_an_old_report_names_a_task_that_runs_elsewhere_now() -> None:
    """It reaches the next leader first; the machine that truly has the task takes its time to find that leader."""

    async def tell(world: World) -> None:
        await world.submit(service("run-s", shards=1, vcpus=6.0))
        await world.until(lambda: len(world.running("run-s")) == 1)
        first = world.running("run-s")[0][1]
        old: list[Request] = []

        def keep(src: str, dst: str, request: Request) -> None:
            if src == first and request.path == "/hello" and b"run-s/0" in request.body:
                old.append(request)

        world.net.copy = keep
        await trio.sleep(3)
        world.cut_machine(first)
        await world.until(lambda: [h for _, h in world.running("run-s")] not in ([], [first]), 60)
        second = next(h for _, h in world.running("run-s") if h != first)
        await trio.sleep(3)
        before = len(world.starts)
        leader = await world.until_leader()
        world.kill(leader)
        world.net.refused = {(second, label) for label in LABELS}
        world.cut_machine(second)
        await world.until_leader(15)
        for label in LABELS:
            await world.net.deliver_copy(first, label, old[-1])
        world.net._cuts = {c for c in world.net._cuts if second in c}
        await trio.sleep(5)
        world.net.refused.clear()
        world.net.heal()
        world.start(leader)
        await world.calm()
        assert len(world.starts) == before, "it ran on where it was"

    story(tell)


@pytest.mark.parametrize("for_next", [True, False])
def test_old_reports_reach_every_controller_as_a_leader_begins(for_next: bool) -> None:
    async def tell(world: World) -> None:
        await world.submit(service("run-s", shards=4, vcpus=1.0))
        await world.submit(job("run-a", shards=16, vcpus=1.0, expectedRunS=9.0))
        await world.until(lambda: len(world.running("run-s")) == 4)
        world.late_reports(0.4, for_next)
        for turn in range(4):
            await trio.sleep(6)
            leader = await world.until_leader()
            world.kill(leader)
            if turn == 1 and world.running("run-a"):
                world.cut_machine(world.running("run-a")[0][1])
            if turn == 2:
                await world.submit(service("run-c", shards=2, vcpus=1.0))
                await world.cancel("run-c")
            await trio.sleep(2)
            world.start(leader)
        await world.calm()

    story(tell, teams=[Team("red", cpus_max=24.0), Team("blue")])


def test_jobs_are_cancelled_in_the_seconds_in_which_work_changes_hands() -> None:
    async def tell(world: World) -> None:
        names = [f"run-{n}" for n in range(9)]
        for job_id in names:
            await world.submit(service(job_id, shards=2, vcpus=1.0))
        await world.until(lambda: all(len(world.running(job_id)) == 2 for job_id in names))
        for turn in range(3):
            leader = await world.until_leader()
            await world.cancel(names[3 * turn])
            world.kill(leader)
            await world.cancel(names[3 * turn + 1])
            world.start(leader)
            await world.until_leader()
            await world.cancel(names[3 * turn + 2])
        assert world.started_cancelled == 0
        await world.until(lambda: not any(world.running(job_id) for job_id in names), 15)

    story(tell)


@pytest.mark.parametrize("trouble", ["cut", "hang", "deaf", "mute"])
def test_full_teams_whose_cancelled_jobs_stay_on_machines_that_cannot_be_asked(trouble: str) -> None:
    """The leader changes as well. What may still run counts toward the limit until it is proved gone."""

    async def tell(world: World) -> None:
        world.cloud.capacity = 8
        for team in ("red", "blue"):
            for number in range(4):
                await world.submit(service(f"run-{team}{number}", owner=team, shards=2, vcpus=2.0))
        await world.until(lambda: sum(len(w.on) for w in world.workers.values()) == 16)
        for team in ("red", "blue"):
            for number in range(4, 6):
                await world.submit(service(f"run-{team}{number}", owner=team, shards=2, vcpus=2.0))
        gone = {name for job_id in ("run-red0", "run-blue0") for _, name in world.running(job_id)}
        act = {"cut": world.cut_machine, "hang": world.hang, "deaf": world.deafen, "mute": world.mute}[trouble]
        for name in gone:
            act(name)
        leader = await world.until_leader()
        await world.cancel("run-red0")
        world.kill(leader)
        await world.cancel("run-blue0")
        await trio.sleep(1)
        await world.cancel("run-red1")
        await world.until_leader(15)
        await trio.sleep(8)
        world.start(leader)
        await trio.sleep(3 * LEASE_S)
        for job_id in ("run-blue1", "run-red2", "run-blue2"):
            await world.cancel(job_id)  # so that all that is left has room in its team
        await world.calm()

    story(tell, teams=[Team("red", cpus_max=16.0), Team("blue", cpus_max=16.0)])


def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends() -> None:
    """The roster's write gets no answer and comes late; the machines take their time to find the next leader."""

    async def tell(world: World) -> None:
        await world.until_leader()
        world.net.late = lambda src, dst, request: (
            12.0 if request.path == "/multi" and b"s/m/" in request.body else None
        )
        await world.submit(job("run-a", shards=8, vcpus=2.0, expectedRunS=25.0))
        for _ in range(3):
            await world.until(lambda: bool(world.workers), 60)
            await trio.sleep(2)
            leader = await world.until_leader(20)
            world.kill(leader)
            world.net.refused = {(name, label) for name in list(world.workers)[::2] for label in LABELS}
            for name in list(world.workers)[::2]:
                world.cut_machine(name)
            await trio.sleep(0.3)
            world.start(leader)
            await trio.sleep(7)
            world.net.refused.clear()
            world.net.heal()
        await world.calm()

    story(tell)


def test_ten_changes_of_leader_in_two_minutes_also_in_an_outage() -> None:
    async def tell(world: World) -> None:
        await world.submit(service("run-s", shards=4, vcpus=1.0))
        await world.until(lambda: len(world.running("run-s")) == 4)
        for turn in range(10):
            began = trio.current_time()
            await world.submit(job(f"run-{turn}", shards=2, vcpus=1.0, expectedRunS=4.0), 5.0)
            leader = world.leader() or LABELS[turn % 3]
            world.kill(leader)
            world.cut_machine(world.running("run-s")[0][1])  # one machine does not find the next leader at once
            if turn in (3, 7):
                world.store.begin_outage()
            await trio.sleep(0.2 if turn % 2 else 4.0)
            world.start(leader)
            await trio.sleep(3)
            world.store.end_outage()
            world.net.heal()
            await trio.sleep_until(began + 12)
        await world.calm()
        assert len(world.led) > 5

    story(tell)


def test_one_task_jobs_four_a_second_a_quarter_cancelled() -> None:
    """Every job is answered for, starts and ends; the leader changes in the middle."""

    async def tell(world: World) -> None:
        world.cloud.capacity = 16
        await world.until_leader()
        cancelled = 0

        async def one(number: int) -> None:
            nonlocal cancelled
            job_id = f"run-{number}"
            await world.submit(job(job_id, shards=1, vcpus=0.5, memoryGb=1.0, expectedRunS=10.0))
            if number % 4 == 0:
                await trio.sleep(world.rng.uniform(0, 12))
                cancelled += (await world.cancel(job_id)).get("phase") == "cancelled"

        async with trio.open_nursery() as nursery:
            for number in range(360):
                nursery.start_soon(one, number)
                if number == 180:
                    leader = await world.until_leader()
                    world.kill(leader)
                    nursery.start_soon(_back, world, leader, 4.0)
                await trio.sleep(0.25)
        assert cancelled > 50 and world.started_cancelled <= cancelled // 10, world.started_cancelled
        await world.calm()

    story(tell)


def test_all_controllers_are_away_for_longer_than_a_lease() -> None:
    async def tell(world: World) -> None:
        await world.submit(service("run-s", shards=4, vcpus=1.0))
        await world.submit(job("run-a", shards=6, vcpus=1.0, expectedRunS=20.0))
        await world.submit(service("run-c", shards=2, vcpus=1.0))
        await world.until(lambda: len(world.running("run-c")) == 2 and len(world.running("run-a")) == 6)
        await world.cancel("run-c")
        for label in LABELS:
            world.kill(label)
        await trio.sleep(2 * LEASE_S)
        assert not any(world.running(job_id) for job_id in ("run-s", "run-a", "run-c"))
        world.start("n1")
        assert (await world.poll("run-a", "n1"))[0] in (200, 503)
        await trio.sleep(3)
        assert (await world.poll("run-a", "n1"))[0] == 200 and await world.submit(job("run-n")) == 201
        await world.until_leader(15)
        await world.calm()

    story(tell)


def test_odd_requests_keep_their_answers() -> None:
    async def tell(world: World) -> None:
        await world.until_leader()
        await world.submit(job("run-a", expectedRunS=1.0))
        await world.until_phase("run-a", "done")
        for label in LABELS:
            assert (await world.ask(label, "POST", "/v2/runs", world.specs["run-a"]))[0] == 200
            assert (await world.ask(label, "POST", "/v2/runs/run-a/cancel"))[1]["phase"] == "done"
            lacking = {k: v for k, v in job("run-x").items() if k != "shards"}
            assert (await world.ask(label, "POST", "/v2/runs", lacking))[0] == 400
            assert (await world.ask(label, "POST", "/v2/runs", job("run-y", vcpus=4000.0)))[0] == 422
            assert (await world.ask(label, "POST", "/v2/runs", job("run-z", owner="nobody")))[0] == 422
            for job_id in ("run-x", "run-y", "run-z", "run-never"):
                assert (await world.ask(label, "GET", f"/v2/runs/{job_id}"))[0] == 404
                assert (await world.ask(label, "POST", f"/v2/runs/{job_id}/cancel"))[0] == 404

    story(tell)


def test_a_damaged_record_costs_nobody_else_anything_and_can_be_cancelled() -> None:
    """Found by reading: a damaged time in one record made every follower read all keys anew, again and again."""

    async def tell(world: World) -> None:
        await world.submit(service("run-s", shards=2, vcpus=1.0))
        await world.submit(service("run-d", shards=2, vcpus=1.0))
        await world.until(lambda: len(world.running("run-d")) == 2)
        for broken in ({"t": "soon"}, {"s": None}, {"n": "x", "d": "9999"}):
            value, _, _ = world.store.kv["s/j/run-d"]
            world.store._multi({"if": [], "writes": [{"set": "s/j/run-d", "value": {**value, **broken}}]})
            world.kill(await world.until_leader())  # it would write its own record over it
            await world.until_leader(15)
            for label in LABELS:
                if label in world.net.down:
                    world.start(label)
            await trio.sleep(4)
            await world.until_leader()
            assert (await world.poll("run-d"))[0] == 200
        await world.submit(job("run-n", expectedRunS=1.0))
        await world.until_phase("run-n", "done")
        assert (await world.cancel("run-d"))["phase"] == "cancelled"
        await world.until(lambda: not world.running("run-d"), 20)
        await world.calm()

    story(tell)
