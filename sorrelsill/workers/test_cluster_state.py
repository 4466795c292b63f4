"""Heartbeats in the cluster state: which machines may be given work."""

from sorrelsill import constants
from sorrelsill.model import Catalog, MachineType
from sorrelsill.workers import ClusterState, Machine, WorkerHeartbeat
from sorrelsill.workers.messages import TaskStatus
from tests.simulation import count_calls

KIND = MachineType("c8", 8.0, 0.0, 32.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a",))


def cluster_of_one() -> tuple[ClusterState, Machine]:
    cluster = ClusterState(7, 0.0, Catalog({"c8": KIND}), 11.5, 2.7)
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


def test_a_report_out_of_step_does_not_make_a_machine_stand_aside() -> None:
    """Else at each crossing of a heartbeat with a direct answer it gets no work for an interval."""
    cluster, machine = cluster_of_one()
    assert machine.usable
    heartbeat(cluster, 9, 3.0)
    assert machine.usable


def test_a_machine_that_never_follows_on_our_answers_stands_aside() -> None:
    cluster, machine = cluster_of_one()
    for turn in range(1, 4):  # it goes from one controller to the next, and comes by again
        heartbeat(cluster, 2 + 3 * turn, 2.0 + 5.0 * turn)
    assert not machine.usable
    heartbeat(cluster, 12, 18.0)
    assert machine.usable


def test_a_new_session_gets_work_once_it_has_shown_that_it_hears() -> None:
    """Our fencing token may be known to it from the incarnation before, so showing that proves nothing."""
    cluster, machine = cluster_of_one()
    heartbeat(cluster, 3, 14.0, incarnation=2)
    assert not machine.usable
    heartbeat(cluster, 4, 15.0, incarnation=2)
    assert machine.usable


def test_reports_of_a_roster_machine_that_shows_no_token_are_answered_only_for_a_while() -> None:
    cluster = ClusterState(7, 0.0, Catalog({"c8": KIND}), 11.5, 2.7)
    cluster.failover.expect_machines([("m1", {"f": "c8", "a": "10.0.0.9:9000"})])
    assert heartbeat(cluster, 1, 1.0, fencing_token=3) is not None
    assert heartbeat(cluster, 4, 5.0, fencing_token=3) is not None
    assert heartbeat(cluster, 7, 9.0, fencing_token=3) is None
    assert not cluster.expire_leases(15.0) and cluster.failover.unconfirmed
    assert [h.name for h in cluster.expire_leases(17.0)] == ["m1"] and not cluster.failover.unconfirmed


def answer(cluster: ClusterState, sequence_number: int, now: float, incarnation: int = 1) -> None:
    """Of a direct call."""
    cluster.on_command_response(
        WorkerHeartbeat("m1", incarnation, sequence_number, "c8", "a", "10.0.0.9:9000", False, 7), now
    )


def greeted() -> tuple[ClusterState, Machine]:
    """A registered machine that a new leader reached directly and that has sent no heartbeat yet."""
    cluster = ClusterState(7, 0.0, Catalog({"c8": KIND}), 11.5, 2.7, overdue_s=2.25)
    cluster.failover.expect_machines([("m1", {"f": "c8", "a": "10.0.0.9:9000"})])
    answer(cluster, 1, 1.0)
    return cluster, cluster.machines["m1"]


def test_a_session_that_was_only_heard_of_directly_has_a_whole_lease_of_its_own() -> None:
    """Else (ran_twice) a machine that reaches nobody is given work directly in its second
    incarnation, and taken for lost a lease after the first answer, which came out of its first."""
    cluster, machine = greeted()
    answer(cluster, 9, 8.0, incarnation=2)
    assert not cluster.expire_leases(13.0) and not machine.lease_expired
    assert cluster.expire_leases(20.0) == [machine]


def test_a_machine_that_answers_but_does_not_report_gets_no_work() -> None:
    cluster, machine = greeted()
    cluster.expire_leases(3.0)
    assert machine.usable, "after a failover it may still be on its way here"
    answer(cluster, 2, 7.0)
    cluster.expire_leases(7.5)
    assert not machine.usable
    heartbeat(cluster, 3, 8.0)
    cluster.expire_leases(8.1)
    assert machine.usable


def test_a_machine_whose_lease_ran_out_while_it_answered_gets_no_work() -> None:
    cluster, machine = greeted()
    answer(cluster, 2, 3.0, incarnation=2)
    cluster.expire_leases(3.1)
    assert not machine.usable
    heartbeat(cluster, 3, 4.0, incarnation=2)
    heartbeat(cluster, 4, 5.0, incarnation=2)
    machine.registered = True
    cluster.expire_leases(5.1)
    assert machine.usable


def test_a_machine_that_is_gone_is_not_declared_lost_when_its_timer_is_up() -> None:
    """Else it comes back into the indices, and its name is released anew."""
    cluster, _ = cluster_of_one()
    cluster.remove_machine("m1", 3.0, "machine returned")
    cluster.pending_writes.deregistrations.clear()
    assert not cluster.expire_leases(60.0) and not cluster.pending_writes.deregistrations
    assert not cluster.index.idle and not cluster.index.ready


def test_a_look_for_silence_asks_only_the_machines_that_are_due() -> None:
    cluster = ClusterState(7, 0.0, Catalog({"c8": KIND}), 11.5, 2.7, overdue_s=4.0)
    for number in range(300):
        for sequence_number in (1, 2):
            cluster.on_heartbeat(
                WorkerHeartbeat(f"m{number}", 1, sequence_number, "c8", "a", "10.0.0.9:9000", False, 7),
                1.0 + number / 100,
            )
    assert count_calls(lambda: cluster.expire_leases(4.5)) < 20, "none is due"
    cluster.expire_leases(5.505)
    assert sum(machine.heartbeat_overdue for machine in cluster.machines.values()) == 51


def report_tasks_of_an_unknown_job(cluster: ClusterState, count: int = 2) -> None:
    tasks = [
        TaskStatus(f"run-gone/{index}", (3 << constants.ATTEMPT_COUNTER_BITS) + index, "running")
        for index in range(count)
    ]
    cluster.on_heartbeat(WorkerHeartbeat("m1", 1, 3, "c8", "a", "10.0.0.9:9000", False, 7, tasks=tasks), 3.0)


def test_tasks_of_unknown_size_on_a_machine_of_unknown_size_may_use_anything() -> None:
    """Without a catalog its room was 0, and so was what they were counted with."""
    cluster, machine = cluster_of_one()
    report_tasks_of_an_unknown_job(cluster)
    assert cluster.team_use("red").total == (8.0, 0.0) and not machine.usable
    cluster.set_catalog(Catalog({}))
    assert cluster.team_use("red").total == (float("inf"), float("inf"))


def test_the_attempts_of_a_job_are_told_in_the_order_in_which_they_were_found() -> None:
    """With a set, plays of one seed differed by what else the process had done before."""
    cluster, _ = cluster_of_one()
    report_tasks_of_an_unknown_job(cluster, 200)
    assert [attempt.index for attempt in cluster.attempts.of_job("run-gone")] == list(range(200))
