"""What the parts of the placer share during one round."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from sorrelsill.jobs import JobSpec
from sorrelsill.workers import ClusterState, Job, MachineSet


@dataclass(slots=True)
class Round:
    """One round of placing: the state it works on, its time, and what it has found to be full."""

    cluster: ClusterState
    now: float
    late: Callable[[], bool]  # whether the round's time budget is used up
    machines: MachineSet  # those that may be given work
    full: set[Hashable] = field(default_factory=set)  # kinds of work for which no machine has room


@dataclass(slots=True)
class Unplaced:
    """A job with tasks that found no room; `limited` means that its team's limit stands in the way, `zone` is where
    a group that has to be in one zone lacks least."""

    job: Job
    count: int
    limited: bool = False
    zone: str | None = None


def kind_of_room(spec: JobSpec) -> Hashable:
    """Jobs of one kind fit on the same machines."""
    return spec.machine_types, spec.zone, spec.cpus, spec.gpus, spec.memory, spec.spot
