"""Stand-ins for the cases of this review: platform, machines, users and a proxy, around real controller processes.

The key-value store and the cloud are the project's own stand-ins (`tests/simulation`). Machines, users and the proxy
are new. Everything listens on loopback addresses with free ports. Rules are judged only by what users, workers and the
platform can see."""

from __future__ import annotations

import json
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import trio

from sorrelsill.http import Client, NoAnswerError, NotSentError, Reply, Request, Server
from tests.processes.controllers import free_port
from tests.simulation.cloud import FakeCloud
from tests.simulation.store import FakeStore

ROOT = Path(__file__).resolve().parents[1]
LABELS = ("sill-0", "sill-1", "sill-2")
AREAS = {"sill-0": "bangna", "sill-1": "nonthaburi", "sill-2": "bangna"}
LIMIT_BYTES = 64 * 1024  # the protocol's limit of a body, counted as JSON
TIME_LIMIT_S = 116.0  # of a whole run
CONNECTIONS = 300  # to one stand-in

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


class CannotRunError(Exception):
    """The case could not be set up; says nothing about the rule."""


def json_bytes(body: Any) -> int:
    """The length of a body in its JSON form."""
    return len(json.dumps(body, separators=(",", ":")))


class Record:
    """Writes what was sent, answered and run to `record.txt`, one line an event."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._began_at = trio.current_time()

    def now(self) -> float:
        """Seconds since the start of the run."""
        return trio.current_time() - self._began_at

    def write(self, event: str, **fields: Any) -> float:
        """Record an event; return its time."""
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {text}\n")
        return at


class Store(FakeStore):
    """The project's stand-in of the key-value store. Unlike it, refuses new watches during an outage, as any other
    request; watches that are open stay open."""

    async def handle(self, src: str, request: Request) -> Reply:
        """Answer one request."""
        if request.path == "/follow" and self.outage:
            return Reply(503, _encode({"error": "trouble"}))
        del self.requests[:-1000]
        return await super().handle(src, request)


class Link:
    """A proxy in front of one address. While it is cut, it holds what was sent on open connections, and delivers it in
    order afterwards, also if the sender has closed the connection meanwhile. A connection attempt made during the cut
    hangs, and does not complete later."""

    def __init__(self, target: str) -> None:
        host, port = target.split(":")
        self._target = host, int(port)
        self.held: list[bytes] = []  # what is being held
        self._open = trio.Event()
        self._open.set()
        self._attempts: list[trio.abc.Stream] = []

    async def start(self, nursery: trio.Nursery) -> str:
        """Start to serve; return the proxy's address."""
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, self._serve, [listener])
        host, port = listener.socket.getsockname()[:2]
        return f"{host}:{port}"

    def cut(self) -> None:
        """Hold everything from now on."""
        self._open = trio.Event()

    def heal(self) -> None:
        """Deliver what was held, and everything from now on."""
        self._open.set()
        while self._attempts:
            self._attempts.pop().socket.close()  # type: ignore[attr-defined]

    async def _serve(self, near: trio.SocketStream) -> None:
        if not self._open.is_set():
            self._attempts.append(near)
            await self._open.wait()
            return
        try:
            far = await trio.open_tcp_stream(*self._target)
        except OSError:
            await trio.aclose_forcefully(near)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, near, far)
            nursery.start_soon(self._pump, far, near)
        await trio.aclose_forcefully(near)
        await trio.aclose_forcefully(far)

    async def _pump(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        try:
            while True:
                data = await source.receive_some(65536)
                if not self._open.is_set():
                    self.held.append(bytes(data))
                    await self._open.wait()
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass


class Worker:
    """A machine with its worker, as the protocol describes them."""

    def __init__(self, deployment: Deployment, name: str, flavour: str, zone: str, spot: bool) -> None:
        self._d = deployment
        self.name, self.flavour, self.zone, self.spot = name, flavour, zone, spot
        self.addr = ""  # through a proxy
        self.commands = Link("127.0.0.1:0")  # controllers -> this machine
        self.reports: dict[str, Link] = {}  # this machine -> a controller
        self._clients: dict[str, Client] = {}
        self._at = deployment.rng.choice(LABELS)
        self.tenure, self.serial, self.epoch = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.images: set[str] = set()
        self.active: set[str] = set()  # tasks that are on the machine: they have their image and have not exited
        self.sick = False  # it fails every task that it starts
        self._renewed_at = trio.current_time()
        self._changed = trio.Event()
        self._epoch_told_at = float("-inf")

    async def run(self) -> None:
        """Serve and report until cancelled."""
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, Server(self.handle, CONNECTIONS).serve_stream, [listener])
            host, port = listener.socket.getsockname()[:2]
            self.commands = Link(f"{host}:{port}")
            self.addr = await self.commands.start(nursery)
            self._d.cloud.machines[self.name]["addr"] = self.addr
            for label, address in self._d.addresses.items():
                link = self.reports[label] = Link(address)
                self._clients[label] = Client(await link.start(nursery))
            self._d.record.write("machine_up", machine=self.name, flavour=self.flavour, zone=self.zone)
            nursery.start_soon(self._run_tasks)
            await self._report()

    def stop(self) -> None:
        """The machine is gone with all that is on it."""
        for task in list(self.active):
            self._leave(task, "machine gone")

    # --- tasks ---

    def _enter(self, task: str, try_no: int) -> None:
        self.active.add(task)
        self._d.task_started(self, task, try_no)

    def _leave(self, task: str, why: str) -> None:
        if task in self.active:
            self.active.discard(task)
            self._d.task_ended(self, task, why)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _exit(self, key: tuple[str, int], why: str) -> None:
        self.tasks[key] = {"phase": "exited", "exitCause": why}
        self._leave(key[0], why)
        self._notify()

    def _advance(self) -> None:
        now = trio.current_time()
        if now - self._renewed_at > self._d.lease_s:
            self._d.record.write("lease_over", machine=self.name, tenure=self.tenure, tasks=len(self.tasks))
            for task in list(self.active):
                self._leave(task, "lease over")
            self.tasks.clear()
            self.tenure += 1
            self._renewed_at = now
            self._notify()
        for key in list(self.tasks):
            self._advance_task(key, now)

    def _advance_task(self, key: tuple[str, int], now: float) -> None:
        task, spec = self.tasks[key], self._d.specs[key[0].rpartition("/")[0]]
        if task["phase"] == "pulling" and (spec["bundle"] in self.images or now >= task["at"] + spec["sizeGb"]):
            self.images.add(spec["bundle"])
            task = self.tasks[key] = {"phase": "waiting" if spec["shape"] == "group" else "running", "at": now}
            self._enter(*key)
            self._notify()
            if self.sick:
                self._exit(key, "error")
                return
        if task["phase"] == "waiting" and self._d.gang_is_whole(spec, key[1]):
            task = self.tasks[key] = {"phase": "running", "at": now}
            self._notify()
        elif task["phase"] == "waiting" and now >= task["at"] + self._d.gang_wait_s:
            self._exit(key, "alone")
        elif task["phase"] == "running" and spec["shape"] != "standing" and now >= task["at"] + spec["expectedRunS"]:
            self._d.done.add(key[0])
            self._exit(key, "done")

    async def _run_tasks(self) -> None:
        while True:
            self._advance()
            await trio.sleep(0.05)

    def _execute(self, order: dict[str, Any]) -> None:
        key = (order["shard"], order["tryNo"])
        task = self.tasks.get(key)
        if order["verb"] == "start" and task is None:
            if any(other[0] == key[0] and t["phase"] != "exited" for other, t in self.tasks.items()):
                self.tasks[key] = {"phase": "exited", "exitCause": "busy"}
            else:
                self.tasks[key] = {"phase": "pulling", "at": trio.current_time()}
                self._d.on_start(self, key[0])
            self._notify()
        elif order["verb"] == "halt" and task is not None and task["phase"] != "exited":
            self._exit(key, "halted")
        elif order["verb"] == "clear" and task is not None and task["phase"] == "exited":
            del self.tasks[key]

    def _execute_all(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            self._execute(order)
        self._advance()

    # --- messages ---

    def _message(self) -> dict[str, Any]:
        self.serial += 1
        shards = [
            {"shard": key[0], "tryNo": key[1], **{name: v for name, v in task.items() if name != "at"}}
            for key, task in self.tasks.items()
        ]
        return {
            "host": self.name,
            "addr": self.addr,
            "flavour": self.flavour,
            "region": self.zone,
            "reclaimable": self.spot,
            "tenure": self.tenure,
            "serial": self.serial,
            "epoch": self.epoch,
            "evictInS": None,
            "shards": shards,
        }

    def _see(self, epoch: int) -> None:
        if epoch > self.epoch:
            self.epoch = epoch
            if trio.current_time() - self._epoch_told_at > self._d.lease_s / 2:
                self._epoch_told_at = trio.current_time()
                self._notify()

    async def handle(self, request: Request) -> Reply:
        """Answer a controller's direct call."""
        self._advance()
        if request.path == "/status":
            return Reply(200, _encode(self._message()))
        body = _decode(request.body)
        if json_bytes(body) > LIMIT_BYTES:
            self._d.record.write("commands_too_long", machine=self.name, bytes=json_bytes(body))
            return Reply(413)
        if "epoch" not in body or "tenure" not in body:
            return Reply(400)
        fits = body["epoch"] >= self.epoch and body["tenure"] == self.tenure
        self._d.record.write(
            "commands",
            machine=self.name,
            executed=fits,
            epoch=body["epoch"],
            orders=[f"{o['verb']} {o['shard']}" for o in body["orders"][:4]],
            number=len(body["orders"]),
        )
        if not fits:
            return Reply(409, _encode(self._message()))
        self._see(body["epoch"])
        self._execute_all(body["orders"])
        return Reply(200, _encode(self._message()))

    async def _report(self) -> None:
        while True:
            sent_at = trio.current_time()
            changed = self._changed
            await self._send_report(sent_at)
            interval_s = self._d.report_s * self._d.rng.uniform(0.75, 1.25)
            with trio.move_on_at(max(sent_at + interval_s, trio.current_time() + 0.01)):
                await changed.wait()
                await trio.sleep_until(sent_at + 0.5)

    async def _send_report(self, sent_at: float) -> None:
        tenure = self.tenure
        try:
            status, raw = await self._clients[self._at].request("POST", "/hello", _encode(self._message()), 4.0)
        except (NotSentError, NoAnswerError):
            self._d.record.write("report_unanswered", machine=self.name, controller=self._at)
            await self._next_controller()
            return
        answer = _decode(raw) if raw else {}
        if status == 421 and answer.get("upstream") in LABELS and answer["upstream"] != self._at:
            self._at = answer["upstream"]
            self._notify()
        elif status != 200:
            self._d.record.write("report_refused", machine=self.name, controller=self._at, status=status)
            await self._next_controller()
        elif json_bytes(answer) > LIMIT_BYTES:
            # Not a response that the protocol allows: dropped, so it neither gives orders nor renews the lease.
            self._d.record.write("answer_too_long", machine=self.name, bytes=json_bytes(answer))
        elif tenure == self.tenure and answer.get("epoch", -1) >= self.epoch:
            self._see(answer["epoch"])
            self._renewed_at = max(self._renewed_at, sent_at)
            if answer["orders"]:
                orders = [f"{o['verb']} {o['shard']}" for o in answer["orders"][:4]]
                self._d.record.write(
                    "orders", machine=self.name, by=self._at, orders=orders, number=len(answer["orders"])
                )
            self._execute_all(answer["orders"])

    async def _next_controller(self) -> None:
        await trio.sleep(1.0)
        self._at = LABELS[(LABELS.index(self._at) + 1) % len(LABELS)]


class Deployment:
    """Three controller processes, and the stand-ins around them."""

    def __init__(self, directory: Path, nursery: trio.Nursery, record: Record, flavour: dict[str, Any]) -> None:
        self._directory, self._nursery, self.record = directory, nursery, record
        self.report_s, self.lease_s, self.cancel_s, self.gang_wait_s = 1.0, 11.0, 31.0, 50.0
        self.rng = random.Random(1)
        self.flavour = flavour
        self.store = Store()
        self.cloud = FakeCloud(self._boot, capacity=12, lag_s=12.0)
        self.specs: dict[str, dict[str, Any]] = {}
        self.done: set[str] = set()
        self.workers: dict[str, Worker] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.starts: list[tuple[float, str, str]] = []  # time, task, machine
        self.on_start: Callable[[Worker, str], None] = lambda worker, task: None  # a start command is executed
        self.ends: list[tuple[float, str, str, str]] = []  # time, task, machine, why
        self.addresses = {label: f"127.0.0.1:{free_port()}" for label in LABELS}
        self._peers = {label: f"127.0.0.1:{free_port()}" for label in LABELS}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    async def _serve(self, handler: Callable[[Request], Awaitable[Reply]]) -> str:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self._nursery.start_soon(trio.serve_listeners, Server(handler, CONNECTIONS).serve_stream, [listener])
        host, port = listener.socket.getsockname()[:2]
        return f"{host}:{port}"

    async def start(self, machines: int) -> None:
        """Start everything, and wait until there is a leader and it knows these machines."""
        self.cloud.boot_times = lambda number: 0.3
        self.cloud.on_return = self._return
        self.cloud.name_of = lambda number: f"m-{number:06d}"
        self._nursery.start_soon(self.store.run)
        self._nursery.start_soon(self.cloud.run)
        store = await self._serve(partial(self.store.handle, "controller"))
        cloud = await self._serve(self._handle_cloud)
        for label in LABELS:
            (self._directory / f"{label}.toml").write_text(self._settings(label, store, cloud))
            self.start_controller(label)
        for number in range(machines):
            self.cloud.add(self.flavour["sku"], self.flavour["regions"][number % 2], False)
        await self.until(lambda: self._registered() >= machines, 25.0, "no leader, or machines unknown to it")
        await trio.sleep(2.0 * self.report_s)

    def _registered(self) -> int:
        """The number of machines that a leader knows and may give work, by what it has stored."""
        stored = [value for key, (value, _, _) in self.store.kv.items() if key.startswith("s/m/")]
        return len({name for value in stored for name in value} & set(self.workers))

    async def _handle_cloud(self, request: Request) -> Reply:
        if request.path == "/catalog":
            return Reply(200, _encode({"flavours": [self.flavour]}))
        reply = await self.cloud.handle("controller", request)
        if request.method == "POST":
            self.record.write("cloud", path=request.path, body=_decode(request.body), answer=_decode(reply.body))
        return reply

    def _settings(self, label: str, store: str, cloud: str) -> str:
        members = "".join(
            f'[[members]]\nlabel = "{other}"\narea = "{AREAS[other]}"\naddr = "{addr}"\n'
            for other, addr in self._peers.items()
            if other != label
        )
        return (
            f'label = "{label}"\narea = "{AREAS[label]}"\nlisten = "{self.addresses[label]}"\n'
            f'peer_listen = "{self._peers[label]}"\n{members}'
            f'[services]\ncloud = "{cloud}"\nstate = "{store}"\n'
            '[facts]\nnodes = 3\nzones = ["bangna", "nonthaburi"]\ntime_bound_ms = 25.0\n'
            '[[facts.teams]]\nname = "trust-desk"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n'
            '[[facts.objectives]]\nkind = "wait"\nclass = "cert-verify"\nwithin_s = 1.0\nshare = 0.88\n'
            '[[facts.objectives]]\nkind = "deadline"\nclass = "stamp-backfill"\nshare = 0.9\ntimes = 1.0\n'
            f"[facts.workers]\nreport_s = {self.report_s}\nlease_s = {self.lease_s}\ngang_wait_s = {self.gang_wait_s}\n"
            f"gang_peer_s = 5.0\ncancel_s = {self.cancel_s}\n"
            "[facts.state]\nrps = 80.0\nwrite_rps = 25.0\nvalue_kb = 32.0\ntxn_ops = 16\n"
            "[facts.cloud]\nrps = 1.5\nlist_lag_s = 12.0\n"
            "[facts.quota]\ncpu = 0.36\nram_mb = 146.0\nsockets = 700\n"
        )

    # --- controllers ---

    def start_controller(self, label: str) -> None:
        """Start a controller with the `run` command of the deploy file."""
        with (ROOT / "deploy" / "service.toml").open("rb") as file:
            command = shlex.split(tomllib.load(file)["run"])
        with (self._directory / f"{label}.log").open("ab") as log:
            self.processes[label] = subprocess.Popen(
                [*command, str(self._directory / f"{label}.toml")],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info"), "PYTHONDONTWRITEBYTECODE": "1"},
            )
        self.record.write("controller_started", label=label)

    def end_all(self) -> None:
        """End the controllers."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
            process.wait()

    def leader(self) -> str | None:
        """The label of the holder of the leader key."""
        found = self.store.kv.get("s/leader")
        return str(found[0]["label"]) if found is not None else None

    # --- machines ---

    def _boot(self, name: str, flavour: str, zone: str, spot: bool) -> None:
        worker = self.workers[name] = Worker(self, name, flavour, zone, spot)
        scope = self._scopes[name] = trio.CancelScope()

        async def run() -> None:
            with scope:
                await worker.run()

        self._nursery.start_soon(run)

    def _return(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop()
            self._scopes[name].cancel()

    def gang_is_whole(self, spec: dict[str, Any], try_no: int) -> bool:
        """Whether every task of the gang's attempt has its image and none has exited."""
        ready = [
            key
            for worker in self.workers.values()
            for key, task in worker.tasks.items()
            if key[1] == try_no and key[0].startswith(spec["uid"] + "/") and task["phase"] in ("waiting", "running")
        ]
        return len(ready) == spec["shards"]

    def used(self, worker: Worker) -> tuple[float, float]:
        """The CPUs and the memory that the tasks on a machine take."""
        specs = [self.specs[key[0].rpartition("/")[0]] for key, t in worker.tasks.items() if t["phase"] != "exited"]
        return sum(s["vcpus"] for s in specs), sum(s["memoryGb"] for s in specs)

    def machines_with_room(self, cpus: float, memory_gb: float) -> list[Worker]:
        """Machines that are up and have this much room, beside the tasks that are on them or about to be."""
        found = []
        for worker in self.workers.values():
            used_cpus, used_gb = self.used(worker)
            if used_cpus + cpus <= self.flavour["vcpus"] and used_gb + memory_gb <= self.flavour["memoryGb"]:
                found.append(worker)
        return found

    def task_started(self, worker: Worker, task: str, try_no: int) -> None:
        """A task is on its machine from now on."""
        at = self.record.now()
        self.starts.append((at, task, worker.name))
        if len(self.starts) <= 400:
            self.record.write("task_started", task=task, machine=worker.name, try_no=try_no)

    def task_ended(self, worker: Worker, task: str, why: str) -> None:
        """A task is not on its machine any more."""
        self.ends.append((self.record.now(), task, worker.name, why))
        if len(self.ends) <= 400:
            self.record.write("task_ended", task=task, machine=worker.name, why=why)

    # --- users ---

    async def ask(
        self, label: str, method: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Send a user's request to a controller. Status 0: no answer."""
        raw = _encode(body) if body is not None else b""
        try:
            status, answer = await Client(self.addresses[label]).request(method, path, raw, timeout_s)
        except (NotSentError, NoAnswerError):
            status, answer = 0, b""
        decoded = _decode(answer) if answer else {}
        self.record.write("user", controller=label, request=f"{method} {path}", status=status, answer=decoded)
        return status, decoded

    async def submit(self, spec: dict[str, Any], label: str) -> None:
        """Submit a job until it is accepted."""
        self.specs[spec["uid"]] = spec
        for _ in range(20):
            status, _ = await self.ask(label, "POST", "/v2/runs", spec)
            if status in (200, 201):
                return
            if status in (400, 422):
                raise CannotRunError(f"{spec['uid']} gets {status}")
            await trio.sleep(1.0)
        raise CannotRunError(f"{spec['uid']} is not accepted")

    async def until(self, condition: Callable[[], bool], timeout_s: float, why: str) -> None:
        """Wait until the condition holds."""
        with trio.move_on_after(timeout_s):
            while not condition():
                await trio.sleep(0.01)
            return
        raise CannotRunError(why)


def job(uid: str, **fields: Any) -> dict[str, Any]:
    """A job as a user submits it."""
    base = {
        "uid": uid,
        "workload": "stamp-backfill",
        "owner": "trust-desk",
        "shape": "sweep",
        "rank": "standard",
        "shards": 1,
        "vcpus": 4.0,
        "gpus": 0.0,
        "memoryGb": 15.0,
        "bundle": "img-07",
        "sizeGb": 0.2,
        "flavours": None,
        "region": None,
        "oneZone": False,
        "scatter": False,
        "reclaimable": False,
        "expectedRunS": 3.0,
        "snapshotEveryS": 0.0,
        "snapshotCostS": 0.0,
        "dueS": None,
    }
    return {**base, **fields}


TEAK_LARGE = {
    "sku": "teak-large",
    "vcpus": 16,
    "gpus": 0,
    "memoryGb": 64,
    "cacheGb": 70,
    "pullGbPerS": 1.0,
    "price": 0.94,
    "spotPrice": 0.37,
    "bootS": 20,
    "regions": ["bangna", "nonthaburi"],
}

Case = Callable[[Deployment, bool], Awaitable[bool]]


async def _end_on_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()


async def _play(folder: Path, case: Case, trouble: bool, machines: int, directory: Path) -> int:
    record = Record(folder / "record.txt")
    outcome = 2
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_end_on_signal, nursery.cancel_scope)
        deployment = Deployment(directory, nursery, record, TEAK_LARGE)
        try:
            with trio.move_on_after(TIME_LIMIT_S) as scope:
                await deployment.start(machines)
                held = await case(deployment, trouble)
                outcome = 0 if held else 1
            if scope.cancelled_caught:
                record.write("out_of_time")
        except CannotRunError as error:
            record.write("cannot_run", why=error)
        finally:
            deployment.end_all()
        record.write("outcome", exit_code=outcome)
        nursery.cancel_scope.cancel()
    return outcome


def main(folder: Path, case: Case, machines: int) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory(prefix="sorrelsill-review-") as directory:
        code = trio.run(_play, folder, case, trouble, machines, Path(directory))
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in Path(directory).glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
