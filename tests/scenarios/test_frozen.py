"""A controller that stands still for seconds while its clocks run on, at each point of the path of an action."""

from collections.abc import Callable

import pytest
import trio
import trio.testing

from sorrelsill.http import Request
from sorrelsill.leadership.elector import Watchdog
from tests.simulation import World, job, story
from tests.simulation.world import LABELS

from .test_failures import service

FROZEN_S = 9.0  # longer than the leader's lease, shorter than the workers'
SHORT_S = 3.9  # longer than the leader's validity, shorter than its lease and than a call to the cloud may take
Matches = Callable[[Request], bool]

ACTIONS: dict[str, Matches] = {
    "a command to a worker": lambda r: r.path == "/commands",
    "a rental": lambda r: r.path == "/rentals" and r.method == "POST",
    "a return": lambda r: r.path == "/rentals/return",
    "the machine list": lambda r: r.path == "/rentals" and r.method == "GET",
    "a record": lambda r: r.path == "/multi",
    "a ping": lambda r: r.path.endswith("/renew"),
    "a watch": lambda r: r.path == "/follow",
}


def freeze_once(world: World, label: str, matches: Matches, answered: bool, for_s: float) -> list[float]:
    """Freeze a controller at its next request of a kind: decided and not yet written, or written and not yet answered.
    Returns a list that holds the moment once it has come."""
    moments: list[float] = []

    def hook(src: str, dst: str, request: Request) -> None:
        if src == label and not moments and matches(request):
            moments.append(trio.current_time())
            world.freeze(label, for_s)

    if answered:
        check = world.net.sent

        def after(src: str, dst: str, request: Request) -> None:
            check(src, dst, request)
            hook(src, dst, request)

        world.net.sent = after
    else:
        world.net.on_connected = hook
    return moments


@pytest.mark.parametrize("for_s", [SHORT_S, FROZEN_S])
@pytest.mark.parametrize("answered", [False, True], ids=["decided", "sent"])
@pytest.mark.parametrize("action", list(ACTIONS))
def test_a_leader_frozen_in_the_middle_of_an_action_does_nothing_on_its_old_belief(
    action: str, answered: bool, for_s: float
) -> None:
    """The simulated cluster checks that commands, rentals and returns come from a valid leader only."""

    async def tell(world: World) -> None:
        leader = await world.until_leader()
        await world.submit(service("run-s", shards=4))
        await world.until(lambda: len(world.running("run-s")) == 4)
        await world.submit(job("run-gone", shards=6, vcpus=4.0, expectedRunS=4.0))
        await world.until_phase("run-gone", "done")
        assert world.leader() == leader
        before = len(world.led)
        moments = freeze_once(world, leader, ACTIONS[action], answered, for_s)
        await world.submit(job("run-a", shards=12, vcpus=4.0, expectedRunS=6.0))
        await world.until(lambda: bool(moments), 60)
        await world.until(lambda: not world.nodes[leader].elector.valid(), 10)
        await world.submit(job("run-b", shards=4))
        await world.cancel("run-a")
        await world.until(lambda: not world.frozen(leader), 20)
        await trio.sleep(10)
        assert len(world.led) <= before + 1, "one handover at most for one freeze"
        assert len(world.running("run-s")) == 4
        await world.calm()

    story(tell)


def test_a_command_decided_within_the_validity_is_not_written_after_it() -> None:
    """The freeze alone is shorter than any time-out; pings had failed for a while before it."""

    async def tell(world: World) -> None:
        leader = await world.until_leader()
        world.cloud.capacity = 2
        await world.submit(job("run-a", shards=120, vcpus=2.0, expectedRunS=1.0, sizeGb=0.0))
        await world.until(lambda: len(world.finished) > 8)
        elector = world.nodes[leader].elector
        moments = freeze_once(
            world,
            leader,
            lambda r: r.path == "/commands" and trio.current_time() - elector._good_ping > 1.2,
            False,
            1.9,
        )
        world.store.refused.add(leader)
        await world.until(lambda: bool(moments), 10)
        await world.until(lambda: not world.frozen(leader), 5)
        world.store.refused.clear()
        await world.until_phase("run-a", "done", 200)

    story(tell)


