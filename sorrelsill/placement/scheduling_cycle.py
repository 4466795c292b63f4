"""What the parts of the placer share during one round."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from sorrelsill.model import JobSpec
from sorrelsill.workers import ClusterState, MachineSet


@dataclass(slots=True)
class SchedulingCycle:
    """One round of placing: the state it works on, its time, and what it has found to be full."""

    cluster: ClusterState
    now: float
    out_of_time: Callable[[], bool]  # whether the round's time budget is used up
    machines: MachineSet  # those that may be given work
    full_classes: set[Hashable] = field(default_factory=set)  # kinds of work for which no machine has room


def equivalence_class(spec: JobSpec) -> Hashable:
    """Jobs of one kind fit on the same machines."""
    return spec.machine_types, spec.zone, spec.cpus, spec.gpus, spec.memory_gb, spec.spot_allowed
