"""Scale-out with machines that boot late or never and with a stale machine list."""

import pytest
import trio

from sorrelsill.fleet.machine_list import ListedMachine
from tests.simulation import SimulatedCluster, job, machine_name, run_scenario


@pytest.mark.parametrize("new_leader", [False, True])
def test_late_and_lost_machines_do_not_cause_runaway_scale_out(new_leader: bool) -> None:
    """Half of the machines never boot, a quarter takes several times as long, and the machine list lags by 12 s."""

    async def scenario(simulation: SimulatedCluster) -> None:
        cloud = simulation.cloud
        cloud.lag_s = 12.0
        cloud.never_boots = set(range(0, 400, 2))
        cloud.boot_times = lambda number: 4.0 if number % 4 == 1 else 1.0
        leader = await simulation.until_leader()
        await simulation.submit(job("run-a", shards=24, vcpus=4.0, expectedRunS=40.0))
        submitted_at = trio.current_time()
        if new_leader:
            await trio.sleep(25)
            simulation.kill(leader)
            await trio.sleep(1)
            simulation.start(leader)
        await simulation.until(lambda: len(simulation.running("run-a")) >= 20, 60)
        print("twenty tasks running after", trio.current_time() - submitted_at)
        await simulation.until_phase("run-a", "done", 240)
        elapsed_s = trio.current_time() - submitted_at
        print("elapsed", elapsed_s, "rented", sum(count for _, count in cloud.rented), "calls", cloud.request_count)
        assert elapsed_s < 180, f"done after {elapsed_s:.0f} s"
        assert cloud.request_count < 1.5 * elapsed_s + 10, "calls stay within the cloud's rate limit"
        rented = sum(count for _, count in cloud.rented)
        assert rented <= 40, f"{rented} machines were rented where 12 suffice"
        await trio.sleep(90)
        for name, machine in cloud.machines.items():
            assert name in simulation.workers, f"{name} never booted and is paid for since {machine['born']:.0f} s"
        paid_without_boot = [
            seconds for name, seconds in cloud.paid_s.items() if name not in simulation.booted_machines
        ]
        assert paid_without_boot, "some machines never booted"
        print("paid without boot", sorted(paid_without_boot))
        assert max(paid_without_boot) < 50, (
            f"a machine that never booted was paid for {max(paid_without_boot):.0f} s; machines boot in 5 s"
        )
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_machine_that_never_boots_is_returned() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.never_boots = {0}
        await simulation.submit(job("run-1"))
        await simulation.until_phase("run-1", "done", 200)
        assert machine_name(0) not in simulation.cloud.machines

    run_scenario(scenario)


def test_returned_machine_in_a_stale_list_does_not_count_as_booting() -> None:
    """Guards against counting returned machines that the stale list still shows as booting: no machine was rented in
    their place."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.lag_s = 6.0
        await simulation.submit(job("run-1"))
        await simulation.until_phase("run-1", "done")
        returned = set(simulation.cloud.machines)
        await simulation.until(lambda: not simulation.cloud.machines)
        leader = simulation.controllers[await simulation.until_leader()]
        assert leader.leader_term is not None
        stale_list = {name: ListedMachine(name, "running", "c8", "a", False, 20.0) for name in returned}
        leader.leader_term.fleet.apply_machine_list(stale_list, trio.current_time())
        assert leader.leader_term.fleet.booting == {}

    run_scenario(scenario)
