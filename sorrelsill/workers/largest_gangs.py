"""The largest gang of each job class in this term; it determines the headroom kept free for the next gang."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from sorrelsill import constants

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec


class LargestGangs:
    """The gang with the most CPUs in total, by job class."""

    def __init__(self) -> None:
        self._by_class: dict[str, JobSpec] = {}

    def add(self, spec: JobSpec) -> None:
        """Take a submitted gang into account."""
        largest = self._by_class.get(spec.job_class)
        if largest is None or _total_cpus(largest) < _total_cpus(spec):
            self._by_class[spec.job_class] = spec

    def get(self, job_class: str) -> JobSpec | None:
        """The largest gang of a class, or None if there was none."""
        return self._by_class.get(job_class)

    def headroom_cpus(self, classes: Iterable[str]) -> float:
        """CPUs to keep free for one more gang of each of these classes: the CPUs of the largest ones, times
        `GANG_HEADROOM`."""
        largest = (self._by_class.get(name) for name in classes)
        return constants.GANG_HEADROOM * sum(_total_cpus(spec) for spec in largest if spec is not None)


def _total_cpus(spec: JobSpec) -> float:
    return spec.cpus * spec.task_count
