"""Reconciles what the leader knows of rented machines with the cloud's machine list."""

from __future__ import annotations

from sorrelsill.fleet.fleet_state import FleetState
from sorrelsill.fleet.instances import BootingInstance
from sorrelsill.fleet.machine_list import ListedMachine, ListedPhase, MachineList

_LIST_LAGS = 3  # the list's lag; a machine that is missing for this long and one reading is not rented any more


def reconcile(state: FleetState, found: MachineList, now: float, list_interval_s: float) -> None:
    """The list lags: it adds unknown machines and tells of failed ones; absence proves little."""
    state.lists_read += 1
    for listed in found.values():
        _take(state, listed, now)
    for name in [name for name in state.listed_running_since if name not in found]:
        del state.listed_running_since[name]
    delay_s = _LIST_LAGS * state.settings.list_lag_s + list_interval_s
    state.returned_at = {name: at for name, at in state.returned_at.items() if now - at < 2 * delay_s}
    for name, instance in list(state.booting.items()):
        if name not in found and now - instance.rented_at > delay_s:
            del state.booting[name]
    for name, machine in list(state.cluster.machines.items()):
        if name not in found and machine.lease_expired and now - machine.last_seen_at > delay_s:
            state.cluster.forget_machine(machine, now)


def _take(state: FleetState, listed: ListedMachine, now: float) -> None:
    """Take in one entry of the list."""
    name = listed.name
    known = name in state.cluster.machines
    if listed.phase == ListedPhase.FAILED:
        state.cluster.remove_machine(name, now, "machine failed")
        state.booting.pop(name, None)
        state.pending_returns[name] = "failed"
        return
    if listed.phase == ListedPhase.RUNNING:
        state.listed_running_since.setdefault(name, now)
    if name in state.returned_at:
        state.returned_at[name] = now
        return  # it was returned; the list will say so later
    if not known and name not in state.booting and name not in state.pending_returns:
        rented_at = now - listed.age_s
        state.booting[name] = BootingInstance(name, listed.machine_type, listed.zone, listed.spot, rented_at)
    if listed.phase == ListedPhase.BOOTING and name in state.booting:
        state.booting[name].last_booting_age_s = listed.age_s
