"""A worker after the protocol page: heartbeats, fencing tokens, leases and incarnations, start, halt and clear."""

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
    """`on_task_change` is called for each task that becomes active or inactive on the machine, for the checks of the
    rules."""

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
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.active_tasks: set[str] = set()  # tasks on the machine: with their image, not ended
        self.lease_renewed_at = trio.current_time()
        self.hung = False
        self.dead = False
        self.spot_reclaim_at: float | None = None
        self.on_done: Callable[[str], None] = lambda task_id: None
        self.fail: Callable[[str], bool] = lambda task_id: False
        self.pull_rate = 1.0  # GB a second
        self._change = trio.Event()

    # --- its tasks ---

    def _put(self, task_id: str, on: bool) -> None:
        if on != (task_id in self.active_tasks):
            (self.active_tasks.add if on else self.active_tasks.discard)(task_id)
            self._on_task_change(self, task_id, on)

    def _changed(self) -> None:
        self._change.set()
        self._change = trio.Event()

    def _spec(self, task_id: str) -> dict[str, Any]:
        return self._specs[task_id.rpartition("/")[0]]

    def end_lease(self) -> None:
        """Also while it hangs: it resumes within its lease or without its tasks."""
        now = trio.current_time()
        if now - self.lease_renewed_at > self.lease_s:
            for task_id in list(self.active_tasks):
                self._put(task_id, False)
            self.tasks.clear()
            self.incarnation += 1
            self.lease_renewed_at = now
            self._changed()

    def advance(self) -> None:
        """Let time pass for the tasks and for the lease."""
        now = trio.current_time()
        self.end_lease()
        for (task_id, attempt_number), task in list(self.tasks.items()):
            spec = self._spec(task_id)
            whole = spec["shape"] == "group"
            if task["phase"] == "pulling" and now >= task["at"] + spec["sizeGb"] / self.pull_rate:
                task.update(phase="waiting" if whole else "running", at=now)
                self._put(task_id, True)
                self._changed()
                if spec["uid"] in self._gangs.done:
                    self._exit(task_id, task, "done")  # the result is kept
                elif whole:
                    self._gangs.join(self, task_id, attempt_number, task, now)
            if whole and task["phase"] in ("waiting", "running", "saving") and not self.fail(task_id):
                continue  # the gang decides
            if task["phase"] in ("waiting", "running") and self.fail(task_id):
                self._exit(task_id, task, "error")
            elif (
                task["phase"] == "running" and spec["shape"] != "standing" and now >= task["at"] + spec["expectedRunS"]
            ):
                self._exit(task_id, task, "done")
            elif task["phase"] == "saving" and now >= task["at"] + spec["snapshotCostS"]:
                task["saved"] = True
                self._exit(task_id, task, "halted")

    def _exit(self, task_id: str, task: dict[str, Any], why: str) -> None:
        task.update(phase="exited", exitCause=why)
        self._put(task_id, False)
        if why == "done":
            self.on_done(task_id)
        self._changed()

    def _execute(self, command: dict[str, Any]) -> None:
        key = (command["shard"], command["tryNo"])
        task = self.tasks.get(key)
        if command["verb"] == "start" and task is None:
            same = [t for (s, _), t in self.tasks.items() if s == key[0] and t["phase"] != "exited"]
            if same:
                self.tasks[key] = {"phase": "exited", "exitCause": "busy"}
            else:
                self.tasks[key] = {"phase": "pulling", "at": trio.current_time()}
            self._changed()
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

    # --- its messages ---

    def heartbeat_message(self) -> dict[str, Any]:
        self.sequence_number += 1
        shards = [
            {"shard": s, "tryNo": n, **{k: v for k, v in t.items() if k != "at"}} for (s, n), t in self.tasks.items()
        ]
        evict = None if self.spot_reclaim_at is None else max(0.0, self.spot_reclaim_at - trio.current_time())
        return {
            "host": self.name,
            "addr": self.name,
            "flavour": self.machine_type,
            "region": self.zone,
            "reclaimable": self.spot,
            "tenure": self.incarnation,
            "serial": self.sequence_number,
            "epoch": self.fencing_token,
            "evictInS": evict,
            "shards": shards,
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
            self._changed()

    async def run(self) -> None:
        while not self.dead:
            sent = trio.current_time()
            incarnation = self.incarnation
            if not self.hung:
                await self._send_heartbeat(sent, incarnation)
            change = self._change
            with trio.move_on_at(max(sent + self.heartbeat_interval_s, trio.current_time() + 0.01)):
                await change.wait()
                await trio.sleep_until(sent + 0.5)

    async def _send_heartbeat(self, sent: float, incarnation: int) -> None:
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
            self._changed()
        elif status != 200:
            await self._try_next_controller()
        elif incarnation == self.incarnation and answer.get("epoch", -1) >= self.fencing_token:
            self._accept_fencing_token(answer["epoch"])
            self.lease_renewed_at = max(self.lease_renewed_at, sent)
            for command in answer["orders"]:
                self._execute(command)
            self.advance()

    async def _try_next_controller(self) -> None:
        await trio.sleep(1.0)
        labels = sorted(self._controllers)
        self._controller = labels[(labels.index(self._controller) + 1) % len(labels)]

    async def live(self) -> None:
        while not self.dead:
            (self.end_lease if self.hung else self.advance)()
            await trio.sleep(0.1)
