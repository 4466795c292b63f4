"""One try of one task on one machine, as the leader follows it from the binding to the proof that it is gone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.workers.machine import Machine


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of one task on one machine."""

    job_id: str
    index: int
    attempt_number: int
    machine: Machine
    spec: JobSpec | None  # None: a task of a job that is over or unknown; it is only to be stopped
    created: float
    phase: str = "sent"  # until the worker has reported it
    confirmed: bool = False
    located: bool = False  # on its machine for certain, and not a phantom out of a late copy of a report
    stop_requested: bool = False
    grace_period_s: float = 0.0
    told_stop_at: float = float("-inf")
    running_since: float | None = None
    stop_reason: str = ""
    exited: bool = False
    unanswered_starts: int = 0  # direct starts of it that are unanswered: they may still be executed
    start_sent: bool = False
    stop_sent: bool = False
    clearable: bool = False
    clear_after: float = float("-inf")  # a repeat of its direct start would run it again once it is cleared
    task_id: str = ""

    def __post_init__(self) -> None:
        self.task_id = f"{self.job_id}/{self.index}"

    @property
    def key(self) -> tuple[str, int]:
        """Its task and attempt number, which no other attempt shares."""
        return self.task_id, self.attempt_number
