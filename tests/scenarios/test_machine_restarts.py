"""Machines that restart and keep their name and address.

The worker of a restarted machine remembers nothing: no task, no fencing token, and its incarnation and sequence numbers
begin again. So it accepts every direct command that names the first incarnation, and its messages look like late copies
of its predecessor's. In every scenario the simulation checks the protocol's rules."""

import pytest
import trio

from sorrelsill.http import Request
from tests.scenarios.test_gang_scheduling import gang_job
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.recorded_messages import record_messages
from tests.simulation.rules import CANCEL_S, LEASE_S
from tests.simulation.users import LABELS

# s; shorter than the silence after which a heartbeat is overdue, longer than that, near the lease, beyond it
DOWN_S = (0.2, 1.0, 1.8, 4.0, LEASE_S - 1.0, LEASE_S + 1.0, 2 * LEASE_S)
# s; a new worker does not reach the sequence numbers of a predecessor of this age within a lease
WARM_UP_S = 2 * LEASE_S
DETECTED_S = LEASE_S / 2  # s; a restart is noticed, and the lost tasks run again, long before a lease expires


def short_task(job_id: str, **fields: object) -> dict[str, object]:
    """Return a job of one task whose image is on every machine, so that an executed start begins it at once."""
    return job(job_id, **{"shards": 1, "vcpus": 1.0, "sizeGb": 0.0, "expectedRunS": 90.0, **fields})


async def machine_of(simulation: SimulatedCluster, job_id: str) -> str:
    """Return the machine that runs the job's only task, once it does."""
    await simulation.until(lambda: len(simulation.running(job_id)) == 1)
    return simulation.running(job_id)[0][1]


async def two_machines(simulation: SimulatedCluster) -> tuple[str, str]:
    """Start two machines and return their names: one that is empty, and one that the services run-keep and run-other
    fill. There are no others."""
    await simulation.submit(service("run-keep", shards=1, vcpus=2.0, region="b"))
    await simulation.submit(job("run-first", shards=1, vcpus=8.0, region="a", expectedRunS=WARM_UP_S))
    name, other = await machine_of(simulation, "run-first"), await machine_of(simulation, "run-keep")
    simulation.cloud.capacity = 0
    await simulation.submit(service("run-other", shards=1, vcpus=6.0, region="b"))
    assert await machine_of(simulation, "run-other") == other
    await simulation.until_phase("run-first", "done")
    return name, other


async def until_next_heartbeat(simulation: SimulatedCluster, name: str) -> None:
    """Wait until the machine has sent a heartbeat and got its answer."""
    worker = simulation.workers[name]
    renewed_at = worker.lease_renewed_at
    await simulation.until(lambda: worker.lease_renewed_at > renewed_at, 10)


def starts_of(simulation: SimulatedCluster, job_id: str) -> int:
    """Return how many times tasks of the job have begun."""
    return sum(1 for _, task_id, _ in simulation.starts if task_id.startswith(job_id + "/"))


@pytest.mark.parametrize("down_s", DOWN_S)
def test_task_given_to_a_restarted_machine_runs_once(down_s: float) -> None:
    """Without a proof of the restart, the new worker's heartbeats are refused as late copies, and its task is started
    elsewhere one lease after the last heartbeat of the old worker, which is before the new worker's lease expires."""

    async def scenario(simulation: SimulatedCluster) -> None:
        name, other = await two_machines(simulation)
        await until_next_heartbeat(simulation, name)
        await simulation.restart_machine(name, down_s)
        await simulation.submit(short_task("run-c"))
        await trio.sleep(2)
        await simulation.cancel("run-other")  # from now on the other machine has room
        await trio.sleep(3 * LEASE_S)
        await simulation.wait_for_convergence()
        assert not simulation.violations, simulation.violations
        assert starts_of(simulation, "run-c") == 1 and other in simulation.workers

    run_scenario(scenario)


