"""The state service lowers its limits without notice: no write is refused again and again, and no data is lost."""

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

NEXT_LIMITS = NextLimits(write_rps=40.0, value_kb=2.0, txn_ops=5)
SMALL_VALUE_BYTES = 2048


def lower_limits(simulation: SimulatedCluster) -> None:
    assert NEXT_LIMITS.txn_ops and NEXT_LIMITS.value_kb
    simulation.store.lower_limits(NEXT_LIMITS.value_kb, NEXT_LIMITS.txn_ops, NEXT_LIMITS.write_rps)


def value_sizes(simulation: SimulatedCluster, prefix: str) -> list[int]:
    return [json_size(v) for k, (v, _, _) in simulation.store.kv.items() if k.startswith(prefix)]


def registry_entry(number: int) -> dict[str, Any]:
    return {"f": "mango-std", "a": f"10.1.{number // 250}.{number % 250}:9000", "z": "brisbane-west", "s": False}


def test_jobs_run_under_lower_limits() -> None:
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
        assert simulation.store.throttled <= 12, "the lower rate is kept once the store has enforced it"
        assert max(value_sizes(simulation, "s/")) <= SMALL_VALUE_BYTES

    run_scenario(scenario, next_limits=NEXT_LIMITS)


def test_progress_is_written_at_a_lower_rate() -> None:
    """Guards against progress that is never written: the reserve for other writes was as large as the token bucket."""

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


def test_throttled_writes_lower_the_write_rate() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        leader = simulation.controllers[await simulation.until_leader()]
        rate_before = leader.store.writes.rate
        lower_limits(simulation)

        async def submit_one(job_id: str) -> None:
            await simulation.submit(job(job_id, shards=1, expectedRunS=1.0))

        async with trio.open_nursery() as nursery:
            for number in range(120):
                nursery.start_soon(submit_one, f"run-{number}")
        for number in range(120):
            await simulation.until_phase(f"run-{number}", "done", 200)
        assert 0 < simulation.store.throttled <= 12
        assert leader.store.writes.rate < rate_before

    run_scenario(scenario, next_limits=NEXT_LIMITS)


def random_task_set(shards: int, seed: int = 5) -> TaskSet:
    rng, done = random.Random(seed), TaskSet(shards)
    for index in range(shards):
        if rng.random() < 0.5:
            done.add(index)
    return done


