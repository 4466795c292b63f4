"""The leader's view of the cluster: jobs, machines, and the attempts bound to machines. Pure: no I/O, time is given.

The rule behind everything: an attempt is bound to (machine, incarnation) from before its start is first sent
until it is *proved* gone. Proofs are: the worker reports it exited; the worker reports a later incarnation;
the worker reports without it and its start went only into answers to earlier reports (which a worker
executes before its next report or drops for good); the machine was returned or is listed as failed; or the
worker's lease has run out since the last report that was answered. Silence short of that, or absence from
the machine list, proves nothing. Bound attempts count toward team limits, zones and the machine's room."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Iterable

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.model import Catalog, JobSpec, MachineType, Resources, TaskSet
from sorrelsill.timers import Timers
from sorrelsill.workers import adoption, heartbeats, loss, messages, stopping
from sorrelsill.workers.attempt import Attempt
from sorrelsill.workers.attempt_events import log_attempt
from sorrelsill.workers.attempt_index import AttemptIndex
from sorrelsill.workers.failover import FailoverReconciliation
from sorrelsill.workers.job import Job
from sorrelsill.workers.machine import Machine
from sorrelsill.workers.machine_index import MachineIndex
from sorrelsill.workers.pending_writes import PendingWrites
from sorrelsill.workers.team_usage import BoundUsage, TeamUse
from sorrelsill.workers.tombstones import Tombstones

log = logging.getLogger(__name__)


class ClusterState:
    """One term's view of jobs, machines and attempts."""

    def __init__(
        self,
        term: int,
        now: float,
        catalog: Catalog,
        loss_s: float,
        validity_s: float,
        overdue_s: float = float("inf"),
        peer_s: float = 0.0,
    ) -> None:
        self.failover = FailoverReconciliation()
        self.term = term
        self.started = now
        self.catalog = catalog
        self.loss_s = loss_s
        self.validity_s = validity_s
        self.overdue_s = overdue_s
        self.peer_s = peer_s  # within this the tasks of a group notice that one is gone, and have to be told to save
        self.gangs: dict[str, Job] = {}  # the live jobs whose tasks run together
        self.largest_gang: dict[str, JobSpec] = {}  # class -> its largest group of this term
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.bound_usage = BoundUsage()
        self.attempts = AttemptIndex()
        self.index = MachineIndex()
        self.silence: Timers[Machine] = Timers()  # when machines are looked at for silence
        self._changed_jobs: dict[str, None] = {}  # jobs that came, changed or ended since placing last asked
        self.machines_with_pending_commands: dict[
            str, Machine
        ] = {}  # machines that may have orders not sent to them yet
        self.machines_with_reclaim_notice: dict[str, Machine] = {}  # machines with a notice
        self.tombstones = Tombstones()
        self.pending_writes = PendingWrites()
        self.unreachable_after_s = loss_s / 2
        self.expired_at = float("-inf")
        self.renewed_by_others = float("-inf")  # leases may have been renewed by any node up to then
        self.heard_at: float | None = None  # receipt of the last report of any worker in this term
        self.wake_scheduler = True
        self.starts_refused = 0  # for a team's limit, in this term
        self.first_bound_at: float | None = None  # when the first task of this term was bound
        self._attempts_made = 0
        self._jobs_added = 0

    # --- its parts: each a module of its own ---

    def on_heartbeat(
        self, heartbeat: messages.WorkerHeartbeat, now: float, acting: bool = True, fresh: bool = True
    ) -> list[messages.Command] | None:
        """Take a report in; the commands for the answer, or None if it must not be answered with 200."""
        commands = heartbeats.on_heartbeat(self, heartbeat, now, acting, fresh)
        self._watch_if_new(heartbeat.machine)
        return commands

    def on_command_response(self, heartbeat: messages.WorkerHeartbeat, now: float) -> None:
        """Take in a worker's state out of its answer to a direct call."""
        heartbeats.on_command_response(self, heartbeat, now)
        self._watch_if_new(heartbeat.machine)

    def expire_leases(self, now: float) -> list[Machine]:
        """Declare lost what has been silent for longer than the workers' lease."""
        return loss.expire_leases(self, now)

    def hears_no_worker(self, now: float, limit: float) -> bool:
        """Whether workers were heard in this term and all of them have been silent since."""
        return loss.hears_no_worker(self, now, limit)

    def drain(self, now: float) -> None:
        """Move work off machines that are about to be taken back."""
        loss.drain(self, now)

    def team_use(self, team: str) -> TeamUse:
        """All that may be running for a team. The one count that its limit is held against."""
        return TeamUse(self.bound_usage.of(team), self.unobserved(team))

    def unobserved(self, team: str) -> Resources:
        """What tasks of a team may be using that are not bound here."""
        return self.failover.unobserved(team, self.jobs, self.catalog, self.attempts.machines_with_unknown.values())

    # --- jobs ---

    def add_job(
        self,
        spec: JobSpec,
        done: TaskSet,
        rev: int,
        from_earlier_term: bool,
        submitted: float,
        why: list[str],
        accepted: float = 0.0,
    ) -> Job:
        """A live job; tasks of it that are on machines already are adopted."""
        job = Job(spec, done, rev, from_earlier_term, submitted, why)
        job.accepted = accepted
        self._jobs_added += 1
        job.order = self._jobs_added
        self.jobs[spec.job_id] = job
        if spec.is_gang:
            self.gangs[spec.job_id] = job
            if done.count:
                # Its tasks complete together; the version before this one recorded them one by one.
                for index in range(spec.task_count):
                    done.add(index)
            largest = self.largest_gang.get(spec.job_class)
            if largest is None or largest.cpus * largest.task_count < spec.cpus * spec.task_count:
                self.largest_gang[spec.job_class] = spec
        self.job_changed(spec.job_id)
        if done.count == spec.task_count and not spec.is_service:
            self.pending_writes.records.add(spec.job_id)
        for attempt in self.attempts.of_job(spec.job_id):
            if attempt.spec is None and not attempt.exited:
                adoption.adopt(self, attempt, job)
        self.wake_scheduler = True
        return job

    def end_job(self, job_id: str) -> None:
        """The job is over, as committed: none of its tasks may start, all have to go."""
        job = self.jobs.pop(job_id, None)
        self.gangs.pop(job_id, None)
        self.pending_writes.records.discard(job_id)
        if job is None:
            return
        self.job_changed(job_id)
        if not self.failover.reconciled(job):
            ended = self.failover.add_ended_job(job.spec, job.done.copy())
            for index in job.bound:
                ended.found(index)
        for attempt in self.attempts.of_job(job_id):
            if attempt.exited:
                attempt.clearable = True
            else:
                attempt.grace_period_s = 0.0
                self.request_stop(attempt, "over")
        self.wake_scheduler = True

    def add_ended_job(self, spec: JobSpec, done: TaskSet) -> None:
        """A job that was over before this term; its tasks on machines are stopped, and count until they are gone."""
        ended = self.failover.add_ended_job(spec, done)
        for attempt in self.attempts.of_job(spec.job_id):
            if attempt.spec is None and not attempt.exited:
                adoption.adopt_ended(self, attempt, ended)

    def job_changed(self, job_id: str) -> None:
        """Called wherever a job comes or ends, or what is done or bound of it changes."""
        self._changed_jobs[job_id] = None

    def take_changed_jobs(self) -> list[str]:
        """The jobs that have changed since this was last asked; placing alone asks."""
        changed = list(self._changed_jobs)
        self._changed_jobs.clear()
        return changed

    # --- binding ---

    def next_attempt_number(self) -> int:
        """Grows within the term and across terms, so no attempt number is ever used twice for a task."""
        self._attempts_made += 1
        return (self.term << constants.ATTEMPT_COUNTER_BITS) + self._attempts_made

    def bind(self, job: Job, index: int, machine: Machine, now: float, attempt_number: int | None = None) -> Attempt:
        """Bind a task to a machine; a group's tasks are given the attempt number by which they find each other."""
        attempt = Attempt(job.spec.job_id, index, attempt_number or self.next_attempt_number(), machine, job.spec, now)
        attempt.located = True
        self._attach(attempt, job)
        self.machines_with_pending_commands[machine.name] = machine
        if self.first_bound_at is None:
            self.first_bound_at = now
        job.served_at = now
        self.job_changed(job.spec.job_id)
        if job.spec.image not in machine.images:
            machine.fetching.add(job.spec.image)
        log_attempt(
            log,
            "bind",
            attempt,
            waited_s=now - job.submitted,
            image_there=job.spec.image in machine.images,
            from_earlier_term=job.from_earlier_term,
        )
        return attempt

    def _attach(self, attempt: Attempt, job: Job) -> None:
        """Take room, limits and zones into account; `attempt.spec` is set already."""
        self.attempts.enter(attempt)
        self.take_room(attempt)
        if attempt.index not in job.bound:
            job.bound[attempt.index] = attempt
            job.zones[attempt.machine.zone] = job.zones.get(attempt.machine.zone, 0) + 1
            self.job_changed(attempt.job_id)

    def take_room(self, attempt: Attempt) -> None:
        """Count an attempt whose size is known, on its machine and for its team."""
        machine, spec = attempt.machine, attempt.spec
        assert spec is not None
        machine.bound_count += 1
        machine.cpus += spec.cpus
        machine.gpus += spec.gpus
        machine.memory_gb += spec.memory_gb
        self.bound_usage.take(spec)
        self.index.room_changed(machine)

    def unbind(self, attempt: Attempt, now: float, requeue: bool = True) -> None:
        """The attempt is proved gone: give back what it held."""
        machine, spec = attempt.machine, attempt.spec
        if spec is None:
            return
        attempt.spec = None
        if self.failover.unconfirmed:
            self.failover.recount()  # it may have been a phantom out of a late copy, and the true one unseen
        machine.bound_count -= 1
        machine.cpus = max(0.0, machine.cpus - spec.cpus)
        machine.gpus = max(0.0, machine.gpus - spec.gpus)
        machine.memory_gb = max(0.0, machine.memory_gb - spec.memory_gb)
        self.bound_usage.give_back(spec)
        self.index.room_changed(machine)
        ended = self.failover.ended.get(spec.job_id)
        if ended is not None and not attempt.located:
            ended.lost_sight(attempt.index)
        job = self.jobs.get(spec.job_id)
        if job is not None and job.bound.get(attempt.index) is attempt:
            del job.bound[attempt.index]
            job.zones[machine.zone] = job.zones.get(machine.zone, 1) - 1
            job.served_at = now
            if requeue and attempt.index not in job.done:
                heapq.heappush(job.requeued, attempt.index)
            self.pending_writes.records.add(spec.job_id)
            self.job_changed(spec.job_id)
        if machine.bound_count == 0:
            machine.idle_since = now
            machine.fetching.clear()
        self.wake_scheduler = True

    def gang_headroom_cpus(self, classes: Iterable[str]) -> float:
        """CPUs for one more group of each of these classes, as large as the largest seen."""
        largest = (self.largest_gang.get(name) for name in classes)
        return constants.GANG_HEADROOM * sum(s.cpus * s.task_count for s in largest if s is not None)

    def release_all(self, machine: Machine, now: float, reason: str) -> None:
        """All that was on the machine is proved gone."""
        for attempt in list(machine.attempts.values()):
            job = self.jobs.get(attempt.job_id)
            if job is not None and not attempt.exited and job.bound.get(attempt.index) is attempt:
                job.note(f"task {attempt.index}: {reason} ({machine.name})")
            self.attempts.leave(attempt)
            self.unbind(attempt, now)
        machine.cpus = machine.gpus = machine.memory_gb = 0.0
        self.index.room_changed(machine)

    # --- machines ---

    def set_catalog(self, catalog: Catalog) -> None:
        """Sizes of machines are known anew."""
        self.catalog = catalog
        for machine in self.machines.values():
            self._size(machine)
        self.failover.recount()
        self.wake_scheduler = True

    def _size(self, machine: Machine) -> None:
        kind: MachineType | None = self.catalog.machine_types.get(machine.machine_type)
        if kind is not None:
            machine.capacity_cpus, machine.capacity_gpus, machine.capacity_memory_gb = (
                kind.cpus,
                kind.gpus,
                kind.memory_gb,
            )
            machine.cache_gb = kind.cache_gb
            self.index.room_changed(machine)

    def machine(self, name: str, machine_type: str, zone: str, spot: bool, now: float) -> Machine:
        """The machine of that name, made if it was not known."""
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(name, now, self._usable_changed)
            self.index.room_changed(machine)
        if machine_type and not machine.machine_type:
            machine.machine_type, machine.zone, machine.spot = machine_type, zone, spot
            self._size(machine)
        return machine

    def _watch_if_new(self, name: str) -> None:
        """A message moves the next look for silence away, unless it makes the machine usable (see below), so only one
        without a timer needs one."""
        machine = self.machines.get(name)
        if machine is not None and machine not in self.silence:
            loss.watch_for_silence(self, machine)

    def _usable_changed(self, machine: Machine) -> None:
        if self.machines.get(machine.name) is machine:
            self.index.usable_changed(machine)
            if machine.usable:
                # It was overdue or new: its next look is nearer than that for a lease that runs out.
                loss.watch_for_silence(self, machine)

    def gone_for_certain(self, name: str, now: float, reason: str) -> None:
        """The machine was returned (answered 200), or is listed as failed. Machine names are never used again, so
        whatever still comes under this one is a late copy."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.release_all(machine, now, reason)
            self.index.forget(machine)
        self._forget(name)
        self.tombstones.bury_for_good(name, now)
        self.confirm(name, reason, now)
        self.pending_writes.deregistrations.add(name)
        self.wake_scheduler = True

    def drop(self, machine: Machine, now: float) -> None:
        """Forget a machine that is lost and listed no more; should it be alive after all, a later incarnation tells."""
        del self.machines[machine.name]
        self.index.forget(machine)
        self._forget(machine.name)
        self.tombstones.bury(machine.name, machine.incarnation, machine.sequence_number, now)

    def _forget(self, name: str) -> None:
        for index in (
            self.machines_with_pending_commands,
            self.machines_with_reclaim_notice,
            self.attempts.machines_with_unknown,
            self.pending_writes.registrations,
        ):
            index.pop(name, None)

    def confirm(self, name: str, proof: str, now: float) -> None:
        """What an earlier leader may have left on the machine is known, or gone; `proof` says by what."""
        if not self.failover.confirm(name):
            return
        left = len(self.failover.unconfirmed)
        after_s = now - self.started
        log_event(log, logging.DEBUG, "machine_confirmed", machine=name, proof=proof, after_s=after_s, unconfirmed=left)
        if not left:
            log_event(log, logging.INFO, "machines_confirmed", term=self.term, after_s=after_s)

    # --- stopping: a module of its own ---

    def stop(self, attempt: Attempt, reason: str, immediately: bool = False) -> None:
        """Stop a task to make room or to drain; the tasks of a group are stopped together."""
        stopping.stop(self, attempt, reason, immediately)

    def stop_one(self, attempt: Attempt, reason: str, immediately: bool, wait_s: float = 0.0) -> None:
        """One task, whatever becomes of the others; `wait_s` is what it may need on top of its saving."""
        stopping.stop_one(self, attempt, reason, immediately, wait_s)

    def request_stop(self, attempt: Attempt, reason: str) -> None:
        """The attempt has to go; its machine is told with the next commands."""
        stopping.request_stop(self, attempt, reason)
