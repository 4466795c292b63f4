"""Time limits after which a boot is late or has failed, from published and recently observed boot times.

A late instance may still come up, so it is kept, but the capacity plan no longer counts on it. An instance that has
been booting for longer than any recent boot took will most likely never come up. It is returned, since it is charged
for as long as it is rented."""

from __future__ import annotations

import statistics
from collections import deque

from sorrelsill import constants
from sorrelsill.model import Catalog


class BootTimes:
    """Recently observed boot times by machine type. No I/O; durations are passed in."""

    def __init__(self) -> None:
        self._observed_s: dict[str, deque[float]] = {}

    def record(self, machine_type: str, boot_s: float) -> None:
        """Record that an instance sent its first heartbeat `boot_s` seconds after this process rented it."""
        self._observed_s.setdefault(machine_type, deque(maxlen=constants.BOOT_TIMES_KEPT)).append(boot_s)

    def late_after_s(self, machine_type: str, catalog: Catalog) -> float:
        """Seconds after which a booting instance is late, so that the capacity plan no longer counts on it."""
        published_s = _published_boot_s(machine_type, catalog)
        observed_s = self._recent_boots(machine_type)
        usual_s = constants.BOOT_LATE_OF_OBSERVED * statistics.median(observed_s) if observed_s else 0.0
        return max(constants.BOOT_LATE * published_s, usual_s) + constants.BOOT_EXTRA_S

    def failed_after_s(self, machine_type: str, catalog: Catalog) -> float:
        """Seconds after which a boot counts as failed, so that the instance is returned."""
        published_s = _published_boot_s(machine_type, catalog)
        observed_s = self._recent_boots(machine_type)
        if not observed_s:
            return constants.BOOT_FAILED * published_s + constants.BOOT_EXTRA_S
        longest_s = constants.BOOT_FAILED_OF_OBSERVED * max(observed_s)
        return max(constants.BOOT_FAILED_OBSERVED * published_s, longest_s) + constants.BOOT_EXTRA_S

    def _recent_boots(self, machine_type: str) -> deque[float] | None:
        """Recent boot times of the machine type, or None if too few were observed to rely on."""
        observed_s = self._observed_s.get(machine_type)
        return observed_s if observed_s is not None and len(observed_s) >= constants.MIN_BOOT_TIMES else None


def _published_boot_s(machine_type: str, catalog: Catalog) -> float:
    listed_type = catalog.machine_types.get(machine_type)
    return listed_type.boot_s if listed_type is not None else constants.MIN_CHARGE_S
