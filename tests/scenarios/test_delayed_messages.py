"""Delayed and duplicate heartbeats and commands, and responses overtaken by newer ones."""

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


def test_delayed_heartbeat_does_not_restore_returned_machine() -> None:
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


def test_delayed_heartbeat_after_failover_does_not_stop_running_task() -> None:
    """The delayed heartbeat reports an attempt that was replaced long ago; the running attempt must not be stopped."""

    async def scenario(simulation: SimulatedCluster) -> None:
        sent = record_messages(simulation, "/hello")
        await simulation.run_service("run-s", shards=1)
        first = simulation.running("run-s")[0][1]
        await trio.sleep(3)
        old_heartbeat = [s for s in sent if s[0] == first and b"running" in s[2].body][-1]
        simulation.cut_machine(first)
        await simulation.until(lambda: any(machine != first for _, machine in simulation.running("run-s")), 60)
        second = next(machine for _, machine in simulation.running("run-s") if machine != first)
        simulation.kill(await simulation.until_leader())
        await simulation.until(lambda: simulation.leader() is not None, 15)
        before = len(simulation.starts)
        leader = await simulation.until_leader()
        await send_copy(simulation, leader, old_heartbeat)
        await trio.sleep(20)
        assert [machine for _, machine in simulation.running("run-s")] == [second] and len(simulation.starts) == before

    run_scenario(scenario)


def test_duplicate_heartbeats_do_not_hide_silent_machine() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        sent = record_messages(simulation, "/hello")
        await simulation.run_service("run-s", shards=1)
        name = simulation.running("run-s")[0][1]
        await trio.sleep(3)
        last = [s for s in sent if s[0] == name][-1]
        simulation.cut_machine(name)
        leader = await simulation.until_leader()
        began = trio.current_time()
        while not any(machine != name for _, machine in simulation.running("run-s")):
            await send_copy(simulation, leader, last)
            await trio.sleep(0.5)
            assert trio.current_time() - began < 30

    run_scenario(scenario)


def test_direct_response_without_task_does_not_prove_that_start_in_flight_is_lost() -> None:
    """A heartbeat response carries the start command; a direct response sent before it arrives lacks the task."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-0", shards=1, vcpus=1.0)
        cluster = simulation.cluster_state(await simulation.until_leader())
        name = simulation.running("run-0")[0][1]
        worker = simulation.workers[name]
        machine = cluster.machines[name]
        now = trio.current_time()
        attempt = cluster.bind(cluster.jobs["run-0"], 0, machine, now, 1 << 60)
        response_commands(cluster, machine, True)
        attempt.stop_requested = True
        cluster.on_command_response(msgspec.convert(worker.heartbeat_message(), WorkerHeartbeat), now)
        assert attempt.key in machine.attempts
        cluster.on_heartbeat(msgspec.convert(worker.heartbeat_message(), WorkerHeartbeat), now)
        assert attempt.key not in machine.attempts

    run_scenario(scenario)


def test_stale_heartbeat_after_failover_does_not_restart_moved_task() -> None:
    """The stale heartbeat reaches the next leader before the machine that runs the task finds that leader."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=1, vcpus=6.0)
        first = simulation.running("run-s")[0][1]
        old_heartbeats: list[Request] = []

        def record_heartbeat(src: str, dst: str, request: Request) -> None:
            if src == first and request.path == "/hello" and b"run-s/0" in request.body:
                old_heartbeats.append(request)

        simulation.net.copy_request = record_heartbeat
        await trio.sleep(3)
        simulation.cut_machine(first)
        await simulation.until(lambda: [machine for _, machine in simulation.running("run-s")] not in ([], [first]), 60)
        second = next(machine for _, machine in simulation.running("run-s") if machine != first)
        await trio.sleep(3)
        before = len(simulation.starts)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        simulation.net.refused = {(second, label) for label in LABELS}
        simulation.cut_machine(second)
        await simulation.until_leader(15)
        for label in LABELS:
            await simulation.net.deliver_copy(first, label, old_heartbeats[-1])
        simulation.net._cuts = {c for c in simulation.net._cuts if second in c}
        await trio.sleep(5)
        simulation.net.refused.clear()
        simulation.net.heal()
        simulation.start(leader)
        await simulation.wait_for_convergence()
        assert len(simulation.starts) == before, "the task kept running where it was"

    run_scenario(scenario)


@pytest.mark.parametrize("for_next", [True, False])
def test_stale_heartbeats_do_not_disturb_new_leaders(for_next: bool) -> None:
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
