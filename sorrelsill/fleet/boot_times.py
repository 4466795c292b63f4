"""Boot times of instances, as published and as observed lately: when a boot is late, when it has failed.

A late machine may still come up, so it is kept, but the plan stops counting on it. One that has been booting for
longer than any observed lately will most likely never come up, and is paid for until it is deleted."""

from __future__ import annotations

import statistics
from collections import deque

from sorrelsill import constants
from sorrelsill.model import Catalog


class BootTimes:
    """Boot times by machine type. Pure: durations are given."""

    def __init__(self) -> None:
        self._observed_s: dict[str, deque[float]] = {}

    def record(self, machine_type: str, boot_s: float) -> None:
        """An instance rented by this process has sent its first heartbeat, `boot_s` seconds after it was rented."""
        self._observed_s.setdefault(machine_type, deque(maxlen=constants.BOOT_TIMES_KEPT)).append(boot_s)

    def late_after_s(self, machine_type: str, catalog: Catalog) -> float:
        """An instance that takes longer than so many seconds is late: the plan no longer counts on it."""
        published_s = _published_s(machine_type, catalog)
        observed_s = self._enough_observed(machine_type)
        usual_s = constants.BOOT_LATE_OF_OBSERVED * statistics.median(observed_s) if observed_s else 0.0
        return max(constants.BOOT_LATE * published_s, usual_s) + constants.BOOT_EXTRA_S

    def failed_after_s(self, machine_type: str, catalog: Catalog) -> float:
        """The boot of an instance that takes longer than so many seconds has failed: it is returned."""
        published_s = _published_s(machine_type, catalog)
        observed_s = self._enough_observed(machine_type)
        if not observed_s:
            return constants.BOOT_FAILED * published_s + constants.BOOT_EXTRA_S
        longest_s = constants.BOOT_FAILED_OF_OBSERVED * max(observed_s)
        return max(constants.BOOT_FAILED_OBSERVED * published_s, longest_s) + constants.BOOT_EXTRA_S

    def _enough_observed(self, machine_type: str) -> deque[float] | None:
        observed_s = self._observed_s.get(machine_type)
        return observed_s if observed_s is not None and len(observed_s) >= constants.MIN_BOOT_TIMES else None


def _published_s(machine_type: str, catalog: Catalog) -> float:
    offered = catalog.machine_types.get(machine_type)
    return offered.boot_s if offered is not None else constants.MIN_CHARGE_S
