"""What a job asks for, in the one form that the code uses; `jobs/messages.py` reads it from the wire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

SWEEP, STANDING, GANG = "sweep", "standing", "group"


@dataclass(slots=True, frozen=True)
class JobSpec:
    """A job's description, immutable for its whole life."""

    job_id: str
    workload: str
    team: str
    shape: str
    rank: int
    shards: int
    cpus: float
    gpus: float
    memory: float
    machine_types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    scatter: bool
    spot: bool
    image: str
    image_gb: float
    expected_s: float
    snapshot_s: float
    snapshot_cost_s: float
    due_s: float | None
    raw: dict[str, Any]

    @property
    def endless(self) -> bool:
        """Whether its tasks run until the job is cancelled."""
        return self.shape == STANDING

    @property
    def whole(self) -> bool:
        """Its tasks run at the same time or not at all, and complete together."""
        return self.shape == GANG

    def may_add_in(self, zone: str, placed: dict[str, int]) -> bool:
        """Whether one more task may be in the zone, given how many are in each: the only place that knows `oneZone` and
        `scatter` for single tasks."""
        if self.one_zone and any(count > 0 and other != zone for other, count in placed.items()):
            return False
        return not self.scatter or placed.get(zone, 0) < self.zone_limit

    @property
    def zone_limit(self) -> int:
        """Most tasks of the job that may be in one zone at a time."""
        return (self.shards + 1) // 2 if self.scatter else self.shards
