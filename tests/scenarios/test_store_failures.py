"""Outages of the state service, and answers of it that are lost."""

import trio

from sorrelsill.http import Request
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.users import LABELS


def test_a_lost_answer_to_a_submission_still_makes_one_job() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        await simulation.submit(job("run-0"))
        lost: list[str] = []

        def drop(src: str, dst: str, request: Request) -> bool:
            hit = dst == "store" and request.path == "/multi" and b"run-1" in request.body and len(lost) < 2
            if hit:
                lost.append(src)
            return hit

        simulation.net.drop_answers = drop
        assert await simulation.submit(job("run-1")) in (200, 201)
        await simulation.until_phase("run-1", "done")
        assert lost and len([s for s in simulation.starts if s[1].startswith("run-1/")]) == 2

    run_scenario(scenario)


def test_a_lost_answer_to_a_cancellation_is_made_good() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s"))
        await simulation.until(lambda: len(simulation.running("run-s")) == 2)
        lost: list[str] = []

        def drop(src: str, dst: str, request: Request) -> bool:
            hit = dst == "store" and request.path == "/multi" and b"cancelled" in request.body and not lost
            if hit:
                lost.append(src)
            return hit

        simulation.net.drop_answers = drop
        assert (await simulation.cancel("run-s"))["phase"] == "cancelled"
        assert lost
        await simulation.until(lambda: not simulation.running("run-s"), 5)

    run_scenario(scenario)


def test_a_short_store_outage_is_hardly_noticed() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        term = simulation.controllers[await simulation.until_leader()].elector.term
        before = len(simulation.starts)
        simulation.store.begin_outage()
        await trio.sleep(2)
        assert (await simulation.ask("n0", "POST", "/v2/runs", job("run-x")))[0] == 503
        simulation.store.end_outage()
        leader = await simulation.until_leader(5)
        assert simulation.controllers[leader].elector.term == term
        assert len(simulation.starts) == before

    run_scenario(scenario)


def test_a_long_store_outage_kills_nothing() -> None:
    """Degraded mode: leases go on by promise of all controllers, for much longer than a worker's lease."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=4))
        await simulation.submit(job("run-a", expectedRunS=70.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4 and len(simulation.running("run-a")) == 2)
        before = len(simulation.starts)
        simulation.store.begin_outage()
        await trio.sleep(60)
        assert simulation.leader() is None
        assert len(simulation.running("run-s")) == 4
        simulation.store.end_outage()
        await simulation.until_phase("run-a", "done")
        assert len(simulation.starts) == before

    run_scenario(scenario)


def test_cancelled_jobs_end_even_in_degraded_mode() -> None:
    """The leader dies with the stop commands unsent and the store goes with it: leases go on, cancelled tasks may
    not."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=2))
        await simulation.submit(service("run-c", shards=2))
        await simulation.until(lambda: len(simulation.running("run-s")) == 2 and len(simulation.running("run-c")) == 2)
        old = await simulation.until_leader()
        other = next(label for label in simulation.controllers if label != old)
        simulation.kill(old)
        assert (await simulation.ask(other, "POST", "/v2/runs/run-c/cancel"))[1]["phase"] == "cancelled"
        await trio.sleep(0.1)
        simulation.store.begin_outage()
        await trio.sleep(4)
        simulation.start(old)
        await trio.sleep(12)
        assert simulation.running("run-c") == [] and len(simulation.running("run-s")) == 2
        # What the dead leader confirmed in its last moments nobody knows, so leases can't be renewed for ever.
        await trio.sleep(38)
        simulation.store.end_outage()
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 30)
        assert simulation.running("run-c") == []

    run_scenario(scenario)


def test_a_controller_that_crashes_and_returns_in_an_outage_kills_nothing_for_a_while() -> None:
    """The tasks live on until a cancellation that it may have confirmed at its end could be overdue."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        before = len(simulation.starts)
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
        assert len(simulation.starts) == before

    run_scenario(scenario)


def test_all_controllers_crash_during_an_outage_and_the_work_returns() -> None:
    """Until this change three blind processes went on renewing, and a cancellation told before the crash lived on (the
    scenario of it is in test_cancellation_in_outages.py). Tasks may only be kept where that is known."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        simulation.store.begin_outage()
        await trio.sleep(10)
        simulation.kill_all()
        await trio.sleep(4)
        simulation.start_all()
        await trio.sleep(20)
        simulation.store.end_outage()
        leader = await simulation.until_leader()
        await simulation.until(lambda: len(simulation.running("run-s")) == 4, 5)
        assert (await simulation.poll("run-s", leader))[1]["phase"] == "running"

    run_scenario(scenario)


def test_one_controller_refused_by_the_store_gets_no_promises_and_is_not_ready() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        old = await simulation.until_leader()
        simulation.store.refused.add(old)
        await simulation.until(lambda: simulation.leader() not in (None, old), 15)
        await trio.sleep(5)
        assert (await simulation.ask(old, "GET", "/ready"))[0] == 503
        assert not simulation.controllers[old].degraded_mode.active()
        await simulation.submit(job("run-n"))
        await simulation.until_phase("run-n", "done")
        assert len(simulation.running("run-s")) == 4
        simulation.store.refused.clear()
        await trio.sleep(3)
        assert (await simulation.ask(old, "GET", "/ready"))[0] == 200

    run_scenario(scenario)


def test_a_damaged_record_costs_nobody_else_anything_and_can_be_cancelled() -> None:
    """Guards against this: a damaged time in one record made every follower read all keys anew, again and again."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=2, vcpus=1.0))
        await simulation.run_service("run-d", shards=2, vcpus=1.0)
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
