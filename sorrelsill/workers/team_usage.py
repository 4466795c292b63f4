"""Resource usage of teams, and its sums over the attempts bound to machines. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from sorrelsill.model import NO_RESOURCES, JobSpec, Resources


class TeamUse(NamedTuple):
    """The resources that a team may be using; each task is counted once."""

    bound: Resources  # by attempts bound to machines
    unobserved: Resources  # upper bound, by tasks that an earlier leader started and that are not bound in this term

    @property
    def total(self) -> Resources:
        """The sum of bound and unobserved resources."""
        return self.bound.plus(self.unobserved)


class BoundUsage:
    """Resources of the attempts bound to machines, per team, and their maximum in this term."""

    def __init__(self) -> None:
        self._current: dict[str, Resources] = {}
        self._highest: dict[str, Resources] = {}

    def add(self, spec: JobSpec) -> None:
        """Add one task of the job, which was bound."""
        before = self.of(spec.team)
        now = self._current[spec.team] = Resources(before.cpus + spec.cpus, before.gpus + spec.gpus)
        highest = self.highest(spec.team)
        if now.cpus > highest.cpus or now.gpus > highest.gpus:
            self._highest[spec.team] = now.at_least(highest)

    def subtract(self, spec: JobSpec) -> None:
        """Subtract one task of the job, which is proved gone."""
        before = self.of(spec.team)
        self._current[spec.team] = Resources(max(0.0, before.cpus - spec.cpus), max(0.0, before.gpus - spec.gpus))

    def of(self, team: str) -> Resources:
        """Resources that the team's attempts use now."""
        return self._current.get(team, NO_RESOURCES)

    def highest(self, team: str) -> Resources:
        """The most CPUs and the most GPUs in use by the team's attempts at any time of this term."""
        return self._highest.get(team, NO_RESOURCES)
