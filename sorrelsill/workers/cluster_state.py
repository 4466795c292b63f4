"""The leader's view of the cluster, as the rest of the service uses it: the records, and what is done to them when a
heartbeat comes, a lease expires, a task has to stop or a task of an earlier leader is found. Pure: time is given."""

from __future__ import annotations

from sorrelsill.model import JobSpec, TaskSet
from sorrelsill.workers import adoption, heartbeats, loss, stopping
from sorrelsill.workers.cluster_records import ClusterRecords
from sorrelsill.workers.job import Job
from sorrelsill.workers.machine import Attempt, Machine
from sorrelsill.workers.messages import Command, WorkerHeartbeat


class ClusterState(ClusterRecords):
    """One term's view of jobs, machines and attempts."""

    def on_heartbeat(
        self, heartbeat: WorkerHeartbeat, now: float, acting: bool = True, jobs_fresh: bool = True
    ) -> list[Command] | None:
        """Take a heartbeat in; the commands for the answer, or None if it must not be answered with 200.

        Raises FencedError if the worker has seen a higher fencing token."""
        commands = heartbeats.on_heartbeat(self, heartbeat, now, acting, jobs_fresh)
        self._watch_if_new(heartbeat.machine)
        return commands

    def on_command_response(self, heartbeat: WorkerHeartbeat, now: float) -> None:
        """Take in a worker's state out of its answer to a direct call."""
        heartbeats.on_command_response(self, heartbeat, now)
        self._watch_if_new(heartbeat.machine)

    def _watch_if_new(self, name: str) -> None:
        """A message moves the machine's next check away, unless it makes the machine usable (which sets the timer
        anew), so only a machine without a timer needs one."""
        machine = self.machines.get(name)
        if machine is not None:
            self.leases.watch_if_new(machine)

    def expire_leases(self, now: float) -> list[Machine]:
        """Declare lost what has been silent for longer than the workers' lease. Returns those machines."""
        return loss.expire_leases(self, now)

    def hears_no_worker(self, now: float, limit: float) -> bool:
        """Whether workers were heard in this term and all of them have been silent for `limit` seconds."""
        return loss.hears_no_worker(self, now, limit)

    def drain(self, now: float) -> None:
        """Move work off machines that are about to be reclaimed."""
        loss.drain(self, now)

    def stop(self, attempt: Attempt, reason: str, immediately: bool = False) -> None:
        """Stop a task to make room or to drain; the tasks of a gang are stopped together."""
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
        """Enter a live job; tasks of it that are on machines already are adopted."""
        job = Job(spec, done, rev, from_earlier_term, submitted, notes)
        job.accepted = accepted
        self.insert_job(job)
        adoption.adopt_tasks_of(self, job)
        return job

    def add_ended_job(self, spec: JobSpec, done: TaskSet) -> None:
        """Enter a job that was over before this term; its tasks on machines are stopped, and count until they are
        gone."""
        ended = self.failover.add_ended_job(spec, done)
        adoption.adopt_tasks_of_ended(self, ended)
