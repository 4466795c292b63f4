"""Updates the cluster state from workers' heartbeats. No I/O; callers pass the current time.

A heartbeat is stronger evidence than the response to a direct call. A worker executes the commands of a heartbeat
response before its next heartbeat, whereas the state in a direct response may be older than a heartbeat response that
is still in flight."""

from __future__ import annotations

import logging

from sorrelsill.events import log_event
from sorrelsill.workers.cluster_records import ClusterRecords
from sorrelsill.workers.commands import response_commands
from sorrelsill.workers.errors import FencedError
from sorrelsill.workers.machine import Machine
from sorrelsill.workers.messages import Command, WorkerHeartbeat
from sorrelsill.workers.reported_tasks import reconcile_tasks
from sorrelsill.workers.restarts import (
    MachineSnapshot,
    begin_restarted_worker,
    comes_from_another_worker,
    may_be_restarted,
    respond_to_unfenced,
    stop_all_tasks,
)

log = logging.getLogger(__name__)


def on_heartbeat(
    cluster: ClusterRecords, heartbeat: WorkerHeartbeat, now: float, may_command: bool = True, jobs_fresh: bool = True
) -> list[Command] | None:
    """Process a heartbeat. Returns the commands for the response, or None if it must not be answered with 200.
    Without `may_command` (degraded mode) there are no commands; without `jobs_fresh` (a recent view of the jobs) there
    are no starts.

    Raises FencedError if the worker has seen a higher fencing token. In degraded mode that proves nothing, since leases
    are renewed with higher tokens than the leader's."""
    if may_command and heartbeat.fencing_token > cluster.fencing_token:
        raise FencedError(heartbeat.fencing_token)
    if _is_from_removed_machine(cluster, heartbeat):
        return None
    machine = _get_or_add_machine(cluster, heartbeat, now)
    if heartbeat.fencing_token < machine.required_token:
        commands = respond_to_unfenced(cluster, machine, heartbeat, now)
        return commands if may_command or commands is None else []
    if comes_from_another_worker(machine, heartbeat):
        _on_refused(cluster, machine, heartbeat, now)
        return stop_all_tasks(heartbeat) if may_command else []
    if not _is_current(machine, heartbeat):
        _on_refused(cluster, machine, heartbeat, now)
        return None
    return _on_current_heartbeat(cluster, machine, heartbeat, now, may_command, jobs_fresh)


def _on_current_heartbeat(
    cluster: ClusterRecords,
    machine: Machine,
    heartbeat: WorkerHeartbeat,
    now: float,
    may_command: bool,
    jobs_fresh: bool,
) -> list[Command] | None:
    """Process a heartbeat that is newer than all earlier ones of the machine."""
    same_incarnation = heartbeat.incarnation == machine.incarnation
    overtaken = same_incarnation and heartbeat.sequence_number < machine.sequence_number
    # A worker that gets no 200 from us tries the next controller. So a heartbeat that directly follows the last message
    # in sequence shows that our responses reach the worker. After a gap in the sequence the machine gets no new work
    # until there is new proof, unless the last proof is recent (see `_apply_newest`).
    is_consecutive = same_incarnation and heartbeat.sequence_number == machine.sequence_number + 1
    machine.heartbeat_sequence_number = heartbeat.sequence_number
    machine.has_sent_heartbeat = True
    machine.last_seen_at = now
    if machine.heartbeat_overdue:
        machine.heartbeat_overdue = False
    if overtaken:
        return _respond_to_overtaken(cluster, machine, now, may_command)
    machine.wake_up_sent = False
    _apply_newest(cluster, machine, heartbeat, is_consecutive, now)
    cluster.last_heartbeat_at = now
    if _receives_no_responses(cluster, machine, now):
        reconcile_tasks(cluster, machine, heartbeat, now, True)
        return None
    machine.lease_renewed_at = now
    reconcile_tasks(cluster, machine, heartbeat, now, True)
    return response_commands(cluster, machine, jobs_fresh) if may_command else []


