"""A live job as the leader sees it: which of its tasks are done, bound, or still to be started."""

from __future__ import annotations

import heapq

from sorrelsill import constants
from sorrelsill.model import JobSpec, TaskSet
from sorrelsill.workers.failures import FailureHistory
from sorrelsill.workers.machine import Attempt
from sorrelsill.workers.messages import TaskPhase


class Job:
    """A live job as the leader sees it."""

    __slots__ = (
        "accepted",
        "avoid",
        "bound",
        "cursor",
        "done",
        "unrecorded_parts",
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
        self.from_earlier_term = from_earlier_term  # an earlier leader may have started tasks of it
        self.submitted = now
        self.last_activity_at = now  # when a task of it was last bound or ended
        self.accepted = 0.0  # time of day of the submission, as recorded
        self.notes = notes
        self.bound: dict[int, Attempt] = {}
        self.zones: dict[str, int] = {}
        self.cursor = 0
        self.requeued: list[int] = []
        self.failures = FailureHistory(succeeded=done.count > 0)
        self.avoid: dict[str, float] = {}
        # Of its finished tasks, `PART_SHARDS` to a part, the parts that are not recorded yet.
        self.unrecorded_parts: set[int] = set()
        self.chunked = spec.task_count > constants.CHUNK_TASKS  # its finished tasks are kept beside its record
        self.recorded_running = 0  # tasks that run, as the record says
        self.recorded_at = now
        self.order = 0

    @property
    def waiting(self) -> int:
        """Tasks that are neither done nor bound."""
        return self.spec.task_count - self.done.count - len(self.bound)

    @property
    def unobserved_count(self) -> int:
        """Tasks neither done nor bound; unlike `waiting` exact for those that are both."""
        return self.spec.task_count - self.done.count - sum(1 for index in self.bound if index not in self.done)

    def bind(self, attempt: Attempt) -> None:
        """The attempt is the one of its task from now on; if there was another, that loses its place."""
        former = self.bound.get(attempt.index)
        if former is not None:
            self._remove_from_zone(former)
        self.bound[attempt.index] = attempt
        zone = attempt.machine.zone
        self.zones[zone] = self.zones.get(zone, 0) + 1

    def unbind(self, attempt: Attempt, now: float, requeue: bool) -> None:
        """The attempt bound for its task is gone; with `requeue` the task is to be started again unless it is done."""
        del self.bound[attempt.index]
        self._remove_from_zone(attempt)
        self.last_activity_at = now
        if requeue and attempt.index not in self.done:
            heapq.heappush(self.requeued, attempt.index)

    def _remove_from_zone(self, attempt: Attempt) -> None:
        zone = attempt.machine.zone
        self.zones[zone] = self.zones.get(zone, 1) - 1

    def next_task(self) -> int | None:
        """The lowest task that is neither done nor bound; it stays queued until it is bound."""
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
        """How many more of its tasks may be started now: few, if it seems to fail wherever it is tried."""
        bound = len(self.bound)
        return constants.TRIAL_TASKS - bound if self.failures.is_suspect(bound) else self.spec.task_count

    def running(self) -> int:
        """Tasks that make progress or save it. A task of a gang that waits for the others does not run."""
        return sum(1 for a in self.bound.values() if a.phase in (TaskPhase.RUNNING, TaskPhase.CHECKPOINTING))

    def note(self, text: str) -> None:
        """Tell its users why tasks stopped or wait; the newest notes are kept."""
        if not self.notes or self.notes[-1] != text:
            self.notes.append(text)
            del self.notes[: -constants.REASONS_KEPT]
