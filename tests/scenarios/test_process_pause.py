"""Controllers that are paused for seconds while their clocks run on, at each step of an action."""

from collections.abc import Callable

import pytest
import trio
import trio.testing

from sorrelsill.http import Request
from sorrelsill.leadership import Watchdog
from tests.simulation import SimulatedCluster, job, run_scenario
from tests.simulation.users import LABELS

LONG_PAUSE_S = 9.0  # longer than the leader's lease, shorter than the workers' leases
SHORT_PAUSE_S = 3.9  # longer than the leader's validity, shorter than its lease and than the timeout of a cloud call
RequestFilter = Callable[[Request], bool]

ACTIONS: dict[str, RequestFilter] = {
    "a command to a worker": lambda r: r.path == "/commands",
    "a rental": lambda r: r.path == "/rentals" and r.method == "POST",
    "a return": lambda r: r.path == "/rentals/return",
    "the machine list": lambda r: r.path == "/rentals" and r.method == "GET",
    "a record": lambda r: r.path == "/multi",
    "a ping": lambda r: r.path.endswith("/renew"),
    "a watch": lambda r: r.path == "/follow",
}


def freeze_once(
    simulation: SimulatedCluster, label: str, matches: RequestFilter, after_sending: bool, pause_s: float
) -> list[float]:
    """Pauses a controller at its next matching request: before the request is sent, or after it was sent and before
    its answer arrives. Returns a list that receives the time of the pause."""
    paused_at: list[float] = []

    def freeze_on_match(src: str, dst: str, request: Request) -> None:
        if src == label and not paused_at and matches(request):
            paused_at.append(trio.current_time())
            simulation.freeze(label, pause_s)

    if after_sending:
        check_sent = simulation.net.on_sent

        def check_and_freeze(src: str, dst: str, request: Request) -> None:
            check_sent(src, dst, request)
            freeze_on_match(src, dst, request)

        simulation.net.on_sent = check_and_freeze
    else:
        simulation.net.on_connected = freeze_on_match
    return paused_at


@pytest.mark.parametrize("pause_s", [SHORT_PAUSE_S, LONG_PAUSE_S])
@pytest.mark.parametrize("after_sending", [False, True], ids=["decided", "sent"])
@pytest.mark.parametrize("action", list(ACTIONS))
def test_leader_paused_during_an_action_does_not_act_after_its_validity(
    action: str, after_sending: bool, pause_s: float
) -> None:
    """The simulated cluster checks that commands, rentals and returns come from a valid leader only."""

    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await simulation.until_leader()
        await simulation.run_service("run-s", shards=4)
        await simulation.submit(job("run-gone", shards=6, vcpus=4.0, expectedRunS=4.0))
        await simulation.until_phase("run-gone", "done")
        assert simulation.leader() == leader
        terms_before = len(simulation.leader_terms)
        paused_at = freeze_once(simulation, leader, ACTIONS[action], after_sending, pause_s)
        await simulation.submit(job("run-a", shards=12, vcpus=4.0, expectedRunS=6.0))
        await simulation.until(lambda: bool(paused_at), 60)
        await simulation.until(lambda: not simulation.controllers[leader].elector.valid(), 10)
        await simulation.submit(job("run-b", shards=4))
        await simulation.cancel("run-a")
        await simulation.until(lambda: not simulation.frozen(leader), 20)
        await trio.sleep(10)
        assert len(simulation.leader_terms) <= terms_before + 1, "one pause causes one handover at most"
        assert len(simulation.running("run-s")) == 4
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_command_is_not_sent_after_the_leader_validity_ends() -> None:
    """The pause alone is shorter than any timeout, but lease renewals have failed for a while before it."""

    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await simulation.until_leader()
        simulation.cloud.capacity = 2
        await simulation.submit(job("run-a", shards=120, vcpus=2.0, expectedRunS=1.0, sizeGb=0.0))
        await simulation.until(lambda: len(simulation.finished) > 8)
        elector = simulation.controllers[leader].elector
        paused_at = freeze_once(
            simulation,
            leader,
            lambda r: r.path == "/commands" and trio.current_time() - elector.last_renewal_sent_at > 1.2,
            False,
            1.9,
        )
        simulation.store.unavailable_to.add(leader)
        await simulation.until(lambda: trio.current_time() - elector.last_renewal_sent_at > 1.2, 5)
        cluster = simulation.cluster_state(leader)
        for attempt in list(cluster.jobs["run-a"].bound.values()):
            cluster.stop(attempt, "moved")  # the stops are sent in direct calls
        await simulation.until(lambda: bool(paused_at), 10)
        await simulation.until(lambda: not simulation.frozen(leader), 5)
        simulation.store.unavailable_to.clear()
        await simulation.until_phase("run-a", "done", 200)

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/follow", "/kv", "/multi"])
def test_paused_controller_does_not_answer_from_its_stale_watch_cache(path: str) -> None:
    """Requests wait at the paused controller while other controllers confirm that the jobs are cancelled."""

    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await simulation.until_leader()
        other, third = (label for label in LABELS if label != leader)
        job_ids = [f"run-{number}" for number in range(4)]
        for job_id in job_ids:
            await simulation.submit(job(job_id, shards=1, vcpus=1.0, expectedRunS=60.0, sizeGb=0.0))
        await trio.sleep(2)
        frozen: list[float] = []

        def freeze_on_match(src: str, dst: str, request: Request) -> None:
            if src == other and dst == "store" and request.path.startswith(path) and not frozen:
                frozen.append(trio.current_time())
                simulation.freeze(other, 3.0)

        simulation.net.on_sent = freeze_on_match
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