def on_command_response(
    cluster: ClusterRecords, heartbeat: WorkerHeartbeat, now: float, snapshot: MachineSnapshot | None = None
) -> None:
    """Process a worker's state from its response to a direct call. It renews no lease. It may be older than a heartbeat
    response that is still in flight, so tasks that it does not list may still be started: their absence proves less
    than in a heartbeat. `snapshot`: what was known of the machine when the call was sent."""
    if heartbeat.fencing_token > cluster.fencing_token or _is_from_removed_machine(cluster, heartbeat):
        return
    machine = _get_or_add_machine(cluster, heartbeat, now)
    if snapshot is not None and snapshot.sender_has_ended(heartbeat, machine):
        begin_restarted_worker(cluster, machine, heartbeat, now)
    if heartbeat.fencing_token < machine.required_token:
        return
    if (heartbeat.incarnation, heartbeat.sequence_number) <= (machine.incarnation, machine.sequence_number):
        return
    if machine.lease_expired and heartbeat.incarnation == machine.incarnation:
        machine.sequence_number = heartbeat.sequence_number
        return
    if machine.incarnation and heartbeat.incarnation > machine.incarnation:
        # The worker began a new incarnation, so its lease expired although our calls reach it: its heartbeats do not
        # reach us. Any work on it would be lost whenever the lease expires, so it gets none before a heartbeat.
        machine.heartbeat_overdue = True
    _update_identity(cluster, machine, heartbeat, now)
    if machine.last_seen_at == float("-inf"):
        machine.last_seen_at = now
    if heartbeat.fencing_token >= cluster.term:
        _acknowledge_token(cluster, machine, True, now, "direct answer")
        machine.reachable = True
        machine.reachability_proved_at = now
    if machine.lease_renewed_at is None:
        machine.lease_renewed_at = now
    reconcile_tasks(cluster, machine, heartbeat, now, False)


def _is_from_removed_machine(cluster: ClusterRecords, heartbeat: WorkerHeartbeat) -> bool:
    """Whether the message is a stale copy that a removed machine sent before its removal."""
    return cluster.tombstones.rejects(heartbeat.machine, heartbeat.incarnation, heartbeat.sequence_number)


def _get_or_add_machine(cluster: ClusterRecords, heartbeat: WorkerHeartbeat, now: float) -> Machine:
    return cluster.get_or_add_machine(heartbeat.machine, heartbeat.machine_type, heartbeat.zone, heartbeat.spot, now)


def _is_current(machine: Machine, heartbeat: WorkerHeartbeat) -> bool:
    """Whether the heartbeat is newer than all earlier ones and its incarnation's lease has not expired."""
    if heartbeat.incarnation != machine.incarnation:
        return heartbeat.incarnation > machine.incarnation
    if heartbeat.sequence_number <= machine.heartbeat_sequence_number:
        return False  # delayed or duplicated: its task list is outdated
    if machine.lease_expired:
        machine.sequence_number = max(machine.sequence_number, heartbeat.sequence_number)
        return False  # its lease has expired by our clock: only a later incarnation is accepted
    return True


def _on_refused(cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, now: float) -> None:
    """Have the machine called if its worker may have restarted. The log names what distinguishes a late copy from a
    message of a restarted worker: the numbers, the token and the tasks."""
    if may_be_restarted(cluster, machine, heartbeat, now):
        cluster.restarts.suspect(machine)
        cluster.wake_scheduler = True
    log_event(
        log,
        logging.DEBUG,
        "heartbeat_refused",
        machine=machine.name,
        incarnation=heartbeat.incarnation,
        sequence_number=heartbeat.sequence_number,
        token=heartbeat.fencing_token,
        tasks=len(heartbeat.tasks),
        last_incarnation=machine.incarnation,
        last_sequence_number=machine.heartbeat_sequence_number,
        lease_expired=machine.lease_expired,
    )


def _respond_to_overtaken(
    cluster: ClusterRecords, machine: Machine, now: float, may_command: bool
) -> list[Command] | None:
    """Respond to a heartbeat that a newer response to a direct call has overtaken. Its task list is outdated, but it is
    not a duplicate, so it may renew the lease."""
    if not machine.token_acknowledged:
        return None
    machine.lease_renewed_at = cluster.last_heartbeat_at = now
    # No new starts, but stops: a response that renews a lease always includes the stops that are due.
    return response_commands(cluster, machine, False) if may_command else []


