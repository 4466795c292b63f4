"""The state service refuses the leader alone, another controller confirms cancellations, then the service is out for
all for longer than `cancel_s`, and the workers report to whoever answers. The stand-ins check that no cancelled task is
on a machine for longer than that after the confirmation; each story says what else has to hold."""

import pytest
import trio

from sorrelsill import constants as C
from sorrelsill.http import Request
from tests.simulation import World, job, story
from tests.simulation.world import CANCEL_S, LABELS, LEASE_S


def service(job_id: str, **fields: object) -> dict[str, object]:
    return job(job_id, **{"shape": "standing", "expectedRunS": 0.0, **fields})


async def two_services(world: World, *cancelled: str) -> str:
    """`run-s`, which stays, and those to be cancelled. Returns the leader."""
    for job_id in ("run-s", *cancelled):
        await world.submit(service(job_id, vcpus=1.0))
    await world.until(lambda: all(len(world.running(job_id)) == 2 for job_id in ("run-s", *cancelled)))
    return await world.until_leader()


def others(leader: str) -> list[str]:
    return [label for label in LABELS if label != leader]


def no_watch_is_answered(world: World) -> None:
    """What is committed from now on reaches no other controller's view."""
    world.net.drop_answers = lambda src, dst, request: dst == "store" and request.path == "/follow"


def workers_reach_only(world: World, label: str) -> None:
    world.net.refused = {(name, other) for name in world.workers for other in others(label)}


async def cancel_at(world: World, label: str, job_id: str) -> None:
    status, answer = await world.ask(label, "POST", f"/v2/runs/{job_id}/cancel")
    assert status == 200 and answer["phase"] == "cancelled"


def test_what_another_controller_cancelled_goes_while_the_old_leader_renews_leases() -> None:
    """The gap: the old leader has followed nothing since it was refused, and went on renewing."""

    async def tell(world: World) -> None:
        old = await two_services(world, "run-c")
        world.store.refused.add(old)
        await trio.sleep(0.5)
        await cancel_at(world, others(old)[0], "run-c")
        await trio.sleep(1)
        world.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert world.running("run-c") == []
        assert len(world.running("run-s")) == 2, "what was not cancelled lives through the whole outage"
        world.store.end_outage()
        world.store.refused.clear()
        await world.until_leader()
        await trio.sleep(5)
        assert len(world.running("run-s")) == 2 and (await world.poll("run-c"))[1]["phase"] == "cancelled"

    story(tell)


@pytest.mark.parametrize("pause_s", [0.0, 0.02, 0.3])
def test_the_outage_begins_within_the_same_second(pause_s: float) -> None:
    async def tell(world: World) -> None:
        old = await two_services(world, "run-c")
        world.store.refused.add(old)
        no_watch_is_answered(world)
        await cancel_at(world, others(old)[0], "run-c")
        await trio.sleep(pause_s)
        world.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert world.running("run-c") == [] and len(world.running("run-s")) == 2

    story(tell)


@pytest.mark.parametrize("reached", ["the old leader", "the one that died", "the third"])
@pytest.mark.parametrize("away_s", [0.2, 4.0])
def test_the_confirming_controller_dies_right_after_its_answer(away_s: float, reached: str) -> None:
    """Nobody else knows then. So leases are renewed only as long as what it told still goes in time without a halt."""

    async def tell(world: World) -> None:
        old = await two_services(world, "run-c")
        await trio.sleep(CANCEL_S + 5)  # all have followed for long enough to know what a blind process lacks
        world.store.refused.add(old)
        other, third = others(old)
        no_watch_is_answered(world)
        await cancel_at(world, other, "run-c")
        world.store.begin_outage()
        world.kill(other)
        told = trio.current_time()
        await trio.sleep(away_s)
        world.start(other)
        workers_reach_only(world, {"the old leader": old, "the one that died": other, "the third": third}[reached])
        await trio.sleep_until(told + CANCEL_S - LEASE_S - C.RENEW_MARGIN_S - 1.5)
        assert len(world.running("run-s")) == 2, "as long as it is safe, leases are renewed"
        await trio.sleep_until(told + 2 * CANCEL_S)
        assert world.running("run-c") == []
        world.net.drop_answers = lambda src, dst, request: False
        world.net.refused.clear()
        world.store.end_outage()
        world.store.refused.clear()
        await world.until(lambda: len(world.running("run-s")) == 2, 60)

    story(tell)


def test_all_controllers_lose_their_memory_in_the_outage() -> None:
    """Three blind processes can't know what their predecessors told, so they renew no lease at all: the cancellation
    may be older than the time that leases could still be renewed in."""

    async def tell(world: World) -> None:
        old = await two_services(world, "run-c")
        world.store.refused.add(old)
        no_watch_is_answered(world)
        await cancel_at(world, others(old)[0], "run-c")
        world.store.begin_outage()
        world.net.drop_answers = lambda src, dst, request: False
        for label in LABELS:
            world.kill(label)
        await trio.sleep(4)
        for label in LABELS:
            world.start(label)
        await trio.sleep(2 * CANCEL_S)
        assert world.running("run-c") == []
        world.store.end_outage()
        world.store.refused.clear()
        await world.until(lambda: len(world.running("run-s")) == 2, 40)

    story(tell)


