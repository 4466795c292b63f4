"""The fleet of rented machines: machine catalog, scaling out and in, rebalancing of services."""

from sorrelsill.fleet.boot_times import BootTimes
from sorrelsill.fleet.capacity_plan import plan_capacity
from sorrelsill.fleet.catalog import parse_catalog
from sorrelsill.fleet.cloud_client import CloudClient
from sorrelsill.fleet.errors import CatalogError, CloudError, FleetError
from sorrelsill.fleet.fleet_state import FleetSettings
from sorrelsill.fleet.instances import (
    BootingInstance,
    CapacityDemand,
    InstanceOffer,
    boot_failed,
    can_wait_for_scale_out,
    expected_instances,
    lead_time_s,
)
from sorrelsill.fleet.manager import FleetManager

__all__ = [
    "BootTimes",
    "BootingInstance",
    "CapacityDemand",
    "CatalogError",
    "CloudClient",
    "CloudError",
    "FleetError",
    "FleetManager",
    "FleetSettings",
    "InstanceOffer",
    "boot_failed",
    "can_wait_for_scale_out",
    "expected_instances",
    "lead_time_s",
    "parse_catalog",
    "plan_capacity",
]
