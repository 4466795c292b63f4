"""Direct starts that the network holds back: none may begin its task after the job's cancellation was confirmed more
than `cancel_s` ago.

While no controller leads, the workers' leases are renewed by controllers that do not know which starts are in flight.
In every scenario the simulation checks the protocol's rules; each test states what else must hold, above all that an
outage through which the controllers live ends no task that was not cancelled.

Leaders of this version send no starts in direct calls, those of the versions before it do. The leaders here do as well:
the controllers beside such a leader have to keep its starts from beginning too late."""

from collections.abc import Iterator
from typing import Any

import orjson
import pytest
import trio

from sorrelsill.http import Reply, Request
from tests.simulation import SimulatedCluster, job, run_scenario
from tests.simulation.direct_starts import starts_in_direct_calls
from tests.simulation.held_starts import HeldStarts, one_task, other_controllers, was_started
from tests.simulation.rules import CANCEL_S, LEASE_S
from tests.simulation.users import LABELS

HELD_BEYOND_CANCEL_S = 4.0  # s; how much longer than `cancel_s` a start is held
SHORT_OUTAGE_S = 6.0  # s; shorter than a worker's lease


@pytest.fixture(autouse=True)
def _direct_starts() -> Iterator[None]:
    with starts_in_direct_calls():
        yield


async def outage(simulation: SimulatedCluster, for_s: float = CANCEL_S + HELD_BEYOND_CANCEL_S) -> None:
    simulation.store.begin_outage()
    await trio.sleep(for_s)


async def run_on(simulation: SimulatedCluster) -> None:
    """End the outage, and check that new work runs."""
    simulation.store.end_outage()
    simulation.store.unavailable_to.clear()
    await simulation.submit(job("run-after"))
    await simulation.until_phase("run-after", "done", 60)


@pytest.mark.parametrize("ends_before_delivery", [False, True], ids=["outage goes on", "outage ends first"])
def test_held_start_does_not_begin_after_its_cancellation_in_an_outage(ends_before_delivery: bool) -> None:
    """Guards against renewed leases that keep a start of the last leader valid: the controllers that renew them don't
    know that it is in flight, so it could begin a cancelled task minutes later."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        await held.hold_start(one_task())
        await held.cancel()
        await outage(simulation)
        held.assert_service_kept()
        if not ends_before_delivery:
            held.deliver()
            await trio.sleep(3)
        simulation.store.end_outage()
        await trio.sleep(0.5)
        held.deliver()
        await trio.sleep(2 * LEASE_S)
        assert not was_started(simulation)
        held.assert_service_kept()
        await run_on(simulation)

    run_scenario(scenario)


@pytest.mark.parametrize("cut_from", ["the leader", "the leader and one other"])
def test_held_start_does_not_begin_on_machine_that_reaches_some_controllers(cut_from: str) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        await held.hold_start(one_task())
        if cut_from == "the leader and one other":
            # Not the one that workers try next: two unreachable controllers in a row cost most of a lease.
            before_leader = LABELS[LABELS.index(held.leader) - 1]
            held.cut_machines_from(before_leader)
        await held.cancel()
        await outage(simulation)
        held.deliver()
        await trio.sleep(3)
        assert not was_started(simulation)
        held.assert_service_kept()

    run_scenario(scenario)


def test_start_of_a_continued_term_does_not_begin_after_its_cancellation_in_the_next_outage() -> None:
    """Guards against a leader that continues with a fencing token at or below the one used in degraded mode: the next
    outage could not invalidate its starts, or the workers would refuse them."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        elector = simulation.controllers[held.leader].elector
        term = elector.term
        for number in range(2):
            await outage(simulation, SHORT_OUTAGE_S)
            simulation.store.end_outage()
            await simulation.until(elector.valid, 5)
            assert elector.term == term, "the leader has held its key throughout"
            await simulation.submit(job(f"run-{number}", shards=1))
            await simulation.until_phase(f"run-{number}", "done", 30)
        assert all(worker.fencing_token == elector.fencing_token for worker in simulation.workers.values())
        await held.hold_start(one_task())
        await held.cancel()
        await outage(simulation)
        held.deliver()
        await trio.sleep(3)
        assert not was_started(simulation)
        held.assert_service_kept()
        await run_on(simulation)
        assert elector.term == term

    run_scenario(scenario)


