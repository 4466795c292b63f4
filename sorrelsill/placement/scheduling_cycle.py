"""State that the components of the scheduler share during one scheduling cycle."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from sorrelsill.model import JobSpec
from sorrelsill.workers import ClusterState, MachineSet


@dataclass(slots=True)
class SchedulingCycle:
    """The cluster state, the current time and the equivalence classes already found unschedulable in this cycle."""

    cluster: ClusterState
    now: float
    out_of_time: Callable[[], bool]  # returns whether the cycle's time budget is used up
    machines: MachineSet  # usable machines
    unschedulable_classes: set[Hashable] = field(
        default_factory=set
    )  # equivalence classes for which no machine has room


def equivalence_class(spec: JobSpec) -> Hashable:
    """Return the scheduling-equivalence class of a job: jobs of the same class fit on the same machines."""
    return spec.machine_types, spec.zone, spec.cpus, spec.gpus, spec.memory_gb, spec.spot_allowed
