"""Troubles added when the deployments grew: deaf machines, late copies, repeats, isolation, quick restarts, waiting."""

import msgspec
import trio

from sorrelsill.controller import Controller
from sorrelsill.http import Reply, Request
from sorrelsill.settings import Team
from sorrelsill.workers import ClusterState, WorkerHeartbeat
from sorrelsill.workers.commands import commands
from tests.simulation import SimulatedCluster, job, run_scenario, service


def cluster_of(node: Controller) -> ClusterState:
    assert node.cluster is not None
    return node.cluster


def deafen(simulation: SimulatedCluster, name: str) -> None:
    """Its reports arrive; answers and commands do not reach it."""
    for label in simulation.nodes:
        simulation.net.cut(label, name, both=False)


def hear_again(simulation: SimulatedCluster, name: str) -> None:
    simulation.net._cuts = {c for c in simulation.net._cuts if c[1] != name}
    simulation.net.release()


def capture(simulation: SimulatedCluster, path: str) -> list[tuple[str, str, Request]]:
    """What is sent to `path` from now on, for later copies or repeats of it."""
    sent: list[tuple[str, str, Request]] = []

    def hold(src: str, dst: str, request: Request) -> bool:
        if request.path == path:
            sent.append((src, dst, request))
        return False

    simulation.net.hold_request = hold
    return sent


async def copy(simulation: SimulatedCluster, dst: str, sent: tuple[str, str, Request]) -> Reply:
    return await simulation.net.handlers[dst](sent[0], sent[2])


def test_a_deaf_machine_is_replaced_and_gets_no_work_until_it_hears() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 3
        await simulation.submit(service("run-s", shards=2))
        await simulation.until(lambda: len(simulation.running("run-s")) == 2)
        name = simulation.running("run-s")[0][1]
        deafen(simulation, name)
        await simulation.until(lambda: len([1 for _, h in simulation.running("run-s") if h != name]) == 2, 60)
        before = [s for s in simulation.starts if s[2] == name]
        await simulation.submit(job("run-a", shards=12, expectedRunS=3.0))
        await simulation.until_phase("run-a", "done")
        assert [s for s in simulation.starts if s[2] == name] == before, "work was bound to it that it can't hear of"
        hear_again(simulation, name)
        await trio.sleep(10)
        if name in simulation.workers:
            await simulation.submit(job("run-b", shards=12, expectedRunS=30.0))
            await simulation.until(lambda: any(h == name for _, h in simulation.running("run-b")), 60)

    run_scenario(scenario)


def test_a_start_that_a_deaf_machine_never_hears_of_is_moved() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.submit(service("run-s", shards=1, region="a"))
        await simulation.submit(service("run-t", shards=1, region="b"))
        await simulation.until(lambda: len(simulation.running("run-s")) == 1 and len(simulation.running("run-t")) == 1)
        name = simulation.running("run-s")[0][1]
        deafen(simulation, name)
        await simulation.submit(service("run-n", shards=2, vcpus=1.0))
        await simulation.until(lambda: len([1 for _, h in simulation.running("run-n") if h != name]) == 2, 40)

    run_scenario(scenario)


