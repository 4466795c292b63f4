"""The leader's view of the cluster: jobs, machines, and the attempts bound to machines. Pure: no I/O, time is given.

The rule behind everything: an attempt is bound to (machine, incarnation) from before its start is first sent
until it is *proved* gone. Proofs are: a heartbeat names it as exited; a heartbeat shows a later incarnation;
a heartbeat lacks it and its start went only into answers to earlier heartbeats (which a worker
executes before its next heartbeat or drops for good); the machine was returned or is listed as failed; or the
worker's lease has expired since the last heartbeat that was answered. Silence short of that, or absence from
the machine list, proves nothing. Bound attempts count toward team limits, zones and the machine's room."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Iterable

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.model import Catalog, JobSpec, MachineType, Resources, TaskSet
from sorrelsill.workers.attempt_events import log_attempt
from sorrelsill.workers.attempt_index import AttemptIndex
from sorrelsill.workers.failover import FailoverReconciliation
from sorrelsill.workers.job import Job
from sorrelsill.workers.largest_gangs import LargestGangs
from sorrelsill.workers.lease_monitor import LeaseMonitor
from sorrelsill.workers.machine import Attempt, Machine
from sorrelsill.workers.machine_index import MachineIndex
from sorrelsill.workers.pending_writes import PendingWrites
from sorrelsill.workers.team_usage import BoundUsage, TeamUse
from sorrelsill.workers.tombstones import Tombstones

log = logging.getLogger(__name__)


class ClusterRecords:
    """One term's jobs, machines and attempts, and the changes that keep them consistent with one another."""

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
        self.term = term
        self.started = now
        self.catalog = catalog
        self.loss_s = loss_s
        self.peer_s = peer_s  # within this a gang's tasks notice that one is gone, and have to be stopped to checkpoint
        self.failover = FailoverReconciliation()
        self.leases = LeaseMonitor(now, loss_s, validity_s, overdue_s, self.failover)
        self.jobs: dict[str, Job] = {}
        self.gangs: dict[str, Job] = {}  # the live jobs whose tasks run together
        self.largest_gang = LargestGangs()
        self.machines: dict[str, Machine] = {}
        self.machines_with_pending_commands: dict[str, Machine] = {}  # may have commands that were not sent yet
        self.machines_with_reclaim_notice: dict[str, Machine] = {}
        self.index = MachineIndex()
        self.attempts = AttemptIndex()
        self.bound_usage = BoundUsage()
        self.tombstones = Tombstones()
        self.pending_writes = PendingWrites()
        self.heard_at: float | None = None  # receipt of the last heartbeat of any worker in this term
        self.wake_scheduler = True
        self.starts_refused = 0  # for a team's limit, in this term
        self.first_bound_at: float | None = None  # when the first task of this term was bound
        self._changed_jobs: dict[str, None] = {}  # jobs that came, changed or ended since the scheduler last asked
        self._attempts_made = 0
        self._jobs_added = 0

    @property
    def renewed_by_others(self) -> float:
        """Up to when leases may have been renewed by any node."""
        return self.leases.renewed_by_others

    @renewed_by_others.setter
    def renewed_by_others(self, until: float) -> None:
        self.leases.renewed_by_others = until

    def team_use(self, team: str) -> TeamUse:
        """All that may be running for a team. The one count that its limit is held against."""
        return TeamUse(self.bound_usage.of(team), self.unobserved(team))

    def unobserved(self, team: str) -> Resources:
        """What tasks of a team may be using that are not bound here."""
        return self.failover.unobserved(
            team, self.jobs, self.catalog, self.attempts.machines_with_unknown_tasks.values()
        )

    # --- jobs ---

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
        """Enter a live job."""
        job = Job(spec, done, rev, from_earlier_term, submitted, notes)
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
            self.largest_gang.add(spec)
        self.job_changed(spec.job_id)
        if done.count == spec.task_count and not spec.is_service:
            self.pending_writes.record_due(spec.job_id)
        self.wake_scheduler = True
        return job

    def end_job(self, job_id: str) -> None:
        """The job is over, as committed: none of its tasks may start, all have to go."""
        job = self.jobs.pop(job_id, None)
        self.gangs.pop(job_id, None)
        self.pending_writes.record_not_due(job_id)
        if job is None:
            return
        self.job_changed(job_id)
        if not self.failover.reconciled(job):
            ended = self.failover.add_ended_job(job.spec, job.done.copy())
            for index in job.bound:
                ended.mark_observed(index)
        for attempt in self.attempts.of_job(job_id):
            if attempt.exited:
                attempt.clearable = True
            else:
                attempt.grace_period_s = 0.0
                self.request_stop(attempt, "over")
        self.wake_scheduler = True

    def job_changed(self, job_id: str) -> None:
        """Called wherever a job comes or ends, or what is done or bound of it changes."""
        self._changed_jobs[job_id] = None

    def take_changed_jobs(self) -> list[str]:
        """The jobs that have changed since this was last called; only the scheduler calls it."""
        changed = list(self._changed_jobs)
        self._changed_jobs.clear()
        return changed

    # --- binding ---

    def next_attempt_number(self) -> int:
        """Grows within the term and across terms, so no attempt number is ever used twice for a task."""
        self._attempts_made += 1
        return (self.term << constants.ATTEMPT_COUNTER_BITS) + self._attempts_made

    def bind(self, job: Job, index: int, machine: Machine, now: float, attempt_number: int | None = None) -> Attempt:
        """Bind a task to a machine; a gang's tasks are given the attempt number by which they find each other."""
        attempt = Attempt(job.spec.job_id, index, attempt_number or self.next_attempt_number(), machine, job.spec, now)
        attempt.verified = True
        self._attach(attempt, job)
        self.machines_with_pending_commands[machine.name] = machine
        if self.first_bound_at is None:
            self.first_bound_at = now
        job.last_activity_at = now
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
            self.failover.recount()  # it may have been a stale copy, and the true one not observed
        self._give_back_room(machine, spec)
        ended = self.failover.ended.get(spec.job_id)
        if ended is not None and not attempt.verified:
            ended.mark_unobserved(attempt.index)
        job = self.jobs.get(spec.job_id)
        if job is not None and job.bound.get(attempt.index) is attempt:
            self._unbind_from_job(job, attempt, now, requeue)
        if machine.bound_count == 0:
            machine.idle_since = now
            machine.fetching.clear()
        self.wake_scheduler = True

    def _give_back_room(self, machine: Machine, spec: JobSpec) -> None:
        machine.bound_count -= 1
        machine.cpus = max(0.0, machine.cpus - spec.cpus)
        machine.gpus = max(0.0, machine.gpus - spec.gpus)
        machine.memory_gb = max(0.0, machine.memory_gb - spec.memory_gb)
        self.bound_usage.give_back(spec)
        self.index.room_changed(machine)

    def _unbind_from_job(self, job: Job, attempt: Attempt, now: float, requeue: bool) -> None:
        zone = attempt.machine.zone
        del job.bound[attempt.index]
        job.zones[zone] = job.zones.get(zone, 1) - 1
        job.last_activity_at = now
        if requeue and attempt.index not in job.done:
            heapq.heappush(job.requeued, attempt.index)
        self.pending_writes.record_due(job.spec.job_id)
        self.job_changed(job.spec.job_id)

    def gang_headroom_cpus(self, classes: Iterable[str]) -> float:
        """CPUs for one more gang of each of these classes, as large as the largest seen."""
        return self.largest_gang.headroom_cpus(classes)

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
        """Machine types, and so the capacities of machines, are known anew."""
        self.catalog = catalog
        for machine in self.machines.values():
            self._apply_capacity(machine)
        self.failover.recount()
        self.wake_scheduler = True

    def _apply_capacity(self, machine: Machine) -> None:
        machine_type: MachineType | None = self.catalog.machine_types.get(machine.machine_type)
        if machine_type is not None:
            machine.capacity_cpus = machine_type.cpus
            machine.capacity_gpus = machine_type.gpus
            machine.capacity_memory_gb = machine_type.memory_gb
            machine.cache_gb = machine_type.cache_gb
            self.index.room_changed(machine)

    def machine(self, name: str, machine_type: str, zone: str, spot: bool, now: float) -> Machine:
        """The machine of that name, made if it was not known."""
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(name, now, self._usable_changed)
            self.index.room_changed(machine)
        if machine_type and not machine.machine_type:
            machine.machine_type, machine.zone, machine.spot = machine_type, zone, spot
            self._apply_capacity(machine)
        return machine

    def _usable_changed(self, machine: Machine) -> None:
        if self.machines.get(machine.name) is machine:
            self.index.usable_changed(machine)
            if machine.usable:
                # It was overdue or new: its next check is nearer than that for a lease that expires.
                self.leases.watch(machine)

    def gone_for_certain(self, name: str, now: float, reason: str) -> None:
        """The machine was returned (answered 200), or is listed as failed. Machine names are never used again, so
        whatever still comes under this one is a stale copy."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.release_all(machine, now, reason)
            self.index.forget(machine)
        self._forget(name)
        self.tombstones.record_forever(name, now)
        self.confirm(name, reason, now)
        self.pending_writes.deregistration_due(name)
        self.wake_scheduler = True

    def drop(self, machine: Machine, now: float) -> None:
        """Forget a machine that is lost and listed no more. Should it be alive, a later incarnation shows it."""
        del self.machines[machine.name]
        self.index.forget(machine)
        self._forget(machine.name)
        self.tombstones.record(machine.name, machine.incarnation, machine.sequence_number, now)

    def _forget(self, name: str) -> None:
        self.machines_with_pending_commands.pop(name, None)
        self.machines_with_reclaim_notice.pop(name, None)
        self.attempts.machines_with_unknown_tasks.pop(name, None)
        self.pending_writes.registration_not_due(name)

    def confirm(self, name: str, proof: str, now: float) -> None:
        """What an earlier leader may have left on the machine is known, or gone; `proof` says by what."""
        if not self.failover.confirm(name):
            return
        unconfirmed = len(self.failover.unconfirmed)
        after_s = now - self.started
        log_event(
            log, logging.DEBUG, "machine_confirmed", machine=name, proof=proof, after_s=after_s, unconfirmed=unconfirmed
        )
        if not unconfirmed:
            log_event(log, logging.INFO, "machines_confirmed", term=self.term, after_s=after_s)

    # --- stopping ---

    def stop_one(self, attempt: Attempt, reason: str, immediately: bool, wait_s: float = 0.0) -> None:
        """Stop one task, whatever becomes of the others; `wait_s` is the time in seconds that it may need on top of its
        checkpoint."""
        if attempt.stop_requested or attempt.exited:
            return
        spec = attempt.spec
        if spec is not None and spec.checkpoint_interval_s > 0 and not immediately:
            attempt.grace_period_s = spec.checkpoint_cost_s + 1.0 + wait_s
        self.request_stop(attempt, reason)

    def request_stop(self, attempt: Attempt, reason: str) -> None:
        """The attempt has to go; its machine is sent a stop with the next commands. Every way to stop a task ends
        here."""
        attempt.stop_requested = True
        attempt.stop_reason = reason
        self.machines_with_pending_commands[attempt.machine.name] = attempt.machine
        log_attempt(log, "halt", attempt, reason=reason, wind_down_s=attempt.grace_period_s)
