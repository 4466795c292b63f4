"""Team limits across leader changes: tasks of an earlier leader count until they are proved to have ended."""

from __future__ import annotations

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.http import Request
from sorrelsill.model import TaskSet
from sorrelsill.settings import Team
from tests.simulation import LeaderInMemory, SimulatedCluster, array_job, job, run_scenario
from tests.simulation.leader_in_memory import TERM
from tests.simulation.users import LABELS

LIMIT = 20.0  # CPUs; limit of team red in tests with LeaderInMemory
TEAMS = [Team("red", cpus_max=LIMIT), Team("blue")]
CLUSTER_TEAMS = [Team("red", cpus_max=16.0), Team("blue")]


def run_by_earlier_leader(leader: LeaderInMemory, machine: str, job_id: str, tasks: int) -> None:
    """Adds tasks that were started in an earlier term and still run."""
    for index in range(tasks):
        leader.tasks[machine][f"{job_id}/{index}", ((TERM - 1) << constants.ATTEMPT_COUNTER_BITS) + index] = "running"


def send_heartbeats_without_answers(leader: LeaderInMemory) -> None:
    """Each machine sends two heartbeats; the second shows that answers reach it. The stop commands in the answers
    have not arrived yet."""
    for name in leader.names * 2:
        leader.cluster.on_heartbeat(leader.next_heartbeat(name), leader.now)
    leader.write_registry()


def test_tasks_of_an_ended_job_count_while_their_machine_gets_other_tasks() -> None:
    """Guards against a fault found in an incident: what such tasks use was estimated from the free capacity of their
    machine, which shrank as tasks of other teams were placed there."""
    leader = LeaderInMemory(2, registered=True, teams=TEAMS)
    in_zone_a, in_zone_b = leader.names
    run_by_earlier_leader(leader, in_zone_a, "run-over", 10)
    send_heartbeats_without_answers(leader)
    leader.add(array_job("run-blue", shards=16, owner="blue", region="a"))
    leader.add(array_job("run-red", shards=30, owner="red", region="b"))
    leader.run_cycle()
    leader.run_cycle()
    assert 10 + len(leader.cluster.jobs["run-red"].bound) <= LIMIT


def leader_after_takeover(machines: int = 2) -> LeaderInMemory:
    """Returns a leader that knows of a recently ended job with ten tasks."""
    leader = LeaderInMemory(machines, registered=True, teams=TEAMS)
    leader.cluster.add_ended_job(array_job("run-over", shards=10, owner="red"), TaskSet(10))
    leader.cluster.failover.set_all_ended_known(True)
    return leader


def test_tasks_of_a_known_ended_job_count_with_their_own_size() -> None:
    """They count with the CPUs of their tasks alone: the team can use the rest of its limit, also on their machine."""
    leader = leader_after_takeover()
    in_zone_a, _ = leader.names
    run_by_earlier_leader(leader, in_zone_a, "run-over", 10)
    assert leader.cluster.unobserved("red") == (10.0, 0.0), "they may still run on any machine"
    send_heartbeats_without_answers(leader)
    assert leader.cluster.team_use("red").total == (10.0, 0.0)
    leader.add(array_job("run-blue", shards=16, owner="blue", region="a"))
    leader.add(array_job("run-red", shards=30, owner="red", region="b"))
    leader.run_cycle()
    assert len(leader.cluster.jobs["run-blue"].bound) == 6, "beside the ten tasks that have not ended yet"
    assert len(leader.cluster.jobs["run-red"].bound) == 10
    leader.all_send_heartbeats()
    leader.all_send_heartbeats()
    leader.run_cycle()
    assert len(leader.cluster.jobs["run-blue"].bound) == 16
    assert len(leader.cluster.jobs["run-red"].bound) == 16, "as many as the machine holds"


def test_machine_with_tasks_of_unknown_size_gets_no_tasks_until_they_end() -> None:
    leader = LeaderInMemory(2, registered=True, teams=TEAMS)
    in_zone_a, in_zone_b = leader.names
    run_by_earlier_leader(leader, in_zone_a, "run-over", 10)
    send_heartbeats_without_answers(leader)
    assert leader.cluster.index.usable.names() == {in_zone_b}
    assert leader.cluster.team_use("red").total == (16.0, 0.0), "all CPUs of the machine"
    leader.all_send_heartbeats()
    leader.all_send_heartbeats()
    assert leader.cluster.index.usable.names() == {in_zone_a, in_zone_b}
    assert leader.cluster.team_use("red").total == (0.0, 0.0)


def test_tasks_proved_ended_do_not_count_on_silent_machines() -> None:
    """Guards against counting a task on a silent machine after it was found to have ended on another one: while any
    machine was silent, teams at their limit could start nothing."""
    leader = leader_after_takeover(3)
    silent_machine = leader.names[2]
    run_by_earlier_leader(leader, leader.names[0], "run-over", 8)
    for _ in range(3):
        leader.all_send_heartbeats(leader.names[:2])
    assert silent_machine in leader.cluster.failover.unconfirmed
    assert leader.cluster.team_use("red").total == (2.0, 0.0), "two of the ten tasks were not found"


