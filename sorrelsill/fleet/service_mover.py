"""Drains machines whose services fit on others, so that they can be returned."""

from __future__ import annotations

import logging
from collections.abc import Callable

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.fleet.demand import FleetDemand
from sorrelsill.fleet.fleet_state import FleetState
from sorrelsill.fleet.rebalancing import machines_to_drain
from sorrelsill.workers import Machine

log = logging.getLogger(__name__)


class ServiceMover:
    """Rebalances services when optimising for cost, while few machines are booting and no task is unschedulable."""

    def __init__(self, state: FleetState, demand: FleetDemand, on_drain: Callable[[], None]) -> None:
        self._state = state
        self._demand = demand
        self._on_drain = on_drain
        self._last_drain_at = float("-inf")

    def rebalance(self, now: float) -> None:
        """Drain up to `REBALANCE_DRAIN_SHARE` of the machines, or one, if an interval has passed and no machine is
        draining.

        Draining one machine at a time was too slow for hundreds of machines. So was waiting until no machine is
        booting, since in a large fleet some always are."""
        cluster = self._state.cluster
        if self._state.settings.optimise_latency or now - self._last_drain_at < constants.REBALANCE_INTERVAL_S:
            return
        max_drained = int(constants.REBALANCE_DRAIN_SHARE * len(cluster.index.usable))
        if len(self._state.booting) > max_drained or cluster.failover.unconfirmed:
            return
        if any(item.count for item in self._state.unschedulable()):
            return
        if any(machine.draining for machine in cluster.machines.values()):
            return
        self._last_drain_at = now
        spec = self._demand.service_headroom_spec()
        zones = sorted(self._demand.service_capacity(spec)) if spec is not None else []
        machines = machines_to_drain(
            cluster.index.usable, cluster.jobs, now, self._state.price, spec, zones, max(1, max_drained)
        )
        for machine in machines:
            self._drain(machine)
        if machines:
            self._on_drain()

    def _drain(self, machine: Machine) -> None:
        log_event(log, logging.INFO, "machine_draining", machine=machine.name, reason="its services fit elsewhere")
        machine.draining = True
        for attempt in list(machine.attempts.values()):
            self._state.cluster.stop(attempt, "moved to a fuller machine", immediately=True)
