"""Room that is kept for a job until it can use it: machines where lesser work was stopped for it, machines that fill
up for it, and how many of its tasks such room is on its way for. Pure: time is given."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sorrelsill import constants

if TYPE_CHECKING:
    from sorrelsill.workers import ClusterState, Job, Machine


@dataclass(frozen=True, slots=True)
class _Reservation:
    """A machine where room was made for a job: nobody else may take it."""

    job_id: str
    until: float


@dataclass(frozen=True, slots=True)
class _Filling:
    """A machine that is kept filling up for a group: work of no higher rank than the group's stays away."""

    job_id: str
    priority: int
    until: float


class Reservations:
    """Reserved machines, machines filling up, and claims: tasks for which room was made but is not free yet."""

    def __init__(self) -> None:
        self._claims: dict[str, list[float]] = {}  # job -> until when room made for one of its tasks is awaited
        self._reserved: dict[str, _Reservation] = {}  # by machine
        self._filling: dict[str, _Filling] = {}  # by machine
        self._fruitless: dict[Hashable, float] = {}  # kind of work -> until when no room is looked for

    def reset(self) -> None:
        """A new term begins."""
        self._claims.clear()
        self._reserved.clear()
        self._filling.clear()
        self._fruitless.clear()

    def expire(self, cluster: ClusterState, now: float) -> None:
        """Forget what has run out, and what is kept for jobs that wait no more."""

        def waits(job_id: str) -> bool:
            job = cluster.jobs.get(job_id)
            return job is not None and bool(job.waiting)

        self._claims = {job_id: left for job_id, t in self._claims.items() if (left := [x for x in t if x > now])}
        self._reserved = {m: r for m, r in self._reserved.items() if r.until > now and waits(r.job_id)}
        self._filling = {m: f for m, f in self._filling.items() if f.until > now and waits(f.job_id)}

    # --- claims ---

    def claim(self, job_id: str, until: float, tasks: int = 1) -> None:
        """Room for so many tasks of the job will be free by then."""
        self._claims.setdefault(job_id, []).extend([until] * tasks)

    def claimed(self, job_id: str, now: float) -> int:
        """For how many tasks of the job room is on its way."""
        return sum(1 for until in self._claims.get(job_id, ()) if until > now)

    def task_placed(self, job_id: str, machine: Machine) -> None:
        """A task of the job was bound: it used a claim, and the reservation there if it was the job's own."""
        reservation = self._reserved.get(machine.name)
        if reservation is not None and reservation.job_id == job_id:
            del self._reserved[machine.name]
        if self._claims.get(job_id):
            self._claims[job_id].pop(0)

    # --- machines ---

    def reserve(self, machine: Machine, job_id: str, until: float) -> None:
        """Nobody but the job may take room there."""
        self._reserved[machine.name] = _Reservation(job_id, until)

    def reserved(self, machine: Machine) -> bool:
        """Whether the machine is reserved for anybody."""
        return machine.name in self._reserved

    def has_reservation(self, job_id: str) -> bool:
        """Whether any machine is reserved for the job."""
        return any(reservation.job_id == job_id for reservation in self._reserved.values())

    def holders(self, now: float) -> set[str]:
        """Jobs for which machines are reserved now."""
        return {reservation.job_id for reservation in self._reserved.values() if reservation.until > now}

    def fill_up_for(self, machine: Machine, job: Job, until: float) -> None:
        """Work of no higher rank stays away from the machine until the group can use it."""
        self._filling[machine.name] = _Filling(job.spec.job_id, job.spec.priority, until)

    def filling(self, machine: Machine) -> bool:
        """Whether the machine fills up for any group."""
        return machine.name in self._filling

    def fills_up_for(self, job_id: str) -> bool:
        """Whether any machine fills up for the group."""
        return any(filling.job_id == job_id for filling in self._filling.values())

    def filling_count(self) -> int:
        """How many machines fill up for groups."""
        return len(self._filling)

    def release(self, job_id: str) -> None:
        """The job has its places: what was kept for it is free for others."""
        self._claims.pop(job_id, None)
        self._reserved = {m: r for m, r in self._reserved.items() if r.job_id != job_id}
        self._filling = {m: f for m, f in self._filling.items() if f.job_id != job_id}

    def open_to(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether nothing keeps the job off a machine that it may use: room kept for others, or its own bad luck."""
        reservation = self._reserved.get(machine.name)
        if reservation is not None and reservation.job_id != job.spec.job_id and reservation.until > now:
            return False
        filling = self._filling.get(machine.name)
        if filling is not None and filling.job_id != job.spec.job_id and filling.until > now:
            return job.spec.priority < filling.priority and job.avoid.get(machine.name, 0.0) <= now
        return job.avoid.get(machine.name, 0.0) <= now

    # --- searches in vain ---

    def searched_in_vain(self, kind: Hashable, now: float) -> bool:
        """Whether room for this kind of work was looked for lately and none was found."""
        return self._fruitless.get(kind, float("-inf")) > now

    def found_no_room(self, kind: Hashable, now: float) -> None:
        """Guards against all waiting jobs asking in each round, so that nothing else would get done."""
        self._fruitless[kind] = now + constants.FRUITLESS_S
