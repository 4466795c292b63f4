"""Headroom for latency-sensitive gangs: CPUs that single tasks below production priority leave free in one zone. Used
only when optimising for cost; when optimising for latency, the fleet keeps headroom for all work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill.model import Priority
from sorrelsill.placement.order import is_starved

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.placement.objectives import ServiceLevelObjectives
    from sorrelsill.workers import ClusterState, Job, Machine


class GangHeadroom:
    """Keeps CPUs free on the on-demand machines of one zone, the one with the most free CPUs."""

    def __init__(self, objectives: ServiceLevelObjectives, optimise_latency: bool) -> None:
        self._objectives = objectives
        self._optimise_latency = optimise_latency
        self._headroom_cpus = 0.0
        self._zone = ""
        self._free_cpus: dict[str, float] = {}  # zone -> free CPUs on its on-demand machines

    def update(self, cluster: ClusterState) -> None:
        """Recompute how many CPUs are kept free, and in which zone."""
        self._headroom_cpus = (
            0.0 if self._optimise_latency else cluster.gang_headroom_cpus(self._objectives.start_within_s)
        )
        self._free_cpus = cluster.index.free.on_demand_cpus() if self._headroom_cpus else {}
        self._zone = max(sorted(self._free_cpus), key=lambda zone: self._free_cpus[zone], default="")

    def deduct_task(self, spec: JobSpec, machine: Machine) -> None:
        """Deduct the CPUs of a task that was bound to the machine from the free CPUs of its zone."""
        if not machine.spot and machine.zone in self._free_cpus:
            self._free_cpus[machine.zone] -= spec.cpus

    def permits(self, job: Job, machine: Machine, now: float) -> bool:
        """Return whether a task may start on the machine without using headroom. Starved jobs may use it: otherwise an
        array could wait forever when the cloud has no more machines available."""
        spec = job.spec
        return (
            not self._headroom_cpus
            or machine.spot
            or spec.priority is Priority.PRODUCTION
            or spec.is_gang
            or machine.zone != self._zone
            or self._free_cpus[machine.zone] - spec.cpus >= self._headroom_cpus
            or is_starved(job, now)
        )
