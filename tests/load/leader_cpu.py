"""Measure the leader's processor time per second of operation, by component, at several fleet sizes.

    python -m tests.load.leader_cpu --machines 930 2000 4000 --seconds 30

The leader's own code runs on simulated machines and jobs, without a network. The rates of jobs are those of the largest
site, scaled with the number of machines. Not part of CI: the figures depend on the machine that measures."""

from __future__ import annotations

import heapq
import random
import time
from collections import deque
from collections.abc import Callable
from contextlib import AbstractContextManager
from types import TracebackType

import click
import msgspec
import trio
import trio.testing
from hdrh.histogram import HdrHistogram

from sorrelsill import constants
from sorrelsill.fleet import CloudClient, FleetManager, FleetSettings
from sorrelsill.fleet.machine_list import ListedMachine
from sorrelsill.http import Client, Reply, Request, Server
from sorrelsill.jobs import RecordWriter
from sorrelsill.model import JobSpec
from sorrelsill.settings import CloudLimits, StateLimits, Team
from sorrelsill.store import KeyValueStore, WatchCache
from sorrelsill.workers import HeartbeatResponse, enforce_gang_completeness, parse_heartbeat
from tests.simulation.leader_in_memory import LeaderInMemory, array_job

STEP_S = 0.05  # s; simulated time of one step, about one scheduling cycle
HEARTBEAT_S = 2.5  # s; the interval between heartbeats
BASE_MACHINES = 617  # machines; size of the largest site, for which the numbers of jobs below hold
BASE_SERVICES = 63  # jobs; running from the start
ARRAYS_PER_S = 43 / 60  # jobs/s; each of 50 one-CPU tasks that run for about 25 s
SWEEPS_PER_S = 36 / 60  # jobs/s; each of 25 two-CPU tasks that run for about 70 s
MAX_STEP_US = 60_000_000  # us; upper bound of the histograms
FRAMING_REQUESTS = 2000  # requests over which the cost of one is averaged

_encode = msgspec.msgpack.Encoder().encode


class _Component(AbstractContextManager["_Component"]):
    """Processor time of one component of the leader: the total, and a histogram over its steps."""

    def __init__(self) -> None:
        self.cpu_s = 0.0
        self.steps_us = HdrHistogram(1, MAX_STEP_US, 2)
        self._started_at = 0.0

    def __enter__(self) -> _Component:
        self._started_at = time.process_time()
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        spent = time.process_time() - self._started_at
        self.cpu_s += spent
        self.steps_us.record_value(max(1, int(spent * 1e6)))

    def at_percentile_ms(self, percentile: float) -> float:
        """Return this percentile of the duration of its steps."""
        return float(self.steps_us.get_value_at_percentile(percentile)) / 1000


