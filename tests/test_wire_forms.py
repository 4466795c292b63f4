"""Formats of messages and stored data: messages to and from workers, users and peers, keys and values in the store,
and names on the pages for operators. These bytes and names must not change when code is renamed."""

from __future__ import annotations

import re
from typing import Any

import msgspec
import orjson
import pytest
import trio

from sorrelsill.http import Reply, Request
from tests.simulation import SimulatedCluster, job, run_scenario, service

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode

FIRST_MACHINE = "10.1.0.0:9000"
FIRST_REGISTRY_KEY = "24"  # the registry key, without its prefix, whose value holds FIRST_MACHINE
FIRST_ATTEMPT = 16777217  # the first attempt of term 1: the term times 2**24, plus a counter
CATALOG_LOAD_S = 5.0  # s; enough for the first leader to load the catalog

Exchange = tuple[str, str, Request, Reply]  # sender, receiver, request, answer


def record_exchanges(simulation: SimulatedCluster) -> list[Exchange]:
    """Records all requests to controllers and their peer listeners from now on, with the answers."""
    exchanges: list[Exchange] = []

    def wrap(name: str) -> None:
        handler = simulation.net.handlers[name]

        async def handle(src: str, request: Request) -> Reply:
            reply = await handler(src, request)
            exchanges.append((src, name, request, reply))
            return reply

        simulation.net.handlers[name] = handle

    for label in simulation.controllers:
        wrap(label)
        wrap(f"{label}:peer")
    return exchanges


def record_requests(simulation: SimulatedCluster, path: str) -> list[Request]:
    """Records all requests to this path from now on."""
    requests: list[Request] = []

    def copy_request(src: str, dst: str, request: Request) -> None:
        if request.path == path:
            requests.append(request)

    simulation.net.copy_request = copy_request
    return requests


async def until_ready(simulation: SimulatedCluster) -> str:
    """Waits for a leader that has loaded the catalog; returns its label."""
    leader = await simulation.until_leader()
    await trio.sleep(CATALOG_LOAD_S)
    return leader


async def write(simulation: SimulatedCluster, values: dict[str, Any]) -> None:
    """Writes values to the store directly, without a controller."""
    body = {"if": [], "writes": [{"set": key, "value": value} for key, value in values.items()]}
    reply = await simulation.store.handle("test", Request("POST", "/multi", "", _encode(body)))
    assert reply.status == 200


async def restart_all(simulation: SimulatedCluster) -> str:
    """Starts new processes, which load everything from the store; returns the leader's label."""
    for label in list(simulation.controllers):
        simulation.kill(label)
    for label in list(simulation.controllers):
        simulation.start(label)
    return await simulation.until_leader()


def stored(simulation: SimulatedCluster, key: str) -> Any:
    return simulation.store.kv[key][0]


def test_commands_to_a_worker() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_ready(simulation)
        requests = record_requests(simulation, "/commands")
        await simulation.submit(service("run-s", shards=1))
        await simulation.until(lambda: len(simulation.running("run-s")) == 1)
        await trio.sleep(3)
        await simulation.cancel("run-s")
        await simulation.until(lambda: not simulation.running("run-s"))
        wake_up = {"verb": "start", "shard": "wake-up/0", "tryNo": FIRST_ATTEMPT + 1}
        halt = {"verb": "halt", "shard": "run-s/0", "tryNo": FIRST_ATTEMPT, "windDownS": 0.0}
        assert [request.method for request in requests] == ["POST", "POST"]
        assert [request.body for request in requests] == [
            _encode({"epoch": 1, "tenure": 1, "orders": [wake_up]}),
            _encode({"epoch": 1, "tenure": 1, "orders": [halt]}),
        ]

    run_scenario(scenario)


