"""Heartbeats and direct responses in the cluster state, and which machines are usable after them."""

from sorrelsill import constants
from sorrelsill.model import Catalog, MachineType
from sorrelsill.workers import ClusterState, Machine, WorkerHeartbeat
from sorrelsill.workers.messages import TaskStatus
from tests.simulation import count_calls

MACHINE_TYPE = MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a",))


def cluster_with_one_machine() -> tuple[ClusterState, Machine]:
    cluster = ClusterState(7, 0.0, Catalog({"c8": MACHINE_TYPE}), 11.5, 2.7)
    for sequence_number, fencing_token in ((1, 0), (2, 7)):
        heartbeat(cluster, sequence_number, float(sequence_number), fencing_token=fencing_token)
    machine = cluster.machines["m1"]
    machine.registered = True
    return cluster, machine


def heartbeat(
    cluster: ClusterState, sequence_number: int, now: float, incarnation: int = 1, fencing_token: int = 7
) -> object:
    return cluster.on_heartbeat(
        WorkerHeartbeat("m1", incarnation, sequence_number, "c8", "a", "10.0.0.9:9000", False, fencing_token), now
    )


def test_one_heartbeat_out_of_sequence_leaves_a_machine_usable() -> None:
    """Guards against a machine that is unusable for an interval whenever a heartbeat crosses a direct response."""
    cluster, machine = cluster_with_one_machine()
    assert machine.usable
    heartbeat(cluster, 9, 3.0)
    assert machine.usable


def test_a_machine_whose_heartbeats_never_follow_our_responses_becomes_unusable() -> None:
    cluster, machine = cluster_with_one_machine()
    for turn in range(1, 4):  # it sends heartbeats to each controller in turn
        heartbeat(cluster, 2 + 3 * turn, 2.0 + 5.0 * turn)
    assert not machine.usable
    heartbeat(cluster, 12, 18.0)
    assert machine.usable


def test_a_new_incarnation_becomes_usable_once_it_proves_that_responses_reach_it() -> None:
    """The worker may know the leader's fencing token from its previous incarnation, so reporting it proves nothing."""
    cluster, machine = cluster_with_one_machine()
    heartbeat(cluster, 3, 14.0, incarnation=2)
    assert not machine.usable
    heartbeat(cluster, 4, 15.0, incarnation=2)
    assert machine.usable


def test_heartbeats_of_a_registered_machine_without_our_token_are_answered_only_for_a_while() -> None:
    cluster = ClusterState(7, 0.0, Catalog({"c8": MACHINE_TYPE}), 11.5, 2.7)
    cluster.failover.expect_machines([("m1", {"f": "c8", "a": "10.0.0.9:9000"})])
    assert heartbeat(cluster, 1, 1.0, fencing_token=3) is not None
    assert heartbeat(cluster, 4, 5.0, fencing_token=3) is not None
    assert heartbeat(cluster, 7, 9.0, fencing_token=3) is None
    assert not cluster.expire_leases(15.0) and cluster.failover.unconfirmed
    assert [h.name for h in cluster.expire_leases(17.0)] == ["m1"] and not cluster.failover.unconfirmed


def direct_response(cluster: ClusterState, sequence_number: int, now: float, incarnation: int = 1) -> None:
    """Process a worker's response to a direct call."""
    cluster.on_command_response(
        WorkerHeartbeat("m1", incarnation, sequence_number, "c8", "a", "10.0.0.9:9000", False, 7), now
    )


def cluster_after_direct_call() -> tuple[ClusterState, Machine]:
    """A registered machine that answered a new leader's direct call and has sent no heartbeat yet."""
    cluster = ClusterState(7, 0.0, Catalog({"c8": MACHINE_TYPE}), 11.5, 2.7, overdue_s=2.25)
    cluster.failover.expect_machines([("m1", {"f": "c8", "a": "10.0.0.9:9000"})])
    direct_response(cluster, 1, 1.0)
    return cluster, cluster.machines["m1"]


