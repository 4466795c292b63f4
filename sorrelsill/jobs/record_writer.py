"""The leader's writes: progress of live jobs, moves of ended jobs to their final key, and the registry of machines that
may hold work. Every transaction has the condition that the leader key still has the revision of this leader's fencing
token, so a transaction that arrives after the term has ended fails.

All writes keep to the limits of the key-value store, which may be reduced without notice. When the store refuses a
transaction for its size, the changes in it are sent one by one, and a change that is refused alone is quarantined."""

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
    """Writes due changes, one transaction per step. Changes that are not committed stay due. Each term has its own
    writer."""

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        cluster: ClusterState,
        leadership_valid: Callable[[], bool],
        on_fenced: Callable[[], None] = lambda: None,
    ) -> None:
        """`leadership_valid` tells whether this leader may still write. `on_fenced` is called when a commit fails
        because another leader's term has begun."""
        self._store = store
        self._cluster = cluster
        self._leadership_valid = leadership_valid
        self._on_fenced = on_fenced
        self._quarantine = WriteQuarantine()
        self._jobs = JobRecordWrites(store, watch_cache, cluster, self._quarantine)
        self._registry = RegistryWrites(store, watch_cache, cluster, self._quarantine)
        self._garbage = ChunkGarbageCollector(watch_cache, self._quarantine)

    @property
    def quarantined(self) -> int:
        """Number of changes in quarantine because the store refuses them."""
        return len(self._quarantine)

    async def step(self) -> bool:
        """Writes one transaction. Returns True if there was something to write and it was committed."""
        if not self._leadership_valid():
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
        if result is not None and LEADER in result.failed and batch.leader_key_rev == self._cluster.fencing_token:
            self._on_fenced()
        return False

    def due_records(self) -> DueRecords:
        """Jobs whose records have to be written now."""
        return due_records(self._cluster, self._store.writes.rate, trio.current_time())

    def _next_batch(self) -> WriteBatch:
        """Collects due changes by priority: ended jobs, since users wait for the results; changes of the machine
        registry, since a machine gets no work before it is registered; jobs that started or stopped running; and last,
        progress and deletions of orphaned chunks, which leave a reserve of the write rate for the other changes."""
        batch = WriteBatch(self._cluster.fencing_token, self._store.txn_ops)
        due = self.due_records()
        self._jobs.add_to(batch, due.ended)
        self._registry.add_to(batch)
        self._jobs.add_to(batch, due.started_or_stopped)
        batch.max_writes = min(batch.max_writes, max(len(batch.writes), self._writes_beyond_reserve()))
        self._jobs.add_to(batch, due.progressed)
        self._garbage.add_to(batch)
        return batch

    def _writes_beyond_reserve(self) -> int:
        """Number of writes that the rate allows now, less a reserve for the next urgent writes. The reserve is limited
        to a share of the burst: at a low rate a fixed reserve would take the whole burst, and progress would never be
        written."""
        bucket = self._store.writes
        reserve = min(constants.PROGRESS_RESERVE, int(bucket.burst * constants.PROGRESS_RESERVE_SHARE))
        return int(bucket.level()) - reserve

    async def _commit(self, batch: WriteBatch) -> TransactionResult | None:
        """Returns None if the store returned no result. If the store did not answer, the watch cache will show
        whether the transaction was committed; until then its changes stay due."""
        try:
            return await self._store.commit(batch.compares, batch.writes)
        except RefusedError as error:
            self._quarantine.refused(batch, error, trio.current_time())
        except StoreError as error:
            log_event(log, logging.DEBUG, "records_not_written", error=error)
        return None
