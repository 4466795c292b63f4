"""Fakes of key-value store, cloud, workers and users on loopback sockets, which record a history of events."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec
import trio

from sorrelsill.http import Client, NoAnswerError, NotSentError, Reply, Request, Server
from tests.processes.controllers import HEARTBEAT_S, LEASE_S, Controllers
from tests.processes.history import Accepted, Answered, Event, LeaderChanged, TaskEnded, TaskStarted, TokenChanged
from tests.simulation import FakeCloud, FakeStore, FakeWorker, job
from tests.simulation.gangs import Gangs

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode

MAX_CONNECTIONS = 200  # connections to one fake
MAX_MACHINES = 200  # reserved addresses; every rented machine gets one of its own
POLL_INTERVAL_S = 0.01  # s; between two checks of the leader key and of the workers' fencing tokens
REQUEST_TIMEOUT_S = 3.0  # s; of a user's request


class Deployment:
    """Runs the fakes and users of one deployment, and records the history. The controllers are separate processes."""

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self._nursery = nursery
        self.rng = random.Random(seed)
        self.events: list[Event] = []
        self.store = FakeStore()
        self.cloud = FakeCloud(self._boot, capacity=6)
        self.cloud.boot_times = lambda number: 0.1
        self.cloud.on_return = self._on_machine_returned
        self.specs: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.controllers: Controllers | None = None
        self._gangs = Gangs(40.0, 5.0)
        self._scopes: dict[str, trio.CancelScope] = {}
        self._listeners: dict[str, trio.SocketListener] = {}
        self._accepted: set[str] = set()

    async def _serve(self, handler: Callable[[Request], Awaitable[Reply]]) -> str:
        listener = await self._listen()
        self._nursery.start_soon(trio.serve_listeners, Server(handler, MAX_CONNECTIONS).serve_stream, [listener])
        host, port = listener.socket.getsockname()
        return f"{host}:{port}"

    @staticmethod
    async def _listen() -> trio.SocketListener:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        return listener

    async def start(self) -> tuple[str, str]:
        """Start to serve; return the addresses of the key-value store and the cloud. Reserves an address for each
        machine, which is also its name."""
        while len(self._listeners) < MAX_MACHINES:
            listener = await self._listen()
            host, port = listener.socket.getsockname()
            self._listeners[f"{host}:{port}"] = listener
        names = list(self._listeners)
        self.cloud.name_of = lambda number: names[number]
        self._nursery.start_soon(self.store.run)
        self._nursery.start_soon(self.cloud.run)
        self._nursery.start_soon(self._record_changes)
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
        worker.on_done = self._on_task_completed
        self.workers[name] = worker
        scope = self._scopes[name] = trio.CancelScope()
        self._nursery.start_soon(self._run_worker, worker, scope)

    async def _run_worker(self, worker: FakeWorker, scope: trio.CancelScope) -> None:
        server = Server(partial(worker.handle, "controller"), MAX_CONNECTIONS)
        listener = self._listeners[worker.name]
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, server.serve_stream, [listener])
                nursery.start_soon(worker.run)
                nursery.start_soon(worker.run_tasks)

    def hang_busiest_machine(self, for_s: float) -> None:
        """Suspend the machine with the most tasks for this time."""
        if not self.workers:
            return
        worker = max(self.workers.values(), key=lambda each: (len(each.active_tasks), each.name))
        worker.hung = True

        async def resume() -> None:
            await trio.sleep(for_s)
            worker.hung = False

        self._nursery.start_soon(resume)

    def _on_machine_returned(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.dead = True
            for task_id in list(worker.active_tasks):
                worker._set_active(task_id, False)
            self._scopes[name].cancel()

    def _on_task_change(self, worker: FakeWorker, task_id: str, active: bool) -> None:
        now = trio.current_time()
        if active:
            self.events.append(TaskStarted(now, task_id, worker.name))
        else:
            self.events.append(TaskEnded(now, task_id, worker.name, completed=False))

    def _on_task_completed(self, task_id: str) -> None:
        last = self.events[-1]
        assert isinstance(last, TaskEnded) and last.task == task_id
        self.events[-1] = msgspec.structs.replace(last, completed=True)

    async def _record_changes(self) -> None:
        term = 0
        tokens: dict[str, int] = {}
        while True:
            leader_key = self.store.kv.get("s/leader")
            now = trio.current_time()
            if leader_key is not None and leader_key[1] != term:
                term = leader_key[1]
                self.events.append(LeaderChanged(now, term, leader_key[0]["label"]))
            for name, worker in self.workers.items():
                if worker.fencing_token != tokens.get(name, 0):
                    tokens[name] = worker.fencing_token
                    self.events.append(TokenChanged(now, name, worker.fencing_token))
            await trio.sleep(POLL_INTERVAL_S)

    def leader(self) -> str | None:
        """Return the label of the holder of the leader key."""
        leader_key = self.store.kv.get("s/leader")
        return str(leader_key[0]["label"]) if leader_key is not None else None

    # --- users ---

    async def _ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        assert self.controllers is not None
        address = self.rng.choice(sorted(self.controllers.addresses.values()))
        raw = _encode(body) if body is not None else b""
        try:
            status, answer = await Client(address).request(method, path, raw, REQUEST_TIMEOUT_S)
        except (NotSentError, NoAnswerError):
            return 0, {}
        return status, _decode(answer) if answer else {}

    async def run_job(self, job_id: str, tasks: int, run_s: float) -> None:
        """Submit a job and poll it until it is done."""
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
