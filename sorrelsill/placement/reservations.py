"""Capacity that is kept for a job until it can use it: machines where victims were preempted for it, machines held for
a gang, which drain until it fits, and how many of its tasks await preempted room. Pure: time is given."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sorrelsill import constants

if TYPE_CHECKING:
    from sorrelsill.workers import ClusterState, Job, Machine


@dataclass(frozen=True, slots=True)
class _Reservation:
    """A machine where room was made for a job: no other job may take it."""

    job_id: str
    until: float


@dataclass(frozen=True, slots=True)
class _GangHold:
    """A machine held for a gang, which drains until it fits: only work of higher priority than the gang's may start."""

    job_id: str
    priority: int
    until: float


class Reservations:
    """Reserved machines, gang holds, and tasks for which room was preempted but is not free yet."""

    def __init__(self) -> None:
        # job -> until when room preempted for one of its tasks is awaited
        self._expected_room: dict[str, list[float]] = {}
        self._reserved: dict[str, _Reservation] = {}  # by machine
        self._gang_holds: dict[str, _GangHold] = {}  # by machine
        self._failed_searches: dict[Hashable, float] = {}  # class of jobs -> until when no victims are searched for

    def reset(self) -> None:
        """A new term begins."""
        self._expected_room.clear()
        self._reserved.clear()
        self._gang_holds.clear()
        self._failed_searches.clear()

    def expire(self, cluster: ClusterState, now: float) -> None:
        """Drop what has expired, and what is kept for jobs that no longer wait."""

        def waits(job_id: str) -> bool:
            job = cluster.jobs.get(job_id)
            return job is not None and bool(job.waiting)

        self._expected_room = {
            job_id: awaited
            for job_id, times in self._expected_room.items()
            if (awaited := [until for until in times if until > now])
        }
        self._reserved = {m: r for m, r in self._reserved.items() if r.until > now and waits(r.job_id)}
        self._gang_holds = {m: hold for m, hold in self._gang_holds.items() if hold.until > now and waits(hold.job_id)}

    # --- room awaited ---

    def expect_room(self, job_id: str, until: float, tasks: int = 1) -> None:
        """Room for so many tasks of the job will be free by then."""
        self._expected_room.setdefault(job_id, []).extend([until] * tasks)

    def tasks_awaiting_room(self, job_id: str, now: float) -> int:
        """For how many tasks of the job preempted room is awaited."""
        return sum(1 for until in self._expected_room.get(job_id, ()) if until > now)

    def task_placed(self, job_id: str, machine: Machine) -> None:
        """A task of the job was bound: it used awaited room, and the reservation there if it was the job's own."""
        reservation = self._reserved.get(machine.name)
        if reservation is not None and reservation.job_id == job_id:
            del self._reserved[machine.name]
        if self._expected_room.get(job_id):
            self._expected_room[job_id].pop(0)

    # --- machines ---

    def reserve(self, machine: Machine, job_id: str, until: float) -> None:
        """Only the job may start tasks there."""
        self._reserved[machine.name] = _Reservation(job_id, until)

    def may_be_reserved(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether no job has reserved the machine and this job does not avoid it after failures there."""
        return machine.name not in self._reserved and job.avoid.get(machine.name, 0.0) <= now

    def has_reservation(self, job_id: str) -> bool:
        """Whether any machine is reserved for the job."""
        return any(reservation.job_id == job_id for reservation in self._reserved.values())

    def jobs_with_reservations(self, now: float) -> set[str]:
        """Jobs for which machines are reserved now."""
        return {reservation.job_id for reservation in self._reserved.values() if reservation.until > now}

    def hold_for_gang(self, machine: Machine, job: Job, until: float) -> None:
        """Only work of higher priority may start on the machine until the gang can use it."""
        self._gang_holds[machine.name] = _GangHold(job.spec.job_id, job.spec.priority, until)

    def is_held_for_gang(self, machine: Machine) -> bool:
        """Whether the machine is held for any gang."""
        return machine.name in self._gang_holds

    def holds_machines_for(self, job_id: str) -> bool:
        """Whether any machine is held for the gang."""
        return any(gang_hold.job_id == job_id for gang_hold in self._gang_holds.values())

    def gang_hold_count(self) -> int:
        """How many machines are held for gangs."""
        return len(self._gang_holds)

    def release(self, job_id: str) -> None:
        """The job is placed: what was kept for it is free for others."""
        self._expected_room.pop(job_id, None)
        self._reserved = {m: r for m, r in self._reserved.items() if r.job_id != job_id}
        self._gang_holds = {m: hold for m, hold in self._gang_holds.items() if hold.job_id != job_id}

    def admits(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether a machine that the job may use is neither kept for others nor avoided after failures of the job."""
        reservation = self._reserved.get(machine.name)
        if reservation is not None and reservation.job_id != job.spec.job_id and reservation.until > now:
            return False
        gang_hold = self._gang_holds.get(machine.name)
        if gang_hold is not None and gang_hold.job_id != job.spec.job_id and gang_hold.until > now:
            return job.spec.priority < gang_hold.priority and job.avoid.get(machine.name, 0.0) <= now
        return job.avoid.get(machine.name, 0.0) <= now

    # --- failed searches for victims ---

    def search_failed_recently(self, search_class: Hashable, now: float) -> bool:
        """Whether victims were searched for this class of jobs lately and none were found."""
        return self._failed_searches.get(search_class, float("-inf")) > now

    def record_failed_search(self, search_class: Hashable, now: float) -> None:
        """Guards against all waiting jobs searching in each scheduling cycle, so that nothing else would get done."""
        self._failed_searches[search_class] = now + constants.FAILED_SEARCH_PAUSE_S
