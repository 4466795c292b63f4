"""What teams use: amounts, and the sums over the attempts that are bound to machines. Pure."""

from __future__ import annotations

from typing import NamedTuple

from sorrelsill.model import NOTHING, JobSpec, Resources


class TeamUse(NamedTuple):
    """What a team may be using at a moment, each task counted once."""

    bound: Resources  # by attempts bound to machines
    unobserved: Resources  # at the most, by tasks that an earlier leader started and that are not bound here

    @property
    def total(self) -> Resources:
        """All that may be in use."""
        return self.bound.plus(self.unobserved)


class BoundUsage:
    """Per team, what attempts that are bound to machines take, and the most that they took in this term."""

    def __init__(self) -> None:
        self._current: dict[str, Resources] = {}
        self._highest: dict[str, Resources] = {}

    def add(self, spec: JobSpec) -> None:
        """A task of the job is bound."""
        before = self.of(spec.team)
        now = self._current[spec.team] = Resources(before.cpus + spec.cpus, before.gpus + spec.gpus)
        highest = self.highest(spec.team)
        if now.cpus > highest.cpus or now.gpus > highest.gpus:
            self._highest[spec.team] = now.at_least(highest)

    def subtract(self, spec: JobSpec) -> None:
        """A task of the job is proved gone."""
        before = self.of(spec.team)
        self._current[spec.team] = Resources(max(0.0, before.cpus - spec.cpus), max(0.0, before.gpus - spec.gpus))

    def of(self, team: str) -> Resources:
        """What the team's attempts take now."""
        return self._current.get(team, NOTHING)

    def highest(self, team: str) -> Resources:
        """The most that they took at a time in this term."""
        return self._highest.get(team, NOTHING)
