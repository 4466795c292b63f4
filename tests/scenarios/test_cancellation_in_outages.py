"""Confirmed cancellations hold during outages of the key-value store.

The store is first unavailable to the leader alone, and another controller confirms cancellations. Then the store is
unavailable to all controllers for longer than `cancel_s`, and the workers send heartbeats to any controller that
answers. In every scenario the simulation checks that no cancelled task runs for longer than `cancel_s` after the
confirmation; each test states what else must hold."""

import pytest
import trio

from sorrelsill import constants
from sorrelsill.http import Request
from tests.simulation import SimulatedCluster, run_scenario, service
from tests.simulation.held_starts import other_controllers
from tests.simulation.rules import CANCEL_S, LEASE_S


async def start_services(simulation: SimulatedCluster, *to_cancel: str) -> str:
    """Starts `run-s`, which is never cancelled, and the given services. Returns the leader."""
    for job_id in ("run-s", *to_cancel):
        await simulation.submit(service(job_id, vcpus=1.0))
    await simulation.until(lambda: all(len(simulation.running(job_id)) == 2 for job_id in ("run-s", *to_cancel)))
    return await simulation.until_leader()


def drop_watch_responses(simulation: SimulatedCluster) -> None:
    """From now on watch responses are lost, so commits reach no other controller's watch cache."""
    simulation.net.drop_response = lambda src, dst, request: dst == "store" and request.path == "/follow"


def workers_reach_only(simulation: SimulatedCluster, label: str) -> None:
    simulation.net.refused = {(name, other) for name in simulation.workers for other in other_controllers(label)}


async def cancel_at(simulation: SimulatedCluster, label: str, job_id: str) -> None:
    status, answer = await simulation.ask(label, "POST", f"/v2/runs/{job_id}/cancel")
    assert status == 200 and answer["phase"] == "cancelled"


def test_cancelled_task_stops_while_refused_leader_renews_leases() -> None:
    """Guards against a leader that renews its workers' leases while the store is unavailable to it: it follows no
    changes, so it misses a cancellation that another controller confirmed."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await start_services(simulation, "run-c")
        simulation.store.unavailable_to.add(old_leader)
        await trio.sleep(0.5)
        await cancel_at(simulation, other_controllers(old_leader)[0], "run-c")
        await trio.sleep(1)
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == []
        assert len(simulation.running("run-s")) == 2, "services that were not cancelled run through the whole outage"
        simulation.store.end_outage()
        simulation.store.unavailable_to.clear()
        await simulation.until_leader()
        await trio.sleep(5)
        assert len(simulation.running("run-s")) == 2 and (await simulation.poll("run-c"))[1]["phase"] == "cancelled"

    run_scenario(scenario)


@pytest.mark.parametrize("pause_s", [0.0, 0.02, 0.3])
def test_cancelled_task_stops_when_outage_follows_at_once(pause_s: float) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await start_services(simulation, "run-c")
        simulation.store.unavailable_to.add(old_leader)
        drop_watch_responses(simulation)
        await cancel_at(simulation, other_controllers(old_leader)[0], "run-c")
        await trio.sleep(pause_s)
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == [] and len(simulation.running("run-s")) == 2

    run_scenario(scenario)


@pytest.mark.parametrize("reached_controller", ["the old leader", "the one that died", "the third"])
@pytest.mark.parametrize("restart_after_s", [0.2, 4.0])
def test_cancelled_task_stops_when_confirming_controller_crashes(
    restart_after_s: float, reached_controller: str
) -> None:
    """After the crash no controller knows of the cancellation. Leases may be renewed only as long as a cancelled task
    that gets no stop command still ends in time, through the expiry of its lease."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await start_services(simulation, "run-c")
        await trio.sleep(CANCEL_S + 5)  # watch caches have followed the store for longer than a cancelled task may run
        simulation.store.unavailable_to.add(old_leader)
        other, third = other_controllers(old_leader)
        drop_watch_responses(simulation)
        await cancel_at(simulation, other, "run-c")
        simulation.store.begin_outage()
        simulation.kill(other)
        confirmed_at = trio.current_time()
        await trio.sleep(restart_after_s)
        simulation.start(other)
        workers_reach_only(
            simulation,
            {"the old leader": old_leader, "the one that died": other, "the third": third}[reached_controller],
        )
        await trio.sleep_until(confirmed_at + CANCEL_S - LEASE_S - constants.RENEW_MARGIN_S - 1.5)
        assert len(simulation.running("run-s")) == 2, "leases are renewed as long as it is safe"
        await trio.sleep_until(confirmed_at + 2 * CANCEL_S)
        assert simulation.running("run-c") == []
        simulation.net.drop_response = lambda src, dst, request: False
        simulation.net.refused.clear()
        simulation.store.end_outage()
        simulation.store.unavailable_to.clear()
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 60)

    run_scenario(scenario)


