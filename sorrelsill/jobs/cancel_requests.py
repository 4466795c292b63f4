"""Users' cancellations: each moves the job's record to its final key in a compare-and-swap transaction."""

from __future__ import annotations

import logging
from typing import Any

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.jobs.errors import BusyError, InvalidJobError
from sorrelsill.jobs.messages import valid_job_id
from sorrelsill.jobs.records import FinalRecord, done_count, final_phase, final_record, parse_record
from sorrelsill.jobs.user_answers import Answer, JobAnswer, no_such_job
from sorrelsill.model import JobPhase
from sorrelsill.store import (
    Compare,
    Delete,
    KeyValueStore,
    Put,
    StoreError,
    VersionedValue,
    WatchCache,
    final_key,
    job_key,
)

log = logging.getLogger(__name__)


class CancelRequests:
    """Cancels jobs. If a job is also finishing, whichever end is committed first counts."""

    def __init__(self, store: KeyValueStore, watch_cache: WatchCache) -> None:
        self._store = store
        self._watch_cache = watch_cache

    async def cancel(self, job_id: str) -> Answer:
        """Cancels a job, or answers how it has ended. Raises BusyError if the outcome is not known in time."""
        if not valid_job_id(job_id):
            return no_such_job()
        try:
            with trio.move_on_after(constants.ADMIT_DEADLINE_S):
                return await self._cancel(job_id)
        except StoreError as error:
            raise BusyError(str(error)) from None
        raise BusyError("the state service is slow")

    async def _cancel(self, job_id: str) -> Answer:
        while True:
            final = await self._final_record(job_id)
            if final is not None:
                return Answer(200, JobAnswer(job_id, final_phase(final)))
            live = await self._store.get(job_key(job_id))
            if live is None:
                if await self._store.get(final_key(job_id)) is None:
                    return no_such_job()
                continue
            record = await self._move_to_final_key(job_id, live)
            if record is not None:
                return Answer(200, JobAnswer(job_id, final_phase(record)))

    async def _final_record(self, job_id: str) -> Any | None:
        final = self._watch_cache.final(job_id)
        if final is not None:
            return final
        found = await self._store.get(final_key(job_id))
        final = found.value if found is not None else None
        if final is not None:
            self._watch_cache.remember_final(job_id, final)
        return final

    async def _move_to_final_key(self, job_id: str, live: VersionedValue) -> dict[str, Any] | None:
        """Returns the final record, or None if the live record changed since it was read."""
        record = self._make_final_record(job_id, live.value)
        # Chunks beyond the transaction's limit are deleted later by the leader's garbage collection.
        chunks = [Delete(key) for key in self._watch_cache.chunk_keys(job_id)][: max(0, self._store.txn_ops - 2)]
        writes: list[Put | Delete] = [Delete(job_key(job_id)), Put(final_key(job_id), record), *chunks]
        result = await self._store.commit([Compare(job_key(job_id), live.rev)], writes)
        if not result.ok:
            return None
        self._watch_cache.apply_change(job_key(job_id), None, result.rev, False)
        self._watch_cache.remember_final(job_id, record)
        return record

    def _make_final_record(self, job_id: str, live: Any) -> dict[str, Any]:
        """Makes the final record of a job that its user cancels now."""
        count = done_count(live)
        try:
            spec, done, notes = parse_record(live, [])
        except (InvalidJobError, ValueError, TypeError) as error:
            # A job with a damaged record must still be cancellable: no leader can parse the record and end the job.
            log_event(log, logging.ERROR, "damaged_record_cancelled", job=job_id, error=error)
            return FinalRecord(JobPhase.CANCELLED, count, None).to_stored()
        limit = self._store.reduced_value_bytes
        if done.size == count and not spec.is_service:
            # All tasks are done and recorded: the job is done, and only the move to its final key is missing.
            return final_record(JobPhase.DONE, spec, count, notes, limit)
        return final_record(JobPhase.CANCELLED, spec, count, [*notes, "cancelled by its user"], limit)
