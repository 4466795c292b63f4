"""Service-level objectives of each class of jobs: when its tasks should start and its jobs be done. Pure."""

from __future__ import annotations

from typing import NamedTuple

from sorrelsill.settings import Objective
from sorrelsill.workers import Job


class NextObjective(NamedTuple):
    """The next completion target of a job that can still be met, after how many missed ones."""

    missed: int
    at: float


class ServiceLevelObjectives:
    """The objectives by class of jobs."""

    def __init__(self, objectives: list[Objective]) -> None:
        self._finish_within_s: dict[str, list[float]] = {}  # class -> seconds after submission of its objectives
        self._deadline_factors: dict[str, list[float]] = {}  # class -> multiples of the deadline
        self.start_within_s: dict[str, float] = {}  # class -> seconds within which its tasks should start
        for objective in objectives:
            if not objective.job_class:
                continue
            if objective.kind == "finished" and objective.within_s:
                self._finish_within_s.setdefault(objective.job_class, []).append(objective.within_s)
            if objective.kind == "wait" and objective.within_s:
                self.start_within_s[objective.job_class] = objective.within_s
            if objective.kind == "deadline":
                self._deadline_factors.setdefault(objective.job_class, []).append(objective.times or 1.0)

    def completion_targets_s(self, job: Job) -> list[float]:
        """Seconds after its submission at which the job should be done, earliest first."""
        spec = job.spec
        targets = list(self._finish_within_s.get(spec.job_class, []))
        if spec.deadline_s is not None:
            targets += [spec.deadline_s * times for times in self._deadline_factors.get(spec.job_class, [1.0])]
        return sorted(targets)

    def next_objective(self, job: Job, now: float) -> NextObjective:
        """A job that can meet none any more waits behind those that can."""
        missed = 0
        for target_s in self.completion_targets_s(job):
            if job.submitted + target_s >= now + job.spec.expected_run_s:
                return NextObjective(missed, job.submitted + target_s)
            missed += 1
        return NextObjective(missed, job.submitted)

    def is_latency_sensitive(self, job_class: str) -> bool:
        """Whether the class is latency-sensitive: an objective names seconds within which its tasks should start."""
        return job_class in self.start_within_s
