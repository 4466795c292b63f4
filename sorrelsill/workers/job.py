"""A live job as the leader sees it: which of its tasks are done, bound, or still to be started."""

from __future__ import annotations

import heapq

from sorrelsill import constants
from sorrelsill.model import JobSpec, TaskSet
from sorrelsill.workers.attempt import Attempt
from sorrelsill.workers.failures import FailureHistory


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
        "served_at",
        "recorded_running",
        "spec",
        "chunked",
        "submitted",
        "why",
        "zones",
    )

    def __init__(
        self, spec: JobSpec, done: TaskSet, rev: int, from_earlier_term: bool, now: float, why: list[str]
    ) -> None:
        self.spec = spec
        self.done = done
        self.rev = rev
        self.from_earlier_term = from_earlier_term  # an earlier leader may have started tasks of it
        self.submitted = now
        self.served_at = now  # when a task of it was last bound or ended
        self.accepted = 0.0  # time of day of the submission, as recorded
        self.why = why
        self.bound: dict[int, Attempt] = {}
        self.zones: dict[str, int] = {}
        self.cursor = 0
        self.requeued: list[int] = []
        self.failures = FailureHistory(succeeded=done.count > 0)
        self.avoid: dict[str, float] = {}
        self.unrecorded_parts: set[int] = (
            set()
        )  # of its finished tasks, `PART_SHARDS` to a part, what is not recorded yet
        self.chunked = spec.task_count > constants.CHUNK_TASKS  # its finished tasks are kept beside its record
        self.recorded_running = 0  # tasks that run, as the record says
        self.recorded_at = now
        self.order = 0

    @property
    def waiting(self) -> int:
        """Tasks that are neither done nor bound."""
        return self.spec.task_count - self.done.count - len(self.bound)

    @property
    def unknown(self) -> int:
        """Tasks neither done nor bound; unlike `waiting` exact for those that are both."""
        return self.spec.task_count - self.done.count - sum(1 for index in self.bound if index not in self.done)

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

    def trials_left(self) -> int:
        """How many more of its tasks may be started now: few, if it seems to fail wherever it is tried."""
        bound = len(self.bound)
        return constants.TRIAL_TASKS - bound if self.failures.suspect(bound) else self.spec.task_count

    def running(self) -> int:
        """A task of a group that waits for the others does not run."""
        return sum(1 for a in self.bound.values() if a.phase in ("running", "saving"))

    def note(self, text: str) -> None:
        """Tell its users why tasks stopped or wait; the newest notes are kept."""
        if not self.why or self.why[-1] != text:
            self.why.append(text)
            del self.why[: -constants.REASONS_KEPT]
