"""A fleet of 930 machines, and the loss of many at once. Cost is counted in calls of the package's own functions, in
messages and in entries, so that results do not depend on the machine that runs the tests."""

from collections.abc import Callable

import msgspec
import trio
import trio.testing

from sorrelsill import constants
from sorrelsill.http import Client, MaySend, NoAnswerError, always_allowed
from sorrelsill.model import TaskSet
from sorrelsill.store import WatchCache, chunk_key, job_key, registry_key
from sorrelsill.workers import CallLimits, CommandSender
from tests.simulation import LOSS_S, OVERDUE_S, VALIDITY_S, LeaderInMemory, array_job, count_calls

MACHINES = 930  # 1.5 times the largest fleet in the site files


def test_heartbeat_cost_does_not_grow_with_fleet() -> None:
    def calls(machines: int) -> int:
        leader = LeaderInMemory(machines)
        leader.fill(8)
        leader.now += 1.0
        name = max(leader.names, key=lambda n: (len(leader.tasks[n]) == 8, n))
        return count_calls(lambda: leader.send_heartbeat(name))

    large = calls(MACHINES)
    assert large <= calls(MACHINES // 3) and large < 60


def test_loss_of_hundreds_of_machines_is_handled_in_batches() -> None:
    """Handling thousands of lost tasks in one batch would delay lease renewals."""
    leader = LeaderInMemory(MACHINES)
    leader.fill(16)
    silent = leader.names[:400]
    lost_tasks = sum(len(leader.tasks[n]) for n in silent)
    assert lost_tasks > 6000
    while leader.now < LOSS_S - 1:
        leader.now += 1.0
        leader.all_send_heartbeats(leader.names[400:])
        assert not leader.cluster.expire_leases(leader.now)
    leader.now += 2.0
    largest_batch, lost_machines = 0, 0
    while batch := leader.cluster.expire_leases(leader.now):
        lost_machines += len(batch)
        largest_batch = max(largest_batch, sum(len(leader.tasks[machine.name]) for machine in batch))
    assert lost_machines == 400 and largest_batch <= constants.LOST_TASKS_PER_CHECK + 16
    assert sum(j.waiting for j in leader.cluster.jobs.values()) == lost_tasks
    assert not any(leader.cluster.machines[n].attempts for n in silent)
    assert not leader.cluster.index.usable.names() & set(silent)


def test_machines_with_overdue_heartbeat_get_no_new_tasks() -> None:
    """Guards against binding tasks to hung machines: those bound to fifty of them waited for a whole lease until they
    were declared lost."""
    leader = LeaderInMemory(MACHINES)
    leader.fill(0)
    leader.now += OVERDUE_S + 0.5
    healthy = leader.names[50:]
    leader.all_send_heartbeats(healthy)
    leader.add(array_job("run-n", shards=350, owner="blue"))
    leader.run_cycle()
    bound = leader.cluster.jobs["run-n"].bound
    assert len(bound) == 350 and not {a.machine.name for a in bound.values()} & set(leader.names[:50])
    leader.all_send_heartbeats(leader.names[:50])
    assert len(leader.cluster.index.usable) == MACHINES


def test_unobserved_machines_reserve_only_tasks_they_may_run() -> None:
    """Guards against counting the full capacity of silent machines after a failover: fifty of them used up the limits
    of small teams for one lease."""
    leader = LeaderInMemory(MACHINES, registered=True)
    silent = [n for n in leader.names if leader.spot(n)][:50]
    leader.add(array_job("run-old", shards=40, owner="red"), from_earlier_term=True)
    leader.add(array_job("run-ordinary", shards=40, owner="red", reclaimable=False), from_earlier_term=True)
    leader.cluster.add_ended_job(array_job("run-over", shards=20, owner="red"), TaskSet(20))
    leader.cluster.add_ended_job(array_job("run-over-ordinary", shards=20, owner="red", reclaimable=False), TaskSet(20))
    leader.cluster.failover.set_all_ended_known(True)
    reporting = [n for n in leader.names if n not in silent]
    leader.all_send_heartbeats(reporting)
    leader.all_send_heartbeats(reporting)
    leader.add(array_job("run-new", shards=700, owner="red"))
    leader.run_cycle()
    jobs = leader.cluster.jobs
    assert not jobs["run-old"].bound, "its tasks may be running on the silent machines"
    assert len(jobs["run-ordinary"].bound) == 40, "the silent machines are spot machines, which can't run them"
    assert len(jobs["run-new"].bound) == 600 - 40 - 40 - 20, "all tasks that may be running count toward the limit"
    leader.cluster.failover.set_all_ended_known(False)
    assert leader.cluster.unobserved("red") == (50 * 16.0, 0.0), (
        "the full capacity of the machines if their possible tasks are not known"
    )


def test_ended_job_with_unobserved_tasks_counts_toward_team_limit() -> None:
    leader = LeaderInMemory(60, registered=True)
    leader.add(array_job("run-old", shards=200, owner="red"), from_earlier_term=True)
    leader.cluster.failover.set_all_ended_known(True)
    assert leader.cluster.unobserved("red") == (200.0, 0.0)
    leader.cluster.end_job("run-old")
    assert leader.cluster.unobserved("red") == (200.0, 0.0) and leader.cluster.unobserved("blue") == (0.0, 0.0)
    leader.now = LOSS_S + VALIDITY_S + 1
    leader.cluster.expire_leases(leader.now)
    assert not leader.cluster.failover.unconfirmed and leader.cluster.unobserved("red") == (0.0, 0.0)


def test_malformed_or_old_registry_entry_reserves_all_tasks_it_may_run() -> None:
    leader = LeaderInMemory(60)
    for number, entry in enumerate(({"f": "std", "a": "10.1.9.9:9000"}, None, {"f": 7, "z": 7, "s": 7})):
        leader.cluster.failover.expect_machines([(f"m-old-{number}", entry)])
        leader.add(
            array_job(f"run-{number}", shards=10, owner="red", flavours=["std"], region="a", reclaimable=False), True
        )
        assert not leader.cluster.failover.is_reconciled(leader.cluster.jobs[f"run-{number}"])
    assert leader.cluster.unobserved("red")[0] > 1000, "the size of a machine of an unknown type is unknown too"
    leader.cluster.failover.set_all_ended_known(True)
    assert leader.cluster.unobserved("red") == (30.0, 0.0)


class _HungClient(Client):
    """A client of a hung machine: every call times out."""

    asked: list[float]

    async def request(
        self, method: str, target: str, body: bytes = b"", timeout: float = 1.5, may_send: MaySend = always_allowed
    ) -> tuple[int, bytes]:
        self.asked.append(trio.current_time())
        await trio.sleep(timeout)
        raise NoAnswerError("hangs")


def test_probes_of_silent_machines_back_off_and_leave_capacity_for_commands() -> None:
    asked: list[float] = []

    def client(addr: str) -> Client:
        hung_client = _HungClient(addr)
        hung_client.asked = asked
        return hung_client

    async def main() -> None:
        leader = LeaderInMemory(300, registered=True)
        limits = CallLimits.derive(1600)
        command_sender = CommandSender(client, lambda: True, lambda: True, limits)
        async with trio.open_nursery() as nursery:
            for _ in range(600):
                command_sender.probe_unconfirmed(leader.cluster, nursery)
                assert len(command_sender._busy) <= limits.probes == 24 < limits.commands
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    early, late = (sum(1 for t in asked if a <= t < a + 15) for a in (0, 45))
    assert early >= 100 and late <= 24 * 15 / constants.COMMAND_TIMEOUT_S
    assert len(asked) <= 300 * 5


def test_registry_of_all_machines_fits_smallest_value_limit() -> None:
    """The registry's parts also hold removed machines until these are known to run no tasks."""

    parts: dict[str, dict[str, object]] = {}
    for number in range(2 * MACHINES):
        name = f"m-{number:06d}"
        entry = {"f": "a-long-machine-type", "a": "10.100.200.200:9000", "z": "a-long-zone-name", "s": False}
        parts.setdefault(registry_key(name), {})[name] = entry
    assert max(len(msgspec.json.encode(p)) for p in parts.values()) < 8 * 1024 - 100


def test_failover_cost_per_job_does_not_grow_with_jobs() -> None:

    def calls(jobs: int) -> float:
        watch_cache = WatchCache.__new__(WatchCache)
        WatchCache.__init__(watch_cache, _NoStore(), 60.0)  # type: ignore[arg-type]
        watch_cache.listeners = []
        for number in range(jobs):
            watch_cache.apply_change(job_key(f"run-{number}"), {"n": 0}, number + 1, True)
            watch_cache.apply_change(chunk_key(f"run-{number}", 0), "", number + 1, True)
        list_chunks: Callable[[], object] = lambda: [watch_cache.chunks(job_id) for job_id, _, _ in watch_cache.jobs()]  # noqa: E731
        chunk_keys = 0
        for job_id, _, _ in watch_cache.jobs():
            chunk_keys += len(watch_cache._chunk_keys[job_id])
        assert chunk_keys == jobs
        return count_calls(list_chunks) / jobs

    assert calls(900) <= 1.1 * calls(100)


class _NoStore:
    class requests:  # noqa: N801
        rate = 10.0
