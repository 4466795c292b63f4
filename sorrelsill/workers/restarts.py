"""Recognises workers that restarted on a machine that kept its name and address. No I/O; callers pass the current time.

A restarted worker has no tasks, has seen no fencing token, and counts incarnations and sequence numbers from the
beginning. So its heartbeats look like late copies of those of its predecessor, and a heartbeat alone proves nothing.
The response to a direct call does: its sender runs after the call was sent. If the response is numbered below a message
that we had received before we sent the call, or names a lower token, or lacks a task that the worker cannot have
dropped, then it comes from another process, and the sender of that message has ended, with all its tasks.

Old copies may still arrive. The predecessor has never seen a token that we first gave out after its end, so from then
on only messages with such a token count, and the machine gets no work before it has shown one."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sorrelsill.events import log_event
from sorrelsill.workers.messages import Command, StopCommand, TaskPhase, WorkerHeartbeat

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_records import ClusterRecords
    from sorrelsill.workers.machine import AttemptKey, Machine

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class MachineSnapshot:
    """What was known of a machine's worker when a direct call was sent to it."""

    machine: str
    incarnation: int
    sequence_number: int
    fencing_token: int  # the highest that the worker has reported
    held_tasks: frozenset[AttemptKey]  # reported and not exited; the worker holds them until we have them cleared

    @classmethod
    def of(cls, machine: Machine) -> MachineSnapshot:
        """Take the snapshot."""
        held: Iterable[AttemptKey] = ()
        if machine.token_acknowledged:  # before that, an earlier leader may have tasks cleared
            held = (key for key, attempt in machine.attempts.items() if attempt.confirmed and not attempt.exited)
        return cls(machine.name, machine.incarnation, machine.sequence_number, machine.reported_token, frozenset(held))

    def sender_has_ended(self, response: WorkerHeartbeat, machine: Machine) -> bool:
        """Whether the response to the call proves that the worker known until then has ended. `machine` is the machine
        as known now."""
        if response.machine != self.machine or self.sequence_number < 0:
            return False
        if (response.incarnation, response.sequence_number) <= (self.incarnation, self.sequence_number):
            return True
        if response.fencing_token < self.fencing_token:
            return True
        if response.incarnation != self.incarnation:
            return False  # its lease expired, and it dropped its tasks
        reported = {(task.task_id, task.attempt_number) for task in response.tasks}
        # A task whose exit was reported during the call may have been cleared since.
        missing = (machine.attempts.get(key) for key in self.held_tasks - reported)
        return any(attempt is not None and not attempt.exited for attempt in missing)


def comes_from_another_worker(machine: Machine, heartbeat: WorkerHeartbeat) -> bool:
    """Whether the heartbeat certainly does not come from the machine's worker as known: its number is higher, but its
    token is lower, and no worker reports a lower token later. It comes from an earlier or from a restarted worker."""
    number = heartbeat.incarnation, heartbeat.sequence_number
    return heartbeat.fencing_token < machine.reported_token and number > (machine.incarnation, machine.sequence_number)


def may_be_restarted(cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, now: float) -> bool:
    """Whether a heartbeat that is not accepted may come from a restarted worker, so that a direct call should find out.
    Copies of heartbeats of a machine whose heartbeats keep arriving need no call, unless they name a lower token."""
    if heartbeat.fencing_token < machine.reported_token:
        return True
    return machine.lease_expired or cluster.leases.heartbeat_is_overdue(machine, now)


def begin_restarted_worker(cluster: ClusterRecords, machine: Machine, response: WorkerHeartbeat, now: float) -> None:
    """Record that the machine's worker is a new process. The attempts of its predecessor stay bound until the new one
    has shown a higher token: until then a response to one of its own heartbeats may still carry their starts."""
    log_event(
        log,
        logging.INFO,
        "worker_restarted",
        machine=machine.name,
        incarnation=response.incarnation,
        sequence_number=response.sequence_number,
        token=response.fencing_token,
        last_incarnation=machine.incarnation,
        last_sequence_number=machine.sequence_number,
        last_token=machine.reported_token,
        attempts=len(machine.attempts),
    )
    machine.required_token = cluster.fencing_token + 1
    machine.reported_token = response.fencing_token
    machine.incarnation = response.incarnation
    machine.sequence_number = response.sequence_number
    machine.heartbeat_sequence_number = -1
    machine.token_acknowledged = machine.reachable = machine.attempts_verified = False
    machine.token_may_be_inherited = False
    machine.wake_up_sent = False
    machine.lease_expired = False
    machine.unacknowledged_since = machine.last_seen_at = now
    machine.lease_renewed_at = now  # the new worker's lease counts from its beginning, which was before now
    cluster.last_heartbeat_at = now  # this controller reaches the worker
    cluster.restarts.add(machine)
    cluster.wake_scheduler = True


def respond_to_unfenced(
    cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, now: float
) -> list[Command] | None:
    """The commands for a restarted worker that has not shown the required token, or None if it is not to be answered.

    The heartbeat may be a late copy, so it changes nothing but the time from which the lease counts. If it is not, the
    response gives the worker the token, and stops the tasks of jobs that are not live. It may run others: an earlier
    leader started them if the restart was before this term. After a while without the token, our responses do not reach
    the worker, and its lease has to expire."""
    if machine.token_acknowledged:
        return None  # a late copy: the present worker has shown the token
    since = machine.unacknowledged_since
    if since is not None and now - since > cluster.leases.unreachable_after_s:
        return None
    if machine.lease_expired:
        return stop_all_tasks(heartbeat)  # all its tasks are declared lost
    machine.lease_renewed_at = now
    return [command for command in stop_all_tasks(heartbeat) if command.task_id.rpartition("/")[0] not in cluster.jobs]


def stop_all_tasks(heartbeat: WorkerHeartbeat) -> list[Command]:
    """Commands that stop all tasks which the heartbeat reports. A worker that has not shown our token, though its
    machine has, began in this term, and no leader has sent it a start: late commands have started its tasks."""
    running = (task for task in heartbeat.tasks if task.phase != TaskPhase.EXITED)
    return [StopCommand(task.task_id, task.attempt_number, 0.0) for task in running]
