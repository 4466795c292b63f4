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

Offer = tuple[str, str, bool]  # machine type, zone, spot


@dataclass(slots=True)
class Pending:
    """A machine that was rented and has not reported yet."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    since: float
    booted_for: float = 0.0  # its age when the machine list last said that it was still booting
    ours: bool = False  # rented by this process, so that `since` is exact


@dataclass(slots=True)
class Need:
    """Tasks of one job for which room has to be rented."""

    count: int
    cpus: float
    gpus: float
    memory_gb: float
    machine_types: frozenset[str] | None
    zone: str | None
    spot: bool
    per_zone: int | None  # most tasks of these that may go to one zone
    zones: dict[str, int] = field(default_factory=dict)
    patient: bool = False  # time is left to wait for spot machines: no ordinary one is rented for it yet


@dataclass(slots=True)
class _Bin:
    offer: Offer
    cpus: float
    gpus: float
    memory_gb: float


def plan(
    needs: list[Need],
    pending: list[Pending],
    catalog: Catalog,
    refused: dict[Offer, float],
    now: float,
    in_zone: dict[str, int],
    optimise_latency: bool = False,
) -> dict[Offer, int]:
    """Machines to rent: first-fit into what is already on its way, then the cheapest offer per task; where time
    counts and not money, an ordinary one first, since a task lost with a spot machine makes its whole job late."""
    bins = []
    for p in pending:
        kind = catalog.machine_types.get(p.machine_type)
        if kind is not None:
            bins.append(_Bin((p.machine_type, p.zone, p.spot), kind.cpus, kind.gpus, kind.memory_gb))
    wanted: dict[Offer, int] = {}
    least_cpus = min((need.cpus for need in needs), default=0.0)
    for need in needs:
        zones = dict(need.zones)
        left = need.count
        # Guards against hundreds of needs that each look at hundreds of machines which the first ones have filled.
        bins = [b for b in bins if b.cpus + constants.AMOUNT_TOLERANCE >= least_cpus]
        for b in bins:
            if left <= 0:
                break
            left -= _fill(need, b, left, zones)
        while left > 0:
            offer = _best_offer(need, catalog, refused, now, zones, in_zone, wanted, optimise_latency)
            if offer is None:
                break
            kind = catalog.machine_types[offer[0]]
            b = _Bin(offer, kind.cpus, kind.gpus, kind.memory_gb)
            put = _fill(need, b, left, zones)
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


def time_to_rent(spec: JobSpec, catalog: Catalog, left_s: float) -> bool:
    """Whether a task on a machine that is still to be rented can be done within the time that is left."""
    boot_s, pull_s = lead_time_s(spec, catalog)
    return left_s > boot_s + pull_s + spec.expected_run_s * constants.ESTIMATE_SLACK + constants.ON_DEMAND_DELAY_S


def _allows(need: Need, offer: Offer) -> bool:
    return (
        (need.machine_types is None or offer[0] in need.machine_types)
        and (need.zone is None or need.zone == offer[1])
        and (need.spot or not offer[2])
    )


def _capacity(need: Need, cpus: float, gpus: float, memory_gb: float) -> int:
    fits = [1e9]
    for have, want in ((cpus, need.cpus), (gpus, need.gpus), (memory_gb, need.memory_gb)):
        if want > 0:
            fits.append((have + 1e-6) / want)
    return math.floor(min(fits))


def _fill(need: Need, b: _Bin, left: int, zones: dict[str, int]) -> int:
    if not _allows(need, b.offer):
        return 0
    count = min(left, _capacity(need, b.cpus, b.gpus, b.memory_gb))
    if need.per_zone is not None:
        count = min(count, need.per_zone - zones.get(b.offer[1], 0))
    if count <= 0:
        return 0
    b.cpus -= count * need.cpus
    b.gpus -= count * need.gpus
    b.memory_gb -= count * need.memory_gb
    zones[b.offer[1]] = zones.get(b.offer[1], 0) + count
    return count


def _best_offer(
    need: Need,
    catalog: Catalog,
    refused: dict[Offer, float],
    now: float,
    zones: dict[str, int],
    in_zone: dict[str, int],
    wanted: dict[Offer, int],
    optimise_latency: bool,
) -> Offer | None:
    best: tuple[tuple[bool, float, int, str], Offer] | None = None
    for kind in catalog.machine_types.values():
        most = _capacity(need, kind.cpus, kind.gpus, kind.memory_gb)
        if most <= 0:
            continue
        for zone in kind.zones:
            if need.per_zone is not None and zones.get(zone, 0) >= need.per_zone:
                continue
            for spot in (True, False):
                offer = (kind.name, zone, spot)
                if need.patient and not spot:
                    continue
                if not _allows(need, offer) or refused.get(offer, 0.0) > now:
                    continue
                # Whole machines only pay off if they are filled, so a small need looks for a small machine.
                cost = kind.cost(spot) / min(most, need.count)
                have = in_zone.get(zone, 0) + sum(n for o, n in wanted.items() if o[1] == zone)
                key = (optimise_latency and spot, round(cost, 6), have, zone)
                if best is None or key < best[0]:
                    best = (key, offer)
    return best[1] if best is not None else None


def counted_on(pending: list[Pending], boots: BootTimes, catalog: Catalog, now: float) -> list[Pending]:
    """The machines on their way that the plan may count on. Late ones are replaced, the latest first, but only a part
    of them: when all are late, further rentals would be late as well and cost as much."""
    late_after_s = {name: boots.late_after_s(name, catalog) for name in {p.machine_type for p in pending}}
    late = [p for p in pending if now - p.since > late_after_s[p.machine_type]]
    late.sort(key=lambda p: p.since)
    replaced = min(len(late), max(constants.LATE_REPLACED_MIN, math.ceil(constants.LATE_REPLACED_SHARE * len(late))))
    left_out = {p.name for p in late[:replaced]}
    return [p for p in pending if p.name not in left_out]


def given_up(pending: Pending, boots: BootTimes, catalog: Catalog, now: float, leading_since: float) -> bool:
    """Whether the machine will most likely never come up. `leading_since` guards against a new leader that takes every
    machine that has not reported to it yet for one that never came up: only the list's word reaches further back."""
    limit = boots.give_up_after_s(pending.machine_type, catalog)
    return max(pending.booted_for, now - max(pending.since, leading_since)) > limit
