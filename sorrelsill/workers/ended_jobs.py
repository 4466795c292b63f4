"""Ended jobs whose tasks may still run on machines from which a new leader has had no heartbeat yet. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec, TaskSet


class EndedJob:
    """An ended job, and which of its tasks may still run unobserved.

    No task is counted twice: a task on a machine that was heard from is bound there and counts with the resources of
    the job's spec; only the other tasks that are not gone count as unobserved."""

    __slots__ = ("_accounted", "spec")

    def __init__(self, spec: JobSpec, accounted: TaskSet) -> None:
        self.spec = spec
        self._accounted = accounted  # tasks that are done, gone, or on a machine that was heard from

    @property
    def unobserved_count(self) -> int:
        """The number of tasks that may run on machines that were not heard from."""
        return self.spec.task_count - self._accounted.count

    def mark_observed(self, index: int) -> None:
        """Record that the task is on a machine that was heard from, and so on no other."""
        if 0 <= index < self.spec.task_count:
            self._accounted.add(index)

    def mark_unobserved(self, index: int) -> None:
        """Undo `mark_observed` after a stale, delayed heartbeat: the task may be on any unconfirmed machine."""
        if 0 <= index < self.spec.task_count:
            self._accounted.discard(index)
