"""State of the fleet manager during one leader term: machines that are booting, returned or to be returned."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from sorrelsill.fleet.boot_times import BootTimes
from sorrelsill.fleet.instances import BootingInstance, expected_instances
from sorrelsill.workers import ClusterState, Machine, UnschedulableDemand


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Platform settings that the fleet manager depends on."""

    optimise_latency: bool  # optimise for latency instead of cost
    list_lag_s: float  # s; how far the machine list may be out of date
    latency_sensitive: set[str]  # job classes whose tasks should start within seconds


@dataclass(slots=True)
class FleetState:
    """Shared by the components of the fleet manager. Times are on the leader's steady clock."""

    cluster: ClusterState
    settings: FleetSettings
    unschedulable: Callable[[], list[UnschedulableDemand]]
    boot_times: BootTimes = field(default_factory=BootTimes)
    booting: dict[str, BootingInstance] = field(default_factory=dict)  # by machine name
    listed_running_since: dict[str, float] = field(default_factory=dict)  # machine -> first listed as running at
    # Machine -> when it was returned, or when the list last contained it after that.
    returned_at: dict[str, float] = field(default_factory=dict)
    pending_returns: dict[str, str] = field(default_factory=dict)  # machine to return -> reason
    lists_read: int = 0  # complete machine lists read in this term

    def expected_instances(self, now: float) -> list[BootingInstance]:
        """The booting instances that the capacity plan may count on."""
        return expected_instances(list(self.booting.values()), self.boot_times, self.cluster.catalog, now)

    def record_first_heartbeats(self, now: float) -> None:
        """Remove instances that have sent their first heartbeat from `booting`, and record their boot times."""
        for name in [name for name in self.booting if name in self.cluster.machines]:
            arrived = self.booting.pop(name)
            if arrived.rented_by_this_process:
                self.boot_times.record(arrived.machine_type, now - arrived.rented_at)

    def price(self, machine: Machine) -> float:
        """Price of the machine per hour; 0 if its type is not in the catalog."""
        machine_type = self.cluster.catalog.machine_types.get(machine.machine_type)
        return machine_type.cost(machine.spot) if machine_type is not None else 0.0
