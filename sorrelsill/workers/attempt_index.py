"""All attempts that are on machines as far as is known, by job, and machines with tasks of jobs that are not known."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sorrelsill.workers.machine import Attempt, Machine


class AttemptIndex:
    """Follows what is entered on machines and leaves them."""

    def __init__(self) -> None:
        # In the order in which they were entered, exited ones too. Guards against simulations of one seed that differ:
        # a set goes by where its members lie in memory.
        self.by_job: dict[str, dict[Attempt, None]] = {}
        self.machines_with_unknown_tasks: dict[str, Machine] = {}  # with tasks of jobs that are not known

    def add(self, attempt: Attempt) -> None:
        """An attempt is on a machine, as far as is known."""
        attempt.machine.attempts[attempt.key] = attempt
        self.by_job.setdefault(attempt.job_id, {})[attempt] = None
        self.count_unknown_task(attempt, 1)

    def remove(self, attempt: Attempt) -> None:
        """It is on no machine any more, nor named in heartbeats."""
        del attempt.machine.attempts[attempt.key]
        job_attempts = self.by_job.get(attempt.job_id)
        if job_attempts is not None:
            job_attempts.pop(attempt, None)
            if not job_attempts:
                del self.by_job[attempt.job_id]
        if not attempt.exited:
            self.count_unknown_task(attempt, -1)

    def count_unknown_task(self, attempt: Attempt, change: int) -> None:
        """Tasks of jobs that are not known still run, and may be of any team."""
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
        """All attempts of a job that are on machines, exited ones too."""
        return list(self.by_job.get(job_id, ()))

    def alive(self, job_id: str) -> bool:
        """Whether any attempt of the job may still be on a machine, one too many included."""
        return any(not attempt.exited for attempt in self.by_job.get(job_id, ()))

    def unrecorded(self, job_id: str) -> list[Attempt]:
        """Exited attempts whose result the next write of the record will hold."""
        return [a for a in self.by_job.get(job_id, ()) if a.exited and not a.clearable]
