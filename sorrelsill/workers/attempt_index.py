"""Index of all attempts known to be on machines, by job, and of the machines with tasks of unknown jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sorrelsill.workers.machine import Attempt, Machine


class AttemptIndex:
    """The attempts on machines by job; updated whenever an attempt is added to a machine or removed from it."""

    def __init__(self) -> None:
        # Job id -> its attempts in order of insertion, including exited ones. A dict is used as an ordered set: a plain
        # set would iterate in order of memory addresses, so two simulations with the same seed would differ.
        self.by_job: dict[str, dict[Attempt, None]] = {}
        self.machines_with_unknown_tasks: dict[str, Machine] = {}  # machines with tasks of unknown jobs

    def add(self, attempt: Attempt) -> None:
        """Add an attempt, both here and to its machine."""
        attempt.machine.attempts[attempt.key] = attempt
        self.by_job.setdefault(attempt.job_id, {})[attempt] = None
        self.adjust_unknown_tasks(attempt, 1)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt that is no longer on its machine, both here and from the machine."""
        del attempt.machine.attempts[attempt.key]
        job_attempts = self.by_job.get(attempt.job_id)
        if job_attempts is not None:
            job_attempts.pop(attempt, None)
            if not job_attempts:
                del self.by_job[attempt.job_id]
        if not attempt.exited:
            self.adjust_unknown_tasks(attempt, -1)

    def adjust_unknown_tasks(self, attempt: Attempt, change: int) -> None:
        """Adjust the number of live tasks of unknown jobs on the attempt's machine; such tasks may belong to any team.

        Without effect if the attempt's job is known."""
        if attempt.spec is not None:
            return
        machine = attempt.machine
        machine.unknown_tasks += change
        if machine.unknown_tasks > 0:
            self.machines_with_unknown_tasks[machine.name] = machine
        else:
            self.machines_with_unknown_tasks.pop(machine.name, None)
            machine.holds_tasks_of_unknown_size = False

    def of_job(self, job_id: str) -> list[Attempt]:
        """All attempts of a job that are on machines, including exited ones."""
        return list(self.by_job.get(job_id, ()))

    def has_live_attempts(self, job_id: str) -> bool:
        """Whether any attempt of the job may still run, including surplus attempts of the same task."""
        return any(not attempt.exited for attempt in self.by_job.get(job_id, ()))

    def unrecorded(self, job_id: str) -> list[Attempt]:
        """Exited attempts whose results are to be in the next write of the job's record."""
        return [a for a in self.by_job.get(job_id, ()) if a.exited and not a.may_be_cleared]
