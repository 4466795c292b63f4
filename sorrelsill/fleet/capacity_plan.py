"""What to rent and what to return: pure decisions, given the cluster state, the demand and the time."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.fleet.boot_times import BootTimes
from sorrelsill.model import Catalog

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec

InstanceOffer = tuple[str, str, bool]  # machine type, zone, spot


@dataclass(slots=True)
class BootingInstance:
    """A machine that was rented and has not reported yet."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    since: float
    booted_for: float = 0.0  # its age when the machine list last said that it was still booting
    ours: bool = False  # rented by this process, so that `since` is exact


@dataclass(slots=True)
class CapacityDemand:
    """Tasks of one job for which room has to be rented."""

    count: int
    cpus: float
    gpus: float
    memory_gb: float
    machine_types: frozenset[str] | None
    zone: str | None
    spot: bool
    max_per_zone: int | None  # most tasks of these that may go to one zone
    zones: dict[str, int] = field(default_factory=dict)
    spot_only: bool = False  # time is left to wait for spot machines: no ordinary one is rented for it yet


@dataclass(slots=True)
class _Bin:
    offer: InstanceOffer
    cpus: float
    gpus: float
    memory_gb: float


def plan(
    demands: list[CapacityDemand],
    booting: list[BootingInstance],
    catalog: Catalog,
    refused: dict[InstanceOffer, float],
    now: float,
    in_zone: dict[str, int],
    optimise_latency: bool = False,
) -> dict[InstanceOffer, int]:
    """Machines to rent: first-fit into what is already on its way, then the cheapest offer per task; where time
    counts and not money, an ordinary one first, since a task lost with a spot machine makes its whole job late."""
    bins = []
    for p in booting:
        kind = catalog.machine_types.get(p.machine_type)
        if kind is not None:
            bins.append(_Bin((p.machine_type, p.zone, p.spot), kind.cpus, kind.gpus, kind.memory_gb))
    wanted: dict[InstanceOffer, int] = {}
    least_cpus = min((demand.cpus for demand in demands), default=0.0)
    for demand in demands:
        zones = dict(demand.zones)
        left = demand.count
        # Guards against hundreds of needs that each look at hundreds of machines which the first ones have filled.
        bins = [b for b in bins if b.cpus + constants.AMOUNT_TOLERANCE >= least_cpus]
        for b in bins:
            if left <= 0:
                break
            left -= _fill(demand, b, left, zones)
        while left > 0:
            offer = _best_offer(demand, catalog, refused, now, zones, in_zone, wanted, optimise_latency)
            if offer is None:
                break
            kind = catalog.machine_types[offer[0]]
            b = _Bin(offer, kind.cpus, kind.gpus, kind.memory_gb)
            put = _fill(demand, b, left, zones)
            if put == 0:
                break
            left -= put
            bins.append(b)
            wanted[offer] = wanted.get(offer, 0) + 1
            if sum(wanted.values()) >= 2 * constants.SCALE_OUT_BATCH_MAX:
                return wanted
    return wanted


def lead_time_s(spec: JobSpec, catalog: Catalog) -> tuple[float, float]:
    """Boot and image fetch of the quickest machine type that fits a task."""
    kinds = [t for t in catalog.machine_types.values() if t.fits(spec.cpus, spec.gpus, spec.memory_gb)]
    boot_s = min((t.boot_s for t in kinds), default=0.0)
    return boot_s, max((spec.image_gb / t.fetch_gb_per_s for t in kinds), default=0.0)


def can_wait_for_scale_out(spec: JobSpec, catalog: Catalog, left_s: float) -> bool:
    """Whether a task on a machine that is still to be rented can be done within the time that is left."""
    boot_s, pull_s = lead_time_s(spec, catalog)
    return left_s > boot_s + pull_s + spec.expected_run_s * constants.ESTIMATE_SLACK + constants.ON_DEMAND_DELAY_S


def _allows(demand: CapacityDemand, offer: InstanceOffer) -> bool:
    return (
        (demand.machine_types is None or offer[0] in demand.machine_types)
        and (demand.zone is None or demand.zone == offer[1])
        and (demand.spot or not offer[2])
    )


def _capacity(demand: CapacityDemand, cpus: float, gpus: float, memory_gb: float) -> int:
    fits = [1e9]
    for have, want in ((cpus, demand.cpus), (gpus, demand.gpus), (memory_gb, demand.memory_gb)):
        if want > 0:
            fits.append((have + 1e-6) / want)
    return math.floor(min(fits))


def _fill(demand: CapacityDemand, b: _Bin, left: int, zones: dict[str, int]) -> int:
    if not _allows(demand, b.offer):
        return 0
    count = min(left, _capacity(demand, b.cpus, b.gpus, b.memory_gb))
    if demand.max_per_zone is not None:
        count = min(count, demand.max_per_zone - zones.get(b.offer[1], 0))
    if count <= 0:
        return 0
    b.cpus -= count * demand.cpus
    b.gpus -= count * demand.gpus
    b.memory_gb -= count * demand.memory_gb
    zones[b.offer[1]] = zones.get(b.offer[1], 0) + count
    return count


def _best_offer(
    demand: CapacityDemand,
    catalog: Catalog,
    refused: dict[InstanceOffer, float],
    now: float,
    zones: dict[str, int],
    in_zone: dict[str, int],
    wanted: dict[InstanceOffer, int],
    optimise_latency: bool,
) -> InstanceOffer | None:
    best: tuple[tuple[bool, float, int, str], InstanceOffer] | None = None
    for kind in catalog.machine_types.values():
        most = _capacity(demand, kind.cpus, kind.gpus, kind.memory_gb)
        if most <= 0:
            continue
        for zone in kind.zones:
            if demand.max_per_zone is not None and zones.get(zone, 0) >= demand.max_per_zone:
                continue
            for spot in (True, False):
                offer = (kind.name, zone, spot)
                if demand.spot_only and not spot:
                    continue
                if not _allows(demand, offer) or refused.get(offer, 0.0) > now:
                    continue
                # Whole machines only pay off if they are filled, so a small need looks for a small machine.
                cost = kind.cost(spot) / min(most, demand.count)
                have = in_zone.get(zone, 0) + sum(n for o, n in wanted.items() if o[1] == zone)
                key = (optimise_latency and spot, round(cost, 6), have, zone)
                if best is None or key < best[0]:
                    best = (key, offer)
    return best[1] if best is not None else None


def expected_instances(
    booting: list[BootingInstance], boots: BootTimes, catalog: Catalog, now: float
) -> list[BootingInstance]:
    """The machines on their way that the plan may count on. Late ones are replaced, the latest first, but only a part
    of them: when all are late, further rentals would be late as well and cost as much."""
    late_after_s = {name: boots.late_after_s(name, catalog) for name in {p.machine_type for p in booting}}
    late = [p for p in booting if now - p.since > late_after_s[p.machine_type]]
    late.sort(key=lambda p: p.since)
    replaced = min(len(late), max(constants.LATE_REPLACED_MIN, math.ceil(constants.LATE_REPLACED_SHARE * len(late))))
    left_out = {p.name for p in late[:replaced]}
    return [p for p in booting if p.name not in left_out]


def boot_failed(booting: BootingInstance, boots: BootTimes, catalog: Catalog, now: float, leading_since: float) -> bool:
    """Whether the machine will most likely never come up. `leading_since` guards against a new leader that takes every
    machine that has not reported to it yet for one that never came up: only the list's word reaches further back."""
    limit = boots.failed_after_s(booting.machine_type, catalog)
    return max(booting.booted_for, now - max(booting.since, leading_since)) > limit
