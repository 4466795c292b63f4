"""The state service refuses the leader alone, another controller confirms cancellations, then the service is out for
all for longer than `cancel_s`, and the workers report to whoever answers. The stand-ins check that no cancelled task is
on a machine for longer than that after the confirmation; each story says what else has to hold."""

import pytest
import trio

from sorrelsill import constants
from sorrelsill.http import Request
from tests.simulation import SimulatedCluster, run_scenario, service
from tests.simulation.rules import CANCEL_S, LEASE_S
from tests.simulation.users import LABELS


async def two_services(simulation: SimulatedCluster, *cancelled: str) -> str:
    """`run-s`, which stays, and those to be cancelled. Returns the leader."""
    for job_id in ("run-s", *cancelled):
        await simulation.submit(service(job_id, vcpus=1.0))
    await simulation.until(lambda: all(len(simulation.running(job_id)) == 2 for job_id in ("run-s", *cancelled)))
    return await simulation.until_leader()


def others(leader: str) -> list[str]:
    return [label for label in LABELS if label != leader]


def drop_watch_answers(simulation: SimulatedCluster) -> None:
    """What is committed from now on reaches no other controller's view."""
    simulation.net.drop_answers = lambda src, dst, request: dst == "store" and request.path == "/follow"


def workers_reach_only(simulation: SimulatedCluster, label: str) -> None:
    simulation.net.refused = {(name, other) for name in simulation.workers for other in others(label)}


async def cancel_at(simulation: SimulatedCluster, label: str, job_id: str) -> None:
    status, answer = await simulation.ask(label, "POST", f"/v2/runs/{job_id}/cancel")
    assert status == 200 and answer["phase"] == "cancelled"


def test_what_another_controller_cancelled_goes_while_the_old_leader_renews_leases() -> None:
    """The gap: the old leader has followed nothing since it was refused, and went on renewing."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old = await two_services(simulation, "run-c")
        simulation.store.refused.add(old)
        await trio.sleep(0.5)
        await cancel_at(simulation, others(old)[0], "run-c")
        await trio.sleep(1)
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == []
        assert len(simulation.running("run-s")) == 2, "what was not cancelled lives through the whole outage"
        simulation.store.end_outage()
        simulation.store.refused.clear()
        await simulation.until_leader()
        await trio.sleep(5)
        assert len(simulation.running("run-s")) == 2 and (await simulation.poll("run-c"))[1]["phase"] == "cancelled"

    run_scenario(scenario)


@pytest.mark.parametrize("pause_s", [0.0, 0.02, 0.3])
def test_the_outage_begins_within_the_same_second(pause_s: float) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old = await two_services(simulation, "run-c")
        simulation.store.refused.add(old)
        drop_watch_answers(simulation)
        await cancel_at(simulation, others(old)[0], "run-c")
        await trio.sleep(pause_s)
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == [] and len(simulation.running("run-s")) == 2

    run_scenario(scenario)


@pytest.mark.parametrize("reached", ["the old leader", "the one that died", "the third"])
@pytest.mark.parametrize("away_s", [0.2, 4.0])
def test_the_confirming_controller_dies_right_after_its_answer(away_s: float, reached: str) -> None:
    """Nobody else knows then. So leases are renewed only as long as what it confirmed still ends in time without a
    stop command."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old = await two_services(simulation, "run-c")
        await trio.sleep(CANCEL_S + 5)  # all have followed for long enough to know what a blind process lacks
        simulation.store.refused.add(old)
        other, third = others(old)
        drop_watch_answers(simulation)
        await cancel_at(simulation, other, "run-c")
        simulation.store.begin_outage()
        simulation.kill(other)
        confirmed_at = trio.current_time()
        await trio.sleep(away_s)
        simulation.start(other)
        workers_reach_only(simulation, {"the old leader": old, "the one that died": other, "the third": third}[reached])
        await trio.sleep_until(confirmed_at + CANCEL_S - LEASE_S - constants.RENEW_MARGIN_S - 1.5)
        assert len(simulation.running("run-s")) == 2, "as long as it is safe, leases are renewed"
        await trio.sleep_until(confirmed_at + 2 * CANCEL_S)
        assert simulation.running("run-c") == []
        simulation.net.drop_answers = lambda src, dst, request: False
        simulation.net.refused.clear()
        simulation.store.end_outage()
        simulation.store.refused.clear()
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 60)

    run_scenario(scenario)


def test_all_controllers_lose_their_memory_in_the_outage() -> None:
    """Three blind processes can't know what their predecessors confirmed, so they renew no lease at all: the
    cancellation may be older than the time that leases could still be renewed in."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old = await two_services(simulation, "run-c")
        simulation.store.refused.add(old)
        drop_watch_answers(simulation)
        await cancel_at(simulation, others(old)[0], "run-c")
        simulation.store.begin_outage()
        simulation.net.drop_answers = lambda src, dst, request: False
        simulation.kill_all()
        await trio.sleep(4)
        simulation.start_all()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == []
        simulation.store.end_outage()
        simulation.store.refused.clear()
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 40)

    run_scenario(scenario)


def test_all_controllers_are_new_and_read_the_records_just_before_the_outage() -> None:
    """None of them learnt of the cancellation, as they only read what is live: what is not live has to go."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old = await two_services(simulation, "run-c")
        simulation.kill(old)
        await cancel_at(simulation, others(old)[0], "run-c")
        for label in others(old):
            simulation.kill(label)
        await trio.sleep(0.2)
        simulation.start_all()
        await simulation.until(lambda: all(node.watch_cache.loaded for node in simulation.controllers.values()), 3)
        assert simulation.leader() is None and len(simulation.running("run-c")) == 2
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == [] and len(simulation.running("run-s")) == 2

    run_scenario(scenario)


