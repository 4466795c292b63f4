"""Capacity demand on the fleet: unschedulable tasks, and headroom where objectives leave no time to boot."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from sorrelsill import constants
from sorrelsill.fleet.fleet_state import FleetState
from sorrelsill.fleet.free_capacity import SMALLEST_AMOUNT, FreeCapacity
from sorrelsill.fleet.instances import BootingInstance, CapacityDemand, can_wait_for_scale_out, lead_time_s

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec, MachineType
    from sorrelsill.workers import UnschedulableDemand


_MOST_TASKS = 40 * constants.SCALE_OUT_BATCH_MAX  # of one job, for which capacity is planned at a time


@dataclass(slots=True)
class GangCapacity:
    """Capacity for latency-sensitive gangs on on-demand machines."""

    free_cpus: dict[str, float]  # by zone, free or booting
    kept_cpus: float  # in one zone; 0 if none are kept

    def zone(self) -> str:
        """The zone with most free CPUs, where the headroom is kept."""
        return max(sorted(self.free_cpus), key=lambda zone: self.free_cpus[zone])


class FleetDemand:
    """Decisions on the cluster state and the booting instances."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._cluster = state.cluster
        self._optimise_latency = state.settings.optimise_latency
        self._latency_sensitive = state.settings.latency_sensitive
        self._free_capacity = FreeCapacity(state.cluster.index)

    def demands(self, now: float) -> list[CapacityDemand]:
        """Capacity that is missing for unschedulable tasks, and headroom."""
        demands = [
            self._demand_of(item, count, now)
            for item in self._state.unschedulable()
            if not item.limited and (count := self._tasks_to_rent_for(item, now)) > 0
        ]
        demands += self._service_headroom_demands()
        demands += self._gang_headroom_demands()
        if self._optimise_latency:
            demands += self._latency_headroom_demands()
        return demands

    def _tasks_to_rent_for(self, item: UnschedulableDemand, now: float) -> int:
        spec = item.job.spec
        count = min(item.count, _MOST_TASKS)
        if spec.deadline_s is not None and not spec.is_service and not spec.is_gang:
            count = min(count, self._tasks_needed_at_once(item, now))
        return count

    def _demand_of(self, item: UnschedulableDemand, count: int, now: float) -> CapacityDemand:
        spec = item.job.spec
        return CapacityDemand(
            count,
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.machine_types,
            zone=spec.zone or item.zone,
            spot=spec.spot_allowed,
            max_per_zone=spec.zone_limit if spec.spread_zones else None,
            zones=dict(item.job.zones),
            spot_only=spec.spot_allowed and not self._optimise_latency and self._can_wait_for_spot(item, now),
        )

    def _latency_headroom_demands(self) -> list[CapacityDemand]:
        """Where latency is optimised for, whole machines ahead of the work: in a burst of arrays a boot costs more than
        their run. Booting instances are filled first, by the plan."""
        machine_types = self._cluster.catalog.machine_types.values()
        if not machine_types:
            return []
        used = free = 0.0
        for machine in self._cluster.index.ready:
            used += machine.cpus
            free += machine.capacity_cpus - machine.cpus
        cheapest = min(machine_types, key=lambda each: each.cost(False) / max(each.cpus, SMALLEST_AMOUNT))
        missing = int((constants.LATENCY_HEADROOM * used - free) / max(cheapest.cpus, SMALLEST_AMOUNT))
        if missing <= 0:
            return []
        return [CapacityDemand(missing, cheapest.cpus, 0.0, cheapest.memory_gb, None, None, True, None)]

    def gang_headroom(self) -> GangCapacity:
        """On-demand CPUs that are free or booting, and how many of them are kept free for gangs."""
        kept = 0.0 if self._optimise_latency else self._cluster.gang_headroom_cpus(self._latency_sensitive)
        if not kept:
            return GangCapacity({}, 0.0)
        free = dict.fromkeys(self._cluster.catalog.zones, 0.0) | self._cluster.index.free.ordinary_cpus()
        for instance, machine_type in self._expected_on_demand():
            free[instance.zone] = free.get(instance.zone, 0.0) + machine_type.cpus
        return GangCapacity(free, kept)

    def _expected_on_demand(self) -> Iterator[tuple[BootingInstance, MachineType]]:
        """Booting on-demand instances that are expected to come up in time."""
        for instance in self._state.expected_instances(trio.current_time()):
            machine_type = self._cluster.catalog.machine_types.get(instance.machine_type)
            if machine_type is not None and not instance.spot:
                yield instance, machine_type

    def _gang_headroom_demands(self) -> list[CapacityDemand]:
        capacity = self.gang_headroom()
        if not capacity.kept_cpus:
            return []
        zone = capacity.zone()
        largest = self._cluster.largest_gang
        gangs = [spec for name in self._latency_sensitive if (spec := largest.get(name)) is not None]
        spec = max(gangs, key=lambda gang: (gang.cpus, gang.job_id))
        missing = math.ceil((capacity.kept_cpus - capacity.free_cpus[zone]) / max(spec.cpus, SMALLEST_AMOUNT))
        return [_on_demand(spec, missing, zone)] if missing > 0 else []

    def service_headroom_spec(self) -> JobSpec | None:
        """The largest live service of a class whose tasks should start within seconds: room for one more of
        it is kept ready, since a machine takes far longer to boot."""
        jobs = [
            j.spec
            for j in self._cluster.jobs.values()
            if j.spec.is_service and j.spec.job_class in self._latency_sensitive
        ]
        return max(jobs, key=lambda s: (s.zone_limit * s.cpus, s.job_id), default=None)

    def service_capacity(self, spec: JobSpec) -> dict[str, int]:
        """Tasks of this kind that could start at once, by zone: on free capacity or by preemption."""
        tasks: dict[str, int] = {zone: 0 for zone in self._cluster.catalog.zones if spec.zone in (None, zone)}
        tasks |= {zone: free for zone, free in self._free_capacity.by_zone(spec).items() if free or zone in tasks}
        for instance, machine_type in self._expected_on_demand():
            if spec.machine_types is None or instance.machine_type in spec.machine_types:
                fitting = int(machine_type.cpus // max(spec.cpus, SMALLEST_AMOUNT))
                tasks[instance.zone] = tasks.get(instance.zone, 0) + fitting
        return tasks

    def _service_headroom_demands(self) -> list[CapacityDemand]:
        spec = self.service_headroom_spec()
        if spec is None:
            return []
        return [
            _on_demand(spec, spec.zone_limit - tasks, zone)
            for zone, tasks in sorted(self.service_capacity(spec).items())
            if tasks < spec.zone_limit
        ]

    def _can_wait_for_spot(self, item: UnschedulableDemand, now: float) -> bool:
        """Whether a task started on an instance that is rented later can still meet its deadline."""
        spec = item.job.spec
        if spec.deadline_s is None:
            return False
        return can_wait_for_scale_out(spec, self._cluster.catalog, item.job.submitted + spec.deadline_s - now)

    def _tasks_needed_at_once(self, item: UnschedulableDemand, now: float) -> int:
        """How many more concurrent tasks meet the deadline: capacity beyond that costs without use."""
        job, spec = item.job, item.job.spec
        assert spec.deadline_s is not None
        boot_s, fetch_s = lead_time_s(spec, self._cluster.catalog)
        left_s = (job.submitted + spec.deadline_s - now) * constants.DEADLINE_SHARE - boot_s - fetch_s
        waves = max(1, int(left_s / max(1.0, spec.expected_run_s)))
        tasks = spec.task_count - job.done.count
        return max(0, -(-tasks // waves) - len(job.bound))


def _on_demand(spec: JobSpec, count: int, zone: str) -> CapacityDemand:
    """Headroom for so many tasks, on on-demand machines of the zone."""
    return CapacityDemand(count, spec.cpus, spec.gpus, spec.memory_gb, spec.machine_types, zone, False, None)