def _apply_newest(
    cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, is_consecutive: bool, now: float
) -> None:
    """Update the machine from a heartbeat that is newer than all earlier messages."""
    seen_before = machine.sequence_number >= 0
    _update_identity(cluster, machine, heartbeat, now)
    if not machine.token_acknowledged:
        if machine.unacknowledged_since is None:
            machine.unacknowledged_since = now
        refuses_earlier_leaders = heartbeat.fencing_token >= cluster.term
        # A token that is not ours was given in degraded mode, maybe by another controller.
        has_other_token = heartbeat.fencing_token != cluster.fencing_token
        machine.token_may_be_inherited |= refuses_earlier_leaders and (not seen_before or has_other_token)
        if refuses_earlier_leaders:
            _acknowledge_token(cluster, machine, is_consecutive or not machine.token_may_be_inherited, now, "report")
    else:
        # A gap in the sequence does not prove that responses are lost: heartbeats cross with responses to direct calls,
        # and a worker that was redirected here sent its previous heartbeat to another controller. Recent proof still
        # counts; otherwise many machines would become unusable at once.
        proof_is_recent = now - machine.reachability_proved_at <= cluster.leases.unreachable_after_s
        machine.reachable = is_consecutive or (machine.reachable and proof_is_recent)
    if is_consecutive:
        machine.reachability_proved_at = now


def _receives_no_responses(cluster: ClusterRecords, machine: Machine, now: float) -> bool:
    """Whether the machine's heartbeats reach us but our responses do not reach it. Its heartbeats are then left
    unanswered, so that its lease expires, which proves that its tasks are gone."""
    return (
        not machine.token_acknowledged
        and machine.unacknowledged_since is not None
        and now - machine.unacknowledged_since > cluster.leases.unreachable_after_s
    )


def _update_identity(cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, now: float) -> None:
    """Update address, incarnation, sequence number and reclaim notice from a message that is newer than all earlier
    ones."""
    machine.addr = heartbeat.addr or machine.addr
    if heartbeat.incarnation > machine.incarnation:
        _begin_incarnation(cluster, machine, heartbeat.incarnation, now)
    machine.sequence_number = heartbeat.sequence_number
    machine.reported_token = max(machine.reported_token, heartbeat.fencing_token)
    if heartbeat.spot_reclaim_in_s is not None:
        machine.spot_reclaim_at = now + heartbeat.spot_reclaim_in_s
        cluster.machines_with_reclaim_notice[machine.name] = machine


def _begin_incarnation(cluster: ClusterRecords, machine: Machine, incarnation: int, now: float) -> None:
    """Begin a new incarnation: the worker has lost its lease and all its tasks, and started over."""
    if machine.incarnation:
        # The machine keeps its cached images, so tasks placed on it again start without fetching them.
        cluster.release_all(machine, now, "worker's lease ran out")
        machine.token_may_be_inherited = True
    machine.reachable = False
    machine.incarnation = incarnation
    if machine.token_acknowledged:
        # An incarnation has a full lease from its start, which was before now, even if none of its heartbeats was
        # answered. Otherwise a machine whose heartbeats reach no controller, and which answers direct calls in its
        # second incarnation, would be declared lost because the lease of its first has expired.
        machine.lease_renewed_at = now
    machine.lease_expired = False
    machine.heartbeat_sequence_number = -1


def _acknowledge_token(cluster: ClusterRecords, machine: Machine, reachable: bool, now: float, proof: str) -> None:
    """Record that the worker has acknowledged our fencing token: no earlier leader can command it any more. `proof` is
    the kind of message that showed it."""
    if machine.token_acknowledged:
        return
    machine.token_acknowledged = True
    cluster.restarts.discard(machine.name)
    machine.unacknowledged_since = None
    machine.reachable = reachable
    # The lease counts from now: the machine may get work from now on, and its incarnation may have begun just now.
    machine.lease_renewed_at = now
    if reachable:
        machine.reachability_proved_at = now
    if machine.registered or machine.name in cluster.failover.unconfirmed:
        machine.registered = True
    cluster.confirm(machine.name, proof, now)
    cluster.machines_with_pending_commands[machine.name] = machine
    if not machine.registered:
        cluster.pending_writes.registration_due(machine)
    cluster.wake_scheduler = True
