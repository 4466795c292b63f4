"""Holds a leader's direct starts in the network: the setting of the scenarios and of the soak about late starts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import trio

from sorrelsill.http import Request
from tests.simulation.rules import CANCEL_S
from tests.simulation.simulated_cluster import SimulatedCluster
from tests.simulation.users import LABELS, job, service


def other_controllers(*leaders: str) -> list[str]:
    """Return the labels of the controllers that are not named."""
    return [label for label in LABELS if label not in leaders]


def one_task(job_id: str = "run-c", **fields: Any) -> dict[str, Any]:
    """Return a job whose image is cached on every machine, so that a start that is executed begins it at once."""
    return job(job_id, **{"shards": 1, "expectedRunS": 90.0, "sizeGb": 0.0, **fields})


def was_started(simulation: SimulatedCluster, job_id: str = "run-c") -> bool:
    """Return whether any task of the job has begun on a machine."""
    return any(task.startswith(job_id + "/") for _, task, _ in simulation.starts)


@dataclass(frozen=True, slots=True)
class HeldCommand:
    """A direct call to a machine that is held, and the machine's incarnation at that time."""

    machine: str
    incarnation: int
    body: bytes


class HeldStarts:
    """A service that runs throughout, and jobs whose direct starts are held on their way to the machines."""

    def __init__(self, simulation: SimulatedCluster) -> None:
        self._simulation = simulation
        self.leader = ""
        self.held: list[HeldCommand] = []
        self.held_count = 0
        self.held_command = b"start"  # commands that are held
        self._incarnations: dict[str, int] = {}
        self._services_started = 0

    async def set_up(self, warm_up_s: float = CANCEL_S + 5) -> None:
        """Run the service. After the warm-up, the watch caches have followed the store for longer than a cancelled task
        may run."""
        simulation = self._simulation
        await simulation.submit(service("run-s", vcpus=1.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 2)
        await trio.sleep(warm_up_s)
        self.leader = await simulation.until_leader()
        self._incarnations = {name: worker.incarnation for name, worker in simulation.workers.items()}
        self._services_started = self._service_starts()

    def hold(self) -> None:
        """Hold every direct start from now on."""
        self._simulation.net.hold_request = self._hold

    def _hold(self, src: str, dst: str, request: Request) -> bool:
        if request.path != "/commands" or self.held_command not in request.body:
            return False
        self.held_count += 1
        self.held.append(HeldCommand(dst, self._simulation.workers[dst].incarnation, request.body))
        return True

    def cut_machines_from(self, label: str) -> None:
        """The machines' heartbeats to this controller are held, and its calls to them get no response."""
        for name in self._simulation.workers:
            self._simulation.net.cut(name, label, both=False)

    async def submit(self, spec: dict[str, Any]) -> None:
        """Submit a job, and wait until a start of it is held."""
        held_before = len(self.held)
        await self._simulation.submit(spec)
        await self._simulation.until(lambda: len(self.held) > held_before, 5)

    async def hold_start(self, spec: dict[str, Any]) -> None:
        """Hold the start of a job, of which no machine learns in another way: none reaches the leader."""
        self.hold()
        self.cut_machines_from(self.leader)
        await self.submit(spec)

    async def cancel(self, job_id: str = "run-c", label: str | None = None) -> None:
        """Cancel a job, by default at a controller that does not lead."""
        label = label or other_controllers(self.leader)[0]
        status, answer = await self._simulation.ask(label, "POST", f"/v2/runs/{job_id}/cancel")
        assert status == 200 and answer["phase"] == "cancelled"

    def deliver(self) -> None:
        """Deliver what was held, and everything from now on."""
        self._simulation.net.hold_request = lambda src, dst, request: False
        self._simulation.net.heal()

    def _service_starts(self) -> int:
        return sum(1 for _, task, _ in self._simulation.starts if task.startswith("run-s/"))

    def assert_service_kept(self) -> None:
        """No machine has lost its lease, and no task of the service was started again."""
        workers = self._simulation.workers
        assert {name: workers[name].incarnation for name in self._incarnations if name in workers} == {
            name: incarnation for name, incarnation in self._incarnations.items() if name in workers
        }, "no lease has run out"
        assert self._service_starts() == self._services_started and len(self._simulation.running("run-s")) == 2
