"""Determines when a machine's heartbeat is overdue and when its lease has certainly expired. No I/O; callers pass the
current time.

Each machine has one timer. It fires no later than the time at which continued silence would next change the machine's
state. Most heartbeats only postpone that time, so they leave the timer as it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill import constants
from sorrelsill.timers import Timers

if TYPE_CHECKING:
    from sorrelsill.workers.failover import FailoverReconciliation
    from sorrelsill.workers.machine import Machine

_NEVER = float("inf")


class LeaseMonitor:
    """The timers of all machines, and the durations that apply to leases (all in seconds)."""

    def __init__(
        self, term_began_at: float, loss_s: float, validity_s: float, overdue_s: float, failover: FailoverReconciliation
    ) -> None:
        """`loss_s`: silence after which a lease has certainly expired; `validity_s`: how long a leader may answer
        heartbeats after it last renewed its own lease; `overdue_s`: silence after which a heartbeat is overdue."""
        self.loss_s = loss_s
        self.overdue_s = overdue_s
        self.unreachable_after_s = loss_s / 2
        self.others_may_renew_until = float("-inf")  # latest possible renewal by another controller
        self._earlier_leader_valid_until = term_began_at + validity_s
        self._failover = failover
        self._timers: Timers[Machine] = Timers()
        self._last_check_at = float("-inf")

    def watch(self, machine: Machine) -> None:
        """Set the machine's timer. Called after any change that may make its next check due earlier."""
        self._timers.set_if_earlier(machine, self._next_check_at(machine))

    def watch_if_new(self, machine: Machine) -> None:
        """Set the machine's timer if it has none."""
        if machine not in self._timers:
            self.watch(machine)

    def pop_due(self, now: float) -> Machine | None:
        """Return a machine whose timer has expired and remove the timer, or return None."""
        return self._timers.pop_due(now)

    def begin_check_if_due(self, now: float) -> bool:
        """Whether the leases are due for a check. If so, the interval until the next check starts now."""
        if now - self._last_check_at < constants.LEASE_CHECK_INTERVAL_S:
            return False
        self._last_check_at = now
        return True

    def make_check_due(self) -> None:
        """Make the next check due at once, because the last one was cut short."""
        self._last_check_at = float("-inf")

    def heartbeat_is_overdue(self, machine: Machine, now: float) -> bool:
        """Whether the machine has been silent for so long that it must not be given new work."""
        return now - machine.last_seen_at > self._overdue_after_s(machine)

    def lease_expires_at(self, machine: Machine) -> float:
        """Time from which the machine's lease has certainly expired; infinite if it has no lease."""
        if machine.lease_expired or machine.lease_renewed_at is None:
            return _NEVER
        others_may_renew_until = self.others_may_renew_until
        if machine.name in self._failover.unconfirmed:
            others_may_renew_until = self.latest_renewal_before_term()
        return max(machine.lease_renewed_at, others_may_renew_until) + self.loss_s

    def latest_renewal_before_term(self) -> float:
        """Latest time at which an earlier leader or another controller may have renewed leases. Normally an earlier
        leader stops answering before its leader key can expire. Should the key end early, that leader could go on
        answering until its validity ends, so this time is waited out as well."""
        return max(self.others_may_renew_until, self._earlier_leader_valid_until)

    def _next_check_at(self, machine: Machine) -> float:
        """Time at which continued silence would next change the machine's state."""
        overdue_at = _NEVER if machine.heartbeat_overdue else machine.last_seen_at + self._overdue_after_s(machine)
        return min(overdue_at, self.lease_expires_at(machine))

    def _overdue_after_s(self, machine: Machine) -> float:
        """Silence in seconds after which the heartbeat is overdue. Only heartbeats end the silence, not answers to
        direct calls: the lease of a machine that answers calls but sends no heartbeats expires repeatedly, and its
        tasks are lost each time. Before its first heartbeat in this term a machine gets more time, since after a
        failover its worker has to find the new leader."""
        return self.overdue_s if machine.has_sent_heartbeat else max(self.overdue_s, self.unreachable_after_s)
