"""Commands for a machine: the difference between the desired state of its attempts and what its worker has reported.

Starts are sent only in responses to heartbeats, which no worker executes late or twice. A direct call may be executed
minutes late, also by a restarted worker that accepts any command, so it carries only commands that do no harm then:
stops, and a wake-up. The wake-up makes the worker send a heartbeat, so that a start need not wait for the next one."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sorrelsill.workers.messages import (
    ClearCommand,
    Command,
    StartCommand,
    StopCommand,
    TaskPhase,
    wake_up_command,
)

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_records import ClusterRecords
    from sorrelsill.workers.machine import Attempt, Machine


@dataclass(frozen=True, slots=True)
class DirectBatch:
    """The commands of one direct call."""

    commands: list[Command] = field(default_factory=list)
    wakes_up: bool = False  # includes a wake-up


def response_commands(cluster: ClusterRecords, machine: Machine, jobs_fresh: bool) -> list[Command]:
    """Commands for the response to a heartbeat. Without `jobs_fresh` (a recent view of the jobs) they include no new
    starts."""
    due: list[Command] = []
    for attempt in machine.attempts.values():
        if attempt.exited:
            # Without the acknowledgement, a direct start of a leader of the previous version may still arrive. After
            # the clear it would run the task again.
            if attempt.may_be_cleared and machine.token_acknowledged:
                due.append(ClearCommand(attempt.task_id, attempt.attempt_number))
        elif attempt.stop_requested:
            if attempt.confirmed and (attempt.phase != TaskPhase.CHECKPOINTING or attempt.grace_period_s == 0):
                due.append(StopCommand(attempt.task_id, attempt.attempt_number, attempt.grace_period_s))
        elif not attempt.confirmed and jobs_fresh and machine.token_acknowledged and _awaits_start(cluster, attempt):
            attempt.start_sent = True
            due.append(StartCommand(attempt.task_id, attempt.attempt_number))
    return due


def _awaits_start(cluster: ClusterRecords, attempt: Attempt) -> bool:
    """Whether an attempt that its worker has not reported yet is to be started."""
    return not attempt.stop_requested and attempt.spec is not None and attempt.job_id in cluster.jobs


def has_direct_commands(cluster: ClusterRecords, machine: Machine, jobs_fresh: bool) -> bool:
    """Whether there are commands for the machine to be sent in a direct call."""
    return any(_needs_direct_stop(a) for a in machine.attempts.values()) or (
        jobs_fresh and _needs_wake_up(cluster, machine)
    )


def _needs_direct_stop(attempt: Attempt) -> bool:
    """Whether a stop was not sent yet of a task that may run. If it arrives before the start, it has no effect, and the
    response to the heartbeat that reports the task repeats it."""
    return (
        attempt.stop_requested
        and (attempt.confirmed or attempt.start_sent)
        and not attempt.exited
        and not attempt.stop_sent
        and attempt.phase != TaskPhase.CHECKPOINTING
    )


def _needs_wake_up(cluster: ClusterRecords, machine: Machine) -> bool:
    """Whether a start waits for the machine's next heartbeat, and no wake-up was sent since the last one."""
    if machine.wake_up_sent:
        return False
    return any(not a.confirmed and not a.start_sent and _awaits_start(cluster, a) for a in machine.attempts.values())


def take_direct_commands(cluster: ClusterRecords, machine: Machine, jobs_fresh: bool) -> DirectBatch:
    """Return the commands that were not sent yet, for one direct call, and mark them as sent."""
    commands: list[Command] = []
    for attempt in machine.attempts.values():
        if _needs_direct_stop(attempt):
            attempt.stop_sent = True
            commands.append(StopCommand(attempt.task_id, attempt.attempt_number, attempt.grace_period_s))
    wakes_up = jobs_fresh and _needs_wake_up(cluster, machine)
    if wakes_up:
        machine.wake_up_sent = True
        commands.append(wake_up_command(cluster.next_attempt_number()))
    return DirectBatch(commands, wakes_up)
