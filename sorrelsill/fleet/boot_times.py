"""How long machines take to come up, as published and as seen lately: when one is late, when it is given up.

A late machine may still come up, so it is kept, but the plan stops counting on it. One that has been booting for
longer than any machine seen lately will most likely never come up, and is paid for until it is deleted."""

from __future__ import annotations

import statistics
from collections import deque

from sorrelsill import constants
from sorrelsill.model import Catalog


class BootTimes:
    """Boot times by machine type. Pure: durations are given."""

    def __init__(self) -> None:
        self._seen: dict[str, deque[float]] = {}

    def note(self, machine_type: str, boot_s: float) -> None:
        """A machine that we rented has reported for the first time, `boot_s` after it was rented."""
        self._seen.setdefault(machine_type, deque(maxlen=constants.BOOTS_KEPT)).append(boot_s)

    def late_after_s(self, machine_type: str, catalog: Catalog) -> float:
        """A machine that takes longer than this is late: the plan no longer counts on it."""
        published = _published_s(machine_type, catalog)
        seen = self._enough(machine_type)
        usual = constants.BOOT_LATE_OF_SEEN * statistics.median(seen) if seen else 0.0
        return max(constants.BOOT_LATE * published, usual) + constants.BOOT_EXTRA_S

    def give_up_after_s(self, machine_type: str, catalog: Catalog) -> float:
        """A machine that takes longer than this is deleted."""
        published = _published_s(machine_type, catalog)
        seen = self._enough(machine_type)
        if not seen:
            return constants.BOOT_GIVE_UP * published + constants.BOOT_EXTRA_S
        longest = constants.BOOT_GIVE_UP_OF_SEEN * max(seen)
        return max(constants.BOOT_GIVE_UP_SEEN * published, longest) + constants.BOOT_EXTRA_S

    def _enough(self, machine_type: str) -> deque[float] | None:
        seen = self._seen.get(machine_type)
        return seen if seen is not None and len(seen) >= constants.BOOTS_ENOUGH else None


def _published_s(machine_type: str, catalog: Catalog) -> float:
    kind = catalog.machine_types.get(machine_type)
    return kind.boot_s if kind is not None else constants.MIN_CHARGE_S