def test_answers_to_a_heartbeat() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await until_ready(simulation)
        exchanges = record_exchanges(simulation)
        await simulation.submit(job("run-a", shards=1, expectedRunS=1.0))
        await simulation.until_phase("run-a", "done")
        await trio.sleep(10)
        answers = {(reply.status, reply.body) for _, _, request, reply in exchanges if request.path == "/hello"}
        start = {"verb": "start", "shard": "run-a/0", "tryNo": FIRST_ATTEMPT}
        clear = {"verb": "clear", "shard": "run-a/0", "tryNo": FIRST_ATTEMPT}
        clear_wake_up = {"verb": "clear", "shard": "wake-up/0", "tryNo": FIRST_ATTEMPT + 1}
        assert answers == {
            (421, _encode({"upstream": leader})),
            (200, _encode({"epoch": 1, "orders": []})),
            (200, _encode({"epoch": 1, "orders": [start]})),
            (200, _encode({"epoch": 1, "orders": [clear_wake_up]})),
            (200, _encode({"epoch": 1, "orders": [clear]})),
        }

    run_scenario(scenario)


REQUIRED_FIELDS = {"host": "10.9.0.1:9000", "tenure": 1, "serial": 1}
ALL_FIELDS = {
    "host": "10.9.0.1:9000",
    "addr": "10.9.0.1:9001",
    "flavour": "c8",
    "region": "b",
    "reclaimable": True,
    "tenure": 1,
    "serial": 1,
    "epoch": 0,
    "evictInS": 1000.0,
    "shards": [
        {"shard": "run-never/0", "tryNo": 5, "phase": "running"},
        {"shard": "run-never/1", "tryNo": 6, "phase": "exited", "exitCause": "halted", "saved": True},
    ],
}
HALT_UNKNOWN = {"verb": "halt", "shard": "run-never/0", "tryNo": 5, "windDownS": 0.0}
CLEAR_UNKNOWN = {"verb": "clear", "shard": "run-never/1", "tryNo": 6}


ALL_FIELDS_ENTRY = {"10.9.0.1:9000": {"f": "c8", "a": "10.9.0.1:9001", "z": "b", "s": True}}


@pytest.mark.parametrize(
    ("heartbeat", "first_commands", "later_commands", "registry"),
    [
        (REQUIRED_FIELDS, [], [], {}),
        ({**REQUIRED_FIELDS, "later": 1}, [], [], {}),
        (ALL_FIELDS, [HALT_UNKNOWN], [HALT_UNKNOWN, CLEAR_UNKNOWN], {"s/m/09": ALL_FIELDS_ENTRY}),
        (
            {**ALL_FIELDS, "later": {"a": [1]}},
            [HALT_UNKNOWN],
            [HALT_UNKNOWN, CLEAR_UNKNOWN],
            {"s/m/09": ALL_FIELDS_ENTRY},
        ),
    ],
    ids=["required", "required and unknown", "every field", "every field and unknown"],
)
def test_heartbeat_with_required_all_and_unknown_fields(
    heartbeat: dict[str, Any],
    first_commands: list[dict[str, Any]],
    later_commands: list[dict[str, Any]],
    registry: dict[str, Any],
) -> None:
    """With all fields, the second heartbeat acknowledges the leader's term and the machine is registered then."""

    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await until_ready(simulation)
        requests = record_requests(simulation, "/commands")
        simulation.net.handlers["10.9.0.1:9001"] = answer_500
        await send_heartbeat(simulation, leader, {**heartbeat, "serial": 1}, first_commands)
        acknowledged = {"epoch": 1} if "epoch" in heartbeat else {}
        for serial in (2, 3, 4):
            await send_heartbeat(simulation, leader, {**heartbeat, **acknowledged, "serial": serial}, later_commands)
        assert {k: v for k, (v, _, _) in simulation.store.kv.items() if k.startswith("s/m/")} == registry
        direct_commands = {_encode({"epoch": 1, "tenure": 1, "orders": first_commands})} if first_commands else set()
        assert {request.body for request in requests} == direct_commands
        _, state = await simulation.ask(leader, "GET", "/state")
        assert state["hosts"] == 1

    run_scenario(scenario)


async def answer_500(src: str, request: Request) -> Reply:
    return Reply(500)


async def send_heartbeat(
    simulation: SimulatedCluster, leader: str, heartbeat: dict[str, Any], commands: list[dict[str, Any]]
) -> None:
    answer = await simulation.ask(leader, "POST", "/hello", heartbeat)
    assert answer == (200, {"epoch": 1, "orders": commands})
    await trio.sleep(1)


