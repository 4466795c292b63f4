"""Leaders that crash, stall, lose their key or their workers, and controllers that are restarted."""

import msgspec
import trio
import trio._core._run as trio_run

from sorrelsill.http import Request
from sorrelsill.settings import Team
from sorrelsill.store import registry_key
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.recorded_messages import record_messages, send_copy


def test_a_leader_crash_costs_no_running_task() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        before = len(simulation.starts)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        await trio.sleep(1)
        assert await simulation.until_leader(10) != leader
        await simulation.submit(job("run-n"))
        await simulation.until_phase("run-n", "done")
        simulation.start(leader)
        await trio.sleep(20)
        assert len(simulation.running("run-s")) == 4
        assert len(simulation.starts) == before + 2, "nothing was started anew"

    run_scenario(scenario)


def test_a_paused_leader_resumes_and_does_nothing_on_its_stale_leadership() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        old = await simulation.until_leader()
        for other in ("store", "cloud", "n0", "n1", "n2", *simulation.workers):
            if other != old:
                simulation.net.cut(old, other)
        await simulation.until(lambda: simulation.leader() not in (None, old), 15)
        assert not simulation.controllers[old].elector.valid()
        await simulation.submit(job("run-n"))
        await simulation.until_phase("run-n", "done")
        simulation.net.heal()  # all that was held arrives now: lease renewals, records, commands of the old term
        await trio.sleep(20)
        leading = [n for n, node in simulation.controllers.items() if node.elector.valid()]
        assert len(leading) == 1
        assert len(simulation.running("run-s")) == 4

    run_scenario(scenario)


def test_two_leaders_overlapping_after_an_early_end_of_the_key() -> None:
    """The key should not end early; if it does, tokens and conditional writes keep the old leader harmless."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=2))
        await simulation.submit(job("run-a", shards=20, expectedRunS=8.0))
        await simulation.until(lambda: len(simulation.running("run-a")) > 3)
        old = await simulation.until_leader()
        node = simulation.controllers[old]
        node.watch_cache.listeners.remove(node.elector.on_key_changed)  # it does not notice
        lease = next(iter(simulation.store.leases))
        simulation.store._end_lease(lease)
        await simulation.until(lambda: any(n.elector.valid() for k, n in simulation.controllers.items() if k != old), 5)
        await simulation.until_phase("run-a", "done", 200)
        assert len(simulation.running("run-s")) == 2

    run_scenario(scenario)


def test_a_late_transaction_of_an_old_leader_changes_nothing() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=3, expectedRunS=3.0))
        old = await simulation.until_leader()

        def records(src: str, dst: str, request: Request) -> bool:
            return src == old and dst == "store" and request.path == "/multi" and b"s/f/run-a" in request.body

        simulation.net.hold_request = records
        await simulation.until(lambda: len(simulation.finished) == 3)
        simulation.kill(old)
        simulation.net.hold_request = lambda src, dst, request: False
        await simulation.until_phase("run-a", "done")
        revision = simulation.store.rev
        simulation.net.release()
        await trio.sleep(5)
        assert simulation.store.kv["s/f/run-a"][0]["p"] == "done"
        assert not [e for e in simulation.store.log if e[0] > revision and e[1] == "s/j/run-a"]
        assert len(simulation.starts) == 3

    run_scenario(scenario)


def test_a_late_registry_removal_of_an_old_leader_changes_nothing() -> None:
    """Or the next leader would not wait for a machine that holds work."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.run_service("run-s", shards=2, vcpus=5.0)
        old = await simulation.until_leader()
        name = simulation.running("run-s")[0][1]
        key = registry_key(name)
        assert name in simulation.store.kv[key][0]
        held: list[Request] = []

        def removal(src: str, dst: str, request: Request) -> bool:
            if src != old or request.path != "/multi":
                return False
            body = msgspec.msgpack.decode(request.body)
            hit = any(w.get("set") == key and name not in w["value"] for w in body["writes"])
            if hit:
                held.append(request)
            return hit

        simulation.net.hold_request = removal
        simulation.cut_machine(name)
        await simulation.until(lambda: bool(held))
        simulation.kill(old)
        simulation.net._cuts.clear()
        await simulation.until(lambda: simulation.leader() not in (None, old))
        await simulation.until(lambda: name in simulation.workers and bool(simulation.workers[name].active_tasks), 90)
        simulation.net.hold_request = lambda src, dst, request: False
        simulation.net.release()
        await trio.sleep(1)
        assert name in simulation.store.kv[key][0]

    run_scenario(scenario)


