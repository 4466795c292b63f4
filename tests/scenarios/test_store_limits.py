"""The state service lowers its limits without notice: nothing is refused again and again, nothing is lost."""

import random
from typing import Any

import trio

from sorrelsill import constants
from sorrelsill.http import Request
from sorrelsill.jobs import json_size
from sorrelsill.jobs.machine_registry import next_registry_write
from sorrelsill.model import TaskSet
from sorrelsill.settings import NextLimits
from sorrelsill.store import chunk_key, job_key, registry_key, small_chunk_key
from tests.simulation import SimulatedCluster, job, run_scenario

COMING = NextLimits(write_rps=40.0, value_kb=2.0, txn_ops=5)
SMALL = 2048


def lower_limits(simulation: SimulatedCluster) -> None:
    assert COMING.txn_ops and COMING.value_kb
    simulation.store.lower_limits(COMING.value_kb, COMING.txn_ops, COMING.write_rps)


def sizes(simulation: SimulatedCluster, prefix: str) -> list[int]:
    return [json_size(v) for k, (v, _, _) in simulation.store.kv.items() if k.startswith(prefix)]


def entry(number: int) -> dict[str, Any]:
    return {"f": "mango-std", "a": f"10.1.{number // 250}.{number % 250}:9000", "z": "brisbane-west", "s": False}


def test_everything_goes_on_under_smaller_limits() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-s", shape="standing", shards=4, rank="prod", expectedRunS=0.0))
        await simulation.submit(job("run-a", shards=40, expectedRunS=4.0))
        await simulation.until(lambda: len(simulation.finished) > 4)
        lower_limits(simulation)
        for number in range(25):
            assert await simulation.submit(job(f"run-{number}", shards=2, expectedRunS=2.0), 10) == 201
        await simulation.cancel("run-3")
        for job_id in ["run-a", *(f"run-{n}" for n in range(25) if n != 3)]:
            await simulation.until_phase(job_id, "done", 90)
        simulation.kill(await simulation.until_leader())
        await simulation.submit(job("run-after"))
        await simulation.until_phase("run-after", "done")
        assert simulation.store.throttled <= 12, "the rate is kept once it was met"
        assert max(sizes(simulation, "s/")) <= SMALL

    run_scenario(scenario, next_limits=COMING)


