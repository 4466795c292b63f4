"""Holds direct starts in the network while their jobs are cancelled and outages of the key-value store begin and end,
and while the leader is frozen, restarted or deposed. The leaders send starts in direct calls, as those of the versions
before this one do. One run per seed; the simulated cluster checks the protocol's rules."""

from __future__ import annotations

import random
from dataclasses import dataclass

import trio

from tests.simulation import SimulatedCluster, run_scenario
from tests.simulation.direct_starts import starts_in_direct_calls
from tests.simulation.held_starts import HeldStarts, one_task, other_controllers
from tests.simulation.rules import CANCEL_S, LEASE_S

_ROUNDS = 3
_LEADER_FATES = ("lives on", "lives on", "lives on", "frozen", "restarted", "deposed first")
_NETWORKS = ("cut from the leader", "cut from the leader", "cut from two controllers", "late copies")


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of one run, with counts that tell whether it reached the state that it should test."""

    seed: int
    starts: int
    cancelled: int
    held: int  # direct calls with starts that were held
    # Of these, calls with a start of a cancelled job that reached the same incarnation of their machine.
    delivered_in_same_incarnation: int
    violations: tuple[str, ...]

    @property
    def target_state_reached(self) -> bool:
        """Whether a start was delivered that only its fencing token could invalidate."""
        return self.delivered_in_same_incarnation > 0

    def __str__(self) -> str:
        return (
            f"seed {self.seed}: {self.starts} starts, {self.cancelled} jobs cancelled, {self.held} calls held,"
            f" {self.delivered_in_same_incarnation} delivered in the same incarnation after a cancellation;"
            f" violations: {list(self.violations) or 'none'}"
        )


class HeldStartsSoak:
    """The users and the faults of one run."""

    def __init__(self, simulation: SimulatedCluster, seed: int) -> None:
        self._simulation = simulation
        self._rng = random.Random(seed)
        self.held = HeldStarts(simulation)
        self._submitted = 0
        self.delivered_in_same_incarnation = 0

    async def play(self) -> None:
        """Hold starts around several outages, then end all faults."""
        await self.held.set_up(self._rng.choice((5.0, CANCEL_S + 5)))
        for _ in range(_ROUNDS):
            await self._play_outage()
        await self._simulation.wait_for_convergence()

    async def _play_outage(self) -> None:
        simulation, rng, held = self._simulation, self._rng, self.held
        held.leader = await simulation.until_leader()
        fate = rng.choice(_LEADER_FATES)
        job_ids = await self._submit_held(rng.choice(_NETWORKS))
        if fate == "deposed first":
            simulation.store.unavailable_to.add(held.leader)
            await trio.sleep(rng.uniform(0.0, 8.0))
        await self._cancel(job_ids)
        await trio.sleep(rng.choice((0.0, rng.uniform(0.0, 1.5))))
        simulation.store.begin_outage()
        began_at = trio.current_time()
        await self._meet_fate(fate)
        delivered_at = began_at + rng.uniform(CANCEL_S - 4, CANCEL_S + 8)
        ends_at = began_at + rng.uniform(CANCEL_S - 4, CANCEL_S + 8)
        await trio.sleep_until(min(delivered_at, ends_at))
        if ends_at < delivered_at:
            self._end_outage()
            await trio.sleep_until(delivered_at)
        self._deliver()
        await trio.sleep_until(max(delivered_at, ends_at))
        self._end_outage()
        await trio.sleep(rng.uniform(3.0, 15.0))

    async def _submit_held(self, network: str) -> list[str]:
        """Submit jobs whose direct starts are held, and return their IDs."""
        simulation, rng, held = self._simulation, self._rng, self.held
        held.held.clear()
        held.hold()
        held.cut_machines_from(held.leader)
        if network == "cut from two controllers":
            held.cut_machines_from(rng.choice(other_controllers(held.leader)))
        elif network == "late copies":
            simulation.late_heartbeat_copies(0.5)
        job_ids = []
        for _ in range(rng.randint(1, 3)):
            self._submitted += 1
            job_ids.append(f"run-{self._submitted}")
            shape = {"shape": "group", "shards": 2} if rng.random() < 0.25 else {"shards": rng.randint(1, 2)}
            await simulation.submit(one_task(job_ids[-1], vcpus=1.0, expectedRunS=20.0, **shape))
        with trio.move_on_after(rng.uniform(0.3, 2.0)):
            await simulation.until(lambda: len(held.held) >= len(job_ids))
        return job_ids

    async def _cancel(self, job_ids: list[str]) -> None:
        for job_id in job_ids:
            if self._rng.random() < 0.8:
                label = self._rng.choice(other_controllers(self.held.leader))
                await self._simulation.ask(label, "POST", f"/v2/runs/{job_id}/cancel")

    async def _meet_fate(self, fate: str) -> None:
        simulation, leader = self._simulation, self.held.leader
        if fate == "frozen":
            simulation.freeze(leader, self._rng.uniform(2.0, CANCEL_S))
        elif fate == "restarted":
            await trio.sleep(self._rng.choice((0.0, 3.0)))
            simulation.kill(leader)
            await trio.sleep(self._rng.choice((0.2, LEASE_S / 2)))
            simulation.start(leader)

    def _deliver(self) -> None:
        simulation = self._simulation
        for command in self.held.held:
            worker = simulation.workers.get(command.machine)
            cancelled = any(job_id.encode() + b"/" in command.body for job_id in simulation.cancelled_at)
            if worker is not None and cancelled and worker.incarnation == command.incarnation:
                self.delivered_in_same_incarnation += 1
        simulation.net.copy_request = lambda src, dst, request: None
        self.held.deliver()

    def _end_outage(self) -> None:
        self._simulation.store.end_outage()
        self._simulation.store.unavailable_to.clear()


def play(seed: int) -> RunResult:
    """Play one run and return its result."""
    simulations: list[SimulatedCluster] = []
    soaks: list[HeldStartsSoak] = []

    async def scenario(simulation: SimulatedCluster) -> None:
        simulations.append(simulation)
        soaks.append(HeldStartsSoak(simulation, seed))
        await soaks[0].play()

    violations: tuple[str, ...] = ()
    try:
        with starts_in_direct_calls():
            run_scenario(scenario, seed=seed)
    except (AssertionError, BaseExceptionGroup) as error:
        violations = tuple(simulations[0].violations) or (repr(error),)
    return RunResult(
        seed=seed,
        starts=len(simulations[0].starts),
        cancelled=len(simulations[0].cancelled_at),
        held=soaks[0].held.held_count,
        delivered_in_same_incarnation=soaks[0].delivered_in_same_incarnation,
        violations=violations,
    )
