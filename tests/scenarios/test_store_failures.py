"""Outages of the state service, and lost responses of it."""

import trio

from sorrelsill.http import Request
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.users import LABELS


def test_submission_with_a_lost_answer_creates_one_job() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        await simulation.submit(job("run-0"))
        dropped: list[str] = []

        def drop(src: str, dst: str, request: Request) -> bool:
            matches = dst == "store" and request.path == "/multi" and b"run-1" in request.body and len(dropped) < 2
            if matches:
                dropped.append(src)
            return matches

        simulation.net.drop_response = drop
        assert await simulation.submit(job("run-1")) in (200, 201)
        await simulation.until_phase("run-1", "done")
        assert dropped and len([start for start in simulation.starts if start[1].startswith("run-1/")]) == 2

    run_scenario(scenario)


def test_cancellation_with_a_lost_answer_is_confirmed() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s"))
        await simulation.until(lambda: len(simulation.running("run-s")) == 2)
        dropped: list[str] = []

        def drop(src: str, dst: str, request: Request) -> bool:
            matches = dst == "store" and request.path == "/multi" and b"cancelled" in request.body and not dropped
            if matches:
                dropped.append(src)
            return matches

        simulation.net.drop_response = drop
        assert (await simulation.cancel("run-s"))["phase"] == "cancelled"
        assert dropped
        await simulation.until(lambda: not simulation.running("run-s"), 5)

    run_scenario(scenario)


def test_short_store_outage_keeps_the_leader_and_all_tasks() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        term = simulation.controllers[await simulation.until_leader()].elector.term
        starts_before = len(simulation.starts)
        simulation.store.begin_outage()
        await trio.sleep(2)
        assert (await simulation.ask("n0", "POST", "/v2/runs", job("run-x")))[0] == 503
        simulation.store.end_outage()
        leader = await simulation.until_leader(5)
        assert simulation.controllers[leader].elector.term == term
        assert len(simulation.starts) == starts_before

    run_scenario(scenario)


def test_long_store_outage_stops_no_task() -> None:
    """Degraded mode: with the promises of all controllers, leases are renewed much longer than a worker's lease."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4))
        await simulation.submit(job("run-a", expectedRunS=70.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4 and len(simulation.running("run-a")) == 2)
        starts_before = len(simulation.starts)
        simulation.store.begin_outage()
        await trio.sleep(60)
        assert simulation.leader() is None
        assert len(simulation.running("run-s")) == 4
        simulation.store.end_outage()
        await simulation.until_phase("run-a", "done")
        assert len(simulation.starts) == starts_before

    run_scenario(scenario)


def test_cancelled_tasks_end_in_degraded_mode() -> None:
    """The leader dies before it can send the stop commands, then the store fails. Leases are renewed, but the cancelled
    tasks must end."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=2))
        await simulation.submit(service("run-c", shards=2))
        await simulation.until(lambda: len(simulation.running("run-s")) == 2 and len(simulation.running("run-c")) == 2)
        old_leader = await simulation.until_leader()
        follower = next(label for label in simulation.controllers if label != old_leader)
        simulation.kill(old_leader)
        assert (await simulation.ask(follower, "POST", "/v2/runs/run-c/cancel"))[1]["phase"] == "cancelled"
        await trio.sleep(0.1)
        simulation.store.begin_outage()
        await trio.sleep(4)
        simulation.start(old_leader)
        await trio.sleep(12)
        assert simulation.running("run-c") == [] and len(simulation.running("run-s")) == 2
        # The dead leader may have confirmed cancellations that nobody else knows: leases can't be renewed indefinitely.
        await trio.sleep(38)
        simulation.store.end_outage()
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 30)
        assert simulation.running("run-c") == []

    run_scenario(scenario)


def test_controller_without_heartbeats_before_an_outage_renews_leases_in_it() -> None:
    """Without its own watch cache as a starting point, the cancellations that the others list prove nothing to a young
    controller. It took that into account only when it received a heartbeat."""

    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await simulation.until_leader()
        follower = next(label for label in simulation.controllers if label != leader)
        simulation.on_boot = lambda name: simulation.net.refused.add((name, follower))
        await simulation.run_service("run-s", shards=4)
        simulation.store.begin_outage()
        await trio.sleep(10)
        others = [label for label in simulation.controllers if label != follower]
        for label in others:
            simulation.kill(label)
        simulation.net.refused.clear()
        await trio.sleep(4)
        for label in others:
            simulation.start(label)
        await trio.sleep(20)
        assert len(simulation.running("run-s")) == 4

    run_scenario(scenario)


def test_controllers_restarted_in_an_outage_stop_no_task_at_once() -> None:
    """The tasks run on until a cancellation that the crashed controllers may have confirmed would be overdue."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        starts_before = len(simulation.starts)
        simulation.store.begin_outage()
        await trio.sleep(10)
        for label in ("n0", "n1"):
            simulation.kill(label)
        await trio.sleep(4)
        for label in ("n0", "n1"):
            simulation.start(label)
        await trio.sleep(20)
        assert len(simulation.running("run-s")) == 4
        simulation.store.end_outage()
        await simulation.until_leader()
        await trio.sleep(20)
        assert len(simulation.running("run-s")) == 4
        assert len(simulation.starts) == starts_before

    run_scenario(scenario)


def test_tasks_restart_after_all_controllers_crash_in_an_outage() -> None:
    """Tasks are kept only while the cancellations are known. Guards against three restarted controllers that renewed
    leases without that knowledge, so that a job whose cancellation was confirmed before the crash ran on (see
    test_cancellation_in_outages.py)."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        simulation.store.begin_outage()
        await trio.sleep(10)
        simulation.kill_all()
        await trio.sleep(4)
        simulation.start_all()
        await trio.sleep(20)
        simulation.store.end_outage()
        await simulation.until_leader()
        await simulation.until(lambda: len(simulation.running("run-s")) == 4, 5)
        await simulation.until_phase("run-s", "running", 3)  # the state that users see may lag by this much

    run_scenario(scenario)


def test_controller_refused_by_the_store_gets_no_promises_and_is_not_ready() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        old_leader = await simulation.until_leader()
        simulation.store.unavailable_to.add(old_leader)
        await simulation.until(lambda: simulation.leader() not in (None, old_leader), 15)
        await trio.sleep(5)
        assert (await simulation.ask(old_leader, "GET", "/ready"))[0] == 503
        assert not simulation.controllers[old_leader].degraded_mode.active()
        await simulation.submit(job("run-n"))
        await simulation.until_phase("run-n", "done")
        assert len(simulation.running("run-s")) == 4
        simulation.store.unavailable_to.clear()
        await trio.sleep(3)
        assert (await simulation.ask(old_leader, "GET", "/ready"))[0] == 200

    run_scenario(scenario)


def test_damaged_record_affects_no_other_job_and_can_be_cancelled() -> None:
    """Guards against a damaged time in one record that made every follower reload all keys repeatedly."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=2, vcpus=1.0))
        await simulation.run_service("run-d", shards=2, vcpus=1.0)
        for damage in ({"t": "soon"}, {"s": None}, {"n": "x", "d": "9999"}):
            value, _, _ = simulation.store.kv["s/j/run-d"]
            simulation.store._commit({"if": [], "writes": [{"set": "s/j/run-d", "value": {**value, **damage}}]})
            simulation.kill(await simulation.until_leader())  # it would overwrite the damaged record with its own
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