@pytest.mark.parametrize("path", ["/follow", "/kv", "/multi"])
def test_a_frozen_controller_answers_nobody_out_of_its_old_view(path: str) -> None:
    """Users of a frozen controller wait; others told them meanwhile that the jobs are over."""

    async def tell(world: World) -> None:
        leader = await world.until_leader()
        other, third = (label for label in LABELS if label != leader)
        job_ids = [f"run-{number}" for number in range(4)]
        for job_id in job_ids:
            await world.submit(job(job_id, shards=1, vcpus=1.0, expectedRunS=60.0, sizeGb=0.0))
        await trio.sleep(2)
        frozen: list[float] = []

        def hook(src: str, dst: str, request: Request) -> None:
            if src == other and dst == "store" and request.path.startswith(path) and not frozen:
                frozen.append(trio.current_time())
                world.freeze(other, 3.0)

        world.net.sent = hook
        async with trio.open_nursery() as nursery:
            for job_id in [*job_ids, "run-new"]:
                nursery.start_soon(world.ask, other, "GET", f"/v2/runs/{job_id}")
            world.specs["run-new"] = job("run-new", shards=1, expectedRunS=60.0)
            nursery.start_soon(world.ask, other, "POST", "/v2/runs", world.specs["run-new"])
            nursery.start_soon(world.ask, other, "POST", "/v2/runs", world.specs[job_ids[0]])
            await world.until(lambda: bool(frozen), 10)
            for job_id in job_ids:
                answer = (await world.ask(third, "POST", f"/v2/runs/{job_id}/cancel"))[1]
                assert answer["phase"] == "cancelled"
            await world.ask(third, "POST", "/v2/runs", world.specs["run-new"])
            assert world.frozen(other)

    story(tell)


def test_a_woken_follower_does_not_send_workers_to_a_leader_that_has_ended() -> None:
    async def tell(world: World) -> None:
        old = await world.until_leader()
        follower = next(label for label in LABELS if label != old)
        frozen_at = trio.current_time()
        world.freeze(follower, 12.0)
        world.kill(old)
        await world.until(lambda: world.leader() not in (None, old), 20)
        await trio.sleep(9.0 - (trio.current_time() - frozen_at))
        answers: list[tuple[int, dict[str, str]]] = []

        async def report() -> None:
            body = {"host": "m", "tenure": 1, "serial": 1}
            answers.append(await world.ask(follower, "POST", "/hello", body))

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(report)
        assert [status for status, _ in answers] == [421] * 4
        assert all(answer.get("upstream") != old for _, answer in answers)

    story(tell)


def test_a_process_that_stood_still_does_not_blame_its_loops() -> None:
    """It yields because its lease has ended, not because loops that could not run are taken for stalled."""

    async def main() -> None:
        watchdog = Watchdog(10.0, 10.0)
        watchdog.beat("place")
        await trio.sleep(30)
        assert not watchdog.out()
        for _ in range(25):
            await trio.sleep(1)
            watchdog.out()
        assert watchdog.out() == ["place"]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("seed", range(6))
def test_the_controller_before_a_dead_leader_lets_the_others_lead(seed: int) -> None:
    """Workers try the controllers in order, up to 5 s each. With the dead one right after a leader that freezes, they
    would need most of their lease to reach the third one."""

    async def tell(world: World) -> None:
        dead = await world.until_leader()
        await world.submit(service("run-s", shards=4))
        await world.until(lambda: len(world.running("run-s")) == 4)
        before = len(world.starts)
        world.kill(dead)
        for worker in world.workers:
            world.net.cut(worker, dead)  # as a machine that is off: nothing refuses the connection
        world.net.down.discard(dead)
        await world.until(lambda: world.leader() not in (None, dead), 15)
        second = await world.until_leader()
        assert LABELS[(LABELS.index(second) + 1) % len(LABELS)] != dead
        await trio.sleep(5)
        world.freeze(second, 25.0)
        await trio.sleep(30)
        assert len(world.running("run-s")) == 4
        assert len(world.starts) == before, "no lease ran out"

    story(tell, seed=seed)
