"""The fleet: machine types, rentals and returns."""

from sorrelsill.fleet.catalog import Catalog, Flavour, parse_catalog
from sorrelsill.fleet.manager import Cloud, FleetManager
from sorrelsill.fleet.rentals import Need, Offer, Pending, overdue, plan

__all__ = [
    "Catalog", "Cloud", "Flavour", "FleetManager", "Need", "Offer", "Pending", "overdue", "parse_catalog", "plan",
]  # fmt: skip
