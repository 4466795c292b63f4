"""The live jobs of one term. Bindings of their tasks to machines are handled by `cluster_records`."""

from __future__ import annotations

from sorrelsill.workers.job import Job
from sorrelsill.workers.largest_gangs import LargestGangs


class JobTable:
    """The live jobs, the gangs among them, and the jobs changed since the scheduler last asked."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.gangs: dict[str, Job] = {}  # the live jobs whose tasks run only all together
        self.largest_gangs = LargestGangs()
        self._changed: dict[str, None] = {}  # ids of jobs changed since the last call; a dict as an ordered set

    def add(self, job: Job) -> None:
        """Add a live job."""
        spec = job.spec
        self.jobs[spec.job_id] = job
        if spec.is_gang:
            self.gangs[spec.job_id] = job
            if job.done.count:
                # A gang's tasks complete together, but the previous version recorded them one by one. So if one is
                # recorded as done, all are.
                for index in range(spec.task_count):
                    job.done.add(index)
            self.largest_gangs.add(spec)
        self.mark_changed(spec.job_id)

    def remove(self, job_id: str) -> Job | None:
        """Remove a job that has ended and return it; None if it was not live."""
        job = self.jobs.pop(job_id, None)
        self.gangs.pop(job_id, None)
        if job is not None:
            self.mark_changed(job_id)
        return job

    def mark_changed(self, job_id: str) -> None:
        """Record that a job was added or ended, or that its done or bound tasks changed."""
        self._changed[job_id] = None

    def take_changed_jobs(self) -> list[str]:
        """Return the jobs changed since the last call, and clear the list."""
        changed = list(self._changed)
        self._changed.clear()
        return changed
