"""The state service lowers its limits without notice: nothing is refused again and again, nothing is lost."""

import random
from typing import Any

import trio

from sorrelsill import constants as C
from sorrelsill.http import Request
from sorrelsill.jobs import TaskSet, json_size
from sorrelsill.jobs.roster import next_write
from sorrelsill.settings import NextLimits
from sorrelsill.store import chunk_key, job_key, part_key, roster_key
from tests.simulation import World, job, story

COMING = NextLimits(write_rps=40.0, value_kb=2.0, txn_ops=5)
SMALL = 2048


def narrow(world: World) -> None:
    assert COMING.txn_ops and COMING.value_kb
    world.store.narrow(COMING.value_kb, COMING.txn_ops, COMING.write_rps)


def sizes(world: World, prefix: str) -> list[int]:
    return [json_size(v) for k, (v, _, _) in world.store.kv.items() if k.startswith(prefix)]


def entry(number: int) -> dict[str, Any]:
    return {"f": "mango-std", "a": f"10.1.{number // 250}.{number % 250}:9000", "z": "brisbane-west", "s": False}


def test_everything_goes_on_under_smaller_limits() -> None:
    async def tell(world: World) -> None:
        await world.submit(job("run-s", shape="standing", shards=4, rank="prod", expectedRunS=0.0))
        await world.submit(job("run-a", shards=40, expectedRunS=4.0))
        await world.until(lambda: len(world.finished) > 4)
        narrow(world)
        for number in range(25):
            assert await world.submit(job(f"run-{number}", shards=2, expectedRunS=2.0), 10) == 201
        await world.cancel("run-3")
        for job_id in ["run-a", *(f"run-{n}" for n in range(25) if n != 3)]:
            await world.until_phase(job_id, "done", 90)
        world.kill(await world.until_leader())
        await world.submit(job("run-after"))
        await world.until_phase("run-after", "done")
        assert world.store.throttled <= 12, "the rate is kept once it was met"
        assert max(sizes(world, "s/")) <= SMALL

    story(tell, coming=COMING)


def test_progress_is_written_at_the_lower_rate_too_but_never_before_what_is_urgent() -> None:
    """Found by reading: what progress leaves to others was all that could be saved up, so it was never written."""

    async def tell(world: World) -> None:
        world.store.narrow(2.0, 5, 18.0)
        world.cloud.capacity = 2
        await world.submit(job("run-a", shards=60, expectedRunS=6.0))
        await world.until(lambda: len(world.finished) >= 10)
        await trio.sleep(8)
        _, answer = await world.poll("run-a")
        assert answer["phase"] == "running" and answer["done"] >= 8
        await trio.sleep(8)
        assert (await world.poll("run-a"))[1]["done"] > answer["done"]

    story(tell, coming=NextLimits(write_rps=18.0, value_kb=2.0, txn_ops=5))


def test_a_refused_rate_lowers_it_for_good() -> None:
    async def tell(world: World) -> None:
        leader = world.nodes[await world.until_leader()]
        before = leader.store.writes.rate
        narrow(world)

        async def user(job_id: str) -> None:
            await world.submit(job(job_id, shards=1, expectedRunS=1.0))

        async with trio.open_nursery() as nursery:
            for number in range(120):
                nursery.start_soon(user, f"run-{number}")
        for number in range(120):
            await world.until_phase(f"run-{number}", "done", 200)
        assert 0 < world.store.throttled <= 12
        assert leader.store.writes.rate < before

    story(tell, coming=COMING)


def scattered(shards: int, seed: int = 5) -> TaskSet:
    dice, done = random.Random(seed), TaskSet(shards)
    for index in range(shards):
        if dice.random() < 0.5:
            done.add(index)
    return done