def test_leader_that_renews_leases_itself_in_an_outage_continues_its_term() -> None:
    """Guards against a leader that takes the tokens raised in degraded mode for those of another leader."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        elector = simulation.controllers[held.leader].elector
        term = elector.term
        simulation.net.refused = {
            (name, other) for name in simulation.workers for other in other_controllers(held.leader)
        }
        await outage(simulation)
        assert all(worker.fencing_token > (term or 0) for worker in simulation.workers.values())
        await run_on(simulation)
        assert elector.term == term
        held.assert_service_kept()

    run_scenario(scenario)


@pytest.mark.parametrize("delay_s", [3.0, 5.0])
def test_start_in_a_delayed_heartbeat_response_is_stopped_or_dropped(delay_s: float) -> None:
    """A worker drops a response after 4 s, so a start in one can't begin late. One that begins before that is stopped
    by the answer to the next heartbeat, in degraded mode too."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        answer = simulation.net.handlers[held.leader]
        delayed: list[str] = []

        async def answer_late(src: str, request: Request) -> Reply:
            reply = await answer(src, request)
            if request.path == "/hello" and b"start" in reply.body:
                delayed.append(src)
                await trio.sleep(delay_s)
            return reply

        simulation.net.handlers[held.leader] = answer_late
        held.hold()
        await held.submit(one_task())
        await simulation.until(lambda: len(delayed) > 0, 5)
        await held.cancel()
        await outage(simulation, CANCEL_S / 2)
        assert was_started(simulation) == (delay_s < 4.0) and simulation.running("run-c") == []
        await trio.sleep(CANCEL_S)
        held.deliver()
        await trio.sleep(3)
        assert simulation.running("run-c") == []
        held.assert_service_kept()

    run_scenario(scenario)


@pytest.mark.parametrize("end", ["frozen", "killed", "restarted"])
def test_start_held_while_its_leader_ends_in_the_outage_does_not_begin(end: str) -> None:
    """The only process that knows of the start is gone. A frozen or killed controller promises nothing, so no lease is
    renewed for long; a restarted one promises again."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        await held.hold_start(one_task())
        await held.cancel()
        simulation.store.begin_outage()
        if end == "frozen":
            simulation.freeze(held.leader, CANCEL_S)
        else:
            simulation.kill(held.leader)
        if end == "restarted":
            await trio.sleep(0.2)
            simulation.start(held.leader)
        await trio.sleep(CANCEL_S + HELD_BEYOND_CANCEL_S)
        held.deliver()
        await trio.sleep(5)
        assert not was_started(simulation)
        await run_on(simulation)
        await simulation.until(lambda: len(simulation.running("run-s")) == 2)

    run_scenario(scenario)


def test_start_of_a_leader_that_wakes_up_after_the_outage_began_does_not_begin() -> None:
    """The leader is frozen between its decision to send a start and the write, and leases are renewed meanwhile."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        leader = held.leader
        frozen: list[str] = []

        def freeze_before_start(src: str, dst: str, request: Request) -> None:
            if src == leader and request.path == "/commands" and b"start" in request.body and not frozen:
                frozen.append(dst)
                simulation.freeze(leader, LEASE_S - 3)

        simulation.net.on_connected = freeze_before_start
        held.cut_machines_from(leader)
        await simulation.submit(one_task())
        await simulation.until(lambda: len(frozen) > 0, 5)
        await held.cancel()
        await outage(simulation)
        held.deliver()
        await trio.sleep(3)
        await run_on(simulation)
        assert not was_started(simulation)

    run_scenario(scenario)


@pytest.mark.parametrize("second_start_held", [False, True])
def test_start_of_a_deposed_leader_does_not_begin_in_the_outage_of_its_successor(second_start_held: bool) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        first = held.leader
        await held.hold_start(one_task())
        await held.cancel()
        simulation.store.unavailable_to.add(first)
        await simulation.until(lambda: simulation.leader() not in (None, first), 20)
        second = await simulation.until_leader()
        third = other_controllers(first, second)[0]
        if second_start_held:
            elected_at = trio.current_time()
            await trio.sleep(2)
            # The machines have spent most of their leases at the first leader, from which they are cut.
            await simulation.until(
                lambda: all(worker.lease_renewed_at > elected_at for worker in simulation.workers.values()), 10
            )
            held.cut_machines_from(second)
            await held.submit(one_task("run-d"))
            await held.cancel("run-d", third)
        await outage(simulation)
        held.deliver()
        await trio.sleep(3)
        assert not was_started(simulation) and not was_started(simulation, "run-d")
        held.assert_service_kept()
        await run_on(simulation)

    run_scenario(scenario)