def test_cancelled_task_stops_when_all_controllers_restart_in_outage() -> None:
    """Controllers restarted during an outage can't know which cancellations the previous processes confirmed. They must
    renew no lease, since a task cancelled earlier could then run for longer than `cancel_s`."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await start_services(simulation, "run-c")
        simulation.store.unavailable_to.add(old_leader)
        drop_watch_responses(simulation)
        await cancel_at(simulation, other_controllers(old_leader)[0], "run-c")
        simulation.store.begin_outage()
        simulation.net.drop_response = lambda src, dst, request: False
        simulation.kill_all()
        await trio.sleep(4)
        simulation.start_all()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == []
        simulation.store.end_outage()
        simulation.store.unavailable_to.clear()
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 40)

    run_scenario(scenario)


def test_cancelled_task_stops_when_new_controllers_load_records_before_outage() -> None:
    """New controllers load only the records of live jobs, so they never learn of the cancellation. They must stop tasks
    of jobs that are not live."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await start_services(simulation, "run-c")
        simulation.kill(old_leader)
        await cancel_at(simulation, other_controllers(old_leader)[0], "run-c")
        for label in other_controllers(old_leader):
            simulation.kill(label)
        await trio.sleep(0.2)
        simulation.start_all()
        await simulation.until(
            lambda: all(controller.watch_cache.loaded for controller in simulation.controllers.values()), 3
        )
        assert simulation.leader() is None and len(simulation.running("run-c")) == 2
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == [] and len(simulation.running("run-s")) == 2

    run_scenario(scenario)


@pytest.mark.parametrize("old_version_confirms", [True, False])
def test_cancelled_task_stops_with_controller_of_previous_version(old_version_confirms: bool) -> None:
    """A peer of the previous version lists no cancellations, so a controller must rely on its own watch cache and on
    peers of the current version to know all cancellations. A leader of the previous version renews leases without
    knowing them, which can't be fixed."""

    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await start_services(simulation, "run-c")
        first, second = other_controllers(leader)
        simulation.kill(first)
        simulation.start(first, production_version=True)
        await trio.sleep(60)
        assert await simulation.until_leader() == leader
        # A controller of the previous version would renew the leases, so the workers reach only the old leader.
        workers_reach_only(simulation, leader)
        simulation.store.unavailable_to.add(leader)
        drop_watch_responses(simulation)
        await trio.sleep(0.3)
        await cancel_at(simulation, first if old_version_confirms else second, "run-c")
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == []
        simulation.net.refused.clear()
        simulation.net.drop_response = lambda src, dst, request: False
        simulation.store.end_outage()
        simulation.store.unavailable_to.clear()
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 60)

    run_scenario(scenario)


def test_cancellation_with_lost_commit_answer_is_confirmed_by_later_read() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await start_services(simulation, "run-c")
        simulation.store.unavailable_to.add(old_leader)
        first, second = other_controllers(old_leader)
        lost: list[str] = []

        def drop_commit_response(src: str, dst: str, request: Request) -> bool:
            matches = src == first and dst == "store" and request.path == "/multi" and b"cancelled" in request.body
            if matches:
                lost.append(src)
            return matches

        simulation.net.drop_response = drop_commit_response
        assert (await simulation.ask(first, "POST", "/v2/runs/run-c/cancel"))[0] == 503
        assert lost
        assert (await simulation.poll("run-c", second))[1]["phase"] == "cancelled"
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == [] and len(simulation.running("run-s")) == 2

    run_scenario(scenario)


