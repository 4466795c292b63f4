"""The leader's dealings with the cloud: a control loop that compares the wanted fleet with the rented one."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.fleet.catalog import parse_catalog
from sorrelsill.fleet.cloud import Cloud
from sorrelsill.fleet.demand import FleetDemand
from sorrelsill.fleet.errors import FleetError
from sorrelsill.fleet.fleet_state import FleetSettings, FleetState
from sorrelsill.fleet.instances import BootingInstance
from sorrelsill.fleet.machine_list import MachineList, MachineListReader
from sorrelsill.fleet.reconciliation import reconcile
from sorrelsill.fleet.scale_in import ScaleIn
from sorrelsill.fleet.scale_out import ScaleOut
from sorrelsill.fleet.service_mover import ServiceMover
from sorrelsill.fleet.utilisation_log import UtilisationLog
from sorrelsill.model import Catalog

if TYPE_CHECKING:
    from sorrelsill.workers import ClusterState, UnschedulableDemand

log = logging.getLogger(__name__)

_CATALOG_RETRY_S = 8 * constants.RETRY_S  # pause after a catalog that could not be read


def _ignore_catalog(raw: dict[str, Any], catalog: Catalog) -> None:
    """Nobody follows the catalog."""


def _ignore_drain() -> None:
    """Nobody follows drained machines."""


class FleetManager:
    """One per term of a leader."""

    def __init__(
        self,
        cloud: Cloud,
        cluster: ClusterState,
        valid: Callable[[], bool],
        unschedulable: Callable[[], list[UnschedulableDemand]],
        settings: FleetSettings,
        on_catalog: Callable[[dict[str, Any], Catalog], None] = _ignore_catalog,
        on_drain: Callable[[], None] = _ignore_drain,
    ) -> None:
        """`valid` tells whether this controller leads; `on_catalog` is called with each catalog read, `on_drain` once
        services were told to move."""
        self._cloud = cloud
        self._cluster = cluster
        self._valid = valid
        self._on_catalog = on_catalog
        self._catalog_at = float("-inf")
        self.state = FleetState(cluster, settings, unschedulable)
        demand = FleetDemand(self.state)
        self._list = MachineListReader(cloud)
        self._utilisation_log = UtilisationLog(self.state)
        self._service_mover = ServiceMover(self.state, demand, on_drain)
        self.scale_in = ScaleIn(self.state, demand, cloud, valid)
        self.scale_out = ScaleOut(self.state, demand, cloud, valid)

    @property
    def booting(self) -> dict[str, BootingInstance]:
        """Machines that were rented and have not sent a heartbeat yet, by name."""
        return self.state.booting

    async def step(self) -> None:
        """One request of each sort at the most; what is most urgent goes first."""
        now = trio.current_time()
        if not self._cluster.catalog.machine_types or now - self._catalog_at > constants.CATALOG_EVERY_S:
            await self._read_catalog()
            if not self._cluster.catalog.machine_types:
                return
        self.state.record_first_heartbeats(now)
        self.scale_out.expire_refusals(now)
        self._utilisation_log.log_if_due(now)
        self.scale_in.choose_if_due(now)
        if self._list.due(now):
            await self._read_list()
        if not self._valid():
            return
        if self.state.pending_returns:
            await self.scale_in.send()
        if not self._valid():
            return
        if not self.scale_out.open_requests:
            self._service_mover.rebalance(trio.current_time())
        self.scale_out.plan(trio.current_time())
        await self.scale_out.send()

    async def _read_catalog(self) -> None:
        self._catalog_at = trio.current_time()
        try:
            raw = await self._cloud.call("GET", "/catalog")
            catalog = parse_catalog(raw)
        except FleetError as error:
            log_event(log, logging.INFO, "catalog_failed", reason=error)
            self._catalog_at += _CATALOG_RETRY_S - constants.CATALOG_EVERY_S
            return
        self._on_catalog(raw, catalog)

    async def _read_list(self) -> None:
        found = await self._list.read_page(trio.current_time())
        if found is not None and self._valid():
            self.take_list(found, trio.current_time())

    def take_list(self, found: MachineList, now: float) -> None:
        """Reconcile with a whole machine list."""
        reconcile(self.state, found, now, self._list.interval_s)
