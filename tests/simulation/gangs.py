"""How the workers run gangs: all tasks of a gang start, save a checkpoint and end together."""

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

    def active(self) -> bool:
        w = self.worker
        return not w.dead and not w.hung and any(t is self.task for t in w.tasks.values()) and not self.exited()

    def exited(self) -> bool:
        return bool(self.task["phase"] == "exited")


@dataclass(eq=False)
class _Gang:
    """One attempt of a gang: the tasks of a job that share an attempt number."""

    spec: dict[str, Any]
    members: dict[str, _Member] = field(default_factory=dict)
    started_at: float | None = None
    stopping_since: float | None = None  # time of the first stop command; no progress is made after it
    task_lost_at: float | None = None
    finished: bool = False


class Gangs:
    """The state of gangs across all machines: which tasks wait, each job's progress, and its saved checkpoint."""

    def __init__(self, wait_s: float = 50.0, peer_s: float = 5.0) -> None:
        # s; how long a task waits for its whole gang, and how long a gang runs on after one of its tasks is lost, or
        # after only some of its tasks were told to stop.
        self.wait_s, self.peer_s = wait_s, peer_s
        self.saved_progress: dict[str, float] = {}  # job -> seconds of progress in its checkpoint
        self.completed_jobs: set[str] = set()
        self.starts: list[tuple[str, int]] = []  # each start of a complete gang: job and attempt number
        self.exit_causes: list[str] = []  # of each gang task that exited
        self._gangs: dict[tuple[str, int], _Gang] = {}

    def join(self, worker: FakeWorker, task_id: str, attempt_number: int, task: dict[str, Any], now: float) -> None:
        """Add a task that has its image and waits for the others. A replacement with the same attempt number may
        complete the gang."""
        job_id = task_id.rpartition("/")[0]
        gang = self._gangs.setdefault((job_id, attempt_number), _Gang(worker._specs[job_id]))
        gang.members[task_id] = _Member(worker, task_id, task)
        self.step(now)

    def progress(self, gang: _Gang, now: float) -> float:
        if gang.started_at is None:
            return self.saved_progress.get(gang.spec["uid"], 0.0)
        end = min(t for t in (now, gang.stopping_since, gang.task_lost_at) if t is not None)
        return self.saved_progress.get(gang.spec["uid"], 0.0) + max(0.0, end - gang.started_at)

    def request_stop(self, task_id: str, attempt_number: int, grace_period_s: float, now: float) -> bool:
        """Return whether the task saves a checkpoint; if not, it exits at once."""
        gang = self._gangs.get((task_id.rpartition("/")[0], attempt_number))
        if gang is None or gang.started_at is None or gang.finished or gang.task_lost_at is not None:
            return False
        if not gang.spec["snapshotEveryS"] or grace_period_s < gang.spec["snapshotCostS"]:
            return False
        gang.stopping_since = now if gang.stopping_since is None else gang.stopping_since
        gang.members[task_id].stop_requested_at = now
        return True

    def step(self, now: float) -> None:
        for (job_id, attempt_number), gang in list(self._gangs.items()):
            if gang.finished:
                continue
            active = [m for m in gang.members.values() if m.active()]
            if gang.started_at is None:
                for member in active:
                    if now - member.task["at"] > self.wait_s:
                        self._exit(member, "alone")
                if sum(1 for m in active if not m.exited()) == gang.spec["shards"]:
                    gang.started_at = now
                    self.starts.append((job_id, attempt_number))
                    for member in active:
                        member.task.update(phase="running", at=now)
                        member.worker._notify_change()
                continue
            self._step_running(job_id, gang, active, now)

    def _step_running(self, job_id: str, gang: _Gang, active: list[_Member], now: float) -> None:
        spec = gang.spec
        complete = len(active) == spec["shards"]
        if complete and gang.task_lost_at is None and gang.stopping_since is None:
            if self.progress(gang, now) >= spec["expectedRunS"]:
                self.completed_jobs.add(job_id)
                gang.finished = True
                for member in active:
                    self._exit(member, "done")
            return
        if gang.stopping_since is not None and complete and gang.task_lost_at is None:
            saved = [
                m
                for m in active
                if m.stop_requested_at is not None and now >= m.stop_requested_at + spec["snapshotCostS"]
            ]
            if len(saved) == spec["shards"]:
                self.saved_progress[job_id] = self.progress(gang, now)
                gang.finished = True
                for member in active:
                    member.task["saved"] = True
                    self._exit(member, "halted")
                return
            if now <= gang.stopping_since + self.peer_s:
                return
        if gang.task_lost_at is None:
            gang.task_lost_at = now
        if now >= gang.task_lost_at + (self.peer_s if gang.stopping_since is None else 0.0):
            checkpoint_interval_s = spec["snapshotEveryS"]
            if checkpoint_interval_s and not gang.finished:
                self.saved_progress[job_id] = max(
                    self.saved_progress.get(job_id, 0.0),
                    self.progress(gang, now) // checkpoint_interval_s * checkpoint_interval_s,
                )
            gang.finished = True
            for member in active:
                self._exit(member, "peers")

    def _exit(self, member: _Member, cause: str) -> None:
        self.exit_causes.append(cause)
        member.worker._exit(member.task_id, member.task, cause)
