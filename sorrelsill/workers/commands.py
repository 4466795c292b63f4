"""Commands for a machine: the difference between the desired state of its attempts and what its worker has reported."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sorrelsill.workers.messages import ClearCommand, Command, StartCommand, StopCommand, TaskPhase

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_records import ClusterRecords
    from sorrelsill.workers.machine import Attempt, Machine


@dataclass(frozen=True, slots=True)
class DirectBatch:
    """The commands of one direct call."""

    commands: list[Command] = field(default_factory=list)
    # Attempts with a start in this batch; the worker may execute it at any time until the call is answered.
    started: list[Attempt] = field(default_factory=list)


def response_commands(cluster: ClusterRecords, machine: Machine, jobs_fresh: bool, now: float) -> list[Command]:
    """Commands for the response to a heartbeat. Without `jobs_fresh` (a recent view of the jobs) they include no new
    starts."""
    due: list[Command] = []
    for attempt in machine.attempts.values():
        if attempt.exited:
            # Clear only when no start of this attempt can arrive any more, from an earlier leader or
            # a direct call: a start that arrives after the clear would run the task again.
            if (
                attempt.may_be_cleared
                and machine.token_acknowledged
                and not attempt.unanswered_starts
                and now >= attempt.clear_after
            ):
                due.append(ClearCommand(attempt.task_id, attempt.attempt_number))
        elif attempt.stop_requested:
            if attempt.unanswered_starts and not attempt.confirmed and machine.token_acknowledged:
                # Start the attempt before stopping it, so that the worker holds it as exited: a
                # direct start that arrives late then has no effect.
                due.append(StartCommand(attempt.task_id, attempt.attempt_number))
                due.append(StopCommand(attempt.task_id, attempt.attempt_number, 0.0))
            elif attempt.confirmed and (attempt.phase != TaskPhase.CHECKPOINTING or attempt.grace_period_s == 0):
                due.append(StopCommand(attempt.task_id, attempt.attempt_number, attempt.grace_period_s))
        elif (
            jobs_fresh
            and not attempt.confirmed
            and attempt.spec is not None
            and machine.token_acknowledged
            and attempt.job_id in cluster.jobs
        ):
            due.append(StartCommand(attempt.task_id, attempt.attempt_number))
    return due


def has_direct_commands(cluster: ClusterRecords, machine: Machine, jobs_fresh: bool) -> bool:
    """Whether there are commands for the machine to be sent in a direct call."""
    return any(_needs_direct_command(cluster, a, jobs_fresh) for a in machine.attempts.values())


def _needs_direct_command(cluster: ClusterRecords, attempt: Attempt, jobs_fresh: bool) -> bool:
    if attempt.exited:
        return False
    if attempt.stop_requested:
        return attempt.confirmed and not attempt.stop_sent and attempt.phase != TaskPhase.CHECKPOINTING
    return (
        jobs_fresh
        and not attempt.confirmed
        and not attempt.start_sent
        and attempt.spec is not None
        and attempt.job_id in cluster.jobs
    )


def take_direct_commands(cluster: ClusterRecords, machine: Machine, jobs_fresh: bool) -> DirectBatch:
    """Return the commands that were not sent yet, for one direct call, and mark them as sent."""
    batch = DirectBatch()
    for attempt in machine.attempts.values():
        if not _needs_direct_command(cluster, attempt, jobs_fresh):
            continue
        if attempt.stop_requested:
            attempt.stop_sent = True
            batch.commands.append(StopCommand(attempt.task_id, attempt.attempt_number, attempt.grace_period_s))
        else:
            attempt.start_sent = True
            attempt.unanswered_starts += 1
            batch.started.append(attempt)
            batch.commands.append(StartCommand(attempt.task_id, attempt.attempt_number))
    return batch


def mark_starts_answered(attempts: list[Attempt]) -> None:
    """Record that a direct call with starts of these attempts was answered, or was never sent."""
    for attempt in attempts:
        attempt.unanswered_starts -= 1