def test_progress_is_written_at_the_lower_rate_too_but_never_before_what_is_urgent() -> None:
    """Guards against this: what progress leaves to others was all that could be saved up, so it was never written."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.store.lower_limits(2.0, 5, 18.0)
        simulation.cloud.capacity = 2
        await simulation.submit(job("run-a", shards=60, expectedRunS=6.0))
        await simulation.until(lambda: len(simulation.finished) >= 10)
        await trio.sleep(8)
        _, answer = await simulation.poll("run-a")
        assert answer["phase"] == "running" and answer["done"] >= 8
        await trio.sleep(8)
        assert (await simulation.poll("run-a"))[1]["done"] > answer["done"]

    run_scenario(scenario, next_limits=NextLimits(write_rps=18.0, value_kb=2.0, txn_ops=5))


def test_a_refused_rate_lowers_it_for_good() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        leader = simulation.controllers[await simulation.until_leader()]
        before = leader.store.writes.rate
        lower_limits(simulation)

        async def user(job_id: str) -> None:
            await simulation.submit(job(job_id, shards=1, expectedRunS=1.0))

        async with trio.open_nursery() as nursery:
            for number in range(120):
                nursery.start_soon(user, f"run-{number}")
        for number in range(120):
            await simulation.until_phase(f"run-{number}", "done", 200)
        assert 0 < simulation.store.throttled <= 12
        assert leader.store.writes.rate < before

    run_scenario(scenario, next_limits=COMING)


def scattered(shards: int, seed: int = 5) -> TaskSet:
    dice, done = random.Random(seed), TaskSet(shards)
    for index in range(shards):
        if dice.random() < 0.5:
            done.add(index)
    return done


def test_finished_tasks_in_no_order_move_beside_a_record_that_would_be_too_long() -> None:
    """Whatever crashes between the writes: each end finds at least what was recorded before."""

    async def scenario(simulation: SimulatedCluster, seed: int) -> None:
        dice = random.Random(seed)
        leader = simulation.controllers[await simulation.until_leader()]
        shards = 16_000
        await simulation.submit(job("run-big", shards=shards, vcpus=7.0, expectedRunS=500.0))
        assert leader.cluster is not None
        task = leader.cluster.jobs["run-big"]
        finished = scattered(shards)
        for index in range(shards):
            if index in finished:
                task.done.add(index)
                simulation.finished.add(f"run-big/{index}")
                task.unrecorded_parts.add(index // constants.PART_TASKS)
        leader.cluster.pending_writes.records.add("run-big")
        await simulation.until(lambda: simulation.store.kv["s/j/run-big"][0]["n"] > 7000, 30)
        assert max(sizes(simulation, "s/j/")) > SMALL, "written while longer values were allowed"
        lower_limits(simulation)
        known: set[int] = set()
        for _ in range(4):
            label = await simulation.until_leader()
            node = simulation.controllers[label]
            assert node.cluster is not None
            task = node.cluster.jobs["run-big"]
            have = {i for i in range(shards) if i in task.done}
            assert known <= have, "no finished task is forgotten"
            extra = [i for i in range(shards) if i not in have and dice.random() < 0.03]
            for index in extra:
                task.done.add(index)
                task.unrecorded_parts.add(index // constants.PART_TASKS)
            node.cluster.pending_writes.records.add("run-big")
            await trio.sleep(dice.choice((0.3, 0.5, 8.0)))
            parts = [
                (k, v) for k, (v, _, _) in simulation.store.kv.items() if k.startswith(("s/d/run-big", "s/e/run-big"))
            ]
            stored = TaskSet(shards)
            stored.merge(simulation.store.kv["s/j/run-big"][0]["d"], 0)
            for key, text in parts:
                number = int(key.rpartition("/")[2])
                stored.merge(text, number * (constants.CHUNK_TASKS if key.startswith("s/d/") else constants.PART_TASKS))
            known = {i for i in range(shards) if i in stored}
            simulation.kill(label)
            await trio.sleep(0.2)
            simulation.start(label)
        await trio.sleep(20)
        assert json_size(simulation.store.kv["s/j/run-big"][0]) <= SMALL
        assert (await simulation.cancel("run-big"))["phase"] == "cancelled"
        await trio.sleep(15)
        left = [k for k in simulation.store.kv if k.startswith(("s/d/", "s/e/"))]
        assert left == [], "parts that the cancellation had no room for are swept"

    for seed in range(3):

        async def run_seed(simulation: SimulatedCluster, seed: int = seed) -> None:
            simulation.allowed_refusals = 7  # each process learns of the limits by one refusal
            await scenario(simulation, seed)

        run_scenario(run_seed, seed=seed, next_limits=COMING)


def test_a_hundred_thousand_tasks_in_no_order_fit_small_values() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        lower_limits(simulation)
        simulation.allowed_refusals = 2
        leader = simulation.controllers[await simulation.until_leader()]
        shards = 100_000
        await simulation.submit(job("run-big", shards=shards, vcpus=7.0, expectedRunS=500.0))
        assert leader.cluster is not None
        task, done = leader.cluster.jobs["run-big"], scattered(shards)
        for index in range(shards):
            if index in done:
                task.done.add(index)
                task.unrecorded_parts.add(index // constants.PART_TASKS)
        leader.cluster.pending_writes.records.add("run-big")
        await simulation.until(lambda: not task.unrecorded_parts, 40)
        simulation.kill(await simulation.until_leader())
        after = simulation.controllers[await simulation.until_leader()]
        assert after.cluster is not None
        found = after.cluster.jobs["run-big"].done
        assert found.count == done.count and all(i in found for i in range(shards) if i in done)
        await simulation.submit(job("run-x"))
        await simulation.until_phase("run-x", "done")
        assert max(sizes(simulation, "s/")) <= SMALL

    run_scenario(scenario, next_limits=COMING)


def test_a_record_accepted_under_larger_limits_lives_to_its_end_under_smaller_ones() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        long = {"flavours": ["c8", *(f"type-{n:04d}" for n in range(190))]}
        assert await simulation.submit(job("run-long", shards=6, expectedRunS=4.0, **long)) == 201
        await simulation.until(lambda: len(simulation.running("run-long")) > 0)
        lower_limits(simulation)
        simulation.allowed_refusals = 3
        assert await simulation.submit(job("run-next", **long), 5) in (400, 201)
        assert await simulation.submit(job("run-long", shards=6, expectedRunS=4.0, **long)) == 200, (
            "known: not judged anew"
        )
        assert await simulation.submit(job("run-later", **long), 5) == 400, "and told so at once"
        await simulation.until_phase("run-long", "done")
        await simulation.submit(job("run-x"))
        await simulation.until_phase("run-x", "done")

    run_scenario(scenario, next_limits=COMING)


def test_one_submission_that_is_too_long_does_not_hold_up_its_batch() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        lower_limits(simulation)
        simulation.allowed_refusals = 6
        long = {"flavours": ["c8", *(f"type-{n:04d}" for n in range(190))]}
        answers: dict[str, int] = {}

        async def user(job_id: str, **fields: Any) -> None:
            answers[job_id] = await simulation.submit(job(job_id, **fields), 8)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: user("run-long", **long))
            for number in range(8):
                nursery.start_soon(user, f"run-{number}")
        assert answers == {"run-long": 400, **{f"run-{n}": 201 for n in range(8)}}

    run_scenario(scenario, next_limits=COMING)


def test_a_write_that_is_refused_alone_is_quarantined_and_the_rest_goes_on() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        refused = []
        judge = simulation.store._exceeded_limit

        def odd(body: dict[str, Any]) -> str | None:
            if any(w.get("set") == job_key("run-odd") for w in body["writes"]) and body["if"][0]["k"] == "s/leader":
                refused.append(len(body["writes"]))
                return "for a reason of its own"
            return judge(body)

        simulation.store._exceeded_limit = odd  # type: ignore[method-assign]
        simulation.allowed_refusals = 40
        await simulation.submit(job("run-odd", shards=3, expectedRunS=20.0))
        for number in range(6):
            await simulation.submit(job(f"run-{number}", shards=2))
        for number in range(6):
            await simulation.until_phase(f"run-{number}", "done", 60)
        state = simulation.controllers[await simulation.until_leader()].state()
        assert state.set_aside == 1 and state.refused >= 1
        assert len(refused) <= 6, "not again and again"
        await simulation.until_phase("run-odd", "done")

    run_scenario(scenario)


def test_the_registry_of_half_as_many_machines_again_fits_and_old_chunks_shrink() -> None:
    names = [f"m-{n:06d}" for n in range(975)]
    parts: dict[str, dict[str, dict[str, Any]]] = {}
    for number, name in enumerate(names):  # as the version before wrote them
        parts.setdefault(registry_key(name), {}).setdefault(registry_key(name), {})[name] = entry(number)
    assert max(json_size(p) for group in parts.values() for p in group.values()) > SMALL
    dice = random.Random(1)
    for base, group in parts.items():
        mine = {n for values in group.values() for n in values}
        gone = {n for n in mine if dice.random() < 0.1}
        add = {f"{base}-new-{n}": entry(n) for n in range(4)}
        left, steps = dict(add), 0
        while (write := next_registry_write(base, group, left, gone, int(SMALL * constants.VALUE_SHARE))) is not None:
            assert json_size(write.value) <= SMALL
            group[write.key] = write.value
            left = {n: e for n, e in left.items() if n not in write.added}
            standing = {n for values in group.values() for n in values}
            assert standing >= mine - gone, "at no moment is a machine missing"
            steps += 1
            assert steps < 20
        assert {n for values in group.values() for n in values} == mine - gone | set(add)
        assert all(json_size(values) <= SMALL for values in group.values())


def test_new_machines_get_work_though_their_registry_chunk_is_full() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        parts: dict[str, dict[str, Any]] = {}
        for number in range(1200):
            part = parts.setdefault(registry_key(f"m-{number}"), {})
            if len(part) < 27:
                part[f"m-{number}"] = entry(number)
        for key, full in parts.items():
            simulation.store.rev += 1
            simulation.store.kv[key] = (full, simulation.store.rev, None)
            simulation.store.log.append((simulation.store.rev, key, full, True))
        lower_limits(simulation)
        simulation.allowed_refusals = 3  # each process learns of the limits by one refusal
        await simulation.submit(job("run-a", shards=12))
        await simulation.until_phase("run-a", "done", 60)
        simulation.kill(await simulation.until_leader())
        await trio.sleep(30)  # nobody hears of those machines: they leave the registry, entry by entry
        await simulation.submit(job("run-b"))
        await simulation.until_phase("run-b", "done")
        await simulation.until(
            lambda: (
                not any(
                    n.startswith("m-")
                    for k, (v, _, _) in simulation.store.kv.items()
                    if k.startswith("s/m/")
                    for n in v
                )
            ),
            120,
        )

    run_scenario(scenario, next_limits=COMING)


def test_progress_chunks_of_a_finished_job_are_garbage_collected() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        for number in range(12):
            simulation.store.rev += 1
            key = small_chunk_key("run-gone", number) if number % 2 else chunk_key("run-gone", number)
            simulation.store.kv[key] = ("1-2", simulation.store.rev, None)
            simulation.store.log.append((simulation.store.rev, key, "1-2", True))
        await simulation.submit(job("run-a"))
        await simulation.until_phase("run-a", "done")
        await simulation.until(lambda: not [k for k in simulation.store.kv if "run-gone" in k], 30)

    run_scenario(scenario)


def test_leadership_changes_under_the_smaller_limits_with_late_writes() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=30, expectedRunS=5.0))
        await simulation.until(lambda: len(simulation.finished) > 3)
        dice = random.Random(2)

        def late(src: str, dst: str, request: Request) -> bool:
            return request.path == "/multi" and dice.random() < 0.1

        simulation.net.hold_request = late
        lower_limits(simulation)
        for _ in range(3):
            await trio.sleep(6)
            label = await simulation.until_leader()
            simulation.kill(label)
            await trio.sleep(0.5)
            simulation.net.release()
            simulation.start(label)
        simulation.net.hold_request = lambda src, dst, request: False
        await simulation.until_phase("run-a", "done", 200)

    run_scenario(scenario, next_limits=COMING)


def test_a_machine_in_two_chunks_of_the_registry_is_confirmed_once() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-s", shape="standing", shards=2, rank="prod", expectedRunS=0.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 2)
        for key, (value, _, _) in list(simulation.store.kv.items()):
            if key.startswith("s/m/") and value:
                simulation.store.rev += 1
                simulation.store.kv[f"{key}.1"] = (value, simulation.store.rev, None)
                simulation.store.log.append((simulation.store.rev, f"{key}.1", value, True))
        await simulation.submit(job("run-a", shards=40, expectedRunS=3.0))
        await trio.sleep(2)
        simulation.kill(await simulation.until_leader())
        await simulation.until_phase("run-a", "done", 60)
        simulation.kill_machine(simulation.running("run-s")[0][1])
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, 40)

    run_scenario(scenario)


def test_progress_is_written_seldom_and_the_end_at_once() -> None:
    """Guards against this: each job written at each change used up the store's rate; submissions waited."""

    async def scenario(simulation: SimulatedCluster) -> None:
        for number in range(6):
            await simulation.submit(
                job(f"run-{number}", shards=24, vcpus=1.0, memoryGb=1.0, expectedRunS=1.0 + number / 3)
            )
        for number in range(6):
            await simulation.until_phase(f"run-{number}", "done")
        ends = [e for e in simulation.store.log if e[1].startswith("s/f/")]
        progress = [e for e in simulation.store.log if e[1].startswith("s/j/") and e[3] and e[2]["n"]]
        assert len(ends) == 6 and len(progress) <= 24

    run_scenario(scenario)
