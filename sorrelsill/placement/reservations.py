"""Capacity reserved for a job until the job can use it: machines where victims were preempted for it, machines held
for a gang while they drain, and the number of its tasks that await preempted room. No I/O; callers pass the
current time."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sorrelsill import constants

if TYPE_CHECKING:
    from sorrelsill.workers import ClusterState, Job, Machine


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Reserves a machine for one job; no other job may start tasks on it."""

    job_id: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class _GangHold:
    """Holds a machine for a gang while the machine drains; meanwhile only the gang itself and jobs of higher priority
    may start tasks on it."""

    job_id: str
    priority: int
    expires_at: float


class Reservations:
    """Tracks reserved machines, gang holds, and tasks whose preempted room is not free yet."""

    def __init__(self) -> None:
        # job -> one entry per task that awaits preempted room: the time until which it is awaited
        self._expected_room: dict[str, list[float]] = {}
        self._reserved: dict[str, _Reservation] = {}  # by machine name
        self._gang_holds: dict[str, _GangHold] = {}  # by machine name
        self._failed_searches: dict[Hashable, float] = {}  # search class -> end of the pause in its searches

    def reset(self) -> None:
        """Clear all state at the start of a new term."""
        self._expected_room.clear()
        self._reserved.clear()
        self._gang_holds.clear()
        self._failed_searches.clear()

    def expire(self, cluster: ClusterState, now: float) -> None:
        """Remove expired entries, and reservations and holds of jobs that have no more waiting tasks."""

        def has_waiting_tasks(job_id: str) -> bool:
            job = cluster.jobs.get(job_id)
            return job is not None and bool(job.waiting)

        self._expected_room = {
            job_id: awaited
            for job_id, times in self._expected_room.items()
            if (awaited := [expires_at for expires_at in times if expires_at > now])
        }
        self._reserved = {m: r for m, r in self._reserved.items() if r.expires_at > now and has_waiting_tasks(r.job_id)}
        self._gang_holds = {
            m: hold for m, hold in self._gang_holds.items() if hold.expires_at > now and has_waiting_tasks(hold.job_id)
        }

    # --- awaited room ---

    def expect_room(self, job_id: str, until: float, tasks: int = 1) -> None:
        """Record that room for `tasks` tasks of the job is expected to be free by `until`."""
        self._expected_room.setdefault(job_id, []).extend([until] * tasks)

    def tasks_awaiting_room(self, job_id: str, now: float) -> int:
        """Return the number of tasks of the job that await preempted room."""
        return sum(1 for until in self._expected_room.get(job_id, ()) if until > now)

    def on_task_bound(self, job_id: str, machine: Machine) -> None:
        """Record that a task of the job was bound: remove the job's reservation of the machine, if any, and one entry
        of its awaited room."""
        reservation = self._reserved.get(machine.name)
        if reservation is not None and reservation.job_id == job_id:
            del self._reserved[machine.name]
        if self._expected_room.get(job_id):
            self._expected_room[job_id].pop(0)

    # --- machines ---

    def reserve(self, machine: Machine, job_id: str, until: float) -> None:
        """Reserve the machine: only this job may start tasks on it until `until`."""
        self._reserved[machine.name] = _Reservation(job_id, until)

    def may_be_reserved(self, job: Job, machine: Machine, now: float) -> bool:
        """Return whether the machine is not reserved and the job does not avoid it after failures on it."""
        return machine.name not in self._reserved and job.avoided_machines.get(machine.name, 0.0) <= now

    def has_reservation(self, job_id: str) -> bool:
        """Return whether any machine is reserved for the job."""
        return any(reservation.job_id == job_id for reservation in self._reserved.values())

    def jobs_with_reservations(self, now: float) -> set[str]:
        """Return the jobs that have machines reserved now."""
        return {reservation.job_id for reservation in self._reserved.values() if reservation.expires_at > now}

    def hold_for_gang(self, machine: Machine, job: Job, until: float) -> None:
        """Hold the machine for a gang: only the gang and jobs of higher priority may start tasks on it until
        `until`."""
        self._gang_holds[machine.name] = _GangHold(job.spec.job_id, job.spec.priority, until)

    def is_held_for_gang(self, machine: Machine) -> bool:
        """Return whether the machine is held for any gang."""
        return machine.name in self._gang_holds

    def holds_machines_for(self, job_id: str) -> bool:
        """Return whether any machine is held for the gang."""
        return any(gang_hold.job_id == job_id for gang_hold in self._gang_holds.values())

    def gang_hold_count(self) -> int:
        """Return the number of machines held for gangs."""
        return len(self._gang_holds)

    def release(self, job_id: str) -> None:
        """Release all reservations, holds and awaited room of a job that has been placed."""
        self._expected_room.pop(job_id, None)
        self._reserved = {m: r for m, r in self._reserved.items() if r.job_id != job_id}
        self._gang_holds = {m: hold for m, hold in self._gang_holds.items() if hold.job_id != job_id}

    def admits(self, job: Job, machine: Machine, now: float) -> bool:
        """Return whether the job may start tasks on the machine: the machine is not reserved for another job, not held
        for another gang unless this job has higher priority, and not avoided by this job after failures on it."""
        reservation = self._reserved.get(machine.name)
        if reservation is not None and reservation.job_id != job.spec.job_id and reservation.expires_at > now:
            return False
        gang_hold = self._gang_holds.get(machine.name)
        if gang_hold is not None and gang_hold.job_id != job.spec.job_id and gang_hold.expires_at > now:
            return job.spec.priority < gang_hold.priority and job.avoided_machines.get(machine.name, 0.0) <= now
        return job.avoided_machines.get(machine.name, 0.0) <= now

    # --- failed searches for victims ---

    def search_failed_recently(self, search_class: Hashable, now: float) -> bool:
        """Return whether a recent search for victims for this class of jobs found none."""
        return self._failed_searches.get(search_class, float("-inf")) > now

    def record_failed_search(self, search_class: Hashable, now: float) -> None:
        """Pause the search for victims for this class of jobs. Otherwise all waiting jobs would search in every
        scheduling cycle and use up its time."""
        self._failed_searches[search_class] = now + constants.FAILED_SEARCH_PAUSE_S
