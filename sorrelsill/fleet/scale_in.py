"""Scaling in: returns machines to the cloud that are idle, drained, failed or never came up."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.fleet.cloud_client import CloudClient
from sorrelsill.fleet.demand import FleetDemand
from sorrelsill.fleet.errors import CloudError
from sorrelsill.fleet.fleet_state import FleetState
from sorrelsill.fleet.instances import BootingInstance, boot_failed
from sorrelsill.fleet.retained_headroom import RetainedHeadroom
from sorrelsill.workers import Machine

log = logging.getLogger(__name__)


class ReturnRequest(msgspec.Struct, frozen=True):
    """Body of a return request. Field names are those of the cloud's wire format."""

    machines: list[str] = msgspec.field(name="hosts")


class ScaleIn:
    """Chooses machines to return and sends the return requests."""

    def __init__(
        self, state: FleetState, demand: FleetDemand, cloud: CloudClient, leadership_valid: Callable[[], bool]
    ) -> None:
        self._state = state
        self._demand = demand
        self._cloud = cloud
        self._leadership_valid = leadership_valid  # whether this controller still leads
        self._last_chosen_at = float("-inf")

    def choose_if_due(self, now: float) -> None:
        """Choose machines to return, at most once per planning interval."""
        if now - self._last_chosen_at >= constants.PLAN_EVERY_S:
            self._last_chosen_at = now
            self.choose_machines(now)

    def choose_machines(self, now: float) -> None:
        """Add machines to return to `pending_returns`, each with its reason."""
        state = self._state
        headroom = RetainedHeadroom(self._demand, state.unschedulable())
        for machine in sorted(state.cluster.index.idle, key=lambda idle: idle.name):
            if machine.name not in state.pending_returns:
                self._choose_idle(machine, headroom, now)
        for name, instance in state.booting.items():
            if name not in state.cluster.failover.unconfirmed:
                self._choose_booting(name, instance, now)

    def _choose_booting(self, name: str, instance: BootingInstance, now: float) -> None:
        state = self._state
        listed_running_since = state.listed_running_since.get(name)
        if boot_failed(instance, state.boot_times, state.cluster.catalog, now, state.cluster.term_began_at):
            state.pending_returns.setdefault(name, "never came up")
        elif listed_running_since is not None and now - listed_running_since > 2 * constants.UNRESPONSIVE_RETURN_S:
            state.pending_returns.setdefault(name, "up but silent")

    def _choose_idle(self, machine: Machine, headroom: RetainedHeadroom, now: float) -> None:
        state = self._state
        if machine.lease_expired:
            if now - machine.last_seen_at > state.cluster.loss_s + constants.UNRESPONSIVE_RETURN_S:
                state.pending_returns[machine.name] = "silent"
            return
        if not _is_returnable(machine):
            return
        if machine.quarantined:
            self._start_return(machine, "quarantined")
        elif machine.draining:
            self._start_return(machine, "drained")
        elif self._idle_for_s(machine, now) > self._idle_limit_s(machine) and headroom.permits_return(machine):
            self._start_return(machine, "idle")

    def _idle_for_s(self, machine: Machine, now: float) -> float:
        return now - max(machine.idle_since, self._state.cluster.term_began_at)

    def _idle_limit_s(self, machine: Machine) -> float:
        """Seconds that a machine may stay idle before it is returned. For a type that is not in the catalog, the
        minimum charge, which is paid in any case, stands in for the boot time."""
        if self._state.settings.optimise_latency:
            return constants.IDLE_RETURN_LATENCY_S
        machine_type = self._state.cluster.catalog.machine_types.get(machine.machine_type)
        return constants.IDLE_OF_BOOT * (machine_type.boot_s if machine_type is not None else constants.MIN_CHARGE_S)

    def _start_return(self, machine: Machine, reason: str) -> None:
        machine.returning = True
        self._state.pending_returns[machine.name] = reason

    async def send(self) -> None:
        """Send a return request for pending returns.

        No task can be bound to these machines: they are checked for bound tasks and marked as returning without an
        await in between."""
        names = self._names_to_return()
        if not names:
            return
        try:
            await self._cloud.return_machines(ReturnRequest(names), self._leadership_valid)
        except CloudError as error:
            log_event(log, logging.INFO, "return_failed", machines=len(names), reason=error)
            return
        now = trio.current_time()
        for name in names:
            self._record_return(name, now)

    def _names_to_return(self) -> list[str]:
        """Machines for the next request, at most as many as one request may name. Drops those that run tasks again."""
        state = self._state
        names = []
        for name in list(state.pending_returns):
            machine = state.cluster.machines.get(name)
            if machine is not None and (machine.bound_count or machine.unknown_tasks):
                # The machine has resumed its heartbeats and runs tasks, so it is kept.
                machine.returning = False
                del state.pending_returns[name]
                continue
            if machine is not None:
                machine.returning = True
            names.append(name)
        return names[: constants.SCALE_IN_BATCH_MAX]

    def _record_return(self, name: str, now: float) -> None:
        state = self._state
        log_event(log, logging.INFO, "machine_returned", machine=name, reason=state.pending_returns.get(name))
        state.pending_returns.pop(name, None)
        state.booting.pop(name, None)
        state.returned_at[name] = now
        state.cluster.remove_machine(name, now, "machine returned")


def _is_returnable(machine: Machine) -> bool:
    """Whether the machine runs no known or unknown task, and no task result on it is still to be recorded.

    False for a spot machine that the cloud is going to reclaim anyway, and for a machine that has not acknowledged this
    term's fencing token."""
    if (
        machine.bound_count
        or machine.unknown_tasks
        or machine.spot_reclaim_at is not None
        or not machine.token_acknowledged
    ):
        return False
    return all(attempt.may_be_cleared for attempt in machine.attempts.values())
