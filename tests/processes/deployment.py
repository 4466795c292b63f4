"""The stand-ins of state service, cloud, workers and users on loopback sockets, and the history that they write."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec
import trio

from sorrelsill.http import Client, NoAnswerError, NotSentError, Reply, Request, Server
from tests.processes.controllers import HEARTBEAT_S, LEASE_S, Controllers
from tests.processes.history import Accepted, Answered, Event, LeaderSeen, TaskBegan, TaskEnded, TokenSeen
from tests.simulation import FakeCloud, FakeStore, FakeWorker, job
from tests.simulation.gangs import Gangs

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode

CONNECTIONS = 200  # of one stand-in
MACHINE_NAMES = 200  # addresses held for machines: each machine that is rented gets one of its own
WATCH_S = 0.01  # s; between two looks at the leader key and at the workers' tokens
ANSWER_S = 3.0  # s; a user waits this long for an answer


class Deployment:
    """Everything but the controllers."""

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self._nursery = nursery
        self.rng = random.Random(seed)
        self.events: list[Event] = []
        self.store = FakeStore()
        self.cloud = FakeCloud(self._boot, capacity=6)
        self.cloud.boot_times = lambda number: 0.1
        self.cloud.on_return = self._return
        self.specs: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.controllers: Controllers | None = None
        self._gangs = Gangs(40.0, 5.0)
        self._scopes: dict[str, trio.CancelScope] = {}
        self._listeners: dict[str, trio.SocketListener] = {}
        self._accepted: set[str] = set()

    async def _serve(self, handler: Callable[[Request], Awaitable[Reply]]) -> str:
        listener = await self._listen()
        self._nursery.start_soon(trio.serve_listeners, Server(handler, CONNECTIONS).serve_stream, [listener])
        host, port = listener.socket.getsockname()
        return f"{host}:{port}"

    @staticmethod
    async def _listen() -> trio.SocketListener:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        return listener

    async def open(self) -> tuple[str, str]:
        """Begin to serve; the addresses of state service and cloud. Machines are named by addresses held for them."""
        while len(self._listeners) < MACHINE_NAMES:
            listener = await self._listen()
            host, port = listener.socket.getsockname()
            self._listeners[f"{host}:{port}"] = listener
        names = list(self._listeners)
        self.cloud.name_of = lambda number: names[number]
        self._nursery.start_soon(self.store.run)
        self._nursery.start_soon(self.cloud.run)
        self._nursery.start_soon(self._watch)
        store = await self._serve(partial(self.store.handle, "controller"))
        cloud = await self._serve(partial(self.cloud.handle, "controller"))
        return store, cloud

    # --- machines ---

    def _boot(self, name: str, machine_type: str, zone: str, spot: bool) -> None:
        assert self.controllers is not None
        worker = FakeWorker(
            name,
            machine_type,
            zone,
            spot,
            self.controllers.addresses,
            Client,
            HEARTBEAT_S,
            LEASE_S,
            self.specs,
            self._on_task_change,
            self._gangs,
        )
        worker.on_done = self._completed
        self.workers[name] = worker
        scope = self._scopes[name] = trio.CancelScope()
        self._nursery.start_soon(self._run_worker, worker, scope)

    async def _run_worker(self, worker: FakeWorker, scope: trio.CancelScope) -> None:
        server = Server(partial(worker.handle, "controller"), CONNECTIONS)
        listener = self._listeners[worker.name]
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, server.serve_stream, [listener])
                nursery.start_soon(worker.run)
                nursery.start_soon(worker.run_tasks)

    def hang_one(self, for_s: float) -> None:
        """The machine with most tasks does nothing for so long, and then goes on."""
        if not self.workers:
            return
        worker = max(self.workers.values(), key=lambda each: (len(each.active_tasks), each.name))
        worker.hung = True

        async def wake() -> None:
            await trio.sleep(for_s)
            worker.hung = False

        self._nursery.start_soon(wake)

    def _return(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.dead = True
            for task_id in list(worker.active_tasks):
                worker._set_active(task_id, False)
            self._scopes[name].cancel()

    def _on_task_change(self, worker: FakeWorker, task_id: str, on: bool) -> None:
        now = trio.current_time()
        if on:
            self.events.append(TaskBegan(now, task_id, worker.name))
        else:
            self.events.append(TaskEnded(now, task_id, worker.name, completed=False))

    def _completed(self, task_id: str) -> None:
        last = self.events[-1]
        assert isinstance(last, TaskEnded) and last.task == task_id
        self.events[-1] = msgspec.structs.replace(last, completed=True)

    async def _watch(self) -> None:
        term = 0
        tokens: dict[str, int] = {}
        while True:
            held = self.store.kv.get("s/leader")
            now = trio.current_time()
            if held is not None and held[1] != term:
                term = held[1]
                self.events.append(LeaderSeen(now, term, held[0]["label"]))
            for name, worker in self.workers.items():
                if worker.fencing_token != tokens.get(name, 0):
                    tokens[name] = worker.fencing_token
                    self.events.append(TokenSeen(now, name, worker.fencing_token))
            await trio.sleep(WATCH_S)

    def leader(self) -> str | None:
        """Who holds the key."""
        held = self.store.kv.get("s/leader")
        return str(held[0]["label"]) if held is not None else None

    # --- users ---

    async def _ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        assert self.controllers is not None
        address = self.rng.choice(sorted(self.controllers.addresses.values()))
        raw = _encode(body) if body is not None else b""
        try:
            status, answer = await Client(address).request(method, path, raw, ANSWER_S)
        except (NotSentError, NoAnswerError):
            return 0, {}
        return status, _decode(answer) if answer else {}

    async def run_job(self, job_id: str, tasks: int, run_s: float) -> None:
        """Submit a job, and ask about it until it is over."""
        spec = job(job_id, shards=tasks, expectedRunS=run_s, sizeGb=0.05, vcpus=1.0, memoryGb=1.0)
        self.specs[job_id] = spec
        while (await self._ask("POST", "/v2/runs", spec))[0] not in (200, 201):
            await trio.sleep(0.5)
        self.events.append(Accepted(trio.current_time(), job_id, tasks))
        self._accepted.add(job_id)
        while True:
            status, answer = await self._ask("GET", f"/v2/runs/{job_id}")
            if status == 404:
                self.events.append(Answered(trio.current_time(), job_id, "not known"))
            if status == 200:
                self.events.append(Answered(trio.current_time(), job_id, answer["phase"]))
                if answer["phase"] == "done":
                    return
            await trio.sleep(0.5)
