"""The leader's writes: finished tasks into job records, jobs that are over to their final key, and the
roster of machines that may hold work. Every transaction carries `leader == term`, so a late one fails.

Whatever is written keeps to the limits of the state service, which may shrink without notice. A transaction that it
refuses for its size is taken apart: each change goes by itself, and one that is refused alone is set aside for a while,
logged and counted, so that it never holds up the others."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import trio

from sorrelsill import constants
from sorrelsill.jobs.machine_registry import RegistryWrite, next_registry_write
from sorrelsill.jobs.records import chunk_value, final_record, json_size, record_value, with_notes
from sorrelsill.model import RegistryEntry
from sorrelsill.store import (
    LEADER,
    AmbiguousError,
    Compare,
    Delete,
    KeyValueStore,
    Put,
    RefusedError,
    UnavailableError,
    WatchCache,
    chunk_key,
    final_key,
    job_key,
    registry_key,
    small_chunk_key,
)

if TYPE_CHECKING:
    from sorrelsill.workers import Attempt, ClusterState, Job, Machine

log = logging.getLogger(__name__)

_PARTS_OF_CHUNK = constants.CHUNK_SHARDS // constants.PART_SHARDS


class _Batch:
    """One transaction in the making, and what its commit means."""

    def __init__(self, term: int, ops: int) -> None:
        self.compares = [Compare(LEADER, term)]
        self.writes: list[Put | Delete] = []
        self.after: list[Callable[[int], None]] = []
        self.undo: list[Callable[[], None]] = []  # if it is not known to be committed: what stays due
        self.units: list[str] = []  # the changes in it, each of which could go by itself
        self.size = 200
        self.ops = ops

    def room(self, compares: int, writes: int, size: int) -> bool:
        return (
            len(self.writes) + writes <= self.ops
            and len(self.compares) + compares <= self.ops * constants.COMPARES_PER_OP
            and self.size + size <= constants.TXN_BYTES
        )


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
        """`on_superseded` is told when the store says that another leader's term has begun."""
        self._store = store
        self._watch_cache = watch_cache
        self._cluster = cluster
        self._valid = valid
        self._alone = 0  # steps in which each change goes by itself, after a refusal
        self._aside: dict[str, float] = {}  # changes that were refused alone: until when they are left out
        self._on_fenced = on_fenced

    @property
    def set_aside(self) -> int:
        """How many changes are left out for now since the store refuses them."""
        return len(self._aside)

    async def step(self) -> bool:
        """Write one transaction. True if there was something to write and it was committed."""
        if not self._valid():
            return False
        now = trio.current_time()
        self._aside = {unit: until for unit, until in self._aside.items() if until > now}
        batch = _Batch(self._cluster.term, self._store.txn_ops)
        over, turned, progress = self._due()
        # Jobs that are over go first, since their users wait for it, then machines that wait for their first work,
        # then jobs that begin or stop to run. Mere progress never costs what these need next.
        self._records(batch, over)
        self._write_registry(batch)
        self._records(batch, turned)
        bucket = self._store.writes
        # Found by reading: at the smaller store's rate the reserve was all that could be saved up, and no progress was
        # ever written.
        reserve = min(constants.PROGRESS_RESERVE, int(bucket.burst * constants.PROGRESS_RESERVE_SHARE))
        batch.ops = min(batch.ops, max(len(batch.writes), int(bucket.level()) - reserve))
        self._records(batch, progress)
        self._orphans(batch)
        if not batch.writes:
            return False
        self._alone = max(0, self._alone - 1)
        try:
            txn = await self._store.commit(batch.compares, batch.writes)
        except RefusedError as error:
            self._refused(batch, error, trio.current_time())
            txn = None
        except (UnavailableError, AmbiguousError) as error:
            # Whether an unanswered one was carried out shows in the view; until then it stays due.
            log.debug("records: %s", error)
            txn = None
        if txn is None or not txn.ok:
            for undo in batch.undo:
                undo()
            if txn is not None and LEADER in txn.failed:
                self._on_fenced()
            return False
        for after in batch.after:
            after(txn.rev)
        return True

    def _refused(self, batch: _Batch, why: RefusedError, now: float) -> None:
        if why.limits_reduced:
            return  # what is longer than the limits that hold now is written otherwise the next time
        if len(batch.units) > 1:
            self._alone = len(batch.units)
            return
        for unit in batch.units:
            log.error("%s can't be written and is set aside: %s", unit, why)
            self._aside[unit] = now + constants.ASIDE_S

    def _takes(self, batch: _Batch, unit: str) -> bool:
        return unit not in self._aside and not (self._alone and batch.units)

    def _write_registry(self, batch: _Batch) -> None:
        """Machines that may hold work, many to a key. Each write carries the revision of what it replaces: found by
        reading, a removal that was carried out late or twice could undo a later entry of the same term, and the next
        leader would not have waited for that machine."""
        cluster = self._cluster
        bases: dict[str, str] = {}  # key of a part -> a machine of it
        add: dict[str, dict[str, Machine]] = {}
        for name in list(cluster.pending_writes.deregistrations):
            machine = cluster.machines.get(name)
            if (
                machine is not None
                and machine.token_acknowledged
                or not any(name in value for value, _ in self._watch_cache.registry_parts(name).values())
            ):
                cluster.pending_writes.deregistrations.discard(name)
            else:
                bases[registry_key(name)] = name
        for name, machine in list(cluster.pending_writes.registrations.items()):
            if not machine.token_acknowledged or machine.registered or machine.returning:
                del cluster.pending_writes.registrations[name]
            else:
                bases[registry_key(name)] = name
                add.setdefault(registry_key(name), {})[name] = machine
        for base, one in sorted(bases.items()):
            machines = add.get(base, {})
            parts = self._watch_cache.registry_parts(one)
            entries = {
                n: RegistryEntry(h.machine_type, h.addr, h.zone, h.spot).to_stored() for n, h in machines.items()
            }
            values = {key: value for key, (value, _) in parts.items()}
            # Further keys only once the store refuses longer values: a leader of the former version that finds a
            # machine in two of them never takes it for heard.
            write = next_registry_write(
                base, values, entries, cluster.pending_writes.deregistrations, self._store.value_bytes
            )
            if write is None:
                # Without an entry a machine gets no work: that must not go unseen.
                log.error("roster part %s: entries of %d machines fit no value", base, len(machines))
                continue
            size = json_size(write.value) + len(write.key) + 50
            if not self._takes(batch, write.key) or not batch.room(max(1, len(parts)), 1, size):
                continue
            # Of all parts, since what is left out of one may rest on standing in another.
            batch.compares += [Compare(key, rev) for key, (_, rev) in parts.items()]
            if write.key not in parts:
                batch.compares.append(Compare(write.key, 0))
            batch.writes.append(Put(write.key, write.value))
            batch.size += size
            batch.units.append(write.key)
            added = [(machines[n], machines[n].incarnation) for n in write.added if n in machines]
            batch.after.append(partial(self._registered, write, added))

    def _registered(self, write: RegistryWrite, added: list[tuple[Machine, int]], rev: int) -> None:
        """A part of the roster is committed: its machines may be given work, unless they changed meanwhile. Machines
        that are gone stay due until they stand in no part any more."""
        cluster = self._cluster
        self._watch_cache.apply_change(write.key, write.value, rev, True)
        for machine, incarnation in added:
            cluster.pending_writes.registrations.pop(machine.name, None)
            if machine.token_acknowledged and machine.incarnation == incarnation:
                machine.registered = True
                cluster.wake_scheduler = True
            elif machine.token_acknowledged:
                cluster.pending_writes.registrations[machine.name] = machine

    def _due(self) -> tuple[list[Job], list[Job], list[Job]]:
        """Jobs that are over, that begin or stop to run, and whose progress is due. That is for display, and its
        results stay on the workers until they are recorded, so it is gathered: found on a measured day, writing each
        job at each change used up the store's rate, and submissions waited. With many jobs it is gathered longer."""
        cluster = self._cluster
        cluster.pending_writes.records.intersection_update(cluster.jobs)
        now = trio.current_time()
        pace = max(
            constants.PROGRESS_EVERY_S,
            len(cluster.pending_writes.records) / (constants.PROGRESS_SHARE * self._store.writes.rate),
        )
        over: list[Job] = []
        turned: list[Job] = []
        progress: list[Job] = []
        for job in (cluster.jobs[job_id] for job_id in cluster.pending_writes.records):
            if job.done.count == job.spec.task_count and not job.spec.is_service:
                over.append(job)
            elif bool(job.recorded_running) != any(a.phase == "running" for a in job.bound.values()):
                turned.append(job)
            elif now - job.recorded_at >= pace:
                progress.append(job)
        for due in (over, turned, progress):
            due.sort(key=lambda job: (job.recorded_at, job.order))
        return over, turned, progress

    def _records(self, batch: _Batch, due: list[Job]) -> None:
        for job in due:
            if self._takes(batch, job.spec.job_id) and not self._record(batch, job):
                return

    def _record(self, batch: _Batch, job: Job) -> bool:
        cluster, spec, store = self._cluster, job.spec, self._store
        job_id = spec.job_id
        results = cluster.attempts.unrecorded(job_id)
        if job.done.count == spec.task_count and not spec.is_service:
            # What finds no room of its parts is removed later, as an orphan.
            parts_gone = [Delete(key) for key in self._watch_cache.chunk_keys(job_id)][: max(0, batch.ops - 3)]
            if not batch.room(1, 2 + len(parts_gone), 500):
                return False
            record = final_record("done", spec, spec.task_count, job.why, store.reduced_value_bytes)
            batch.compares.append(Compare(job_key(job_id), job.rev))
            batch.writes += [Delete(job_key(job_id)), Put(final_key(job_id), record), *parts_gone]
            batch.size += json_size(record) + 300
            batch.units.append(job_id)

            def finished(rev: int) -> None:
                self._watch_cache.remember_final(job_id, record)
                self._watch_cache.apply_change(job_key(job_id), None, rev, False)
                cluster.end_job(job_id)
                _clear(results)

            batch.after.append(finished)
            return True
        running = job.running()
        value = record_value(spec, job.done, running, [], job.accepted, not job.chunked)
        size = json_size(value)
        if size > store.value_bytes and not job.chunked:
            # From now on its finished tasks stand beside the record, those written before included.
            job.chunked = True
            job.unrecorded_parts.update(
                n for n in range(-(-spec.task_count // constants.PART_SHARDS)) if self._any_done(job, n)
            )
            value = record_value(spec, job.done, running, [], job.accepted, False)
            size = json_size(value)
        fits = (
            size <= store.value_bytes
        )  # else it was accepted under a larger limit: it stays as it stands till its end
        if fits:
            value = with_notes(value, job.why, max(size, store.reduced_value_bytes))
            size = json_size(value) + 300
        puts, numbers = self._parts(job, max(1, batch.ops - 1)) if job.chunked else ([], set(job.unrecorded_parts))
        size += sum(json_size(p.value) + 200 for p in puts)
        # The record goes last, with or after all its parts, as it may leave out what it held itself before.
        last = fits and numbers >= job.unrecorded_parts
        if not puts and not last:
            cluster.pending_writes.records.discard(job_id)  # nothing of it can be written
            return True
        if not batch.room(1, last + len(puts), size):
            return False
        batch.compares.append(Compare(job_key(job_id), job.rev))
        batch.writes += [Put(job_key(job_id), value), *puts] if last else puts
        batch.size += size
        batch.units.append(job_id)
        whole = numbers >= job.unrecorded_parts
        if whole:
            cluster.pending_writes.records.discard(job_id)
            job.recorded_at = trio.current_time()
        job.unrecorded_parts.difference_update(numbers)

        def written(rev: int) -> None:
            for put in puts:
                self._watch_cache.apply_change(put.key, put.value, rev, True)
            if last:
                job.recorded_running = running
                job.rev = max(job.rev, rev)
                self._watch_cache.apply_change(job_key(job_id), value, rev, True)
            if whole:
                _clear(results)

        def undone() -> None:
            cluster.pending_writes.records.add(job_id)
            job.unrecorded_parts.update(numbers)

        batch.after.append(written)
        batch.undo.append(undone)
        return True

    @staticmethod
    def _any_done(job: Job, number: int) -> bool:
        start = number * constants.PART_SHARDS
        return bool(job.done.encode(start, min(job.spec.task_count, start + constants.PART_SHARDS)))

    def _parts(self, job: Job, most: int) -> tuple[list[Put], set[int]]:
        """Finished tasks of a split job that are not written yet, and the numbers of the small parts that they cover:
        in keys that the version before this one reads as well, as long as the store takes values of that length."""
        job_id, done = job.spec.job_id, job.done
        puts: list[Put] = []
        numbers: set[int] = set()
        for number in sorted(job.unrecorded_parts):
            if number in numbers:
                continue
            if len(puts) == most:
                break
            chunk = number // _PARTS_OF_CHUNK
            text = chunk_value(done, chunk)
            if json_size(text) <= self._store.value_bytes:
                puts.append(Put(chunk_key(job_id, chunk), text))
                first = chunk * _PARTS_OF_CHUNK
                numbers.update(job.unrecorded_parts & set(range(first, first + _PARTS_OF_CHUNK)))
            else:
                puts.append(Put(small_chunk_key(job_id, number), chunk_value(done, number, constants.PART_SHARDS)))
                numbers.add(number)
        return puts, numbers

    def _orphans(self, batch: _Batch) -> None:
        """Parts of jobs that are over, out of what room is left."""
        for job_id in self._watch_cache.jobs_with_orphaned_chunks():
            keys = self._watch_cache.chunk_keys(job_id)[: max(0, batch.ops - len(batch.writes))]
            unit = f"parts of {job_id}"
            if not keys or not self._takes(batch, unit) or not batch.room(1, len(keys), 100 * len(keys)):
                return
            batch.compares.append(Compare(job_key(job_id), 0))
            batch.writes += [Delete(key) for key in keys]
            batch.size += 100 * len(keys)
            batch.units.append(unit)
            batch.after.append(partial(self._swept, keys))

    def _swept(self, keys: list[str], rev: int) -> None:
        for key in keys:
            self._watch_cache.apply_change(key, None, rev, False)


def _registry_entry(machine: Machine) -> RegistryEntry:
    return RegistryEntry(machine.machine_type, machine.addr, machine.zone, machine.spot)


def _clear(results: list[Attempt]) -> None:
    for attempt in results:
        attempt.clearable = True