@pytest.mark.parametrize("missing", ["host", "tenure", "serial"])
def test_heartbeat_without_a_required_field_is_refused(missing: str) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await simulation.until_leader()
        body = {name: value for name, value in ALL_FIELDS.items() if name != missing}
        answer = await simulation.ask(leader, "POST", "/hello", body)
        assert answer == (400, {"error": f"Object missing required field `{missing}`"})

    run_scenario(scenario)


SPEC_OF_A_SERVICE = {
    "uid": "run-s",
    "workload": "w",
    "owner": "red",
    "shape": "standing",
    "rank": "standard",
    "shards": 2,
    "vcpus": 8.0,
    "gpus": 0.0,
    "memoryGb": 4.0,
    "bundle": "img",
    "sizeGb": 0.5,
    "oneZone": False,
    "scatter": False,
    "reclaimable": False,
    "expectedRunS": 0.0,
    "snapshotEveryS": 0.0,
    "snapshotCostS": 0.0,
}
SPEC_OF_AN_ARRAY = {
    **SPEC_OF_A_SERVICE,
    "uid": "run-a",
    "shape": "sweep",
    "shards": 4,
    "vcpus": 4.0,
    "expectedRunS": 20.0,
}
NO_ROOM_NOTE = "waiting: no room on the machines it may use"


