"""Troubles added when the deployments grew: deaf machines, late copies, repeats, isolation, quick restarts, waiting."""

import msgspec
import trio

from sorrelsill.controller import Controller
from sorrelsill.http import Reply, Request
from sorrelsill.settings import Team
from sorrelsill.workers import ClusterState, Report
from tests.simulation import World, job, story

from .test_failures import service


def ledger_of(node: Controller) -> ClusterState:
    assert node.cluster is not None
    return node.cluster


def deafen(world: World, name: str) -> None:
    """Its reports arrive; answers and commands do not reach it."""
    for label in world.nodes:
        world.net.cut(label, name, both=False)


def hear_again(world: World, name: str) -> None:
    world.net._cuts = {c for c in world.net._cuts if c[1] != name}
    world.net.release()


def capture(world: World, path: str) -> list[tuple[str, str, Request]]:
    """What is sent to `path` from now on, for later copies or repeats of it."""
    sent: list[tuple[str, str, Request]] = []

    def reindex(src: str, dst: str, request: Request) -> bool:
        if request.path == path:
            sent.append((src, dst, request))
        return False

    world.net.hold_request = reindex
    return sent


async def copy(world: World, dst: str, sent: tuple[str, str, Request]) -> Reply:
    return await world.net.handlers[dst](sent[0], sent[2])


def test_a_deaf_machine_is_replaced_and_gets_no_work_until_it_hears() -> None:
    async def tell(world: World) -> None:
        world.cloud.capacity = 3
        await world.submit(service("run-s", shards=2))
        await world.until(lambda: len(world.running("run-s")) == 2)
        name = world.running("run-s")[0][1]
        deafen(world, name)
        await world.until(lambda: len([1 for _, h in world.running("run-s") if h != name]) == 2, 60)
        before = [s for s in world.starts if s[2] == name]
        await world.submit(job("run-a", shards=12, expectedRunS=3.0))
        await world.until_phase("run-a", "done")
        assert [s for s in world.starts if s[2] == name] == before, "work was bound to it that it can't hear of"
        hear_again(world, name)
        await trio.sleep(10)
        if name in world.workers:
            await world.submit(job("run-b", shards=12, expectedRunS=30.0))
            await world.until(lambda: any(h == name for _, h in world.running("run-b")), 60)

    story(tell)


def test_a_start_that_a_deaf_machine_never_hears_of_is_moved() -> None:
    async def tell(world: World) -> None:
        world.cloud.capacity = 2
        await world.submit(service("run-s", shards=1, region="a"))
        await world.submit(service("run-t", shards=1, region="b"))
        await world.until(lambda: len(world.running("run-s")) == 1 and len(world.running("run-t")) == 1)
        name = world.running("run-s")[0][1]
        deafen(world, name)
        await world.submit(service("run-n", shards=2, vcpus=1.0))
        await world.until(lambda: len([1 for _, h in world.running("run-n") if h != name]) == 2, 40)

    story(tell)


def test_a_deaf_machine_does_not_block_a_takeover_for_long() -> None:
    """Roster machines were only given up when silent; one that reports but never shows our term blocked all old
    jobs and counted toward every team's limit for ever."""

    async def tell(world: World) -> None:
        await world.submit(service("run-s", shards=4, scatter=True))
        await world.until(lambda: len(world.running("run-s")) == 4)
        name = world.running("run-s")[0][1]
        deafen(world, name)
        world.kill(await world.until_leader())
        began = trio.current_time()
        await world.until(lambda: len([1 for _, h in world.running("run-s") if h != name]) == 4, 60)
        assert trio.current_time() - began < 35
        leader = await world.until_leader()
        assert not ledger_of(world.nodes[leader]).unconfirmed

    story(tell, teams=[Team("red", cpus_max=10.0)])


def test_a_cancellation_reaches_a_deaf_machine_by_its_lease() -> None:
    async def tell(world: World) -> None:
        await world.submit(service("run-s", shards=4))
        await world.until(lambda: len(world.running("run-s")) == 4)
        deafen(world, world.running("run-s")[0][1])
        await world.cancel("run-s")
        await world.until(lambda: not world.running("run-s"), 25)

    story(tell)


def test_a_late_copy_of_a_report_does_not_bring_a_returned_machine_back() -> None:
    async def tell(world: World) -> None:
        sent = capture(world, "/hello")
        await world.submit(job("run-a"))
        await world.until_phase("run-a", "done")
        last = {src: (src, dst, request) for src, dst, request in sent}
        await world.until(lambda: not world.cloud.machines, 60)
        leader = await world.until_leader()
        for item in last.values():
            reply = await copy(world, leader, item)
            assert reply.status != 200
        assert not ledger_of(world.nodes[leader]).machines

    story(tell)


