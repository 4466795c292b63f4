"""When a machine's heartbeat is overdue and when its lease has certainly expired. Pure: time is given.

Each machine has one timer, which is never later than the moment at which continued silence would next change what is
believed of the machine. Most heartbeats only move that moment away and so leave the timer alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.timers import Timers

if TYPE_CHECKING:
    from sorrelsill.workers.failover import FailoverReconciliation
    from sorrelsill.workers.machine import Machine

_NEVER = float("inf")


class LeaseMonitor:
    """The timers of all machines, and the durations by which leases are judged (all in seconds)."""

    def __init__(
        self, term_began_at: float, loss_s: float, validity_s: float, overdue_s: float, failover: FailoverReconciliation
    ) -> None:
        """`loss_s`: after this much silence a lease has expired for certain; `validity_s`: for how long a leader may
        answer after its last renewal; `overdue_s`: after this much silence a heartbeat is overdue."""
        self.loss_s = loss_s
        self.overdue_s = overdue_s
        self.unreachable_after_s = loss_s / 2
        self.renewed_by_others = float("-inf")  # leases may have been renewed by any node up to then
        self._earlier_leader_valid_until = term_began_at + validity_s
        self._failover = failover
        self._timers: Timers[Machine] = Timers()
        self._last_expiry_at = float("-inf")

    def watch(self, machine: Machine) -> None:
        """Set the machine's timer, after anything that may have brought its next check nearer."""
        self._timers.set_if_earlier(machine, self._next_check_at(machine))

    def watch_if_new(self, machine: Machine) -> None:
        """Set the machine's timer if it has none."""
        if machine not in self._timers:
            self.watch(machine)

    def pop_due(self, now: float) -> Machine | None:
        """A machine whose timer has run out; the timer is taken off. None if there is none."""
        return self._timers.pop_due(now)

    def begin_expiry(self, now: float) -> bool:
        """Whether it is time to check the leases again; if so, the interval starts anew."""
        if now - self._last_expiry_at < constants.EXPIRE_EVERY_S:
            return False
        self._last_expiry_at = now
        return True

    def continue_expiry(self) -> None:
        """The check was cut short: it goes on with the next call."""
        self._last_expiry_at = float("-inf")

    def heartbeat_is_overdue(self, machine: Machine, now: float) -> bool:
        """Whether the machine has been silent for longer than it may be and still be given work."""
        return now - machine.last_seen_at > self._overdue_after_s(machine)

    def lease_expires_at(self, machine: Machine) -> float:
        """From when on its lease has expired for certain; infinite if there is none to expire."""
        if machine.lease_expired or machine.lease_renewed_at is None:
            return _NEVER
        renewed_by_others = self.renewed_by_others
        if machine.name in self._failover.unconfirmed:
            renewed_by_others = self.renewed_before_term_until()
        return max(machine.lease_renewed_at, renewed_by_others) + self.loss_s

    def renewed_before_term_until(self) -> float:
        """Until when anyone before us may have renewed leases. An earlier leader's validity ran out before its key
        could go, but an early end of the key would let it answer for the rest of that time, so this is waited out as
        well."""
        return max(self.renewed_by_others, self._earlier_leader_valid_until)

    def _next_check_at(self, machine: Machine) -> float:
        """When continued silence would next change what is believed of the machine."""
        overdue_at = _NEVER if machine.heartbeat_overdue else machine.last_seen_at + self._overdue_after_s(machine)
        return min(overdue_at, self.lease_expires_at(machine))

    def _overdue_after_s(self, machine: Machine) -> float:
        """A machine that answers direct calls and sends no heartbeats has a lease that expires again and again, and
        all work with it. After a failover it has some time to find the way to the new leader."""
        return self.overdue_s if machine.has_sent_heartbeat else max(self.overdue_s, self.unreachable_after_s)