def test_records_of_jobs() -> None:
    """`s` is the submission without null fields; `w` comes last and only if there are notes."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await until_ready(simulation)
        await simulation.submit(service("run-s", shards=2, vcpus=8.0))
        await simulation.submit(job("run-a", shards=4, vcpus=4.0, expectedRunS=20.0))
        accepted_at = stored(simulation, "s/j/run-a")["t"]
        assert round(accepted_at, 3) == accepted_at > 0
        accepted_record = {"s": SPEC_OF_AN_ARRAY, "d": "", "n": 0, "r": 0, "t": accepted_at}
        assert_same_bytes(stored(simulation, "s/j/run-a"), accepted_record)
        await simulation.until(lambda: len(simulation.running("run-a")) == 4 and len(simulation.running("run-s")) == 2)
        await trio.sleep(10)
        assert_same_bytes(stored(simulation, "s/j/run-a"), {**accepted_record, "r": 4, "w": [NO_ROOM_NOTE]})
        service_accepted_at = stored(simulation, "s/j/run-s")["t"]
        assert_same_bytes(
            stored(simulation, "s/j/run-s"),
            {"s": SPEC_OF_A_SERVICE, "d": "", "n": 0, "r": 2, "t": service_accepted_at, "w": [NO_ROOM_NOTE]},
        )
        assert_same_bytes(
            stored(simulation, f"s/m/{FIRST_REGISTRY_KEY}"),
            {FIRST_MACHINE: {"f": "c8", "a": FIRST_MACHINE, "z": "a", "s": False}},
        )
        await simulation.until_phase("run-a", "done")
        await simulation.cancel("run-s")
        assert_same_bytes(stored(simulation, "s/f/run-a"), {"p": "done", "n": 4, "o": "red", "w": [NO_ROOM_NOTE]})
        assert_same_bytes(
            stored(simulation, "s/f/run-s"),
            {"p": "cancelled", "n": 0, "o": "red", "w": [NO_ROOM_NOTE, "cancelled by its user"]},
        )
        keys = {key for _, key, _, _ in simulation.store.log}
        registry_keys = {key for key in keys if key.startswith("s/m/")}
        assert keys - registry_keys == {
            "s/leader",
            "s/catalog",
            "s/j/run-s",
            "s/j/run-a",
            "s/f/run-s",
            "s/f/run-a",
        }
        assert all(len(key) == len("s/m/00") and key[4:].isdecimal() for key in registry_keys)

    run_scenario(scenario)


def assert_same_bytes(value: Any, expected: Any) -> None:
    """Compares the order of fields too, so that the same bytes are written."""
    assert _encode(value) == _encode(expected), value


def test_values_of_the_leader_key_and_the_catalog() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await until_ready(simulation)
        value, _, lease = simulation.store.kv["s/leader"]
        nonce = value["nonce"]
        assert isinstance(nonce, str) and len(nonce) == 16 and int(nonce, 16) >= 0
        assert_same_bytes(value, {"label": leader, "nonce": nonce, "lease": 1})
        assert lease == 1, "the key is held by the lease that it names"
        machine_type = {
            "sku": "c8",
            "vcpus": 8,
            "gpus": 0,
            "memoryGb": 32,
            "cacheGb": 50,
            "pullGbPerS": 1.0,
            "price": 1.0,
            "spotPrice": 0.4,
            "bootS": 5,
            "regions": ["a", "b"],
        }
        assert_same_bytes(stored(simulation, "s/catalog"), {"flavours": [machine_type]})

    run_scenario(scenario)


def test_finished_tasks_are_written_in_chunks_of_16384() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_ready(simulation)
        await simulation.submit(job("run-big", shards=24_000, vcpus=0.1, memoryGb=0.05, expectedRunS=1.0))
        await simulation.until_phase("run-big", "done", 300)
        await trio.sleep(15)
        written = [(key, value) for _, key, value, present in simulation.store.log if present]
        chunks = [(key, value) for key, value in written if key.startswith(("s/d/", "s/e/"))]
        assert {key for key, _ in chunks} == {"s/d/run-big/0", "s/d/run-big/1"}
        assert ("s/d/run-big/0", "0-16383") in chunks
        assert all(re.fullmatch(r"0-[0-9]+(,[0-9]+-[0-9]+)*", value) for _, value in chunks)
        assert {value["d"] for key, value in written if key == "s/j/run-big"} == {""}
        assert not [key for key in simulation.store.kv if key.startswith(("s/d/", "s/e/", "s/j/"))]

    run_scenario(scenario)


def test_finished_tasks_are_read_from_ranges_bits_chunks_and_small_chunks() -> None:
    """New processes start the tasks that the stored text doesn't list as finished, in order, and no others."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await until_ready(simulation)
        simulation.cloud.capacity = 8
        spec = job("run-big", shards=32_770, vcpus=1.0, memoryGb=0.5, expectedRunS=500.0)
        await store_accepted_job(simulation, spec, {"d": "", "n": 32_765, "r": 0, "t": 2.0})
        await write(
            simulation,
            {
                "s/d/run-big/0": "0-16382",
                "s/d/run-big/1": "=" + "/" * 20,  # 120 tasks from 16384 on
                "s/d/run-big/2": "1",
                "s/e/run-big/5": "0-1023",  # from 5 * 4096 on
            },
        )
        await restart_all(simulation)
        await simulation.until(lambda: len(simulation.running("run-big")) == 64)
        started = sorted(int(task_id.rpartition("/")[2]) for _, task_id, _ in simulation.starts)
        assert started == [16_383, *range(16_504, 16_567)]
        await trio.sleep(15)
        _, answer = await simulation.poll("run-big")
        assert answer == {"uid": "run-big", "phase": "running", "done": 16_383 + 120 + 1 + 1_024, "running": 64}

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("text", "finished"),
    [
        ("=VVVVVVVV", set(range(0, 48, 2))),
        ("0-23", set(range(24))),
        ("3,5-46", {3, *range(5, 47)}),
        ("", set()),
    ],
    ids=["bits", "range", "number and range", "none"],
)
def test_finished_tasks_of_a_small_job_are_read_and_written_alike(text: str, finished: set[int]) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_ready(simulation)
        spec = job("run-a", shards=48, vcpus=1.0, memoryGb=0.5, expectedRunS=500.0)
        await store_accepted_job(simulation, spec, {"d": text, "n": len(finished), "r": 0, "t": 1.0})
        await restart_all(simulation)
        await simulation.until(lambda: len(simulation.running("run-a")) == 48 - len(finished), 120)
        assert {int(task_id.rpartition("/")[2]) for _, task_id, _ in simulation.starts} == set(range(48)) - finished
        await trio.sleep(15)
        value = stored(simulation, "s/j/run-a")
        assert list(value)[:5] == ["s", "d", "n", "r", "t"]
        assert (value["d"], value["n"], value["r"], value["t"]) == (text, len(finished), 48 - len(finished), 1.0)

    run_scenario(scenario)


