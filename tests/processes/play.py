"""Injects a seeded schedule of faults into three real controllers under load."""

from __future__ import annotations

import random
from pathlib import Path

import trio

from tests.processes.controllers import Controllers
from tests.processes.deployment import Deployment
from tests.processes.history import Event, Fault
from tests.simulation.users import LABELS

SUBMIT_INTERVAL_S = 0.7  # s; between two job submissions
RUN_TIMES_S = (1.5, 6.0, 12.0)  # s; run times of tasks, shorter and longer than a leader change takes
FIRST_LEADER_TIMEOUT_S = 30.0  # s; for the first leader election
DRAIN_TIMEOUT_S = 150.0  # s; for all jobs to end after the last fault
EXIT_TIMEOUT_S = 20.0  # s; for a process to exit after SIGTERM
PAUSES_S = (0.5, 2.0, 5.0)  # s; shorter than, close to and longer than the leader's lease allows
RESTART_DELAYS_S = (0.1, 1.0, 3.0)  # s; from a kill to the next start
HANGING_MACHINE_SHARE = 0.7  # ratio; of the faults: a busy machine hangs as well, so the next leader hears from it last
HANG_S = 5.0  # s; less than a worker's lease, so the machine keeps its tasks
SECOND_FAULT_SHARE = 0.3  # ratio; of the pauses: another controller is killed meanwhile


class FaultSchedule:
    """Injects random faults and records them in the history."""

    def __init__(self, deployment: Deployment, controllers: Controllers, rng: random.Random) -> None:
        self._deployment = deployment
        self._controllers = controllers
        self._rng = rng

    def _record(self, kind: str, label: str) -> None:
        led = self._deployment.leader() == label
        self._deployment.events.append(Fault(trio.current_time(), kind, label, led))

    async def run(self, until: float) -> None:
        """Inject one fault after the other; some pauses are accompanied by a second fault."""
        injectors = {"pause": self._pause, "kill": self._kill, "stop": self._stop}
        while trio.current_time() < until:
            label = self._rng.choice(LABELS)
            fault = self._rng.choice(["pause", "pause", "kill", "kill", "stop"])
            self._record(fault, label)
            if self._rng.random() < HANGING_MACHINE_SHARE:
                self._deployment.hang_busiest_machine(HANG_S)
            await injectors[fault](label)
            await trio.sleep(self._rng.uniform(1.0, 3.0))

    async def _pause(self, label: str) -> None:
        self._controllers.pause(label)
        await trio.sleep(self._rng.choice(PAUSES_S))
        if self._rng.random() < SECOND_FAULT_SHARE:
            other = self._rng.choice([each for each in LABELS if each != label])
            self._record("kill during a pause", other)
            self._controllers.kill(other)
            self._controllers.start(other)
        self._controllers.resume(label)

    async def _kill(self, label: str) -> None:
        self._controllers.kill(label)
        await trio.sleep(self._rng.choice(RESTART_DELAYS_S))
        self._controllers.start(label)

    async def _stop(self, label: str) -> None:
        self._controllers.terminate(label)
        with trio.move_on_after(EXIT_TIMEOUT_S):
            while self._controllers.exit_code(label) is None:
                await trio.sleep(0.1)
        self._controllers.kill(label)
        self._controllers.start(label)


async def play(directory: Path, seed: int, membership: bool, faults_s: float) -> list[Event]:
    """Inject faults for this time under load, then wait until all jobs have ended. Returns the history."""
    rng = random.Random(seed)
    async with trio.open_nursery() as fakes:
        deployment = Deployment(fakes, seed)
        store, cloud = await deployment.start()
        with Controllers(directory, store, cloud, membership) as controllers:
            deployment.controllers = controllers
            with trio.fail_after(FIRST_LEADER_TIMEOUT_S):
                while deployment.leader() is None:
                    await trio.sleep(0.05)
            until = trio.current_time() + faults_s
            with trio.move_on_after(faults_s + DRAIN_TIMEOUT_S):
                async with trio.open_nursery() as users:
                    users.start_soon(FaultSchedule(deployment, controllers, rng).run, until)
                    number = 0
                    while trio.current_time() < until:
                        number += 1
                        tasks, run_s = rng.randrange(1, 4), rng.choice(RUN_TIMES_S)
                        users.start_soon(deployment.run_job, f"run-{number:06d}", tasks, run_s)
                        await trio.sleep(SUBMIT_INTERVAL_S)
        fakes.cancel_scope.cancel()
    return deployment.events