@pytest.mark.parametrize("restarts", ["before the outage", "in the outage", "in the outage, and the leader too"])
def test_held_start_does_not_begin_if_the_renewing_controller_never_saw_its_term(restarts: str) -> None:
    """The machines reach only a controller whose watch cache is older than the term of the start. It learns of the term
    from its peers. If these don't know everything, it renews leases for so short a time that they run out before
    `cancel_s`."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        first = held.leader
        third = other_controllers(first)[1]
        simulation.net.drop_response = lambda src, dst, request: src == third and request.path == "/follow"
        await trio.sleep(4)
        simulation.kill(first)
        second = other_controllers(first, third)[0]
        await simulation.until(lambda: simulation.leader() == second, 20)
        known = simulation.controllers[third].watch_cache.rev
        assert known < (simulation.controllers[second].elector.term or 0), "its watch cache is older"
        if restarts == "before the outage":
            simulation.start(first)
            await trio.sleep(CANCEL_S + 5)
        await trio.sleep(2)
        held.leader = second
        simulation.net.refused = {(name, first) for name in simulation.workers}
        await held.hold_start(one_task())
        await held.cancel(label=third)
        simulation.store.begin_outage()
        if restarts != "before the outage":
            simulation.start(first)
        if restarts == "in the outage, and the leader too":
            simulation.kill(second)
            await trio.sleep(0.2)
            simulation.start(second)
        await trio.sleep(CANCEL_S + HELD_BEYOND_CANCEL_S)
        if restarts == "before the outage":
            held.assert_service_kept()
            assert simulation.controllers[third].watch_cache.rev == known, "its watch cache is still older"
        simulation.net.drop_response = lambda src, dst, request: False
        held.deliver()
        await trio.sleep(5)
        assert not was_started(simulation)
        simulation.net.refused.clear()
        await run_on(simulation)
        await simulation.until(lambda: len(simulation.running("run-s")) == 2)

    run_scenario(scenario)


def test_peer_that_names_no_revision_guarantees_nothing() -> None:
    """Such a peer may know of a later term than the controller that renews the leases. Its list of cancellations must
    not let the leases be renewed for longer."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        first = held.leader
        second, third = other_controllers(first)
        omit_revision(simulation, second)
        simulation.net.drop_response = lambda src, dst, request: src == third and request.path == "/follow"
        await trio.sleep(4)
        simulation.kill(first)
        await simulation.until(lambda: simulation.leader() == second, 20)
        simulation.start(first)
        omit_revision(simulation, first)
        await trio.sleep(CANCEL_S + 5)
        held.leader = second
        simulation.net.refused = {(name, first) for name in simulation.workers}
        await held.hold_start(one_task())
        await held.cancel(label=third)
        await outage(simulation)
        held.deliver()
        await trio.sleep(3)
        assert not was_started(simulation)

    run_scenario(scenario)


def omit_revision(simulation: SimulatedCluster, label: str) -> None:
    """Answer requests for promises as a version that names no revision."""
    answer = simulation.net.handlers[f"{label}:peer"]

    async def answer_without_revision(src: str, request: Request) -> Reply:
        reply = await answer(src, request)
        fields = orjson.loads(reply.body)
        fields.pop("revision", None)
        return Reply(reply.status, orjson.dumps(fields))

    simulation.net.handlers[f"{label}:peer"] = answer_without_revision


@pytest.mark.parametrize("production_leads", [False, True])
def test_held_start_does_not_begin_beside_the_previous_version(production_leads: bool) -> None:
    """The previous version's peers guarantee nothing about what they know, so leases are renewed only for a short time.
    Renewals by a controller of the previous version itself can't be prevented, so the machines do not reach it."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        previous = held.leader if production_leads else other_controllers(held.leader)[0]
        if production_leads:
            # Only a controller of the previous version can acquire the key while the others can't reach the store.
            simulation.store.unavailable_to.update(other_controllers(previous))
        simulation.kill(previous)
        await trio.sleep(0.2)
        simulation.start(previous, production_version=True)
        await simulation.until(lambda: simulation.leader() is not None, 20)
        simulation.store.unavailable_to.clear()
        await trio.sleep(60)
        held.leader = await simulation.until_leader()
        assert (held.leader == previous) == production_leads
        third = other_controllers(held.leader, previous)[0]
        await held.hold_start(one_task())
        held.cut_machines_from(previous)
        await held.cancel(label=third)
        await outage(simulation)
        held.deliver()
        await trio.sleep(5)
        assert not was_started(simulation)
        await run_on(simulation)
        await simulation.until(lambda: len(simulation.running("run-s")) == 2)

    run_scenario(scenario)


def test_leader_of_the_previous_version_is_replaced_after_tokens_were_raised() -> None:
    """The previous version does not raise its token after an outage, so it ends its term at the first heartbeat with a
    higher one. No task is lost."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        previous = held.leader
        simulation.store.unavailable_to.update(other_controllers(previous))
        simulation.kill(previous)
        await trio.sleep(0.2)
        simulation.start(previous, production_version=True)
        await simulation.until(lambda: simulation.leader() is not None, 20)
        simulation.store.unavailable_to.clear()
        await trio.sleep(60)
        assert simulation.leader() == previous
        term = simulation.controllers[previous].elector.term
        held.cut_machines_from(previous)
        await outage(simulation, SHORT_OUTAGE_S)
        assert all(worker.fencing_token > (term or 0) for worker in simulation.workers.values())
        held.deliver()
        await run_on(simulation)
        held.assert_service_kept()

    run_scenario(scenario)