def test_scattered_finished_tasks_move_from_a_long_record_into_chunks() -> None:
    """Guards against losing finished tasks when a leader crashes between the writes of the record and the chunks: each
    new leader loads at least the tasks that were recorded before."""

    async def scenario(simulation: SimulatedCluster, seed: int) -> None:
        rng = random.Random(seed)
        leader = simulation.controllers[await simulation.until_leader()]
        shards = 16_000
        await simulation.submit(job("run-big", shards=shards, vcpus=7.0, expectedRunS=500.0))
        assert leader.cluster is not None
        big_job = leader.cluster.jobs["run-big"]
        finished = random_task_set(shards)
        for index in range(shards):
            if index in finished:
                big_job.done.add(index)
                simulation.finished.add(f"run-big/{index}")
                big_job.unrecorded_small_chunks.add(index // constants.SMALL_CHUNK_TASKS)
        leader.cluster.pending_writes.records.add("run-big")
        await simulation.until(lambda: simulation.store.kv["s/j/run-big"][0]["n"] > 7000, 30)
        assert max(value_sizes(simulation, "s/j/")) > SMALL_VALUE_BYTES, (
            "the record was written while larger values were allowed"
        )
        lower_limits(simulation)
        recorded: set[int] = set()
        for _ in range(4):
            label = await simulation.until_leader()
            controller = simulation.controllers[label]
            assert controller.cluster is not None
            big_job = controller.cluster.jobs["run-big"]
            loaded = {i for i in range(shards) if i in big_job.done}
            assert recorded <= loaded, "no finished task is lost"
            newly_finished = [i for i in range(shards) if i not in loaded and rng.random() < 0.03]
            for index in newly_finished:
                big_job.done.add(index)
                big_job.unrecorded_small_chunks.add(index // constants.SMALL_CHUNK_TASKS)
            controller.cluster.pending_writes.records.add("run-big")
            await trio.sleep(rng.choice((0.3, 0.5, 8.0)))
            chunks = [
                (k, v) for k, (v, _, _) in simulation.store.kv.items() if k.startswith(("s/d/run-big", "s/e/run-big"))
            ]
            stored = TaskSet(shards)
            stored.merge(simulation.store.kv["s/j/run-big"][0]["d"], 0)
            for key, encoded in chunks:
                number = int(key.rpartition("/")[2])
                stored.merge(
                    encoded, number * (constants.CHUNK_TASKS if key.startswith("s/d/") else constants.SMALL_CHUNK_TASKS)
                )
            recorded = {i for i in range(shards) if i in stored}
            simulation.kill(label)
            await trio.sleep(0.2)
            simulation.start(label)
        await trio.sleep(20)
        assert json_size(simulation.store.kv["s/j/run-big"][0]) <= SMALL_VALUE_BYTES
        assert (await simulation.cancel("run-big"))["phase"] == "cancelled"
        await trio.sleep(15)
        remaining = [k for k in simulation.store.kv if k.startswith(("s/d/", "s/e/"))]
        assert remaining == [], "chunks that did not fit into the cancellation's transaction are deleted later"

    for seed in range(3):

        async def run_seed(simulation: SimulatedCluster, seed: int = seed) -> None:
            simulation.allowed_refusals = 7  # each process learns the new limits from one refusal
            await scenario(simulation, seed)

        run_scenario(run_seed, seed=seed, next_limits=NEXT_LIMITS)


def test_a_hundred_thousand_scattered_tasks_fit_small_values() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        lower_limits(simulation)
        simulation.allowed_refusals = 2
        leader = simulation.controllers[await simulation.until_leader()]
        shards = 100_000
        await simulation.submit(job("run-big", shards=shards, vcpus=7.0, expectedRunS=500.0))
        assert leader.cluster is not None
        big_job, done = leader.cluster.jobs["run-big"], random_task_set(shards)
        for index in range(shards):
            if index in done:
                big_job.done.add(index)
                big_job.unrecorded_small_chunks.add(index // constants.SMALL_CHUNK_TASKS)
        leader.cluster.pending_writes.records.add("run-big")
        await simulation.until(lambda: not big_job.unrecorded_small_chunks, 40)
        simulation.kill(await simulation.until_leader())
        new_leader = simulation.controllers[await simulation.until_leader()]
        assert new_leader.cluster is not None
        loaded = new_leader.cluster.jobs["run-big"].done
        assert loaded.count == done.count and all(i in loaded for i in range(shards) if i in done)
        await simulation.submit(job("run-x"))
        await simulation.until_phase("run-x", "done")
        assert max(value_sizes(simulation, "s/")) <= SMALL_VALUE_BYTES

    run_scenario(scenario, next_limits=NEXT_LIMITS)


def test_long_record_accepted_before_the_limits_shrank_runs_to_its_end() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        long_fields = {"flavours": ["c8", *(f"type-{n:04d}" for n in range(190))]}
        assert await simulation.submit(job("run-long", shards=6, expectedRunS=4.0, **long_fields)) == 201
        await simulation.until(lambda: len(simulation.running("run-long")) > 0)
        lower_limits(simulation)
        simulation.allowed_refusals = 3
        assert await simulation.submit(job("run-next", **long_fields), 5) in (400, 201)
        assert await simulation.submit(job("run-long", shards=6, expectedRunS=4.0, **long_fields)) == 200, (
            "a known job is not validated again"
        )
        assert await simulation.submit(job("run-later", **long_fields), 5) == 400, "refused at once"
        await simulation.until_phase("run-long", "done")
        await simulation.submit(job("run-x"))
        await simulation.until_phase("run-x", "done")

    run_scenario(scenario, next_limits=NEXT_LIMITS)


def test_too_long_submission_does_not_delay_its_batch() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        lower_limits(simulation)
        simulation.allowed_refusals = 6
        long_fields = {"flavours": ["c8", *(f"type-{n:04d}" for n in range(190))]}
        answers: dict[str, int] = {}

        async def submit_one(job_id: str, **fields: Any) -> None:
            answers[job_id] = await simulation.submit(job(job_id, **fields), 8)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: submit_one("run-long", **long_fields))
            for number in range(8):
                nursery.start_soon(submit_one, f"run-{number}")
        assert answers == {"run-long": 400, **{f"run-{n}": 201 for n in range(8)}}

    run_scenario(scenario, next_limits=NEXT_LIMITS)


def test_refused_write_is_quarantined_and_others_go_on() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        refused = []
        original_check = simulation.store._exceeded_limit

        def refuse_odd_job(body: dict[str, Any]) -> str | None:
            if (
                any(change.get("set") == job_key("run-odd") for change in body["writes"])
                and body["if"][0]["k"] == "s/leader"
            ):
                refused.append(len(body["writes"]))
                return "refused by the test"
            return original_check(body)

        simulation.store._exceeded_limit = refuse_odd_job  # type: ignore[method-assign]
        simulation.allowed_refusals = 40
        await simulation.submit(job("run-odd", shards=3, expectedRunS=20.0))
        for number in range(6):
            await simulation.submit(job(f"run-{number}", shards=2))
        for number in range(6):
            await simulation.until_phase(f"run-{number}", "done", 60)
        state = simulation.controllers[await simulation.until_leader()].state()
        assert state.set_aside == 1 and state.refused >= 1
        assert len(refused) <= 6, "the write is not retried again and again"
        await simulation.until_phase("run-odd", "done")

    run_scenario(scenario)


def test_registry_chunks_shrink_to_the_lower_limit_without_losing_machines() -> None:
    names = [f"m-{n:06d}" for n in range(975)]
    parts: dict[str, dict[str, dict[str, Any]]] = {}
    for number, name in enumerate(names):  # one key per part, as the previous version writes them
        parts.setdefault(registry_key(name), {}).setdefault(registry_key(name), {})[name] = registry_entry(number)
    assert (
        max(json_size(values) for entries_by_key in parts.values() for values in entries_by_key.values())
        > SMALL_VALUE_BYTES
    )
    rng = random.Random(1)
    for base, entries_by_key in parts.items():
        registered = {n for values in entries_by_key.values() for n in values}
        removed = {n for n in registered if rng.random() < 0.1}
        new_entries = {f"{base}-new-{n}": registry_entry(n) for n in range(4)}
        remaining, steps = dict(new_entries), 0
        while (
            write := next_registry_write(
                base, entries_by_key, remaining, removed, int(SMALL_VALUE_BYTES * constants.VALUE_SHARE)
            )
        ) is not None:
            assert json_size(write.value) <= SMALL_VALUE_BYTES
            entries_by_key[write.key] = write.value
            remaining = {n: e for n, e in remaining.items() if n not in write.added}
            listed = {n for values in entries_by_key.values() for n in values}
            assert listed >= registered - removed, "no machine is ever missing from the registry"
            steps += 1
            assert steps < 20
        assert {n for values in entries_by_key.values() for n in values} == registered - removed | set(new_entries)
        assert all(json_size(values) <= SMALL_VALUE_BYTES for values in entries_by_key.values())


def test_new_machines_get_work_while_their_registry_chunk_is_full() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        entries_by_key: dict[str, dict[str, Any]] = {}
        for number in range(1200):
            value = entries_by_key.setdefault(registry_key(f"m-{number}"), {})
            if len(value) < 27:
                value[f"m-{number}"] = registry_entry(number)
        for key, entries in entries_by_key.items():
            simulation.store.rev += 1
            simulation.store.kv[key] = (entries, simulation.store.rev, None)
            simulation.store.log.append((simulation.store.rev, key, entries, True))
        lower_limits(simulation)
        simulation.allowed_refusals = 3  # each process learns the new limits from one refusal
        await simulation.submit(job("run-a", shards=12))
        await simulation.until_phase("run-a", "done", 60)
        simulation.kill(await simulation.until_leader())
        await trio.sleep(30)  # those machines send no heartbeats: their registry entries are deleted one by one
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

    run_scenario(scenario, next_limits=NEXT_LIMITS)


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


def test_failovers_under_lower_limits_with_late_writes() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=30, expectedRunS=5.0))
        await simulation.until(lambda: len(simulation.finished) > 3)
        rng = random.Random(2)

        def delay_write(src: str, dst: str, request: Request) -> bool:
            return request.path == "/multi" and rng.random() < 0.1

        simulation.net.hold_request = delay_write
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

    run_scenario(scenario, next_limits=NEXT_LIMITS)


def test_machine_in_two_registry_chunks_is_confirmed_once() -> None:
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


def test_progress_is_written_rarely_and_the_end_at_once() -> None:
    """Guards against writing a job's record at each change of the job: that used up the store's write rate and delayed
    submissions."""

    async def scenario(simulation: SimulatedCluster) -> None:
        for number in range(6):
            await simulation.submit(
                job(f"run-{number}", shards=24, vcpus=1.0, memoryGb=1.0, expectedRunS=1.0 + number / 3)
            )
        for number in range(6):
            await simulation.until_phase(f"run-{number}", "done")
        end_writes = [change for change in simulation.store.log if change[1].startswith("s/f/")]
        progress_writes = [
            change for change in simulation.store.log if change[1].startswith("s/j/") and change[3] and change[2]["n"]
        ]
        assert len(end_writes) == 6 and len(progress_writes) <= 24

    run_scenario(scenario)