def test_resumed_follower_does_not_redirect_workers_to_a_dead_leader() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await simulation.until_leader()
        follower = next(label for label in LABELS if label != old_leader)
        paused_at = trio.current_time()
        simulation.freeze(follower, 12.0)
        simulation.kill(old_leader)
        await simulation.until(lambda: simulation.leader() not in (None, old_leader), 20)
        await trio.sleep(9.0 - (trio.current_time() - paused_at))
        answers: list[tuple[int, dict[str, str]]] = []

        async def send_heartbeat() -> None:
            body = {"host": "m", "tenure": 1, "serial": 1}
            answers.append(await simulation.ask(follower, "POST", "/hello", body))

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(send_heartbeat)
        assert [status for status, _ in answers] == [421] * 4
        assert all(answer.get("upstream") != old_leader for _, answer in answers)

    run_scenario(scenario)


def test_watchdog_does_not_report_stalled_loops_after_a_pause() -> None:
    """Time in which the process was paused doesn't count as a stall of its loops; the end of its lease makes it give
    up leadership."""

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
def test_controller_before_a_dead_leader_does_not_become_leader(seed: int) -> None:
    """Workers try the controllers in order, up to 5 s each. If the dead one follows the paused leader in that order,
    they need most of their lease to reach the third one."""

    async def scenario(simulation: SimulatedCluster) -> None:
        dead_leader = await simulation.until_leader()
        await simulation.run_service("run-s", shards=4)
        starts_before = len(simulation.starts)
        simulation.kill(dead_leader)
        for worker in simulation.workers:
            # Like a machine that is off: connections time out instead of being refused.
            simulation.net.cut(worker, dead_leader)
        simulation.net.down.discard(dead_leader)
        await simulation.until(lambda: simulation.leader() not in (None, dead_leader), 15)
        second_leader = await simulation.until_leader()
        assert LABELS[(LABELS.index(second_leader) + 1) % len(LABELS)] != dead_leader
        await trio.sleep(5)
        simulation.freeze(second_leader, 25.0)
        await trio.sleep(30)
        assert len(simulation.running("run-s")) == 4
        assert len(simulation.starts) == starts_before, "no worker's lease expired"

    run_scenario(scenario, seed=seed)
