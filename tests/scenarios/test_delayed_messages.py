"""Late copies and repeats of heartbeats and commands, and answers that are overtaken."""

import msgspec
import pytest
import trio

from sorrelsill.http import Request
from sorrelsill.settings import Team
from sorrelsill.workers import WorkerHeartbeat
from sorrelsill.workers.commands import response_commands
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.recorded_messages import record_messages, send_copy
from tests.simulation.users import LABELS


def test_a_late_copy_of_a_heartbeat_does_not_bring_a_returned_machine_back() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        sent = record_messages(simulation, "/hello")
        await simulation.submit(job("run-a"))
        await simulation.until_phase("run-a", "done")
        last = {src: (src, dst, request) for src, dst, request in sent}
        await simulation.until(lambda: not simulation.cloud.machines, 60)
        leader = await simulation.until_leader()
        for item in last.values():
            reply = await send_copy(simulation, leader, item)
            assert reply.status != 200
        assert not simulation.cluster_state(leader).machines

    run_scenario(scenario)


def test_a_late_copy_after_a_failover_does_not_stop_the_task_that_runs() -> None:
    """The copy tells of a task that has long been moved; the one that runs must not give way to the phantom."""

    async def scenario(simulation: SimulatedCluster) -> None:
        sent = record_messages(simulation, "/hello")
        await simulation.run_service("run-s", shards=1)
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
        await send_copy(simulation, leader, old_report)
        await trio.sleep(20)
        assert [h for _, h in simulation.running("run-s")] == [second] and len(simulation.starts) == before

    run_scenario(scenario)


def test_a_late_copy_of_a_heartbeat_does_not_hide_a_silent_machine() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        sent = record_messages(simulation, "/hello")
        await simulation.run_service("run-s", shards=1)
        name = simulation.running("run-s")[0][1]
        await trio.sleep(3)
        last = [s for s in sent if s[0] == name][-1]
        simulation.cut_machine(name)
        leader = await simulation.until_leader()
        began = trio.current_time()
        while not any(h != name for _, h in simulation.running("run-s")):
            await send_copy(simulation, leader, last)
            await trio.sleep(0.5)
            assert trio.current_time() - began < 30

    run_scenario(scenario)


def test_a_repeat_of_a_direct_start_does_not_run_a_stopped_task_again() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-0", shards=2, vcpus=1.0)
        sent = record_messages(simulation, "/commands")
        await simulation.run_service("run-s", shards=1, vcpus=1.0, sizeGb=0.0)
        await simulation.cancel("run-s")
        await simulation.until(lambda: not simulation.running("run-s"))
        await trio.sleep(20)
        repeats = [s for s in sent if b"start" in s[2].body and b"run-s/0" in s[2].body]
        assert repeats
        for item in repeats:
            await send_copy(simulation, item[1], item)
        await trio.sleep(3)
        assert len([s for s in simulation.starts if s[1] == "run-s/0"]) == 1

    run_scenario(scenario)


def test_absence_from_a_direct_answer_does_not_prove_that_a_start_in_flight_is_gone() -> None:
    """The answer to a heartbeat carries a start; a direct answer made before it arrives lacks the task."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-0", shards=1, vcpus=1.0)
        cluster = simulation.cluster_state(await simulation.until_leader())
        name = simulation.running("run-0")[0][1]
        worker = simulation.workers[name]
        machine = cluster.machines[name]
        now = trio.current_time()
        attempt = cluster.bind(cluster.jobs["run-0"], 0, machine, now, 1 << 60)
        response_commands(cluster, machine, True, now)
        attempt.stop_requested = True
        cluster.on_command_response(msgspec.convert(worker.heartbeat_message(), WorkerHeartbeat), now)
        assert attempt.key in machine.attempts
        cluster.on_heartbeat(msgspec.convert(worker.heartbeat_message(), WorkerHeartbeat), now)
        assert attempt.key not in machine.attempts

    run_scenario(scenario)


def test_an_old_heartbeat_names_a_task_that_runs_elsewhere_now() -> None:
    """It reaches the next leader first; the machine that truly has the task takes its time to find that leader."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=1, vcpus=6.0)
        first = simulation.running("run-s")[0][1]
        old: list[Request] = []

        def keep(src: str, dst: str, request: Request) -> None:
            if src == first and request.path == "/hello" and b"run-s/0" in request.body:
                old.append(request)

        simulation.net.copy_request = keep
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
def test_old_heartbeats_reach_every_controller_as_a_leader_begins(for_next: bool) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4, vcpus=1.0))
        await simulation.submit(job("run-a", shards=16, vcpus=1.0, expectedRunS=9.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4)
        simulation.late_heartbeat_copies(0.4, for_next)
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
