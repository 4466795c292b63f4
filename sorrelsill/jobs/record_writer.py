"""The leader's writes: finished tasks into job records, ended jobs to their final key, and the registry of machines
that may hold work. Every transaction carries `leader == term`, so a late one fails.

Whatever is written keeps to the limits of the key-value store, which may shrink without notice. A transaction that it
refuses for its size is taken apart: each change goes by itself, and one that is refused alone is quarantined."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.jobs.chunk_garbage import ChunkGarbageCollector
from sorrelsill.jobs.due_records import DueRecords, due_records
from sorrelsill.jobs.job_record_writes import JobRecordWrites
from sorrelsill.jobs.registry_writes import RegistryWrites
from sorrelsill.jobs.write_batch import WriteBatch
from sorrelsill.jobs.write_quarantine import WriteQuarantine
from sorrelsill.store import LEADER, KeyValueStore, RefusedError, StoreError, TransactionResult, WatchCache
from sorrelsill.workers import ClusterState

log = logging.getLogger(__name__)


class RecordWriter:
    """One per term. A step writes what is due; whatever is not committed stays due."""

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        cluster: ClusterState,
        valid: Callable[[], bool],
        on_fenced: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_fenced` is called when the store says that another leader's term has begun."""
        self._store = store
        self._cluster = cluster
        self._valid = valid
        self._on_fenced = on_fenced
        self._quarantine = WriteQuarantine()
        self._jobs = JobRecordWrites(store, watch_cache, cluster, self._quarantine)
        self._registry = RegistryWrites(store, watch_cache, cluster, self._quarantine)
        self._garbage = ChunkGarbageCollector(watch_cache, self._quarantine)

    @property
    def quarantined(self) -> int:
        """How many changes are left out for now since the store refuses them."""
        return len(self._quarantine)

    async def step(self) -> bool:
        """Write one transaction. True if there was something to write and it was committed."""
        if not self._valid():
            return False
        self._quarantine.expire(trio.current_time())
        batch = self._next_batch()
        if not batch.writes:
            return False
        self._quarantine.batch_sent()
        result = await self._commit(batch)
        if result is not None and result.ok:
            batch.committed(result.rev)
            return True
        batch.failed()
        if result is not None and LEADER in result.failed:
            self._on_fenced()
        return False

    def due_records(self) -> DueRecords:
        """Jobs whose records are due now."""
        return due_records(self._cluster, self._store.writes.rate, trio.current_time())

    def _next_batch(self) -> WriteBatch:
        """Ended jobs go first, since their users wait for them, then machines that wait for their first work, then
        jobs that begin or stop to run. Mere progress never costs what these need next."""
        batch = WriteBatch(self._cluster.term, self._store.txn_ops)
        due = self.due_records()
        self._jobs.add_to(batch, due.ended)
        self._registry.add_to(batch)
        self._jobs.add_to(batch, due.started_or_stopped)
        batch.max_writes = min(batch.max_writes, max(len(batch.writes), self._writes_without_reserve()))
        self._jobs.add_to(batch, due.progressed)
        self._garbage.add_to(batch)
        return batch

    def _writes_without_reserve(self) -> int:
        """How many writes the rate allows at once, less what is left over for what is urgent next. Found by reading: at
        the smaller store's rate the reserve was all that could be saved up, and no progress was ever written."""
        bucket = self._store.writes
        reserve = min(constants.PROGRESS_RESERVE, int(bucket.burst * constants.PROGRESS_RESERVE_SHARE))
        return int(bucket.level()) - reserve

    async def _commit(self, batch: WriteBatch) -> TransactionResult | None:
        """None if there is no result. Whether an unanswered one was carried out shows in the watch cache; until then
        it stays due."""
        try:
            return await self._store.commit(batch.compares, batch.writes)
        except RefusedError as error:
            self._quarantine.refused(batch, error, trio.current_time())
        except StoreError as error:
            log_event(log, logging.DEBUG, "records_not_written", error=error)
        return None
