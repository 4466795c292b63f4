"""Lists a team's live jobs."""

from __future__ import annotations

import trio

from sorrelsill import constants
from sorrelsill.jobs.errors import BusyError
from sorrelsill.jobs.job_status import live_state
from sorrelsill.jobs.records import submitted_field
from sorrelsill.jobs.user_answers import Answer, JobAnswer, TeamJobsAnswer, check_age
from sorrelsill.store import WatchCache


async def list_team_jobs(watch_cache: WatchCache, team: str, after: str) -> Answer:
    """Answers with one page of the team's own live jobs, sorted by id. Raises BusyError."""
    requested_at = trio.current_time()
    if not await watch_cache.read_barrier():
        raise BusyError("the state service does not answer")
    check_age(requested_at)
    owned = [
        (job_id, record)
        for job_id, record, _ in watch_cache.jobs()
        if submitted_field(record, "owner") == team and job_id > after
    ]
    owned.sort(key=lambda item: item[0])
    page: list[JobAnswer] = []
    for job_id, record in owned[: constants.TEAM_JOBS_PAGE_SIZE]:
        state = live_state(job_id, record)
        state.workload = submitted_field(record, "workload")
        page.append(state)
    return Answer(200, TeamJobsAnswer(page, len(owned) > len(page)))
