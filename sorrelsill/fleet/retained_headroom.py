"""Decides which idle machines may be returned without giving up headroom."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill.fleet.demand import FleetDemand
from sorrelsill.fleet.free_capacity import tasks_that_could_start

if TYPE_CHECKING:
    from sorrelsill.workers import Machine, UnschedulableDemand


class RetainedHeadroom:
    """Headroom that scaling in must leave: for waiting gangs, for one more gang and for one more service."""

    def __init__(self, demand: FleetDemand, unschedulable: list[UnschedulableDemand]) -> None:
        self._demand = demand
        self._service_spec = demand.service_headroom_spec()
        # A waiting gang needs several machines at once. Without this check, each machine rented for the gang would
        # be returned as idle before the next one is up.
        self._waiting_gangs = [
            (item.job.spec, item.zone) for item in unschedulable if item.job.spec.is_gang and not item.quota_limited
        ]
        self._gang_capacity = demand.gang_capacity()
        # Number of tasks of the service that could start at once, by zone. Computed only once a machine could be
        # returned, since this may visit all machines.
        self._service_tasks: dict[str, int] | None = None

    def permits_return(self, machine: Machine) -> bool:
        """Whether an idle machine may be returned. If so, its capacity is subtracted, so that later calls see what is
        left. If only the headroom for a service forbids it, its capacity for gangs is subtracted all the same."""
        if any(
            zone in (None, machine.zone) and machine.meets_constraints_of(spec) for spec, zone in self._waiting_gangs
        ):
            return False
        gang_capacity = self._gang_capacity
        if gang_capacity.headroom_cpus and not machine.spot:
            remaining_cpus = gang_capacity.free_cpus[machine.zone] - machine.capacity_cpus
            if machine.zone == gang_capacity.zone() and remaining_cpus < gang_capacity.headroom_cpus:
                return False
            gang_capacity.free_cpus[machine.zone] = remaining_cpus
        return self._leaves_service_headroom(machine)

    def _leaves_service_headroom(self, machine: Machine) -> bool:
        service_spec = self._service_spec
        if service_spec is None or not machine.meets_constraints_of(service_spec):
            return True
        if self._service_tasks is None:
            self._service_tasks = self._demand.service_capacity(service_spec)
        tasks = tasks_that_could_start(machine, service_spec)
        if self._service_tasks.get(machine.zone, 0) - tasks < service_spec.zone_limit:
            return False
        self._service_tasks[machine.zone] -= tasks
        return True
