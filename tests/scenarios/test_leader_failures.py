"""Leaders that crash, stall, are paused or partitioned, or lose their key or their workers."""

import msgspec
import trio
import trio._core._run as trio_run

from sorrelsill.http import Request
from sorrelsill.settings import Team
from sorrelsill.store import registry_key
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.recorded_messages import record_messages, send_copy


def test_leader_crash_interrupts_no_task() -> None:
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
        assert len(simulation.starts) == before + 2, "no running task was restarted"

    run_scenario(scenario)


def test_resumed_leader_does_not_act_on_stale_leadership() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        old_leader = await simulation.until_leader()
        for other in ("store", "cloud", "n0", "n1", "n2", *simulation.workers):
            if other != old_leader:
                simulation.net.cut(old_leader, other)
        await simulation.until(lambda: simulation.leader() not in (None, old_leader), 15)
        assert not simulation.controllers[old_leader].elector.valid()
        await simulation.submit(job("run-n"))
        await simulation.until_phase("run-n", "done")
        simulation.net.heal()  # all held messages arrive now: lease renewals, records and commands of the old term
        await trio.sleep(20)
        leading = [n for n, controller in simulation.controllers.items() if controller.elector.valid()]
        assert len(leading) == 1
        assert len(simulation.running("run-s")) == 4

    run_scenario(scenario)


def test_two_leaders_after_early_key_expiry_do_no_harm() -> None:
    """The leader key should not expire early. If it does, fencing tokens and conditional writes must keep the old
    leader from doing harm."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-s", shards=2))
        await simulation.submit(job("run-a", shards=20, expectedRunS=8.0))
        await simulation.until(lambda: len(simulation.running("run-a")) > 3)
        old_leader = await simulation.until_leader()
        controller = simulation.controllers[old_leader]
        controller.watch_cache.listeners.remove(controller.elector.on_key_changed)  # the old leader does not notice
        lease = next(iter(simulation.store.leases))
        simulation.store._end_lease(lease)
        await simulation.until(
            lambda: any(n.elector.valid() for k, n in simulation.controllers.items() if k != old_leader), 5
        )
        await simulation.until_phase("run-a", "done", 200)
        assert len(simulation.running("run-s")) == 2

    run_scenario(scenario)


def test_delayed_transaction_of_old_leader_has_no_effect() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=3, expectedRunS=3.0))
        old_leader = await simulation.until_leader()

        def is_final_record(src: str, dst: str, request: Request) -> bool:
            return src == old_leader and dst == "store" and request.path == "/multi" and b"s/f/run-a" in request.body

        simulation.net.hold_request = is_final_record
        await simulation.until(lambda: len(simulation.finished) == 3)
        simulation.kill(old_leader)
        simulation.net.hold_request = lambda src, dst, request: False
        await simulation.until_phase("run-a", "done")
        revision = simulation.store.rev
        simulation.net.release()
        await trio.sleep(5)
        assert simulation.store.kv["s/f/run-a"][0]["p"] == "done"
        assert not [e for e in simulation.store.log if e[0] > revision and e[1] == "s/j/run-a"]
        assert len(simulation.starts) == 3

    run_scenario(scenario)


def test_delayed_registry_removal_of_old_leader_has_no_effect() -> None:
    """Guards against a late write of the old leader that removes a machine with tasks from the registry: the next
    leader would not wait for that machine."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.run_service("run-s", shards=2, vcpus=5.0)
        old_leader = await simulation.until_leader()
        name = simulation.running("run-s")[0][1]
        key = registry_key(name)
        assert name in simulation.store.kv[key][0]
        held: list[Request] = []

        def is_registry_removal(src: str, dst: str, request: Request) -> bool:
            if src != old_leader or request.path != "/multi":
                return False
            body = msgspec.msgpack.decode(request.body)
            matches = any(w.get("set") == key and name not in w["value"] for w in body["writes"])
            if matches:
                held.append(request)
            return matches

        simulation.net.hold_request = is_registry_removal
        simulation.cut_machine(name)
        await simulation.until(lambda: bool(held))
        simulation.kill(old_leader)
        simulation.net._cuts.clear()
        await simulation.until(lambda: simulation.leader() not in (None, old_leader))
        await simulation.until(lambda: name in simulation.workers and bool(simulation.workers[name].active_tasks), 90)
        simulation.net.hold_request = lambda src, dst, request: False
        simulation.net.release()
        await trio.sleep(1)
        assert name in simulation.store.kv[key][0]

    run_scenario(scenario)