def test_a_deaf_machine_does_not_block_a_takeover_for_long() -> None:
    """Roster machines were only given up when silent; one that reports but never shows our term blocked all old
    jobs and counted toward every team's limit for ever."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4, scatter=True))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4)
        name = simulation.running("run-s")[0][1]
        deafen(simulation, name)
        simulation.kill(await simulation.until_leader())
        began = trio.current_time()
        await simulation.until(lambda: len([1 for _, h in simulation.running("run-s") if h != name]) == 4, 60)
        assert trio.current_time() - began < 35
        leader = await simulation.until_leader()
        assert not cluster_of(simulation.nodes[leader]).failover.unconfirmed

    run_scenario(scenario, teams=[Team("red", cpus_max=10.0)])


def test_a_cancellation_reaches_a_deaf_machine_by_its_lease() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4)
        deafen(simulation, simulation.running("run-s")[0][1])
        await simulation.cancel("run-s")
        await simulation.until(lambda: not simulation.running("run-s"), 25)

    run_scenario(scenario)


def test_a_late_copy_of_a_report_does_not_bring_a_returned_machine_back() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        sent = capture(simulation, "/hello")
        await simulation.submit(job("run-a"))
        await simulation.until_phase("run-a", "done")
        last = {src: (src, dst, request) for src, dst, request in sent}
        await simulation.until(lambda: not simulation.cloud.machines, 60)
        leader = await simulation.until_leader()
        for item in last.values():
            reply = await copy(simulation, leader, item)
            assert reply.status != 200
        assert not cluster_of(simulation.nodes[leader]).machines

    run_scenario(scenario)


def test_a_late_copy_after_a_takeover_does_not_stop_the_task_that_runs() -> None:
    """The copy tells of a task that has long been moved; the one that runs must not give way to the phantom."""

    async def scenario(simulation: SimulatedCluster) -> None:
        sent = capture(simulation, "/hello")
        await simulation.submit(service("run-s", shards=1))
        await simulation.until(lambda: len(simulation.running("run-s")) == 1)
        first = simulation.running("run-s")[0][1]
        await trio.sleep(3)
        old_report = [s for s in sent if s[0] == first and b"running" in s[2].body][-1]
        simulation.cut_machine(first)
        await simulation.until(lambda: any(h != first for _, h in simulation.running("run-s")), 60)
        second = next(h for _, h in simulation.running("run-s") if h != first)
        simulation.kill(await simulation.until_leader())
        await simulation.until(lambda: simulation.leader() is not None, 15)
        before = len(simulation.starts)
        leader = await simulation.until_leader()
        await copy(simulation, leader, old_report)
        await trio.sleep(20)
        assert [h for _, h in simulation.running("run-s")] == [second] and len(simulation.starts) == before

    run_scenario(scenario)


def test_a_late_copy_of_a_report_does_not_hide_a_silent_machine() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        sent = capture(simulation, "/hello")
        await simulation.submit(service("run-s", shards=1))
        await simulation.until(lambda: len(simulation.running("run-s")) == 1)
        name = simulation.running("run-s")[0][1]
        await trio.sleep(3)
        last = [s for s in sent if s[0] == name][-1]
        simulation.cut_machine(name)
        leader = await simulation.until_leader()
        began = trio.current_time()
        while not any(h != name for _, h in simulation.running("run-s")):
            await copy(simulation, leader, last)
            await trio.sleep(0.5)
            assert trio.current_time() - began < 30

    run_scenario(scenario)


def test_a_repeat_of_a_direct_start_does_not_run_a_stopped_task_again() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-0", shards=2, vcpus=1.0))
        await simulation.until(lambda: len(simulation.running("run-0")) == 2)
        sent = capture(simulation, "/commands")
        await simulation.submit(service("run-s", shards=1, vcpus=1.0, sizeGb=0.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 1)
        await simulation.cancel("run-s")
        await simulation.until(lambda: not simulation.running("run-s"))
        await trio.sleep(20)
        repeats = [s for s in sent if b"start" in s[2].body and b"run-s/0" in s[2].body]
        assert repeats
        for item in repeats:
            await copy(simulation, item[1], item)
        await trio.sleep(3)
        assert len([s for s in simulation.starts if s[1] == "run-s/0"]) == 1

    run_scenario(scenario)


def test_absence_from_a_direct_answer_does_not_prove_that_a_start_in_flight_is_gone() -> None:
    """The answer to a report carries a start; a direct answer made before it arrives lacks the task."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-0", shards=1, vcpus=1.0))
        await simulation.until(lambda: len(simulation.running("run-0")) == 1)
        leader = simulation.nodes[await simulation.until_leader()]
        name = simulation.running("run-0")[0][1]
        cluster, worker = cluster_of(leader), simulation.workers[name]
        machine = cluster.machines[name]
        now = trio.current_time()
        attempt = cluster.bind(cluster.jobs["run-0"], 0, machine, now, 1 << 60)
        commands(cluster, machine, True, now)
        attempt.stop_requested = True
        cluster.on_command_response(msgspec.convert(worker.heartbeat_message(), WorkerHeartbeat), now)
        assert attempt.key in machine.attempts
        cluster.on_heartbeat(msgspec.convert(worker.heartbeat_message(), WorkerHeartbeat), now)
        assert attempt.key not in machine.attempts

    run_scenario(scenario)


