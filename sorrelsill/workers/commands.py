"""The commands that a machine is due: the difference between what is wanted on it and what its worker has named."""

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
    started: list[Attempt] = field(default_factory=list)  # until the call is answered these may start at any time


def response_commands(cluster: ClusterRecords, machine: Machine, jobs_fresh: bool, now: float) -> list[Command]:
    """The difference between what is wanted on a machine and what its worker has named."""
    due: list[Command] = []
    for attempt in machine.attempts.values():
        if attempt.exited:
            # Only once no older leader can send a start any more: a repeated start after
            # `clear` would run the task again.
            if (
                attempt.clearable
                and machine.token_acknowledged
                and not attempt.unanswered_starts
                and now >= attempt.clear_after
            ):
                due.append(ClearCommand(attempt.task_id, attempt.attempt_number))
        elif attempt.stop_requested:
            if attempt.unanswered_starts and not attempt.confirmed and machine.token_acknowledged:
                # Get it onto the worker first: a late direct start then finds the attempt ended
                # there, and has no effect.
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
    """Whether a machine is due commands that were not sent yet."""
    return any(_is_due_directly(cluster, a, jobs_fresh) for a in machine.attempts.values())


def _is_due_directly(cluster: ClusterRecords, attempt: Attempt, jobs_fresh: bool) -> bool:
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
    """Commands not sent yet, for one direct call; they count as sent from now on."""
    batch = DirectBatch()
    for attempt in machine.attempts.values():
        if not _is_due_directly(cluster, attempt, jobs_fresh):
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


def direct_commands_answered(attempts: list[Attempt]) -> None:
    """A direct call that started these attempts was answered, or certainly never sent."""
    for attempt in attempts:
        attempt.unanswered_starts -= 1
