"""Which job is served first: production, then starved jobs, then those covered by their team's guaranteed share, then
by priority; among equals by objectives missed, then the least remaining work. Pure: time is given."""

from __future__ import annotations

from typing import NamedTuple

from sorrelsill import constants
from sorrelsill.placement.objectives import ServiceLevelObjectives
from sorrelsill.workers import Job


class Precedence(NamedTuple):
    """Compared field by field; lower goes first."""

    below_production: bool
    not_starved: bool
    outside_guarantee: bool
    priority: int
    missed_objectives: int
    work_left: float  # CPU seconds
    next_objective: float


def precedence(job: Job, objectives: ServiceLevelObjectives, guaranteed: bool, now: float) -> Precedence:
    """Where a waiting job stands in the order."""
    spec = job.spec
    objective = objectives.next_objective(job, now)
    # The least work first: by their targets alone, in a burst all jobs share what capacity there is and all miss.
    work = 0.0 if spec.is_service else (spec.task_count - job.done.count) * spec.cpus * spec.expected_run_s
    return Precedence(
        spec.priority > 0, not is_starved(job, now), not guaranteed, spec.priority, objective.missed, work, objective.at
    )


def is_starved(job: Job, now: float) -> bool:
    """Whether the job is starved: none of its tasks ran for so long that it must not be kept waiting any more."""
    return not job.bound and now - job.last_activity_at > constants.STARVATION_S
