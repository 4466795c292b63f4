"""Gangs: jobs whose tasks start together or not at all."""

import random
from typing import Any

import trio

from sorrelsill import constants
from sorrelsill.jobs import parse_spec
from sorrelsill.model import Catalog, MachineType, TaskSet
from sorrelsill.placement import Scheduler
from sorrelsill.settings import Objective, Team
from sorrelsill.workers import ClusterState
from tests.simulation import SimulatedCluster, job, run_scenario


def gang_job(name: str, **fields: Any) -> dict[str, Any]:
    base = {"shape": "group", "oneZone": True, "shards": 6, "expectedRunS": 20.0}
    return job(name, **{**base, **fields})


def checkpointing_gang(name: str, **fields: Any) -> dict[str, Any]:
    return gang_job(name, **{"snapshotEveryS": 8.0, "snapshotCostS": 2.0, "expectedRunS": 40.0, **fields})


async def until_all_running(simulation: SimulatedCluster, job_id: str, timeout_s: float = 60.0) -> list[str]:
    """Waits until the workers run all tasks of the job. Returns the machines of the tasks."""
    shards: int = simulation.specs[job_id]["shards"]

    def all_running() -> bool:
        tasks = [t for w in simulation.workers.values() for (s, _), t in w.tasks.items() if s.startswith(job_id + "/")]
        return sum(1 for t in tasks if t["phase"] == "running") == shards

    await simulation.until(all_running, timeout_s)
    return sorted({machine for _, machine in simulation.running(job_id)})


def test_gang_runs_as_a_whole_and_must_fit_team_limit() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        assert await simulation.submit(gang_job("run-g")) == 201
        assert await simulation.submit(gang_job("run-big", shards=11)) == 422, (
            "the gang needs 22 CPUs, and the limit is 20"
        )
        assert await simulation.submit(gang_job("run-bad", oneZone=None)) == 400
        await until_all_running(simulation, "run-g")
        await simulation.until_phase("run-g", "running", 3)
        await simulation.until_phase("run-g", "done")
        assert await simulation.submit(gang_job("run-g")) == 200
        assert len(simulation.gangs.starts) == 1 and simulation.gangs.exit_causes == ["done"] * 6

    run_scenario(scenario, teams=[Team("red", cpus_max=20.0)])


def test_gang_tasks_waiting_for_others_are_not_reported_as_running() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.submit(job("run-warm", shards=8, expectedRunS=1.0))
        await simulation.until(lambda: len(simulation.workers) >= 2, 60)
        slow_machine = sorted(simulation.workers)[1]
        simulation.workers[slow_machine].pull_rate = 0.02
        await simulation.submit(gang_job("run-g", shards=8, sizeGb=0.4, bundle="other", oneZone=False))
        await simulation.until(
            lambda: any(t["phase"] == "waiting" for w in simulation.workers.values() for t in w.tasks.values())
        )
        await trio.sleep(8)
        assert (await simulation.poll("run-g"))[1] == {"uid": "run-g", "phase": "pending", "done": 0, "running": 0}
        await until_all_running(simulation, "run-g")
        await simulation.until_phase("run-g", "done")

    run_scenario(scenario)


def test_gang_restarts_as_a_whole_after_machine_failure() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(checkpointing_gang("run-g"))
        machines = await until_all_running(simulation, "run-g")
        await trio.sleep(11)
        simulation.kill_machine(machines[0])
        await simulation.until(lambda: len(simulation.gangs.starts) == 2, 60)
        assert simulation.gangs.saved_progress["run-g"] >= 8, "it resumes from the last checkpoint"
        await simulation.until_phase("run-g", "done")
        assert len({n for _, n in simulation.gangs.starts}) == 2, "each start of the gang has its own attempt number"
        _, answer = await simulation.ask("n0", "GET", "/v2/runs/run-g/why")
        assert any("started anew" in note or "not whole" in note for note in answer["why"])

    run_scenario(scenario)


def test_machine_failure_before_gang_start_only_delays_it() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(gang_job("run-g", sizeGb=4.0))
        await simulation.until(lambda: sum(1 for w in simulation.workers.values() for _ in w.tasks) == 6)
        failed_machine = next(n for n, w in simulation.workers.items() if w.tasks)
        simulation.kill_machine(failed_machine)
        await simulation.until_phase("run-g", "done", 120)
        assert len(simulation.gangs.starts) == 1

    run_scenario(scenario)