def test_finished_tasks_in_no_order_move_beside_a_record_that_would_be_too_long() -> None:
    """Whatever crashes between the writes: each end finds at least what was recorded before."""

    async def tell(world: World, seed: int) -> None:
        dice = random.Random(seed)
        leader = world.nodes[await world.until_leader()]
        shards = 16_000
        await world.submit(job("run-big", shards=shards, vcpus=7.0, expectedRunS=500.0))
        assert leader.cluster is not None
        task = leader.cluster.jobs["run-big"]
        finished = scattered(shards)
        for index in range(shards):
            if index in finished:
                task.done.add(index)
                world.finished.add(f"run-big/{index}")
                task.dirty_parts.add(index // C.PART_SHARDS)
        leader.cluster.dirty.add("run-big")
        await world.until(lambda: world.store.kv["s/j/run-big"][0]["n"] > 7000, 30)
        assert max(sizes(world, "s/j/")) > SMALL, "written while longer values were allowed"
        narrow(world)
        known: set[int] = set()
        for _ in range(4):
            label = await world.until_leader()
            node = world.nodes[label]
            assert node.cluster is not None
            task = node.cluster.jobs["run-big"]
            have = {i for i in range(shards) if i in task.done}
            assert known <= have, "no finished task is forgotten"
            extra = [i for i in range(shards) if i not in have and dice.random() < 0.03]
            for index in extra:
                task.done.add(index)
                task.dirty_parts.add(index // C.PART_SHARDS)
            node.cluster.dirty.add("run-big")
            await trio.sleep(dice.choice((0.3, 0.5, 8.0)))
            parts = [(k, v) for k, (v, _, _) in world.store.kv.items() if k.startswith(("s/d/run-big", "s/e/run-big"))]
            stored = TaskSet(shards)
            stored.merge(world.store.kv["s/j/run-big"][0]["d"], 0)
            for key, text in parts:
                number = int(key.rpartition("/")[2])
                stored.merge(text, number * (C.CHUNK_SHARDS if key.startswith("s/d/") else C.PART_SHARDS))
            known = {i for i in range(shards) if i in stored}
            world.kill(label)
            await trio.sleep(0.2)
            world.start(label)
        await trio.sleep(20)
        assert json_size(world.store.kv["s/j/run-big"][0]) <= SMALL
        assert (await world.cancel("run-big"))["phase"] == "cancelled"
        await trio.sleep(15)
        left = [k for k in world.store.kv if k.startswith(("s/d/", "s/e/"))]
        assert left == [], "parts that the cancellation had no room for are swept"

    for seed in range(3):

        async def told(world: World, seed: int = seed) -> None:
            world.may_refuse = 7  # each process learns of the limits by one refusal
            await tell(world, seed)

        story(told, seed=seed, coming=COMING)


def test_a_hundred_thousand_tasks_in_no_order_fit_small_values() -> None:
    async def tell(world: World) -> None:
        narrow(world)
        world.may_refuse = 2
        leader = world.nodes[await world.until_leader()]
        shards = 100_000
        await world.submit(job("run-big", shards=shards, vcpus=7.0, expectedRunS=500.0))
        assert leader.cluster is not None
        task, done = leader.cluster.jobs["run-big"], scattered(shards)
        for index in range(shards):
            if index in done:
                task.done.add(index)
                task.dirty_parts.add(index // C.PART_SHARDS)
        leader.cluster.dirty.add("run-big")
        await world.until(lambda: not task.dirty_parts, 40)
        world.kill(await world.until_leader())
        after = world.nodes[await world.until_leader()]
        assert after.cluster is not None
        found = after.cluster.jobs["run-big"].done
        assert found.count == done.count and all(i in found for i in range(shards) if i in done)
        await world.submit(job("run-x"))
        await world.until_phase("run-x", "done")
        assert max(sizes(world, "s/")) <= SMALL

    story(tell, coming=COMING)


def test_a_record_accepted_under_larger_limits_lives_to_its_end_under_smaller_ones() -> None:
    async def tell(world: World) -> None:
        long = {"flavours": ["c8", *(f"type-{n:04d}" for n in range(190))]}
        assert await world.submit(job("run-long", shards=6, expectedRunS=4.0, **long)) == 201
        await world.until(lambda: len(world.running("run-long")) > 0)
        narrow(world)
        world.may_refuse = 3
        assert await world.submit(job("run-next", **long), 5) in (400, 201)
        assert await world.submit(job("run-long", shards=6, expectedRunS=4.0, **long)) == 200, "known: not judged anew"
        assert await world.submit(job("run-later", **long), 5) == 400, "and told so at once"
        await world.until_phase("run-long", "done")
        await world.submit(job("run-x"))
        await world.until_phase("run-x", "done")

    story(tell, coming=COMING)


def test_one_submission_that_is_too_long_does_not_hold_up_its_batch() -> None:
    async def tell(world: World) -> None:
        narrow(world)
        world.may_refuse = 6
        long = {"flavours": ["c8", *(f"type-{n:04d}" for n in range(190))]}
        answers: dict[str, int] = {}

        async def user(job_id: str, **fields: Any) -> None:
            answers[job_id] = await world.submit(job(job_id, **fields), 8)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: user("run-long", **long))
            for number in range(8):
                nursery.start_soon(user, f"run-{number}")
        assert answers == {"run-long": 400, **{f"run-{n}": 201 for n in range(8)}}

    story(tell, coming=COMING)


def test_a_change_that_is_refused_alone_is_set_aside_and_the_rest_goes_on() -> None:
    async def tell(world: World) -> None:
        refused = []
        judge = world.store._too_large

        def odd(body: dict[str, Any]) -> str | None:
            if any(w.get("set") == job_key("run-odd") for w in body["writes"]) and body["if"][0]["k"] == "s/leader":
                refused.append(len(body["writes"]))
                return "for a reason of its own"
            return judge(body)

        world.store._too_large = odd  # type: ignore[method-assign]
        world.may_refuse = 40
        await world.submit(job("run-odd", shards=3, expectedRunS=20.0))
        for number in range(6):
            await world.submit(job(f"run-{number}", shards=2))
        for number in range(6):
            await world.until_phase(f"run-{number}", "done", 60)
        state = world.nodes[await world.until_leader()].state()
        assert state["set_aside"] == 1 and state["refused"] >= 1
        assert len(refused) <= 6, "not again and again"
        await world.until_phase("run-odd", "done")

    story(tell)


def test_the_roster_of_half_as_many_machines_again_fits_and_old_parts_shrink() -> None:
    names = [f"m-{n:06d}" for n in range(975)]
    parts: dict[str, dict[str, dict[str, Any]]] = {}
    for number, name in enumerate(names):  # as the version before wrote them
        parts.setdefault(roster_key(name), {}).setdefault(roster_key(name), {})[name] = entry(number)
    assert max(json_size(p) for group in parts.values() for p in group.values()) > SMALL
    dice = random.Random(1)
    for base, group in parts.items():
        mine = {n for values in group.values() for n in values}
        gone = {n for n in mine if dice.random() < 0.1}
        add = {f"{base}-new-{n}": entry(n) for n in range(4)}
        left, steps = dict(add), 0
        while (write := next_write(base, group, left, gone, int(SMALL * C.VALUE_SHARE))) is not None:
            assert json_size(write.value) <= SMALL
            group[write.key] = write.value
            left = {n: e for n, e in left.items() if n not in write.added}
            standing = {n for values in group.values() for n in values}
            assert standing >= mine - gone, "at no moment is a machine missing"
            steps += 1
            assert steps < 20
        assert {n for values in group.values() for n in values} == mine - gone | set(add)
        assert all(json_size(values) <= SMALL for values in group.values())


def test_new_machines_get_work_though_their_roster_part_is_full() -> None:
    async def tell(world: World) -> None:
        await world.until_leader()
        parts: dict[str, dict[str, Any]] = {}
        for number in range(1200):
            part = parts.setdefault(roster_key(f"m-{number}"), {})
            if len(part) < 27:
                part[f"m-{number}"] = entry(number)
        for key, full in parts.items():
            world.store.rev += 1
            world.store.kv[key] = (full, world.store.rev, None)
            world.store.log.append((world.store.rev, key, full, True))
        narrow(world)
        world.may_refuse = 3  # each process learns of the limits by one refusal
        await world.submit(job("run-a", shards=12))
        await world.until_phase("run-a", "done", 60)
        world.kill(await world.until_leader())
        await trio.sleep(30)  # nobody hears of those machines: they leave the roster, entry by entry
        await world.submit(job("run-b"))
        await world.until_phase("run-b", "done")
        await world.until(
            lambda: (
                not any(
                    n.startswith("m-") for k, (v, _, _) in world.store.kv.items() if k.startswith("s/m/") for n in v
                )
            ),
            120,
        )

    story(tell, coming=COMING)


def test_parts_of_a_finished_job_are_swept() -> None:
    async def tell(world: World) -> None:
        await world.until_leader()
        for number in range(12):
            world.store.rev += 1
            key = part_key("run-gone", number) if number % 2 else chunk_key("run-gone", number)
            world.store.kv[key] = ("1-2", world.store.rev, None)
            world.store.log.append((world.store.rev, key, "1-2", True))
        await world.submit(job("run-a"))
        await world.until_phase("run-a", "done")
        await world.until(lambda: not [k for k in world.store.kv if "run-gone" in k], 30)

    story(tell)


def test_leadership_changes_under_the_smaller_limits_with_late_writes() -> None:
    async def tell(world: World) -> None:
        await world.submit(job("run-a", shards=30, expectedRunS=5.0))
        await world.until(lambda: len(world.finished) > 3)
        dice = random.Random(2)

        def late(src: str, dst: str, request: Request) -> bool:
            return request.path == "/multi" and dice.random() < 0.1

        world.net.hold_request = late
        narrow(world)
        for _ in range(3):
            await trio.sleep(6)
            label = await world.until_leader()
            world.kill(label)
            await trio.sleep(0.5)
            world.net.release()
            world.start(label)
        world.net.hold_request = lambda src, dst, request: False
        await world.until_phase("run-a", "done", 200)

    story(tell, coming=COMING)


def test_a_machine_in_two_parts_of_the_roster_is_heard_once() -> None:
    async def tell(world: World) -> None:
        await world.submit(job("run-s", shape="standing", shards=2, rank="prod", expectedRunS=0.0))
        await world.until(lambda: len(world.running("run-s")) == 2)
        for key, (value, _, _) in list(world.store.kv.items()):
            if key.startswith("s/m/") and value:
                world.store.rev += 1
                world.store.kv[f"{key}.1"] = (value, world.store.rev, None)
                world.store.log.append((world.store.rev, f"{key}.1", value, True))
        await world.submit(job("run-a", shards=40, expectedRunS=3.0))
        await trio.sleep(2)
        world.kill(await world.until_leader())
        await world.until_phase("run-a", "done", 60)
        world.kill_machine(world.running("run-s")[0][1])
        await world.until(lambda: len(world.running("run-s")) == 2, 40)

    story(tell)
