"""4,000 machines with jobs in proportion: what each event costs is counted in calls of the package's own functions, in
messages and in entries, and must not grow with the fleet. The verdict is the same on every machine and every time."""

from collections.abc import Callable

import msgspec
import pytest
import trio
import trio.testing

from sorrelsill import constants
from sorrelsill.http import Client, MaySend, NoAnswerError, always
from sorrelsill.jobs import RecordWriter
from sorrelsill.model import TaskSet
from sorrelsill.settings import StateLimits, Team
from sorrelsill.store import KeyValueStore, WatchCache
from sorrelsill.workers import CallLimits, CommandSender
from tests.simulation import LOSS_S, OVERDUE_S, FakeNet, FakeStore, LeaderInMemory, array_job, count_calls

SMALL, LARGE = 1000, 4000  # machines
MACHINES_PER_JOB = 8
TASKS_PER_MACHINE = 8
TERM = 7


def busy_leader(machines: int, memory_gb: float) -> LeaderInMemory:
    """Half of all CPUs are in use, with one job for eight machines; `memory_gb` of a task limits how many share one."""
    leader = LeaderInMemory(machines)
    leader.all_send_heartbeats()
    leader.all_send_heartbeats()
    tasks = MACHINES_PER_JOB * TASKS_PER_MACHINE
    for number in range(machines // MACHINES_PER_JOB):
        leader.add(
            array_job(f"run-{number}", shards=tasks, owner="blue", bundle=f"img-{number % 14}", memoryGb=memory_gb)
        )
    leader.run_cycle()
    leader.all_send_heartbeats()
    leader.all_send_heartbeats()
    leader.run_cycle()
    return leader


@pytest.fixture(scope="module")
def leaders() -> dict[int, LeaderInMemory]:
    """A small and a large fleet; each test leaves them busy and settled."""
    return {machines: busy_leader(machines, 64.0 / TASKS_PER_MACHINE) for machines in (SMALL, LARGE)}


def same_cost(calls: Callable[[LeaderInMemory], int], leaders: dict[int, LeaderInMemory]) -> int:
    """The cost of an event in the large fleet, which is that in the small one."""
    small, large = (calls(leaders[machines]) for machines in (SMALL, LARGE))
    assert large <= 1.1 * small + 5, (small, large)
    return large


# --- steady ---


def test_a_heartbeat_a_start_and_an_end_cost_the_same_in_a_large_fleet(leaders: dict[int, LeaderInMemory]) -> None:
    def report(leader: LeaderInMemory) -> int:
        name = next(name for name in leader.names if len(leader.tasks[name]) == TASKS_PER_MACHINE)
        return count_calls(lambda: leader.send_heartbeat(name))

    def start(leader: LeaderInMemory) -> int:
        leader.add(array_job("run-new", shards=1, owner="blue", bundle="img-3", memoryGb=0.0))
        return count_calls(leader.run_cycle)

    def end(leader: LeaderInMemory) -> int:
        attempt = leader.cluster.jobs["run-new"].bound[0]
        leader.send_heartbeat(attempt.machine.name)
        leader.tasks[attempt.machine.name][attempt.key] = "exited"
        cost = count_calls(lambda: leader.send_heartbeat(attempt.machine.name))
        leader.cluster.end_job("run-new")
        return cost + count_calls(leader.run_cycle)

    assert same_cost(report, leaders) < 80
    assert same_cost(start, leaders) < 400
    assert same_cost(end, leaders) < 250


def test_a_scheduling_cycle_without_changes_asks_nobody(leaders: dict[int, LeaderInMemory]) -> None:
    assert same_cost(lambda leader: count_calls(leader.run_cycle), leaders) < 60


def test_an_unschedulable_job_costs_a_scheduling_cycle_the_same(leaders: dict[int, LeaderInMemory]) -> None:
    """Nobody has 16 CPUs free; what is too full is never asked."""

    def wait(leader: LeaderInMemory) -> int:
        leader.add(array_job("run-large", shards=1, vcpus=16.0, owner="blue", rank="best_effort"))
        cost = count_calls(leader.run_cycle)
        assert leader.scheduler.unschedulable["run-large"].count == 1
        leader.cluster.end_job("run-large")
        leader.run_cycle()
        return cost

    assert same_cost(wait, leaders) < 200


# --- loss of a zone ---


def test_a_zone_with_half_of_4000_machines_is_lost_in_stretches() -> None:
    leader = busy_leader(LARGE, 3.0)
    dark = {name for name in leader.names if leader.zone(name) == "a"}
    others = [name for name in leader.names if name not in dark]
    lost_tasks = sum(len(leader.tasks[name]) for name in dark)
    assert lost_tasks > 15_000
    while leader.now < LOSS_S + 0.3:
        leader.now += 1.0
        leader.all_send_heartbeats(others)
        if leader.now > OVERDUE_S + 1.0:
            leader.cluster.expire_leases(leader.now)
            assert len(leader.cluster.index.ready) <= len(others), "no new work goes where silence began"
    stretches, declared = [], len([m for m in leader.cluster.machines.values() if m.lease_expired])
    assert declared < 100
    while batch := leader.cluster.expire_leases(leader.now):
        stretches.append(sum(len(leader.tasks[machine.name]) for machine in batch))
        declared += len(batch)
    assert declared == len(dark) and max(stretches) <= constants.EXPIRE_TASKS + TASKS_PER_MACHINE * 2
    assert len(stretches) <= lost_tasks / constants.EXPIRE_TASKS + 2
    waiting = sum(job.waiting for job in leader.cluster.jobs.values())
    assert waiting == lost_tasks
    leader.run_cycle()
    assert sum(job.waiting for job in leader.cluster.jobs.values()) == 0, "the other zone had room for all"


# --- change of leader ---


class _Answering(Client):
    """A worker that answers probes; half of the machines hang."""

    asked: dict[str, int]

    async def request(
        self, method: str, target: str, body: bytes = b"", timeout: float = 1.5, may_send: MaySend = always
    ) -> tuple[int, bytes]:
        self.asked[self.addr] = self.asked.get(self.addr, 0) + 1
        await trio.sleep(0.002)
        number = int(self.addr.split(".")[2]) * 250 + int(self.addr.split(".")[3].partition(":")[0])
        if number % 2:
            await trio.sleep(timeout)
            raise NoAnswerError("hangs")
        fencing_token = TERM if target == "/commands" else TERM - 1
        return 200, msgspec.msgpack.encode(
            {
                "host": f"m-{number:06d}",
                "tenure": 1,
                "serial": self.asked[self.addr],
                "epoch": fencing_token,
                "flavour": "std",
                "region": "ab"[number % 2],
                "addr": self.addr,
                "reclaimable": number % 3 == 0,
                "shards": [],
            }
        )


@pytest.mark.parametrize("machines", [LARGE, 2 * LARGE])
def test_a_new_leader_probes_each_machine_once_and_hanging_ones_ever_less(machines: int) -> None:
    asked: dict[str, int] = {}

    def client(addr: str) -> Client:
        made = _Answering(addr)
        made.asked = asked
        return made

    async def main() -> None:
        leader = LeaderInMemory(machines, registered=True)
        limits = CallLimits.derive(3 * machines)
        command_sender = CommandSender(client, lambda: True, lambda: True, limits)
        heard_after = None
        async with trio.open_nursery() as nursery:
            while trio.current_time() < 30.0:
                command_sender.probe_unconfirmed(leader.cluster, nursery)
                assert len(command_sender._busy) <= limits.probes
                if heard_after is None and len(leader.cluster.failover.unconfirmed) == machines // 2:
                    heard_after = trio.current_time()
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        assert heard_after is not None and heard_after < LOSS_S, heard_after

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    answering = [count for addr, count in asked.items() if int(addr.split(".")[3].partition(":")[0]) % 2 == 0]
    assert set(answering) == {2}, "one question for its state, one that shows the token"
    assert sum(asked.values()) <= machines + machines // 2 * 5


def test_a_failover_costs_each_machine_the_same_in_a_large_fleet() -> None:
    def cost(machines: int) -> float:
        leader = LeaderInMemory(machines, registered=True)
        for number in range(machines // MACHINES_PER_JOB):
            leader.add(array_job(f"run-{number}", shards=64, owner="blue"), from_earlier_term=True)
        leader.cluster.failover.set_all_ended_known(True)
        calls = count_calls(lambda: leader.all_send_heartbeats(leader.names))
        assert not leader.cluster.failover.unconfirmed or len(leader.cluster.failover.unconfirmed) == machines
        return calls / machines

    assert cost(LARGE) <= 1.1 * cost(SMALL)


def test_what_jobs_lately_over_left_costs_each_machine_the_same_in_a_large_fleet() -> None:
    def cost(machines: int) -> float:
        leader = LeaderInMemory(machines, registered=True, teams=[Team("red", cpus_max=float(machines))])
        tasks = 2 * MACHINES_PER_JOB
        for number in range(machines // MACHINES_PER_JOB):
            leader.cluster.add_ended_job(array_job(f"run-{number}", shards=tasks, owner="red"), TaskSet(tasks))
        leader.cluster.failover.set_all_ended_known(True)
        for number, name in enumerate(leader.names):
            job_id, index = f"run-{number // MACHINES_PER_JOB}", 2 * (number % MACHINES_PER_JOB)
            leader.tasks[name] = {(f"{job_id}/{index + more}", 1): "running" for more in (0, 1)}
        assert leader.cluster.team_use("red").total.cpus == 2.0 * machines, "as many as may be left of these jobs"
        calls = count_calls(lambda: leader.all_send_heartbeats(leader.names))
        assert leader.cluster.team_use("red").total.cpus == 2.0 * machines, "all are found, and none is gone yet"
        leader.all_send_heartbeats(leader.names)
        assert leader.cluster.team_use("red").total.cpus == 0.0
        return calls / machines

    assert cost(LARGE) <= 1.1 * cost(SMALL)


# --- cold start ---


@pytest.mark.parametrize("machines", [LARGE, 2 * LARGE])
def test_machines_that_come_up_together_are_registered_at_the_smallest_stores_rate(machines: int) -> None:
    """In values of 8 KiB, of which one holds some 60 machines: the parts go on in further keys, and each machine is
    written once."""

    async def main() -> None:
        leader = LeaderInMemory(machines)
        async with trio.open_nursery() as nursery:
            net, fake = FakeNet(nursery), FakeStore(txn_ops=40, value_kb=8.0)
            fake.lower_limits(8.0, 40, 50.0)
            net.handlers["store"] = fake.handle
            store = KeyValueStore(net.client("n0")("store"), StateLimits(150.0, 50.0, 8.0, 40), 3)
            store.set_leading(True)
            watch_cache = WatchCache(store, 60.0)
            nursery.start_soon(watch_cache.run)
            fake.kv["s/leader"] = ({"label": "n0"}, TERM, None)
            for name in leader.names:
                leader.send_heartbeat(name)
                leader.send_heartbeat(name)
            writer = RecordWriter(store, watch_cache, leader.cluster, lambda: True)
            while len(leader.cluster.index.ready) < machines and trio.current_time() < 60.0:
                await writer.step()
                await trio.sleep(constants.WRITER_TICK_S)
            assert len(leader.cluster.index.ready) == machines and trio.current_time() < 20.0
            assert not fake.refusals
            entries = [name for key, (value, _, _) in fake.kv.items() if key.startswith("s/m/") for name in value]
            assert sorted(entries) == leader.names
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
