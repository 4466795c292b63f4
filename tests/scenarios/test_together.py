"""Many machines fall together, during and just after a takeover, with late copies and repeats behind them."""

import pytest
import trio

from sorrelsill.http import Request
from sorrelsill.settings import Team
from tests.simulation import World, job, story

from .test_failures import service

Sent = tuple[str, str, Request]


async def busy(world: World) -> None:
    """Some twenty machines with services and arrays of two teams on them."""
    world.cloud.capacity = 24
    for number in range(4):
        await world.submit(service(f"run-s{number}", shards=6, scatter=True, rank="prod", workload="live"))
    for number in range(4):
        team = "red" if number % 2 else "blue"
        await world.submit(job(f"run-{number}", shards=24, owner=team, vcpus=1.0, memoryGb=1.0, expectedRunS=25.0))
    await world.until(lambda: sum(len(w.on) for w in world.workers.values()) > 90)


def remember(world: World) -> list[Sent]:
    """Reports and commands from now on, for late copies and repeats of them."""
    sent: list[Sent] = []

    def reindex(src: str, dst: str, request: Request) -> bool:
        if request.path in ("/hello", "/commands"):
            sent.append((src, dst, request))
        return False

    world.net.hold_request = reindex
    return sent


async def repeat(world: World, sent: list[Sent], count: int) -> None:
    """Copies reach whoever is there now: machines that still are, and every controller."""
    for src, dst, request in world.rng.sample(sent, min(count, len(sent))):
        targets = [dst] if dst in world.workers else [n for n in world.nodes if n not in world.net.down]
        for target in targets:
            with trio.move_on_after(1):
                await world.net.handlers[target](src, request)


async def all_served(world: World) -> None:
    for number in range(4):
        await world.until_phase(f"run-{number}", "done", 240)
    for number in range(4):
        await world.until(lambda n=number: len(world.running(f"run-s{n}")) == 6, 120)  # type: ignore[misc]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_half_the_machines_cut_and_others_hanging_around_a_takeover(seed: int) -> None:
    async def tell(world: World) -> None:
        await busy(world)
        sent = remember(world)
        names = sorted(world.workers)
        cut = [n for n in names if world.workers[n].zone == "b"]
        hung = world.rng.sample([n for n in names if n not in cut], 4)
        for name in cut:
            world.cut_machine(name)
        for name in hung:
            world.workers[name].hung = True
        await trio.sleep(world.rng.random() * 8)
        leader = await world.until_leader()
        world.kill(leader)
        await trio.sleep(world.rng.random())
        world.start(leader)
        await world.cancel("run-0")
        await trio.sleep(6)
        for name in hung:
            if name in world.workers:
                world.workers[name].hung = False
        await repeat(world, sent, 60)
        await trio.sleep(8)
        world.net.heal()
        await repeat(world, sent, 60)
        for number in range(1, 4):
            await world.until_phase(f"run-{number}", "done", 240)
        for number in range(4):
            await world.until(lambda n=number: len(world.running(f"run-s{n}")) == 6, 120)  # type: ignore[misc]
        assert not world.running("run-0")

    story(tell, seed, [Team("red", cpus_max=100.0), Team("blue", cpus_max=50.0)])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_controller_in_turn_while_machines_die(seed: int) -> None:
    async def tell(world: World) -> None:
        await busy(world)
        sent = remember(world)
        for label in sorted(world.nodes):
            world.kill(label)
            for name in world.rng.sample(sorted(world.workers), 3):
                world.kill_machine(name)
                world.cloud.machines[name]["phase"] = "failed"
            await trio.sleep(world.rng.choice([0.2, 3.0]))
            world.start(label)
            await trio.sleep(5)
            await repeat(world, sent, 30)
        await all_served(world)

    story(tell, seed)


def test_all_controllers_at_once_with_an_outage_and_a_cut_zone() -> None:
    async def tell(world: World) -> None:
        await busy(world)
        sent = remember(world)
        for name in [n for n, w in world.workers.items() if w.zone == "a"]:
            world.cut_machine(name)
        world.store.begin_outage()
        await trio.sleep(3)
        for label in list(world.nodes):
            world.kill(label)
        await trio.sleep(0.3)
        for label in list(world.nodes):
            world.start(label)
        await trio.sleep(9)
        world.store.end_outage()
        await repeat(world, sent, 60)
        await trio.sleep(6)
        world.net.heal()
        await all_served(world)

    story(tell)
