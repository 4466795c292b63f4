"""The leader's cluster state and scheduler without I/O. Workers execute every command at once; no message is lost."""

from __future__ import annotations

import random
from collections.abc import Sequence

from sorrelsill import constants
from sorrelsill.jobs import parse_spec
from sorrelsill.model import Catalog, JobSpec, MachineType, TaskSet
from sorrelsill.placement import Scheduler
from sorrelsill.settings import Objective, Team
from sorrelsill.workers import ClusterState, WorkerHeartbeat
from sorrelsill.workers.messages import Command, StartCommand, StopCommand, TaskStatus
from tests.simulation.users import job

MACHINE_TYPE = MachineType("std", 16.0, 0.0, 64.0, 40.0, 0.3, 1.0, 0.4, 30.0, ("a", "b"))
TERM, LOSS_S, VALIDITY_S, OVERDUE_S = 7, 14.5, 3.4, 4.2
TEAMS = [Team("red", cpus_max=600.0), Team("blue")]
_MACHINES_PER_SUBNET = 250


def array_job(job_id: str, **fields: object) -> JobSpec:
    """A job of one-CPU tasks that may use any machine."""
    return parse_spec(job(job_id, **{"vcpus": 1.0, "memoryGb": 3.0, "reclaimable": True, **fields}))


class LeaderInMemory:
    """A leader's cluster state and scheduler, with workers whose image pulls take no time."""

    def __init__(self, machines: int, registered: bool = False, teams: list[Team] | None = None) -> None:
        self.now = 0.0
        self.cluster = ClusterState(TERM, 0.0, Catalog({"std": MACHINE_TYPE}), LOSS_S, VALIDITY_S, OVERDUE_S)
        self.names = [f"m-{number:06d}" for number in range(machines)]
        self._numbers = {name: number for number, name in enumerate(self.names)}
        self.sequence_number = dict.fromkeys(self.names, 0)
        self.tasks: dict[str, dict[tuple[str, int], str]] = {name: {} for name in self.names}
        objectives = [Objective("finished", "w", 60.0)]
        self.scheduler = Scheduler(teams or TEAMS, objectives, random.Random(1), constants.CANDIDATE_SAMPLE, True)
        if registered:
            self.cluster.failover.expect_machines([(name, self._registry_entry(name)) for name in self.names])

    def _registry_entry(self, name: str) -> dict[str, object]:
        return {"f": "std", "a": self.address(name), "z": self.zone(name), "s": self.spot(name)}

    def zone(self, name: str) -> str:
        return "ab"[self._numbers[name] % 2]

    def spot(self, name: str) -> bool:
        return self._numbers[name] % 3 == 0

    def address(self, name: str) -> str:
        subnet, host = divmod(self._numbers[name], _MACHINES_PER_SUBNET)
        return f"10.1.{subnet}.{host}:9000"

    def next_heartbeat(self, name: str, fencing_token: int = TERM) -> WorkerHeartbeat:
        """Return the machine's next heartbeat."""
        self.sequence_number[name] += 1
        tasks = [
            TaskStatus(task_id, attempt_number, phase, "done" if phase == "exited" else None)
            for (task_id, attempt_number), phase in self.tasks[name].items()
        ]
        return WorkerHeartbeat(
            name,
            1,
            self.sequence_number[name],
            "std",
            self.zone(name),
            self.address(name),
            self.spot(name),
            fencing_token,
            tasks=tasks,
        )

    def execute(self, name: str, commands: Sequence[Command]) -> None:
        """Apply the commands to the worker's tasks."""
        tasks = self.tasks[name]
        for command in commands:
            key = command.task_id, command.attempt_number
            if isinstance(command, StartCommand):
                tasks.setdefault(key, "running")
            elif isinstance(command, StopCommand):
                if tasks.get(key) == "running":
                    del tasks[key]
            else:
                tasks.pop(key, None)

    def send_heartbeat(self, name: str, fencing_token: int = TERM) -> None:
        """Send a machine's heartbeat and execute the commands in the response."""
        self.execute(name, self.cluster.on_heartbeat(self.next_heartbeat(name, fencing_token), self.now) or [])

    def write_registry(self) -> None:
        """Mark all pending registry entries of machines as committed."""
        for machine in list(self.cluster.pending_writes.registrations.values()):
            machine.registered = True
        self.cluster.pending_writes.registrations.clear()

    def all_send_heartbeats(self, names: list[str] | None = None) -> None:
        """Send a heartbeat of each of these machines, by default of all, and register them."""
        for name in names if names is not None else self.names:
            self.send_heartbeat(name)
        self.write_registry()

    def add(self, spec: JobSpec, from_earlier_term: bool = False) -> None:
        """Add an accepted job; `from_earlier_term` if an earlier leader accepted it."""
        self.cluster.add_job(spec, TaskSet(spec.task_count), 1, from_earlier_term, self.now, [])

    def run_cycle(self) -> None:
        """Expire leases, then run the scheduler until it has tried every job."""
        self.cluster.expire_leases(self.now)
        while not self.scheduler.run_cycle(self.cluster, self.now, lambda: self.now, 1.0):
            pass

    def fill(self, tasks_each: int) -> None:
        """Run a hundred jobs that together give each machine this many tasks."""
        self.all_send_heartbeats()
        self.all_send_heartbeats()
        total = tasks_each * len(self.names)
        for number in range(100 if total else 0):
            self.add(array_job(f"run-{number}", shards=total // 100, owner="blue", bundle=f"img-{number % 14}"))
        self.run_cycle()
        self.all_send_heartbeats()
        self.all_send_heartbeats()
