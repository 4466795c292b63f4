"""What the parts of the scheduler share during one scheduling cycle."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from sorrelsill.model import JobSpec
from sorrelsill.workers import ClusterState, MachineSet


@dataclass(slots=True)
class SchedulingCycle:
    """The state that the cycle works on, its time, and the job classes it found unschedulable."""

    cluster: ClusterState
    now: float
    out_of_time: Callable[[], bool]  # whether the cycle's time budget is used up
    machines: MachineSet  # those that may be given work
    unschedulable_classes: set[Hashable] = field(default_factory=set)  # classes of jobs for which no machine has room


def equivalence_class(spec: JobSpec) -> Hashable:
    """Jobs of one class fit on the same machines."""
    return spec.machine_types, spec.zone, spec.cpus, spec.gpus, spec.memory_gb, spec.spot_allowed
