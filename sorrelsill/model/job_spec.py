"""The specification of a job as all packages use it; `jobs/messages.py` parses it from the wire."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any


class JobKind(enum.Enum):
    """How the tasks of a job run."""

    ARRAY = "array"  # independent tasks, each runs to completion
    SERVICE = "service"  # replicas that run until the job is cancelled
    GANG = "gang"  # all tasks run at the same time or none does, and they complete together


class Priority(enum.IntEnum):
    """The priority of a job; jobs with a lower number go first."""

    PRODUCTION = 0
    HIGH = 1
    STANDARD = 2
    BEST_EFFORT = 3


@dataclass(slots=True, frozen=True)
class JobSpec:
    """The specification of a job. It never changes."""

    job_id: str
    job_class: str
    team: str
    kind: JobKind
    priority: Priority
    task_count: int
    cpus: float
    gpus: float
    memory_gb: float
    machine_types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    spread_zones: bool
    spot_allowed: bool
    image: str
    image_gb: float
    expected_run_s: float
    checkpoint_interval_s: float
    checkpoint_cost_s: float
    deadline_s: float | None
    raw: dict[str, Any]

    @property
    def is_service(self) -> bool:
        """Whether its tasks run until the job is cancelled."""
        return self.kind is JobKind.SERVICE

    @property
    def is_gang(self) -> bool:
        """Whether its tasks run all at the same time or not at all, and complete together."""
        return self.kind is JobKind.GANG

    def zone_allows_another_task(self, zone: str, placed: dict[str, int]) -> bool:
        """Whether one more task may be placed in the zone; `placed` is the number of tasks per zone. Scheduling and
        preemption check `one_zone` and `spread_zones` of single tasks only here; gangs and rebalancing have checks of
        their own."""
        if self.one_zone and any(count > 0 and other != zone for other, count in placed.items()):
            return False
        return not self.spread_zones or placed.get(zone, 0) < self.zone_limit

    @property
    def zone_limit(self) -> int:
        """Maximum number of the job's tasks in one zone at a time."""
        return (self.task_count + 1) // 2 if self.spread_zones else self.task_count