def test_cancelled_task_stops_while_direct_stops_are_held() -> None:
    """A stop that is held for minutes harms nothing: the answers to heartbeats stop the task."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        await simulation.submit(one_task())
        await simulation.until(lambda: len(simulation.running("run-c")) == 1)
        held.held_command = b"halt"
        held.hold()
        held.cut_machines_from(held.leader)
        await held.cancel()
        await simulation.until(lambda: len(held.held) > 0, 5)
        await outage(simulation)
        assert simulation.running("run-c") == []
        held.deliver()
        await trio.sleep(3)
        held.assert_service_kept()
        await run_on(simulation)

    run_scenario(scenario)


def test_no_task_of_a_gang_whose_starts_are_held_begins_after_its_cancellation() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        await held.hold_start(one_task(shape="group", shards=2))
        await held.cancel()
        await outage(simulation)
        held.deliver()
        await trio.sleep(3)
        assert not was_started(simulation) and simulation.gangs.starts == []
        held.assert_service_kept()
        await run_on(simulation)

    run_scenario(scenario)


def test_late_copies_of_heartbeats_do_not_keep_a_held_start_valid() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        simulation.late_heartbeat_copies(1.0)
        await held.hold_start(one_task())
        await held.cancel()
        await outage(simulation)
        held.deliver()
        await trio.sleep(3)
        assert not was_started(simulation)
        held.assert_service_kept()
        await run_on(simulation)

    run_scenario(scenario)


@pytest.mark.parametrize("executed", ["at once", "late"])
def test_leader_continues_though_answers_to_its_key_write_are_lost(executed: str) -> None:
    """Guards against a leader that takes its own rewritten key for another leader's, or acts with a token that it only
    believes to have. A transaction without an answer may be executed at once, or after newer ones."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        elector = simulation.controllers[held.leader].elector
        term = elector.term
        lost: list[float] = []

        def late_delivery_s(src: str, dst: str, request: Request) -> float | None:
            if request.path != "/multi" or b"s/leader" not in request.body or b"nonce" not in request.body:
                return None
            if len(lost) == 3:
                return None
            lost.append(trio.current_time())
            return 0.0 if executed == "at once" else 4.0

        simulation.net.late_delivery_s = late_delivery_s
        await outage(simulation, SHORT_OUTAGE_S)
        await run_on(simulation)
        assert lost and elector.term == term and elector.valid()
        await trio.sleep(LEASE_S)
        assert elector.term == term, "late writes of the key change nothing"
        held.assert_service_kept()

    run_scenario(scenario)


def test_next_leader_has_a_token_that_workers_accept_after_an_outage() -> None:
    """The leader is killed while leases are renewed with raised tokens. The term of the next leader is not below them,
    since it is a later revision of the store."""

    async def scenario(simulation: SimulatedCluster) -> None:
        held = HeldStarts(simulation)
        await held.set_up()
        await outage(simulation, SHORT_OUTAGE_S)
        raised = {name: worker.fencing_token for name, worker in simulation.workers.items()}
        simulation.kill(held.leader)
        await trio.sleep(1)
        simulation.store.end_outage()
        await simulation.until(lambda: simulation.leader() not in (None, held.leader), 20)
        leader = await simulation.until_leader()
        term: Any = simulation.controllers[leader].elector.term
        assert all(token <= term for token in raised.values())
        await run_on(simulation)
        held.assert_service_kept()

    run_scenario(scenario)
