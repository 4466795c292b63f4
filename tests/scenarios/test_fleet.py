"""Some 930 machines, and many that fall together. Work is counted in calls of the package's own functions, in messages
and in entries, so that the verdict is the same on every machine and every time."""

from collections.abc import Callable

import msgspec
import trio
import trio.testing

from sorrelsill import constants
from sorrelsill.http import Client, MaySend, NoAnswerError, always
from sorrelsill.model import TaskSet
from sorrelsill.store import WatchCache, chunk_key, job_key, registry_key
from sorrelsill.workers import CallLimits, CommandSender
from tests.simulation import LOSS_S, OVERDUE_S, VALIDITY_S, LeaderInMemory, array_job, count_calls

MACHINES = 930  # the largest fleet of the site files and half as many again


def test_a_regular_heartbeat_costs_the_same_in_a_small_and_in_a_large_fleet() -> None:
    def calls(machines: int) -> int:
        leader = LeaderInMemory(machines)
        leader.fill(8)
        leader.now += 1.0
        name = max(leader.names, key=lambda n: (len(leader.tasks[n]) == 8, n))
        return count_calls(lambda: leader.send_heartbeat(name))

    large = calls(MACHINES)
    assert large <= calls(MACHINES // 3) and large < 60


def test_hundreds_of_machines_lost_at_once_are_given_up_in_stretches() -> None:
    """Thousands of tasks in one stretch would delay lease renewals."""
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
    most, lost = 0, 0
    while batch := leader.cluster.expire_leases(leader.now):
        lost += len(batch)
        most = max(most, sum(len(leader.tasks[h.name]) for h in batch))
    assert lost == 400 and most <= constants.EXPIRE_TASKS + 16
    assert sum(j.waiting for j in leader.cluster.jobs.values()) == lost_tasks
    assert not any(leader.cluster.machines[n].attempts for n in silent)
    assert not leader.cluster.index.ready.names() & set(silent)


def test_machines_with_an_overdue_heartbeat_get_no_new_work_before_the_next_one() -> None:
    """Guards against this: what was bound to fifty machines that hung waited for a lease to be proved lost."""
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
    assert len(leader.cluster.index.ready) == MACHINES


def test_machines_without_a_heartbeat_yet_reserve_only_what_may_run_on_them() -> None:
    """After a failover with fifty silent machines, their whole size filled each small team's limit for a lease."""
    leader = LeaderInMemory(MACHINES, registered=True)
    silent = [n for n in leader.names if leader.spot(n)][:50]
    leader.add(array_job("run-old", shards=40, owner="red"), from_earlier_term=True)
    leader.add(array_job("run-ordinary", shards=40, owner="red", reclaimable=False), from_earlier_term=True)
    leader.cluster.add_ended_job(array_job("run-over", shards=20, owner="red"), TaskSet(20))
    leader.cluster.add_ended_job(array_job("run-over-ordinary", shards=20, owner="red", reclaimable=False), TaskSet(20))
    leader.cluster.failover.set_all_ended_known(True)
    heard = [n for n in leader.names if n not in silent]
    leader.all_send_heartbeats(heard)
    leader.all_send_heartbeats(heard)
    leader.add(array_job("run-new", shards=700, owner="red"))
    leader.run_cycle()
    jobs = leader.cluster.jobs
    assert not jobs["run-old"].bound, "its tasks may be running there"
    assert len(jobs["run-ordinary"].bound) == 40, "a spot machine can't hold them"
    assert len(jobs["run-new"].bound) == 600 - 40 - 40 - 20, "all that may be running counts toward the limit"
    leader.cluster.failover.set_all_ended_known(False)
    assert leader.cluster.unobserved("red") == (50 * 16.0, 0.0), "and the whole machines if that can't be told"


def test_a_job_that_ends_unseen_still_counts_toward_its_teams_limit() -> None:
    leader = LeaderInMemory(60, registered=True)
    leader.add(array_job("run-old", shards=200, owner="red"), from_earlier_term=True)
    leader.cluster.failover.set_all_ended_known(True)
    assert leader.cluster.unobserved("red") == (200.0, 0.0)
    leader.cluster.end_job("run-old")
    assert leader.cluster.unobserved("red") == (200.0, 0.0) and leader.cluster.unobserved("blue") == (0.0, 0.0)
    leader.now = LOSS_S + VALIDITY_S + 1
    leader.cluster.expire_leases(leader.now)
    assert not leader.cluster.failover.unconfirmed and leader.cluster.unobserved("red") == (0.0, 0.0)


def test_a_damaged_or_older_registry_entry_reserves_whatever_may_run_there() -> None:
    leader = LeaderInMemory(60)
    for number, entry in enumerate(({"f": "std", "a": "10.1.9.9:9000"}, None, {"f": 7, "z": 7, "s": 7})):
        leader.cluster.failover.expect_machines([(f"m-old-{number}", entry)])
        leader.add(
            array_job(f"run-{number}", shards=10, owner="red", flavours=["std"], region="a", reclaimable=False), True
        )
        assert not leader.cluster.failover.reconciled(leader.cluster.jobs[f"run-{number}"])
    assert leader.cluster.unobserved("red")[0] > 1000, "of a type that is not known the size is not known either"
    leader.cluster.failover.set_all_ended_known(True)
    assert leader.cluster.unobserved("red") == (30.0, 0.0)


class _Silent(Client):
    """A machine that hangs: calls run into their time-out."""

    asked: list[float]

    async def request(
        self, method: str, target: str, body: bytes = b"", timeout: float = 1.5, may_send: MaySend = always
    ) -> tuple[int, bytes]:
        self.asked.append(trio.current_time())
        await trio.sleep(timeout)
        raise NoAnswerError("hangs")


def test_probes_of_silent_machines_back_off_and_leave_capacity_for_starts() -> None:
    asked: list[float] = []

    def client(addr: str) -> Client:
        made = _Silent(addr)
        made.asked = asked
        return made

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


def test_a_registry_of_all_machines_fits_the_smallest_value() -> None:
    """Its parts hold machines of the past as well until they are proved empty."""

    parts: dict[str, dict[str, object]] = {}
    for number in range(2 * MACHINES):
        name = f"m-{number:06d}"
        entry = {"f": "a-long-machine-type", "a": "10.100.200.200:9000", "z": "a-long-zone-name", "s": False}
        parts.setdefault(registry_key(name), {})[name] = entry
    assert max(len(msgspec.json.encode(p)) for p in parts.values()) < 8 * 1024 - 100


def test_a_failover_costs_each_job_the_same_however_many_there_are() -> None:

    def calls(jobs: int) -> float:
        watch_cache = WatchCache.__new__(WatchCache)
        WatchCache.__init__(watch_cache, _NoStore(), 60.0)  # type: ignore[arg-type]
        watch_cache.listeners = []
        for number in range(jobs):
            watch_cache.apply_change(job_key(f"run-{number}"), {"n": 0}, number + 1, True)
            watch_cache.apply_change(chunk_key(f"run-{number}", 0), "", number + 1, True)
        found: Callable[[], object] = lambda: [watch_cache.chunks(job_id) for job_id, _, _ in watch_cache.jobs()]  # noqa: E731
        steps = 0
        for job_id, _, _ in watch_cache.jobs():
            steps += len(watch_cache._chunk_keys[job_id])
        assert steps == jobs
        return count_calls(found) / jobs

    assert calls(900) <= 1.1 * calls(100)


class _NoStore:
    class requests:  # noqa: N801
        rate = 10.0
