"""A fake worker that follows the protocol: heartbeats, fencing tokens, leases, incarnations and the commands start,
halt and clear."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import trio

from sorrelsill.http import Client, NoAnswerError, NotSentError, Reply, Request
from tests.simulation.gangs import Gangs

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


class FakeWorker:
    """Runs tasks in simulated time, and calls `on_task_change` for each task that becomes active or inactive on the
    machine, so that the protocol's rules can be checked."""

    def __init__(
        self,
        name: str,
        machine_type: str,
        zone: str,
        spot: bool,
        controllers: dict[str, str],
        client: Callable[[str], Client],
        heartbeat_interval_s: float,
        lease_s: float,
        specs: dict[str, dict[str, Any]],
        on_task_change: Callable[[FakeWorker, str, bool], None],
        gangs: Gangs,
    ) -> None:
        self._gangs = gangs
        self.name, self.machine_type, self.zone, self.spot = name, machine_type, zone, spot
        self._controllers = controllers  # label -> address
        self._clients = {label: client(addr) for label, addr in controllers.items()}
        self._controller = sorted(controllers)[0]
        self.heartbeat_interval_s, self.lease_s = heartbeat_interval_s, lease_s
        self._specs, self._on_task_change = specs, on_task_change
        self.incarnation, self.sequence_number, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}  # (task id, attempt number) -> its state
        self.active_tasks: set[str] = set()  # ids of the tasks whose image is pulled and that have not exited
        self.lease_renewed_at = trio.current_time()
        self.hung = False
        self.dead = False
        self.spot_reclaim_at: float | None = None
        self.on_done: Callable[[str], None] = lambda task_id: None  # called with each task that completes
        self.task_fails: Callable[[str], bool] = lambda task_id: False  # whether a task that runs exits with an error
        self.pull_rate = 1.0  # GB/s
        self._change_event = trio.Event()

    # --- tasks ---

    def _set_active(self, task_id: str, active: bool) -> None:
        if active != (task_id in self.active_tasks):
            (self.active_tasks.add if active else self.active_tasks.discard)(task_id)
            self._on_task_change(self, task_id, active)

    def _notify_change(self) -> None:
        self._change_event.set()
        self._change_event = trio.Event()

    def _spec(self, task_id: str) -> dict[str, Any]:
        return self._specs[task_id.rpartition("/")[0]]

    def expire_lease(self) -> None:
        """Drop all tasks if the lease has run out. Called also while the worker hangs, so that it resumes either within
        its lease or without its tasks."""
        now = trio.current_time()
        if now - self.lease_renewed_at > self.lease_s:
            for task_id in list(self.active_tasks):
                self._set_active(task_id, False)
            self.tasks.clear()
            self.incarnation += 1
            self.lease_renewed_at = now
            self._notify_change()

    def advance(self) -> None:
        """Bring the tasks and the lease up to the current time."""
        now = trio.current_time()
        self.expire_lease()
        for (task_id, attempt_number), task in list(self.tasks.items()):
            if task["phase"] == "exited":
                continue
            spec = self._spec(task_id)
            is_gang = spec["shape"] == "group"
            if task["phase"] == "pulling" and now >= task["at"] + spec["sizeGb"] / self.pull_rate:
                task.update(phase="waiting" if is_gang else "running", at=now)
                self._set_active(task_id, True)
                self._notify_change()
                if spec["uid"] in self._gangs.completed_jobs:
                    self._exit(task_id, task, "done")  # an earlier attempt completed; its result is stored
                elif is_gang:
                    self._gangs.join(self, task_id, attempt_number, task, now)
            if is_gang and task["phase"] in ("waiting", "running", "saving") and not self.task_fails(task_id):
                continue  # Gangs decides when the task exits
            if task["phase"] in ("waiting", "running") and self.task_fails(task_id):
                self._exit(task_id, task, "error")
            elif (
                task["phase"] == "running" and spec["shape"] != "standing" and now >= task["at"] + spec["expectedRunS"]
            ):
                self._exit(task_id, task, "done")
            elif task["phase"] == "saving" and now >= task["at"] + spec["snapshotCostS"]:
                task["saved"] = True
                self._exit(task_id, task, "halted")

    def _exit(self, task_id: str, task: dict[str, Any], cause: str) -> None:
        task.update(phase="exited", exitCause=cause)
        self._set_active(task_id, False)
        if cause == "done":
            self.on_done(task_id)
        self._notify_change()

    def _reason_to_refuse(self, task_id: str) -> str | None:
        """Return the exit cause of a start that is refused, or None if the task may start."""
        job_id, _, index = task_id.rpartition("/")
        spec = self._specs.get(job_id)
        if spec is None or int(index) >= spec["shards"]:
            return "unknown"
        if any(other == task_id and task["phase"] != "exited" for (other, _), task in self.tasks.items()):
            return "busy"
        return None

    def _execute(self, command: dict[str, Any]) -> None:
        key = (command["shard"], command["tryNo"])
        task = self.tasks.get(key)
        if command["verb"] == "start" and task is None:
            refusal = self._reason_to_refuse(key[0])
            if refusal is not None:
                self.tasks[key] = {"phase": "exited", "exitCause": refusal}
            else:
                self.tasks[key] = {"phase": "pulling", "at": trio.current_time()}
            self._notify_change()
        elif command["verb"] == "halt" and task is not None and task["phase"] != "exited":
            spec = self._spec(key[0])
            saves = spec["snapshotEveryS"] > 0 and command["windDownS"] >= spec["snapshotCostS"]
            if spec["shape"] == "group" and task["phase"] == "running":
                saves = self._gangs.request_stop(key[0], key[1], command["windDownS"], trio.current_time())
            if task["phase"] == "running" and saves:
                task.update(phase="saving", at=trio.current_time())
            elif task["phase"] != "saving" or command["windDownS"] == 0:
                self._exit(key[0], task, "halted")
        elif command["verb"] == "clear" and task is not None and task["phase"] == "exited":
            del self.tasks[key]

    # --- messages ---

    def heartbeat_message(self) -> dict[str, Any]:
        self.sequence_number += 1
        tasks = [
            {"shard": task_id, "tryNo": number, **{k: v for k, v in task.items() if k != "at"}}
            for (task_id, number), task in self.tasks.items()
        ]
        evict_in_s = None if self.spot_reclaim_at is None else max(0.0, self.spot_reclaim_at - trio.current_time())
        return {
            "host": self.name,
            "addr": self.name,
            "flavour": self.machine_type,
            "region": self.zone,
            "reclaimable": self.spot,
            "tenure": self.incarnation,
            "serial": self.sequence_number,
            "epoch": self.fencing_token,
            "evictInS": evict_in_s,
            "shards": tasks,
        }

    async def handle(self, src: str, request: Request) -> Reply:
        while self.hung:
            await trio.sleep(0.1)
        if self.dead:
            await trio.sleep_forever()
        self.advance()
        if request.path == "/status":
            return Reply(200, _encode(self.heartbeat_message()))
        body = _decode(request.body)
        if "epoch" not in body or "tenure" not in body:
            return Reply(400)
        if body["epoch"] < self.fencing_token or body["tenure"] != self.incarnation:
            return Reply(409, _encode(self.heartbeat_message()))
        self._accept_fencing_token(body["epoch"])
        for command in body["orders"]:
            self._execute(command)
        self.advance()
        return Reply(200, _encode(self.heartbeat_message()))

    def _accept_fencing_token(self, fencing_token: int) -> None:
        if fencing_token > self.fencing_token:
            self.fencing_token = fencing_token
            self._notify_change()

    async def run(self) -> None:
        while not self.dead:
            sent_at = trio.current_time()
            incarnation = self.incarnation
            if not self.hung:
                await self._send_heartbeat(sent_at, incarnation)
            change_event = self._change_event
            with trio.move_on_at(max(sent_at + self.heartbeat_interval_s, trio.current_time() + 0.01)):
                await change_event.wait()
                await trio.sleep_until(sent_at + 0.5)

    async def _send_heartbeat(self, sent_at: float, incarnation: int) -> None:
        try:
            status, raw = await self._clients[self._controller].request(
                "POST", "/hello", _encode(self.heartbeat_message()), 4.0
            )
        except (NotSentError, NoAnswerError):
            await self._try_next_controller()
            return
        if self.dead or self.hung:
            return
        answer = _decode(raw) if raw else {}
        if status == 421 and answer.get("upstream") in self._controllers and answer["upstream"] != self._controller:
            self._controller = answer["upstream"]
            self._notify_change()
        elif status != 200:
            await self._try_next_controller()
        elif incarnation == self.incarnation and answer.get("epoch", -1) >= self.fencing_token:
            self._accept_fencing_token(answer["epoch"])
            self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
            for command in answer["orders"]:
                self._execute(command)
            self.advance()

    async def _try_next_controller(self) -> None:
        await trio.sleep(1.0)
        labels = sorted(self._controllers)
        self._controller = labels[(labels.index(self._controller) + 1) % len(labels)]

    async def run_tasks(self) -> None:
        while not self.dead:
            (self.expire_lease if self.hung else self.advance)()
            await trio.sleep(0.1)