def test_spot_reclaim_notice_for_one_machine_checkpoints_whole_gang() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(checkpointing_gang("run-g", reclaimable=True, expectedRunS=60.0, snapshotEveryS=40.0))
        machines = await until_all_running(simulation, "run-g")
        await trio.sleep(10)
        simulation.workers[machines[0]].spot_reclaim_at = trio.current_time() + 12
        await trio.sleep(12)
        simulation.kill_machine(machines[0])
        assert simulation.gangs.saved_progress.get("run-g", 0) > 10, (
            "stopped in order, with a checkpoint as late as is safe"
        )
        assert simulation.gangs.exit_causes == ["halted"] * 6
        await simulation.until_phase("run-g", "done", 200)

    run_scenario(scenario)


def test_production_preempts_arrays_before_a_whole_gang() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 3
        await simulation.submit(gang_job("run-g", shards=4, rank="best_effort", expectedRunS=300.0, oneZone=False))
        await until_all_running(simulation, "run-g")
        await simulation.submit(job("run-a", shards=8, rank="best_effort", expectedRunS=300.0))
        await simulation.until(lambda: len(simulation.running("run-a")) == 8)
        await simulation.submit(job("run-s", shape="standing", shards=2, rank="prod", expectedRunS=0.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 10)
        assert len(simulation.running("run-g")) == 4 and len(simulation.running("run-a")) == 6
        await simulation.submit(job("run-t", shape="standing", shards=10, rank="prod", expectedRunS=0.0))
        await simulation.until(lambda: len(simulation.running("run-t")) == 10, 30)
        assert not simulation.running("run-g")

    run_scenario(scenario)


def test_gang_preempts_only_if_all_its_tasks_then_fit() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.submit(job("run-low", shards=8, rank="best_effort", expectedRunS=300.0))
        await simulation.until(lambda: len(simulation.running("run-low")) == 8)
        await simulation.submit(gang_job("run-huge", shards=6, vcpus=4.0, owner="blue"))
        await trio.sleep(10)
        assert len(simulation.running("run-low")) == 8, "the gang needs 24 CPUs of 16: nothing is preempted in vain"
        await simulation.cancel("run-huge")
        await simulation.submit(gang_job("run-g", shards=3, owner="blue", oneZone=False))
        await until_all_running(simulation, "run-g", 15)

    run_scenario(scenario, teams=[Team("red"), Team("blue", cpus=16.0)])


def test_gang_and_stream_of_small_jobs_do_not_starve_each_other() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 4

        async def submit_small_jobs() -> None:
            for number in range(200):
                await simulation.submit(job(f"run-{number}", shards=2, expectedRunS=6.0))
                await trio.sleep(0.8)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_small_jobs)
            await trio.sleep(40)
            began = trio.current_time()
            await simulation.submit(gang_job("run-g", shards=8, expectedRunS=30.0))
            await until_all_running(simulation, "run-g", 240)
            assert trio.current_time() - began < 200
            before = len(simulation.finished)
            await simulation.until_phase("run-g", "done")
            assert len(simulation.finished) > before + 10
            nursery.cancel_scope.cancel()

    run_scenario(scenario)


def test_cancelled_gang_stops_in_time_while_running_or_waiting() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(checkpointing_gang("run-g"))
        await until_all_running(simulation, "run-g")
        await simulation.cancel("run-g")
        await simulation.until(lambda: not simulation.running("run-g"), 5)
        await simulation.submit(gang_job("run-w", sizeGb=20.0))
        await simulation.until(
            lambda: any(k[0].startswith("run-w/") for w in simulation.workers.values() for k in w.tasks)
        )
        await simulation.cancel("run-w")
        await trio.sleep(30)
        assert simulation.running("run-w") == []

    run_scenario(scenario)


def test_gang_is_done_if_one_task_is_done_and_others_are_lost() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(gang_job("run-g", shards=4, vcpus=4.0))
        machines = await until_all_running(simulation, "run-g")
        assert len(machines) == 2
        await trio.sleep(15)
        simulation.net.hold_request = lambda src, dst, request: src == machines[0]
        await simulation.until(lambda: "run-g" in simulation.gangs.completed_jobs)
        simulation.kill_machine(machines[0])
        simulation.net.hold_request = lambda src, dst, request: False
        await simulation.until_phase("run-g", "done", 10)
        await trio.sleep(40)
        assert len(simulation.gangs.starts) == 1 and len(simulation.starts) == 4

    run_scenario(scenario)