async def store_accepted_job(simulation: SimulatedCluster, spec: dict[str, Any], progress: dict[str, Any]) -> None:
    """Stores the record of a job that was accepted before."""
    simulation.specs[spec["uid"]] = spec
    simulation.accepted.add(spec["uid"])
    await write(simulation, {f"s/j/{spec['uid']}": {"s": spec, **progress}})


def test_answers_to_users() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_ready(simulation)
        ask = simulation.ask
        spec = simulation.specs["run-s"] = service("run-s", shards=2, vcpus=8.0)
        pending = {"uid": "run-s", "phase": "pending", "done": 0, "running": 0}
        assert await ask("n0", "POST", "/v2/runs", spec) == (201, {"uid": "run-s", "phase": "pending"})
        assert await ask("n0", "POST", "/v2/runs", spec) == (200, pending)
        assert await ask("n0", "GET", "/v2/runs/run-s") == (200, pending)
        assert await ask("n0", "GET", "/v2/runs/run-s/why") == (200, {**pending, "why": []})
        await simulation.until(lambda: len(simulation.running("run-s")) == 2)
        await trio.sleep(10)
        running = {"uid": "run-s", "phase": "running", "done": 0, "running": 2}
        assert await ask("n0", "GET", "/v2/runs/run-s") == (200, running)
        assert await ask("n0", "GET", "/v2/runs/run-s/why") == (200, {**running, "why": [NO_ROOM_NOTE]})
        listed = {"runs": [{**running, "workload": "w"}], "hasNext": False}
        assert await ask("n2", "GET", "/v2/teams/red/runs") == (200, listed)
        assert await ask("n2", "GET", "/v2/teams/blue/runs") == (200, {"runs": [], "hasNext": False})
        cancelled = {"uid": "run-s", "phase": "cancelled"}
        assert await ask("n0", "POST", "/v2/runs/run-s/cancel") == (200, cancelled)
        over = {"uid": "run-s", "phase": "cancelled", "done": 0, "running": 0}
        await trio.sleep(3)
        assert await ask("n0", "GET", "/v2/runs/run-s") == (200, over)
        notes = [NO_ROOM_NOTE, "cancelled by its user"]
        assert await ask("n0", "GET", "/v2/runs/run-s/why") == (200, {**over, "why": notes})

    run_scenario(scenario)


def test_refusals_to_users() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_ready(simulation)
        ask = simulation.ask
        no_job = (404, {"error": "no such job"})
        assert await ask("n0", "GET", "/v2/runs/run-never") == no_job
        assert await ask("n0", "GET", "/v2/runs/run-never/why") == no_job
        assert await ask("n0", "POST", "/v2/runs/run-never/cancel") == no_job
        assert await ask("n0", "GET", "/v2/teams/none/runs") == (404, {"error": "no such team"})
        for body, status, error in (
            (b"\xc1", 400, "body: not MessagePack"),
            (job("run-x", shards=0), 400, "shards: must be a whole number from 1 to 100000"),
            (job("run-x", vcpus=9.0), 422, "a task fits no allowed machine type"),
            (job("run-x", owner="nobody"), 422, "unknown team nobody"),
        ):
            assert await ask("n0", "POST", "/v2/runs", body) == (status, {"error": error})

    run_scenario(scenario)


@pytest.mark.parametrize("failing", [False, True], ids=["store answers", "outage"])
def test_promise_request_and_answer(failing: bool) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_ready(simulation)
        await simulation.submit(service("run-s", shards=1))
        await simulation.cancel("run-s")
        await trio.sleep(1)
        if failing:
            simulation.store.begin_outage()
            await trio.sleep(4)
        body = orjson.dumps({"promise": True, "back": 20.0})
        for label in simulation.controllers:
            reply = await simulation.net.handlers[f"{label}:peer"]("peer", Request("POST", "/promise", "", body))
            answer = orjson.loads(reply.body)
            known = answer["known"]
            expected = {
                "promised": failing,
                "failing": failing,
                "known": {
                    "cancelled": ["run-s"],
                    "back": known["back"],
                    "followed": known["followed"],
                    "fresh": known["fresh"],
                },
                "revision": simulation.store.rev,
            }
            assert reply.status == 200 and reply.body == orjson.dumps(expected)
            assert 0 < known["back"] <= 20.0
            assert all(known[name] is None or known[name] >= 0 for name in ("followed", "fresh"))

    run_scenario(scenario)


