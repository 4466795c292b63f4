"""Instances that the cloud offers, that are booting, and that may be waited for. Pure: time is given."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from sorrelsill import constants
from sorrelsill.fleet.boot_times import BootTimes
from sorrelsill.model import Catalog

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec


class InstanceOffer(NamedTuple):
    """What can be rented: a machine type in a zone, as a spot or an on-demand machine."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class BootingInstance:
    """A machine that was rented and has not sent a heartbeat yet."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    since: float
    booted_for: float = 0.0  # s; its age when the machine list last said that it was still booting
    ours: bool = False  # rented by this process, so that `since` is exact


@dataclass(slots=True)
class CapacityDemand:
    """Tasks of one job for which capacity has to be rented."""

    count: int
    cpus: float
    gpus: float
    memory_gb: float
    machine_types: frozenset[str] | None
    zone: str | None
    spot: bool
    max_per_zone: int | None  # most of these tasks that may go to one zone
    zones: dict[str, int] = field(default_factory=dict)  # tasks of the job already running, by zone
    spot_only: bool = False  # time is left to wait for spot machines: no on-demand one is rented for it yet


def lead_time_s(spec: JobSpec, catalog: Catalog) -> tuple[float, float]:
    """Seconds for the quickest boot and the slowest image fetch among the machine types that fit a task."""
    fitting = [t for t in catalog.machine_types.values() if t.fits(spec.cpus, spec.gpus, spec.memory_gb)]
    boot_s = min((t.boot_s for t in fitting), default=0.0)
    return boot_s, max((spec.image_gb / t.fetch_gb_per_s for t in fitting), default=0.0)


def can_wait_for_scale_out(spec: JobSpec, catalog: Catalog, left_s: float) -> bool:
    """Whether a task on a machine that is still to be rented can be done within `left_s` seconds."""
    boot_s, fetch_s = lead_time_s(spec, catalog)
    return left_s > boot_s + fetch_s + spec.expected_run_s * constants.ESTIMATE_SLACK + constants.ON_DEMAND_DELAY_S


def expected_instances(
    booting: list[BootingInstance], boots: BootTimes, catalog: Catalog, now: float
) -> list[BootingInstance]:
    """The booting instances that the plan may count on. Late ones are replaced, the latest first, but only a part of
    them: when all are late, further ones would be late as well and cost as much."""
    late_after_s = {name: boots.late_after_s(name, catalog) for name in {each.machine_type for each in booting}}
    late = [each for each in booting if now - each.since > late_after_s[each.machine_type]]
    late.sort(key=lambda each: each.since)
    replaced = min(len(late), max(constants.LATE_REPLACED_MIN, math.ceil(constants.LATE_REPLACED_SHARE * len(late))))
    left_out = {each.name for each in late[:replaced]}
    return [each for each in booting if each.name not in left_out]


def boot_failed(
    instance: BootingInstance, boots: BootTimes, catalog: Catalog, now: float, leading_since: float
) -> bool:
    """Whether the instance will most likely never come up. `leading_since` guards against a new leader that takes each
    machine without a heartbeat to it for one that never came up: only the machine list reaches further back."""
    limit_s = boots.failed_after_s(instance.machine_type, catalog)
    return max(instance.booted_for, now - max(instance.since, leading_since)) > limit_s
