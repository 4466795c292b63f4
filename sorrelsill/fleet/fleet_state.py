"""What one leader's term knows of rented machines besides the cluster state: booting, returned, to be returned."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from sorrelsill.fleet.boot_times import BootTimes
from sorrelsill.fleet.instances import BootingInstance, expected_instances
from sorrelsill.workers import ClusterState, Machine, UnschedulableDemand


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """What the platform's settings ask of the fleet."""

    optimise_latency: bool  # latency and not cost
    list_lag_s: float  # the machine list may be this much out of date
    latency_sensitive: set[str]  # classes whose tasks should start within seconds


@dataclass(slots=True)
class FleetState:
    """Shared by the parts of the fleet manager; times are those of the leader's steady clock."""

    cluster: ClusterState
    settings: FleetSettings
    unschedulable: Callable[[], list[UnschedulableDemand]]
    boots: BootTimes = field(default_factory=BootTimes)
    booting: dict[str, BootingInstance] = field(default_factory=dict)  # by machine
    running_since: dict[str, float] = field(default_factory=dict)  # machine -> since when it is listed as running
    returned: dict[str, float] = field(default_factory=dict)  # machine -> when it was returned, or was still listed
    returns: dict[str, str] = field(default_factory=dict)  # machine to be returned -> reason
    lists_read: int = 0  # whole machine lists in this term

    def expected_instances(self, now: float) -> list[BootingInstance]:
        """The booting instances that are expected to come up in time."""
        return expected_instances(list(self.booting.values()), self.boots, self.cluster.catalog, now)

    def record_arrivals(self, now: float) -> None:
        """Instances that have sent their first heartbeat no longer boot."""
        for name in [name for name in self.booting if name in self.cluster.machines]:
            arrived = self.booting.pop(name)
            if arrived.ours:
                self.boots.record(arrived.machine_type, now - arrived.since)

    def price(self, machine: Machine) -> float:
        """Price of a machine per hour; 0 if its type is not in the catalog."""
        machine_type = self.cluster.catalog.machine_types.get(machine.machine_type)
        return machine_type.cost(machine.spot) if machine_type is not None else 0.0
