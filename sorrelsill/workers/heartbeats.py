"""Takes workers' heartbeats into the cluster state. Pure: time is given.

A heartbeat proves more than the answer to a direct call: a worker executes the commands of an answer before its next
heartbeat, while the body of a direct answer may be older than an answer that is still in flight."""

from __future__ import annotations

from sorrelsill.workers.cluster_records import ClusterRecords
from sorrelsill.workers.commands import response_commands
from sorrelsill.workers.errors import FencedError
from sorrelsill.workers.machine import Machine
from sorrelsill.workers.messages import Command, WorkerHeartbeat
from sorrelsill.workers.reported_tasks import reconcile_tasks


def on_heartbeat(
    cluster: ClusterRecords, heartbeat: WorkerHeartbeat, now: float, acting: bool = True, jobs_fresh: bool = True
) -> list[Command] | None:
    """Take a heartbeat in; the commands for the answer, or None if it must not be answered with 200.
    Without `acting` (degraded mode) there are no commands; unless `jobs_fresh` (a recent view of the jobs), no starts.

    Raises FencedError if the worker has seen a higher fencing token."""
    if heartbeat.fencing_token > cluster.term:
        raise FencedError(heartbeat.fencing_token)
    if _is_from_before_removal(cluster, heartbeat):
        return None
    machine = _machine_of(cluster, heartbeat, now)
    if not _is_current(machine, heartbeat):
        return None
    same_incarnation = heartbeat.incarnation == machine.incarnation
    overtaken = same_incarnation and heartbeat.sequence_number < machine.sequence_number
    # After anything but our 200 a worker goes on to the next controller, so a heartbeat that follows the last
    # message directly shows that answers reach it. With one that does not, work waits for the next that does.
    follows = same_incarnation and heartbeat.sequence_number == machine.sequence_number + 1
    machine.heartbeat_sequence_number = heartbeat.sequence_number
    machine.has_sent_heartbeat = True
    machine.last_seen_at = now
    if machine.heartbeat_overdue:
        machine.heartbeat_overdue = False
    if overtaken:
        return _answer_overtaken(cluster, machine, now, acting)
    _take_newest(cluster, machine, heartbeat, follows, now)
    cluster.last_heartbeat_at = now
    if _hears_no_answers(cluster, machine, now):
        reconcile_tasks(cluster, machine, heartbeat, now, True)
        return None
    machine.lease_renewed_at = now
    reconcile_tasks(cluster, machine, heartbeat, now, True)
    return response_commands(cluster, machine, jobs_fresh, now) if acting else []


def on_command_response(cluster: ClusterRecords, heartbeat: WorkerHeartbeat, now: float) -> None:
    """A worker's state in its answer to a direct call. It renews no lease, and since it may be older than the
    answer to a heartbeat in flight, what it lacks may yet be started: absence proves less than in a heartbeat."""
    if heartbeat.fencing_token > cluster.term or _is_from_before_removal(cluster, heartbeat):
        return
    machine = _machine_of(cluster, heartbeat, now)
    if (heartbeat.incarnation, heartbeat.sequence_number) <= (machine.incarnation, machine.sequence_number):
        return
    if machine.lease_expired and heartbeat.incarnation == machine.incarnation:
        machine.sequence_number = heartbeat.sequence_number
        return
    if machine.incarnation and heartbeat.incarnation > machine.incarnation:
        # Its lease ran out and yet it hears us: it does not reach us, so work on it would die with each lease.
        machine.heartbeat_overdue = True
    _update_identity(cluster, machine, heartbeat, now)
    if machine.last_seen_at == float("-inf"):
        machine.last_seen_at = now
    if heartbeat.fencing_token == cluster.term:
        _acknowledge_token(cluster, machine, True, now, "direct answer")
        machine.reachable = True
        machine.reachability_proved_at = now
    if machine.lease_renewed_at is None:
        machine.lease_renewed_at = now
    reconcile_tasks(cluster, machine, heartbeat, now, False)


def _is_from_before_removal(cluster: ClusterRecords, heartbeat: WorkerHeartbeat) -> bool:
    """Whether the message is a stale copy from a machine that is gone."""
    return cluster.tombstones.rejects(heartbeat.machine, heartbeat.incarnation, heartbeat.sequence_number)


def _machine_of(cluster: ClusterRecords, heartbeat: WorkerHeartbeat, now: float) -> Machine:
    return cluster.get_or_add_machine(heartbeat.machine, heartbeat.machine_type, heartbeat.zone, heartbeat.spot, now)


