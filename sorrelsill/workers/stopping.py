"""Stops a task, or the whole gang that it belongs to. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill.workers.gangs import stop_gang

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_records import ClusterRecords
    from sorrelsill.workers.machine import Attempt


def stop(cluster: ClusterRecords, attempt: Attempt, reason: str, immediately: bool = False) -> None:
    """Stop a task for preemption, draining or a reclaim. A task whose job has checkpoints saves one first unless
    `immediately` is set. The tasks of a gang are stopped together, as described in `stop_gang`."""
    if attempt.stop_requested or attempt.exited:
        return
    gang = cluster.gangs.get(attempt.job_id)
    if gang is not None and gang.bound.get(attempt.index) is attempt:
        stop_gang(cluster, gang, reason, immediately)
        return
    cluster.stop_attempt(attempt, reason, immediately)
