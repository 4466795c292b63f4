"""Tasks for which the last scheduling attempt found no capacity: the demand for renting machines."""

from __future__ import annotations

from dataclasses import dataclass

from sorrelsill.workers.job import Job


@dataclass(slots=True)
class UnschedulableDemand:
    """A job with `count` tasks for which there was no capacity. `quota_limited`: its team's limit prevents the start,
    not a lack of machines. `zone`: for a gang that must run in one zone, the zone that lacks the least capacity."""

    job: Job
    count: int
    quota_limited: bool = False
    zone: str | None = None