def _is_current(machine: Machine, heartbeat: WorkerHeartbeat) -> bool:
    """Whether the heartbeat is newer than all before and its incarnation's lease has not expired."""
    if heartbeat.incarnation != machine.incarnation:
        return heartbeat.incarnation > machine.incarnation
    if heartbeat.sequence_number <= machine.heartbeat_sequence_number:
        return False  # late or repeated: its task list is older than what is known
    if machine.lease_expired:
        machine.sequence_number = max(machine.sequence_number, heartbeat.sequence_number)
        return False  # its lease is over by our clock: only its next incarnation is believed
    return True


def _answer_overtaken(cluster: ClusterRecords, machine: Machine, now: float, acting: bool) -> list[Command] | None:
    """The heartbeat was overtaken by an answer to a direct call, which said more. It is no copy, so its lease may go
    on."""
    if not machine.token_acknowledged:
        return None
    machine.lease_renewed_at = cluster.last_heartbeat_at = now
    # No starts, but stops: an answer that renews a lease always names what has to go.
    return response_commands(cluster, machine, False, now) if acting else []


def _take_newest(
    cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, follows: bool, now: float
) -> None:
    """Update what is known of the machine from a heartbeat that is newer than all messages before."""
    known = machine.sequence_number >= 0
    _update_identity(cluster, machine, heartbeat, now)
    if not machine.token_acknowledged:
        if machine.unacknowledged_since is None:
            machine.unacknowledged_since = now
        has_our_token = heartbeat.fencing_token == cluster.term
        machine.token_may_be_inherited |= not known and has_our_token
        if has_our_token:
            _acknowledge_token(cluster, machine, follows or not machine.token_may_be_inherited, now, "report")
    else:
        # One that does not follow is no proof of the contrary: heartbeats cross with answers to direct calls, and a
        # worker that was led here comes from elsewhere. Guards against many machines standing aside at once.
        proof_is_recent = now - machine.reachability_proved_at <= cluster.leases.unreachable_after_s
        machine.reachable = follows or (machine.reachable and proof_is_recent)
    if follows:
        machine.reachability_proved_at = now


def _hears_no_answers(cluster: ClusterRecords, machine: Machine, now: float) -> bool:
    """Whether its heartbeats arrive and our answers do not. Unanswered, its lease can run out, which is a proof."""
    return (
        not machine.token_acknowledged
        and machine.unacknowledged_since is not None
        and now - machine.unacknowledged_since > cluster.leases.unreachable_after_s
    )


def _update_identity(cluster: ClusterRecords, machine: Machine, heartbeat: WorkerHeartbeat, now: float) -> None:
    """Address, incarnation, sequence number and reclaim notice of a message that is newer than all before."""
    machine.addr = heartbeat.addr or machine.addr
    if heartbeat.incarnation > machine.incarnation:
        _begin_incarnation(cluster, machine, heartbeat.incarnation, now)
    machine.sequence_number = heartbeat.sequence_number
    if heartbeat.spot_reclaim_in_s is not None:
        machine.spot_reclaim_at = now + heartbeat.spot_reclaim_in_s
        cluster.machines_with_reclaim_notice[machine.name] = machine


def _begin_incarnation(cluster: ClusterRecords, machine: Machine, incarnation: int, now: float) -> None:
    """The worker lost its lease and everything that ran on it, and began anew."""
    if machine.incarnation:
        # Its images stay: work that comes back to such a machine begins at once.
        cluster.release_all(machine, now, "worker's lease ran out")
        machine.token_may_be_inherited = True
    machine.reachable = False
    machine.incarnation = incarnation
    if machine.token_acknowledged:
        # An incarnation has a whole lease from its beginning, which was before now, whether or not a heartbeat of it
        # was ever answered. Guards against a machine that reaches nobody and answers direct calls in its second
        # incarnation being taken for lost by the lease of its first.
        machine.lease_renewed_at = now
    machine.lease_expired = False
    machine.heartbeat_sequence_number = -1


def _acknowledge_token(cluster: ClusterRecords, machine: Machine, reachable: bool, now: float, proof: str) -> None:
    """The worker has shown our fencing token: no older leader can command it any more. `proof` says by which kind of
    message."""
    if machine.token_acknowledged:
        return
    machine.token_acknowledged = True
    machine.unacknowledged_since = None
    machine.reachable = reachable
    machine.lease_renewed_at = now  # from now on it may be given work, and its incarnation may have begun just now
    if reachable:
        machine.reachability_proved_at = now
    if machine.registered or machine.name in cluster.failover.unconfirmed:
        machine.registered = True
    cluster.confirm(machine.name, proof, now)
    cluster.machines_with_pending_commands[machine.name] = machine
    if not machine.registered:
        cluster.pending_writes.registration_due(machine)
    cluster.wake_scheduler = True