def test_old_leader_continues_its_term_after_outage() -> None:
    """The old leader becomes valid again with its next lease renewal, while its watch cache may be a minute out of date
    and lack the cancellation."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await start_services(simulation, "run-c")
        term = simulation.controllers[old_leader].elector.term
        simulation.store.unavailable_to.add(old_leader)
        await cancel_at(simulation, other_controllers(old_leader)[0], "run-c")
        simulation.store.begin_outage()
        await trio.sleep(8)
        # The store answers the old leader again, but its watch requests still hang.
        controller = simulation.controllers[old_leader]
        simulation.net.hold_request = lambda src, dst, request: src == old_leader and request.path == "/follow"
        simulation.store.unavailable_to.clear()
        simulation.store.end_outage()
        await simulation.until(controller.elector.valid, 10)
        assert controller.elector.term == term
        await trio.sleep(2 * CANCEL_S)
        simulation.net.hold_request = lambda src, dst, request: False
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 60)
        assert simulation.running("run-c") == []

    run_scenario(scenario)


def test_cancelled_tasks_stop_when_peer_answer_cannot_list_all(monkeypatch: pytest.MonkeyPatch) -> None:
    """A peer then omits the list instead of truncating it, so that no answer is taken as complete."""
    monkeypatch.setattr(constants, "CANCELLATIONS_LISTED_MAX", 3)

    async def scenario(simulation: SimulatedCluster) -> None:
        job_ids = [f"run-c{i}" for i in range(5)]
        old_leader = await start_services(simulation, *job_ids)
        simulation.store.unavailable_to.add(old_leader)
        await trio.sleep(0.2)
        for job_id in job_ids:
            await cancel_at(simulation, other_controllers(old_leader)[0], job_id)
        simulation.store.begin_outage()
        await trio.sleep(2 * CANCEL_S)
        assert not any(simulation.running(job_id) for job_id in job_ids)

    run_scenario(scenario)


def test_cancelled_task_stops_on_machine_that_hangs_with_stop_command_in_flight() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await start_services(simulation, "run-c")
        simulation.store.unavailable_to.add(old_leader)
        await cancel_at(simulation, other_controllers(old_leader)[0], "run-c")
        simulation.store.begin_outage()
        for _, name in simulation.running("run-c"):
            simulation.workers[name].hung = True
        await trio.sleep(9)
        for worker in simulation.workers.values():
            worker.hung = False
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == []

    run_scenario(scenario)


def test_malformed_cancellation_list_of_peer_is_not_taken_as_empty() -> None:
    """A malformed list must never be taken to mean that nothing was cancelled."""

    async def scenario(simulation: SimulatedCluster) -> None:
        old_leader = await start_services(simulation, "run-c")
        simulation.store.unavailable_to.add(old_leader)
        for label in other_controllers(old_leader):
            answer = simulation.controllers[label].cancellations.answer_peer
            malformed = [{"cancelled": None}, {"cancelled": [7], "back": 1e9}, {"cancelled": [], "back": "x"}, [], None]

            def malformed_answer(asked: dict[str, object], now: float, answer=answer, malformed=malformed) -> object:  # type: ignore[no-untyped-def]
                answer(asked, now)
                return malformed[int(now * 10) % len(malformed)]

            simulation.controllers[label].cancellations.answer_peer = malformed_answer  # type: ignore[method-assign, assignment]
        await trio.sleep(0.2)
        await cancel_at(simulation, other_controllers(old_leader)[0], "run-c")
        simulation.store.begin_outage()
        workers_reach_only(simulation, old_leader)
        await trio.sleep(2 * CANCEL_S)
        assert simulation.running("run-c") == []

    run_scenario(scenario)