def test_a_new_incarnation_known_only_from_direct_calls_has_a_full_lease() -> None:
    """Guards against tasks that run twice (rule ran_twice).

    A machine that answered direct calls but could send no heartbeats was given tasks in its second incarnation, and was
    declared lost one lease after the first response, which came from its first incarnation."""
    cluster, machine = cluster_after_direct_call()
    direct_response(cluster, 9, 8.0, incarnation=2)
    assert not cluster.expire_leases(13.0) and not machine.lease_expired
    assert cluster.expire_leases(20.0) == [machine]


def test_a_machine_that_answers_calls_but_sends_no_heartbeats_becomes_unusable() -> None:
    cluster, machine = cluster_after_direct_call()
    cluster.expire_leases(3.0)
    assert machine.usable, "after a failover its heartbeats may not have reached the new leader yet"
    direct_response(cluster, 2, 7.0)
    cluster.expire_leases(7.5)
    assert not machine.usable
    heartbeat(cluster, 3, 8.0)
    cluster.expire_leases(8.1)
    assert machine.usable


def test_a_machine_whose_lease_expired_while_it_answered_calls_is_unusable() -> None:
    cluster, machine = cluster_after_direct_call()
    direct_response(cluster, 2, 3.0, incarnation=2)
    cluster.expire_leases(3.1)
    assert not machine.usable
    heartbeat(cluster, 3, 4.0, incarnation=2)
    heartbeat(cluster, 4, 5.0, incarnation=2)
    machine.registered = True
    cluster.expire_leases(5.1)
    assert machine.usable


def test_a_removed_machine_is_not_declared_lost_when_its_timer_expires() -> None:
    """Guards against a removed machine that returns to the indices and whose registry entry is deleted a second
    time."""
    cluster, _ = cluster_with_one_machine()
    cluster.remove_machine("m1", 3.0, "machine returned")
    cluster.pending_writes.deregistrations.clear()
    assert not cluster.expire_leases(60.0) and not cluster.pending_writes.deregistrations
    assert not cluster.index.idle and not cluster.index.usable


def test_expiring_leases_checks_only_machines_whose_timers_are_due() -> None:
    cluster = ClusterState(7, 0.0, Catalog({"c8": MACHINE_TYPE}), 11.5, 2.7, overdue_s=4.0)
    for number in range(300):
        for sequence_number in (1, 2):
            cluster.on_heartbeat(
                WorkerHeartbeat(f"m{number}", 1, sequence_number, "c8", "a", "10.0.0.9:9000", False, 7),
                1.0 + number / 100,
            )
    assert count_calls(lambda: cluster.expire_leases(4.5)) < 20, "no timer is due"
    cluster.expire_leases(5.505)
    assert sum(machine.heartbeat_overdue for machine in cluster.machines.values()) == 51


def report_tasks_of_unknown_job(cluster: ClusterState, count: int = 2) -> None:
    tasks = [
        TaskStatus(f"run-gone/{index}", (3 << constants.ATTEMPT_COUNTER_BITS) + index, "running")
        for index in range(count)
    ]
    cluster.on_heartbeat(WorkerHeartbeat("m1", 1, 3, "c8", "a", "10.0.0.9:9000", False, 7, tasks=tasks), 3.0)


def test_tasks_of_unknown_jobs_on_a_machine_of_unknown_type_count_as_unlimited_usage() -> None:
    """Guards against counting them as 0: without a catalog, the machine's free capacity was 0."""
    cluster, machine = cluster_with_one_machine()
    report_tasks_of_unknown_job(cluster)
    assert cluster.team_use("red").total == (8.0, 0.0) and not machine.usable
    cluster.set_catalog(Catalog({}))
    assert cluster.team_use("red").total == (float("inf"), float("inf"))


def test_attempts_of_a_job_are_listed_in_the_order_in_which_they_were_found() -> None:
    """Guards against the order of a set: simulations with the same seed differed, depending on what the process had
    done before."""
    cluster, _ = cluster_with_one_machine()
    report_tasks_of_unknown_job(cluster, 200)
    assert [attempt.index for attempt in cluster.attempts.of_job("run-gone")] == list(range(200))
