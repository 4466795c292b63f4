"""Jobs that are over while tasks of them may still run on machines that a new leader has not heard. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec, TaskSet


class EndedJob:
    """A job that is over, and which of its tasks may run unobserved. Every task is counted once: those on machines that
    were heard are bound there like any other, with the size that its spec tells."""

    __slots__ = ("_accounted", "spec")

    def __init__(self, spec: JobSpec, accounted: TaskSet) -> None:
        self.spec = spec
        self._accounted = accounted  # tasks that are done, gone, or on a machine that was heard

    @property
    def unobserved_count(self) -> int:
        """Tasks that may run on machines that were not heard."""
        return self.spec.task_count - self._accounted.count

    def mark_observed(self, index: int) -> None:
        """The task is on a machine that was heard, so on no other."""
        if 0 <= index < self.spec.task_count:
            self._accounted.add(index)

    def mark_unobserved(self, index: int) -> None:
        """What was found was a stale copy out of a late heartbeat: the true task may be anywhere."""
        if 0 <= index < self.spec.task_count:
            self._accounted.discard(index)