def test_a_late_copy_after_a_takeover_does_not_stop_the_task_that_runs() -> None:
    """The copy tells of a task that has long been moved; the one that runs must not give way to the phantom."""

    async def tell(world: World) -> None:
        sent = capture(world, "/hello")
        await world.submit(service("run-s", shards=1))
        await world.until(lambda: len(world.running("run-s")) == 1)
        first = world.running("run-s")[0][1]
        await trio.sleep(3)
        old_report = [s for s in sent if s[0] == first and b"running" in s[2].body][-1]
        world.cut_machine(first)
        await world.until(lambda: any(h != first for _, h in world.running("run-s")), 60)
        second = next(h for _, h in world.running("run-s") if h != first)
        world.kill(await world.until_leader())
        await world.until(lambda: world.leader() is not None, 15)
        before = len(world.starts)
        leader = await world.until_leader()
        await copy(world, leader, old_report)
        await trio.sleep(20)
        assert [h for _, h in world.running("run-s")] == [second] and len(world.starts) == before

    story(tell)


def test_a_late_copy_of_a_report_does_not_hide_a_silent_machine() -> None:
    async def tell(world: World) -> None:
        sent = capture(world, "/hello")
        await world.submit(service("run-s", shards=1))
        await world.until(lambda: len(world.running("run-s")) == 1)
        name = world.running("run-s")[0][1]
        await trio.sleep(3)
        last = [s for s in sent if s[0] == name][-1]
        world.cut_machine(name)
        leader = await world.until_leader()
        began = trio.current_time()
        while not any(h != name for _, h in world.running("run-s")):
            await copy(world, leader, last)
            await trio.sleep(0.5)
            assert trio.current_time() - began < 30

    story(tell)


def test_a_repeat_of_a_direct_start_does_not_run_a_stopped_task_again() -> None:
    async def tell(world: World) -> None:
        await world.submit(service("run-0", shards=2, vcpus=1.0))
        await world.until(lambda: len(world.running("run-0")) == 2)
        sent = capture(world, "/commands")
        await world.submit(service("run-s", shards=1, vcpus=1.0, sizeGb=0.0))
        await world.until(lambda: len(world.running("run-s")) == 1)
        await world.cancel("run-s")
        await world.until(lambda: not world.running("run-s"))
        await trio.sleep(20)
        repeats = [s for s in sent if b"start" in s[2].body and b"run-s/0" in s[2].body]
        assert repeats
        for item in repeats:
            await copy(world, item[1], item)
        await trio.sleep(3)
        assert len([s for s in world.starts if s[1] == "run-s/0"]) == 1

    story(tell)


def test_absence_from_a_direct_answer_does_not_prove_that_a_start_in_flight_is_gone() -> None:
    """The answer to a report carries a start; a direct answer made before it arrives lacks the task."""

    async def tell(world: World) -> None:
        await world.submit(service("run-0", shards=1, vcpus=1.0))
        await world.until(lambda: len(world.running("run-0")) == 1)
        leader = world.nodes[await world.until_leader()]
        name = world.running("run-0")[0][1]
        cluster, worker = ledger_of(leader), world.workers[name]
        machine = cluster.machines[name]
        now = trio.current_time()
        attempt = cluster.bind(cluster.jobs["run-0"], 0, machine, now, 1 << 60)
        cluster.commands(machine, True, now)
        attempt.stop = True
        cluster.on_answer(msgspec.convert(worker.report(), Report), now)
        assert attempt.key in machine.attempts
        cluster.on_report(msgspec.convert(worker.report(), Report), now)
        assert attempt.key not in machine.attempts

    story(tell)


def test_a_controller_with_only_its_workers_sends_them_away() -> None:
    async def tell(world: World) -> None:
        await world.submit(service("run-s", shards=4))
        await world.until(lambda: len(world.running("run-s")) == 4)
        before = len(world.starts)
        old = await world.until_leader()
        others = [n for n in world.nodes if n != old]
        for other in ("store", "cloud", *others, *(f"{n}:peer" for n in others)):
            world.net.cut(old, other)
        world.net.cut(f"{old}:peer", f"{old}:peer")
        for other in others:
            world.net.cut(other, f"{old}:peer")
        sent = capture(world, "/hello")
        await world.until(lambda: world.leader() not in (None, old), 15)
        await trio.sleep(1)
        for item in [s for s in sent if s[1] == old][-3:]:
            assert (await copy(world, old, item)).status in (421, 503)
        assert not world.nodes[old].degraded_mode.active()
        await trio.sleep(20)
        assert len(world.running("run-s")) == 4 and len(world.starts) == before

    story(tell)


