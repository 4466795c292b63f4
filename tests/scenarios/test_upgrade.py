"""Controllers of the previous version (in production) and of this one side by side, each on the other's data. The
previous version comes from this repository's history, at the commit that deploy/service.toml names."""

import random
from typing import Any

import msgspec
import pytest
import trio

from sorrelsill import constants
from sorrelsill.http import Request
from sorrelsill.jobs import chunk_value, new_record, parse_record, parse_spec, record_value
from sorrelsill.jobs.machine_registry import next_registry_write
from sorrelsill.model import TaskSet
from sorrelsill.settings import NextLimits
from sorrelsill.store import WatchCache
from tests.simulation import SimulatedCluster, job, production, run_scenario, service
from tests.simulation.users import LABELS

NEXT_LIMITS = NextLimits(write_rps=100.0, value_kb=2.0, txn_ops=5)


def prod_service(name: str, **fields: Any) -> dict[str, Any]:
    return service(name, **{"rank": "prod", "shards": 4, **fields})


async def start_load(simulation: SimulatedCluster) -> None:
    """Starts services and arrays, some of which run through the whole scenario."""
    await simulation.submit(prod_service("run-s", scatter=True))
    await simulation.submit(job("run-long", shards=12, expectedRunS=9.0))
    await simulation.submit(job("run-slow", shards=3, expectedRunS=70.0))
    await simulation.until(lambda: len(simulation.running("run-s")) == 4)


async def upgrade_controllers(
    simulation: SimulatedCluster, order: list[str], interval_s: float = 12.0, downtime_s: float = 4.0
) -> None:
    for label in order:
        simulation.kill(label)
        await trio.sleep(downtime_s)
        simulation.start(label)
        await trio.sleep(interval_s - downtime_s)