def test_task_in_a_late_heartbeat_counts_once() -> None:
    leader = leader_after_takeover(3)
    old_machine, new_machine, _ = leader.names
    run_by_earlier_leader(leader, old_machine, "run-over", 10)
    leader.cluster.on_heartbeat(leader.next_heartbeat(old_machine, fencing_token=TERM - 1), leader.now)
    assert leader.cluster.team_use("red").total == (10.0, 0.0)
    leader.tasks[old_machine].clear()
    leader.cluster.on_heartbeat(leader.next_heartbeat(old_machine), leader.now)
    assert leader.cluster.team_use("red").total == (10.0, 0.0), (
        "the late copy reported tasks that are on another machine now"
    )
    run_by_earlier_leader(leader, new_machine, "run-over", 10)
    leader.cluster.on_heartbeat(leader.next_heartbeat(new_machine), leader.now)
    assert leader.cluster.team_use("red").total == (10.0, 0.0)


def test_job_that_ends_in_the_term_counts_each_task_once() -> None:
    leader = leader_after_takeover(3)
    run_by_earlier_leader(leader, leader.names[0], "run-old", 4)
    leader.add(array_job("run-old", shards=6, owner="red"), from_earlier_term=True)
    leader.cluster.on_heartbeat(leader.next_heartbeat(leader.names[0]), leader.now)
    assert leader.cluster.team_use("red").total == (16.0, 0.0)
    leader.cluster.end_job("run-old")
    assert leader.cluster.team_use("red").total == (16.0, 0.0)
    leader.send_heartbeat(leader.names[0])
    leader.send_heartbeat(leader.names[0])
    assert leader.cluster.team_use("red").total == (12.0, 0.0), (
        "four tasks have ended; two, and ten of the other job, may still run"
    )


def test_team_limit_holds_when_a_job_is_cancelled_without_a_leader() -> None:
    """In the simulated cluster: the stop commands are delayed, the start commands to other machines are not."""

    async def scenario(simulation: SimulatedCluster) -> None:
        # In zone b red always finds free CPUs beside a service; in zone a its job fills two machines.
        await simulation.run_service("run-s", shards=2, vcpus=5.0, owner="blue", region="b")
        await simulation.submit(job("run-over", shards=8, region="a", expectedRunS=200.0))
        await simulation.until(lambda: len(simulation.running("run-over")) == 8)
        await simulation.submit(job("run-red", shards=8, region="b", expectedRunS=5.0))
        await trio.sleep(3)
        assert simulation.running("run-red") == [], "the team is at its limit"
        simulation.cloud.capacity = 0
        leader = await simulation.until_leader()
        simulation.kill(leader)
        await trio.sleep(1)
        follower = next(label for label in LABELS if label != leader)
        assert (await simulation.ask(follower, "POST", "/v2/runs/run-over/cancel"))[0] == 200
        # It has less remaining work than red's job, so it is placed first and fills both machines in zone a.
        await simulation.submit(job("run-blue", shards=8, owner="blue", region="a", expectedRunS=2.0))
        machines = {name for _, name in simulation.running("run-over")}

        def is_task_command(src: str, dst: str, request: Request) -> bool:
            """Matches direct commands about a task to the machines of the cancelled job."""
            return dst in machines and request.path == "/commands" and b"shard" in request.body

        simulation.net.hold_request = is_task_command
        await simulation.until_leader()
        await trio.sleep(2)
        simulation.net.hold_request = lambda src, dst, request: False
        simulation.net.release()
        simulation.start(leader)
        await simulation.until_phase("run-red", "done")

    run_scenario(scenario, teams=CLUSTER_TEAMS)


def test_operators_see_what_each_team_uses() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-red", shards=9, expectedRunS=30.0))
        await simulation.until(lambda: len(simulation.running("run-red")) == 8)
        await trio.sleep(2)
        controller = simulation.controllers[await simulation.until_leader()]
        assert msgspec.to_builtins(controller.state())["teams"]["red"] == {
            "bound_cpus": 16.0,
            "bound_gpus": 0.0,
            "unaccounted_cpus": 0.0,
            "unaccounted_gpus": 0.0,
            "limit_cpus": 16.0,
            "limit_gpus": 0.0,
            "highest_bound_cpus": 16.0,
            "highest_bound_gpus": 0.0,
        }
        assert (controller.state().starts_refused or 0) > 0
        metrics = await simulation.ask_raw(await simulation.until_leader(), "/metrics")
        assert b'sorrelsill_team{amount="bound_cpus",team="red"} 16.0' in metrics

    run_scenario(scenario, teams=CLUSTER_TEAMS)
