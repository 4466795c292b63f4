"""Machines that boot late or never, and a machine list that lags."""

import pytest
import trio

from sorrelsill.fleet.machine_list import ListedMachine
from tests.simulation import SimulatedCluster, job, machine_name, run_scenario


@pytest.mark.parametrize("new_leader", [False, True])
def test_late_and_lost_machines_are_replaced_and_abandoned_without_runaway_scale_out(new_leader: bool) -> None:
    """Half of the machines never come up, others take several times as long, and the list is 12 s late."""

    async def scenario(simulation: SimulatedCluster) -> None:
        cloud = simulation.cloud
        cloud.lag_s = 12.0
        cloud.never_boots = set(range(0, 400, 2))
        cloud.boot_times = lambda number: 4.0 if number % 4 == 1 else 1.0
        leader = await simulation.until_leader()
        await simulation.submit(job("run-a", shards=24, vcpus=4.0, expectedRunS=40.0))
        began = trio.current_time()
        if new_leader:
            await trio.sleep(25)
            simulation.kill(leader)
            await trio.sleep(1)
            simulation.start(leader)
        await simulation.until(lambda: len(simulation.running("run-a")) >= 20, 60)
        print("twenty after", trio.current_time() - began)
        await simulation.until_phase("run-a", "done", 240)
        spent = trio.current_time() - began
        print("spent", spent, "rented", sum(count for _, count in cloud.rented), "calls", cloud.request_count)
        assert spent < 180, f"done after {spent:.0f} s"
        assert cloud.request_count < 1.5 * spent + 10, "the cloud's rate"
        rented = sum(count for _, count in cloud.rented)
        assert rented <= 40, f"{rented} machines were rented for the work of 12"
        await trio.sleep(90)
        for name, machine in cloud.machines.items():
            assert name in simulation.workers, f"{name} was never up and is paid for since {machine['born']:.0f} s"
        lost = [seconds for name, seconds in cloud.paid_s.items() if name not in simulation.booted_machines]
        assert lost, "some never came up"
        print("lost", sorted(lost))
        assert max(lost) < 50, f"paid for {max(lost):.0f} s, with boots of 5 s"
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_a_machine_that_never_boots_is_given_up() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.never_boots = {0}
        await simulation.submit(job("run-1"))
        await simulation.until_phase("run-1", "done", 200)
        assert machine_name(0) not in simulation.cloud.machines

    run_scenario(scenario)


def test_a_returned_machine_in_the_lagging_list_is_not_awaited() -> None:
    """Guards against this: such machines counted as coming, so nothing was rented in their place."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.lag_s = 6.0
        await simulation.submit(job("run-1"))
        await simulation.until_phase("run-1", "done")
        first = set(simulation.cloud.machines)
        await simulation.until(lambda: not simulation.cloud.machines)
        leader = simulation.controllers[await simulation.until_leader()]
        assert leader.leader_term is not None
        ghosts = {name: ListedMachine(name, "running", "c8", "a", False, 20.0) for name in first}
        leader.leader_term.fleet.take_list(ghosts, trio.current_time())
        assert leader.leader_term.fleet.booting == {}

    run_scenario(scenario)