@pytest.mark.parametrize("first", range(3))
def test_rolling_upgrade_costs_at_most_two_leaders_and_no_task(first: int) -> None:
    """Any controller may be upgraded first. At the first leader change with an upgraded controller running, an
    upgraded one becomes leader."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await start_load(simulation)
        terms_before = len(simulation.leader_terms)
        await upgrade_controllers(simulation, [LABELS[(first + i) % 3] for i in range(3)])
        for number in range(6):
            assert await simulation.submit(job(f"run-{number}")) == 201
            await simulation.until_phase(f"run-{number}", "done")
        await simulation.until_phase("run-long", "done")
        await simulation.until_phase("run-slow", "done")
        assert len(simulation.leader_terms) - terms_before <= 2, simulation.leader_terms
        assert len(simulation.running("run-s")) == 4
        starts_per_task = {s: sum(1 for _, t, _ in simulation.starts if t == s) for _, s, _ in simulation.starts}
        assert set(starts_per_task.values()) == {1}, "no task was started twice"

    run_scenario(scenario, seed=first, production_version=True, next_limits=NEXT_LIMITS)


def test_upgraded_controller_becomes_leader_before_old_ones() -> None:
    takeovers = 0
    for seed in range(6):

        async def scenario(simulation: SimulatedCluster) -> None:
            nonlocal takeovers
            leader = await simulation.until_leader()
            assert type(simulation.controllers[leader]).__module__ == production.package() + ".node"
            upgraded, remaining = (label for label in LABELS if label != leader)
            simulation.kill(upgraded)
            await trio.sleep(0.5)
            simulation.start(upgraded)
            await trio.sleep(5)
            simulation.kill(leader)
            await simulation.until(lambda: simulation.leader() is not None, 10)
            takeovers += simulation.leader() == upgraded

        run_scenario(scenario, seed=seed, production_version=True, next_limits=NEXT_LIMITS)
    assert takeovers >= 5


def test_leader_changes_between_versions_lose_nothing() -> None:
    """Controllers switch between the versions in any order, also within a fraction of a second, with a store outage
    and late messages."""

    async def scenario(simulation: SimulatedCluster, seed: int) -> None:
        rng = random.Random(seed)
        await start_load(simulation)
        for number in range(10):
            label = simulation.leader() if rng.random() < 0.6 else None
            label = label or rng.choice(LABELS)
            simulation.kill(label)
            network = simulation.net
            network.hold_request = lambda src, dst, request: rng.random() < 0.02
            await trio.sleep(rng.choice((0.2, 2.0, 5.0)))
            simulation.start(label, production_version=rng.random() < 0.5)
            assert await simulation.submit(job(f"run-{number}", shards=3)) in (200, 201)
            if number % 3 == 0:
                await simulation.cancel(f"run-{number}")
            if number == 5:
                simulation.store.begin_outage()
                await trio.sleep(14)
                simulation.store.end_outage()
            await trio.sleep(rng.choice((1.0, 6.0)))
            network.hold_request = lambda src, dst, request: False
            network.release()
        for job_id in [u for u in simulation.specs if u != "run-s"]:
            if job_id not in simulation.final_phases:
                await simulation.until_phase(job_id, "done", 200)
        await simulation.until(lambda: len(simulation.running("run-s")) == 4, 60)

    for seed in range(4):

        async def run_seed(simulation: SimulatedCluster, seed: int = seed) -> None:
            await scenario(simulation, seed)

        run_scenario(run_seed, seed=seed, production_version=True, next_limits=NEXT_LIMITS)


def test_degraded_mode_with_both_versions_keeps_every_task() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await start_load(simulation)
        simulation.kill("n1")
        await trio.sleep(1)
        simulation.start("n1")
        await trio.sleep(8)
        running_before = sorted(simulation.running("run-s"))
        simulation.store.begin_outage()
        await trio.sleep(25)
        simulation.store.end_outage()
        await simulation.until_leader()
        assert sorted(simulation.running("run-s")) == running_before
        await simulation.until_phase("run-slow", "done")

    run_scenario(scenario, production_version=True, next_limits=NEXT_LIMITS)


def test_late_messages_to_previous_processes_are_harmless_after_an_upgrade() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await start_load(simulation)
        seen: list[Request] = []

        def delay_some(src: str, dst: str, request: Request) -> bool:
            delayed = (
                request.path in ("/hello", "/multi", "/commands")
                and len(seen) < 60
                and random.Random(len(seen)).random() < 0.3
            )
            seen.append(request)
            return delayed

        simulation.net.hold_request = delay_some
        await trio.sleep(4)
        simulation.net.hold_request = lambda src, dst, request: False
        await upgrade_controllers(simulation, list(LABELS), interval_s=6.0, downtime_s=0.3)
        simulation.net.release()
        await trio.sleep(20)
        await simulation.until_phase("run-slow", "done")
        assert len(simulation.running("run-s")) == 4

    run_scenario(scenario, production_version=True, next_limits=NEXT_LIMITS)


def test_restart_with_the_previous_version_and_rollback() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await start_load(simulation)
        await upgrade_controllers(simulation, ["n0"])
        simulation.kill("n2")
        await trio.sleep(0.3)
        simulation.start("n2", production_version=True)
        await trio.sleep(5)
        await upgrade_controllers(simulation, ["n1", "n2"])
        for label in LABELS:  # the operator rolls back
            simulation.kill(label)
            await trio.sleep(1)
            simulation.start(label, production_version=True)
            await trio.sleep(9)
        await simulation.until_phase("run-slow", "done")
        assert await simulation.submit(job("run-last")) == 201
        await simulation.until_phase("run-last", "done")
        assert len(simulation.running("run-s")) == 4

    run_scenario(scenario, production_version=True, next_limits=NEXT_LIMITS)


def test_finished_tasks_recorded_by_an_old_leader_are_kept() -> None:
    """The previous version writes all finished tasks into the record. Guards against losing them when this version
    moves the finished tasks of a record into chunks."""

    async def scenario(simulation: SimulatedCluster) -> None:
        shards = 9000
        await simulation.submit(job("run-big", shards=shards, vcpus=7.0, expectedRunS=500.0))
        controller = simulation.controllers[await simulation.until_leader()]
        assert controller.cluster is not None
        simulation.store.rev += 1
        simulation.store.kv["s/d/run-big/0"] = ("0-99", simulation.store.rev, None)
        simulation.store.log.append((simulation.store.rev, "s/d/run-big/0", "0-99", True))
        value, _, _ = simulation.store.kv["s/j/run-big"]
        simulation.store.rev += 1
        simulation.store.kv["s/j/run-big"] = ({**value, "d": "200-299", "n": 200}, simulation.store.rev, None)
        simulation.store.log.append((simulation.store.rev, "s/j/run-big", simulation.store.kv["s/j/run-big"][0], True))
        for _ in range(3):
            label = await simulation.until_leader()
            simulation.kill(label)
            await trio.sleep(0.3)
            simulation.start(label)
            controller = simulation.controllers[await simulation.until_leader()]
            assert controller.cluster is not None
            done = controller.cluster.jobs["run-big"].done
            assert done.count == 200 and 0 in done and 299 in done
            controller.cluster.pending_writes.records.add("run-big")
            await trio.sleep(9)
        assert simulation.store.kv["s/j/run-big"][0]["d"] == "", "the record is short again"

    run_scenario(scenario)


def test_gang_starts_once_across_a_rollback() -> None:
    """Gangs are submitted only once all controllers are upgraded, but an operator may roll back later."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-g", shape="group", shards=6, oneZone=True, expectedRunS=30.0))
        await simulation.until(lambda: len(simulation.gangs.starts) == 1)
        for label in LABELS:
            simulation.kill(label)
            await trio.sleep(1)
            simulation.start(label, production_version=True)
            await trio.sleep(6)
        await simulation.until_phase("run-g", "done", 200)
        assert len(simulation.gangs.starts) == 1

    run_scenario(scenario)


