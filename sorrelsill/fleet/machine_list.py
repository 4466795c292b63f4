"""Reading the cloud's machine list, page by page, between other calls to the cloud.

A large fleet's list takes many pages. Read without pauses, at the cloud's rate limit, it would keep rentals and returns
waiting; read as often as a small one, it would use up the whole rate."""

from __future__ import annotations

import enum
import logging

import msgspec

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.fleet.cloud import Cloud
from sorrelsill.fleet.errors import CloudError

log = logging.getLogger(__name__)


class ListedPhase(enum.StrEnum):
    """Phases of a machine that the fleet acts on; the list may name others."""

    BOOTING = "booting"
    RUNNING = "running"
    FAILED = "failed"


class ListedMachine(msgspec.Struct, frozen=True):
    """What the list says of a machine, under the names of the wire."""

    name: str = msgspec.field(name="uid")
    phase: str = ""
    machine_type: str = msgspec.field(name="flavour", default="")
    zone: str = msgspec.field(name="region", default="")
    spot: bool = msgspec.field(name="reclaimable", default=False)
    age_s: float = msgspec.field(name="ageS", default=0.0)


MachineList = dict[str, ListedMachine]  # by machine


class MachineListReader:
    """One page at a time; a failed reading starts again from the first page."""

    def __init__(self, cloud: Cloud) -> None:
        self._cloud = cloud
        self._found: MachineList | None = None  # by the reading under way
        self._last = ""  # the last machine of the page read last
        self._pages = 0
        self._begun_at = float("-inf")
        self.interval_s = constants.LIST_EVERY_S  # between the beginnings of two readings

    def due(self, now: float) -> bool:
        """Whether the next page should be read."""
        return self._found is not None or now - self._begun_at >= self.interval_s

    async def read_page(self, now: float) -> MachineList | None:
        """Read the next page. The whole list, if that was its last page."""
        if self._found is None:
            self._found, self._last, self._pages = {}, "", 0
            self._begun_at = now
        target = f"/rentals?page={constants.MACHINE_LIST_PAGE_SIZE}" + (f"&from={self._last}" if self._last else "")
        try:
            answer = await self._cloud.call("GET", target)
            machines = msgspec.convert(answer.get("hosts") or [], list[ListedMachine])
        except (CloudError, msgspec.ValidationError) as error:
            log_event(log, logging.INFO, "machine_list_failed", reason=error)
            self._found = None
            return None
        for machine in machines:
            self._found[machine.name] = machine
            self._last = machine.name
        self._pages += 1
        if answer.get("hasNext") and machines:
            return None
        found, self._found = self._found, None
        self.interval_s = max(constants.LIST_EVERY_S, self._pages / (constants.LIST_SHARE * self._cloud.bucket.rate))
        return found
