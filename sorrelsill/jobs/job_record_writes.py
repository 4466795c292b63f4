"""Adds job records to a write batch: progress of live jobs, and moves of ended jobs to their final key."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import Any

import trio

from sorrelsill.jobs.due_records import all_tasks_done
from sorrelsill.jobs.progress_chunks import ChunkWrites, chunk_writes, small_chunks_with_finished_tasks
from sorrelsill.jobs.records import final_record, json_size, record_value, with_notes
from sorrelsill.jobs.write_batch import WriteBatch
from sorrelsill.jobs.write_quarantine import WriteQuarantine
from sorrelsill.model import JobPhase
from sorrelsill.store import Compare, Delete, KeyValueStore, Put, WatchCache, final_key, job_key
from sorrelsill.workers import Attempt, ClusterState, Job

_FINAL_RECORD_BYTES = 500  # bytes in a transaction to move a job to its final key, estimated as no record exists yet
_RECORD_OVERHEAD_BYTES = 300  # bytes in a transaction for the keys and compares of one record, besides its value
_CHUNK_OVERHEAD_BYTES = 200  # bytes in a transaction for the key of one progress chunk, besides its value


@dataclass(slots=True, frozen=True)
class _LiveRecordWrite:
    """The write of a live job's record, and the state to apply once it is committed."""

    job: Job
    value: dict[str, Any]
    size: int  # bytes, with the chunks
    running: int  # running tasks
    chunks: ChunkWrites
    includes_record: bool  # the record itself is written, not only chunks
    complete: bool  # all progress of the job is recorded by this write
    results: list[Attempt]  # exited attempts that may be cleared from their workers once the record is complete


class JobRecordWrites:
    """Turns the cluster state of jobs into writes of their records."""

    def __init__(
        self, store: KeyValueStore, watch_cache: WatchCache, cluster: ClusterState, quarantine: WriteQuarantine
    ) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._cluster = cluster
        self._quarantine = quarantine

    def add_to(self, batch: WriteBatch, jobs: list[Job]) -> None:
        """Adds the jobs' records in order, until one does not fit. Skips jobs that the quarantine holds back."""
        for job in jobs:
            if self._quarantine.admits(batch, job.spec.job_id) and not self._add(batch, job):
                return

    def _add(self, batch: WriteBatch, job: Job) -> bool:
        return self._add_final(batch, job) if all_tasks_done(job) else self._add_live(batch, job)

    # --- ended jobs ---

    def _add_final(self, batch: WriteBatch, job: Job) -> bool:
        job_id = job.spec.job_id
        # Chunks beyond the transaction's limit are deleted later by garbage collection.
        chunk_deletes = [Delete(key) for key in self._watch_cache.chunk_keys(job_id)][: max(0, batch.max_writes - 3)]
        if not batch.has_room(1, 2 + len(chunk_deletes), _FINAL_RECORD_BYTES):
            return False
        record = final_record(JobPhase.DONE, job.spec, job.spec.task_count, job.notes, self._store.reduced_value_bytes)
        batch.add(
            job_id,
            [Compare(job_key(job_id), job.rev)],
            [Delete(job_key(job_id)), Put(final_key(job_id), record), *chunk_deletes],
            json_size(record) + _RECORD_OVERHEAD_BYTES,
            on_commit=partial(self._final_committed, job_id, record, self._cluster.attempts.unrecorded(job_id)),
        )
        return True

    def _final_committed(self, job_id: str, record: dict[str, Any], results: list[Attempt], rev: int) -> None:
        self._watch_cache.remember_final(job_id, record)
        self._watch_cache.apply_change(job_key(job_id), None, rev, False)
        self._cluster.end_job(job_id)
        _mark_clearable(results)

    # --- live jobs ---

    def _add_live(self, batch: WriteBatch, job: Job) -> bool:
        job_id = job.spec.job_id
        record = self._live_record_write(job, max(1, batch.max_writes - 1))
        puts = record.chunks.puts
        if not puts and not record.includes_record:
            self._cluster.pending_writes.records.discard(job_id)  # record too long, no chunks to write
            return True
        if not batch.has_room(1, record.includes_record + len(puts), record.size):
            return False
        if record.complete:
            self._cluster.pending_writes.records.discard(job_id)
            job.recorded_at = trio.current_time()
        job.unrecorded_small_chunks.difference_update(record.chunks.covered)
        batch.add(
            job_id,
            [Compare(job_key(job_id), job.rev)],
            [Put(job_key(job_id), record.value), *puts] if record.includes_record else [*puts],
            record.size,
            on_commit=partial(self._live_committed, record),
            on_failure=partial(self._live_failed, record),
        )
        return True

    def _live_record_write(self, job: Job, max_chunks: int) -> _LiveRecordWrite:
        """The due write of a live job, with at most `max_chunks` chunks."""
        results = self._cluster.attempts.unrecorded(job.spec.job_id)
        running = job.running()
        value = self._value_without_notes(job, running)
        size = json_size(value)
        fits = size <= self._store.value_bytes
        if fits:
            value = with_notes(value, job.notes, max(size, self._store.reduced_value_bytes))
            size = json_size(value) + _RECORD_OVERHEAD_BYTES
        # If the record does not fit, the job was accepted under a larger limit: the stored record stays unchanged until
        # the job ends.
        if job.chunked:
            chunks = chunk_writes(job, max_chunks, self._store.value_bytes)
        else:
            chunks = ChunkWrites(covered=set(job.unrecorded_small_chunks))
        size += sum(json_size(put.value) + _CHUNK_OVERHEAD_BYTES for put in chunks.puts)
        complete = chunks.covered >= job.unrecorded_small_chunks
        # The record is written with or after the last of the job's due chunks, never before: the new record may omit
        # finished tasks that so far only the stored record holds, so the chunks must hold these tasks first.
        return _LiveRecordWrite(job, value, size, running, chunks, fits and complete, complete, results)

    def _value_without_notes(self, job: Job, running: int) -> dict[str, Any]:
        value = record_value(job.spec, job.done, running, [], job.accepted, not job.chunked)
        if job.chunked or json_size(value) <= self._store.value_bytes:
            return value
        # From now on the job's finished tasks are stored in chunks, including those that the record held until now.
        job.chunked = True
        job.unrecorded_small_chunks.update(small_chunks_with_finished_tasks(job))
        return record_value(job.spec, job.done, running, [], job.accepted, False)

    def _live_committed(self, record: _LiveRecordWrite, rev: int) -> None:
        job, key = record.job, job_key(record.job.spec.job_id)
        for put in record.chunks.puts:
            self._watch_cache.apply_change(put.key, put.value, rev, True)
        if record.includes_record:
            job.recorded_running = record.running
            job.rev = max(job.rev, rev)
            self._watch_cache.apply_change(key, record.value, rev, True)
        if record.complete:
            _mark_clearable(record.results)

    def _live_failed(self, record: _LiveRecordWrite) -> None:
        self._cluster.pending_writes.records.add(record.job.spec.job_id)
        record.job.unrecorded_small_chunks.update(record.chunks.covered)


def _mark_clearable(results: list[Attempt]) -> None:
    for attempt in results:
        attempt.may_be_cleared = True