@pytest.mark.parametrize("down_s", [0.2, 1.0, 1.8])
def test_tasks_lost_in_a_short_restart_run_again_without_waiting_for_a_lease(down_s: float) -> None:
    """Without a proof of the restart, the tasks count as running until the old worker's lease has expired."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=2, vcpus=4.0, sizeGb=0.0)
        await trio.sleep(WARM_UP_S)
        name = simulation.running("run-s")[0][1]
        await until_next_heartbeat(simulation, name)
        incarnation_before = simulation.workers[name].incarnation
        await simulation.restart_machine(name, down_s)
        await simulation.until(lambda: len(simulation.running("run-s")) == 2, DETECTED_S)
        leader = await simulation.until_leader()
        assert simulation.workers[name].incarnation == incarnation_before, "its lease was renewed"
        await trio.sleep(LEASE_S)
        why = (await simulation.ask(leader, "GET", "/v2/runs/run-s/why"))[1]["why"]
        assert any("lost when the worker restarted" in note for note in why), why
        await simulation.wait_for_convergence()

    run_scenario(scenario)


@pytest.mark.parametrize("down_s", [0.2, 1.8, LEASE_S + 1.0])
@pytest.mark.parametrize("shape", ["gang", "checkpointing"])
def test_restart_with_a_gang_or_a_checkpointing_task_on_board(shape: str, down_s: float) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-base", shards=2, vcpus=1.0, scatter=True)
        await trio.sleep(WARM_UP_S)
        fields = {"snapshotEveryS": 2.0, "snapshotCostS": 5.0, "sizeGb": 0.0, "expectedRunS": 20.0, "vcpus": 3.0}
        spec = gang_job("run-c", shards=4, **fields) if shape == "gang" else job("run-c", shards=1, **fields)
        await simulation.submit(spec)
        await simulation.until(lambda: len(simulation.running("run-c")) == spec["shards"])
        await trio.sleep(3)
        name = simulation.running("run-c")[0][1]
        if shape == "checkpointing":
            cluster = simulation.cluster_state(await simulation.until_leader())
            cluster.stop(next(a for a in cluster.machines[name].attempts.values() if a.job_id == "run-c"), "moved")
            await simulation.until(
                lambda: any(task["phase"] == "saving" for task in simulation.workers[name].tasks.values()), 5
            )
        await simulation.restart_machine(name, down_s)
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_many_machines_restart_at_once() -> None:
    """All restarts together cost few writes of the leader key, and nothing waits for a lease."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-s", shards=8, vcpus=6.0, sizeGb=0.0)
        await trio.sleep(WARM_UP_S)
        leader = await simulation.until_leader()
        term = simulation.controllers[leader].elector.term
        key_writes_before = len(simulation.leader_terms)
        async with trio.open_nursery() as nursery:
            for name in {machine for _, machine in simulation.running("run-s")}:
                nursery.start_soon(simulation.restart_machine, name, simulation.rng.uniform(0.2, 1.5))
        await simulation.until(lambda: len(simulation.running("run-s")) == 8, DETECTED_S)
        assert simulation.controllers[leader].elector.term == term
        assert len(simulation.leader_terms) - key_writes_before <= 3
        await simulation.wait_for_convergence()

    run_scenario(scenario)


@pytest.mark.parametrize("outage_s", [6.0, CANCEL_S + 4])
@pytest.mark.parametrize("restart_at_s", [0.5, 4.0])
def test_machine_restarts_in_an_outage(restart_at_s: float, outage_s: float) -> None:
    """Leases are renewed in degraded mode, with tokens that the leader did not give; the restarted worker's too."""

    async def scenario(simulation: SimulatedCluster) -> None:
        name, _ = await two_machines(simulation)
        await simulation.submit(short_task("run-c", shape="standing", expectedRunS=0.0))
        assert await machine_of(simulation, "run-c") == name
        await trio.sleep(CANCEL_S)
        simulation.store.begin_outage()
        await trio.sleep(restart_at_s)
        await simulation.restart_machine(name, 1.0)
        await trio.sleep(outage_s - restart_at_s - 1.0)
        simulation.store.end_outage()
        await simulation.cancel("run-other")
        await simulation.until(lambda: len(simulation.running("run-c")) == 1, 3 * LEASE_S)
        await simulation.wait_for_convergence()

    run_scenario(scenario)


@pytest.mark.parametrize("restart_first", [True, False], ids=["restart, then failover", "failover, then restart"])
@pytest.mark.parametrize("old_heartbeat_arrives", [False, True])
def test_machine_restarts_as_a_leader_begins(restart_first: bool, old_heartbeat_arrives: bool) -> None:
    """A heartbeat of the old worker may reach the new leader before any message of the new worker."""

    async def scenario(simulation: SimulatedCluster) -> None:
        name, other = await two_machines(simulation)
        await simulation.submit(short_task("run-c", shape="standing", expectedRunS=0.0))
        assert await machine_of(simulation, "run-c") == name
        sent = record_messages(simulation, "/hello")
        await trio.sleep(3)
        old_heartbeats = [request for src, _, request in sent if src == name]
        await simulation.cancel("run-other")
        leader = await simulation.until_leader()

        async def fail_over() -> None:
            simulation.kill(leader)
            await trio.sleep(0.5)
            simulation.start(leader)
            await simulation.until(lambda: simulation.leader() is not None, 20)

        if not restart_first:
            await fail_over()
        await simulation.restart_machine(name, 0.3)
        if restart_first:
            await fail_over()
        if old_heartbeat_arrives:
            for label in LABELS:
                await simulation.net.deliver_copy(name, label, old_heartbeats[-1])
        await simulation.until(lambda: len(simulation.running("run-c")) == 1, 4 * LEASE_S)
        await simulation.wait_for_convergence()
        assert other in simulation.workers

    run_scenario(scenario)


