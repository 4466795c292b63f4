"""Which instances to rent."""

from sorrelsill.fleet.capacity_plan import plan
from sorrelsill.fleet.instances import CapacityDemand, InstanceOffer
from sorrelsill.model import Catalog, MachineType

MACHINE_TYPE = MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a", "b"))
CATALOG = Catalog({"c8": MACHINE_TYPE})


def demand(count: int) -> CapacityDemand:
    return CapacityDemand(count, 2.0, 0.0, 4.0, None, None, True, None)


def test_for_latency_on_demand_machines_are_rented_first() -> None:
    """A task lost with a spot machine makes its whole job late."""
    for optimise_latency in (True, False):
        wanted = plan([demand(16)], [], CATALOG, {}, 0.0, {}, optimise_latency)
        assert sum(wanted.values()) == 4 and {spot for _, _, spot in wanted} == {not optimise_latency}
    refused = {InstanceOffer("c8", zone, False): 9.0 for zone in "ab"}
    assert {spot for _, _, spot in plan([demand(16)], [], CATALOG, refused, 0.0, {}, True)} == {True}
