"""A controller that stands still for seconds while its clocks run on, at each point of the path of an action."""

from collections.abc import Callable

import pytest
import trio
import trio.testing

from sorrelsill.http import Request
from sorrelsill.leadership import Watchdog
from tests.simulation import SimulatedCluster, job, run_scenario
from tests.simulation.users import LABELS

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


def freeze_once(
    simulation: SimulatedCluster, label: str, matches: Matches, answered: bool, for_s: float
) -> list[float]:
    """Freeze a controller at its next request of a kind: decided and not yet written, or written and not yet answered.
    Returns a list that holds the moment once it has come."""
    moments: list[float] = []

    def hook(src: str, dst: str, request: Request) -> None:
        if src == label and not moments and matches(request):
            moments.append(trio.current_time())
            simulation.freeze(label, for_s)

    if answered:
        check = simulation.net.on_sent

        def after(src: str, dst: str, request: Request) -> None:
            check(src, dst, request)
            hook(src, dst, request)

        simulation.net.on_sent = after
    else:
        simulation.net.on_connected = hook
    return moments


@pytest.mark.parametrize("for_s", [SHORT_S, FROZEN_S])
@pytest.mark.parametrize("answered", [False, True], ids=["decided", "sent"])
@pytest.mark.parametrize("action", list(ACTIONS))
def test_a_leader_paused_in_the_middle_of_an_action_does_nothing_on_its_stale_leadership(
    action: str, answered: bool, for_s: float
) -> None:
    """The simulated cluster checks that commands, rentals and returns come from a valid leader only."""

    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await simulation.until_leader()
        await simulation.run_service("run-s", shards=4)
        await simulation.submit(job("run-gone", shards=6, vcpus=4.0, expectedRunS=4.0))
        await simulation.until_phase("run-gone", "done")
        assert simulation.leader() == leader
        before = len(simulation.leader_terms)
        moments = freeze_once(simulation, leader, ACTIONS[action], answered, for_s)
        await simulation.submit(job("run-a", shards=12, vcpus=4.0, expectedRunS=6.0))
        await simulation.until(lambda: bool(moments), 60)
        await simulation.until(lambda: not simulation.controllers[leader].elector.valid(), 10)
        await simulation.submit(job("run-b", shards=4))
        await simulation.cancel("run-a")
        await simulation.until(lambda: not simulation.frozen(leader), 20)
        await trio.sleep(10)
        assert len(simulation.leader_terms) <= before + 1, "one handover at most for one freeze"
        assert len(simulation.running("run-s")) == 4
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_a_command_decided_within_the_validity_is_not_written_after_it() -> None:
    """The freeze alone is shorter than any time-out; lease renewals had failed for a while before it."""

    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await simulation.until_leader()
        simulation.cloud.capacity = 2
        await simulation.submit(job("run-a", shards=120, vcpus=2.0, expectedRunS=1.0, sizeGb=0.0))
        await simulation.until(lambda: len(simulation.finished) > 8)
        elector = simulation.controllers[leader].elector
        moments = freeze_once(
            simulation,
            leader,
            lambda r: r.path == "/commands" and trio.current_time() - elector.last_renewal_sent_at > 1.2,
            False,
            1.9,
        )
        simulation.store.refused.add(leader)
        await simulation.until(lambda: bool(moments), 10)
        await simulation.until(lambda: not simulation.frozen(leader), 5)
        simulation.store.refused.clear()
        await simulation.until_phase("run-a", "done", 200)

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/follow", "/kv", "/multi"])
def test_a_paused_controller_answers_nobody_from_its_stale_watch_cache(path: str) -> None:
    """Users of a frozen controller wait; other controllers answered meanwhile that the jobs are over."""

    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await simulation.until_leader()
        other, third = (label for label in LABELS if label != leader)
        job_ids = [f"run-{number}" for number in range(4)]
        for job_id in job_ids:
            await simulation.submit(job(job_id, shards=1, vcpus=1.0, expectedRunS=60.0, sizeGb=0.0))
        await trio.sleep(2)
        frozen: list[float] = []

        def hook(src: str, dst: str, request: Request) -> None:
            if src == other and dst == "store" and request.path.startswith(path) and not frozen:
                frozen.append(trio.current_time())
                simulation.freeze(other, 3.0)

        simulation.net.on_sent = hook
        async with trio.open_nursery() as nursery:
            for job_id in [*job_ids, "run-new"]:
                nursery.start_soon(simulation.ask, other, "GET", f"/v2/runs/{job_id}")
            simulation.specs["run-new"] = job("run-new", shards=1, expectedRunS=60.0)
            nursery.start_soon(simulation.ask, other, "POST", "/v2/runs", simulation.specs["run-new"])
            nursery.start_soon(simulation.ask, other, "POST", "/v2/runs", simulation.specs[job_ids[0]])
            await simulation.until(lambda: bool(frozen), 10)
            for job_id in job_ids:
                answer = (await simulation.ask(third, "POST", f"/v2/runs/{job_id}/cancel"))[1]
                assert answer["phase"] == "cancelled"
            await simulation.ask(third, "POST", "/v2/runs", simulation.specs["run-new"])
            assert simulation.frozen(other)

    run_scenario(scenario)


def test_a_resumed_follower_does_not_redirect_workers_to_a_leader_that_has_ended() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old = await simulation.until_leader()
        follower = next(label for label in LABELS if label != old)
        frozen_at = trio.current_time()
        simulation.freeze(follower, 12.0)
        simulation.kill(old)
        await simulation.until(lambda: simulation.leader() not in (None, old), 20)
        await trio.sleep(9.0 - (trio.current_time() - frozen_at))
        answers: list[tuple[int, dict[str, str]]] = []

        async def report() -> None:
            body = {"host": "m", "tenure": 1, "serial": 1}
            answers.append(await simulation.ask(follower, "POST", "/hello", body))

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(report)
        assert [status for status, _ in answers] == [421] * 4
        assert all(answer.get("upstream") != old for _, answer in answers)

    run_scenario(scenario)


def test_a_process_that_was_paused_does_not_take_its_loops_for_stalled() -> None:
    """It yields because its lease has ended, not because loops that could not run are taken for stalled."""

    async def main() -> None:
        watchdog = Watchdog(10.0, 10.0)
        watchdog.record_heartbeat("place")
        await trio.sleep(30)
        assert not watchdog.stalled_loops()
        for _ in range(25):
            await trio.sleep(1)
            watchdog.stalled_loops()
        assert watchdog.stalled_loops() == ["place"]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("seed", range(6))
def test_the_controller_before_a_dead_leader_lets_the_others_lead(seed: int) -> None:
    """Workers try the controllers in order, up to 5 s each. With the dead one right after a leader that freezes, they
    would need most of their lease to reach the third one."""

    async def scenario(simulation: SimulatedCluster) -> None:
        dead = await simulation.until_leader()
        await simulation.run_service("run-s", shards=4)
        before = len(simulation.starts)
        simulation.kill(dead)
        for worker in simulation.workers:
            simulation.net.cut(worker, dead)  # as a machine that is off: nothing refuses the connection
        simulation.net.down.discard(dead)
        await simulation.until(lambda: simulation.leader() not in (None, dead), 15)
        second = await simulation.until_leader()
        assert LABELS[(LABELS.index(second) + 1) % len(LABELS)] != dead
        await trio.sleep(5)
        simulation.freeze(second, 25.0)
        await trio.sleep(30)
        assert len(simulation.running("run-s")) == 4
        assert len(simulation.starts) == before, "no lease ran out"

    run_scenario(scenario, seed=seed)
