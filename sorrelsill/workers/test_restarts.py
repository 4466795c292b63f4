"""Which messages prove that a worker restarted, and what the cluster state makes of them."""

from sorrelsill import constants
from sorrelsill.model import Catalog, MachineType
from sorrelsill.workers import ClusterState, Machine, WorkerHeartbeat
from sorrelsill.workers.messages import StopCommand, TaskStatus

TOKEN = 7
MACHINE_TYPE = MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a",))
RUNNING = TaskStatus("run-x/0", (3 << constants.ATTEMPT_COUNTER_BITS) + 1, "running")


def message(
    number: int, token: int = TOKEN, incarnation: int = 1, tasks: list[TaskStatus] | None = None
) -> WorkerHeartbeat:
    return WorkerHeartbeat("m1", incarnation, number, "c8", "a", "10.0.0.9:9000", False, token, tasks=tasks or [])


def cluster_with_machine(*tasks: TaskStatus) -> tuple[ClusterState, Machine]:
    """A machine whose last heartbeat had the number 40 and arrived at 2 s."""
    cluster = ClusterState(TOKEN, 0.0, Catalog({"c8": MACHINE_TYPE}), 11.5, 2.7, overdue_s=2.25)
    cluster.on_heartbeat(message(39, 0), 1.0)
    cluster.on_heartbeat(message(40, tasks=list(tasks)), 2.0)
    machine = cluster.machines["m1"]
    machine.registered = True
    assert machine.token_acknowledged
    return cluster, machine


def answer_call(cluster: ClusterState, response: WorkerHeartbeat, now: float = 3.0) -> None:
    """Process the response to a direct call that is sent now."""
    cluster.on_command_response(response, now, cluster.snapshot("m1"))


def test_response_with_a_lower_number_proves_a_restart() -> None:
    cluster, machine = cluster_with_machine()
    answer_call(cluster, message(2))
    assert machine.required_token == TOKEN + 1 and not machine.usable
    assert cluster.needs_higher_token()


def test_response_with_a_lower_token_proves_a_restart_whatever_its_number() -> None:
    cluster, machine = cluster_with_machine()
    answer_call(cluster, message(41, token=0))
    assert machine.required_token == TOKEN + 1


def test_response_without_a_held_task_proves_a_restart() -> None:
    cluster, machine = cluster_with_machine(RUNNING)
    answer_call(cluster, message(41))
    assert machine.required_token == TOKEN + 1


def test_task_that_was_cleared_during_the_call_proves_nothing() -> None:
    cluster, machine = cluster_with_machine(RUNNING)
    snapshot = cluster.snapshot("m1")
    exited = TaskStatus(RUNNING.task_id, RUNNING.attempt_number, "exited", "halted")
    cluster.on_heartbeat(message(41, tasks=[exited]), 3.0)
    cluster.on_command_response(message(43), 3.1, snapshot)
    assert machine.required_token == 0


def test_later_incarnation_without_tasks_is_no_restart() -> None:
    cluster, machine = cluster_with_machine(RUNNING)
    answer_call(cluster, message(41, incarnation=2))
    assert machine.required_token == 0 and machine.incarnation == 2


def test_response_overtaken_by_a_heartbeat_proves_nothing() -> None:
    """The call was sent before that heartbeat arrived."""
    cluster, machine = cluster_with_machine()
    snapshot = cluster.snapshot("m1")
    cluster.on_heartbeat(message(42), 3.0)
    cluster.on_command_response(message(41), 3.1, snapshot)
    assert machine.required_token == 0


def test_heartbeat_alone_proves_nothing_but_has_the_machine_called() -> None:
    cluster, machine = cluster_with_machine()
    assert cluster.on_heartbeat(message(1, token=0), 2.5) is None
    assert machine.required_token == 0 and machine.usable
    assert "m1" in cluster.restarts.suspected


def test_late_copies_beside_current_heartbeats_cause_no_calls() -> None:
    cluster, _ = cluster_with_machine()
    assert cluster.on_heartbeat(message(12), 2.5) is None
    assert not cluster.restarts.suspected
    assert cluster.on_heartbeat(message(12), 8.0) is None
    assert "m1" in cluster.restarts.suspected, "its heartbeat is overdue"


def test_attempts_are_released_once_the_new_worker_has_shown_the_token() -> None:
    cluster, machine = cluster_with_machine(RUNNING)
    answer_call(cluster, message(2))
    assert len(machine.attempts) == 1
    cluster.on_fencing_token_raised(TOKEN + 4)
    assert "m1" in cluster.restarts.suspected, "it is sent the token"
    assert cluster.on_heartbeat(message(5, token=TOKEN + 4), 3.5) is not None
    assert not machine.attempts and machine.token_acknowledged and not cluster.needs_higher_token()


def test_messages_of_the_old_worker_change_nothing_after_the_proof() -> None:
    """Without a token that the old worker has never seen, its numbers, which are higher, count as newer."""
    cluster, machine = cluster_with_machine()
    answer_call(cluster, message(2))
    cluster.on_fencing_token_raised(TOKEN + 4)
    commands = cluster.on_heartbeat(message(44, tasks=[RUNNING]), 3.2)
    assert commands == [StopCommand(RUNNING.task_id, RUNNING.attempt_number, 0.0)], "its job is not live"
    assert machine.sequence_number == 2 and not machine.attempts
    cluster.on_heartbeat(message(5, token=TOKEN + 4), 3.5)
    assert cluster.on_heartbeat(message(45, tasks=[RUNNING]), 3.6) is None
    assert machine.sequence_number == 5 and machine.usable and not machine.attempts


def test_lease_of_the_new_worker_counts_from_the_proof() -> None:
    """Without this, the machine is lost one lease after the last heartbeat of the old worker."""
    cluster, machine = cluster_with_machine()
    answer_call(cluster, message(2), now=10.0)
    assert not cluster.expire_leases(14.0) and not machine.lease_expired
    assert cluster.expire_leases(22.0) == [machine]


def test_lease_counts_from_answers_that_give_a_restarted_worker_the_token() -> None:
    """The worker may run tasks of an earlier leader, and these answers renew its lease."""
    cluster, machine = cluster_with_machine()
    answer_call(cluster, message(2), now=3.0)
    assert cluster.on_heartbeat(message(3), 8.0) == []
    assert not cluster.expire_leases(16.0)
    assert cluster.on_heartbeat(message(4), 16.0) is None, "it does not receive the answers"
    assert cluster.expire_leases(20.0) == [machine]


def test_restart_of_a_lost_machine_makes_it_usable_again() -> None:
    cluster, machine = cluster_with_machine()
    assert cluster.expire_leases(14.0) == [machine]
    assert cluster.on_heartbeat(message(1, token=0), 15.0) is None
    answer_call(cluster, message(2, token=0), 15.0)
    cluster.on_fencing_token_raised(TOKEN + 1)
    cluster.on_heartbeat(message(3, token=0), 15.5)
    cluster.on_heartbeat(message(4, token=TOKEN + 1), 16.0)
    machine.registered = True
    assert machine.usable


def test_worker_that_cannot_be_called_is_accepted_in_a_later_incarnation() -> None:
    """Its heartbeat names a lower token than the machine's worker had shown, so it may be a late copy; the answer gives
    it the token."""
    cluster, machine = cluster_with_machine()
    assert cluster.on_heartbeat(message(9, token=0, incarnation=2), 15.0) == []
    assert machine.incarnation == 1
    assert cluster.on_heartbeat(message(10, incarnation=2), 15.5) == []
    assert machine.incarnation == 2
