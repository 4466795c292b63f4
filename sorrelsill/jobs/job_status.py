"""Polls: the state of a job as reported to users, as of the request or later."""

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
    """The job's state according to its live record."""
    done, running = done_count(record), running_count(record)
    return JobAnswer(job_id, JobPhase.RUNNING if running else JobPhase.PENDING, done, running)


def final_state(job_id: str, record: Any) -> JobAnswer:
    """The job's state according to its final record."""
    return JobAnswer(job_id, final_phase(record), final_done_count(record), 0)


class JobStatus:
    """Answers polls from the watch cache after a read barrier, and from the final records in the key-value store."""

    def __init__(self, store: KeyValueStore, watch_cache: WatchCache) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._final_reads_in_flight = 0  # direct reads of final records in flight for polls

    def ended_state(self, job_id: str) -> JobAnswer | None:
        """The state of a job that is known to have ended, else None. Needs no read, as a final state never changes."""
        record = self._watch_cache.final(job_id)
        return final_state(job_id, record) if record is not None else None

    def _live_state(self, job_id: str) -> JobAnswer | None:
        entry = self._watch_cache.job(job_id)
        return live_state(job_id, entry.value) if entry is not None else None

    async def read(self, job_id: str) -> JobAnswer | None:
        """Reads the job's state directly from the store. None if the job was not accepted by the time of the first
        read. Raises StoreError."""
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
        """Answers with a job's state, as of the request or later. Raises BusyError if it can't be read in time."""
        if not valid_job_id(job_id):
            return no_such_job()
        ended = self.ended_state(job_id)
        if ended is not None:
            return Answer(200, ended)
        if self._store.failing_for() > constants.READY_STORE_S / 2:
            raise BusyError("the state service can't be reached")
        if self._watch_cache.barrier_waiters() >= constants.POLL_QUEUE:
            # Bounds the queue under a burst of polls: the rest are told at once to retry later.
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
        # Not live after the barrier: the job ended and its final record is not cached, or the job had not been accepted
        # when the poll arrived.
        final = await self._read_final(job_id)
        check_age(requested_at)
        if final is not None:
            self._watch_cache.remember_final(job_id, final.value)
            return Answer(200, self.ended_state(job_id) or JobAnswer())
        # The job may have been accepted during the read, and another controller may have told the user so already.
        state = self._live_state(job_id)
        return Answer(200, state) if state is not None else no_such_job()

    async def _read_final(self, job_id: str) -> VersionedValue | None:
        """Reads the final record directly, once per poll. The number in flight is limited so that a burst of polls for
        jobs that were never submitted can't use up the store's request rate, which submissions need."""
        if self._final_reads_in_flight >= constants.FINAL_READS_IN_FLIGHT_MAX:
            raise BusyError("too many polls are waiting")
        self._final_reads_in_flight += 1
        try:
            return await self._store.get(final_key(job_id))
        except StoreError as error:
            raise BusyError(str(error)) from None
        finally:
            self._final_reads_in_flight -= 1

    async def explain(self, job_id: str) -> Answer:
        """Answers with the job's state and its newest notes: why its tasks stopped or wait."""
        status, answer = await self.poll(job_id)
        if status == 200 and isinstance(answer, JobAnswer):
            live = self._watch_cache.job(job_id)
            record = self._watch_cache.final(job_id) or (live.value if live is not None else {})
            answer.why = notes_of(record)
        return Answer(status, answer)
