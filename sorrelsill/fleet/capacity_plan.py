"""Which instances to rent for the capacity demand: first-fit bin packing, then the cheapest offer. Pure: time is given.

Where latency is optimised for and not cost, an on-demand instance is preferred, since a task lost with a spot machine
makes its whole job late."""

from __future__ import annotations

import math
from dataclasses import dataclass

from sorrelsill import constants
from sorrelsill.fleet.instances import BootingInstance, CapacityDemand, InstanceOffer
from sorrelsill.model import Catalog, MachineType

_UNLIMITED = 1e9  # tasks; that fit if they ask for nothing


@dataclass(slots=True)
class _Bin:
    """An instance that is booting or to be rented, and what is left of it."""

    offer: InstanceOffer
    cpus: float
    gpus: float
    memory_gb: float


@dataclass(slots=True)
class _Remainder:
    """Tasks of one demand that are not packed yet, and how many of the job are in each zone."""

    demand: CapacityDemand
    count: int
    zones: dict[str, int]


def plan(
    demands: list[CapacityDemand],
    booting: list[BootingInstance],
    catalog: Catalog,
    refused: dict[InstanceOffer, float],
    now: float,
    in_zone: dict[str, int],
    optimise_latency: bool = False,
) -> dict[InstanceOffer, int]:
    """Instances to rent, by offer. `refused` tells until when an offer is not requested again, `in_zone` how many
    machines each zone has."""
    return _CapacityPlan(catalog, refused, now, in_zone, optimise_latency).pack(demands, booting)


class _CapacityPlan:
    """One run of the planner."""

    def __init__(
        self,
        catalog: Catalog,
        refused: dict[InstanceOffer, float],
        now: float,
        in_zone: dict[str, int],
        optimise_latency: bool,
    ) -> None:
        self._catalog = catalog
        self._refused = refused
        self._now = now
        self._in_zone = in_zone
        self._optimise_latency = optimise_latency
        self._bins: list[_Bin] = []
        self._wanted: dict[InstanceOffer, int] = {}

    def pack(self, demands: list[CapacityDemand], booting: list[BootingInstance]) -> dict[InstanceOffer, int]:
        """Fill what is booting, then add instances until all demands are packed or the plan is long enough."""
        for instance in booting:
            machine_type = self._catalog.machine_types.get(instance.machine_type)
            if machine_type is not None:
                offer = InstanceOffer(instance.machine_type, instance.zone, instance.spot)
                self._bins.append(_empty_bin(offer, machine_type))
        least_cpus = min((demand.cpus for demand in demands), default=0.0)
        for demand in demands:
            # Guards against hundreds of demands that each try hundreds of instances which the first ones have filled.
            self._bins = [each for each in self._bins if each.cpus + constants.AMOUNT_TOLERANCE >= least_cpus]
            remainder = _Remainder(demand, demand.count, dict(demand.zones))
            self._first_fit(remainder)
            if not self._add_instances(remainder):
                break
        return self._wanted

    def _first_fit(self, remainder: _Remainder) -> None:
        for each in self._bins:
            if remainder.count <= 0:
                return
            remainder.count -= _fill(remainder, each)

    def _add_instances(self, remainder: _Remainder) -> bool:
        """False once the plan is long enough."""
        while remainder.count > 0:
            offer = self._best_offer(remainder)
            if offer is None:
                return True
            added = _empty_bin(offer, self._catalog.machine_types[offer.machine_type])
            packed = _fill(remainder, added)
            if packed == 0:
                return True
            remainder.count -= packed
            self._bins.append(added)
            self._wanted[offer] = self._wanted.get(offer, 0) + 1
            if sum(self._wanted.values()) >= 2 * constants.SCALE_OUT_BATCH_MAX:
                return False
        return True

    def _best_offer(self, remainder: _Remainder) -> InstanceOffer | None:
        demand = remainder.demand
        best: tuple[tuple[bool, float, int, str], InstanceOffer] | None = None
        for machine_type in self._catalog.machine_types.values():
            fitting = _task_capacity(demand, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
            if fitting <= 0:
                continue
            for offer in self._open_offers(remainder, machine_type):
                # Whole machines only pay off if they are filled, so a small demand looks for a small machine.
                cost = machine_type.cost(offer.spot) / min(fitting, demand.count)
                key = (
                    self._optimise_latency and offer.spot,
                    round(cost, 6),
                    self._machines_in(offer.zone),
                    offer.zone,
                )
                if best is None or key < best[0]:
                    best = key, offer
        return best[1] if best is not None else None

    def _open_offers(self, remainder: _Remainder, machine_type: MachineType) -> list[InstanceOffer]:
        """Offers of a machine type that the demand may use and that were not refused lately."""
        demand = remainder.demand
        markets = (True,) if demand.spot_only else (True, False)
        offers = (
            InstanceOffer(machine_type.name, zone, spot)
            for zone in machine_type.zones
            if demand.max_per_zone is None or remainder.zones.get(zone, 0) < demand.max_per_zone
            for spot in markets
        )
        return [each for each in offers if _allows(demand, each) and self._refused.get(each, 0.0) <= self._now]

    def _machines_in(self, zone: str) -> int:
        return self._in_zone.get(zone, 0) + sum(count for offer, count in self._wanted.items() if offer.zone == zone)


def _empty_bin(offer: InstanceOffer, machine_type: MachineType) -> _Bin:
    return _Bin(offer, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)


def _allows(demand: CapacityDemand, offer: InstanceOffer) -> bool:
    return (
        (demand.machine_types is None or offer.machine_type in demand.machine_types)
        and (demand.zone is None or demand.zone == offer.zone)
        and (demand.spot or not offer.spot)
    )


def _task_capacity(demand: CapacityDemand, cpus: float, gpus: float, memory_gb: float) -> int:
    fits = [_UNLIMITED]
    for free, asked in ((cpus, demand.cpus), (gpus, demand.gpus), (memory_gb, demand.memory_gb)):
        if asked > 0:
            fits.append((free + constants.AMOUNT_TOLERANCE) / asked)
    return math.floor(min(fits))


def _fill(remainder: _Remainder, target: _Bin) -> int:
    """Pack as many tasks as fit and as the zone may take; returns how many."""
    demand, zone = remainder.demand, target.offer.zone
    if not _allows(demand, target.offer):
        return 0
    count = min(remainder.count, _task_capacity(demand, target.cpus, target.gpus, target.memory_gb))
    if demand.max_per_zone is not None:
        count = min(count, demand.max_per_zone - remainder.zones.get(zone, 0))
    if count <= 0:
        return 0
    target.cpus -= count * demand.cpus
    target.gpus -= count * demand.gpus
    target.memory_gb -= count * demand.memory_gb
    remainder.zones[zone] = remainder.zones.get(zone, 0) + count
    return count