@pytest.mark.parametrize("confirms_old", [True, False])
def test_a_confirmed_cancellation_holds_with_a_controller_of_the_former_version(confirms_old: bool) -> None:
    """It names no cancellations, so the bound is what our own view and new peers prove. A leader of that version renews
    without any bound; that can't be helped."""

    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await two_services(simulation, "run-c")
        first, second = others(leader)
        simulation.kill(first)
        simulation.start(first, production_version=True)
        await trio.sleep(60)
        assert await simulation.until_leader() == leader
        # The former version goes on renewing, so the workers only reach the refused leader.
        workers_reach_only(simulation, leader)
        simulation.store.refused.add(leader)
        drop_watch_answers(simulation)
        await trio.sleep(0.3)
        await cancel_at(simulation, first if confirms_old else second, "run-c")
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == []
        simulation.net.refused.clear()
        simulation.net.drop_answers = lambda src, dst, request: False
        simulation.store.end_outage()
        simulation.store.refused.clear()
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 60)

    run_scenario(scenario)


def test_a_cancellation_whose_answer_was_lost_is_confirmed_from_a_later_read() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old = await two_services(simulation, "run-c")
        simulation.store.refused.add(old)
        first, second = others(old)
        lost: list[str] = []

        def drop(src: str, dst: str, request: Request) -> bool:
            hit = src == first and dst == "store" and request.path == "/multi" and b"cancelled" in request.body
            if hit:
                lost.append(src)
            return hit

        simulation.net.drop_answers = drop
        assert (await simulation.ask(first, "POST", "/v2/runs/run-c/cancel"))[0] == 503
        assert lost
        assert (await simulation.poll("run-c", second))[1]["phase"] == "cancelled"
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == [] and len(simulation.running("run-s")) == 2

    run_scenario(scenario)


def test_the_old_leader_goes_on_with_its_term_after_the_outage() -> None:
    """It is valid at its next lease renewal, on a watch cache that may be a minute old."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old = await two_services(simulation, "run-c")
        term = simulation.controllers[old].elector.term
        simulation.store.refused.add(old)
        await cancel_at(simulation, others(old)[0], "run-c")
        simulation.store.begin_outage()
        await trio.sleep(8)
        # Its watches hang on, though it is served again.
        node = simulation.controllers[old]
        simulation.net.hold_request = lambda src, dst, request: src == old and request.path == "/follow"
        simulation.store.refused.clear()
        simulation.store.end_outage()
        await simulation.until(node.elector.valid, 10)
        assert node.elector.term == term
        await trio.sleep(2 * CANCEL_S)
        simulation.net.hold_request = lambda src, dst, request: False
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 60)
        assert simulation.running("run-c") == []

    run_scenario(scenario)


def test_more_cancellations_than_one_answer_may_name(monkeypatch: pytest.MonkeyPatch) -> None:
    """The list is left out then, not cut: no answer counts as one that names all."""
    monkeypatch.setattr(constants, "CANCELLED_NAMED", 3)

    async def scenario(simulation: SimulatedCluster) -> None:
        names = [f"run-c{i}" for i in range(5)]
        old = await two_services(simulation, *names)
        simulation.store.refused.add(old)
        await trio.sleep(0.2)
        for job_id in names:
            await cancel_at(simulation, others(old)[0], job_id)
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert not any(simulation.running(job_id) for job_id in names)

    run_scenario(scenario)


def test_a_machine_hangs_with_the_stop_command_in_flight() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old = await two_services(simulation, "run-c")
        simulation.store.refused.add(old)
        await cancel_at(simulation, others(old)[0], "run-c")
        simulation.store.begin_outage()
        for _, name in simulation.running("run-c"):
            simulation.workers[name].hung = True
        await trio.sleep(9)
        for worker in simulation.workers.values():
            worker.hung = False
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == []

    run_scenario(scenario)


def test_a_damaged_list_of_a_peer_proves_nothing() -> None:
    """It must never be taken for 'nothing was cancelled'."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old = await two_services(simulation, "run-c")
        simulation.store.refused.add(old)
        for label in others(old):
            tell_all = simulation.controllers[label].cancellations.answer_peer
            damaged = [{"cancelled": None}, {"cancelled": [7], "back": 1e9}, {"cancelled": [], "back": "x"}, [], None]

            def lie(asked: dict[str, object], now: float, tell_all=tell_all, damaged=damaged) -> object:  # type: ignore[no-untyped-def]
                tell_all(asked, now)
                return damaged[int(now * 10) % len(damaged)]

            simulation.controllers[label].cancellations.answer_peer = lie  # type: ignore[method-assign, assignment]
        await trio.sleep(0.2)
        await cancel_at(simulation, others(old)[0], "run-c")
        simulation.store.begin_outage()
        workers_reach_only(simulation, old)
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == []

    run_scenario(scenario)
