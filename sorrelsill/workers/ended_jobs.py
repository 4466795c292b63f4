"""Jobs that are over while tasks of them may still run on machines that a new leader has not heard. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec, TaskSet


class EndedJob:
    """A job that is over, and which of its tasks may run unseen. Every task is counted once: those on machines that
    were heard are bound there like any other, with the size that its spec tells."""

    __slots__ = ("_accounted", "spec")

    def __init__(self, spec: JobSpec, accounted: TaskSet) -> None:
        self.spec = spec
        self._accounted = accounted  # tasks that are done, gone, or on a machine that was heard

    @property
    def unseen(self) -> int:
        """Tasks that may run on machines that were not heard."""
        return self.spec.task_count - self._accounted.count

    def found(self, index: int) -> None:
        """The task is on a machine that was heard, so on no other."""
        if 0 <= index < self.spec.task_count:
            self._accounted.add(index)

    def lost_sight(self, index: int) -> None:
        """What was found was a phantom out of a late copy of a report: the true task may be anywhere."""
        if 0 <= index < self.spec.task_count:
            self._accounted.discard(index)
