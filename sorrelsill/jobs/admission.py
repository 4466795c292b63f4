"""Users' requests: submissions, polls and cancellations. Every controller serves them, not only the leader.

An answer must never contradict an earlier one. So every answer about a job's state is based on a read of the key-value
store that began after the request arrived (a read barrier), except the answer that the job has ended, since a final
state never changes. Every change is committed before the user gets an answer. A request that can't be served now is
refused at once with Retry-After (BusyError)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sorrelsill.jobs.cancel_requests import CancelRequests
from sorrelsill.jobs.job_status import JobStatus
from sorrelsill.jobs.submissions import Submissions
from sorrelsill.jobs.team_jobs import list_team_jobs
from sorrelsill.jobs.user_answers import Answer, ErrorAnswer
from sorrelsill.model import Catalog
from sorrelsill.settings import Team
from sorrelsill.store import KeyValueStore, WatchCache


class Admission:
    """Serves users' submissions, polls and cancellations. Each may raise BusyError."""

    def __init__(
        self, store: KeyValueStore, watch_cache: WatchCache, teams: list[Team], wall_clock: Callable[[], float]
    ) -> None:
        self._watch_cache = watch_cache
        self._teams = {team.name: team for team in teams}
        self._status = JobStatus(store, watch_cache)
        self._submissions = Submissions(store, watch_cache, self._teams, wall_clock, self._status)
        self._cancel_requests = CancelRequests(store, watch_cache)

    @property
    def catalog(self) -> Catalog | None:
        """The machine types against which jobs are validated. While it is None, no job is accepted."""
        return self._submissions.catalog

    @catalog.setter
    def catalog(self, catalog: Catalog | None) -> None:
        self._submissions.catalog = catalog

    async def run(self) -> None:
        """Commits submissions until cancelled."""
        await self._submissions.run()

    async def submit(self, body: Any) -> Answer:
        """Accepts a job, or answers with the state of a job that was accepted earlier."""
        return await self._submissions.submit(body)

    async def poll(self, job_id: str) -> Answer:
        """Answers with a job's state, as of the request or later."""
        return await self._status.poll(job_id)

    async def explain(self, job_id: str) -> Answer:
        """Answers with a job's state and why its tasks stopped or wait."""
        return await self._status.explain(job_id)

    async def team(self, name: str, after: str) -> Answer:
        """Lists the team's own live jobs whose ids sort after `after`."""
        if name not in self._teams:
            return Answer(404, ErrorAnswer("no such team"))
        return await list_team_jobs(self._watch_cache, name, after)

    async def cancel(self, job_id: str) -> Answer:
        """Cancels a job, or answers how it has ended."""
        return await self._cancel_requests.cancel(job_id)
