"""A fleet of 4,000 machines with jobs in proportion: the cost of each event must not grow with the fleet.

Cost is counted in calls of the package's own functions, in messages and in entries, so that results do not depend on
the machine that runs the tests."""

from collections.abc import Callable

import msgspec
import pytest
import trio
import trio.testing

from sorrelsill import constants
from sorrelsill.http import Client, MaySend, NoAnswerError, always_allowed
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
    """A leader with half of all CPUs in use and one job per eight machines. `memory_gb` per task limits how many tasks
    share a machine."""
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
    """A small and a large fleet, shared by tests: each test leaves them as busy as before, with no pending changes."""
    return {machines: busy_leader(machines, 64.0 / TASKS_PER_MACHINE) for machines in (SMALL, LARGE)}


def check_same_cost(calls: Callable[[LeaderInMemory], int], leaders: dict[int, LeaderInMemory]) -> int:
    """Checks that an event costs the same in both fleets. Returns its cost in the large one."""
    small, large = (calls(leaders[machines]) for machines in (SMALL, LARGE))
    assert large <= 1.1 * small + 5, (small, large)
    return large


# --- steady state ---


def test_cost_of_heartbeat_start_and_end_does_not_grow_with_fleet(leaders: dict[int, LeaderInMemory]) -> None:
    def heartbeat(leader: LeaderInMemory) -> int:
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

    assert check_same_cost(heartbeat, leaders) < 80
    assert check_same_cost(start, leaders) < 400
    assert check_same_cost(end, leaders) < 250


def test_cost_of_cycle_without_changes_does_not_grow_with_fleet(leaders: dict[int, LeaderInMemory]) -> None:
    assert check_same_cost(lambda leader: count_calls(leader.run_cycle), leaders) < 60


def test_cost_of_unschedulable_job_does_not_grow_with_fleet(leaders: dict[int, LeaderInMemory]) -> None:
    """No machine has 16 CPUs free; machines without enough free CPUs are not even checked."""

    def add_unschedulable(leader: LeaderInMemory) -> int:
        leader.add(array_job("run-large", shards=1, vcpus=16.0, owner="blue", rank="best_effort"))
        cost = count_calls(leader.run_cycle)
        assert leader.scheduler.unschedulable["run-large"].count == 1
        leader.cluster.end_job("run-large")
        leader.run_cycle()
        return cost

    assert check_same_cost(add_unschedulable, leaders) < 200


# --- loss of a zone ---


def test_loss_of_zone_with_half_of_machines_is_handled_in_batches() -> None:
    leader = busy_leader(LARGE, 3.0)
    lost = {name for name in leader.names if leader.zone(name) == "a"}
    others = [name for name in leader.names if name not in lost]
    lost_tasks = sum(len(leader.tasks[name]) for name in lost)
    assert lost_tasks > 15_000
    while leader.now < LOSS_S + 0.3:
        leader.now += 1.0
        leader.all_send_heartbeats(others)
        if leader.now > OVERDUE_S + 1.0:
            leader.cluster.expire_leases(leader.now)
            assert len(leader.cluster.index.usable) <= len(others), "silent machines get no new tasks"
    batch_sizes, declared_lost = [], len([m for m in leader.cluster.machines.values() if m.lease_expired])
    assert declared_lost < 100
    while batch := leader.cluster.expire_leases(leader.now):
        batch_sizes.append(sum(len(leader.tasks[machine.name]) for machine in batch))
        declared_lost += len(batch)
    assert declared_lost == len(lost) and max(batch_sizes) <= constants.LOST_TASKS_PER_CHECK + TASKS_PER_MACHINE * 2
    assert len(batch_sizes) <= lost_tasks / constants.LOST_TASKS_PER_CHECK + 2
    waiting = sum(job.waiting for job in leader.cluster.jobs.values())
    assert waiting == lost_tasks
    leader.run_cycle()
    assert sum(job.waiting for job in leader.cluster.jobs.values()) == 0, "the other zone has room for all"


# --- change of leader ---


