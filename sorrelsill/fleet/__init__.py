"""The fleet: machine types, rentals and returns."""

from sorrelsill.fleet.boot_times import BootTimes
from sorrelsill.fleet.catalog import parse_catalog
from sorrelsill.fleet.cloud import Cloud
from sorrelsill.fleet.manager import FleetManager
from sorrelsill.fleet.rentals import Need, Offer, Pending, counted_on, given_up, lead_time_s, plan, time_to_rent

__all__ = [
    "BootTimes",
    "Cloud",
    "FleetManager",
    "Need",
    "Offer",
    "Pending",
    "counted_on",
    "given_up",
    "lead_time_s",
    "parse_catalog",
    "plan",
    "time_to_rent",
]
