"""What found no room when it was last tried: the demand that machines are rented for."""

from __future__ import annotations

from dataclasses import dataclass

from sorrelsill.workers.job import Job


@dataclass(slots=True)
class UnschedulableDemand:
    """A job with tasks that found no room; `limited` means that its team's limit stands in the way, `zone` is where
    a gang that has to be in one zone lacks least."""

    job: Job
    count: int
    limited: bool = False
    zone: str | None = None
