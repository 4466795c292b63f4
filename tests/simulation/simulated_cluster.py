"""A whole small deployment: three controllers, store, cloud, workers, users; and the rules, checked as it goes."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio
import trio.testing

from sorrelsill.controller import Controller
from sorrelsill.http import NoAnswerError, NotSentError, Reply, Request
from sorrelsill.settings import (
    CloudLimits,
    Facts,
    Member,
    NextLimits,
    Operator,
    Services,
    Settings,
    StateLimits,
    Team,
    Workers,
)
from tests.simulation import production
from tests.simulation.cloud import FakeCloud
from tests.simulation.freeze import Gate, GatedTasks
from tests.simulation.gangs import Gangs
from tests.simulation.network import FakeNet
from tests.simulation.store import FakeStore
from tests.simulation.worker import FakeWorker

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode

LABELS = ("n0", "n1", "n2")
REPORT_S, LEASE_S, CANCEL_S = 1.0, 11.0, 30.0
GANG_WAIT_S, GANG_PEER_S = 40.0, 5.0


def job(name: str, **fields: Any) -> dict[str, Any]:
    """A job as a user submits it."""
    base = {
        "uid": name,
        "workload": "w",
        "owner": "red",
        "shape": "sweep",
        "rank": "standard",
        "shards": 2,
        "vcpus": 2.0,
        "gpus": 0.0,
        "memoryGb": 4.0,
        "bundle": "img",
        "sizeGb": 0.5,
        "flavours": None,
        "region": None,
        "oneZone": False,
        "scatter": False,
        "reclaimable": False,
        "expectedRunS": 5.0,
        "snapshotEveryS": 0.0,
        "snapshotCostS": 0.0,
        "dueS": None,
    }
    return {**base, **fields}


def service(job_id: str, **fields: Any) -> dict[str, Any]:
    """A service as a user submits it."""
    return job(job_id, **{"shape": "standing", "expectedRunS": 0.0, **fields})


class SimulatedCluster:
    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int,
        teams: list[Team],
        txn_ops: int = 16,
        coming: NextLimits | None = None,
        old: bool = False,
        gated: GatedTasks | None = None,
    ) -> None:
        self.coming = coming
        self._gated = gated or GatedTasks()
        self._gates: dict[str, Gate] = {}
        self.request_cost_s = 0.0  # processor time of a controller for each request
        self._processors: dict[str, trio.Lock] = {}
        self.may_refuse = 0  # transactions that the store may refuse as too large in this story
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.net = FakeNet(nursery)
        self.net.sent = self._check_entitled
        self.store = FakeStore(txn_ops=txn_ops)
        self.value_kb, self.txn_ops = self.store.value_kb, txn_ops  # as the settings tell
        self.cloud = FakeCloud(self._boot)
        self.cloud.on_return = self.kill_machine
        self.teams = teams
        self.nodes: dict[str, Controller] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.ever_up: set[str] = set()  # machines that came up
        self.on_boot: Callable[[str], None] = lambda name: None
        self.specs: dict[str, dict[str, Any]] = {}
        self.accepted: set[str] = set()
        self.over: dict[str, str] = {}  # what users were told: uid -> done or cancelled
        self.cancelled_at: dict[str, float] = {}
        self.started_cancelled = 0  # starts after their user was told that the job is cancelled
        self.starts: list[tuple[float, str, str]] = []  # time, task, machine
        self.finished: set[str] = set()
        self.gangs = Gangs(GANG_WAIT_S, GANG_PEER_S)
        self.broken: list[str] = []
        self.net.handlers["store"] = self.store.handle
        self.net.handlers["cloud"] = self.cloud.handle
        nursery.start_soon(self.store.run)
        nursery.start_soon(self.cloud.run)
        nursery.start_soon(self._watch)
        self.led: list[tuple[int, str]] = []  # each holder of the leader key: its term and label
        for label in LABELS:
            self.start(label, old)

    # --- controllers ---

    def start(self, label: str, old: bool = False) -> Controller:
        """`old`: the version in production, out of this repository's history."""
        members = [Member(o, f"{o}:peer") for o in LABELS if o != label]
        facts = Facts(
            workers=Workers(REPORT_S, LEASE_S, CANCEL_S, GANG_WAIT_S, GANG_PEER_S),
            state=StateLimits(500.0, 200.0, self.value_kb, self.txn_ops, self.coming),
            cloud=CloudLimits(5.0, 2.0),
            nodes=len(LABELS),
            teams=self.teams,
        )
        settings = Settings(label, label, Services("cloud", "store"), facts, members=members)
        rng = random.Random(self.rng.random())
        if old:
            node: Controller = production.make_node(settings, rng, self.net, label, trio.current_time)
        else:
            node = Controller(settings, Operator(), rng, self.net.client(label), trio.current_time)

        gate = self._gates[label] = Gate()
        self._processors[label] = trio.Lock()

        async def users(src: str, request: Request) -> Reply:
            await self._compute(label)
            reply: Reply = await gate.under(node.handle, request)
            return reply

        async def peers(src: str, request: Request) -> Reply:
            reply: Reply = await gate.under(node.handle_peer, request)
            return reply

        self.nodes[label] = node
        self.net.handlers[label], self.net.handlers[f"{label}:peer"] = users, peers
        self.net.down -= {label, f"{label}:peer"}
        scope = self._scopes[label] = trio.CancelScope()

        async def run() -> None:
            self._gated.put_under(gate)
            with scope:
                await gate.under(node.run)

        self.nursery.start_soon(run)
        return node

    async def _compute(self, label: str) -> None:
        """A request uses the controller's only processor: everything else of it waits meanwhile."""
        if not self.request_cost_s:
            return
        gate = self._gates[label]
        async with self._processors[label]:
            gate.freeze()
            await trio.sleep(self.request_cost_s)
            gate.thaw()

    def freeze(self, label: str, for_s: float) -> None:
        """The controller stands still as a whole; clocks and everything else go on."""
        gate = self._gates[label]
        gate.freeze()

        async def later() -> None:
            await trio.sleep(for_s)
            gate.thaw()

        self.nursery.start_soon(later)

    def frozen(self, label: str) -> bool:
        """Whether the controller stands still."""
        return self._gates[label].frozen

    def _check_entitled(self, src: str, dst: str, request: Request) -> None:
        """Only a leader within its validity may command workers, rent or return machines."""
        node = self.nodes.get(src)
        acts = request.path == "/commands" or request.method == "POST" and request.path.startswith("/rentals")
        if acts and isinstance(node, Controller) and not node.elector.valid():
            self.broken.append(f"not entitled: {src} sends {request.path} at {trio.current_time():.1f}")

    def kill(self, label: str) -> None:
        """Without a signal: from one moment to the next."""
        self._scopes[label].cancel()
        self._gates[label].thaw()
        self.net.down |= {label, f"{label}:peer"}

    def leader(self) -> str | None:
        leading = [n for n, node in self.nodes.items() if n not in self.net.down and node.elector.valid()]
        return leading[0] if leading else None

    async def until_leader(self, limit: float = 30.0) -> str:
        await self.until(lambda: self.leader() is not None, limit)
        label = self.leader()
        assert label is not None
        return label

    # --- machines ---

    def _boot(self, name: str, machine_type: str, zone: str, spot: bool) -> None:
        worker = FakeWorker(
            name,
            machine_type,
            zone,
            spot,
            {label: label for label in LABELS},
            self.net.client(name),
            REPORT_S,
            LEASE_S,
            self.specs,
            self._hear,
            self.gangs,
        )
        worker.on_done = self.finished.add
        self.workers[name] = worker
        self.ever_up.add(name)
        self.on_boot(name)
        self.net.handlers[name] = worker.handle
        self.nursery.start_soon(worker.run)
        self.nursery.start_soon(worker.live)

    def kill_machine(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.dead = True
            for task_id in list(worker.on):
                worker._put(task_id, False)
            self.net.down.add(name)

    def cut_machine(self, name: str) -> None:
        for label in LABELS:
            self.net.cut(name, label)

    def deafen(self, name: str) -> None:
        """Its reports arrive; answers and direct commands are lost."""
        for label in LABELS:
            self.net.cut(label, name, both=False)

    def mute(self, name: str) -> None:
        """It reaches no controller; direct commands reach it and are answered."""
        self.net.refused |= {(name, label) for label in LABELS}

    def hang(self, name: str) -> None:
        """It does nothing until it goes on, within its lease or without its tasks."""
        self.workers[name].hung = True

    # --- messages that come late, twice or not at all ---

    def late_writes(self, share: float, at_once: bool = False) -> None:
        """Of this share of transactions the sender gets no answer; they are carried out at once, or 2 to 12 s later and
        so after newer ones."""

        def late(src: str, dst: str, request: Request) -> float | None:
            if request.path != "/multi" or self.rng.random() >= share:
                return None
            return 0.0 if at_once else self.rng.uniform(2.0, 12.0)

        self.net.late = late

    def late_reports(self, share: float, for_next: bool = False) -> None:
        """Of this share of the reports a copy reaches every controller, from 2 s to well over a lease later, or just as
        the next leader begins."""

        async def deliver(src: str, request: Request) -> None:
            if for_next:
                led = len(self.led)
                while len(self.led) == led:
                    await trio.sleep(0.05)
            else:
                await trio.sleep(self.rng.uniform(2.0, 2.0 * LEASE_S))
            for label in LABELS:
                await self.net.deliver_copy(src, label, request)

        def copy(src: str, dst: str, request: Request) -> None:
            if request.path == "/hello" and self.rng.random() < share:
                self.nursery.start_soon(deliver, src, request)

        self.net.copy = copy

    async def wait_for_convergence(self) -> None:
        """All troubles end. Then what users check at a day's end: every job's users are answered within 75 s, and every
        job that was accepted and not cancelled runs or is done, as long as there is room."""
        self.net.late = lambda src, dst, request: None
        self.net.copy = lambda src, dst, request: None
        self.net.drop_answers = lambda src, dst, request: False
        self.net.hold_request = lambda src, dst, request: False
        self.net.refused.clear()
        self.net.heal()
        self.store.end_outage()
        self.store.refused.clear()
        for worker in self.workers.values():
            worker.hung = False
        for label in LABELS:
            if label in self.net.down:
                self.start(label)
        began = trio.current_time()
        for job_id in sorted(self.accepted):
            while (await self.poll(job_id))[0] != 200:
                assert trio.current_time() < began + 75, f"no answer about {job_id}"
        wanted = [job_id for job_id in sorted(self.accepted) if job_id not in self.cancelled_at]
        for job_id in wanted:
            spec = self.specs[job_id]
            if spec["shape"] == "standing":
                await self.until(lambda u=job_id, n=spec["shards"]: len(self.running(u)) == n, 90)  # type: ignore[misc]
            else:
                await self.until_phase(job_id, "done", 90 + spec["expectedRunS"] * spec["shards"])
        await trio.sleep(1)

    # --- the rules ---

    def _hear(self, worker: FakeWorker, task_id: str, on: bool) -> None:
        job_id = task_id.rpartition("/")[0]
        if not on:
            return
        now = trio.current_time()
        self.starts.append((now, task_id, worker.name))
        self.started_cancelled += job_id in self.cancelled_at
        if now - self.cancelled_at.get(job_id, now) > CANCEL_S:
            self.broken.append(f"ran_cancelled: {task_id} starts on {worker.name}")
        others = [w for w in self.workers.values() if w is not worker and task_id in w.on]
        if others:
            self.broken.append(f"ran_twice: {task_id} on {worker.name} and {others[0].name} at {now:.1f}")
        spec = self.specs[job_id]
        placed = [w.zone for w in self.workers.values() for s in w.on if s.startswith(job_id + "/")]
        if spec["region"] not in (None, worker.zone) or (worker.spot and not spec["reclaimable"]):
            self.broken.append(f"wrong_place: {task_id} on {worker.name}")
        if spec["oneZone"] and len(set(placed)) > 1:
            self.broken.append(f"wrong_place: {task_id} in a second zone")
        if spec["scatter"] and placed.count(worker.zone) > (spec["shards"] + 1) // 2:
            self.broken.append(f"wrong_place: too much of {job_id} in zone {worker.zone}")
        for team in self.teams:
            used = sum(
                self.specs[s.rpartition("/")[0]]["vcpus"]
                for w in self.workers.values()
                for s in w.on
                if self.specs[s.rpartition("/")[0]]["owner"] == team.name
            )
            if team.cpus_max and used > team.cpus_max + 1e-6:
                self.broken.append(f"quota: {team.name} uses {used}")

    async def _watch(self) -> None:
        while True:
            now = trio.current_time()
            for worker in self.workers.values():
                for task_id in worker.on:
                    at = self.cancelled_at.get(task_id.rpartition("/")[0])
                    if at is not None and now - at > CANCEL_S:
                        self.broken.append(f"ran_cancelled: {task_id} on {worker.name}")
            self.gangs.step(now)
            self._check_indices()
            held = self.store.kv.get("s/leader")
            if held is not None and (not self.led or self.led[-1][0] != held[1]):
                self.led.append((held[1], held[0]["label"]))
            await trio.sleep(0.1)

    def _check_indices(self) -> None:
        """What the leader's indices of machines say is what a walk over all machines finds."""
        for label, node in self.nodes.items():
            if not isinstance(node, Controller) or node.cluster is None:
                continue
            index, machines = node.cluster.index, node.cluster.machines.values()
            ready = {m.name for m in machines if m.usable}
            free = {m.name for m in machines if m.usable and m.cap_cpus - m.cpus > 1e-6}
            idle = {m.name for m in machines if not m.live}
            for name, indexed, walked in (
                ("ready", index.ready.names(), ready),
                ("free", index.free.names(), free),
                ("idle", index.idle.names(), idle),
            ):
                if indexed != walked:
                    self.broken.append(f"index {name} of {label} at {trio.current_time():.1f}: {indexed ^ walked}")

    # --- users ---

    async def ask(self, label: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """One request of a user to one controller; 0 for no answer."""
        raw = body if isinstance(body, bytes) else _encode(body) if body is not None else b""
        try:
            reply = await self.net.send("user", label, Request(method, path, "", raw), 5.0)
        except (NotSentError, NoAnswerError):
            return 0, {}
        answer = _decode(reply.body) if reply.body else {}
        self._check_answer(path, reply.status, answer)
        return reply.status, answer

    def _check_answer(self, path: str, status: int, answer: Any) -> None:
        job_id = path.split("/")[3] if path.count("/") >= 3 else answer.get("uid") if isinstance(answer, dict) else None
        if job_id is None:
            return
        if status == 404 and job_id in self.accepted:
            self.broken.append(f"forgotten: {job_id}")
        if status not in (200, 201) or "phase" not in answer:
            return
        if job_id not in self.specs:
            self.broken.append(f"invented: {job_id}")
        self.accepted.add(job_id)
        phase = answer["phase"]
        if job_id in self.over and phase != self.over[job_id]:
            self.broken.append(f"went_back: {job_id} from {self.over[job_id]} to {phase}")
        if phase in ("done", "cancelled"):
            self.over[job_id] = phase
            if phase == "cancelled":
                self.cancelled_at.setdefault(job_id, trio.current_time())
            missing = [i for i in range(self.specs[job_id]["shards"]) if f"{job_id}/{i}" not in self.finished]
            if phase == "done" and len(missing) > 0:
                self.broken.append(f"not_done: {job_id} lacks {missing[:5]}")

    async def _retry(self, method: str, path: str, body: Any, limit: float) -> tuple[int, Any]:
        end = trio.current_time() + limit
        turn = 0
        while True:
            status, answer = await self.ask(LABELS[turn % 3], method, path, body)
            if status in (200, 201, 400, 404, 422) or trio.current_time() > end:
                return status, answer
            turn += 1
            await trio.sleep(1.0)

    async def submit(self, spec: dict[str, Any], limit: float = 60.0) -> int:
        self.specs[spec["uid"]] = spec
        return (await self._retry("POST", "/v2/runs", spec, limit))[0]

    async def cancel(self, job_id: str, limit: float = 60.0) -> Any:
        return (await self._retry("POST", f"/v2/runs/{job_id}/cancel", None, limit))[1]

    async def poll(self, job_id: str, label: str | None = None) -> tuple[int, Any]:
        if label is not None:
            return await self.ask(label, "GET", f"/v2/runs/{job_id}")
        return await self._retry("GET", f"/v2/runs/{job_id}", None, 60.0)

    async def until_phase(self, job_id: str, phase: str, limit: float = 120.0) -> None:
        end = trio.current_time() + limit
        answer: Any = None
        while trio.current_time() < end:
            _, answer = await self.poll(job_id)
            if answer.get("phase") == phase:
                return
            await trio.sleep(0.5)
        raise AssertionError(f"{job_id} is {answer}, not {phase}, after {limit} s")

    async def until(self, true: Callable[[], bool], limit: float = 60.0) -> None:
        end = trio.current_time() + limit
        while not true():
            assert trio.current_time() < end, "did not come about in time"
            await trio.sleep(0.05)

    def running(self, job_id: str) -> list[tuple[str, str]]:
        """Tasks of a job on machines now."""
        return [(s, w.name) for w in self.workers.values() for s in sorted(w.on) if s.startswith(job_id + "/")]


def run_scenario(
    scenario: Callable[[SimulatedCluster], Awaitable[None]],
    seed: int = 1,
    teams: list[Team] | None = None,
    txn_ops: int = 16,
    coming: NextLimits | None = None,
    old: bool = False,
) -> SimulatedCluster:
    """Run a story on a virtual clock, and check at its end that no rule was broken on the way."""
    simulations: list[SimulatedCluster] = []
    gated = GatedTasks()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            simulation = SimulatedCluster(
                nursery, seed, teams or [Team("red"), Team("blue")], txn_ops, coming, old, gated
            )
            simulations.append(simulation)
            await scenario(simulation)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0), instruments=[gated])
    assert not simulations[0].broken, simulations[0].broken
    assert len(simulations[0].store.refusals) <= simulations[0].may_refuse, simulations[0].store.refusals
    return simulations[0]
