"""The state of a job as its users are told it, no older than their question."""

from __future__ import annotations

from typing import Any

import trio

from sorrelsill import constants
from sorrelsill.jobs.errors import BusyError
from sorrelsill.jobs.messages import valid_job_id
from sorrelsill.jobs.records import done_count, final_done_count, final_phase, is_final, notes_of, running_count
from sorrelsill.jobs.user_answers import Answer, JobAnswer, check_age, no_such_job
from sorrelsill.model import JobPhase
from sorrelsill.store import KeyValueStore, StoreError, VersionedValue, WatchCache, final_key, job_key


def live_state(job_id: str, record: Any) -> JobAnswer:
    """The state that a live record tells of."""
    done, running = done_count(record), running_count(record)
    return JobAnswer(job_id, JobPhase.RUNNING if running else JobPhase.PENDING, done, running)


def final_state(job_id: str, record: Any) -> JobAnswer:
    """The state that a final record tells of."""
    return JobAnswer(job_id, final_phase(record), final_done_count(record), 0)


class JobStatus:
    """Answers polls out of the watch cache, after a read barrier, and out of the final records in the store."""

    def __init__(self, store: KeyValueStore, watch_cache: WatchCache) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._final_reads = 0  # reads of final records in flight for polls

    def ended_state(self, job_id: str) -> JobAnswer | None:
        """The state of a job that is known to have ended, without any read. It can't change any more."""
        record = self._watch_cache.final(job_id)
        return final_state(job_id, record) if record is not None else None

    def _live_state(self, job_id: str) -> JobAnswer | None:
        entry = self._watch_cache.job(job_id)
        return live_state(job_id, entry.value) if entry is not None else None

    async def read(self, job_id: str) -> JobAnswer | None:
        """The job's state by direct reads, or None if it was never accepted at the first read. Raises StoreError."""
        for key in (job_key(job_id), final_key(job_id)):
            entry = await self._store.get(key)
            if entry is None:
                continue
            if is_final(entry.value):
                self._watch_cache.remember_final(job_id, entry.value)
                return final_state(job_id, entry.value)
            return live_state(job_id, entry.value)
        return None

    async def poll(self, job_id: str) -> Answer:
        """A job's state, no older than the question. Raises BusyError if that can't be told in time."""
        if not valid_job_id(job_id):
            return no_such_job()
        ended = self.ended_state(job_id)
        if ended is not None:
            return Answer(200, ended)
        if self._store.failing_for() > constants.READY_STORE_S / 2:
            raise BusyError("the state service can't be reached")
        if self._watch_cache.barrier_waiters() >= constants.POLL_QUEUE:
            # Guards against storms of polls: what waits is bounded, and the rest is told at once to come back.
            raise BusyError("too many polls are waiting")
        with trio.move_on_after(constants.POLL_DEADLINE_S):
            return await self._poll_store(job_id, trio.current_time())
        raise BusyError("the state service is slow")

    async def _poll_store(self, job_id: str, requested_at: float) -> Answer:
        if not await self._watch_cache.read_barrier():
            raise BusyError("the state service does not answer")
        check_age(requested_at)
        state = self.ended_state(job_id) or self._live_state(job_id)
        if state is not None:
            return Answer(200, state)
        # Not live after the barrier: ended long ago, or never accepted when the poll came.
        final = await self._read_final(job_id)
        check_age(requested_at)
        if final is not None:
            self._watch_cache.remember_final(job_id, final.value)
            return Answer(200, self.ended_state(job_id) or JobAnswer())
        # Accepted during the read: another controller may have told so by now.
        state = self._live_state(job_id)
        return Answer(200, state) if state is not None else no_such_job()

    async def _read_final(self, job_id: str) -> VersionedValue | None:
        """A direct read, one for each poll. Guards against storms of questions about jobs that nobody submitted: they
        must not use up the requests that submissions need."""
        if self._final_reads >= constants.LOOKUPS_AT_ONCE:
            raise BusyError("too many polls are waiting")
        self._final_reads += 1
        try:
            return await self._store.get(final_key(job_id))
        except StoreError as error:
            raise BusyError(str(error)) from None
        finally:
            self._final_reads -= 1

    async def explain(self, job_id: str) -> Answer:
        """The job's state and why its tasks stopped or wait: the newest notes."""
        status, answer = await self.poll(job_id)
        if status == 200 and isinstance(answer, JobAnswer):
            live = self._watch_cache.job(job_id)
            record = self._watch_cache.final(job_id) or (live.value if live is not None else {})
            answer.why = notes_of(record)
        return Answer(status, answer)
