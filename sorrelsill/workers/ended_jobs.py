"""Ended jobs whose tasks may still run on machines that are unconfirmed in the term of a new leader. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec, TaskSet


class EndedJob:
    """An ended job, and which of its tasks may still run unobserved.

    Every task is counted once: tasks that a machine has reported in this term are bound there like any other,
    with the resources of the job's spec."""

    __slots__ = ("_accounted", "spec")

    def __init__(self, spec: JobSpec, accounted: TaskSet) -> None:
        self.spec = spec
        self._accounted = accounted  # tasks that are done, gone, or bound to a machine

    @property
    def unobserved_count(self) -> int:
        """The number of tasks that may run on unconfirmed machines."""
        return self.spec.task_count - self._accounted.count

    def mark_observed(self, index: int) -> None:
        """Record that a machine has reported the task, so that it is on no other machine."""
        if 0 <= index < self.spec.task_count:
            self._accounted.add(index)

    def mark_unobserved(self, index: int) -> None:
        """Undo `mark_observed` after a stale, delayed heartbeat: the task may be on any unconfirmed machine."""
        if 0 <= index < self.spec.task_count:
            self._accounted.discard(index)
