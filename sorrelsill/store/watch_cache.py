"""Watch cache: a copy of the live keys of the key-value store in the memory of each controller, updated by a watch. A
read barrier proves that the copy is up to date."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.store.client import KeyValueStore, StoreError, VersionedValue, WatchResult, decode_change
from sorrelsill.store.ended_jobs import EndedRecords, RecentlyEndedJobs
from sorrelsill.store.keys import (
    ALL_KEYS,
    CATALOG,
    CHUNK_PREFIXES,
    FINAL_PREFIX,
    JOB_PREFIX,
    LEADER,
    REGISTRY_PREFIX,
    first_task_of_chunk,
    job_of_chunk,
    registry_key,
)

log = logging.getLogger(__name__)

Listener = Callable[[str, Any, int], None]


class WatchCache:
    """Holds all live keys in memory. Final records are never deleted from the store, so only a bounded number of them
    is cached."""

    def __init__(
        self,
        store: KeyValueStore,
        keep_ended_s: float,
        on_final: Callable[[str, Any], None] = lambda job_id, value: None,
        extra_prefixes: tuple[str, ...] = (),
    ) -> None:
        """`keep_ended_s`: seconds for which ended jobs are remembered. `on_final`: called with each final record that
        this process learns of. `extra_prefixes`: prefixes of further keys to cache."""
        self._prefixes = (JOB_PREFIX, *CHUNK_PREFIXES, REGISTRY_PREFIX, LEADER, CATALOG, *extra_prefixes)
        self._store = store
        self.keys: dict[str, VersionedValue] = {}
        self._final_records: OrderedDict[str, Any] = OrderedDict()
        self.ended_jobs = RecentlyEndedJobs(keep_ended_s)
        self.complete_since = float("inf")  # no end of a job was missed since this time
        # The watch has returned every change since this time, including those of final records.
        self.followed_since = float("inf")
        # By job, so that a failover does not iterate over all keys for each job.
        self._chunk_keys: dict[str, set[str]] = {}
        self.rev = 0  # every change up to this revision of the store is in the cache
        self.loaded = False
        self.fresh_at = float("-inf")  # the cache holds every change committed before this time
        self.listeners: list[Listener] = []
        self._on_final = on_final
        self._removed: dict[str, int] = {}  # keys removed at a revision above `rev`
        self._barrier_interval_s = 1.0 / max(1.0, constants.BARRIER_RATE_OF_RPS * store.requests.rate * 3)
        self._last_barrier_at = float("-inf")
        self._barrier_waiters: list[trio.Event] = []
        self._barrier_requested = trio.Event()

    # --- reading the cache ---

    def job(self, job_id: str) -> VersionedValue | None:
        """The record of a live job and its revision, or None."""
        return self.keys.get(JOB_PREFIX + job_id)

    def jobs(self) -> list[tuple[str, Any, int]]:
        """IDs, records and revisions of all live jobs."""
        return [(k[len(JOB_PREFIX) :], v, r) for k, (v, r) in self.keys.items() if k.startswith(JOB_PREFIX)]

    def chunks(self, job_id: str) -> list[tuple[int, Any]]:
        """The progress chunks of a job: the first task that each covers, and its value."""
        chunks = []
        for key in self.chunk_keys(job_id):
            first_task = first_task_of_chunk(key)
            if first_task is not None:
                chunks.append((first_task, self.keys[key].value))
        return chunks

    def chunk_keys(self, job_id: str) -> list[str]:
        """The keys of a job's progress chunks."""
        return sorted(self._chunk_keys.get(job_id, ()))

    def jobs_with_orphaned_chunks(self) -> list[str]:
        """Ended jobs that still have progress chunks: the transaction that ended such a job was too small to delete all
        of them."""
        return [job_id for job_id in self._chunk_keys if JOB_PREFIX + job_id not in self.keys]

    def registry_keys(self, machine: str) -> dict[str, tuple[dict[str, Any], int]]:
        """The keys of the part of the registry that a machine belongs to, in order, with value and revision. Each of
        them may hold the machine's entry."""
        key = base = registry_key(machine)
        by_key: dict[str, tuple[dict[str, Any], int]] = {}
        while key in self.keys:
            value, rev = self.keys[key]
            by_key[key] = (value if isinstance(value, dict) else {}), rev
            key = f"{base}.{len(by_key)}"
        return by_key

    def registered_machines(self) -> list[tuple[str, Any]]:
        """The machines in the registry, and their entries as stored. An earlier leader may have assigned tasks to any
        of them, since a machine is registered before it gets work."""
        values = [v for k, (v, _) in self.keys.items() if k.startswith(REGISTRY_PREFIX) and isinstance(v, dict)]
        return [(name, entry) for value in values for name, entry in value.items()]

    def leader(self) -> VersionedValue | None:
        """The value of the leader key and its revision, or None if there is no leader."""
        return self.keys.get(LEADER)

    def final(self, job_id: str) -> Any | None:
        """The final record of a job, or None if it is not cached."""
        return self._final_records.get(job_id)

    def remember_final(self, job_id: str, value: Any) -> None:
        """Caches a final record and passes it to `on_final`."""
        self._final_records[job_id] = value
        self._on_final(job_id, value)
        while len(self._final_records) > constants.FINAL_RECORDS_CACHED:
            self._final_records.popitem(last=False)

    # --- updating the cache ---

    def apply_change(self, key: str, value: Any, rev: int, present: bool) -> None:
        """Applies one change. Responses may arrive out of order, so a change that is older than the cached value has no
        effect. A change at or below the revision of the cache has no effect either, since the key may have been removed
        after it: a late response to the write of a job's record would otherwise bring the job back after the watch has
        returned the job's cancellation."""
        if key.startswith(FINAL_PREFIX):
            if present:
                self.remember_final(key[len(FINAL_PREFIX) :], value)
            return
        current = self.keys.get(key)
        if rev <= self.rev or current is not None and current.rev >= rev:
            return
        if self._removed.get(key, -1) >= rev:
            # This process cancelled the job before the watch returned the job's record. Tasks of the job may still run
            # for a while, so the job is recorded as ended, to be counted toward the quota of its team.
            if present and key.startswith(JOB_PREFIX) and key[len(JOB_PREFIX) :] not in self.ended_jobs:
                self._record_end(key[len(JOB_PREFIX) :], value)
            return
        if not present:
            # Without this, a watch response already in flight would bring back a job that this process cancelled
            # before the watch returned the job's record.
            self._removed[key] = rev
        if present:
            self.keys[key] = VersionedValue(value, rev)
            if key.startswith(CHUNK_PREFIXES):
                self._chunk_keys.setdefault(job_of_chunk(key), set()).add(key)
        elif current is not None:
            del self.keys[key]
            self._index_removal(key, current.value)
        for listener in self.listeners:
            listener(key, value if present else None, rev)

    def _index_removal(self, key: str, value: Any) -> None:
        """Updates the indexes after the removal of a key. A removed job is recorded as ended: the tasks of a cancelled
        job may keep running for a while, and a new leader counts them toward the quota of its team."""
        if key.startswith(CHUNK_PREFIXES):
            job_id = job_of_chunk(key)
            self._chunk_keys[job_id].discard(key)
            if not self._chunk_keys[job_id]:
                del self._chunk_keys[job_id]
        if not key.startswith(JOB_PREFIX):
            return
        self._record_end(key[len(JOB_PREFIX) :], value)

    def _record_end(self, job_id: str, last_record: Any) -> None:
        self.ended_jobs.add(job_id, last_record, trio.current_time())

    def recently_ended(self, window_s: float) -> EndedRecords:
        """The jobs that ended within the last `window_s` seconds, with their last live records."""
        return self.ended_jobs.within(window_s, self.complete_since, trio.current_time())

    async def _load(self) -> None:
        """Reads all live keys, and removes cached keys that the store no longer has. Final records are not read, since
        their number is not bounded."""
        stored: dict[str, VersionedValue] = {}
        sent_at = trio.current_time()
        base_rev: int | None = None
        for prefix in self._prefixes:
            scan = await self._store.scan(prefix)
            base_rev = scan.rev if base_rev is None else min(base_rev, scan.rev)
            stored.update(scan.entries)
        assert base_rev is not None
        for key, (value, rev) in stored.items():
            self.apply_change(key, value, rev, True)
        for key in [k for k, entry in self.keys.items() if k not in stored and entry.rev <= base_rev]:
            self._remove_missing(key, base_rev)
        self._advance_to(base_rev)
        self.fresh_at = max(self.fresh_at, sent_at)
        self.complete_since = trio.current_time()  # jobs that started and ended between two loads are unknown
        self.followed_since = self.complete_since
        self.loaded = True
        took_s = self.complete_since - sent_at
        log_event(log, logging.DEBUG, "view_loaded", revision=self.rev, keys=len(self.keys), took_s=took_s)

    def _remove_missing(self, key: str, rev: int) -> None:
        """Removes a key that is no longer in the store and whose removal the watch has not returned."""
        self._index_removal(key, self.keys.pop(key).value)
        for listener in self.listeners:
            listener(key, None, rev)

    def _apply_watch(self, result: WatchResult, sent_at: float) -> None:
        for raw in result.changes:
            change = decode_change(raw)
            if change is not None:
                self.apply_change(change.key, change.value, change.rev, change.present)
        self._advance_to(max(self.rev, result.rev))
        self.fresh_at = max(self.fresh_at, sent_at)
        if log.isEnabledFor(logging.DEBUG):
            took_s = trio.current_time() - sent_at
            changes = len(result.changes)
            log_event(log, logging.DEBUG, "view_followed", revision=self.rev, changes=changes, took_s=took_s)

    def _advance_to(self, rev: int) -> None:
        """Sets the revision of the cache. Changes at or below this revision have no effect from now on, so removals up
        to this revision need not be remembered."""
        self.rev = rev
        if self._removed:
            self._removed = {k: r for k, r in self._removed.items() if r > rev}

    # --- watching the store ---

    async def _watch_once(self, hold_s: float, timeout_s: float) -> None:
        """Applies the changes since the revision of the cache. If the store no longer has these changes, all keys
        are loaded again in the next iteration of `run`."""
        sent_at = trio.current_time()
        result = await self._store.watch(ALL_KEYS, self.rev, hold_s, timeout_s)
        if result is None:
            self.loaded = False
        else:
            self._apply_watch(result, sent_at)

    async def run(self) -> None:
        """Follows the store until cancelled, and retries after a pause if a request fails."""
        last_started_at = float("-inf")
        interval_s = 1.0 / (constants.WATCH_SHARE * self._store.requests.rate)
        while True:
            try:
                # The store answers a watch at the first change: without a pause between watches, hundreds of changes
                # per second would use up the whole request rate.
                await trio.sleep_until(max(last_started_at + interval_s, trio.current_time()))
                last_started_at = trio.current_time()
                if not self.loaded:
                    await self._load()
                await self._watch_once(constants.WATCH_HOLD_S, constants.WATCH_HOLD_S + constants.WATCH_GRACE_S)
            except StoreError as error:
                log_event(log, logging.DEBUG, "watch_failed", error=error)
                await trio.sleep(constants.RETRY_PAUSE_S)
            except (KeyError, TypeError, ValueError):
                # A malformed response must not end the process: load all keys again.
                log.exception("watch_answer_damaged")
                self.loaded = False
                await trio.sleep(constants.RETRY_PAUSE_S)

    # --- read barriers ---

    def barrier_waiters(self) -> int:
        """The number of callers waiting for a barrier."""
        return len(self._barrier_waiters)

    async def read_barrier(self) -> bool:
        """Linearizable read barrier. Returns True if the cache now holds every change committed before this call. One
        read of the store serves all callers that were waiting when the read began; the rate of these reads is limited
        per controller."""
        event = trio.Event()
        self._barrier_waiters.append(event)
        self._barrier_requested.set()
        start = trio.current_time()
        await event.wait()
        return self.fresh_at >= start

    async def run_barriers(self) -> None:
        """Serves requested barriers until cancelled."""
        while True:
            await self._barrier_requested.wait()
            pause_s = self._last_barrier_at + self._barrier_interval_s - trio.current_time()
            if pause_s > 0:
                await trio.sleep(pause_s)
            waiters, self._barrier_waiters = self._barrier_waiters, []
            self._barrier_requested = trio.Event()
            self._last_barrier_at = trio.current_time()
            try:
                if self.loaded:
                    await self._watch_once(0, constants.POLL_DEADLINE_S / 2)
            except StoreError as error:
                log_event(log, logging.DEBUG, "read_barrier_failed", error=error)
            except (KeyError, TypeError, ValueError):
                log.exception("read_barrier_answer_damaged")
                self.loaded = False
            for event in waiters:
                event.set()
