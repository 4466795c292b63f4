"""Gangs as the workers run them: started together, saved together, ended together, at the pace of the slowest."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tests.simulation.worker import FakeWorker


@dataclass(eq=False)
class _Member:
    worker: FakeWorker
    task_id: str
    task: dict[str, Any]
    stop_requested_at: float | None = None

    def here(self) -> bool:
        w = self.worker
        return not w.dead and not w.hung and any(t is self.task for t in w.tasks.values()) and not self.ended()

    def ended(self) -> bool:
        return bool(self.task["phase"] == "exited")


@dataclass(eq=False)
class _Gang:
    """One start: the tasks of a job that share an attempt number."""

    spec: dict[str, Any]
    members: dict[str, _Member] = field(default_factory=dict)
    begun: float | None = None
    stopping_since: float | None = None  # the first stop command: progress ends here
    lost: float | None = None  # a task is gone
    over: bool = False


class Gangs:
    """What all machines' gangs have in common: who waits, how far each job got, what was saved."""

    def __init__(self, wait_s: float = 50.0, peer_s: float = 5.0) -> None:
        self.wait_s, self.peer_s = wait_s, peer_s
        self.saved: dict[str, float] = {}  # job -> progress that outlives its attempts
        self.done: set[str] = set()
        self.begun: list[tuple[str, int]] = []  # each start of a whole gang: job and attempt
        self.reasons: list[str] = []  # why tasks of gangs exited
        self._gangs: dict[tuple[str, int], _Gang] = {}

    def join(self, worker: FakeWorker, task_id: str, attempt_number: int, task: dict[str, Any], now: float) -> None:
        """A task has its image and waits for the others; a replacement of the same number may complete the gang."""
        job_id = task_id.rpartition("/")[0]
        gang = self._gangs.setdefault((job_id, attempt_number), _Gang(worker._specs[job_id]))
        gang.members[task_id] = _Member(worker, task_id, task)
        self.step(now)

    def progress(self, gang: _Gang, now: float) -> float:
        if gang.begun is None:
            return self.saved.get(gang.spec["uid"], 0.0)
        end = min(t for t in (now, gang.stopping_since, gang.lost) if t is not None)
        return self.saved.get(gang.spec["uid"], 0.0) + max(0.0, end - gang.begun)

    def request_stop(self, task_id: str, attempt_number: int, wind_down: float, now: float) -> bool:
        """True if the task saves; else it exits at once."""
        gang = self._gangs.get((task_id.rpartition("/")[0], attempt_number))
        if gang is None or gang.begun is None or gang.over or gang.lost is not None:
            return False
        if not gang.spec["snapshotEveryS"] or wind_down < gang.spec["snapshotCostS"]:
            return False
        gang.stopping_since = now if gang.stopping_since is None else gang.stopping_since
        gang.members[task_id].stop_requested_at = now
        return True

    def step(self, now: float) -> None:
        for (job_id, attempt_number), gang in list(self._gangs.items()):
            if gang.over:
                continue
            here = [m for m in gang.members.values() if m.here()]
            if gang.begun is None:
                for member in here:
                    if now - member.task["at"] > self.wait_s:
                        self._exit(member, "alone")
                if sum(1 for m in here if not m.ended()) == gang.spec["shards"]:
                    gang.begun = now
                    self.begun.append((job_id, attempt_number))
                    for member in here:
                        member.task.update(phase="running", at=now)
                        member.worker._changed()
                continue
            self._running(job_id, gang, here, now)

    def _running(self, job_id: str, gang: _Gang, here: list[_Member], now: float) -> None:
        spec = gang.spec
        whole = len(here) == spec["shards"]
        if whole and gang.lost is None and gang.stopping_since is None:
            if self.progress(gang, now) >= spec["expectedRunS"]:
                self.done.add(job_id)
                gang.over = True
                for member in here:
                    self._exit(member, "done")
            return
        if gang.stopping_since is not None and whole and gang.lost is None:
            saved = [
                m
                for m in here
                if m.stop_requested_at is not None and now >= m.stop_requested_at + spec["snapshotCostS"]
            ]
            if len(saved) == spec["shards"]:
                self.saved[job_id] = self.progress(gang, now)
                gang.over = True
                for member in here:
                    member.task["saved"] = True
                    self._exit(member, "halted")
                return
            if now <= gang.stopping_since + self.peer_s:
                return
        if gang.lost is None:
            gang.lost = now
        if now >= gang.lost + (self.peer_s if gang.stopping_since is None else 0.0):
            every = spec["snapshotEveryS"]
            if every and not gang.over:
                self.saved[job_id] = max(self.saved.get(job_id, 0.0), self.progress(gang, now) // every * every)
            gang.over = True
            for member in here:
                self._exit(member, "peers")

    def _exit(self, member: _Member, why: str) -> None:
        self.reasons.append(why)
        member.worker._exit(member.task_id, member.task, why)