# --- stored values ---


def previous_records() -> Any:
    return production.module("jobs.records")


def test_both_versions_read_the_same_from_records_and_chunks() -> None:
    previous = previous_records()
    rng = random.Random(3)
    for shards in (1, 12, 350, 16_384, 40_000):
        raw = job("run-1", shards=shards, shape="group" if shards == 12 else "sweep")
        spec = parse_spec(raw)
        done = TaskSet(shards)
        for index in range(shards):
            if rng.random() < 0.4:
                done.add(index)
        inline = shards <= 16_384
        value = msgspec.msgpack.decode(msgspec.msgpack.encode(record_value(spec, done, 3, ["a", "b"], 5.0, inline)))
        numbers = range(-(-shards // 16_384)) if not inline else ()
        chunks = [(n, chunk_value(done, n)) for n in numbers]
        parsed = previous.parse_record(value, chunks)
        assert parsed[0].raw == spec.raw and parsed[2] == ["a", "b"]
        assert [i for i in range(shards) if i in parsed[1]] == [i for i in range(shards) if i in done]
        written_back = previous.record_value(parsed[0], parsed[1], 3, parsed[2], 5.0)
        parsed_back = parse_record(written_back, [(n * 16_384, previous.chunk_value(parsed[1], n)) for n in numbers])
        assert [i for i in range(shards) if i in parsed_back[1]] == [i for i in range(shards) if i in done]
        assert parsed_back[0] == spec
    assert previous.new_record(previous.parse_spec(job("run-1")), 1.0) == new_record(parse_spec(job("run-1")), 1.0)


def test_previous_version_reads_extra_registry_keys_and_ignores_small_chunks() -> None:
    entries = {f"m-{n:06d}": {"f": "c8", "a": f"10.0.0.{n}:9000", "z": "zone", "s": False} for n in range(60)}
    entries_by_key: dict[str, dict[str, Any]] = {}
    remaining = dict(entries)
    while remaining:
        write = next_registry_write("s/m/07", entries_by_key, remaining, set(), 1800)
        assert write is not None
        entries_by_key[write.key] = write.value
        for name in write.added:
            del remaining[name]
    assert len(entries_by_key) == 3

    async def compare_caches() -> None:
        previous_type = production.module("store.view").View
        current, previous = WatchCache.__new__(WatchCache), previous_type.__new__(previous_type)
        for cache, apply, machines in (
            (current, current.apply_change, current.registered_machines),
            (previous, previous.apply, previous.roster),
        ):
            cache.__dict__.update(keys={}, _chunk_keys={}, listeners=[], rev=0, finals={}, ended={}, _removed={})
            for number, (key, value) in enumerate(entries_by_key.items()):
                apply(key, value, number + 1, True)
            apply("s/e/run-1/3", "1-5", 9, True)
            apply("s/j/run-1", {"s": job("run-1", shards=20_000)}, 10, True)
            assert dict(machines()) == entries
        assert current.chunks("run-1") == [(3 * 4096, "1-5")]
        assert previous.chunks("run-1") == []

    trio.run(compare_caches)


def test_both_versions_share_the_constants_of_promises_and_records() -> None:
    previous = production.module("constants")

    shared_names = (
        "PROMISE_S",
        "PROMISE_EVERY_S",
        "PROMISE_AFTER_S",
        "PROMISE_MARGIN_S",
        "ATTEMPT_COUNTER_BITS",
        "CHUNK_TASKS",
        "REGISTRY_PARTS",
        "LOSS_MARGIN_S",
        "VALIDITY_OF_LEASE",
        "LEASE_OF_WORKER_LEASE",
    )
    previous_names = {
        "REGISTRY_PARTS": "ROSTER_PARTS",
        "ATTEMPT_COUNTER_BITS": "TRY_BITS",
        "CHUNK_TASKS": "CHUNK_SHARDS",
    }
    for name in shared_names:
        assert getattr(previous, previous_names.get(name, name)) == getattr(constants, name), name
