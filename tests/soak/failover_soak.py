"""Teams at their limits while the leader changes again and again, jobs are cancelled round each failover, and machines
hang, fall silent or answer late. One history per seed; the simulated cluster holds every start against the rules."""

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
CHANGES_OF_LEADER = 5
# s; from one change of leader to the next. The three controllers end in turn: with the shorter spells none of them has
# followed for long enough to know all jobs lately over, with the longer ones all have.
_SPELLS_S = (11.0, 19.0)
_START_S = 42.0  # s; about as long as cancelled tasks may live, so that the first new leader knows as well
_PATIENCE_S = 25.0  # s; then a user submits the next job, whatever became of the last
_JOBS_ALIVE = {"red": 6, "green": 6, "blue": 18}  # of each team: more work than there is room or limit for
_HELD_COMMANDS = 0.6  # share of the changes of leader at which commands are held up


@dataclass(frozen=True, slots=True)
class Reached:
    """What one history came to, to tell whether it tried what it is meant to try."""

    seed: int
    starts: int
    changes_of_leader: int
    cancelled: int
    starts_refused: int  # for a team's limit
    unaccounted_cpus: float  # of limited teams, summed over the failovers
    tasks_over: int  # tasks of jobs that were over, found on machines after a failover
    violations: tuple[str, ...]

    @property
    def aim(self) -> bool:
        """Whether teams were at their limits, and a new leader found what jobs lately over had left."""
        return self.starts_refused > 0 and self.unaccounted_cpus > 0 and self.tasks_over > 0

    def __str__(self) -> str:
        return (
            f"seed {self.seed}: {self.starts} starts, {self.changes_of_leader} changes of leader,"
            f" {self.cancelled} cancelled, {self.starts_refused} starts refused for a limit,"
            f" {self.unaccounted_cpus:g} CPUs unaccounted at takeovers, {self.tasks_over} tasks of jobs over found;"
            f" violations: {list(self.violations) or 'none'}"
        )


