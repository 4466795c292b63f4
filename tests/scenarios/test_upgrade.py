"""Controllers of the version in production and of this one side by side, each on the other's data. The former comes
out of this repository's own history, at the commit that deploy/service.toml names."""

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

COMING = NextLimits(write_rps=100.0, value_kb=2.0, txn_ops=5)


def prod_service(name: str, **fields: Any) -> dict[str, Any]:
    return service(name, **{"rank": "prod", "shards": 4, **fields})


async def load(simulation: SimulatedCluster) -> None:
    """Services and arrays, some of which run all along."""
    await simulation.submit(prod_service("run-s", scatter=True))
    await simulation.submit(job("run-long", shards=12, expectedRunS=9.0))
    await simulation.submit(job("run-slow", shards=3, expectedRunS=70.0))
    await simulation.until(lambda: len(simulation.running("run-s")) == 4)


async def upgrade(simulation: SimulatedCluster, order: list[str], pause: float = 12.0, back: float = 4.0) -> None:
    for label in order:
        simulation.kill(label)
        await trio.sleep(back)
        simulation.start(label)
        await trio.sleep(pause - back)


@pytest.mark.parametrize("turn", range(3))
def test_a_rolling_upgrade_costs_a_leader_or_two_and_no_task(turn: int) -> None:
    """Whichever is killed first; a new one takes the key from the first change on that finds one up."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await load(simulation)
        held = len(simulation.leader_terms)
        await upgrade(simulation, [LABELS[(turn + i) % 3] for i in range(3)])
        for number in range(6):
            assert await simulation.submit(job(f"run-{number}")) == 201
            await simulation.until_phase(f"run-{number}", "done")
        await simulation.until_phase("run-long", "done")
        await simulation.until_phase("run-slow", "done")
        assert len(simulation.leader_terms) - held <= 2, simulation.leader_terms
        assert len(simulation.running("run-s")) == 4
        count = {s: sum(1 for _, t, _ in simulation.starts if t == s) for _, s, _ in simulation.starts}
        assert set(count.values()) == {1}, "no task was started twice"

    run_scenario(scenario, seed=turn, production_version=True, next_limits=COMING)


def test_a_new_controller_takes_the_key_before_old_ones_that_still_have_to_go() -> None:
    won = 0
    for seed in range(6):

        async def scenario(simulation: SimulatedCluster) -> None:
            nonlocal won
            leader = await simulation.until_leader()
            assert type(simulation.controllers[leader]).__module__ == production.package() + ".node"
            first, last = (label for label in LABELS if label != leader)
            simulation.kill(first)
            await trio.sleep(0.5)
            simulation.start(first)
            await trio.sleep(5)
            simulation.kill(leader)
            await simulation.until(lambda: simulation.leader() is not None, 10)
            won += simulation.leader() == first

        run_scenario(scenario, seed=seed, production_version=True, next_limits=COMING)
    assert won >= 5


def test_leadership_passes_to_and_fro_and_nothing_is_lost() -> None:
    """Versions change places in any order, also within a fraction of a second, with an outage and late messages."""

    async def scenario(simulation: SimulatedCluster, seed: int) -> None:
        dice = random.Random(seed)
        await load(simulation)
        for number in range(10):
            label = simulation.leader() if dice.random() < 0.6 else None
            label = label or dice.choice(LABELS)
            simulation.kill(label)
            held = simulation.net
            held.hold_request = lambda src, dst, request: dice.random() < 0.02
            await trio.sleep(dice.choice((0.2, 2.0, 5.0)))
            simulation.start(label, production_version=dice.random() < 0.5)
            assert await simulation.submit(job(f"run-{number}", shards=3)) in (200, 201)
            if number % 3 == 0:
                await simulation.cancel(f"run-{number}")
            if number == 5:
                simulation.store.begin_outage()
                await trio.sleep(14)
                simulation.store.end_outage()
            await trio.sleep(dice.choice((1.0, 6.0)))
            held.hold_request = lambda src, dst, request: False
            held.release()
        for job_id in [u for u in simulation.specs if u != "run-s"]:
            if job_id not in simulation.final_phases:
                await simulation.until_phase(job_id, "done", 200)
        await simulation.until(lambda: len(simulation.running("run-s")) == 4, 60)

    for seed in range(4):

        async def told(simulation: SimulatedCluster, seed: int = seed) -> None:
            await scenario(simulation, seed)

        run_scenario(told, seed=seed, production_version=True, next_limits=COMING)


def test_degraded_mode_of_both_versions_keeps_every_task() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await load(simulation)
        simulation.kill("n1")
        await trio.sleep(1)
        simulation.start("n1")
        await trio.sleep(8)
        before = sorted(simulation.running("run-s"))
        simulation.store.begin_outage()
        await trio.sleep(25)
        simulation.store.end_outage()
        await simulation.until_leader()
        assert sorted(simulation.running("run-s")) == before
        await simulation.until_phase("run-slow", "done")

    run_scenario(scenario, production_version=True, next_limits=COMING)


def test_late_copies_for_former_processes_reach_the_new_ones_and_harm_nothing() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await load(simulation)
        held: list[Request] = []

        def hold(src: str, dst: str, request: Request) -> bool:
            some = (
                request.path in ("/hello", "/multi", "/commands")
                and len(held) < 60
                and random.Random(len(held)).random() < 0.3
            )
            held.append(request)
            return some

        simulation.net.hold_request = hold
        await trio.sleep(4)
        simulation.net.hold_request = lambda src, dst, request: False
        await upgrade(simulation, list(LABELS), pause=6.0, back=0.3)
        simulation.net.release()
        await trio.sleep(20)
        await simulation.until_phase("run-slow", "done")
        assert len(simulation.running("run-s")) == 4

    run_scenario(scenario, production_version=True, next_limits=COMING)


def test_one_that_dies_before_its_turn_comes_back_old_and_an_operator_goes_back() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await load(simulation)
        await upgrade(simulation, ["n0"])
        simulation.kill("n2")
        await trio.sleep(0.3)
        simulation.start("n2", production_version=True)
        await trio.sleep(5)
        await upgrade(simulation, ["n1", "n2"])
        for label in LABELS:  # and back
            simulation.kill(label)
            await trio.sleep(1)
            simulation.start(label, production_version=True)
            await trio.sleep(9)
        await simulation.until_phase("run-slow", "done")
        assert await simulation.submit(job("run-last")) == 201
        await simulation.until_phase("run-last", "done")
        assert len(simulation.running("run-s")) == 4

    run_scenario(scenario, production_version=True, next_limits=COMING)


def test_what_an_old_leader_adds_to_a_job_kept_in_parts_is_not_lost() -> None:
    """Guards against this: a record that the former version wrote in full was left out of the parts beside it."""

    async def scenario(simulation: SimulatedCluster) -> None:
        shards = 9000
        await simulation.submit(job("run-big", shards=shards, vcpus=7.0, expectedRunS=500.0))
        node = simulation.controllers[await simulation.until_leader()]
        assert node.cluster is not None
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
            node = simulation.controllers[await simulation.until_leader()]
            assert node.cluster is not None
            done = node.cluster.jobs["run-big"].done
            assert done.count == 200 and 0 in done and 299 in done
            node.cluster.pending_writes.records.add("run-big")
            await trio.sleep(9)
        assert simulation.store.kv["s/j/run-big"][0]["d"] == "", "and the record is short again"

    run_scenario(scenario)


def test_a_gang_that_leaders_of_the_former_version_find_breaks_no_rule() -> None:
    """Nothing new is asked before all are new; but an operator may go back."""

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


def records() -> Any:
    return production.module("jobs.records")


def test_records_and_parts_mean_the_same_to_both_versions() -> None:
    old = records()
    dice = random.Random(3)
    for shards in (1, 12, 350, 16_384, 40_000):
        raw = job("run-1", shards=shards, shape="group" if shards == 12 else "sweep")
        spec = parse_spec(raw)
        done = TaskSet(shards)
        for index in range(shards):
            if dice.random() < 0.4:
                done.add(index)
        inline = shards <= 16_384
        value = msgspec.msgpack.decode(msgspec.msgpack.encode(record_value(spec, done, 3, ["a", "b"], 5.0, inline)))
        numbers = range(-(-shards // 16_384)) if not inline else ()
        chunks = [(n, chunk_value(done, n)) for n in numbers]
        told = old.parse_record(value, chunks)
        assert told[0].raw == spec.raw and told[2] == ["a", "b"]
        assert [i for i in range(shards) if i in told[1]] == [i for i in range(shards) if i in done]
        theirs = old.record_value(told[0], told[1], 3, told[2], 5.0)
        back = parse_record(theirs, [(n * 16_384, old.chunk_value(told[1], n)) for n in numbers])
        assert [i for i in range(shards) if i in back[1]] == [i for i in range(shards) if i in done]
        assert back[0] == spec
    assert old.new_record(old.parse_spec(job("run-1")), 1.0) == new_record(parse_spec(job("run-1")), 1.0)


def test_the_former_version_waits_for_machines_in_further_registry_keys_and_ignores_small_chunks() -> None:
    entries = {f"m-{n:06d}": {"f": "c8", "a": f"10.0.0.{n}:9000", "z": "zone", "s": False} for n in range(60)}
    parts: dict[str, dict[str, Any]] = {}
    left = dict(entries)
    while left:
        write = next_registry_write("s/m/07", parts, left, set(), 1800)
        assert write is not None
        parts[write.key] = write.value
        for name in write.added:
            del left[name]
    assert len(parts) == 3

    async def both() -> None:
        former_type = production.module("store.view").View
        present, former = WatchCache.__new__(WatchCache), former_type.__new__(former_type)
        for cache, apply, machines in (
            (present, present.apply_change, present.registered_machines),
            (former, former.apply, former.roster),
        ):
            cache.__dict__.update(keys={}, _chunk_keys={}, listeners=[], rev=0, finals={}, ended={}, _removed={})
            for number, (key, value) in enumerate(parts.items()):
                apply(key, value, number + 1, True)
            apply("s/e/run-1/3", "1-5", 9, True)
            apply("s/j/run-1", {"s": job("run-1", shards=20_000)}, 10, True)
            assert dict(machines()) == entries
        assert present.chunks("run-1") == [(3 * 4096, "1-5")]
        assert former.chunks("run-1") == []

    trio.run(both)


def test_promises_are_understood_both_ways_and_last_as_long() -> None:
    old = production.module("constants")

    shared = (
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
    former_names = {"REGISTRY_PARTS": "ROSTER_PARTS", "ATTEMPT_COUNTER_BITS": "TRY_BITS", "CHUNK_TASKS": "CHUNK_SHARDS"}
    for name in shared:
        assert getattr(old, former_names.get(name, name)) == getattr(constants, name), name
