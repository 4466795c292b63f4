"""The fleet: machine types, rentals and returns."""

from sorrelsill.fleet.boot_times import BootTimes
from sorrelsill.fleet.catalog import Catalog, MachineType, parse_catalog
from sorrelsill.fleet.manager import Cloud, FleetManager
from sorrelsill.fleet.rentals import Need, Offer, Pending, counted_on, given_up, plan

__all__ = [
    "BootTimes",
    "Catalog",
    "Cloud",
    "MachineType",
    "FleetManager",
    "Need",
    "Offer",
    "Pending",
    "counted_on",
    "given_up",
    "parse_catalog",
    "plan",
]
