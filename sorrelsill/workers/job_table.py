"""The live jobs of a term. Which of their tasks are bound where is a matter of `cluster_records`."""

from __future__ import annotations

from sorrelsill.workers.job import Job
from sorrelsill.workers.largest_gangs import LargestGangs


class JobTable:
    """The live jobs, the gangs among them, and which have changed since the scheduler last asked."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.gangs: dict[str, Job] = {}  # the live jobs whose tasks run together
        self.largest_gangs = LargestGangs()
        self._changed: dict[str, None] = {}  # jobs that came, changed or ended since the scheduler last asked

    def add(self, job: Job) -> None:
        """Enter a live job."""
        spec = job.spec
        self.jobs[spec.job_id] = job
        if spec.is_gang:
            self.gangs[spec.job_id] = job
            if job.done.count:
                # Its tasks complete together; the version before this one recorded them one by one.
                for index in range(spec.task_count):
                    job.done.add(index)
            self.largest_gangs.add(spec)
        self.mark_changed(spec.job_id)

    def remove(self, job_id: str) -> Job | None:
        """The job is live no more. None if it was not."""
        job = self.jobs.pop(job_id, None)
        self.gangs.pop(job_id, None)
        if job is not None:
            self.mark_changed(job_id)
        return job

    def mark_changed(self, job_id: str) -> None:
        """Called wherever a job comes or ends, or what is done or bound of it changes."""
        self._changed[job_id] = None

    def take_changed(self) -> list[str]:
        """The jobs that have changed since this was last called."""
        changed = list(self._changed)
        self._changed.clear()
        return changed
