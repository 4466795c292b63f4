"""The watch cache: a copy of our keys, kept warm on every controller, with a read barrier that proves it fresh."""

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
    """Live keys in memory; final records only in a bounded cache, since they are kept for ever."""

    def __init__(
        self,
        store: KeyValueStore,
        keep_ended_s: float,
        on_final: Callable[[str, Any], None] = lambda job_id, value: None,
        more_prefixes: tuple[str, ...] = (),
    ) -> None:
        """`keep_ended_s`: how many seconds ended jobs are remembered. `on_final` is told of each final record as it is
        learnt of; `more_prefixes` are keys to be read as well."""
        self._prefixes = (JOB_PREFIX, *CHUNK_PREFIXES, REGISTRY_PREFIX, LEADER, CATALOG, *more_prefixes)
        self._store = store
        self.keys: dict[str, VersionedValue] = {}
        self._final_records: OrderedDict[str, Any] = OrderedDict()
        self.ended_jobs = RecentlyEndedJobs(keep_ended_s)
        self.complete_since = float("inf")  # no end since then can have been missed
        self.followed_since = float("inf")  # every change since then was followed, final records included
        # By job, so that a failover doesn't walk all keys for each.
        self._chunk_keys: dict[str, set[str]] = {}
        self.rev = 0  # every change up to this revision of the store is in the cache
        self.loaded = False
        self.fresh_at = float("-inf")  # the cache holds everything committed before this moment
        self.listeners: list[Listener] = []
        self._on_final = on_final
        self._removed: dict[str, int] = {}  # keys removed at a revision that `rev` has not reached yet
        self._barrier_interval_s = 1.0 / max(1.0, constants.BARRIER_RATE_OF_RPS * store.requests.rate * 3)
        self._last_barrier_at = float("-inf")
        self._barrier_waiters: list[trio.Event] = []
        self._barrier_requested = trio.Event()

    # --- what the keys hold ---

    def job(self, job_id: str) -> VersionedValue | None:
        """The record of a live job and its revision."""
        return self.keys.get(JOB_PREFIX + job_id)

    def jobs(self) -> list[tuple[str, Any, int]]:
        """Names, records and revisions of all live jobs."""
        return [(k[len(JOB_PREFIX) :], v, r) for k, (v, r) in self.keys.items() if k.startswith(JOB_PREFIX)]

    def chunks(self, job_id: str) -> list[tuple[int, Any]]:
        """Finished tasks kept beside a job's record: from which task on, and their text."""
        chunks = []
        for key in self.chunk_keys(job_id):
            first_task = first_task_of_chunk(key)
            if first_task is not None:
                chunks.append((first_task, self.keys[key].value))
        return chunks

    def chunk_keys(self, job_id: str) -> list[str]:
        """Keys of finished tasks kept beside a job's record."""
        return sorted(self._chunk_keys.get(job_id, ()))

    def jobs_with_orphaned_chunks(self) -> list[str]:
        """Ended jobs that left such keys: their end had no room for the removal of all."""
        return [job_id for job_id in self._chunk_keys if JOB_PREFIX + job_id not in self.keys]

    def registry_parts(self, machine: str) -> dict[str, tuple[dict[str, Any], int]]:
        """The keys, with value and revision, in which a machine's entry may stand."""
        key = base = registry_key(machine)
        parts: dict[str, tuple[dict[str, Any], int]] = {}
        while key in self.keys:
            value, rev = self.keys[key]
            parts[key] = (value if isinstance(value, dict) else {}), rev
            key = f"{base}.{len(parts)}"
        return parts

    def registered_machines(self) -> list[tuple[str, Any]]:
        """Machines that may hold work, and their entries as stored."""
        parts = [v for k, (v, _) in self.keys.items() if k.startswith(REGISTRY_PREFIX) and isinstance(v, dict)]
        return [(name, value) for part in parts for name, value in part.items()]

    def leader(self) -> VersionedValue | None:
        """The value of the leader key and its revision."""
        return self.keys.get(LEADER)

    def final(self, job_id: str) -> Any | None:
        """The final record of a job, if it is remembered."""
        return self._final_records.get(job_id)

    def remember_final(self, job_id: str, value: Any) -> None:
        """Keep a final record in memory, and tell the listener of it."""
        self._final_records[job_id] = value
        self._on_final(job_id, value)
        while len(self._final_records) > constants.FINAL_RECORDS_CACHED:
            self._final_records.popitem(last=False)

    # --- keeping it ---

    def apply_change(self, key: str, value: Any, rev: int, present: bool) -> None:
        """One change. Answers may come out of order, so an older one than what is known has no effect. Nor has one
        that the cache has gone past already: the key may have been removed since. Found on a measured day: the answer
        to a job's record came late, after its cancellation had been followed, and brought the job back to life."""
        if key.startswith(FINAL_PREFIX):
            if present:
                self.remember_final(key[len(FINAL_PREFIX) :], value)
            return
        current = self.keys.get(key)
        if rev <= self.rev or current is not None and current.rev >= rev:
            return
        if self._removed.get(key, -1) >= rev:
            # A job that was cancelled here before the watch told of it. Its tasks may run on for a while all the same.
            if present and key.startswith(JOB_PREFIX) and key[len(JOB_PREFIX) :] not in self.ended_jobs:
                self._record_end(key[len(JOB_PREFIX) :], value)
            return
        if not present:
            # Found by reading: a job cancelled here before the watch told of it came back with a watch answer that was
            # on its way, since nothing said that it had been removed after that.
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
        """A job that was cancelled may run on for a while: a new leader counts its tasks toward its team's limit."""
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

    def recently_ended(self, window: float) -> EndedRecords:
        """The last live records of jobs that ended within the last `window` seconds."""
        return self.ended_jobs.within(window, self.complete_since, trio.current_time())

    async def _load(self) -> None:
        """Read everything live; the final records stay where they are."""
        found: dict[str, VersionedValue] = {}
        sent_at = trio.current_time()
        since: int | None = None
        for prefix in self._prefixes:
            scan = await self._store.scan(prefix)
            since = scan.rev if since is None else min(since, scan.rev)
            found.update(scan.entries)
        assert since is not None
        for key, (value, rev) in found.items():
            self.apply_change(key, value, rev, True)
        for key in [k for k, entry in self.keys.items() if k not in found and entry.rev <= since]:
            self._remove_missing(key, since)
        self._advance_to(since)
        self.fresh_at = max(self.fresh_at, sent_at)
        self.complete_since = trio.current_time()  # jobs that came and went between two readings were never seen
        self.followed_since = self.complete_since
        self.loaded = True
        took_s = self.complete_since - sent_at
        log_event(log, logging.DEBUG, "view_loaded", revision=self.rev, keys=len(self.keys), took_s=took_s)

    def _remove_missing(self, key: str, rev: int) -> None:
        """The store holds a key no more, and the change that removed it was not followed."""
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
        """From now on a change at or before `rev` has no effect, so removals up to it need not be remembered."""
        self.rev = rev
        if self._removed:
            self._removed = {k: r for k, r in self._removed.items() if r > rev}

    # --- following the store ---

    async def _watch_once(self, hold_s: float, timeout_s: float) -> None:
        """Apply what changed since our revision; if the store remembers no changes from there on, read everything anew
        the next time."""
        sent_at = trio.current_time()
        result = await self._store.watch(ALL_KEYS, self.rev, hold_s, timeout_s)
        if result is None:
            self.loaded = False
        else:
            self._apply_watch(result, sent_at)

    async def run(self) -> None:
        """Follow for ever; whatever fails is tried again after a pause."""
        last = float("-inf")
        interval_s = 1.0 / (constants.WATCH_SHARE * self._store.requests.rate)
        while True:
            try:
                # Each change ends a watch: without a pause, hundreds of changes a second would take all requests.
                await trio.sleep_until(max(last + interval_s, trio.current_time()))
                last = trio.current_time()
                if not self.loaded:
                    await self._load()
                await self._watch_once(constants.WATCH_HOLD_S, constants.WATCH_HOLD_S + constants.WATCH_GRACE_S)
            except StoreError as error:
                log_event(log, logging.DEBUG, "watch_failed", error=error)
                await trio.sleep(constants.RETRY_S)
            except (KeyError, TypeError, ValueError):
                # Guards against an answer of an unexpected form: read everything anew instead of dying.
                log.exception("watch_answer_damaged")
                self.loaded = False
                await trio.sleep(constants.RETRY_S)

    # --- read barriers ---

    def barrier_waiters(self) -> int:
        """How many callers wait for a barrier."""
        return len(self._barrier_waiters)

    async def read_barrier(self) -> bool:
        """A linearizable read barrier: after True the cache holds every change committed before this call. One read
        serves all that wait; it begins after they came, at most at the node's rate of barriers."""
        event = trio.Event()
        self._barrier_waiters.append(event)
        self._barrier_requested.set()
        start = trio.current_time()
        await event.wait()
        return self.fresh_at >= start

    async def run_barriers(self) -> None:
        """Serve the barriers that are requested, for ever."""
        while True:
            await self._barrier_requested.wait()
            pause = self._last_barrier_at + self._barrier_interval_s - trio.current_time()
            if pause > 0:
                await trio.sleep(pause)
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
