"""What teams use: amounts, and the sums over the attempts that are bound to machines. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sorrelsill.jobs import JobSpec


class Resources(NamedTuple):
    """An amount of CPUs and GPUs."""

    cpus: float = 0.0
    gpus: float = 0.0

    def plus(self, other: Resources) -> Resources:
        """The sum of both."""
        return Resources(self.cpus + other.cpus, self.gpus + other.gpus)

    def at_most(self, other: Resources) -> Resources:
        """The lesser of both, for CPUs and GPUs each."""
        return Resources(min(self.cpus, other.cpus), min(self.gpus, other.gpus))

    def at_least(self, other: Resources) -> Resources:
        """The greater of both, for CPUs and GPUs each."""
        return Resources(max(self.cpus, other.cpus), max(self.gpus, other.gpus))


NOTHING = Resources()


def resources_of(spec: JobSpec, tasks: int = 1) -> Resources:
    """What so many tasks of a job take."""
    return Resources(spec.cpus * tasks, spec.gpus * tasks)


class TeamUse(NamedTuple):
    """What a team may be using at a moment, each task counted once."""

    bound: Resources  # by attempts bound to machines
    unaccounted: Resources  # at the most, by tasks that an earlier leader started and that are not bound here

    @property
    def total(self) -> Resources:
        """All that may be in use."""
        return self.bound.plus(self.unaccounted)


class BoundUsage:
    """Per team, what attempts that are bound to machines take, and the most that they took in this term."""

    def __init__(self) -> None:
        self._now: dict[str, Resources] = {}
        self._highest: dict[str, Resources] = {}

    def take(self, spec: JobSpec) -> None:
        """A task of the job is bound."""
        had = self.of(spec.team)
        now = self._now[spec.team] = Resources(had.cpus + spec.cpus, had.gpus + spec.gpus)
        highest = self.highest(spec.team)
        if now.cpus > highest.cpus or now.gpus > highest.gpus:
            self._highest[spec.team] = now.at_least(highest)

    def give_back(self, spec: JobSpec) -> None:
        """A task of the job is proved gone."""
        had = self.of(spec.team)
        self._now[spec.team] = Resources(max(0.0, had.cpus - spec.cpus), max(0.0, had.gpus - spec.gpus))

    def of(self, team: str) -> Resources:
        """What the team's attempts take now."""
        return self._now.get(team, NOTHING)

    def highest(self, team: str) -> Resources:
        """The most that they took at a time in this term."""
        return self._highest.get(team, NOTHING)