def test_all_controllers_are_new_and_read_the_records_just_before_the_outage() -> None:
    """None of them learnt of the cancellation, as they only read what is live: what is not live has to go."""

    async def tell(world: World) -> None:
        old = await two_services(world, "run-c")
        world.kill(old)
        await cancel_at(world, others(old)[0], "run-c")
        for label in others(old):
            world.kill(label)
        await trio.sleep(0.2)
        for label in LABELS:
            world.start(label)
        await world.until(lambda: all(node.view.loaded for node in world.nodes.values()), 3)
        assert world.leader() is None and len(world.running("run-c")) == 2
        world.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert world.running("run-c") == [] and len(world.running("run-s")) == 2

    story(tell)


@pytest.mark.parametrize("confirms_old", [True, False])
def test_the_gap_with_a_controller_of_the_former_version(confirms_old: bool) -> None:
    """It names no cancellations, so the bound is what our own view and new peers prove. A leader of that version renews
    without any bound; that can't be helped."""

    async def tell(world: World) -> None:
        leader = await two_services(world, "run-c")
        first, second = others(leader)
        world.kill(first)
        world.start(first, old=True)
        await trio.sleep(60)
        assert await world.until_leader() == leader
        # The former version goes on renewing, so the workers only reach the refused leader.
        workers_reach_only(world, leader)
        world.store.refused.add(leader)
        no_watch_is_answered(world)
        await trio.sleep(0.3)
        await cancel_at(world, first if confirms_old else second, "run-c")
        world.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert world.running("run-c") == []
        world.net.refused.clear()
        world.net.drop_answers = lambda src, dst, request: False
        world.store.end_outage()
        world.store.refused.clear()
        await world.until(lambda: len(world.running("run-s")) == 2, 60)

    story(tell)


def test_a_cancellation_whose_answer_was_lost_and_that_is_told_out_of_a_later_read() -> None:
    async def tell(world: World) -> None:
        old = await two_services(world, "run-c")
        world.store.refused.add(old)
        first, second = others(old)
        lost: list[str] = []

        def drop(src: str, dst: str, request: Request) -> bool:
            hit = src == first and dst == "store" and request.path == "/multi" and b"cancelled" in request.body
            if hit:
                lost.append(src)
            return hit

        world.net.drop_answers = drop
        assert (await world.ask(first, "POST", "/v2/runs/run-c/cancel"))[0] == 503
        assert lost
        assert (await world.poll("run-c", second))[1]["phase"] == "cancelled"
        world.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert world.running("run-c") == [] and len(world.running("run-s")) == 2

    story(tell)


def test_the_old_leader_goes_on_with_its_term_after_the_outage() -> None:
    """It is valid at its next ping, on a view that may be a minute old."""

    async def tell(world: World) -> None:
        old = await two_services(world, "run-c")
        term = world.nodes[old].elector.term
        world.store.refused.add(old)
        await cancel_at(world, others(old)[0], "run-c")
        world.store.begin_outage()
        await trio.sleep(8)
        # Its watches hang on, though it is served again.
        node = world.nodes[old]
        world.net.hold_request = lambda src, dst, request: src == old and request.path == "/follow"
        world.store.refused.clear()
        world.store.end_outage()
        await world.until(lambda: node.elector.valid(), 10)
        assert node.elector.term == term
        await trio.sleep(2 * CANCEL_S)
        world.net.hold_request = lambda src, dst, request: False
        await world.until(lambda: len(world.running("run-s")) == 2, 60)
        assert world.running("run-c") == []

    story(tell)


def test_more_cancellations_than_one_answer_may_name(monkeypatch: pytest.MonkeyPatch) -> None:
    """The list is left out then, not cut: no answer counts as one that names all."""
    monkeypatch.setattr(C, "CANCELLED_NAMED", 3)

    async def tell(world: World) -> None:
        names = [f"run-c{i}" for i in range(5)]
        old = await two_services(world, *names)
        world.store.refused.add(old)
        await trio.sleep(0.2)
        for job_id in names:
            await cancel_at(world, others(old)[0], job_id)
        world.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert not any(world.running(job_id) for job_id in names)

    story(tell)


def test_a_machine_hangs_with_the_halt_in_flight() -> None:
    async def tell(world: World) -> None:
        old = await two_services(world, "run-c")
        world.store.refused.add(old)
        await cancel_at(world, others(old)[0], "run-c")
        world.store.begin_outage()
        for _, name in world.running("run-c"):
            world.workers[name].hung = True
        await trio.sleep(9)
        for worker in world.workers.values():
            worker.hung = False
        await trio.sleep(2 * CANCEL_S)
        assert world.running("run-c") == []

    story(tell)


def test_a_damaged_list_of_a_peer_proves_nothing() -> None:
    """It must never be taken for 'nothing was cancelled'."""

    async def tell(world: World) -> None:
        old = await two_services(world, "run-c")
        world.store.refused.add(old)
        for label in others(old):
            tell_all = world.nodes[label].cancellations.tell
            damaged = [{"cancelled": None}, {"cancelled": [7], "back": 1e9}, {"cancelled": [], "back": "x"}, [], None]

            def lie(asked: dict[str, object], now: float, tell_all=tell_all, damaged=damaged) -> object:  # type: ignore[no-untyped-def]
                tell_all(asked, now)
                return damaged[int(now * 10) % len(damaged)]

            world.nodes[label].cancellations.tell = lie  # type: ignore[method-assign, assignment]
        await trio.sleep(0.2)
        await cancel_at(world, others(old)[0], "run-c")
        world.store.begin_outage()
        workers_reach_only(world, old)
        await trio.sleep(2 * CANCEL_S)
        assert world.running("run-c") == []

    story(tell)
