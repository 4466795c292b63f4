"""The fleet: machine types, rentals and returns."""

from sorrelsill.fleet.boot_times import BootTimes
from sorrelsill.fleet.catalog import Catalog, Flavour, parse_catalog
from sorrelsill.fleet.manager import Cloud, FleetManager
from sorrelsill.fleet.rentals import Need, Offer, Pending, counted_on, given_up, plan

__all__ = [
    "BootTimes", "Catalog", "Cloud", "Flavour", "FleetManager", "Need", "Offer", "Pending", "counted_on", "given_up",
    "parse_catalog", "plan",
]  # fmt: skip