def test_a_leader_that_promised_starts_nothing_until_the_promise_is_over() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-0"))
        await simulation.until_phase("run-0", "done")
        await simulation.until_leader()
        until = trio.current_time() + 4
        for node in simulation.controllers.values():
            node.elector.promised_until = until
            node.degraded_mode.on_promised(until)
        await simulation.submit(job("run-1"))
        await simulation.until_phase("run-1", "done")
        assert all(at >= until for at, task_id, _ in simulation.starts if task_id.startswith("run-1/"))

    run_scenario(scenario)


def test_a_leader_that_loses_only_the_workers_steps_down_in_time() -> None:
    """Guards against this: it kept renewing its key while every worker's lease ran out."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=6)
        before = len(simulation.starts)
        old = await simulation.until_leader()
        for name in simulation.workers:
            simulation.net.cut(old, name)
        await simulation.until(lambda: simulation.leader() not in (None, old), 15)
        await trio.sleep(20)
        assert len(simulation.starts) == before and len(simulation.running("run-s")) == 6

    run_scenario(scenario)


def test_a_leader_that_was_paused_for_a_moment_does_not_take_the_workers_for_silent() -> None:
    """Seen in an incident: thawed, it blamed the workers and left the key to others for a while, though it had it."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        label = await simulation.until_leader()
        node = simulation.controllers[label]
        term = node.elector.term
        await trio.sleep(5)
        # As after a pause of the process: no heartbeat was taken in and no lease renewal went out meanwhile.
        cluster = node.cluster
        assert cluster is not None
        now = trio.current_time()
        cluster.last_heartbeat_at, node.elector.last_renewal_sent_at = now - 3.5, now - 3.5
        await trio.sleep(3)
        assert node.elector.term == term and node.elector.valid()

    run_scenario(scenario)


def test_a_cancellation_during_a_failover() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        assert (await simulation.cancel("run-s"))["phase"] == "cancelled"
        await simulation.until(lambda: not simulation.running("run-s"), 25)

    run_scenario(scenario)


def test_what_was_cancelled_while_nobody_led_still_counts_toward_the_limit() -> None:
    """Found in an incident (quota): the new leader started a team's next job before the last one was gone."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-k", owner="blue", region="b", shards=1, sizeGb=0.0))
        await simulation.submit(service("run-s", region="a", shards=4, sizeGb=0.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4 and bool(simulation.running("run-k")))
        there = {name for _, name in simulation.running("run-s")}
        simulation.kill(await simulation.until_leader())
        await simulation.cancel("run-s")
        await simulation.submit(service("run-n", region="b", shards=3, sizeGb=0.0))
        simulation.net.hold_request = lambda src, dst, request: dst in there and b"halt" in request.body
        await simulation.until(lambda: len(simulation.running("run-n")) == 3, 40)

    run_scenario(scenario, teams=[Team("red", cpus_max=8.0), Team("blue")])


def test_a_stalled_loop_makes_the_leader_step_down() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old = await simulation.until_leader()
        node = simulation.controllers[old]
        node.scheduler.run_cycle = None  # type: ignore[assignment, method-assign]

        async def stuck() -> None:
            await trio.sleep_forever()

        node._record = stuck  # type: ignore[method-assign]
        node.watchdog.record_exit("record")
        await simulation.until(lambda: simulation.leader() not in (None, old), 10)
        await trio.sleep(20)
        assert simulation.leader() != old

    run_scenario(scenario)


def test_two_runs_of_one_scenario_are_alike() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=8))
        await simulation.until_phase("run-a", "done")

    trio_run._r.seed(0)
    first = run_scenario(scenario, seed=5).starts
    trio_run._r.seed(0)
    assert run_scenario(scenario, seed=5).starts == first


def test_a_controller_that_reaches_only_its_workers_redirects_them() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        before = len(simulation.starts)
        old = await simulation.until_leader()
        others = [n for n in simulation.controllers if n != old]
        for other in ("store", "cloud", *others, *(f"{n}:peer" for n in others)):
            simulation.net.cut(old, other)
        simulation.net.cut(f"{old}:peer", f"{old}:peer")
        for other in others:
            simulation.net.cut(other, f"{old}:peer")
        sent = record_messages(simulation, "/hello")
        await simulation.until(lambda: simulation.leader() not in (None, old), 15)
        await trio.sleep(1)
        for item in [s for s in sent if s[1] == old][-3:]:
            assert (await send_copy(simulation, old, item)).status in (421, 503)
        assert not simulation.controllers[old].degraded_mode.active()
        await trio.sleep(20)
        assert len(simulation.running("run-s")) == 4 and len(simulation.starts) == before

    run_scenario(scenario)
