"""The leader's view of the cluster: jobs, machines, and the attempts bound to machines. No I/O; callers pass the
current time.

The central invariant: an attempt is bound to (machine, incarnation) from before its start command is first sent until
it is *proved* gone. Any of these is a proof:

- a heartbeat reports it as exited;
- a heartbeat shows a later incarnation;
- its worker reported it before, but a newer heartbeat or response to a direct call does not list it;
- a heartbeat does not list it, and its start command was sent only in responses to earlier heartbeats: a worker
  executes such a command before its next heartbeat or never;
- the machine was returned or is listed as failed;
- the worker's lease has expired since the last heartbeat that was answered.

A shorter silence, or absence from the machine list, proves nothing. Bound attempts count toward team limits, zones and
the resources allocated on the machine."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from sorrelsill.events import log_event
from sorrelsill.model import Catalog, Resources
from sorrelsill.workers.allocations import Allocations
from sorrelsill.workers.attempt_events import log_attempt
from sorrelsill.workers.attempt_index import AttemptIndex
from sorrelsill.workers.failover import FailoverReconciliation
from sorrelsill.workers.job import Job
from sorrelsill.workers.job_table import JobTable
from sorrelsill.workers.lease_monitor import LeaseMonitor
from sorrelsill.workers.machine import Attempt, Machine
from sorrelsill.workers.machine_table import MachineTable
from sorrelsill.workers.pending_writes import PendingWrites
from sorrelsill.workers.restarted_machines import RestartedMachines
from sorrelsill.workers.team_usage import TeamUse
from sorrelsill.workers.term_counters import TermCounters
from sorrelsill.workers.tombstones import Tombstones

log = logging.getLogger(__name__)


class ClusterRecords:
    """The jobs, machines and attempts of one term; makes the changes that involve more than one of them."""

    def __init__(
        self,
        term: int,
        now: float,
        catalog: Catalog,
        loss_s: float,
        validity_s: float,
        overdue_s: float = float("inf"),
        gang_peer_s: float = 0.0,
    ) -> None:
        """`loss_s`, `validity_s`, `overdue_s`: durations in seconds, explained in `LeaseMonitor`."""
        self.term = term
        # The highest fencing token that this leader has given to workers. Every token from `term` on proves that a
        # worker refuses all earlier leaders.
        self.fencing_token = term
        self.term_began_at = now
        self.catalog = catalog
        self.loss_s = loss_s
        # s; a gang's tasks notice within this time that one is gone; a checkpoint needs all stops within it
        self.gang_peer_s = gang_peer_s
        self.failover = FailoverReconciliation()
        self.leases = LeaseMonitor(now, loss_s, validity_s, overdue_s, self.failover)
        self.counters = TermCounters(term)
        self._job_table = JobTable()
        self.jobs = self._job_table.jobs
        self.gangs = self._job_table.gangs
        self.largest_gangs = self._job_table.largest_gangs
        self._machine_table = MachineTable(catalog, self.leases)
        self.machines = self._machine_table.machines
        self.machines_with_pending_commands = self._machine_table.with_pending_commands
        self.machines_with_reclaim_notice = self._machine_table.with_reclaim_notice
        self.index = self._machine_table.index
        self.attempts = AttemptIndex()
        self._allocations = Allocations(self.index)
        self.bound_usage = self._allocations.by_team
        self.tombstones = Tombstones()
        self.restarts = RestartedMachines()
        self.pending_writes = PendingWrites()
        self.last_heartbeat_at: float | None = None  # receipt time of the term's last heartbeat from any worker
        self.wake_scheduler = True

    @property
    def others_may_renew_until(self) -> float:
        """Latest time at which another controller may have renewed the workers' leases."""
        return self.leases.others_may_renew_until

    @others_may_renew_until.setter
    def others_may_renew_until(self, until: float) -> None:
        self.leases.others_may_renew_until = until

    def team_use(self, team: str) -> TeamUse:
        """All resources that a team may be using. Its limit is checked against this figure only."""
        return TeamUse(self.bound_usage.of(team), self.unobserved(team))

    def unobserved(self, team: str) -> Resources:
        """The resources that a team's tasks may be using without being bound in this term."""
        return self.failover.unobserved(
            team, self.jobs, self.catalog, self.attempts.machines_with_unknown_tasks.values()
        )

    # --- jobs ---

    def insert_job(self, job: Job) -> None:
        """Insert a live job."""
        spec = job.spec
        job.order = self.counters.next_job_order()
        self._job_table.add(job)
        if job.done.count == spec.task_count and not spec.is_service:
            self.pending_writes.record_due(spec.job_id)
        self.wake_scheduler = True

    def end_job(self, job_id: str) -> None:
        """Remove a job whose end is committed to the key-value store, and stop its remaining attempts."""
        job = self._job_table.remove(job_id)
        self.pending_writes.record_not_due(job_id)
        if job is None:
            return
        if not self.failover.is_reconciled(job):
            ended = self.failover.add_ended_job(job.spec, job.done.copy())
            for index in job.bound:
                ended.mark_observed(index)
        for attempt in self.attempts.of_job(job_id):
            if attempt.exited:
                attempt.may_be_cleared = True
            else:
                attempt.grace_period_s = 0.0
                self.request_stop(attempt, "over")
        self.wake_scheduler = True

    def mark_job_changed(self, job_id: str) -> None:
        """Record that a job was added or ended, or that its done or bound tasks changed."""
        self._job_table.mark_changed(job_id)

    def take_changed_jobs(self) -> list[str]:
        """Return the jobs changed since the last call. Only the scheduler may call it, as the list is cleared."""
        return self._job_table.take_changed_jobs()

    # --- binding ---

    def next_attempt_number(self) -> int:
        """Return a number larger than all of this and earlier terms, so that none is used twice for a task."""
        return self.counters.next_attempt_number()

    def bind(self, job: Job, index: int, machine: Machine, now: float, attempt_number: int | None = None) -> Attempt:
        """Bind a task to a machine. A gang's tasks share one attempt number, by which they find each other."""
        attempt = Attempt(job.spec.job_id, index, attempt_number or self.next_attempt_number(), machine, job.spec, now)
        attempt.verified = True
        self._attach(attempt, job)
        self.machines_with_pending_commands[machine.name] = machine
        self.counters.task_bound(now)
        job.last_activity_at = now
        self.mark_job_changed(job.spec.job_id)
        if job.spec.image not in machine.images:
            machine.images_being_fetched.add(job.spec.image)
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
        """Record the attempt on its machine and for its team, job and zone; `attempt.spec` must be set."""
        self.attempts.add(attempt)
        self.allocate_resources(attempt)
        if attempt.index not in job.bound:
            job.bind(attempt)
            self.mark_job_changed(attempt.job_id)

    def allocate_resources(self, attempt: Attempt) -> None:
        """Count an attempt of a known job toward the usage of its machine and team."""
        assert attempt.spec is not None
        self._allocations.allocate(attempt.machine, attempt.spec)

    def unbind(self, attempt: Attempt, now: float, requeue: bool = True) -> None:
        """Release everything held by an attempt that is proved gone. Without effect if it holds nothing: its job is not
        known, or it was unbound before."""
        machine, spec = attempt.machine, attempt.spec
        if spec is None:
            return
        attempt.spec = None
        if self.failover.unconfirmed:
            # If the attempt was read from a stale message, its task may run on an unconfirmed machine instead, and has
            # to count as unobserved again.
            self.failover.invalidate_unobserved()
        self._allocations.release(machine, spec)
        ended = self.failover.ended.get(spec.job_id)
        if ended is not None and not attempt.verified:
            ended.mark_unobserved(attempt.index)
        job = self.jobs.get(spec.job_id)
        if job is not None and job.bound.get(attempt.index) is attempt:
            job.unbind(attempt, now, requeue)
            self.pending_writes.record_due(spec.job_id)
            self.mark_job_changed(spec.job_id)
        if machine.bound_count == 0:
            machine.idle_since = now
            machine.images_being_fetched.clear()
        self.wake_scheduler = True

    def gang_headroom_cpus(self, classes: Iterable[str]) -> float:
        """CPUs to keep free for one more gang of each of these classes, sized by the largest one of this term."""
        return self.largest_gangs.headroom_cpus(classes)

    def release_all(self, machine: Machine, now: float, reason: str) -> None:
        """Release all attempts of the machine, which are proved gone."""
        for attempt in list(machine.attempts.values()):
            self.note_loss(attempt, reason)
            self.attempts.remove(attempt)
            self.unbind(attempt, now)
        self._allocations.clear(machine)

    def note_loss(self, attempt: Attempt, reason: str) -> None:
        """Tell the users of the job why its task is no longer on the machine; without effect if the task has exited."""
        job = self.jobs.get(attempt.job_id)
        if job is not None and not attempt.exited and job.bound.get(attempt.index) is attempt:
            job.note(f"task {attempt.index}: {reason} ({attempt.machine.name})")

    # --- machines ---

    def set_catalog(self, catalog: Catalog) -> None:
        """Replace the catalog of machine types, and update the capacities of all machines from it."""
        self.catalog = catalog
        self._machine_table.set_catalog(catalog)
        self.failover.invalidate_unobserved()
        self.wake_scheduler = True

    def get_or_add_machine(self, name: str, machine_type: str, zone: str, spot: bool, now: float) -> Machine:
        """Return the machine of that name; add it if it is not known yet."""
        machine = self.machines.get(name)
        if machine is None:
            machine = self._machine_table.add(name, now)
        if machine_type and not machine.machine_type:
            self._machine_table.identify(machine, machine_type, zone, spot)
        return machine

    def remove_machine(self, name: str, now: float, reason: str) -> None:
        """Remove a machine whose return was answered with 200 or that is listed as failed. Machine names are never
        reused, so any later message under this name is stale."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.release_all(machine, now, reason)
            self.index.delete(machine)
        self._discard_pending(name)
        self.tombstones.record_forever(name, now)
        self.confirm(name, reason, now)
        self.pending_writes.deregistration_due(name)
        self.wake_scheduler = True

    def forget_machine(self, machine: Machine, now: float) -> None:
        """Forget a machine that is lost and no longer listed. Messages up to the last one received from it are rejected
        as delayed; a message of a later incarnation proves that the machine is alive."""
        self._machine_table.remove(machine)
        self._discard_pending(machine.name)
        self.tombstones.record(machine.name, machine.incarnation, machine.sequence_number, now)

    def _discard_pending(self, name: str) -> None:
        """Discard the pending commands, reclaim notice and pending registration of a machine that is gone, and remove
        the machine from those with tasks of unknown jobs."""
        self._machine_table.discard_pending(name)
        self.restarts.discard(name)
        self.attempts.machines_with_unknown_tasks.pop(name, None)
        self.pending_writes.registration_not_due(name)

    def confirm(self, name: str, proof: str, now: float) -> None:
        """Record that all tasks which an earlier leader may have left on the machine are known or gone. `proof` says
        how this was found out, for the log."""
        if not self.failover.confirm(name):
            return
        unconfirmed = len(self.failover.unconfirmed)
        after_s = now - self.term_began_at
        log_event(
            log, logging.DEBUG, "machine_confirmed", machine=name, proof=proof, after_s=after_s, unconfirmed=unconfirmed
        )
        if not unconfirmed:
            log_event(log, logging.INFO, "machines_confirmed", term=self.term, after_s=after_s)

    # --- stopping ---

    def stop_attempt(self, attempt: Attempt, reason: str, immediately: bool, wait_s: float = 0.0) -> None:
        """Stop one task, regardless of others of its gang. A task with checkpoints gets time to save one first unless
        `immediately` is set; `wait_s` is extra time in seconds, in which the stop can reach all tasks of a gang."""
        if attempt.stop_requested or attempt.exited:
            return
        spec = attempt.spec
        if spec is not None and spec.checkpoint_interval_s > 0 and not immediately:
            attempt.grace_period_s = spec.checkpoint_cost_s + 1.0 + wait_s
        self.request_stop(attempt, reason)

    def request_stop(self, attempt: Attempt, reason: str) -> None:
        """Mark the attempt to be stopped; the stop is sent with the next commands to its machine. Every path that stops
        a task ends here."""
        attempt.stop_requested = True
        attempt.stop_reason = reason
        self.machines_with_pending_commands[attempt.machine.name] = attempt.machine
        log_attempt(log, "halt", attempt, reason=reason, wind_down_s=attempt.grace_period_s)