def test_a_controller_with_only_its_workers_sends_them_away() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4)
        before = len(simulation.starts)
        old = await simulation.until_leader()
        others = [n for n in simulation.nodes if n != old]
        for other in ("store", "cloud", *others, *(f"{n}:peer" for n in others)):
            simulation.net.cut(old, other)
        simulation.net.cut(f"{old}:peer", f"{old}:peer")
        for other in others:
            simulation.net.cut(other, f"{old}:peer")
        sent = capture(simulation, "/hello")
        await simulation.until(lambda: simulation.leader() not in (None, old), 15)
        await trio.sleep(1)
        for item in [s for s in sent if s[1] == old][-3:]:
            assert (await copy(simulation, old, item)).status in (421, 503)
        assert not simulation.nodes[old].degraded_mode.active()
        await trio.sleep(20)
        assert len(simulation.running("run-s")) == 4 and len(simulation.starts) == before

    run_scenario(scenario)


def test_quick_restarts_in_the_middle_of_elections() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4)
        before = len(simulation.starts)
        for turn in range(6):
            label = simulation.leader() or sorted(simulation.nodes)[turn % 3]
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


def test_a_leader_back_at_once_does_not_leave_its_key_to_run_out() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old = await simulation.until_leader()
        simulation.kill(old)
        await trio.sleep(0.1)
        simulation.start(old)
        began = trio.current_time()
        await simulation.until_leader(10)
        assert trio.current_time() - began < simulation.nodes[old].timings.lease_s / 2

    run_scenario(scenario)


def test_after_the_last_trouble_every_job_is_answered_soon() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        for number in range(30):
            await simulation.submit(job(f"run-{number}", shards=2, expectedRunS=15.0))
        simulation.store.begin_outage()
        await trio.sleep(10)
        for label in list(simulation.nodes):
            simulation.kill(label)
        await trio.sleep(3)
        for label in list(simulation.nodes):
            simulation.start(label)
        await trio.sleep(10)
        simulation.store.end_outage()
        ended = trio.current_time()
        for number in range(30):
            status, answer = await simulation.poll(f"run-{number}")
            assert status == 200 and answer["phase"] in ("pending", "running", "done")
        assert trio.current_time() - ended < 75
        for number in range(30):
            await simulation.until_phase(f"run-{number}", "done")

    run_scenario(scenario)


def test_large_low_work_begins_although_more_important_work_never_ends() -> None:
    """Small tasks would take every piece that comes free; a machine is kept for one aged job at a time."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.submit(job("run-first", shards=16, vcpus=1.0, memoryGb=1.0, expectedRunS=8.0))
        await simulation.until(lambda: len(simulation.running("run-first")) > 0)

        async def stream() -> None:
            for number in range(60):
                await simulation.submit(job(f"run-x{number}", shards=16, vcpus=1.0, memoryGb=1.0, expectedRunS=8.0))
                await trio.sleep(3)

        simulation.nursery.start_soon(stream)
        await trio.sleep(10)
        began = trio.current_time()
        await simulation.submit(job("run-large", shards=4, vcpus=8.0, rank="best_effort", expectedRunS=5.0))
        await simulation.until(lambda: bool(simulation.running("run-large")), 240)
        assert trio.current_time() - began > 60, "the story must be one of overload"

    run_scenario(scenario)


def test_a_task_that_can_not_save_leaves_a_machine_before_it_is_taken() -> None:
    """Found on a measured day: it died with its machine and was known lost only after a lease of silence."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=1, reclaimable=True, expectedRunS=60.0))
        await simulation.until(lambda: len(simulation.running("run-a")) == 1)
        name = simulation.running("run-a")[0][1]
        await simulation.submit(service("run-k", shards=4))
        await simulation.until(lambda: len(simulation.running("run-k")) == 4)
        simulation.workers[name].evict = trio.current_time() + 8
        began = trio.current_time()
        await simulation.until(lambda: any(h != name for _, h in simulation.running("run-a")), 10)
        assert trio.current_time() - began < 8

    run_scenario(scenario)


def test_progress_is_written_seldom_and_the_end_at_once() -> None:
    """Found on a measured day: each job written at each change used up the store's rate; submissions waited."""

    async def scenario(simulation: SimulatedCluster) -> None:
        for number in range(6):
            await simulation.submit(
                job(f"run-{number}", shards=24, vcpus=1.0, memoryGb=1.0, expectedRunS=1.0 + number / 3)
            )
        for number in range(6):
            await simulation.until_phase(f"run-{number}", "done")
        ends = [e for e in simulation.store.log if e[1].startswith("s/f/")]
        progress = [e for e in simulation.store.log if e[1].startswith("s/j/") and e[3] and e[2]["n"]]
        assert len(ends) == 6 and len(progress) <= 24

    run_scenario(scenario)