def test_quick_restarts_in_the_middle_of_elections() -> None:
    async def tell(world: World) -> None:
        await world.submit(service("run-s", shards=4))
        await world.until(lambda: len(world.running("run-s")) == 4)
        before = len(world.starts)
        for turn in range(6):
            label = world.leader() or sorted(world.nodes)[turn % 3]
            world.kill(label)
            await trio.sleep(0.2)
            world.start(label)
            await trio.sleep(0.7 * (turn + 1))
        began = trio.current_time()
        await world.until_leader(10)
        assert trio.current_time() - began < 6
        await world.submit(job("run-n"))
        await world.until_phase("run-n", "done")
        assert len(world.running("run-s")) == 4 and len(world.starts) == before + 2

    story(tell)


def test_a_leader_back_at_once_does_not_leave_its_key_to_run_out() -> None:
    async def tell(world: World) -> None:
        old = await world.until_leader()
        world.kill(old)
        await trio.sleep(0.1)
        world.start(old)
        began = trio.current_time()
        await world.until_leader(10)
        assert trio.current_time() - began < world.nodes[old].timings.lease_s / 2

    story(tell)


def test_after_the_last_trouble_every_job_is_answered_soon() -> None:
    async def tell(world: World) -> None:
        for number in range(30):
            await world.submit(job(f"run-{number}", shards=2, expectedRunS=15.0))
        world.store.begin_outage()
        await trio.sleep(10)
        for label in list(world.nodes):
            world.kill(label)
        await trio.sleep(3)
        for label in list(world.nodes):
            world.start(label)
        await trio.sleep(10)
        world.store.end_outage()
        ended = trio.current_time()
        for number in range(30):
            status, answer = await world.poll(f"run-{number}")
            assert status == 200 and answer["phase"] in ("pending", "running", "done")
        assert trio.current_time() - ended < 75
        for number in range(30):
            await world.until_phase(f"run-{number}", "done")

    story(tell)


def test_large_low_work_begins_although_more_important_work_never_ends() -> None:
    """Small tasks would take every piece that comes free; a machine is kept for one aged job at a time."""

    async def tell(world: World) -> None:
        world.cloud.capacity = 2
        await world.submit(job("run-first", shards=16, vcpus=1.0, memoryGb=1.0, expectedRunS=8.0))
        await world.until(lambda: len(world.running("run-first")) > 0)

        async def stream() -> None:
            for number in range(60):
                await world.submit(job(f"run-x{number}", shards=16, vcpus=1.0, memoryGb=1.0, expectedRunS=8.0))
                await trio.sleep(3)

        world.nursery.start_soon(stream)
        await trio.sleep(10)
        began = trio.current_time()
        await world.submit(job("run-large", shards=4, vcpus=8.0, rank="best_effort", expectedRunS=5.0))
        await world.until(lambda: bool(world.running("run-large")), 240)
        assert trio.current_time() - began > 60, "the story must be one of overload"

    story(tell)


def test_a_task_that_can_not_save_leaves_a_machine_before_it_is_taken() -> None:
    """Found on a measured day: it died with its machine and was known lost only after a lease of silence."""

    async def tell(world: World) -> None:
        await world.submit(job("run-a", shards=1, reclaimable=True, expectedRunS=60.0))
        await world.until(lambda: len(world.running("run-a")) == 1)
        name = world.running("run-a")[0][1]
        await world.submit(service("run-k", shards=4))
        await world.until(lambda: len(world.running("run-k")) == 4)
        world.workers[name].evict = trio.current_time() + 8
        began = trio.current_time()
        await world.until(lambda: any(h != name for _, h in world.running("run-a")), 10)
        assert trio.current_time() - began < 8

    story(tell)


def test_progress_is_written_seldom_and_the_end_at_once() -> None:
    """Found on a measured day: each job written at each change used up the store's rate; submissions waited."""

    async def tell(world: World) -> None:
        for number in range(6):
            await world.submit(job(f"run-{number}", shards=24, vcpus=1.0, memoryGb=1.0, expectedRunS=1.0 + number / 3))
        for number in range(6):
            await world.until_phase(f"run-{number}", "done")
        ends = [e for e in world.store.log if e[1].startswith("s/f/")]
        progress = [e for e in world.store.log if e[1].startswith("s/j/") and e[3] and e[2]["n"]]
        assert len(ends) == 6 and len(progress) <= 24

    story(tell)
