"""Many machines fall together, during and just after a takeover, with late copies and repeats behind them."""

import pytest
import trio

from sorrelsill.http import Request
from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario, service

Sent = tuple[str, str, Request]


async def busy(simulation: SimulatedCluster) -> None:
    """Some twenty machines with services and arrays of two teams on them."""
    simulation.cloud.capacity = 24
    for number in range(4):
        await simulation.submit(service(f"run-s{number}", shards=6, scatter=True, rank="prod", workload="live"))
    for number in range(4):
        team = "red" if number % 2 else "blue"
        await simulation.submit(job(f"run-{number}", shards=24, owner=team, vcpus=1.0, memoryGb=1.0, expectedRunS=25.0))
    await simulation.until(lambda: sum(len(w.on) for w in simulation.workers.values()) > 90)


def remember(simulation: SimulatedCluster) -> list[Sent]:
    """Reports and commands from now on, for late copies and repeats of them."""
    sent: list[Sent] = []

    def hold(src: str, dst: str, request: Request) -> bool:
        if request.path in ("/hello", "/commands"):
            sent.append((src, dst, request))
        return False

    simulation.net.hold_request = hold
    return sent


async def repeat(simulation: SimulatedCluster, sent: list[Sent], count: int) -> None:
    """Copies reach whoever is there now: machines that still are, and every controller."""
    for src, dst, request in simulation.rng.sample(sent, min(count, len(sent))):
        targets = [dst] if dst in simulation.workers else [n for n in simulation.nodes if n not in simulation.net.down]
        for target in targets:
            with trio.move_on_after(1):
                await simulation.net.handlers[target](src, request)


async def all_served(simulation: SimulatedCluster) -> None:
    for number in range(4):
        await simulation.until_phase(f"run-{number}", "done", 240)
    for number in range(4):
        await simulation.until(lambda n=number: len(simulation.running(f"run-s{n}")) == 6, 120)  # type: ignore[misc]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_half_the_machines_cut_and_others_hanging_around_a_takeover(seed: int) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await busy(simulation)
        sent = remember(simulation)
        names = sorted(simulation.workers)
        cut = [n for n in names if simulation.workers[n].zone == "b"]
        hung = simulation.rng.sample([n for n in names if n not in cut], 4)
        for name in cut:
            simulation.cut_machine(name)
        for name in hung:
            simulation.workers[name].hung = True
        await trio.sleep(simulation.rng.random() * 8)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        await trio.sleep(simulation.rng.random())
        simulation.start(leader)
        await simulation.cancel("run-0")
        await trio.sleep(6)
        for name in hung:
            if name in simulation.workers:
                simulation.workers[name].hung = False
        await repeat(simulation, sent, 60)
        await trio.sleep(8)
        simulation.net.heal()
        await repeat(simulation, sent, 60)
        for number in range(1, 4):
            await simulation.until_phase(f"run-{number}", "done", 240)
        for number in range(4):
            await simulation.until(lambda n=number: len(simulation.running(f"run-s{n}")) == 6, 120)  # type: ignore[misc]
        assert not simulation.running("run-0")

    run_scenario(scenario, seed, [Team("red", cpus_max=100.0), Team("blue", cpus_max=50.0)])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_controller_in_turn_while_machines_die(seed: int) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await busy(simulation)
        sent = remember(simulation)
        for label in sorted(simulation.nodes):
            simulation.kill(label)
            for name in simulation.rng.sample(sorted(simulation.workers), 3):
                simulation.kill_machine(name)
                simulation.cloud.machines[name]["phase"] = "failed"
            await trio.sleep(simulation.rng.choice([0.2, 3.0]))
            simulation.start(label)
            await trio.sleep(5)
            await repeat(simulation, sent, 30)
        await all_served(simulation)

    run_scenario(scenario, seed)


def test_all_controllers_at_once_with_an_outage_and_a_cut_zone() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await busy(simulation)
        sent = remember(simulation)
        for name in [n for n, w in simulation.workers.items() if w.zone == "a"]:
            simulation.cut_machine(name)
        simulation.store.begin_outage()
        await trio.sleep(3)
        for label in list(simulation.nodes):
            simulation.kill(label)
        await trio.sleep(0.3)
        for label in list(simulation.nodes):
            simulation.start(label)
        await trio.sleep(9)
        simulation.store.end_outage()
        await repeat(simulation, sent, 60)
        await trio.sleep(6)
        simulation.net.heal()
        await all_served(simulation)

    run_scenario(scenario)
