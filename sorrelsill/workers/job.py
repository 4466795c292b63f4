"""The leader's view of a live job: which of its tasks are done, bound, or still to be started."""

from __future__ import annotations

import heapq

from sorrelsill import constants
from sorrelsill.model import JobSpec, TaskSet
from sorrelsill.workers.failures import FailureHistory
from sorrelsill.workers.machine import Attempt
from sorrelsill.workers.messages import TaskPhase


class Job:
    """The state of a live job in this term."""

    __slots__ = (
        "accepted",
        "avoided_machines",
        "bound",
        "cursor",
        "done",
        "unrecorded_small_chunks",
        "failures",
        "from_earlier_term",
        "order",
        "recorded_at",
        "requeued",
        "rev",
        "last_activity_at",
        "recorded_running",
        "spec",
        "chunked",
        "submitted",
        "notes",
        "zones",
    )

    def __init__(
        self, spec: JobSpec, done: TaskSet, rev: int, from_earlier_term: bool, now: float, notes: list[str]
    ) -> None:
        self.spec = spec
        self.done = done
        self.rev = rev
        self.from_earlier_term = from_earlier_term  # an earlier leader may have started some of its tasks
        self.submitted = now
        self.last_activity_at = now  # when one of its tasks was last bound or ended
        self.accepted = 0.0  # wall-clock time of the submission, from the job record
        self.notes = notes
        self.bound: dict[int, Attempt] = {}
        self.zones: dict[str, int] = {}  # zone -> number of bound tasks
        self.cursor = 0  # every task below this index has been done or bound at some time
        self.requeued: list[int] = []  # heap of tasks to be started again
        self.failures = FailureHistory(succeeded=done.count > 0)
        self.avoided_machines: dict[str, float] = {}  # machine -> time until which no task of the job is placed on it
        # Indices of the small progress chunks that are not stored yet; a small chunk covers SMALL_CHUNK_TASKS tasks.
        self.unrecorded_small_chunks: set[int] = set()
        self.chunked = spec.task_count > constants.CHUNK_TASKS  # its finished tasks are stored in keys of their own
        self.recorded_running = 0  # running tasks according to the stored record
        self.recorded_at = now
        self.order = 0  # position in the order in which the jobs of the term were added

    @property
    def waiting(self) -> int:
        """The number of tasks that are neither done nor bound; too low if some tasks are both."""
        return self.spec.task_count - self.done.count - len(self.bound)

    @property
    def unobserved_count(self) -> int:
        """The number of tasks neither done nor bound; unlike `waiting`, exact even if some tasks are both."""
        return self.spec.task_count - self.done.count - sum(1 for index in self.bound if index not in self.done)

    def bind(self, attempt: Attempt) -> None:
        """Make the attempt the current one of its task, replacing any other."""
        former = self.bound.get(attempt.index)
        if former is not None:
            self._remove_from_zone(former)
        self.bound[attempt.index] = attempt
        zone = attempt.machine.zone
        self.zones[zone] = self.zones.get(zone, 0) + 1

    def unbind(self, attempt: Attempt, now: float, requeue: bool) -> None:
        """Remove an attempt that is gone; with `requeue`, the task is queued to be started again unless it is done."""
        del self.bound[attempt.index]
        self._remove_from_zone(attempt)
        self.last_activity_at = now
        if requeue and attempt.index not in self.done:
            heapq.heappush(self.requeued, attempt.index)

    def _remove_from_zone(self, attempt: Attempt) -> None:
        zone = attempt.machine.zone
        self.zones[zone] = self.zones.get(zone, 1) - 1

    def next_task(self) -> int | None:
        """The lowest requeued task or else the next one not started yet; it stays queued until it is bound."""
        while self.requeued:
            index = self.requeued[0]
            if index in self.done or index in self.bound:
                heapq.heappop(self.requeued)
                continue
            return index
        while self.cursor < self.spec.task_count:
            if self.cursor not in self.done and self.cursor not in self.bound:
                return self.cursor
            self.cursor += 1
        return None

    def new_starts_allowed(self) -> int:
        """Upper bound on how many more of its tasks may be started now; low if the job is suspect: it probably fails
        on every machine."""
        bound = len(self.bound)
        return constants.SUSPECT_JOB_TASKS - bound if self.failures.is_suspect(bound) else self.spec.task_count

    def running(self) -> int:
        """The number of tasks that run or write a checkpoint; a gang's task that waits for its peers is not counted."""
        return sum(1 for a in self.bound.values() if a.phase in (TaskPhase.RUNNING, TaskPhase.CHECKPOINTING))

    def note(self, text: str) -> None:
        """Add a note for its users on why tasks stopped or wait; only the newest notes are kept."""
        if not self.notes or self.notes[-1] != text:
            self.notes.append(text)
            del self.notes[: -constants.NOTES_KEPT]