class Load:
    """Simulates machines that send heartbeats and jobs that start and end, and measures the leader's components."""

    def __init__(self, machines: int, burst: float, seed: int) -> None:
        teams = [Team("blue", cpus=machines * 8.0), Team("green", cpus=machines * 4.0)]
        self.leader = LeaderInMemory(machines, teams=teams)
        self._scale = machines / BASE_MACHINES
        self._burst = burst
        self._rng = random.Random(seed)
        self._job_count = 0
        self._due = {"array": 0.0, "sweep": 0.0}  # jobs to submit by kind; fractions accumulate over the steps
        self._task_ends: list[tuple[float, str, tuple[str, int]]] = []
        self._changed: set[str] = set()  # machines on which a task has ended since their last heartbeat
        self._schedule = deque(self.leader.names)
        self.components = {name: _Component() for name in ("reports", "losses", "rounds", "records", "fleet", "list")}
        cloud = CloudClient(Client("10.0.0.1:1"), CloudLimits(5.0, 12.0))
        self._fleet = FleetManager(
            cloud,
            self.leader.cluster,
            lambda: True,
            lambda: list(self.leader.scheduler.unschedulable.values()),
            FleetSettings(True, 12.0, {"service"}),
        )
        self._fleet.state.lists_read = 1
        store = KeyValueStore(Client("10.0.0.1:2"), StateLimits(1e6, 1e6, 32.0, 40), 3)
        self._record_writer = RecordWriter(store, WatchCache(store, 60.0), self.leader.cluster, lambda: True)
        self.heartbeats = 0
        self.max_waiting = 0

    def _add(self, name: str, **fields: object) -> None:
        self._job_count += 1
        owner = ("blue", "green")[self._job_count % 2]
        spec: JobSpec = array_job(f"run-{self._job_count:06d}", owner=owner, workload=name, **fields)
        self.leader.add(spec)

    def start(self) -> None:
        """Register all machines and start the services."""
        self.leader.all_send_heartbeats()
        self.leader.all_send_heartbeats()
        for _ in range(int(BASE_SERVICES * self._scale)):
            self._add("service", shape="standing", rank="prod", shards=7, vcpus=4.0, memoryGb=13.0, expectedRunS=0.0)
        self.leader.run_cycle()
        self.leader.all_send_heartbeats()

    def _submit_due_jobs(self) -> None:
        for name, rate, shards, cpus, run_s in (
            ("array", ARRAYS_PER_S, 50, 1.0, 25.0),
            ("sweep", SWEEPS_PER_S, 25, 2.0, 70.0),
        ):
            self._due[name] += rate * self._scale * self._burst * STEP_S
            while self._due[name] >= 1.0:
                self._due[name] -= 1.0
                rank = "standard" if name == "array" else "best_effort"
                image = f"img-{self._rng.randrange(14)}"
                self._add(name, shards=shards, vcpus=cpus, rank=rank, bundle=image, expectedRunS=run_s)

    def _end_due_tasks(self) -> None:
        now = self.leader.now
        while self._task_ends and self._task_ends[0][0] <= now:
            _, name, key = heapq.heappop(self._task_ends)
            if self.leader.tasks[name].get(key) == "running":
                self.leader.tasks[name][key] = "exited"
                self._changed.add(name)

    def _send_heartbeat(self, name: str) -> None:
        leader = self.leader
        body = _encode(leader.next_heartbeat(name))
        with self.components["reports"]:
            commands = leader.cluster.on_heartbeat(parse_heartbeat(body), leader.now) or []
            _encode(HeartbeatResponse(leader.cluster.term, commands))
        before = set(leader.tasks[name])
        leader.execute(name, commands)
        self.heartbeats += 1
        for key in leader.tasks[name].keys() - before:
            spec = leader.cluster.jobs[key[0].rpartition("/")[0]].spec
            if not spec.is_service:
                heapq.heappush(
                    self._task_ends, (leader.now + spec.expected_run_s * self._rng.uniform(0.6, 1.4), name, key)
                )

    def _send_due_heartbeats(self) -> None:
        count = max(1, int(len(self._schedule) * STEP_S / HEARTBEAT_S))
        regular = set(self._schedule[i] for i in range(count))
        self._schedule.rotate(-count)
        pushed = set(self.leader.cluster.machines_with_pending_commands)
        self.leader.cluster.machines_with_pending_commands.clear()
        due = regular | self._changed | pushed
        self._changed.clear()
        for name in sorted(due):
            self._send_heartbeat(name)

    def _commit_records(self) -> None:
        """Update the cluster state as the record writer does once a write is committed. Only its search for due
        records is measured, with every live job's progress due."""
        cluster = self.leader.cluster
        if self.leader.now % constants.WRITER_TICK_S < STEP_S:
            due, cluster.pending_writes.records = cluster.pending_writes.records, set(cluster.jobs)
            with self.components["records"]:
                self._record_writer.due_records()
            cluster.pending_writes.records = due
        for job_id in list(cluster.pending_writes.records):
            job = cluster.jobs.get(job_id)
            for attempt in cluster.attempts.unrecorded(job_id):
                attempt.may_be_cleared = True
            if job is not None and job.done.count == job.spec.task_count and not job.spec.is_service:
                cluster.end_job(job_id)
        cluster.pending_writes.records.clear()

    def step(self) -> None:
        """Advance simulated time by one step."""
        leader, cluster = self.leader, self.leader.cluster
        leader.now += STEP_S
        self._submit_due_jobs()
        self._end_due_tasks()
        self._send_due_heartbeats()
        self._commit_records()
        with self.components["losses"]:
            cluster.expire_leases(leader.now)
            cluster.stop_tasks_on_reclaimed_machines(leader.now)
            enforce_gang_completeness(cluster)
        with self.components["rounds"]:
            leader.scheduler.run_cycle(cluster, leader.now, time.process_time, constants.CYCLE_BUDGET_S)
        self.max_waiting = max(self.max_waiting, len(leader.scheduler.unschedulable))
        if leader.now % constants.PLAN_EVERY_S < STEP_S:
            with self.components["fleet"]:
                self._fleet.scale_in.choose_machines(leader.now)
                self._fleet.scale_out.plan(leader.now)
            self._fleet.scale_out.open_requests.clear()
        if leader.now % constants.LIST_EVERY_S < STEP_S:
            found = {name: ListedMachine(name, "running", age_s=leader.now) for name in leader.names}
            with self.components["list"]:
                self._fleet.apply_machine_list(found, leader.now)