def test_leader_starts_no_task_before_its_promise_expires() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-0"))
        await simulation.until_phase("run-0", "done")
        await simulation.until_leader()
        until = trio.current_time() + 4
        for controller in simulation.controllers.values():
            controller.elector.promised_until = until
            controller.degraded_mode.on_renewal_promise(until)
        await simulation.submit(job("run-1"))
        await simulation.until_phase("run-1", "done")
        assert all(at >= until for at, task_id, _ in simulation.starts if task_id.startswith("run-1/"))

    run_scenario(scenario)


def test_leader_that_reaches_no_worker_steps_down_in_time() -> None:
    """A leader that reached no worker used to keep renewing its key while the lease of every worker expired."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=6)
        before = len(simulation.starts)
        old_leader = await simulation.until_leader()
        for name in simulation.workers:
            simulation.net.cut(old_leader, name)
        await simulation.until(lambda: simulation.leader() not in (None, old_leader), 15)
        await trio.sleep(20)
        assert len(simulation.starts) == before and len(simulation.running("run-s")) == 6

    run_scenario(scenario)


def test_leader_keeps_its_term_after_a_short_pause() -> None:
    """Guards against a fault found in an incident: after a pause, the leader considered its workers silent and left the
    leader key to other controllers for a while, although it still held the key."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        label = await simulation.until_leader()
        controller = simulation.controllers[label]
        term = controller.elector.term
        await trio.sleep(5)
        # The state after a pause of the process: no heartbeat was processed and no lease renewal sent meanwhile.
        cluster = controller.cluster
        assert cluster is not None
        now = trio.current_time()
        cluster.last_heartbeat_at, controller.elector.last_renewal_sent_at = now - 3.5, now - 3.5
        await trio.sleep(3)
        assert controller.elector.term == term and controller.elector.valid()

    run_scenario(scenario)


def test_cancellation_during_failover_stops_tasks() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        assert (await simulation.cancel("run-s"))["phase"] == "cancelled"
        await simulation.until(lambda: not simulation.running("run-s"), 25)

    run_scenario(scenario)


def test_job_cancelled_without_leader_counts_toward_limit_until_it_ends() -> None:
    """Guards against a fault found in a quota incident: the new leader started a team's next job before the cancelled
    one had ended."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(service("run-k", owner="blue", region="b", shards=1, sizeGb=0.0))
        await simulation.submit(service("run-s", region="a", shards=4, sizeGb=0.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4 and bool(simulation.running("run-k")))
        machines = {name for _, name in simulation.running("run-s")}
        simulation.kill(await simulation.until_leader())
        await simulation.cancel("run-s")
        await simulation.submit(service("run-n", region="b", shards=3, sizeGb=0.0))
        simulation.net.hold_request = lambda src, dst, request: dst in machines and b"halt" in request.body
        await simulation.until(lambda: len(simulation.running("run-n")) == 3, 40)

    run_scenario(scenario, teams=[Team("red", cpus_max=8.0), Team("blue")])


def test_leader_with_stalled_loop_steps_down() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await simulation.until_leader()
        controller = simulation.controllers[old_leader]
        controller.scheduler.run_cycle = None  # type: ignore[assignment, method-assign]

        async def stalled_loop() -> None:
            await trio.sleep_forever()

        controller._record = stalled_loop  # type: ignore[method-assign]
        controller.watchdog.record_exit("record")
        await simulation.until(lambda: simulation.leader() not in (None, old_leader), 10)
        await trio.sleep(20)
        assert simulation.leader() != old_leader

    run_scenario(scenario)


def test_scenario_with_same_seed_is_deterministic() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=8))
        await simulation.until_phase("run-a", "done")

    trio_run._r.seed(0)
    first = run_scenario(scenario, seed=5).starts
    trio_run._r.seed(0)
    assert run_scenario(scenario, seed=5).starts == first


def test_old_leader_that_reaches_only_workers_redirects_them() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=4)
        before = len(simulation.starts)
        old_leader = await simulation.until_leader()
        others = [n for n in simulation.controllers if n != old_leader]
        for other in ("store", "cloud", *others, *(f"{n}:peer" for n in others)):
            simulation.net.cut(old_leader, other)
        simulation.net.cut(f"{old_leader}:peer", f"{old_leader}:peer")
        for other in others:
            simulation.net.cut(other, f"{old_leader}:peer")
        sent = record_messages(simulation, "/hello")
        await simulation.until(lambda: simulation.leader() not in (None, old_leader), 15)
        await trio.sleep(1)
        for item in [s for s in sent if s[1] == old_leader][-3:]:
            assert (await send_copy(simulation, old_leader, item)).status in (421, 503)
        assert not simulation.controllers[old_leader].degraded_mode.active()
        await trio.sleep(20)
        assert len(simulation.running("run-s")) == 4 and len(simulation.starts) == before

    run_scenario(scenario)
