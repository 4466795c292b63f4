"""The order in which waiting jobs are scheduled: production jobs, then starved jobs, then jobs covered by their team's
guaranteed share, then by priority; among equals by fewest missed objectives, then by least remaining work,
then by the earliest next objective. No I/O; callers pass the current time."""

from __future__ import annotations

from typing import NamedTuple

from sorrelsill import constants
from sorrelsill.placement.objectives import ServiceLevelObjectives
from sorrelsill.workers import Job


class Precedence(NamedTuple):
    """Sort key of a waiting job; compared field by field, lower goes first."""

    below_production: bool
    not_starved: bool
    outside_guarantee: bool
    priority: int
    missed_objectives: int
    remaining_work: float  # CPU seconds
    next_objective: float


def precedence(job: Job, objectives: ServiceLevelObjectives, guaranteed: bool, now: float) -> Precedence:
    """Return the sort key of a waiting job."""
    spec = job.spec
    objective = objectives.next_objective(job, now)
    # Least remaining work goes first: ordered by completion target alone, all jobs of a burst would share the
    # capacity and all miss their targets.
    remaining_work = 0.0 if spec.is_service else (spec.task_count - job.done.count) * spec.cpus * spec.expected_run_s
    return Precedence(
        spec.priority > 0,
        not is_starved(job, now),
        not guaranteed,
        spec.priority,
        objective.missed,
        remaining_work,
        objective.at,
    )


def is_starved(job: Job, now: float) -> bool:
    """Return whether the job is starved: it must not be kept waiting any longer, because it has no task on
    a machine and none was bound or ended for `STARVATION_S`."""
    return not job.bound and now - job.last_activity_at > constants.STARVATION_S
