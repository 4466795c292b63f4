"""Checks the protocol's rules while a scenario runs; every violation is recorded and fails the scenario."""

from __future__ import annotations

import random
from typing import Any

import trio

from sorrelsill.controller import Controller
from sorrelsill.http import Request
from sorrelsill.settings import Team
from tests.simulation.gangs import Gangs
from tests.simulation.network import FakeNet
from tests.simulation.store import FakeStore
from tests.simulation.worker import FakeWorker

HEARTBEAT_S, LEASE_S, CANCEL_S = 1.0, 11.0, 30.0  # s
GANG_WAIT_S, GANG_PEER_S = 40.0, 5.0  # s


class ProtocolRules:
    """Records the answers to users and the tasks on machines, and checks the protocol's rules on both."""

    def __init__(self, nursery: trio.Nursery, seed: int, teams: list[Team], txn_ops: int) -> None:
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.net = FakeNet(nursery)
        self.net.on_sent = self._check_sender_is_leader
        self.store = FakeStore(txn_ops=txn_ops)
        self.teams = teams
        self.controllers: dict[str, Controller] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.specs: dict[str, dict[str, Any]] = {}
        self.accepted: set[str] = set()
        self.final_phases: dict[str, str] = {}  # uid -> phase, done or cancelled, that users were told
        self.cancelled_at: dict[str, float] = {}
        self.starts_after_cancellation = 0  # task starts after the user was told that the job is cancelled
        self.starts: list[tuple[float, str, str]] = []  # time, task id, machine
        self.finished: set[str] = set()  # ids of the tasks that completed
        self.gangs = Gangs(GANG_WAIT_S, GANG_PEER_S)
        self.violations: list[str] = []
        self.leader_terms: list[tuple[int, str]] = []  # term and label of each holder of the leader key

    def _check_sender_is_leader(self, src: str, dst: str, request: Request) -> None:
        """Only a leader whose lease is valid may command workers, or rent or return machines."""
        controller = self.controllers.get(src)
        privileged = request.path == "/commands" or request.method == "POST" and request.path.startswith("/rentals")
        if privileged and isinstance(controller, Controller) and not controller.elector.valid():
            self.violations.append(f"not_leader: {src} sends {request.path} at {trio.current_time():.1f}")

    def _on_task_change(self, worker: FakeWorker, task_id: str, active: bool) -> None:
        job_id = task_id.rpartition("/")[0]
        if not active:
            return
        now = trio.current_time()
        self.starts.append((now, task_id, worker.name))
        self.starts_after_cancellation += job_id in self.cancelled_at
        if now - self.cancelled_at.get(job_id, now) > CANCEL_S:
            self.violations.append(f"ran_cancelled: {task_id} starts on {worker.name}")
        others = [w for w in self.workers.values() if w is not worker and task_id in w.active_tasks]
        if others:
            self.violations.append(f"ran_twice: {task_id} on {worker.name} and {others[0].name} at {now:.1f}")
        spec = self.specs[job_id]
        zones = [w.zone for w in self.workers.values() for t in w.active_tasks if t.startswith(job_id + "/")]
        if spec["region"] not in (None, worker.zone) or (worker.spot and not spec["reclaimable"]):
            self.violations.append(f"wrong_place: {task_id} on {worker.name}")
        if spec["oneZone"] and len(set(zones)) > 1:
            self.violations.append(f"wrong_place: {task_id} in a second zone")
        if spec["scatter"] and zones.count(worker.zone) > (spec["shards"] + 1) // 2:
            self.violations.append(f"wrong_place: too many tasks of {job_id} in zone {worker.zone}")
        for team in self.teams:
            used = sum(
                self.specs[t.rpartition("/")[0]]["vcpus"]
                for w in self.workers.values()
                for t in w.active_tasks
                if self.specs[t.rpartition("/")[0]]["owner"] == team.name
            )
            if team.cpus_max and used > team.cpus_max + 1e-6:
                self.violations.append(f"quota: {team.name} uses {used}")

    async def _check_periodically(self) -> None:
        while True:
            now = trio.current_time()
            for worker in self.workers.values():
                for task_id in worker.active_tasks:
                    reported_at = self.cancelled_at.get(task_id.rpartition("/")[0])
                    if reported_at is not None and now - reported_at > CANCEL_S:
                        self.violations.append(f"ran_cancelled: {task_id} on {worker.name}")
            self.gangs.step(now)
            self._check_indices()
            leader_key = self.store.kv.get("s/leader")
            if leader_key is not None and (not self.leader_terms or self.leader_terms[-1][0] != leader_key[1]):
                self.leader_terms.append((leader_key[1], leader_key[0]["label"]))
            await trio.sleep(0.1)

    def _check_indices(self) -> None:
        """Compare the leader's indices of machines with what a scan of all machines finds."""
        for label, controller in self.controllers.items():
            if not isinstance(controller, Controller) or controller.cluster is None:
                continue
            index, machines = controller.cluster.index, controller.cluster.machines.values()
            usable = {m.name for m in machines if m.usable}
            free = {m.name for m in machines if m.usable and m.capacity_cpus - m.cpus > 1e-6}
            idle = {m.name for m in machines if not m.bound_count}
            for name, indexed, expected in (
                ("usable", index.usable.names(), usable),
                ("free", index.free.names(), free),
                ("idle", index.idle.names(), idle),
            ):
                if indexed != expected:
                    self.violations.append(
                        f"index {name} of {label} at {trio.current_time():.1f}: {indexed ^ expected}"
                    )

    def _check_answer(self, path: str, status: int, answer: Any) -> None:
        job_id = path.split("/")[3] if path.count("/") >= 3 else answer.get("uid") if isinstance(answer, dict) else None
        if job_id is None:
            return
        if status == 404 and job_id in self.accepted:
            self.violations.append(f"accepted_job_unknown: {job_id}")
        if status not in (200, 201) or "phase" not in answer:
            return
        if job_id not in self.specs:
            self.violations.append(f"never_submitted: {job_id}")
        self.accepted.add(job_id)
        phase = answer["phase"]
        if job_id in self.final_phases and phase != self.final_phases[job_id]:
            self.violations.append(f"final_phase_changed: {job_id} from {self.final_phases[job_id]} to {phase}")
        if phase in ("done", "cancelled"):
            self.final_phases[job_id] = phase
            if phase == "cancelled":
                self.cancelled_at.setdefault(job_id, trio.current_time())
            missing = [i for i in range(self.specs[job_id]["shards"]) if f"{job_id}/{i}" not in self.finished]
            if phase == "done" and len(missing) > 0:
                self.violations.append(f"not_done: {job_id} lacks {missing[:5]}")
