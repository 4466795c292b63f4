"""Capacity demand on the fleet: for unschedulable tasks, and for headroom where objectives leave no time to boot."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from sorrelsill import constants
from sorrelsill.fleet.fleet_state import FleetState
from sorrelsill.fleet.free_capacity import MIN_TASK_AMOUNT, FreeCapacity
from sorrelsill.fleet.instances import BootingInstance, CapacityDemand, can_wait_for_scale_out, lead_time_s

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec, MachineType
    from sorrelsill.workers import UnschedulableDemand


_MAX_PLANNED_TASKS = 40 * constants.SCALE_OUT_BATCH_MAX  # tasks; of one job, in one capacity plan


@dataclass(slots=True)
class GangCapacity:
    """On-demand capacity for latency-sensitive gangs."""

    free_cpus: dict[str, float]  # by zone; on running and booting machines
    headroom_cpus: float  # to be kept free in one zone; 0 if no headroom is kept

    def zone(self) -> str:
        """The zone where the headroom is kept: the one with the most free CPUs."""
        return max(sorted(self.free_cpus), key=lambda zone: self.free_cpus[zone])


class FleetDemand:
    """Computes the capacity demand from the cluster state and the booting instances."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._cluster = state.cluster
        self._optimise_latency = state.settings.optimise_latency
        self._latency_sensitive = state.settings.latency_sensitive
        self._free_capacity = FreeCapacity(state.cluster.index)

    def demands(self, now: float) -> list[CapacityDemand]:
        """Missing capacity for unschedulable tasks and for headroom. Tasks held back by a team's limit don't count."""
        demands = [
            self._demand_for(item, count, now)
            for item in self._state.unschedulable()
            if not item.quota_limited and (count := self._tasks_to_plan_for(item, now)) > 0
        ]
        demands += self._service_headroom_demands()
        demands += self._gang_headroom_demands()
        if self._optimise_latency:
            demands += self._latency_headroom_demands()
        return demands

    def _tasks_to_plan_for(self, item: UnschedulableDemand, now: float) -> int:
        spec = item.job.spec
        count = min(item.count, _MAX_PLANNED_TASKS)
        if spec.deadline_s is not None and not spec.is_service and not spec.is_gang:
            count = min(count, self._missing_concurrent_tasks(item, now))
        return count

    def _demand_for(self, item: UnschedulableDemand, count: int, now: float) -> CapacityDemand:
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
        """Whole machines to keep free when optimising for latency, rented before there is work for them: in a burst of
        array jobs, a boot takes longer than the tasks run. The plan packs this demand onto booting instances first."""
        machine_types = self._cluster.catalog.machine_types.values()
        if not machine_types:
            return []
        bound_cpus = free_cpus = 0.0
        for machine in self._cluster.index.usable:
            bound_cpus += machine.cpus
            free_cpus += machine.capacity_cpus - machine.cpus
        cheapest = min(machine_types, key=lambda each: each.cost(False) / max(each.cpus, MIN_TASK_AMOUNT))
        missing = int((constants.LATENCY_HEADROOM * bound_cpus - free_cpus) / max(cheapest.cpus, MIN_TASK_AMOUNT))
        if missing <= 0:
            return []
        return [CapacityDemand(missing, cheapest.cpus, 0.0, cheapest.memory_gb, None, None, True, None)]

    def gang_capacity(self) -> GangCapacity:
        """On-demand CPUs that are free or booting, and how many of them to keep free for gangs."""
        headroom_cpus = 0.0 if self._optimise_latency else self._cluster.gang_headroom_cpus(self._latency_sensitive)
        if not headroom_cpus:
            return GangCapacity({}, 0.0)
        free = dict.fromkeys(self._cluster.catalog.zones, 0.0) | self._cluster.index.free.on_demand_cpus()
        for instance, machine_type in self._expected_on_demand():
            free[instance.zone] = free.get(instance.zone, 0.0) + machine_type.cpus
        return GangCapacity(free, headroom_cpus)

    def _expected_on_demand(self) -> Iterator[tuple[BootingInstance, MachineType]]:
        """Booting on-demand instances that the plan may count on, with their machine types."""
        for instance in self._state.expected_instances(trio.current_time()):
            machine_type = self._cluster.catalog.machine_types.get(instance.machine_type)
            if machine_type is not None and not instance.spot:
                yield instance, machine_type

    def _gang_headroom_demands(self) -> list[CapacityDemand]:
        capacity = self.gang_capacity()
        if not capacity.headroom_cpus:
            return []
        zone = capacity.zone()
        largest = self._cluster.largest_gangs
        gangs = [spec for name in self._latency_sensitive if (spec := largest.get(name)) is not None]
        spec = max(gangs, key=lambda gang: (gang.cpus, gang.job_id))
        missing = math.ceil((capacity.headroom_cpus - capacity.free_cpus[zone]) / max(spec.cpus, MIN_TASK_AMOUNT))
        return [_headroom_demand(spec, missing, zone)] if missing > 0 else []

    def service_headroom_spec(self) -> JobSpec | None:
        """The largest live service of a latency-sensitive class. Headroom is kept for one more service of this size,
        since its tasks should start within seconds and a machine takes far longer to boot."""
        jobs = [
            job.spec
            for job in self._cluster.jobs.values()
            if job.spec.is_service and job.spec.job_class in self._latency_sensitive
        ]
        return max(jobs, key=lambda each: (each.zone_limit * each.cpus, each.job_id), default=None)

    def service_capacity(self, spec: JobSpec) -> dict[str, int]:
        """Number of tasks of this kind that could start, by zone: on free capacity, by preemption, or on instances that
        are expected to finish booting."""
        tasks: dict[str, int] = {zone: 0 for zone in self._cluster.catalog.zones if spec.zone in (None, zone)}
        tasks |= {zone: free for zone, free in self._free_capacity.by_zone(spec).items() if free or zone in tasks}
        for instance, machine_type in self._expected_on_demand():
            if spec.machine_types is None or instance.machine_type in spec.machine_types:
                tasks_per_machine = int(machine_type.cpus // max(spec.cpus, MIN_TASK_AMOUNT))
                tasks[instance.zone] = tasks.get(instance.zone, 0) + tasks_per_machine
        return tasks

    def _service_headroom_demands(self) -> list[CapacityDemand]:
        spec = self.service_headroom_spec()
        if spec is None:
            return []
        return [
            _headroom_demand(spec, spec.zone_limit - tasks, zone)
            for zone, tasks in sorted(self.service_capacity(spec).items())
            if tasks < spec.zone_limit
        ]

    def _can_wait_for_spot(self, item: UnschedulableDemand, now: float) -> bool:
        """Whether to wait for spot capacity: a task could still meet its deadline on an instance that is rented later.
        False without a deadline."""
        spec = item.job.spec
        if spec.deadline_s is None:
            return False
        return can_wait_for_scale_out(spec, self._cluster.catalog, item.job.submitted + spec.deadline_s - now)

    def _missing_concurrent_tasks(self, item: UnschedulableDemand, now: float) -> int:
        """How many more tasks must run concurrently so that the job meets its deadline. Capacity for more would only
        add cost."""
        job, spec = item.job, item.job.spec
        assert spec.deadline_s is not None
        boot_s, fetch_s = lead_time_s(spec, self._cluster.catalog)
        time_left_s = (job.submitted + spec.deadline_s - now) * constants.DEADLINE_SHARE - boot_s - fetch_s
        # Rounds of tasks that can run one after another before the deadline.
        rounds = max(1, int(time_left_s / max(1.0, spec.expected_run_s)))
        tasks = spec.task_count - job.done.count
        return max(0, -(-tasks // rounds) - len(job.bound))


def _headroom_demand(spec: JobSpec, count: int, zone: str) -> CapacityDemand:
    """Headroom for `count` tasks on on-demand machines of the zone."""
    return CapacityDemand(count, spec.cpus, spec.gpus, spec.memory_gb, spec.machine_types, zone, False, None)
