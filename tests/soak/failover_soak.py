"""Runs teams at their limits through repeated leader failovers, while jobs are cancelled around each failover and
machines hang, lose connections or receive commands late. One run per seed; the simulated cluster checks every task
start against the protocol's rules."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from sorrelsill.http import Request
from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.users import LABELS
from tests.soak.event_counts import EventCounts, counted_events

TEAMS = [Team("red", cpus_max=16.0), Team("green", cpus=8.0, cpus_max=20.0), Team("blue")]
MACHINES = 8
LEADER_CHANGES = 5
# s; from one leader change to the next. The controllers are killed in turn: with the shorter interval no new leader has
# been a follower for long enough to know all recently ended jobs, with the longer one every new leader has.
_FAILOVER_INTERVALS_S = (11.0, 19.0)
_WARM_UP_S = 42.0  # s; about as long as cancelled tasks may run, so that the first new leader knows all ended jobs too
_JOB_REPLACED_AFTER_S = 25.0  # s; then the user replaces the job by a new one, whatever its state
_LIVE_JOBS = {"red": 6, "green": 6, "blue": 18}  # jobs per team; more work than the machines or the limits allow
_HELD_COMMANDS_SHARE = 0.6  # ratio; leader changes during which commands are delayed


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of one run, with counts that tell whether it reached the state that it should test."""

    seed: int
    starts: int
    leader_changes: int
    cancelled: int
    starts_refused: int  # because of a team's limit
    unaccounted_cpus: float  # of teams with a limit, summed over the failovers
    ended_tasks_found: int  # tasks of ended jobs, found on machines after a failover
    violations: tuple[str, ...]

    @property
    def target_state_reached(self) -> bool:
        """Whether teams were at their limits and a new leader found tasks of recently ended jobs."""
        return self.starts_refused > 0 and self.unaccounted_cpus > 0 and self.ended_tasks_found > 0

    def __str__(self) -> str:
        return (
            f"seed {self.seed}: {self.starts} starts, {self.leader_changes} leader changes,"
            f" {self.cancelled} jobs cancelled, {self.starts_refused} starts refused for a limit,"
            f" {self.unaccounted_cpus:g} CPUs unaccounted for at failovers,"
            f" {self.ended_tasks_found} tasks of ended jobs found;"
            f" violations: {list(self.violations) or 'none'}"
        )


