"""Adds job records to a write batch: progress of live jobs, and the move of ended ones to their final key."""

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

# Bytes of a transaction for the keys, compares and frames of one change, beside its values.
_FINAL_ROOM = 500  # a final record with its frame; looked for before the record is made
_RECORD_FRAME = 300
_CHUNK_FRAME = 200


@dataclass(slots=True, frozen=True)
class _LiveRecord:
    """What is written of a live job, and what its commit means."""

    job: Job
    value: dict[str, Any]
    size: int  # bytes, with the chunks
    running: int
    chunks: ChunkWrites
    with_value: bool  # the record itself goes too, not only chunks
    complete: bool  # nothing of the job stays unrecorded
    results: list[Attempt]  # ended attempts that may be forgotten once the record is complete


class JobRecordWrites:
    """Knows how a job's state in the cluster is recorded."""

    def __init__(
        self, store: KeyValueStore, watch_cache: WatchCache, cluster: ClusterState, quarantine: WriteQuarantine
    ) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._cluster = cluster
        self._quarantine = quarantine

    def add_to(self, batch: WriteBatch, jobs: list[Job]) -> None:
        """Add the records of these jobs, in their order, until one finds no room."""
        for job in jobs:
            if self._quarantine.admits(batch, job.spec.job_id) and not self._add(batch, job):
                return

    def _add(self, batch: WriteBatch, job: Job) -> bool:
        return self._add_final(batch, job) if all_tasks_done(job) else self._add_live(batch, job)

    # --- ended jobs ---

    def _add_final(self, batch: WriteBatch, job: Job) -> bool:
        job_id = job.spec.job_id
        # Chunks that find no room are removed later, by garbage collection.
        chunk_deletes = [Delete(key) for key in self._watch_cache.chunk_keys(job_id)][: max(0, batch.max_writes - 3)]
        if not batch.has_room(1, 2 + len(chunk_deletes), _FINAL_ROOM):
            return False
        record = final_record(JobPhase.DONE, job.spec, job.spec.task_count, job.notes, self._store.reduced_value_bytes)
        batch.add(
            job_id,
            [Compare(job_key(job_id), job.rev)],
            [Delete(job_key(job_id)), Put(final_key(job_id), record), *chunk_deletes],
            json_size(record) + _RECORD_FRAME,
            on_commit=partial(self._final_committed, job_id, record, self._cluster.attempts.unrecorded(job_id)),
        )
        return True

    def _final_committed(self, job_id: str, record: dict[str, Any], results: list[Attempt], rev: int) -> None:
        self._watch_cache.remember_final(job_id, record)
        self._watch_cache.apply_change(job_key(job_id), None, rev, False)
        self._cluster.end_job(job_id)
        _make_clearable(results)

    # --- live jobs ---

    def _add_live(self, batch: WriteBatch, job: Job) -> bool:
        job_id = job.spec.job_id
        record = self._live_record(job, max(1, batch.max_writes - 1))
        puts = record.chunks.puts
        if not puts and not record.with_value:
            self._cluster.pending_writes.records.discard(job_id)  # nothing of it can be written
            return True
        if not batch.has_room(1, record.with_value + len(puts), record.size):
            return False
        if record.complete:
            self._cluster.pending_writes.records.discard(job_id)
            job.recorded_at = trio.current_time()
        job.unrecorded_parts.difference_update(record.chunks.covered)
        batch.add(
            job_id,
            [Compare(job_key(job_id), job.rev)],
            [Put(job_key(job_id), record.value), *puts] if record.with_value else [*puts],
            record.size,
            on_commit=partial(self._live_committed, record),
            on_failure=partial(self._live_failed, record),
        )
        return True

    def _live_record(self, job: Job, max_chunks: int) -> _LiveRecord:
        """What is due of a live job, with at most so many chunks."""
        results = self._cluster.attempts.unrecorded(job.spec.job_id)
        running = job.running()
        value = self._value_without_notes(job, running)
        size = json_size(value)
        fits = size <= self._store.value_bytes
        if fits:
            value = with_notes(value, job.notes, max(size, self._store.reduced_value_bytes))
            size = json_size(value) + _RECORD_FRAME
        # Otherwise it was accepted under a larger limit: it stays as it stands till its end.
        if job.chunked:
            chunks = chunk_writes(job, max_chunks, self._store.value_bytes)
        else:
            chunks = ChunkWrites(covered=set(job.unrecorded_parts))
        size += sum(json_size(put.value) + _CHUNK_FRAME for put in chunks.puts)
        complete = chunks.covered >= job.unrecorded_parts
        # The record goes last, with or after all its chunks, as it may leave out what it held itself before.
        return _LiveRecord(job, value, size, running, chunks, fits and complete, complete, results)

    def _value_without_notes(self, job: Job, running: int) -> dict[str, Any]:
        value = record_value(job.spec, job.done, running, [], job.accepted, not job.chunked)
        if job.chunked or json_size(value) <= self._store.value_bytes:
            return value
        # From now on its finished tasks stand beside the record, those written before included.
        job.chunked = True
        job.unrecorded_parts.update(small_chunks_with_finished_tasks(job))
        return record_value(job.spec, job.done, running, [], job.accepted, False)

    def _live_committed(self, record: _LiveRecord, rev: int) -> None:
        job, key = record.job, job_key(record.job.spec.job_id)
        for put in record.chunks.puts:
            self._watch_cache.apply_change(put.key, put.value, rev, True)
        if record.with_value:
            job.recorded_running = record.running
            job.rev = max(job.rev, rev)
            self._watch_cache.apply_change(key, record.value, rev, True)
        if record.complete:
            _make_clearable(record.results)

    def _live_failed(self, record: _LiveRecord) -> None:
        self._cluster.pending_writes.records.add(record.job.spec.job_id)
        record.job.unrecorded_parts.update(record.chunks.covered)


def _make_clearable(results: list[Attempt]) -> None:
    for attempt in results:
        attempt.clearable = True
