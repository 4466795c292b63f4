"""Service-level objectives of each job class: how soon its tasks should start and its jobs finish. No I/O;
callers pass the current time."""

from __future__ import annotations

from typing import NamedTuple

from sorrelsill.settings import Objective
from sorrelsill.workers import Job


class NextObjective(NamedTuple):
    """The next completion target that a job can still meet, and the number of targets it can no longer meet."""

    missed: int
    at: float


class ServiceLevelObjectives:
    """The service-level objectives by job class."""

    def __init__(self, objectives: list[Objective]) -> None:
        self._finish_within_s: dict[str, list[float]] = {}  # job class -> seconds after submission
        self._deadline_factors: dict[str, list[float]] = {}  # job class -> multiples of the job's deadline
        self.start_within_s: dict[str, float] = {}  # job class -> seconds within which tasks should start
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
        """Return the job's completion targets in seconds after its submission, earliest first."""
        spec = job.spec
        targets = list(self._finish_within_s.get(spec.job_class, []))
        if spec.deadline_s is not None:
            targets += [spec.deadline_s * times for times in self._deadline_factors.get(spec.job_class, [1.0])]
        return sorted(targets)

    def next_objective(self, job: Job, now: float) -> NextObjective:
        """Return the earliest completion target that the job can still meet. If the job can meet none, all its targets
        count as missed, since jobs with more missed targets are scheduled later, and `at` is the time of submission."""
        missed = 0
        for target_s in self.completion_targets_s(job):
            if job.submitted + target_s >= now + job.spec.expected_run_s:
                return NextObjective(missed, job.submitted + target_s)
            missed += 1
        return NextObjective(missed, job.submitted)

    def is_latency_sensitive(self, job_class: str) -> bool:
        """Return whether the job class is latency-sensitive: it has an objective for the start of its tasks."""
        return job_class in self.start_within_s
