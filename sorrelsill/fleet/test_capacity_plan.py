"""Which instances the capacity plan rents."""

from sorrelsill.fleet.capacity_plan import plan_capacity
from sorrelsill.fleet.instances import CapacityDemand, InstanceOffer
from sorrelsill.model import Catalog, MachineType

MACHINE_TYPE = MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a", "b"))
CATALOG = Catalog({"c8": MACHINE_TYPE})


def demand(count: int) -> CapacityDemand:
    return CapacityDemand(count, 2.0, 0.0, 4.0, None, None, True, None)


def test_on_demand_is_preferred_when_optimising_for_latency() -> None:
    """A task lost with a spot machine makes its whole job late. Spot is rented while on-demand offers are refused."""
    for optimise_latency in (True, False):
        wanted = plan_capacity([demand(16)], [], CATALOG, {}, 0.0, {}, optimise_latency)
        assert sum(wanted.values()) == 4 and {spot for _, _, spot in wanted} == {not optimise_latency}
    refused_until = {InstanceOffer("c8", zone, False): 9.0 for zone in "ab"}
    assert {spot for _, _, spot in plan_capacity([demand(16)], [], CATALOG, refused_until, 0.0, {}, True)} == {True}
