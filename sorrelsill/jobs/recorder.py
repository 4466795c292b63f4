"""The leader's writes: finished tasks into job records, jobs that are over to their final key, and the
roster of machines that may hold work. Every transaction carries `leader == term`, so a late one fails."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec
import trio

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
    from sorrelsill.workers import Attempt, Host, Job, Ledger

log = logging.getLogger(__name__)

_json = msgspec.json.encode


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
        over, turned, progress = self._due()
        # Jobs that are over go first, since their users wait for it, then machines that wait for their first work,
        # then jobs that begin or stop to run. Mere progress never costs what these need next.
        self._records(batch, over)
        self._roster(batch)
        self._records(batch, turned)
        spare = int(self._store.writes.level()) - C.PROGRESS_RESERVE
        batch.ops = min(batch.ops, max(len(batch.writes), spare))
        self._records(batch, progress)
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
        """Machines that may hold work, many to a key. Each write carries the revision of what it replaces: found by
        reading, a removal that was carried out late or twice could undo a later entry of the same term, and the next
        leader would not have waited for that machine."""
        ledger = self._ledger
        changes: dict[str, list[str]] = {}
        for name in list(ledger.gone):
            host = ledger.hosts.get(name)
            if host is not None and host.synced:
                ledger.gone.discard(name)
            else:
                changes.setdefault(roster_key(name), []).append(name)
        for name, host in list(ledger.to_roster.items()):
            if not host.synced or host.rostered or host.returning:
                del ledger.to_roster[name]
            else:
                changes.setdefault(roster_key(name), []).append(name)
        for key, names in changes.items():
            known = self._view.keys.get(key)
            value = dict(known[0]) if known is not None and isinstance(known[0], dict) else {}
            added: list[tuple[Host, int]] = []
            for name in names:
                if name in ledger.gone:
                    value.pop(name, None)
                    continue
                host = ledger.to_roster[name]
                value[name] = {"f": host.flavour, "a": host.addr, "z": host.zone, "s": host.spot}
                added.append((host, host.tenure))
            size = len(_json(value)) + len(key) + 50
            if size > self._store.value_bytes:
                # Without an entry a machine gets no work: that must not go unseen.
                log.error("roster part %s: %d bytes don't fit a value; %d machines get no work", key, size, len(added))
                continue
            if not batch.room(1, 1, size):
                continue
            batch.conditions.append(Condition(key, known[1] if known is not None else 0))
            batch.writes.append(Put(key, value))
            batch.size += size
            removed = [n for n in names if n in ledger.gone]

            batch.after.append(partial(self._rostered, key, value, added, removed))

    def _rostered(
        self, key: str, value: dict[str, Any], added: list[tuple[Host, int]], removed: list[str], rev: int
    ) -> None:
        """A part of the roster is committed: its machines may be given work, unless they changed meanwhile."""
        ledger = self._ledger
        self._view.apply(key, value, rev, True)
        ledger.gone.difference_update(removed)
        for host, tenure in added:
            ledger.to_roster.pop(host.name, None)
            if host.synced and host.tenure == tenure:
                host.rostered = True
                ledger.look(host)
                ledger.wake_placing = True
            elif host.synced:
                ledger.to_roster[host.name] = host

    def _due(self) -> tuple[list[Job], list[Job], list[Job]]:
        """Jobs that are over, that begin or stop to run, and whose progress is due. That is for display, and its
        results stay on the workers until they are recorded, so it is gathered: found on a measured day, writing each
        job at each change used up the store's rate, and submissions waited. With many jobs it is gathered longer."""
        ledger = self._ledger
        ledger.dirty.intersection_update(ledger.jobs)
        now = trio.current_time()
        pace = max(C.PROGRESS_EVERY_S, len(ledger.dirty) / (C.PROGRESS_SHARE * self._store.writes.rate))
        over: list[Job] = []
        turned: list[Job] = []
        progress: list[Job] = []
        for job in (ledger.jobs[uid] for uid in ledger.dirty):
            if job.done.count == job.spec.shards and not job.spec.endless:
                over.append(job)
            elif bool(job.shown_running) != any(a.phase == "running" for a in job.bound.values()):
                turned.append(job)
            elif now - job.recorded_at >= pace:
                progress.append(job)
        for due in (over, turned, progress):
            due.sort(key=lambda job: (job.recorded_at, job.order))
        return over, turned, progress

    def _records(self, batch: _Batch, due: list[Job]) -> None:
        for job in due:
            if not self._record(batch, job):
                return

    def _record(self, batch: _Batch, job: Job) -> bool:
        ledger, spec = self._ledger, job.spec
        uid = spec.uid
        results = ledger.unrecorded(uid)
        if job.done.count == spec.shards and not spec.endless:
            chunks = self._view.chunks(uid) if spec.shards > C.CHUNK_SHARDS else []
            parts_gone = [Remove(chunk_key(uid, n)) for n, _ in chunks][: max(0, batch.ops - 3)]
            if not batch.room(1, 2 + len(parts_gone), 500):
                return False
            record = final_record("done", spec, spec.shards, job.why)
            batch.conditions.append(Condition(job_key(uid), job.rev))
            batch.writes += [Remove(job_key(uid)), Put(final_key(uid), record), *parts_gone]
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

        job.recorded_at = trio.current_time()

        def written(rev: int) -> None:
            job.shown_running = running
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
