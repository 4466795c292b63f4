"""Offers of the cloud, booting instances, and demand for new ones. No I/O; callers pass the current time."""

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
    """A machine type in a zone, offered as a spot or an on-demand instance."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class BootingInstance:
    """A rented machine that has not sent its first heartbeat yet."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    rented_at: float  # s on the steady clock; if another process rented it, computed from the age in the machine list
    last_booting_age_s: float = 0.0  # s; its age when the machine list last reported it as booting
    rented_by_this_process: bool = False  # if so, `rented_at` is exact


@dataclass(slots=True)
class CapacityDemand:
    """Identical tasks for which capacity has to be rented: of one job, or as headroom."""

    count: int
    cpus: float  # per task, as are GPUs and memory
    gpus: float
    memory_gb: float
    machine_types: frozenset[str] | None  # allowed types; None: all
    zone: str | None  # required zone; None: any
    spot: bool  # whether spot instances are allowed
    max_per_zone: int | None  # limit for the job's tasks in one zone; None: no limit
    zones: dict[str, int] = field(default_factory=dict)  # tasks of the job already running, by zone
    spot_only: bool = False  # there is time to wait for spot capacity, so no on-demand instance is rented yet


def lead_time_s(spec: JobSpec, catalog: Catalog) -> tuple[float, float]:
    """The shortest boot time and the longest image fetch time, in seconds, of the machine types that fit a task."""
    fitting_types = [t for t in catalog.machine_types.values() if t.fits(spec.cpus, spec.gpus, spec.memory_gb)]
    boot_s = min((t.boot_s for t in fitting_types), default=0.0)
    return boot_s, max((spec.image_gb / t.fetch_gb_per_s for t in fitting_types), default=0.0)


def can_wait_for_scale_out(spec: JobSpec, catalog: Catalog, time_left_s: float) -> bool:
    """Whether a task can finish within `time_left_s` seconds on a machine that has yet to be rented."""
    boot_s, fetch_s = lead_time_s(spec, catalog)
    return time_left_s > boot_s + fetch_s + spec.expected_run_s * constants.ESTIMATE_SLACK + constants.ON_DEMAND_DELAY_S


def expected_instances(
    booting: list[BootingInstance], boot_times: BootTimes, catalog: Catalog, now: float
) -> list[BootingInstance]:
    """The booting instances that the capacity plan may count on. Some of the late ones, those rented first, are left
    out so that the plan rents replacements. Not all late ones are, since when all are late, the replacements would be
    late as well and cost as much."""
    late_after_s = {name: boot_times.late_after_s(name, catalog) for name in {each.machine_type for each in booting}}
    late = [each for each in booting if now - each.rented_at > late_after_s[each.machine_type]]
    late.sort(key=lambda each: each.rented_at)
    replaced = min(len(late), max(constants.LATE_REPLACED_MIN, math.ceil(constants.LATE_REPLACED_SHARE * len(late))))
    excluded = {each.name for each in late[:replaced]}
    return [each for each in booting if each.name not in excluded]


def boot_failed(
    instance: BootingInstance, boot_times: BootTimes, catalog: Catalog, now: float, term_began_at: float
) -> bool:
    """Whether the instance will most likely never come up. Time before `term_began_at` counts only if the machine list
    reported the instance as booting: a new leader has received no heartbeats yet, and must not take every machine for
    one that failed to boot."""
    limit_s = boot_times.failed_after_s(instance.machine_type, catalog)
    return max(instance.last_booting_age_s, now - max(instance.rented_at, term_began_at)) > limit_s