def test_promise_requests_of_controllers() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_ready(simulation)
        requests = record_requests(simulation, "/promise")
        simulation.store.begin_outage()
        await trio.sleep(4)
        assert requests
        for request in requests:
            asked = orjson.loads(request.body)
            assert request.method == "POST" and request.body == orjson.dumps({"promise": True, "back": asked["back"]})
            assert isinstance(asked["back"], float) and asked["back"] > 0

    run_scenario(scenario)


STATE_NAMES = [
    "label",
    "leader",
    "leading",
    "term",
    "standstill",
    "store_failing_s",
    "jobs",
    "hosts",
    "unheard",
    "unplaced",
    "groups",
    "groups_waiting",
    "refused",
    "set_aside",
    "starts_refused",
    "teams",
    "counts",
    "peers",
    "handovers_s",
]
LEADER_ONLY_NAMES = ["jobs", "hosts", "unheard", "unplaced", "groups", "groups_waiting", "starts_refused", "teams"]
TEAM_NAMES = [
    "bound_cpus",
    "bound_gpus",
    "unaccounted_cpus",
    "unaccounted_gpus",
    "limit_cpus",
    "limit_gpus",
    "highest_bound_cpus",
    "highest_bound_gpus",
]


def test_names_in_the_state_page() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await until_ready(simulation)
        await simulation.submit(job("run-a", shards=2, vcpus=1.0))
        await simulation.until_phase("run-a", "done")
        follower = next(label for label in simulation.controllers if label != leader)
        for label in (leader, follower):
            _, state = await simulation.ask(label, "GET", "/state")
            assert list(state) == STATE_NAMES
            assert (state["label"], state["leader"], state["leading"]) == (label, leader, label == leader)
            assert [name for name in LEADER_ONLY_NAMES if state[name] is None] == (
                [] if label == leader else LEADER_ONLY_NAMES
            )
            assert "reports" in state["counts"]
        _, state = await simulation.ask(leader, "GET", "/state")
        assert {team: list(amounts) for team, amounts in state["teams"].items()} == {
            "red": TEAM_NAMES,
            "blue": TEAM_NAMES,
        }
        assert state["teams"]["red"]["highest_bound_cpus"] == 2.0

    run_scenario(scenario)


FOLLOWER_METRICS = {
    "sorrelsill_leader_status",
    "sorrelsill_standstill",
    "sorrelsill_store_failing_s",
    "sorrelsill_refused",
    "sorrelsill_set_aside",
    "sorrelsill_events_total",
    "sorrelsill_events_created",
}
LEADER_METRICS = FOLLOWER_METRICS | {
    "sorrelsill_jobs",
    "sorrelsill_hosts",
    "sorrelsill_unheard",
    "sorrelsill_unplaced",
    "sorrelsill_groups",
    "sorrelsill_groups_waiting",
    "sorrelsill_starts_refused",
    "sorrelsill_team",
}


def test_names_in_the_metrics_page() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        leader = await until_ready(simulation)
        await simulation.submit(job("run-a", shards=2, vcpus=1.0))
        await simulation.until_phase("run-a", "done")
        for label in simulation.controllers:
            await simulation.poll("run-a", label)
            page = (await simulation.ask_raw(label, "/metrics")).decode()
            names = {re.split("[{ ]", line)[0] for line in page.splitlines() if line and not line.startswith("#")}
            assert names == (LEADER_METRICS if label == leader else FOLLOWER_METRICS)
            assert f"sorrelsill_leader_status {float(label == leader)}" in page
        page = (await simulation.ask_raw(leader, "/metrics")).decode()
        for team in ("red", "blue"):
            for amount in TEAM_NAMES:
                assert f'sorrelsill_team{{amount="{amount}",team="{team}"}} ' in page
        assert 'sorrelsill_events_total{event="reports"} ' in page

    run_scenario(scenario)