def test_failover_with_half_of_starts_sent_starts_gang_once() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-warm", shards=12, expectedRunS=1.0))
        await simulation.until_phase("run-warm", "done")
        leader = await simulation.until_leader()
        machines = sorted(simulation.workers)
        lost = set(machines[: len(machines) // 2])
        simulation.net.hold_request = lambda src, dst, request: (
            src == leader and dst in lost and request.path == "/commands"
        )
        await simulation.submit(gang_job("run-g", shards=8, oneZone=False))
        await simulation.until(
            lambda: any(k[0].startswith("run-g/") for w in simulation.workers.values() for k in w.tasks)
        )
        simulation.kill(leader)
        simulation.net.hold_request = lambda src, dst, request: False
        await trio.sleep(3)
        simulation.net.release()  # the delayed start commands arrive while there is no leader or a new one
        await simulation.until_phase("run-g", "done", 120)
        assert len(simulation.gangs.starts) == 1

    run_scenario(scenario)


def test_gang_continues_after_leader_crash_during_its_checkpoint() -> None:
    """The new leader finds some tasks saving and some running; no task may run twice, and the gang must continue."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(checkpointing_gang("run-g", snapshotCostS=4.0, expectedRunS=60.0))
        machines = await until_all_running(simulation, "run-g")
        leader = await simulation.until_leader()
        controller = simulation.controllers[leader]
        assert controller.cluster is not None
        unreached_machine = machines[-1]
        simulation.net.hold_request = lambda src, dst, request: dst == unreached_machine and src == leader
        attempt = next(iter(controller.cluster.gangs["run-g"].bound.values()))
        controller.cluster.stop(attempt, "for the story")
        await trio.sleep(1.2)
        simulation.kill(leader)
        simulation.net.hold_request = lambda src, dst, request: False
        await simulation.until_leader()
        await simulation.until(lambda: len(simulation.gangs.starts) == 2, 60)
        await simulation.until_phase("run-g", "done", 120)

    run_scenario(scenario)


def test_gang_restarts_after_hung_machine_and_one_way_partition() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(checkpointing_gang("run-g"))
        machines = await until_all_running(simulation, "run-g")
        simulation.workers[machines[0]].hung = True
        await trio.sleep(8)
        assert set(simulation.gangs.exit_causes) == {"peers"}
        simulation.workers[machines[0]].hung = False
        await simulation.until(lambda: len(simulation.gangs.starts) == 2, 60)
        machines = await until_all_running(simulation, "run-g")
        unreachable = machines[0]
        simulation.net.drop_response = lambda src, dst, request: src == unreachable and request.path == "/hello"
        simulation.net.hold_request = lambda src, dst, request: dst == unreachable
        await trio.sleep(25)
        simulation.net.drop_response = lambda src, dst, request: False
        simulation.net.hold_request = lambda src, dst, request: False
        await simulation.until_phase("run-g", "done", 200)

    run_scenario(scenario)


def test_exits_with_cause_peers_or_alone_are_not_failures() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.gangs.wait_s = 3.0
        await simulation.submit(job("run-warm", shards=8, expectedRunS=1.0))
        await simulation.until_phase("run-warm", "done")
        for worker in list(simulation.workers.values())[1:]:
            worker.pull_rate = 0.05
        await simulation.submit(gang_job("run-g", shards=8, bundle="other", oneZone=False))
        await simulation.until(lambda: "alone" in simulation.gangs.exit_causes, 60)
        leader = simulation.controllers[await simulation.until_leader()]
        await trio.sleep(2)
        assert leader.cluster is not None
        gang = leader.cluster.gangs["run-g"]
        assert (
            not gang.avoided_machines
            and not gang.failures.failures
            and not any(h.quarantined for h in leader.cluster.machines.values())
        )
        for worker in simulation.workers.values():
            worker.pull_rate = 1.0
        simulation.gangs.wait_s = 40.0
        await simulation.until_phase("run-g", "done", 120)

    run_scenario(scenario)


def test_new_gang_attempt_waits_until_old_one_is_gone() -> None:
    """The gang runs in one zone: that of its old attempt, until the task on the partitioned machine is known to have
    ended."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(gang_job("run-g", shards=6, expectedRunS=60.0))
        machines = await until_all_running(simulation, "run-g")
        simulation.cut_machine(machines[0])
        began = trio.current_time()
        await simulation.until(lambda: len(simulation.gangs.starts) == 2, 60)
        assert trio.current_time() - began > 10
        simulation.net.heal()
        await simulation.until_phase("run-g", "done", 200)

    run_scenario(scenario)


def test_malformed_heartbeat_or_record_of_gang_does_not_affect_others() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(gang_job("run-g"))
        await until_all_running(simulation, "run-g")
        for worker in simulation.workers.values():
            worker.tasks[("run-g/x", 1)] = {"phase": "dreaming", "exitCause": "bored"}
            worker.tasks[("run-g/99", 2)] = {"phase": "dreaming"}
            break
        simulation.store.kv["s/j/run-odd"] = ({"s": {"shape": "group"}}, simulation.store.rev, None)
        simulation.kill(await simulation.until_leader())
        await simulation.until_phase("run-g", "done")
        await simulation.submit(gang_job("run-h"))
        await simulation.until_phase("run-h", "done")

    run_scenario(scenario)


def test_waiting_gang_uses_up_no_attempt_numbers() -> None:
    """Guards against taking an attempt number at each search for capacity: a term has 16 million, and a waiting gang
    took some hundreds per second."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 1
        await simulation.submit(gang_job("run-g"))
        await trio.sleep(30)
        leader = simulation.controllers[await simulation.until_leader()]
        assert (
            leader.cluster is not None
            and leader.cluster.next_attempt_number() & ((1 << constants.ATTEMPT_COUNTER_BITS) - 1) < 5
        )

    run_scenario(scenario)


def test_capacity_kept_for_next_gang_is_released_to_starved_jobs() -> None:
    """Guards against gangs that waited for 20 s instead of seconds, because arrays filled all free capacity where cost
    is optimised. Capacity is kept free for the next gang, but a starved job may use it."""

    machine_type = MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 5.0, ("a", "b"))
    cluster = ClusterState(1, 0.0, Catalog({"c8": machine_type}), 11.0, 3.0)
    for number in range(4):
        machine = cluster.get_or_add_machine(f"m-{number}", "c8", "ab"[number % 2], False, 0.0)
        machine.token_acknowledged = machine.reachable = machine.registered = True
    objectives = [Objective("wait", "ceremony", 8.0), Objective("deadline", "w", times=1.0)]
    scheduler = Scheduler([Team("red")], objectives, random.Random(1), constants.CANDIDATE_SAMPLE)
    first = cluster.add_job(parse_spec(gang_job("run-g", workload="ceremony", shards=4)), TaskSet(4), 2, False, 0.0, [])
    scheduler.run_cycle(cluster, 0.0, lambda: 0.0, 1.0)
    assert len(first.bound) == 4 and len({a.machine.zone for a in first.bound.values()}) == 1
    array = cluster.add_job(parse_spec(job("run-a", shards=40)), TaskSet(40), 3, False, 0.0, [])
    scheduler.run_cycle(cluster, 1.0, lambda: 0.0, 1.0)
    assert len(array.bound) == 8, "of 24 free CPUs, 8 in one zone are kept for a gang"
    second = cluster.add_job(
        parse_spec(gang_job("run-h", workload="ceremony", shards=4)), TaskSet(4), 4, False, 1.0, []
    )
    scheduler.run_cycle(cluster, 2.0, lambda: 0.0, 1.0)
    assert len(second.bound) == 4
    for attempt in list(second.bound.values()):
        cluster.attempts.remove(attempt)
        cluster.unbind(attempt, 3.0)
    cluster.end_job("run-h")
    late_array = cluster.add_job(parse_spec(job("run-b", shards=4)), TaskSet(4), 5, False, 3.0, [])
    scheduler.run_cycle(cluster, 4.0, lambda: 0.0, 1.0)
    assert not late_array.bound
    scheduler.run_cycle(cluster, 5.0 + constants.STARVATION_S, lambda: 0.0, 1.0)
    assert late_array.bound, "a job that waited too long may use that capacity"


def test_gang_starts_as_a_whole_or_not_at_all() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 1
        await simulation.submit(job("run-g", shape="group", shards=6))
        await trio.sleep(30)
        assert simulation.running("run-g") == [], "only four of six tasks would fit"
        simulation.cloud.capacity = 2
        await simulation.until_phase("run-g", "done")
        attempts = {k for w in simulation.workers.values() for k in w.tasks}
        assert len({n for s, n in attempts if s.startswith("run-g/")}) <= 1, "its tasks share an attempt number"

    run_scenario(scenario)
