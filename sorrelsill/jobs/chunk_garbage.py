"""Garbage collection of progress chunks of ended jobs that did not fit into the transaction that ended the job."""

from __future__ import annotations

from functools import partial

from sorrelsill.jobs.write_batch import WriteBatch
from sorrelsill.jobs.write_quarantine import WriteQuarantine
from sorrelsill.store import Compare, Delete, WatchCache, job_key

_DELETE_BYTES = 100  # bytes in a transaction for one deletion


class ChunkGarbageCollector:
    """Deletes orphaned chunks in the room that other changes leave in a batch."""

    def __init__(self, watch_cache: WatchCache, quarantine: WriteQuarantine) -> None:
        self._watch_cache = watch_cache
        self._quarantine = quarantine

    def add_to(self, batch: WriteBatch) -> None:
        """Adds deletions, each on condition that its job is not live. Stops at the first job whose deletions do not fit
        or are in quarantine."""
        for job_id in self._watch_cache.jobs_with_orphaned_chunks():
            keys = self._watch_cache.chunk_keys(job_id)[: batch.writes_left]
            change, size = f"chunks of {job_id}", _DELETE_BYTES * len(keys)
            if not keys or not self._quarantine.admits(batch, change) or not batch.has_room(1, len(keys), size):
                return
            batch.add(
                change,
                [Compare(job_key(job_id), 0)],
                [Delete(key) for key in keys],
                size,
                on_commit=partial(self._deletion_committed, keys),
            )

    def _deletion_committed(self, keys: list[str], rev: int) -> None:
        for key in keys:
            self._watch_cache.apply_change(key, None, rev, False)