def test_tasks_of_a_worker_that_restarted_in_an_earlier_term_run_on() -> None:
    """A late heartbeat of the old worker is the first that the next leader receives, so the new worker's messages show
    a restart to it. Without care, it would stop the tasks that its predecessor started on the new worker."""

    async def scenario(simulation: SimulatedCluster) -> None:
        name, _ = await two_machines(simulation)
        await simulation.submit(short_task("run-c", shape="standing", expectedRunS=0.0, region="a"))
        assert await machine_of(simulation, "run-c") == name
        sent = record_messages(simulation, "/hello")
        await trio.sleep(2)
        old_heartbeat = [request for src, _, request in sent if src == name][-1]
        worker = await simulation.restart_machine(name, 1.0)
        await simulation.until(lambda: bool(simulation.running("run-c")), DETECTED_S)
        await trio.sleep(2)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        simulation.net.refused |= {(label, name) for label in LABELS} | {(name, label) for label in LABELS}
        await simulation.until(lambda: simulation.leader() not in (None, leader), 20)
        for label in LABELS:
            await simulation.net.deliver_copy(name, label, old_heartbeat)
        simulation.net.refused.clear()
        await trio.sleep(3 * LEASE_S)
        assert starts_of(simulation, "run-c") == 2 and worker.incarnation == 1
        simulation.start(leader)
        await simulation.wait_for_convergence()

    run_scenario(scenario)


@pytest.mark.parametrize("age_s", [3.0, WARM_UP_S], ids=["young", "old"])
def test_late_copies_of_the_old_workers_heartbeats_change_nothing(age_s: float) -> None:
    """Without a token that the old worker cannot have seen, its heartbeats with higher numbers count as the newest:
    they lack the tasks of the new worker, which are then started elsewhere as well. The numbers of a young worker are
    soon exceeded by those of its successor."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.run_service("run-base", shards=2, vcpus=1.0, sizeGb=0.0, scatter=True)
        await trio.sleep(age_s)
        name = simulation.running("run-base")[0][1]
        old_heartbeats: list[Request] = []

        def record(src: str, dst: str, request: Request) -> None:
            if src == name and request.path == "/hello":
                old_heartbeats.append(request)

        simulation.net.copy_request = record
        await trio.sleep(4)
        simulation.cut_machine(name)  # these heartbeats reach nobody before the restart
        await trio.sleep(1.5)
        simulation.net.copy_request = lambda src, dst, request: None
        simulation.net._held.clear()
        simulation.net._cuts.clear()
        await simulation.restart_machine(name, 0.2)
        await simulation.until(lambda: len(simulation.running("run-base")) == 2, 2 * LEASE_S)
        await simulation.run_service("run-s", shards=4, vcpus=2.0, sizeGb=0.0)
        starts = starts_of(simulation, "run-s")
        for request in [*old_heartbeats, *reversed(old_heartbeats)]:
            for label in LABELS:
                await simulation.net.deliver_copy(name, label, request)
            await trio.sleep(0.3)
        await trio.sleep(2 * LEASE_S)
        assert starts_of(simulation, "run-s") == starts and len(simulation.running("run-s")) == 4
        await simulation.wait_for_convergence()

    run_scenario(scenario)


def test_restarted_machine_that_cannot_be_called_works_again_after_its_lease() -> None:
    """Without a direct call nothing proves the restart. The new worker's lease expires, and its next incarnation is
    later than that of the old one."""

    async def scenario(simulation: SimulatedCluster) -> None:
        name, _ = await two_machines(simulation)
        await simulation.submit(short_task("run-c", shape="standing", expectedRunS=0.0, region="a"))
        assert await machine_of(simulation, "run-c") == name
        simulation.net.refused |= {(label, name) for label in LABELS}
        worker = await simulation.restart_machine(name, 1.0)
        await simulation.until(lambda: len(simulation.running("run-c")) == 1, 3 * LEASE_S)
        assert simulation.running("run-c")[0][1] == name and worker.incarnation == 2

    run_scenario(scenario)


@pytest.mark.parametrize("production_leads", [False, True])
def test_machine_restarts_beside_the_previous_version(production_leads: bool) -> None:
    """A leader of the previous version does not notice the restart, and a task that it starts directly runs twice: that
    can't be prevented. The machine here is idle until this version leads."""

    async def scenario(simulation: SimulatedCluster) -> None:
        name, _ = await two_machines(simulation)
        leader = await simulation.until_leader()
        followers = [label for label in LABELS if label != leader]
        for label in LABELS if production_leads else followers:
            simulation.kill(label)
        for label in LABELS if production_leads else followers:
            simulation.start(label, production_version=True)
        await simulation.until_leader()
        await until_next_heartbeat(simulation, name)
        await simulation.restart_machine(name, 1.0)
        if production_leads:
            for label in LABELS:
                simulation.kill(label)
                simulation.start(label)
        await simulation.until_leader()
        await simulation.submit(short_task("run-c"))
        await trio.sleep(2)
        await simulation.cancel("run-other")
        await trio.sleep(3 * LEASE_S)
        await simulation.wait_for_convergence()
        assert not simulation.violations, simulation.violations
        assert starts_of(simulation, "run-c") == 1

    run_scenario(scenario)