class FailoverSoak:
    """The users and the faults of one run."""

    def __init__(self, simulation: SimulatedCluster, seed: int) -> None:
        self._simulation = simulation
        self._rng = random.Random(seed)
        self._failover_interval_s = _FAILOVER_INTERVALS_S[seed % len(_FAILOVER_INTERVALS_S)]
        self._submitted = 0
        self._live: list[str] = []

    async def play(self) -> None:
        """Start up, change the leader several times with faults around each change, then end all faults."""
        simulation = self._simulation
        simulation.cloud.capacity = MACHINES
        for zone in "ab":
            await simulation.submit(service(f"run-s-{zone}", shards=2, vcpus=1.0, owner="blue", region=zone))
        simulation.nursery.start_soon(self._submit_continuously)
        await trio.sleep(_WARM_UP_S)
        for _ in range(LEADER_CHANGES):
            await self._change_leader()
        self._live.clear()
        await self._converge()

    # --- users ---

    async def _submit_continuously(self) -> None:
        while True:
            for team in TEAMS:
                live = [name for name in self._live if self._simulation.specs[name]["owner"] == team.name]
                if len(live) < _LIVE_JOBS[team.name]:
                    self._simulation.nursery.start_soon(self._submit, team.name)
            await trio.sleep(self._rng.uniform(0.2, 0.8))

    async def _submit(self, team: str) -> None:
        self._submitted += 1
        name = f"run-{self._submitted}"
        self._live.append(name)
        await self._simulation.submit(
            job(
                name,
                owner=team,
                # The scheduler places the job with the least remaining work first; often that is the work of the team
                # without a limit.
                shards=self._rng.randint(1, 4 if team == "blue" else 8),
                vcpus=self._rng.choice((1.0, 2.0)),
                # Limits must also hold when the machines of one zone are full and those of the other are free.
                region=self._rng.choice(("a", "a", None) if team == "blue" else ("a", "b", None)),
                expectedRunS=self._rng.choice((3.0, 8.0) if team == "blue" else (8.0, 15.0, 25.0)),
                bundle=self._rng.choice(("img", "img-2")),
                sizeGb=0.1,
            )
        )
        await trio.sleep(_JOB_REPLACED_AFTER_S)
        if name in self._live:
            self._live.remove(name)

    async def _cancel_some(self, count: int) -> None:
        """Cancel up to `count` running jobs of teams with a limit, each through a random controller."""
        simulation = self._simulation
        limited = [name for name in self._live if simulation.specs[name]["owner"] != "blue"]
        running = [name for name in limited if simulation.running(name)]
        for name in self._rng.sample(running, min(count, len(running))):
            label = self._rng.choice(LABELS)
            status, _ = await simulation.ask(label, "POST", f"/v2/runs/{name}/cancel")
            if status == 200 and name in self._live:
                self._live.remove(name)

    # --- faults ---

    async def _change_leader(self) -> None:
        simulation, rng = self._simulation, self._rng
        leader = simulation.leader() or rng.choice(LABELS)
        down = LABELS if rng.random() < 0.1 else (leader,)
        started_at = trio.current_time()
        await self._inject_faults()
        for label in down:
            simulation.kill(label)
        restart_delay_s = rng.choice((0.2, 3.0, 6.0))
        simulation.nursery.start_soon(self._restart_after, down, restart_delay_s)
        for _ in range(3):
            await trio.sleep(rng.uniform(0.2, 2.0))
            await self._cancel_some(rng.randint(1, 4))
        await trio.sleep_until(started_at + self._failover_interval_s)
        self._end_faults()

    async def _restart_after(self, labels: tuple[str, ...], delay_s: float) -> None:
        await trio.sleep(delay_s)
        for label in labels:
            if label in self._simulation.net.down:
                self._simulation.start(label)

    async def _inject_faults(self) -> None:
        simulation, rng = self._simulation, self._rng
        faults: list[Callable[[], Awaitable[None]]] = [
            self._hang_machines,
            self._partition_machine,
            self._copy_heartbeats,
        ]
        if rng.random() < _HELD_COMMANDS_SHARE:
            simulation.nursery.start_soon(self._hold_commands)
        for fault in rng.sample(faults, rng.randint(0, 2)):
            simulation.nursery.start_soon(fault)

    async def _hold_commands(self) -> None:
        """Hold commands about tasks that are sent to some machines, then deliver them all."""
        simulation, rng = self._simulation, self._rng
        share = rng.uniform(0.2, 0.7)
        delayed = {name for name in sorted(simulation.workers) if rng.random() < share}

        def hold(src: str, dst: str, request: Request) -> bool:
            return dst in delayed and request.path == "/commands" and b"shard" in request.body

        simulation.net.hold_request = hold
        await trio.sleep(rng.uniform(5.0, 11.0))
        simulation.net.hold_request = lambda src, dst, request: False
        simulation.net.release()

    async def _hang_machines(self) -> None:
        simulation, rng = self._simulation, self._rng
        names = rng.sample(sorted(simulation.workers), min(2, len(simulation.workers)))
        for name in names:
            simulation.hang(name)
        await trio.sleep(rng.uniform(3.0, 13.0))
        for name in names:
            if name in simulation.workers:
                simulation.workers[name].hung = False

    async def _partition_machine(self) -> None:
        """Cut one machine off in one direction: it reaches no controller, or receives nothing from any."""
        simulation, rng = self._simulation, self._rng
        name = rng.choice(sorted(simulation.workers))
        (simulation.refuse_outbound if rng.random() < 0.5 else simulation.drop_inbound)(name)
        await trio.sleep(rng.uniform(3.0, 13.0))
        simulation.net.refused.clear()
        simulation.net.heal()

    async def _copy_heartbeats(self) -> None:
        self._simulation.late_heartbeat_copies(0.3, at_next_leader=self._rng.random() < 0.5)
        await trio.sleep(8.0)
        self._simulation.net.copy_request = lambda src, dst, request: None

    def _end_faults(self) -> None:
        for worker in self._simulation.workers.values():
            worker.hung = False

    async def _converge(self) -> None:
        """Stop submitting and wait for convergence, with enough machines for all remaining jobs."""
        self._submit = self._skip_submission  # type: ignore[method-assign]
        self._simulation.cloud.capacity = 3 * MACHINES
        await trio.sleep(5.0)
        await self._simulation.wait_for_convergence()

    async def _skip_submission(self, team: str) -> None:
        return


def play(seed: int) -> RunResult:
    """Play one run and return its result."""
    simulations: list[SimulatedCluster] = []

    async def scenario(simulation: SimulatedCluster) -> None:
        simulations.append(simulation)
        await FailoverSoak(simulation, seed).play()

    violations: tuple[str, ...] = ()
    with counted_events() as counts:
        try:
            run_scenario(scenario, seed=seed, teams=TEAMS)
        except (AssertionError, BaseExceptionGroup) as error:
            violations = tuple(simulations[0].violations) or (repr(error),)
    return _run_result(seed, simulations[0], counts, violations)


def _run_result(seed: int, simulation: SimulatedCluster, counts: EventCounts, violations: tuple[str, ...]) -> RunResult:
    return RunResult(
        seed=seed,
        starts=len(simulation.starts),
        leader_changes=len(simulation.leader_terms) - 1,
        cancelled=len(simulation.cancelled_at),
        starts_refused=counts.count("start_refused"),
        unaccounted_cpus=counts.unaccounted_cpus(),
        ended_tasks_found=counts.count("ended_task_found"),
        violations=violations,
    )
