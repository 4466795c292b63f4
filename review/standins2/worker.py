"""A stand-in of a worker: reports, tokens, leases, sessions, the commands start, halt and clear, and the size limit."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from standins2.wire import BODY_LIMIT, Answer, HttpClient, HttpServer, Request, json_size

_ANSWER_S = 4.0  # a report without an answer for this long is given up
_CHANGE_S = 0.5  # least time between two reports
_AMOUNT_TOLERANCE = 1e-6


@dataclass
class Task:
    """One attempt of a task on the machine."""

    task_id: str
    attempt: int
    spec: dict[str, Any]
    phase: str
    since: float
    cause: str | None = None
    saved: bool = False

    def report(self) -> dict[str, Any]:
        """Return its entry in a report."""
        entry: dict[str, Any] = {"shard": self.task_id, "tryNo": self.attempt, "phase": self.phase}
        if self.cause is not None:
            entry["exitCause"] = self.cause
        if self.saved:
            entry["saved"] = True
        return entry

    def on_machine(self) -> bool:
        """Whether it has its image and has not exited."""
        return self.phase in ("running", "saving")


@dataclass(frozen=True)
class Site:
    """What all workers share: times, the controllers' addresses, the jobs' descriptions, results and the record."""

    report_s: float
    lease_s: float
    controllers: dict[str, str]
    specs: dict[str, dict[str, Any]]
    results: set[str]  # tasks that completed; their results are kept
    finish_now: set[str]  # jobs whose tasks complete at once, whatever their estimate says
    fail_once: set[str]  # tasks whose next attempt that runs fails
    record: Callable[..., None]


class Worker:
    """One worker; `restart` is a restart of its machine, after which it knows nothing any more."""

    def __init__(self, site: Site, name: str, port: int, flavour: dict[str, Any], region: str) -> None:
        self.name, self.region = name, region
        self._site, self._port, self._flavour = site, port, flavour
        self._images: set[str] = set()
        self._server: HttpServer | None = None
        self._jobs: list[asyncio.Task[None]] = []
        self.oversized: list[str] = []  # messages to this worker above the pages' limit
        self.lost_sessions = 0
        self._reset()

    def _reset(self) -> None:
        self.tasks: dict[tuple[str, int], Task] = {}
        self.tenure, self.serial, self.epoch = 1, 0, 0
        self._lease_from = time.monotonic()
        self._change = asyncio.Event()
        self._node = sorted(self._site.controllers)[0]
        self._client = HttpClient(self._site.controllers[self._node])

    async def start(self) -> None:
        """Begin to listen and to report."""
        self._server = HttpServer(self._handle, self._port)
        await self._server.start()
        self._jobs = [asyncio.create_task(self._report_loop()), asyncio.create_task(self._step_loop())]

    def stop(self) -> None:
        """End the worker and all that is on its machine."""
        for job in self._jobs:
            job.cancel()
        if self._server is not None:
            self._server.close()
        self._client.close()
        for task in self.tasks.values():
            if task.on_machine():
                self._note("task gone", task)
        self.tasks.clear()

    async def restart(self, down_s: float) -> None:
        """Restart the machine: what it held is gone, and its worker begins anew."""
        self._site.record("machine restarts", machine=self.name)
        self.stop()
        await asyncio.sleep(down_s)
        self._reset()
        await self.start()
        self._site.record("machine is up again", machine=self.name)

    def _note(self, event: str, task: Task, **fields: Any) -> None:
        self._site.record(event, task=task.task_id, attempt=task.attempt, machine=self.name, **fields)

    # --- tasks ---

    def _free(self, name: str, key: str) -> float:
        used = sum(task.spec[key] for task in self.tasks.values() if task.phase != "exited")
        return float(self._flavour[name]) - used

    def _execute(self, order: dict[str, Any]) -> None:
        key = order["shard"], order["tryNo"]
        task = self.tasks.get(key)
        if order["verb"] == "start" and task is None:
            self._start(*key)
        elif order["verb"] == "halt" and task is not None and task.phase != "exited":
            self._halt(task, order["windDownS"])
        elif order["verb"] == "clear" and task is not None and task.phase == "exited":
            del self.tasks[key]

    def _start(self, task_id: str, attempt: int) -> None:
        spec = self._site.specs.get(task_id.rpartition("/")[0])
        now = time.monotonic()
        cause = None
        if spec is None:
            cause = "unknown"
        elif any(t.task_id == task_id and t.phase != "exited" for t in self.tasks.values()):
            cause = "busy"
        elif min(
            self._free("vcpus", "vcpus") - spec["vcpus"], self._free("memoryGb", "memoryGb") - spec["memoryGb"]
        ) < (-_AMOUNT_TOLERANCE):
            cause = "no_room"
        task = Task(
            task_id, attempt, spec or {"vcpus": 0.0, "memoryGb": 0.0}, "exited" if cause else "pulling", now, cause
        )
        self.tasks[task_id, attempt] = task
        self._note("start command executed", task, refused=cause)
        self._change.set()
        self._advance(task, now)

    def _halt(self, task: Task, wind_down_s: float) -> None:
        saves = task.spec["snapshotEveryS"] > 0 and wind_down_s >= task.spec["snapshotCostS"]
        if task.phase == "running" and saves:
            task.phase, task.since = "saving", time.monotonic()
            self._note("task saves", task)
            self._change.set()
        elif task.phase != "saving" or wind_down_s == 0:
            self._exit(task, "halted")

    def _exit(self, task: Task, cause: str) -> None:
        was_on = task.on_machine()
        task.phase, task.cause = "exited", cause
        if cause == "done":
            self._site.results.add(task.task_id)
        if was_on:
            self._note("task gone", task, cause=cause)
        self._change.set()

    def _advance(self, task: Task, now: float) -> None:
        spec = task.spec
        if task.phase == "pulling":
            if spec["bundle"] not in self._images and now - task.since < spec["sizeGb"] / self._flavour["pullGbPerS"]:
                return
            self._images.add(spec["bundle"])
            task.phase, task.since = "running", now
            self._note("task on machine", task)
            self._change.set()
            if task.task_id in self._site.results:
                self._exit(task, "done")
        elif task.phase == "running" and task.task_id in self._site.fail_once:
            self._site.fail_once.discard(task.task_id)
            self._exit(task, "error")
        elif task.phase == "running" and spec["shape"] != "standing":
            if spec["uid"] in self._site.finish_now or now - task.since >= spec["expectedRunS"]:
                self._exit(task, "done")
        elif task.phase == "saving" and now - task.since >= spec["snapshotCostS"]:
            task.saved = True
            self._exit(task, "halted")

    async def _step_loop(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - self._lease_from > self._site.lease_s:
                self._end_session(now)
            for task in list(self.tasks.values()):
                self._advance(task, now)

    def _end_session(self, now: float) -> None:
        self._site.record("lease ran out", machine=self.name, tenure=self.tenure, tasks=len(self.tasks))
        for task in self.tasks.values():
            if task.on_machine():
                self._note("task gone", task, cause="the worker's lease ran out")
        self.tasks.clear()
        self.tenure += 1
        self.lost_sessions += 1
        self._lease_from = now
        self._change.set()

    # --- messages ---

    def _report(self) -> dict[str, Any]:
        self.serial += 1
        return {
            "host": self.name,
            "addr": f"127.0.0.1:{self._port}",
            "flavour": self._flavour["sku"],
            "region": self.region,
            "reclaimable": False,
            "tenure": self.tenure,
            "serial": self.serial,
            "epoch": self.epoch,
            "evictInS": None,
            "shards": [task.report() for task in self.tasks.values()],
        }

    def _too_large(self, what: str, body: Any) -> bool:
        size = json_size(body)
        if size <= BODY_LIMIT:
            return False
        self.oversized.append(f"{what} of {size} bytes")
        self._site.record("message above 64 KiB", machine=self.name, what=what, bytes=size)
        return True

    async def _handle(self, request: Request) -> Answer:
        if request.path == "/status":
            return Answer(200, self._report())
        body = request.body
        if self._too_large("request to /commands", body):
            return Answer(413, {"error": "too large"})
        if "epoch" not in body or "tenure" not in body:
            return Answer(400, {"error": "epoch or tenure is missing"})
        if body["epoch"] < self.epoch or body["tenure"] != self.tenure:
            return Answer(409, self._report())
        self._see_token(body["epoch"])
        for order in body["orders"]:
            self._execute(order)
        return Answer(200, self._report())

    def _see_token(self, epoch: int) -> None:
        if epoch > self.epoch:
            self.epoch = epoch
            self._change.set()

    async def _report_loop(self) -> None:
        while True:
            sent_at = time.monotonic()
            self._change.clear()
            await self._send_report(sent_at)
            next_at = sent_at + self._site.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self._change.wait(), max(0.0, next_at - time.monotonic()))
            except TimeoutError:
                continue
            await asyncio.sleep(max(0.0, sent_at + _CHANGE_S - time.monotonic()))

    async def _send_report(self, sent_at: float) -> None:
        report = self._report()
        self._too_large("own report", report)
        answer = await self._client.ask("POST", "/hello", report, _ANSWER_S)
        body = answer.body if answer is not None and isinstance(answer.body, dict) else {}
        if answer is not None and answer.status == 421:
            upstream = body.get("upstream")
            if upstream in self._site.controllers and upstream != self._node:
                self._go_to(upstream)
                self._change.set()
                return
        if answer is None or answer.status != 200 or self._too_large("answer to a report", body):
            await asyncio.sleep(1.0)
            labels = sorted(self._site.controllers)
            self._go_to(labels[(labels.index(self._node) + 1) % len(labels)])
            self._change.set()
            return
        if report["tenure"] != self.tenure or body.get("epoch", -1) < self.epoch:
            return
        self._see_token(body["epoch"])
        self._lease_from = max(self._lease_from, sent_at)
        for order in body["orders"]:
            self._execute(order)

    def _go_to(self, label: str) -> None:
        self._client.close()
        self._node = label
        self._client = HttpClient(self._site.controllers[label])
