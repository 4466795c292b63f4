"""Machines that can't tell or can't hear, and hands that change meanwhile."""

import trio

from sorrelsill.standins import World, job, story
from sorrelsill.standins.world import LABELS, LEASE_S


def service(uid: str, **fields: object) -> dict[str, object]:
    return job(uid, **{"shape": "standing", "expectedRunS": 0.0, **fields})


def mute(world: World, name: str) -> None:
    """It reaches no controller; direct commands reach it and are answered."""
    world.net.refused |= {(name, label) for label in LABELS}


def test_a_mute_machine_is_lost_only_by_the_lease_of_its_present_session() -> None:
    """Found on a day of our own (ran_twice): greeted by a new leader near the end of its session, it was taken for lost
    a lease after that, while its next session, in which it had been given work, still ran."""

    async def tell(world: World) -> None:
        world.cloud.capacity = 3
        await world.submit(service("run-s", shards=6, vcpus=3.0))
        await world.until(lambda: len(world.running("run-s")) == 6)
        await trio.sleep(5)
        name = world.running("run-s")[0][1]
        mute(world, name)
        await trio.sleep(LEASE_S - 3)
        world.kill(await world.until_leader())
        await world.until_leader(10)
        await world.submit(job("run-a", shards=4, vcpus=1.0, expectedRunS=60.0))
        await trio.sleep(4 * LEASE_S)
        world.net.refused.clear()
        await world.until_phase("run-a", "done", 200)
        await world.until(lambda: len(world.running("run-s")) == 6, 60)

    story(tell)


def test_a_mute_machine_does_not_get_work_that_dies_with_each_lease() -> None:
    async def tell(world: World) -> None:
        await world.submit(service("run-s", shards=4, vcpus=1.0))
        await world.until(lambda: len(world.running("run-s")) == 4)
        name = world.running("run-s")[0][1]
        mute(world, name)
        await trio.sleep(2 * LEASE_S)
        world.kill(await world.until_leader())
        await world.until_leader(10)
        began = trio.current_time()
        await trio.sleep(LEASE_S)
        for number in range(20):
            await world.submit(job(f"run-{number}", shards=2, vcpus=1.0, expectedRunS=2.0))
            await trio.sleep(2)
        late = [s for at, s, host in world.starts if host == name and at > began + LEASE_S]
        assert not late, late

    story(tell)
