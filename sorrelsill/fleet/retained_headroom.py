"""Which idle machines scaling in may return without giving up headroom."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill.fleet.demand import FleetDemand
from sorrelsill.fleet.free_capacity import tasks_that_could_start

if TYPE_CHECKING:
    from sorrelsill.workers import Machine, UnschedulableDemand


class RetainedHeadroom:
    """Headroom that scaling in must leave: for gangs that wait, for one more gang, for one more service."""

    def __init__(self, demand: FleetDemand, unschedulable: list[UnschedulableDemand]) -> None:
        self._demand = demand
        self._service = demand.service_headroom_spec()
        # A gang that waits needs several machines at once. Guards against each machine rented for it being returned
        # as idle before the next one is up.
        self._waiting_gangs = [
            (item.job.spec, item.zone) for item in unschedulable if item.job.spec.is_gang and not item.quota_limited
        ]
        self._gangs = demand.gang_headroom()
        # Computed only if a machine could be returned, since it walks all of them.
        self._service_tasks: dict[str, int] | None = None  # that could start at once, by zone

    def permits_return(self, machine: Machine) -> bool:
        """Whether an idle machine may be returned; if so it no longer counts."""
        if any(zone in (None, machine.zone) and machine.allows(spec) for spec, zone in self._waiting_gangs):
            return False
        gangs = self._gangs
        if gangs.kept_cpus and not machine.spot:
            left_cpus = gangs.free_cpus[machine.zone] - machine.capacity_cpus
            if machine.zone == gangs.zone() and left_cpus < gangs.kept_cpus:
                return False
            gangs.free_cpus[machine.zone] = left_cpus
        return self._leaves_service_headroom(machine)

    def _leaves_service_headroom(self, machine: Machine) -> bool:
        service = self._service
        if service is None or not machine.allows(service):
            return True
        if self._service_tasks is None:
            self._service_tasks = self._demand.service_capacity(service)
        tasks = tasks_that_could_start(machine, service)
        if self._service_tasks.get(machine.zone, 0) - tasks < service.zone_limit:
            return False
        self._service_tasks[machine.zone] -= tasks
        return True
