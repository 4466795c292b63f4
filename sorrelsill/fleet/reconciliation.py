"""Reconciles the leader's view of rented machines with the cloud's machine list."""

from __future__ import annotations

from sorrelsill.fleet.fleet_state import FleetState
from sorrelsill.fleet.instances import BootingInstance
from sorrelsill.fleet.machine_list import ListedMachine, ListedPhase, MachineList

_ABSENCE_LAGS = 3  # list lags; a machine that is missing for these plus one list interval is no longer rented


def reconcile(state: FleetState, machine_list: MachineList, now: float, list_interval_s: float) -> None:
    """Apply a complete machine list: add unknown machines and remove failed ones.

    The list lags, so absence alone proves little. A booting instance that is missing is dropped only if it was rented
    long enough ago, another machine only if its lease has expired and its last heartbeat is long enough ago."""
    state.lists_read += 1
    for listed in machine_list.values():
        _apply_entry(state, listed, now)
    for name in [name for name in state.listed_running_since if name not in machine_list]:
        del state.listed_running_since[name]
    absence_limit_s = _ABSENCE_LAGS * state.settings.list_lag_s + list_interval_s
    state.returned_at = {name: at for name, at in state.returned_at.items() if now - at < 2 * absence_limit_s}
    for name, instance in list(state.booting.items()):
        if name not in machine_list and now - instance.rented_at > absence_limit_s:
            del state.booting[name]
    for name, machine in list(state.cluster.machines.items()):
        if name not in machine_list and machine.lease_expired and now - machine.last_seen_at > absence_limit_s:
            state.cluster.forget_machine(machine, now)


def _apply_entry(state: FleetState, listed: ListedMachine, now: float) -> None:
    """Apply one entry of the list."""
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
        return  # already returned; the list still contains it because it lags
    if not known and name not in state.booting and name not in state.pending_returns:
        rented_at = now - listed.age_s
        state.booting[name] = BootingInstance(name, listed.machine_type, listed.zone, listed.spot, rented_at)
    if listed.phase == ListedPhase.BOOTING and name in state.booting:
        state.booting[name].last_booting_age_s = listed.age_s