class _HalfHungClient(Client):
    """A client of workers: odd-numbered machines hang, the others answer probes."""

    asked: dict[str, int]

    async def request(
        self, method: str, target: str, body: bytes = b"", timeout: float = 1.5, may_send: MaySend = always_allowed
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
def test_new_leader_probes_each_machine_and_backs_off_from_hung_ones(machines: int) -> None:
    asked: dict[str, int] = {}

    def client(addr: str) -> Client:
        worker_client = _HalfHungClient(addr)
        worker_client.asked = asked
        return worker_client

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
    assert set(answering) == {2}, "one call for its state, one that shows the fencing token"
    assert sum(asked.values()) <= machines + machines // 2 * 5


def test_failover_cost_per_machine_does_not_grow_with_fleet() -> None:
    def cost(machines: int) -> float:
        leader = LeaderInMemory(machines, registered=True)
        for number in range(machines // MACHINES_PER_JOB):
            leader.add(array_job(f"run-{number}", shards=64, owner="blue"), from_earlier_term=True)
        leader.cluster.failover.set_all_ended_known(True)
        calls = count_calls(lambda: leader.all_send_heartbeats(leader.names))
        assert not leader.cluster.failover.unconfirmed or len(leader.cluster.failover.unconfirmed) == machines
        return calls / machines

    assert cost(LARGE) <= 1.1 * cost(SMALL)


def test_cost_of_tasks_left_by_ended_jobs_does_not_grow_with_fleet() -> None:
    def cost(machines: int) -> float:
        leader = LeaderInMemory(machines, registered=True, teams=[Team("red", cpus_max=float(machines))])
        tasks = 2 * MACHINES_PER_JOB
        for number in range(machines // MACHINES_PER_JOB):
            leader.cluster.add_ended_job(array_job(f"run-{number}", shards=tasks, owner="red"), TaskSet(tasks))
        leader.cluster.failover.set_all_ended_known(True)
        for number, name in enumerate(leader.names):
            job_id, index = f"run-{number // MACHINES_PER_JOB}", 2 * (number % MACHINES_PER_JOB)
            leader.tasks[name] = {(f"{job_id}/{index + more}", 1): "running" for more in (0, 1)}
        assert leader.cluster.team_use("red").total.cpus == 2.0 * machines, "all tasks that may be left of these jobs"
        calls = count_calls(lambda: leader.all_send_heartbeats(leader.names))
        assert leader.cluster.team_use("red").total.cpus == 2.0 * machines, "all are found, and none has ended yet"
        leader.all_send_heartbeats(leader.names)
        assert leader.cluster.team_use("red").total.cpus == 0.0
        return calls / machines

    assert cost(LARGE) <= 1.1 * cost(SMALL)


# --- cold start ---


@pytest.mark.parametrize("machines", [LARGE, 2 * LARGE])
def test_machines_starting_together_are_registered_within_store_limits(machines: int) -> None:
    """With values of 8 KiB, which hold about 60 machines each, the registry's parts continue in further keys, and each
    machine is written once."""

    async def main() -> None:
        leader = LeaderInMemory(machines)
        async with trio.open_nursery() as nursery:
            net, fake_store = FakeNet(nursery), FakeStore(txn_ops=40, value_kb=8.0)
            fake_store.lower_limits(8.0, 40, 50.0)
            net.handlers["store"] = fake_store.handle
            store = KeyValueStore(net.client("n0")("store"), StateLimits(150.0, 50.0, 8.0, 40), 3)
            store.set_leading(True)
            watch_cache = WatchCache(store, 60.0)
            nursery.start_soon(watch_cache.run)
            fake_store.kv["s/leader"] = ({"label": "n0"}, TERM, None)
            for name in leader.names:
                leader.send_heartbeat(name)
                leader.send_heartbeat(name)
            writer = RecordWriter(store, watch_cache, leader.cluster, lambda: True)
            while len(leader.cluster.index.usable) < machines and trio.current_time() < 60.0:
                await writer.step()
                await trio.sleep(constants.WRITER_TICK_S)
            assert len(leader.cluster.index.usable) == machines and trio.current_time() < 20.0
            assert not fake_store.refusals
            entries = [name for key, (value, _, _) in fake_store.kv.items() if key.startswith("s/m/") for name in value]
            assert sorted(entries) == leader.names
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
