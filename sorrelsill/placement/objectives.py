"""What the settings' aims ask of each class of jobs: when its tasks should start and its jobs be done. Pure."""

from __future__ import annotations

from typing import NamedTuple

from sorrelsill.settings import Objective
from sorrelsill.workers import Job


class NextMark(NamedTuple):
    """The next moment that matters to a job's user and can still be met, after how many missed ones."""

    missed: int
    at: float


class ServiceLevelObjectives:
    """The aims by class of jobs."""

    def __init__(self, objectives: list[Objective]) -> None:
        self._finish_within_s: dict[str, list[float]] = {}  # class -> seconds after submission that its aims name
        self._deadline_times: dict[str, list[float]] = {}  # class -> multiples of the deadline that its aims name
        self.start_within_s: dict[str, float] = {}  # class -> seconds within which its tasks should start
        for aim in objectives:
            if not aim.job_class:
                continue
            if aim.kind == "finished" and aim.within_s:
                self._finish_within_s.setdefault(aim.job_class, []).append(aim.within_s)
            if aim.kind == "wait" and aim.within_s:
                self.start_within_s[aim.job_class] = aim.within_s
            if aim.kind == "deadline":
                self._deadline_times.setdefault(aim.job_class, []).append(aim.times or 1.0)

    def marks_s(self, job: Job) -> list[float]:
        """Seconds after its submission at which the job should be done, earliest first."""
        spec = job.spec
        marks = list(self._finish_within_s.get(spec.job_class, []))
        if spec.deadline_s is not None:
            marks += [spec.deadline_s * times for times in self._deadline_times.get(spec.job_class, [1.0])]
        return sorted(marks)

    def next_mark(self, job: Job, now: float) -> NextMark:
        """A job that is late for good waits behind those that are not."""
        missed = 0
        for mark_s in self.marks_s(job):
            if job.submitted + mark_s >= now + job.spec.expected_run_s:
                return NextMark(missed, job.submitted + mark_s)
            missed += 1
        return NextMark(missed, job.submitted)

    def should_start_at_once(self, job_class: str) -> bool:
        """Whether an aim names seconds within which tasks of the class should start."""
        return job_class in self.start_within_s
