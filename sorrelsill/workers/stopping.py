"""Stopping tasks: whether they may save first, and the one place where an attempt is marked as having to go. Pure."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sorrelsill.workers import gangs
from sorrelsill.workers.attempt_events import log_attempt

if TYPE_CHECKING:
    from sorrelsill.workers.attempt import Attempt
    from sorrelsill.workers.cluster_state import ClusterState

log = logging.getLogger(__name__)


def stop(cluster: ClusterState, attempt: Attempt, reason: str, immediately: bool) -> None:
    """Stop a task to make room or to drain; it saves first unless its room is needed at once. The tasks of a group
    are stopped together."""
    if attempt.stop_requested or attempt.exited:
        return
    gang = cluster.gangs.get(attempt.job_id)
    if gang is not None and gang.bound.get(attempt.index) is attempt:
        gangs.stop(cluster, gang, reason, immediately)
        return
    stop_one(cluster, attempt, reason, immediately)


def stop_one(cluster: ClusterState, attempt: Attempt, reason: str, immediately: bool, wait_s: float = 0.0) -> None:
    """One task, whatever becomes of the others; `wait_s` is what it may need on top of its saving, in seconds."""
    if attempt.stop_requested or attempt.exited:
        return
    spec = attempt.spec
    if spec is not None and spec.checkpoint_interval_s > 0 and not immediately:
        attempt.grace_period_s = spec.checkpoint_cost_s + 1.0 + wait_s
    request_stop(cluster, attempt, reason)


def request_stop(cluster: ClusterState, attempt: Attempt, reason: str) -> None:
    """The attempt has to go; its machine is told with the next commands. Every way to stop a task ends here."""
    attempt.stop_requested = True
    attempt.stop_reason = reason
    cluster.machines_with_pending_commands[attempt.machine.name] = attempt.machine
    log_attempt(log, "halt", attempt, reason=reason, wind_down_s=attempt.grace_period_s)
