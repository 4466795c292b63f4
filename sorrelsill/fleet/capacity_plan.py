"""The capacity plan: which instances to rent for the demand. Tasks are packed first-fit onto the instances that are
booting or planned; for those that do not fit, instances of the cheapest offer are added.

When optimising for latency instead of cost, on-demand instances are preferred, since a task lost with a spot machine
makes its whole job late. No I/O; callers pass the current time."""

from __future__ import annotations

import math
from dataclasses import dataclass

from sorrelsill import constants
from sorrelsill.fleet.instances import BootingInstance, CapacityDemand, InstanceOffer
from sorrelsill.model import Catalog, MachineType

_NO_LIMIT = 1e9  # tasks; capacity for tasks that request no resources


@dataclass(slots=True)
class _Bin:
    """An instance that is booting or to be rented, and its remaining capacity."""

    offer: InstanceOffer
    cpus: float
    gpus: float
    memory_gb: float


@dataclass(slots=True)
class _Remainder:
    """The tasks of a demand that are not packed yet, and the number of the job's tasks in each zone."""

    demand: CapacityDemand
    count: int
    zones: dict[str, int]


def plan_capacity(
    demands: list[CapacityDemand],
    booting: list[BootingInstance],
    catalog: Catalog,
    refused_until: dict[InstanceOffer, float],
    now: float,
    machines_by_zone: dict[str, int],
    optimise_latency: bool = False,
) -> dict[InstanceOffer, int]:
    """The number of instances to rent, by offer.

    An offer in `refused_until` is not requested again before that time. `machines_by_zone` is the number of machines in
    each zone, rented ones that are still booting included; offers at the same cost go to the zone with fewer."""
    return _CapacityPlan(catalog, refused_until, now, machines_by_zone, optimise_latency).pack(demands, booting)


class _CapacityPlan:
    """State of one planning run."""

    def __init__(
        self,
        catalog: Catalog,
        refused_until: dict[InstanceOffer, float],
        now: float,
        machines_by_zone: dict[str, int],
        optimise_latency: bool,
    ) -> None:
        self._catalog = catalog
        self._refused_until = refused_until
        self._now = now
        self._machines_by_zone = machines_by_zone
        self._optimise_latency = optimise_latency
        self._bins: list[_Bin] = []
        self._to_rent: dict[InstanceOffer, int] = {}

    def pack(self, demands: list[CapacityDemand], booting: list[BootingInstance]) -> dict[InstanceOffer, int]:
        """Pack tasks onto booting instances, then add instances until all are packed or the plan reaches its limit."""
        for instance in booting:
            machine_type = self._catalog.machine_types.get(instance.machine_type)
            if machine_type is not None:
                offer = InstanceOffer(instance.machine_type, instance.zone, instance.spot)
                self._bins.append(_empty_bin(offer, machine_type))
        min_cpus = min((demand.cpus for demand in demands), default=0.0)
        for demand in demands:
            # Drop full instances: otherwise hundreds of demands would each try hundreds of instances that are full.
            self._bins = [each for each in self._bins if each.cpus + constants.AMOUNT_TOLERANCE >= min_cpus]
            remainder = _Remainder(demand, demand.count, dict(demand.zones))
            self._first_fit(remainder)
            if not self._add_instances(remainder):
                break
        return self._to_rent

    def _first_fit(self, remainder: _Remainder) -> None:
        for each in self._bins:
            if remainder.count <= 0:
                return
            remainder.count -= _pack_into(remainder, each)

    def _add_instances(self, remainder: _Remainder) -> bool:
        """Add instances for the remaining tasks. False once the plan has reached its size limit."""
        while remainder.count > 0:
            offer = self._best_offer(remainder)
            if offer is None:
                return True
            new_bin = _empty_bin(offer, self._catalog.machine_types[offer.machine_type])
            packed = _pack_into(remainder, new_bin)
            if packed == 0:
                return True
            remainder.count -= packed
            self._bins.append(new_bin)
            self._to_rent[offer] = self._to_rent.get(offer, 0) + 1
            if sum(self._to_rent.values()) >= 2 * constants.SCALE_OUT_BATCH_MAX:
                return False
        return True

    def _best_offer(self, remainder: _Remainder) -> InstanceOffer | None:
        """The offer with the lowest cost per task. At the same cost, the zone with the fewest machines comes first."""
        demand = remainder.demand
        best: tuple[tuple[bool, float, int, str], InstanceOffer] | None = None
        for machine_type in self._catalog.machine_types.values():
            tasks_per_machine = _tasks_that_fit(demand, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
            if tasks_per_machine <= 0:
                continue
            for offer in self._available_offers(remainder, machine_type):
                # Cost per task that would run there. A partly filled machine costs more per task, so that a small
                # demand gets a small machine.
                cost = machine_type.cost(offer.spot) / min(tasks_per_machine, demand.count)
                key = (
                    self._optimise_latency and offer.spot,
                    round(cost, 6),
                    self._machines_in_zone(offer.zone),
                    offer.zone,
                )
                if best is None or key < best[0]:
                    best = key, offer
        return best[1] if best is not None else None

    def _available_offers(self, remainder: _Remainder, machine_type: MachineType) -> list[InstanceOffer]:
        """Offers of the machine type that the demand may use, without those that were refused recently."""
        demand = remainder.demand
        markets = (True,) if demand.spot_only else (True, False)
        offers = (
            InstanceOffer(machine_type.name, zone, spot)
            for zone in machine_type.zones
            if demand.max_per_zone is None or remainder.zones.get(zone, 0) < demand.max_per_zone
            for spot in markets
        )
        return [each for each in offers if _allows(demand, each) and self._refused_until.get(each, 0.0) <= self._now]

    def _machines_in_zone(self, zone: str) -> int:
        return self._machines_by_zone.get(zone, 0) + sum(n for offer, n in self._to_rent.items() if offer.zone == zone)


def _empty_bin(offer: InstanceOffer, machine_type: MachineType) -> _Bin:
    return _Bin(offer, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)


def _allows(demand: CapacityDemand, offer: InstanceOffer) -> bool:
    return (
        (demand.machine_types is None or offer.machine_type in demand.machine_types)
        and (demand.zone is None or demand.zone == offer.zone)
        and (demand.spot or not offer.spot)
    )


def _tasks_that_fit(demand: CapacityDemand, cpus: float, gpus: float, memory_gb: float) -> int:
    """Number of the demand's tasks that fit into the given resources."""
    limits = [_NO_LIMIT]
    for free, per_task in ((cpus, demand.cpus), (gpus, demand.gpus), (memory_gb, demand.memory_gb)):
        if per_task > 0:
            limits.append((free + constants.AMOUNT_TOLERANCE) / per_task)
    return math.floor(min(limits))


def _pack_into(remainder: _Remainder, target: _Bin) -> int:
    """Pack as many tasks as fit and as the zone's limit allows. Returns their number."""
    demand, zone = remainder.demand, target.offer.zone
    if not _allows(demand, target.offer):
        return 0
    count = min(remainder.count, _tasks_that_fit(demand, target.cpus, target.gpus, target.memory_gb))
    if demand.max_per_zone is not None:
        count = min(count, demand.max_per_zone - remainder.zones.get(zone, 0))
    if count <= 0:
        return 0
    target.cpus -= count * demand.cpus
    target.gpus -= count * demand.gpus
    target.memory_gb -= count * demand.memory_gb
    remainder.zones[zone] = remainder.zones.get(zone, 0) + count
    return count