def measure_framing_s() -> float:
    """Return the processor time of one HTTP heartbeat request and response over memory streams, client included."""
    body = _encode(LeaderInMemory(1).next_heartbeat("m-000000"))

    async def answer(request: Request) -> Reply:
        return Reply(200, body)

    async def main() -> float:
        here, there = trio.testing.memory_stream_pair()

        async def connect(addr: str) -> trio.abc.Stream:
            return here

        async with trio.open_nursery() as nursery:
            nursery.start_soon(Server(answer, 4).serve_stream, there)
            client = Client("10.0.0.1:80", connect)
            started_at = time.process_time()
            for _ in range(FRAMING_REQUESTS):
                await client.request("POST", "/hello", body)
            spent = time.process_time() - started_at
            nursery.cancel_scope.cancel()
        return spent / FRAMING_REQUESTS

    return trio.run(main)


def measure(
    machines: int, seconds: float, burst: float, seed: int, exchange_s: float, echo: Callable[[str], None]
) -> None:
    """Simulate the load for some seconds and print the processor time of each component."""
    load = Load(machines, burst, seed)
    load.start()
    while load.leader.now < seconds:
        load.step()
    total = sum(component.cpu_s for component in load.components.values()) / seconds
    rate = load.heartbeats / seconds
    framing = rate * exchange_s
    echo(
        f"{machines} machines, jobs at {burst:g} of the usual rate: {total:.3f} s/s, with framing {total + framing:.3f}"
        f" ({rate:.0f} reports/s, {len(load.leader.cluster.jobs)} live jobs, {load.max_waiting} waiting at most)"
    )
    for name, component in load.components.items():
        steps = ", ".join(f"{p:g}%: {component.at_percentile_ms(p):.2f} ms" for p in (50, 99, 100))
        echo(f"  {name:8} {component.cpu_s / seconds:.4f} s/s; a step {steps}")
    echo(f"  {'framing':8} {framing:.4f} s/s")


@click.command()
@click.option("--machines", multiple=True, type=int, default=(930, 2000, 4000), show_default=True)
@click.option("--seconds", default=30.0, show_default=True, help="simulated time for each size")
@click.option("--burst", default=1.0, show_default=True, help="rate of jobs, in multiples of the usual one")
@click.option("--seed", default=1, show_default=True)
def main(machines: tuple[int, ...], seconds: float, burst: float, seed: int) -> None:
    """Print the leader's processor time per second of operation."""

    async def run_load(count: int, framing: float) -> None:
        measure(count, seconds, burst, seed, framing, click.echo)

    framing = measure_framing_s()
    for count in machines:
        # The fleet manager reads the event loop's clock, so it needs a running loop.
        trio.run(run_load, count, framing, clock=trio.testing.MockClock())


if __name__ == "__main__":
    main()
