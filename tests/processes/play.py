"""Plays a seeded schedule of troubles on three real controllers under load."""

from __future__ import annotations

import random
from pathlib import Path

import trio

from tests.processes.controllers import Controllers
from tests.processes.deployment import Deployment
from tests.processes.history import Event, Trouble
from tests.simulation.users import LABELS

JOB_EVERY_S = 0.7  # s; between two submissions
JOB_RUNS_S = (1.5, 6.0, 12.0)  # s; of a task: shorter and longer than a change of leader takes
BEGIN_S = 30.0  # s; within which a first leader has to be there
CALM_S = 150.0  # s; within which all jobs have to end once the troubles are over
STOP_S = 20.0  # s; within which a process that was told to stop ends by itself
PAUSES_S = (0.5, 2.0, 5.0)  # shorter than, near to and longer than what the leader's lease allows
KILL_GAPS_S = (0.1, 1.0, 3.0)  # between an end and the next start
HANGING_MACHINE = 0.7  # ratio; of the troubles, beside which a busy machine hangs: the next leader hears it last
HANG_S = 5.0  # s; less than a worker's lease, so its tasks go on after it
SECOND_TROUBLE = 0.3  # ratio; of the pauses, during which another controller is killed


class Schedule:
    """Draws the troubles, and writes them into the history."""

    def __init__(self, deployment: Deployment, controllers: Controllers, rng: random.Random) -> None:
        self._deployment = deployment
        self._controllers = controllers
        self._rng = rng

    def _note(self, kind: str, label: str) -> None:
        led = self._deployment.leader() == label
        self._deployment.events.append(Trouble(trio.current_time(), kind, label, led))

    async def run(self, until: float) -> None:
        """One trouble after the other; now and then a second one while the first lasts."""
        kinds = {"pause": self._pause, "kill": self._kill, "stop": self._stop}
        while trio.current_time() < until:
            label = self._rng.choice(LABELS)
            kind = self._rng.choice(["pause", "pause", "kill", "kill", "stop"])
            self._note(kind, label)
            if self._rng.random() < HANGING_MACHINE:
                self._deployment.hang_one(HANG_S)
            await kinds[kind](label)
            await trio.sleep(self._rng.uniform(1.0, 3.0))

    async def _pause(self, label: str) -> None:
        self._controllers.pause(label)
        await trio.sleep(self._rng.choice(PAUSES_S))
        if self._rng.random() < SECOND_TROUBLE:
            other = self._rng.choice([each for each in LABELS if each != label])
            self._note("kill beside a pause", other)
            self._controllers.kill(other)
            self._controllers.start(other)
        self._controllers.wake(label)

    async def _kill(self, label: str) -> None:
        self._controllers.kill(label)
        await trio.sleep(self._rng.choice(KILL_GAPS_S))
        self._controllers.start(label)

    async def _stop(self, label: str) -> None:
        self._controllers.tell_to_stop(label)
        with trio.move_on_after(STOP_S):
            while self._controllers.ended(label) is None:
                await trio.sleep(0.1)
        self._controllers.kill(label)
        self._controllers.start(label)


async def play(directory: Path, seed: int, membership: bool, troubles_s: float) -> list[Event]:
    """Troubles for so long while jobs come, then calm until all jobs are over. Returns the history."""
    rng = random.Random(seed)
    async with trio.open_nursery() as stand_ins:
        deployment = Deployment(stand_ins, seed)
        store, cloud = await deployment.open()
        with Controllers(directory, store, cloud, membership) as controllers:
            deployment.controllers = controllers
            with trio.fail_after(BEGIN_S):
                while deployment.leader() is None:
                    await trio.sleep(0.05)
            until = trio.current_time() + troubles_s
            with trio.move_on_after(troubles_s + CALM_S):
                async with trio.open_nursery() as users:
                    users.start_soon(Schedule(deployment, controllers, rng).run, until)
                    number = 0
                    while trio.current_time() < until:
                        number += 1
                        tasks, run_s = rng.randrange(1, 4), rng.choice(JOB_RUNS_S)
                        users.start_soon(deployment.run_job, f"run-{number:06d}", tasks, run_s)
                        await trio.sleep(JOB_EVERY_S)
        stand_ins.cancel_scope.cancel()
    return deployment.events
