"""Headroom for latency-sensitive gangs, where cost is optimised for: other work that has no higher priority leaves it
free. Where latency is optimised for there is headroom for all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill.model import Priority
from sorrelsill.placement.order import is_starved

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.placement.objectives import ServiceLevelObjectives
    from sorrelsill.workers import ClusterState, Job, Machine


class GangHeadroom:
    """CPUs kept free on on-demand machines of one zone."""

    def __init__(self, objectives: ServiceLevelObjectives, optimise_latency: bool) -> None:
        self._objectives = objectives
        self._optimise_latency = optimise_latency
        self._kept_cpus = 0.0
        self._zone = ""
        self._free: dict[str, float] = {}  # CPUs free on on-demand machines, by zone

    def update(self, cluster: ClusterState) -> None:
        """Compute again how much is kept, and in which zone."""
        self._kept_cpus = 0.0 if self._optimise_latency else cluster.gang_headroom_cpus(self._objectives.start_within_s)
        self._free = cluster.index.free.on_demand_cpus() if self._kept_cpus else {}
        self._zone = max(sorted(self._free), key=lambda zone: self._free[zone], default="")

    def task_bound(self, spec: JobSpec, machine: Machine) -> None:
        """A task was bound to the machine."""
        if not machine.spot and machine.zone in self._free:
            self._free[machine.zone] -= spec.cpus

    def permits(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether a task may start there without taking headroom. A starved job may take it, or an array
        could wait for ever where the cloud has no more machines to give."""
        spec = job.spec
        return (
            not self._kept_cpus
            or machine.spot
            or spec.priority is Priority.PRODUCTION
            or spec.is_gang
            or machine.zone != self._zone
            or self._free[machine.zone] - spec.cpus >= self._kept_cpus
            or is_starved(job, now)
        )
