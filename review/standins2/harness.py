"""Starts a small deployment: real controller processes and the stand-ins around them, and writes the record."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins2.cloud import Cloud, Rental
from standins2.store import Store
from standins2.wire import Answer, HttpClient, free_port
from standins2.worker import Site, Worker

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
_LABELS = ("sill-0", "sill-1", "sill-2")
_TIME_LIMIT_S = 110.0


class NotRunError(Exception):
    """The case could not run."""


@dataclass
class Plan:
    """The deployment of a case; the defaults are those of the first deployment in the brief."""

    flavours: list[dict[str, Any]]
    up: list[tuple[str, str]]  # flavour and region of the machines that are up at the start
    teams: list[dict[str, Any]]
    zones: tuple[str, ...] = ("bangna", "nonthaburi")
    report_s: float = 1.0
    lease_s: float = 11.0
    cancel_s: float = 31.0
    objectives: list[dict[str, Any]] = field(default_factory=list)
    state: tuple[float, float, float, int] = (80.0, 25.0, 32.0, 16)  # rps, write_rps, value_kb, txn_ops
    quota: tuple[float, float, int] = (0.36, 146.0, 700)  # cpu, ram_mb, sockets


def job(uid: str, **fields: Any) -> dict[str, Any]:
    """Return a job as a user submits it."""
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
        "expectedRunS": 300.0,
        "snapshotEveryS": 0.0,
        "snapshotCostS": 0.0,
        "dueS": None,
    }
    return {**base, **fields}


class Deployment:
    """The controllers of a deployment and everything that they talk to."""

    def __init__(self, plan: Plan, folder: Path, case: Path) -> None:
        self.plan = plan
        self._folder = folder
        self._began = time.monotonic()
        self._record = (case / "record.txt").open("w")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store(*plan.state)
        # The cloud has no more machines of a zone than are up at the start.
        self.cloud = Cloud(plan.flavours, Counter(region for _, region in plan.up), 20.0, 12.0)
        self.addresses = {label: f"127.0.0.1:{free_port()}" for label in _LABELS}
        self._peers = {label: f"127.0.0.1:{free_port()}" for label in _LABELS}
        self.workers: dict[str, Worker] = {}
        self.specs: dict[str, dict[str, Any]] = {}
        self.finish_now: set[str] = set()
        self.fail_once: set[str] = set()
        self.results: set[str] = set()  # tasks that completed
        self._ports: dict[str, int] = {}
        self._site = Site(
            plan.report_s,
            plan.lease_s,
            self.addresses,
            self.specs,
            results=self.results,
            finish_now=self.finish_now,
            fail_once=self.fail_once,
            record=self.record,
        )
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._background: set[asyncio.Task[Any]] = set()
        self.twice: list[str] = []  # tasks that started on one machine while they were on another
        self._on: dict[str, set[str]] = {}  # task -> machines on which it is
        self._starts: list[tuple[float, str, str]] = []  # when a worker executed a start, the task and the machine

    # --- the record ---

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def record(self, event: str, **fields: Any) -> None:
        """Write one line of the record."""
        if self._record.closed:
            return
        self._record.write(json.dumps({"at": round(self.now(), 3), "event": event, **fields}) + "\n")
        if event == "start command executed" and fields["refused"] is None:
            self._starts.append((self.now(), fields["task"], fields["machine"]))
        if event == "task on machine":
            on_others = self._on.setdefault(fields["task"], set()) - {fields["machine"]}
            self.twice += [f"{fields['task']} starts on {fields['machine']} while it is on {m}" for m in on_others]
            self._on[fields["task"]].add(fields["machine"])
        if event == "task gone":
            self._on[fields["task"]].discard(fields["machine"])
        self._record.flush()

    # --- start and end ---

    def spawn(self, function: Awaitable[Any]) -> None:
        """Run something in the background until the case ends."""
        task = asyncio.ensure_future(function)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def start(self) -> None:
        """Start the stand-ins, the controllers and the machines; return once all workers know a leader."""
        self.cloud.address_of = self._new_address
        self.cloud.boot = lambda rental: self.spawn(self._boot(rental))
        self.cloud.gone = self._return
        cloud = await self.cloud.start()
        self.spawn(self.store.run())
        self.spawn(self.cloud.run())
        for label in _LABELS:
            (self._folder / f"{label}.toml").write_text(self._settings(label, await self.store.start(label), cloud))
            self.start_controller(label)
        for flavour, region in self.plan.up:
            await self._boot(self.cloud.add(flavour, region, False, up_since_s=600.0))
        await self.until(lambda: all(w.epoch > 0 for w in self.workers.values()), 40.0, "the workers know no leader")
        await asyncio.sleep(3.0)

    def _new_address(self, name: str) -> str:
        self._ports[name] = free_port()
        return f"127.0.0.1:{self._ports[name]}"

    async def _boot(self, rental: Rental) -> None:
        flavour = next(each for each in self.plan.flavours if each["sku"] == rental.flavour)
        worker = Worker(self._site, rental.name, self._ports[rental.name], flavour, rental.region)
        self.workers[rental.name] = worker
        await worker.start()
        self.record("machine is up", machine=rental.name)

    def _return(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            self.record("machine is returned", machine=name)
            worker.stop()

    def start_controller(self, label: str) -> None:
        """Start a controller with the command of the deploy file."""
        with (ROOT / "deploy" / "service.toml").open("rb") as file:
            command = shlex.split(tomllib.load(file)["run"])
        with (self._folder / f"{label}.log").open("ab") as log:
            self._processes[label] = subprocess.Popen(
                [*command, str(self._folder / f"{label}.toml")],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": "info"},
            )
        self.record("controller starts", controller=label, pid=self._processes[label].pid)

    def kill_controller(self, label: str) -> None:
        """Kill a controller."""
        self.record("controller is killed", controller=label)
        self._processes[label].kill()
        self._processes[label].wait()

    def close(self) -> None:
        """End all processes and write the ends of their logs to the record."""
        for label, process in self._processes.items():
            if process.poll() is not None and process.returncode != -9:
                self.record("controller had ended by itself", controller=label, code=process.returncode)
            process.kill()
            process.wait()
            for line in (self._folder / f"{label}.log").read_text(errors="replace").splitlines()[-40:]:
                self._record.write(f"{label}: {line}\n")
        for worker in self.workers.values():
            worker.stop()
        for task in self._background:
            task.cancel()
        self._record.close()

    def _settings(self, label: str, store: str, cloud: str) -> str:
        plan = self.plan
        lines = [f'label = "{label}"', f'area = "{plan.zones[0]}"']
        lines += [f'listen = "{self.addresses[label]}"', f'peer_listen = "{self._peers[label]}"']
        for other in _LABELS:
            if other != label:
                lines += ["[[members]]", f'label = "{other}"', f'area = "{plan.zones[-1]}"']
                lines += [f'addr = "{self._peers[other]}"']
        lines += ["[services]", f'cloud = "{cloud}"', f'state = "{store}"']
        lines += ["[facts]", f"nodes = {len(_LABELS)}", f"zones = {json.dumps(list(plan.zones))}"]
        lines += ["time_bound_ms = 25.0"]
        for table, entries in (("teams", plan.teams), ("objectives", plan.objectives)):
            for entry in entries:
                lines += [f"[[facts.{table}]]", *(f"{name} = {json.dumps(value)}" for name, value in entry.items())]
        lines += ["[facts.workers]", f"report_s = {plan.report_s}", f"lease_s = {plan.lease_s}"]
        lines += ["gang_wait_s = 50.0", "gang_peer_s = 5.0", f"cancel_s = {plan.cancel_s}"]
        rps, write_rps, value_kb, txn_ops = plan.state
        lines += ["[facts.state]", f"rps = {rps}", f"write_rps = {write_rps}", f"value_kb = {value_kb}"]
        lines += [f"txn_ops = {txn_ops}", "[facts.cloud]", "rps = 1.5", "list_lag_s = 12.0"]
        cpu, ram_mb, sockets = plan.quota
        lines += ["[facts.quota]", f"cpu = {cpu}", f"ram_mb = {ram_mb}", f"sockets = {sockets}"]
        return "\n".join(lines) + "\n"

    # --- waiting ---

    async def until(self, condition: Callable[[], bool], within_s: float, text: str) -> None:
        """Wait until the condition holds; the case can't run if it doesn't hold in time."""
        end = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > end:
                raise NotRunError(text)
            await asyncio.sleep(0.02)

    async def leader(self) -> str:
        """Return the controller that holds the leader key."""
        await self.until(lambda: self.store.leader() is not None, 30.0, "no controller leads")
        found = self.store.leader()
        assert found is not None
        return found

    def tasks(self, uid: str, *phases: str) -> list[str]:
        """Return the machines of the job's tasks in these phases."""
        return [
            worker.name
            for worker in self.workers.values()
            for task in worker.tasks.values()
            if task.task_id.startswith(f"{uid}/") and task.phase in phases
        ]

    def starts(self, uid: str, since: float) -> list[tuple[float, str, str]]:
        """Return the starts of the job's tasks that workers executed since then: time, task and machine."""
        return [start for start in self._starts if start[0] >= since and start[1].startswith(f"{uid}/")]

    async def until_running(self, uid: str, count: int, within_s: float = 30.0) -> None:
        """Wait until this many tasks of the job run."""
        await self.until(lambda: len(self.tasks(uid, "running")) >= count, within_s, f"{uid} does not run")

    # --- users ---

    async def ask(self, label: str, method: str, path: str, body: Any = None, timeout_s: float = 5.0) -> Answer | None:
        """Send a user's request to one controller."""
        client = HttpClient(self.addresses[label])
        answer = await client.ask(method, path, body, timeout_s)
        client.close()
        fields = {"status": answer.status, "body": answer.body} if answer is not None else {"status": None}
        self.record("user", controller=label, request=f"{method} {path}", **fields)
        return answer

    async def ask_until_answered(self, method: str, path: str, body: Any, first: str | None = None) -> Answer:
        """Repeat a submission or a cancellation every second for up to 60 s, at one controller after the other."""
        label = first or random.choice(_LABELS)
        for _ in range(60):
            answer = await self.ask(label, method, path, body)
            if answer is not None and answer.status in (200, 201, 400, 404, 422):
                return answer
            label = _LABELS[(_LABELS.index(label) + 1) % len(_LABELS)]
            await asyncio.sleep(1.0)
        raise NotRunError(f"{method} {path} got no answer")

    async def submit(self, spec: dict[str, Any], first: str | None = None) -> None:
        """Upload a job's description and submit it until it is accepted."""
        self.specs[spec["uid"]] = spec
        self.record("job", spec=spec)
        answer = await self.ask_until_answered("POST", "/v2/runs", spec, first)
        if answer.status not in (200, 201):
            raise NotRunError(f"{spec['uid']} is refused with {answer.status}")

    async def cancel(self, uid: str, first: str | None = None) -> float:
        """Cancel a job; return when its user was told that it is cancelled."""
        answer = await self.ask_until_answered("POST", f"/v2/runs/{uid}/cancel", None, first)
        if answer.status != 200 or answer.body["phase"] != "cancelled":
            raise NotRunError(f"{uid} is not cancelled: {answer}")
        return self.now()

    def others(self, label: str) -> list[str]:
        """Return the other controllers."""
        return [each for each in _LABELS if each != label]


def main(plan: Plan, scenario: Callable[[Deployment], Awaitable[list[str]]], case_file: str) -> None:
    """Run a case and exit with its code. The scenario returns what broke the rule, one text each."""

    async def run(folder: Path) -> int:
        deployment = Deployment(plan, folder, Path(case_file).resolve().parent)
        try:
            await deployment.start()
            found = await scenario(deployment)
            for text in found:
                deployment.record("RULE BROKEN", what=text)
                print(f"rule broken: {text}")
            deployment.record("result", broken=bool(found), trouble=deployment.trouble)
            return BROKEN if found else HELD
        except NotRunError as error:
            deployment.record("could not run", why=str(error))
            print(f"could not run: {error}")
            return NOT_RUN
        finally:
            deployment.close()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # so that the processes are ended in this case too
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(asyncio.wait_for(run(Path(folder)), _TIME_LIMIT_S))
        except TimeoutError:
            print("could not run: out of time")
            code = NOT_RUN
        except Exception:  # an error of the case itself must not look like a broken rule
            traceback.print_exc()
            code = NOT_RUN
    sys.exit(code)
