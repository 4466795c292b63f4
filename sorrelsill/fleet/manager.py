"""The leader's control loop for the fleet: rents machines for the demand and returns those that are not needed."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.fleet.catalog import parse_catalog
from sorrelsill.fleet.cloud_client import CloudClient
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

_CATALOG_RETRY_S = 8 * constants.RETRY_PAUSE_S  # s; pause after the catalog could not be read


def _ignore_catalog(raw: dict[str, Any], catalog: Catalog) -> None:
    """Default for `on_catalog`: does nothing."""


def _ignore_drain() -> None:
    """Default for `on_drain`: does nothing."""


class FleetManager:
    """Manages the fleet during one leader term. Each term has its own manager."""

    def __init__(
        self,
        cloud: CloudClient,
        cluster: ClusterState,
        leadership_valid: Callable[[], bool],
        unschedulable: Callable[[], list[UnschedulableDemand]],
        settings: FleetSettings,
        on_catalog: Callable[[dict[str, Any], Catalog], None] = _ignore_catalog,
        on_drain: Callable[[], None] = _ignore_drain,
    ) -> None:
        """`leadership_valid` tells whether this controller still leads. `on_catalog` is called with each catalog that
        was read, `on_drain` after services were stopped so that they move to other machines."""
        self._cloud = cloud
        self._cluster = cluster
        self._leadership_valid = leadership_valid
        self._on_catalog = on_catalog
        self._catalog_read_at = float("-inf")
        self.state = FleetState(cluster, settings, unschedulable)
        demand = FleetDemand(self.state)
        self._list_reader = MachineListReader(cloud)
        self._utilisation_log = UtilisationLog(self.state)
        self._service_mover = ServiceMover(self.state, demand, on_drain)
        self.scale_in = ScaleIn(self.state, demand, cloud, leadership_valid)
        self.scale_out = ScaleOut(self.state, demand, cloud, leadership_valid)

    @property
    def booting(self) -> dict[str, BootingInstance]:
        """Rented machines that have not sent their first heartbeat yet, by name."""
        return self.state.booting

    async def step(self) -> None:
        """One iteration of the control loop. Sends at most one request of each kind, the most urgent first."""
        now = trio.current_time()
        if not self._cluster.catalog.machine_types or now - self._catalog_read_at > constants.CATALOG_EVERY_S:
            await self._read_catalog()
            if not self._cluster.catalog.machine_types:
                return
        self.state.record_first_heartbeats(now)
        self.scale_out.expire_refusals(now)
        self._utilisation_log.log_if_due(now)
        self.scale_in.choose_if_due(now)
        if self._list_reader.due(now):
            await self._read_list()
        if not self._leadership_valid():
            return
        if self.state.pending_returns:
            await self.scale_in.send()
        if not self._leadership_valid():
            return
        if not self.scale_out.open_requests:
            self._service_mover.rebalance(trio.current_time())
        self.scale_out.plan(trio.current_time())
        await self.scale_out.send()

    async def _read_catalog(self) -> None:
        self._catalog_read_at = trio.current_time()
        try:
            raw = await self._cloud.call("GET", "/catalog")
            catalog = parse_catalog(raw)
        except FleetError as error:
            log_event(log, logging.INFO, "catalog_failed", reason=error)
            self._catalog_read_at += _CATALOG_RETRY_S - constants.CATALOG_EVERY_S
            return
        self._on_catalog(raw, catalog)

    async def _read_list(self) -> None:
        machine_list = await self._list_reader.read_page(trio.current_time())
        if machine_list is not None and self._leadership_valid():
            self.apply_machine_list(machine_list, trio.current_time())

    def apply_machine_list(self, machine_list: MachineList, now: float) -> None:
        """Reconcile the state with a complete machine list."""
        reconcile(self.state, machine_list, now, self._list_reader.interval_s)