class FailoverSoak:
    """The users and the failures of one history."""

    def __init__(self, simulation: SimulatedCluster, seed: int) -> None:
        self._simulation = simulation
        self._dice = random.Random(seed)
        self._spell_s = _SPELLS_S[seed % len(_SPELLS_S)]
        self._submitted = 0
        self._live: list[str] = []

    async def play(self) -> None:
        """A start-up, changes of leader with failures round each, and the end of all failures."""
        simulation = self._simulation
        simulation.cloud.capacity = MACHINES
        for zone in "ab":
            await simulation.submit(service(f"run-s-{zone}", shards=2, vcpus=1.0, owner="blue", region=zone))
        simulation.nursery.start_soon(self._submit_for_ever)
        await trio.sleep(_START_S)
        for _ in range(CHANGES_OF_LEADER):
            await self._change_leader()
        self._live.clear()
        await self._end()

    # --- users ---

    async def _submit_for_ever(self) -> None:
        while True:
            for team in TEAMS:
                alive = [name for name in self._live if self._simulation.specs[name]["owner"] == team.name]
                if len(alive) < _JOBS_ALIVE[team.name]:
                    self._simulation.nursery.start_soon(self._submit, team.name)
            await trio.sleep(self._dice.uniform(0.2, 0.8))

    async def _submit(self, team: str) -> None:
        self._submitted += 1
        name = f"run-{self._submitted}"
        self._live.append(name)
        await self._simulation.submit(
            job(
                name,
                owner=team,
                # What has least left to do is placed first: often the work of the team without a limit.
                shards=self._dice.randint(1, 4 if team == "blue" else 8),
                vcpus=self._dice.choice((1.0, 2.0)),
                # Full machines in one zone beside free ones in the other are what limits have to hold against.
                region=self._dice.choice(("a", "a", None) if team == "blue" else ("a", "b", None)),
                expectedRunS=self._dice.choice((3.0, 8.0) if team == "blue" else (8.0, 15.0, 25.0)),
                bundle=self._dice.choice(("img", "img-2")),
                sizeGb=0.1,
            )
        )
        await trio.sleep(_PATIENCE_S)
        if name in self._live:
            self._live.remove(name)

    async def _cancel_some(self, count: int) -> None:
        """By any controller that answers; jobs of limited teams that run, if there are any."""
        simulation = self._simulation
        limited = [name for name in self._live if simulation.specs[name]["owner"] != "blue"]
        running = [name for name in limited if simulation.running(name)]
        for name in self._dice.sample(running, min(count, len(running))):
            label = self._dice.choice(LABELS)
            status, _ = await simulation.ask(label, "POST", f"/v2/runs/{name}/cancel")
            if status == 200 and name in self._live:
                self._live.remove(name)

    # --- failures ---

    async def _change_leader(self) -> None:
        simulation, dice = self._simulation, self._dice
        leader = simulation.leader() or dice.choice(LABELS)
        down = LABELS if dice.random() < 0.1 else (leader,)
        began = trio.current_time()
        await self._begin_troubles()
        for label in down:
            simulation.kill(label)
        back_s = dice.choice((0.2, 3.0, 6.0))
        simulation.nursery.start_soon(self._start_later, down, back_s)
        for _ in range(3):
            await trio.sleep(dice.uniform(0.2, 2.0))
            await self._cancel_some(dice.randint(1, 4))
        await trio.sleep_until(began + self._spell_s)
        self._end_troubles()

    async def _start_later(self, labels: tuple[str, ...], after_s: float) -> None:
        await trio.sleep(after_s)
        for label in labels:
            if label in self._simulation.net.down:
                self._simulation.start(label)

    async def _begin_troubles(self) -> None:
        simulation, dice = self._simulation, self._dice
        troubles: list[Callable[[], Awaitable[None]]] = [
            self._hang_machines,
            self._partition_machine,
            self._copy_heartbeats,
        ]
        if dice.random() < _HELD_COMMANDS:
            simulation.nursery.start_soon(self._hold_commands)
        for trouble in dice.sample(troubles, dice.randint(0, 2)):
            simulation.nursery.start_soon(trouble)

    async def _hold_commands(self) -> None:
        """Direct commands that name tasks are held up on the way to some machines, and then all carried out."""
        simulation, dice = self._simulation, self._dice
        share = dice.uniform(0.2, 0.7)
        slow = {name for name in sorted(simulation.workers) if dice.random() < share}

        def held(src: str, dst: str, request: Request) -> bool:
            return dst in slow and request.path == "/commands" and b"shard" in request.body

        simulation.net.hold_request = held
        await trio.sleep(dice.uniform(5.0, 11.0))
        simulation.net.hold_request = lambda src, dst, request: False
        simulation.net.release()

    async def _hang_machines(self) -> None:
        simulation, dice = self._simulation, self._dice
        names = dice.sample(sorted(simulation.workers), min(2, len(simulation.workers)))
        for name in names:
            simulation.hang(name)
        await trio.sleep(dice.uniform(3.0, 13.0))
        for name in names:
            if name in simulation.workers:
                simulation.workers[name].hung = False

    async def _partition_machine(self) -> None:
        """One that reaches no controller, or one that hears none."""
        simulation, dice = self._simulation, self._dice
        name = dice.choice(sorted(simulation.workers))
        (simulation.refuse_outbound if dice.random() < 0.5 else simulation.drop_inbound)(name)
        await trio.sleep(dice.uniform(3.0, 13.0))
        simulation.net.refused.clear()
        simulation.net.heal()

    async def _copy_heartbeats(self) -> None:
        self._simulation.late_heartbeat_copies(0.3, at_next_leader=self._dice.random() < 0.5)
        await trio.sleep(8.0)
        self._simulation.net.copy_request = lambda src, dst, request: None

    def _end_troubles(self) -> None:
        for worker in self._simulation.workers.values():
            worker.hung = False

    async def _end(self) -> None:
        """No more submissions; what users check at a day's end, with room for all that is left."""
        self._submit = self._no_submission  # type: ignore[method-assign]
        self._simulation.cloud.capacity = 3 * MACHINES
        await trio.sleep(5.0)
        await self._simulation.wait_for_convergence()

    async def _no_submission(self, team: str) -> None:
        return


def play(seed: int) -> Reached:
    """One history, and what it came to."""
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
    return _reached(seed, simulations[0], counts, violations)


def _reached(seed: int, simulation: SimulatedCluster, counts: EventCounts, violations: tuple[str, ...]) -> Reached:
    return Reached(
        seed=seed,
        starts=len(simulation.starts),
        changes_of_leader=len(simulation.leader_terms) - 1,
        cancelled=len(simulation.cancelled_at),
        starts_refused=counts.count("start_refused"),
        unaccounted_cpus=counts.unaccounted_cpus(),
        tasks_over=counts.count("ended_task_found"),
        violations=violations,
    )
