"""Reads the cloud's machine list page by page, between other calls to the cloud.

The list of a large fleet takes many pages. Reading them without a pause would delay rentals and returns, since all
calls share the cloud's rate limit. The more pages the list has, the less often it is read: reading a long list as often
as a short one would use up the whole rate."""

from __future__ import annotations

import enum
import logging

import msgspec

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.fleet.cloud_client import CloudClient
from sorrelsill.fleet.errors import CloudError

log = logging.getLogger(__name__)


class ListedPhase(enum.StrEnum):
    """Phases of a machine that the fleet manager acts on; the list may contain others."""

    BOOTING = "booting"
    RUNNING = "running"
    FAILED = "failed"


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine's entry in the list, with the cloud's names of the fields on the wire."""

    name: str = msgspec.field(name="uid")
    phase: str = ""
    machine_type: str = msgspec.field(name="flavour", default="")
    zone: str = msgspec.field(name="region", default="")
    spot: bool = msgspec.field(name="reclaimable", default=False)
    age_s: float = msgspec.field(name="ageS", default=0.0)


MachineList = dict[str, ListedMachine]  # by machine name


class MachineListReader:
    """Reads one page at a time. After a failed page, reading starts again from the first page."""

    def __init__(self, cloud: CloudClient) -> None:
        self._cloud = cloud
        self._partial_list: MachineList | None = None  # pages of the pass under way; None between passes
        self._last_name = ""  # last machine of the preceding page
        self._pages = 0  # read in this pass
        self._started_at = float("-inf")
        self.interval_s = constants.LIST_EVERY_S  # from the start of one pass to that of the next

    def due(self, now: float) -> bool:
        """Whether the next page should be read now."""
        return self._partial_list is not None or now - self._started_at >= self.interval_s

    async def read_page(self, now: float) -> MachineList | None:
        """Read the next page. Returns the complete list after its last page, otherwise None."""
        if self._partial_list is None:
            self._partial_list, self._last_name, self._pages = {}, "", 0
            self._started_at = now
        target = f"/rentals?page={constants.MACHINE_LIST_PAGE_SIZE}" + (
            f"&from={self._last_name}" if self._last_name else ""
        )
        try:
            answer = await self._cloud.call("GET", target)
            machines = msgspec.convert(answer.get("hosts") or [], list[ListedMachine])
        except (CloudError, msgspec.ValidationError) as error:
            log_event(log, logging.INFO, "machine_list_failed", reason=error)
            self._partial_list = None
            return None
        for machine in machines:
            self._partial_list[machine.name] = machine
            self._last_name = machine.name
        self._pages += 1
        if answer.get("hasNext") and machines:
            return None
        complete_list, self._partial_list = self._partial_list, None
        self.interval_s = max(
            constants.LIST_EVERY_S, self._pages / (constants.LIST_SHARE * self._cloud.rate_limiter.rate)
        )
        return complete_list
