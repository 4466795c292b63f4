"""The leader's writes: finished tasks into job records, jobs that are over to their final key, and the
roster of machines that may hold work. Every transaction carries `leader == term`, so a late one fails."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from sorrelsill import constants as C
from sorrelsill.jobs.records import chunk_value, final_record, record_value
from sorrelsill.store import (
    LEADER,
    Ambiguous,
    Condition,
    Put,
    Remove,
    Store,
    Unavailable,
    View,
    chunk_key,
    final_key,
    job_key,
    roster_key,
)

if TYPE_CHECKING:
    from sorrelsill.workers import Attempt, Job, Ledger

log = logging.getLogger(__name__)


class _Batch:
    """One transaction in the making, and what its commit means."""

    def __init__(self, term: int, ops: int) -> None:
        self.conditions = [Condition(LEADER, term)]
        self.writes: list[Put | Remove] = []
        self.after: list[Callable[[int], None]] = []
        self.undo: list[Callable[[], None]] = []  # if it is not known to be committed: what stays due
        self.size = 200
        self.ops = ops

    def room(self, conditions: int, writes: int, size: int) -> bool:
        return (
            len(self.writes) + writes <= self.ops
            and len(self.conditions) + conditions <= self.ops * C.CONDITIONS_PER_OP
            and self.size + size <= C.TXN_BYTES
        )


class Recorder:
    """One per term. A step writes what is due; whatever is not committed stays due."""

    def __init__(self, store: Store, view: View, ledger: Ledger, valid: Callable[[], bool]) -> None:
        self._store = store
        self._view = view
        self._ledger = ledger
        self._valid = valid
        self.on_superseded: Callable[[], None] = lambda: None

    async def step(self) -> bool:
        """Write one transaction. True if there was something to write and it was committed."""
        if not self._valid():
            return False
        batch = _Batch(self._ledger.term, max(2, self._store.txn_ops))
        self._roster(batch)
        self._records(batch)
        if not batch.writes:
            return False
        try:
            txn = await self._store.multi(batch.conditions, batch.writes)
        except (Unavailable, Ambiguous) as error:
            # Whether an unanswered one was carried out shows in the view; until then it stays due.
            log.debug("records: %s", error)
            txn = None
        if txn is None or not txn.ok:
            for undo in batch.undo:
                undo()
            if txn is not None and LEADER in txn.failed:
                self.on_superseded()
            return False
        for after in batch.after:
            after(txn.rev)
        return True

    def _roster(self, batch: _Batch) -> None:
        ledger = self._ledger
        for name in list(ledger.gone):
            host = ledger.hosts.get(name)
            if host is not None and host.synced:
                ledger.gone.discard(name)
                continue
            if not batch.room(0, 1, 100):
                return
            batch.writes.append(Remove(roster_key(name)))
            batch.after.append(lambda rev, name=name: ledger.gone.discard(name))  # type: ignore[misc]
        for host in ledger.hosts.values():
            if host.synced and not host.rostered and not host.returning and batch.room(0, 1, 200):
                batch.writes.append(Put(roster_key(host.name), {"f": host.flavour, "a": host.addr}))

                def rostered(rev: int, host: object = host, tenure: int = host.tenure) -> None:
                    if host.synced and host.tenure == tenure:  # type: ignore[attr-defined]
                        host.rostered = True  # type: ignore[attr-defined]
                        ledger.wake_placing = True

                batch.after.append(rostered)

    def _records(self, batch: _Batch) -> None:
        ledger = self._ledger
        # Jobs that are over go first: their users wait for it.
        due = [ledger.jobs[u] for u in ledger.dirty if u in ledger.jobs]
        ledger.dirty.intersection_update(ledger.jobs)
        due.sort(key=lambda j: (j.done.count < j.spec.shards, j.submitted))
        for job in due:
            if not self._record(batch, job):
                return

    def _record(self, batch: _Batch, job: Job) -> bool:
        ledger, spec = self._ledger, job.spec
        uid = spec.uid
        results = ledger.unrecorded(uid)
        if job.done.count == spec.shards and not spec.endless:
            chunks = [Remove(chunk_key(uid, n)) for n, _ in self._view.chunks(uid)][: max(0, batch.ops - 3)]
            if not batch.room(1, 2 + len(chunks), 500):
                return False
            record = final_record("done", spec, spec.shards, job.why)
            batch.conditions.append(Condition(job_key(uid), job.rev))
            batch.writes += [Remove(job_key(uid)), Put(final_key(uid), record), *chunks]
            batch.size += 500

            def finished(rev: int) -> None:
                self._view.remember_final(uid, record)
                self._view.apply(job_key(uid), None, rev, False)
                ledger.end_job(uid)
                _clear(results)

            batch.after.append(finished)
            return True
        running = job.running()
        numbers = sorted(job.dirty_chunks)[: max(1, batch.ops - 2)] if spec.shards > C.CHUNK_SHARDS else []
        value = record_value(spec, job.done, running, job.why, job.accepted)
        parts = [Put(chunk_key(uid, n), chunk_value(job.done, n)) for n in numbers]
        size = len(str(value)) + sum(len(p.value) for p in parts) + 300
        if not batch.room(1, 1 + len(parts), size):
            return False
        batch.conditions.append(Condition(job_key(uid), job.rev))
        batch.writes += [Put(job_key(uid), value), *parts]
        batch.size += size
        ledger.dirty.discard(uid)
        job.dirty_chunks.difference_update(numbers)

        def written(rev: int) -> None:
            job.rev = max(job.rev, rev)
            self._view.apply(job_key(uid), value, rev, True)
            _clear(results)

        def undone() -> None:
            ledger.dirty.add(uid)
            job.dirty_chunks.update(numbers)

        batch.after.append(written)
        batch.undo.append(undone)
        return True


def _clear(results: list[Attempt]) -> None:
    for attempt in results:
        attempt.clearable = True
