"""The leader's view of the cluster, as the rest of the service uses it.

Adds event handling to the records: heartbeats, expired leases, tasks to be stopped, and tasks found that an earlier
leader started. No I/O; callers pass the current time."""

from __future__ import annotations

from sorrelsill.model import JobSpec, TaskSet
from sorrelsill.workers import adoption, heartbeats, loss, stopping
from sorrelsill.workers.cluster_records import ClusterRecords
from sorrelsill.workers.commands import response_commands
from sorrelsill.workers.job import Job
from sorrelsill.workers.machine import Attempt, Machine
from sorrelsill.workers.messages import Command, WorkerHeartbeat
from sorrelsill.workers.restarts import MachineSnapshot


class ClusterState(ClusterRecords):
    """The jobs, machines and attempts of one term, with the handlers of events."""

    def on_heartbeat(
        self, heartbeat: WorkerHeartbeat, now: float, may_command: bool = True, jobs_fresh: bool = True
    ) -> list[Command] | None:
        """Process a heartbeat. Returns the commands for the response, or None if it must not be answered with 200.

        Raises FencedError if the worker has seen a higher fencing token."""
        commands = heartbeats.on_heartbeat(self, heartbeat, now, may_command, jobs_fresh)
        self._watch_if_new(heartbeat.machine)
        return commands

    def commands_for(self, name: str, jobs_fresh: bool) -> list[Command]:
        """The commands for the answer to the newest heartbeat of a machine, as they are due now."""
        return response_commands(self, self.machines[name], jobs_fresh)

    def is_newest(self, heartbeat: WorkerHeartbeat) -> bool:
        """Whether this is the newest heartbeat accepted from its machine."""
        machine = self.machines.get(heartbeat.machine)
        return machine is not None and (machine.incarnation, machine.heartbeat_sequence_number) == (
            heartbeat.incarnation,
            heartbeat.sequence_number,
        )

    def on_command_response(
        self, heartbeat: WorkerHeartbeat, now: float, snapshot: MachineSnapshot | None = None
    ) -> None:
        """Process the worker's state that its response to a direct call contains. `snapshot`: what was known of the
        machine when the call was sent."""
        heartbeats.on_command_response(self, heartbeat, now, snapshot)
        self._watch_if_new(heartbeat.machine)

    def on_fencing_token_raised(self, fencing_token: int) -> None:
        """Continue the term with a higher fencing token."""
        self.fencing_token = fencing_token
        self.restarts.token_raised(fencing_token)
        self.wake_scheduler = True

    def needs_higher_token(self) -> bool:
        """Whether a restarted worker has to show a token that was not given out yet."""
        return self.restarts.required_token > self.fencing_token

    def snapshot(self, name: str) -> MachineSnapshot | None:
        """What is known of a machine, to compare it with the response to a direct call that is sent now."""
        machine = self.machines.get(name)
        return MachineSnapshot.of(machine) if machine is not None else None

    def _watch_if_new(self, name: str) -> None:
        """Set the machine's lease timer if it has none.

        An existing timer need not change here: a message either postpones the machine's next check, or it makes the
        machine usable, and then the machine table sets the timer."""
        machine = self.machines.get(name)
        if machine is not None:
            self.leases.watch_if_new(machine)

    def expire_leases(self, now: float) -> list[Machine]:
        """Declare machines lost that have been silent for longer than the workers' lease, and return them."""
        return loss.expire_leases(self, now)

    def receives_no_heartbeats(self, now: float, limit_s: float) -> bool:
        """Whether workers sent heartbeats in this term, but none within the last `limit_s` seconds."""
        return loss.receives_no_heartbeats(self, now, limit_s)

    def stop_tasks_on_reclaimed_machines(self, now: float) -> None:
        """Stop tasks on machines that the cloud provider is about to reclaim."""
        loss.stop_tasks_on_reclaimed_machines(self, now)

    def stop(self, attempt: Attempt, reason: str, immediately: bool = False) -> None:
        """Stop a task to free capacity or to drain its machine; the tasks of a gang are stopped together."""
        stopping.stop(self, attempt, reason, immediately)

    def add_job(
        self,
        spec: JobSpec,
        done: TaskSet,
        rev: int,
        from_earlier_term: bool,
        submitted: float,
        notes: list[str],
        accepted: float = 0.0,
    ) -> Job:
        """Add a live job, and adopt its tasks that are already on machines."""
        job = Job(spec, done, rev, from_earlier_term, submitted, notes)
        job.accepted = accepted
        self.insert_job(job)
        adoption.adopt_tasks_of_job(self, job)
        return job

    def add_ended_job(self, spec: JobSpec, done: TaskSet) -> None:
        """Add a job that ended before this term. Its tasks on machines are stopped, and count toward its team's usage
        until they are gone."""
        ended = self.failover.add_ended_job(spec, done)
        adoption.adopt_tasks_of_ended_job(self, ended)
