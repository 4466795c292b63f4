"""Amounts of CPUs and GPUs."""

from __future__ import annotations

from typing import NamedTuple

from sorrelsill.model.job_spec import JobSpec


class Resources(NamedTuple):
    """An amount of CPUs and GPUs."""

    cpus: float = 0.0
    gpus: float = 0.0

    def plus(self, other: Resources) -> Resources:
        """The sum of both amounts."""
        return Resources(self.cpus + other.cpus, self.gpus + other.gpus)

    def at_most(self, other: Resources) -> Resources:
        """The minimum of both amounts, for CPUs and GPUs separately."""
        return Resources(min(self.cpus, other.cpus), min(self.gpus, other.gpus))

    def at_least(self, other: Resources) -> Resources:
        """The maximum of both amounts, for CPUs and GPUs separately."""
        return Resources(max(self.cpus, other.cpus), max(self.gpus, other.gpus))


NO_RESOURCES = Resources()


def resources_of(spec: JobSpec, tasks: int = 1) -> Resources:
    """The CPUs and GPUs that this many tasks of a job need."""
    return Resources(spec.cpus * tasks, spec.gpus * tasks)
