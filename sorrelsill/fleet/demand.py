"""Capacity demand on the fleet: unschedulable tasks, and headroom where objectives leave no time to boot."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sorrelsill import constants
from sorrelsill.fleet.fleet_state import FleetState
from sorrelsill.fleet.free_capacity import FreeCapacity, tasks_that_could_start
from sorrelsill.fleet.instances import CapacityDemand, can_wait_for_scale_out, lead_time_s

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.workers import Machine, UnschedulableDemand


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
        out = []
        for item in self._state.unschedulable():
            if item.limited:
                continue
            job, spec = item.job, item.job.spec
            count = min(item.count, 40 * constants.SCALE_OUT_BATCH_MAX)
            if spec.deadline_s is not None and not spec.is_service and not spec.is_gang:
                count = min(count, self._tasks_needed_at_once(item, now))
            if count > 0:
                spot_only = spec.spot_allowed and not self._optimise_latency and self._can_wait_for_spot(item, now)
                out.append(
                    CapacityDemand(
                        count,
                        spec.cpus,
                        spec.gpus,
                        spec.memory_gb,
                        spec.machine_types,
                        spec.zone or item.zone,
                        spec.spot_allowed,
                        spec.zone_limit if spec.spread_zones else None,
                        dict(job.zones),
                        spot_only,
                    )
                )
        return (
            out
            + self._service_headroom_demands()
            + self._gang_headroom_demands()
            + (self._latency_headroom_demands() if self._optimise_latency else [])
        )

    def _latency_headroom_demands(self) -> list[CapacityDemand]:
        """Where latency is optimised for, whole machines ahead of the work: in a burst of arrays a boot costs more than
        their run. Booting instances are filled first, by the plan."""
        kinds = list(self._cluster.catalog.machine_types.values())
        if not kinds:
            return []
        used = free = 0.0
        for machine in self._cluster.index.ready:
            used += machine.cpus
            free += machine.capacity_cpus - machine.cpus
        kind = min(kinds, key=lambda f: f.cost(False) / max(f.cpus, 0.1))
        missing = int((constants.HEADROOM * used - free) / max(kind.cpus, 0.1))
        return [CapacityDemand(missing, kind.cpus, 0.0, kind.memory_gb, None, None, True, None)] if missing > 0 else []

    def gang_headroom(self) -> tuple[dict[str, float], float]:
        """CPUs on on-demand machines, free or booting, by zone; and how many are kept free in one zone for gangs."""
        kept = 0.0 if self._optimise_latency else self._cluster.gang_headroom_cpus(self._latency_sensitive)
        if not kept:
            return {}, 0.0
        free = dict.fromkeys(self._cluster.catalog.zones, 0.0) | self._cluster.index.free.ordinary_cpus()
        for p in self._state.expected_instances(trio.current_time()):
            kind = self._cluster.catalog.machine_types.get(p.machine_type)
            if kind is not None and not p.spot:
                free[p.zone] = free.get(p.zone, 0.0) + kind.cpus
        return free, kept

    def _gang_headroom_demands(self) -> list[CapacityDemand]:
        free, kept = self.gang_headroom()
        if not kept:
            return []
        zone = max(sorted(free), key=lambda z: free[z])
        gangs = [s for name in self._latency_sensitive if (s := self._cluster.largest_gang.get(name)) is not None]
        spec = max(gangs, key=lambda s: (s.cpus, s.job_id))
        missing = math.ceil((kept - free[zone]) / max(spec.cpus, 0.1))
        if missing <= 0:
            return []
        return [CapacityDemand(missing, spec.cpus, spec.gpus, spec.memory_gb, spec.machine_types, zone, False, None)]

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
        room: dict[str, int] = {z: 0 for z in self._cluster.catalog.zones if spec.zone in (None, z)}
        room |= {zone: tasks for zone, tasks in self._free_capacity.by_zone(spec).items() if tasks or zone in room}
        for p in self._state.expected_instances(trio.current_time()):
            kind = self._cluster.catalog.machine_types.get(p.machine_type)
            if kind is not None and not p.spot and (spec.machine_types is None or p.machine_type in spec.machine_types):
                room[p.zone] = room.get(p.zone, 0) + int(kind.cpus // max(spec.cpus, 0.1))
        return room

    def _service_headroom_demands(self) -> list[CapacityDemand]:
        spec = self.service_headroom_spec()
        if spec is None:
            return []
        return [
            CapacityDemand(
                spec.zone_limit - have, spec.cpus, spec.gpus, spec.memory_gb, spec.machine_types, zone, False, None
            )
            for zone, have in sorted(self.service_capacity(spec).items())
            if have < spec.zone_limit
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
        boot, pull = lead_time_s(spec, self._cluster.catalog)
        left = (job.submitted + spec.deadline_s - now) * constants.DEADLINE_USE - boot - pull
        waves = max(1, int(left / max(1.0, spec.expected_run_s)))
        tasks = spec.task_count - job.done.count
        return max(0, -(-tasks // waves) - len(job.bound))


class RetainedHeadroom:
    """Headroom that scaling in must leave: for gangs that wait, for one more gang, for one more service."""

    def __init__(self, demand: FleetDemand, unschedulable: list[UnschedulableDemand]) -> None:
        self._demand = demand
        self._spare = demand.service_headroom_spec()
        # A gang that waits needs several machines at once. Guards against each machine rented for it being returned
        # as idle before the next one is up.
        self._awaited = [(u.job.spec, u.zone) for u in unschedulable if u.job.spec.is_gang and not u.limited]
        self._free, self._kept = demand.gang_headroom()
        self._room: dict[str, int] | None = (
            None  # computed only if a machine could be returned, since it walks all of them
        )

    def permits_return(self, machine: Machine) -> bool:
        """Whether an idle machine may be returned; if so it no longer counts."""
        if any(zone in (None, machine.zone) and machine.allows(spec) for spec, zone in self._awaited):
            return False
        if self._kept and not machine.spot:
            fullest = max(sorted(self._free), key=lambda zone: self._free[zone])
            if machine.zone == fullest and self._free[machine.zone] - machine.capacity_cpus < self._kept:
                return False
            self._free[machine.zone] -= machine.capacity_cpus
        return self._leaves_service_headroom(machine)

    def _leaves_service_headroom(self, machine: Machine) -> bool:
        spare = self._spare
        if spare is None or not machine.allows(spare):
            return True
        if self._room is None:
            self._room = self._demand.service_capacity(spare)
        mine = tasks_that_could_start(machine, spare)
        if self._room.get(machine.zone, 0) - mine < spare.zone_limit:
            return False
        self._room[machine.zone] -= mine
        return True
