"""A followed copy of our keys, kept warm on every controller, with a read barrier that proves it fresh.

All keys begin with `s/`, so that one watch sees everything:
  s/leader       who leads, attached to the leader's lease
  s/j/<uid>      a live job: description, finished tasks, counts
  s/d/<uid>/<n>  finished tasks of a very large job, 16,384 to a key
  s/e/<uid>/<n>  the same, 4,096 to a key: only where the store refuses longer values
  s/f/<uid>      a job that is over, kept for ever
  s/m/<part>     machines that may have been given work, those of one part in one map; a full part goes on in
                 s/m/<part>.1 and so on, and a machine may stand in more than one
  s/catalog      the machine types as last read
"""

from __future__ import annotations

import logging
import zlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.store.client import AmbiguousError, KeyValueStore, UnavailableError

log = logging.getLogger(__name__)

LEADER = "s/leader"
CATALOG = "s/catalog"
JOB_PREFIX = "s/j/"
_CHUNK, _PART, _FINAL, _REGISTRY = "s/d/", "s/e/", "s/f/", "s/m/"

Listener = Callable[[str, Any, int], None]


def job_key(job_id: str) -> str:
    """The key of a live job."""
    return JOB_PREFIX + job_id


def final_key(job_id: str) -> str:
    """The key of a job that is over."""
    return _FINAL + job_id


def chunk_key(job_id: str, number: int) -> str:
    """The key of some finished tasks of a very large job."""
    return f"{_CHUNK}{job_id}/{number}"


def small_chunk_key(job_id: str, number: int) -> str:
    """The key of finished tasks in smaller parts."""
    return f"{_PART}{job_id}/{number}"


def registry_key(machine: str) -> str:
    """Machines share a few keys, so that hundreds that come or go together cost a few writes."""
    return f"{_REGISTRY}{zlib.crc32(machine.encode()) % constants.REGISTRY_PARTS:02d}"


@dataclass(frozen=True, slots=True)
class EndedRecords:
    """Jobs that ended lately."""

    records: list[tuple[str, Any]]  # names, and last live records
    complete: bool  # none can be missing


class WatchCache:
    """Live keys in memory; final records only in a bounded cache, since they are kept for ever."""

    def __init__(
        self,
        store: KeyValueStore,
        keep_ended_s: float,
        on_final: Callable[[str, Any], None] = lambda job_id, value: None,
        more_prefixes: tuple[str, ...] = (),
    ) -> None:
        """`on_final` is told of each final state as it is learnt of; `more_prefixes` are keys to be read as well."""
        self._prefixes = (JOB_PREFIX, _CHUNK, _PART, _REGISTRY, LEADER, CATALOG, *more_prefixes)
        self._store = store
        self._keep_ended_s = keep_ended_s  # how long jobs that are over are remembered
        self.keys: dict[str, tuple[Any, int]] = {}
        self.finals: OrderedDict[str, Any] = OrderedDict()
        self.ended: OrderedDict[str, tuple[float, Any]] = OrderedDict()  # jobs lately over: when seen, last live record
        self.complete_since = float("inf")  # no end since then can have been missed
        self.followed_since = float("inf")  # every change since then was followed, final states included
        self._chunk_keys: dict[
            str, set[str]
        ] = {}  # job -> its parts, so that a takeover doesn't walk all keys for each
        self.rev = 0
        self.loaded = False
        self.fresh_at = float("-inf")  # the view holds everything committed before this moment
        self.listeners: list[Listener] = []
        self._on_final = on_final
        self._removed: dict[str, int] = {}  # keys that are gone by changes that the view has not gone past yet
        self._barrier_gap = 1.0 / max(1.0, constants.BARRIER_RATE_OF_RPS * store.requests.rate * 3)
        self._last_barrier = float("-inf")
        self._waiting: list[trio.Event] = []
        self._asked = trio.Event()

    # --- what the keys hold ---

    def job(self, job_id: str) -> tuple[Any, int] | None:
        """The record of a live job and its revision."""
        return self.keys.get(JOB_PREFIX + job_id)

    def jobs(self) -> list[tuple[str, Any, int]]:
        """Names, records and revisions of all live jobs."""
        return [(k[len(JOB_PREFIX) :], v, r) for k, (v, r) in self.keys.items() if k.startswith(JOB_PREFIX)]

    def chunks(self, job_id: str) -> list[tuple[int, Any]]:
        """Finished tasks kept beside a job's record: from which task on, and their text."""
        out = []
        for key in self.chunk_keys(job_id):
            number = key.rpartition("/")[2]
            if number.isdecimal():
                size = constants.CHUNK_TASKS if key.startswith(_CHUNK) else constants.PART_TASKS
                out.append((int(number) * size, self.keys[key][0]))
        return out

    def chunk_keys(self, job_id: str) -> list[str]:
        """Keys of finished tasks kept beside a job's record."""
        return sorted(self._chunk_keys.get(job_id, ()))

    def jobs_with_orphaned_chunks(self) -> list[str]:
        """Jobs that are over and left such keys: their end had no room for the removal of all."""
        return [job_id for job_id in self._chunk_keys if JOB_PREFIX + job_id not in self.keys]

    def registry_parts(self, machine: str) -> dict[str, tuple[dict[str, Any], int]]:
        """The keys, with value and revision, in which a machine's entry may stand."""
        key = base = registry_key(machine)
        out: dict[str, tuple[dict[str, Any], int]] = {}
        while key in self.keys:
            value, rev = self.keys[key]
            out[key] = (value if isinstance(value, dict) else {}), rev
            key = f"{base}.{len(out)}"
        return out

    def registered_machines(self) -> list[tuple[str, Any]]:
        """Machines that may hold work, and their entries as stored."""
        parts = [v for k, (v, _) in self.keys.items() if k.startswith(_REGISTRY) and isinstance(v, dict)]
        return [(name, value) for part in parts for name, value in part.items()]

    def leader(self) -> tuple[Any, int] | None:
        """The value of the leader key and its revision."""
        return self.keys.get(LEADER)

    def final(self, job_id: str) -> Any | None:
        """The final state of a job, if it is remembered."""
        return self.finals.get(job_id)

    def remember_final(self, job_id: str, value: Any) -> None:
        """Keep a final state in memory, and tell of it."""
        self.finals[job_id] = value
        self._on_final(job_id, value)
        while len(self.finals) > constants.FINAL_CACHE:
            self.finals.popitem(last=False)

    # --- keeping it ---

    def apply_change(self, key: str, value: Any, rev: int, present: bool) -> None:
        """One change. Answers may come out of order, so an older one than what is known has no effect. Nor has one
        that the view has gone past already: the key may have been removed since. Found on a measured day: the answer
        to a job's record came late, after its cancellation had been followed, and brought the job back to life."""
        if key.startswith(_FINAL):
            if present:
                self.remember_final(key[len(_FINAL) :], value)
            return
        known = self.keys.get(key)
        if rev <= self.rev or known is not None and known[1] >= rev:
            return
        if self._removed.get(key, -1) >= rev:
            # A job that was cancelled here before the watch told of it. Its tasks may run on for a while all the same.
            if present and key.startswith(JOB_PREFIX) and key[len(JOB_PREFIX) :] not in self.ended:
                self._note_over(key[len(JOB_PREFIX) :], value)
            return
        if not present:
            # Found by reading: a job cancelled here before the watch told of it came back with a watch answer that was
            # on its way, since nothing said that it had been removed after that.
            self._removed[key] = rev
        if present:
            self.keys[key] = (value, rev)
            if key.startswith((_CHUNK, _PART)):
                self._chunk_keys.setdefault(key[len(_CHUNK) :].partition("/")[0], set()).add(key)
        elif known is not None:
            del self.keys[key]
            self._note_gone(key, known[0])
        for listener in self.listeners:
            listener(key, value if present else None, rev)

    def _note_gone(self, key: str, value: Any) -> None:
        """A job that was cancelled may run on for a while: a new leader counts its tasks toward its team's limit."""
        if key.startswith((_CHUNK, _PART)):
            job_id = key[len(_CHUNK) :].partition("/")[0]
            self._chunk_keys[job_id].discard(key)
            if not self._chunk_keys[job_id]:
                del self._chunk_keys[job_id]
        if not key.startswith(JOB_PREFIX):
            return
        self._note_over(key[len(JOB_PREFIX) :], value)

    def _note_over(self, job_id: str, value: Any) -> None:
        now = trio.current_time()
        self.ended[job_id] = now, value
        self.ended.move_to_end(job_id)
        while now - next(iter(self.ended.values()))[0] > self._keep_ended_s:
            self.ended.popitem(last=False)

    def recently_ended(self, window: float) -> EndedRecords:
        """The last live records of jobs that ended within the last `window` seconds."""
        now = trio.current_time()
        complete = now - window >= self.complete_since and window <= self._keep_ended_s
        return EndedRecords([(i, value) for i, (at, value) in self.ended.items() if now - at <= window], complete)

    async def _load(self) -> None:
        """Read everything live; the final records stay where they are."""
        fresh: dict[str, tuple[Any, int]] = {}
        sent_at = trio.current_time()
        since: int | None = None
        for prefix in self._prefixes:
            found, rev = await self._store.scan(prefix)
            since = rev if since is None else min(since, rev)
            fresh.update(found)
        assert since is not None
        for key, (value, rev) in fresh.items():
            self.apply_change(key, value, rev, True)
        for key in [k for k, (_, r) in self.keys.items() if k not in fresh and r <= since]:
            self._drop(key, since)
        self._gone_past(since)
        self.fresh_at = max(self.fresh_at, sent_at)
        self.complete_since = trio.current_time()  # jobs that came and went between two readings were never seen
        self.followed_since = self.complete_since
        self.loaded = True
        took_s = self.complete_since - sent_at
        log_event(log, logging.DEBUG, "view_loaded", revision=self.rev, keys=len(self.keys), took_s=took_s)

    def _drop(self, key: str, rev: int) -> None:
        self._note_gone(key, self.keys.pop(key)[0])
        for listener in self.listeners:
            listener(key, None, rev)

    def _take(self, since: int, answer: tuple[int, list[dict[str, Any]]], sent_at: float) -> None:
        rev, news = answer
        for change in news:
            if "set" in change:
                self.apply_change(change["set"], change.get("value"), change["keyRev"], True)
            elif "remove" in change:
                self.apply_change(change["remove"], None, change["keyRev"], False)
        self._gone_past(max(self.rev, rev))
        self.fresh_at = max(self.fresh_at, sent_at)
        if log.isEnabledFor(logging.DEBUG):
            took_s = trio.current_time() - sent_at
            log_event(log, logging.DEBUG, "view_followed", revision=self.rev, changes=len(news), took_s=took_s)

    def _gone_past(self, rev: int) -> None:
        """From now on a change at or before `rev` has no effect, so removals up to it need not be remembered."""
        self.rev = rev
        if self._removed:
            self._removed = {k: r for k, r in self._removed.items() if r > rev}

    async def run(self) -> None:
        """Follow for ever; whatever fails is tried again after a pause."""
        last = float("-inf")
        gap = 1.0 / (constants.WATCH_SHARE * self._store.requests.rate)
        while True:
            try:
                # Each change ends a watch: without a pause, hundreds of changes a second would take all requests.
                await trio.sleep_until(max(last + gap, trio.current_time()))
                last = trio.current_time()
                if not self.loaded:
                    await self._load()
                since = self.rev
                sent_at = trio.current_time()
                answer = await self._store.watch(
                    "s/", since, constants.WATCH_HOLD_S, constants.WATCH_HOLD_S + constants.WATCH_GRACE_S
                )
                if answer is None:
                    self.loaded = False
                    continue
                self._take(since, answer, sent_at)
            except (UnavailableError, AmbiguousError) as error:
                log.debug("following: %s", error)
                await trio.sleep(constants.RETRY_S)
            except (KeyError, TypeError, ValueError):
                # Guards against an answer of an unexpected form: read everything anew instead of dying.
                log.exception("following: unexpected answer")
                self.loaded = False
                await trio.sleep(constants.RETRY_S)

    def waiting(self) -> int:
        """How many callers wait for a barrier."""
        return len(self._waiting)

    async def read_barrier(self) -> bool:
        """After True the view holds every change committed before this call. One read serves all that
        wait; it begins after they came, at most at the node's rate of barriers."""
        event = trio.Event()
        self._waiting.append(event)
        self._asked.set()
        start = trio.current_time()
        await event.wait()
        return self.fresh_at >= start

    async def run_barriers(self) -> None:
        """Serve the barriers that are asked for, for ever."""
        while True:
            await self._asked.wait()
            pause = self._last_barrier + self._barrier_gap - trio.current_time()
            if pause > 0:
                await trio.sleep(pause)
            waiting, self._waiting = self._waiting, []
            self._asked = trio.Event()
            self._last_barrier = trio.current_time()
            try:
                if self.loaded:
                    since = self.rev
                    sent_at = trio.current_time()
                    answer = await self._store.watch("s/", since, 0, constants.POLL_DEADLINE_S / 2)
                    if answer is None:
                        self.loaded = False
                    else:
                        self._take(since, answer, sent_at)
            except (UnavailableError, AmbiguousError) as error:
                log.debug("barrier: %s", error)
            except (KeyError, TypeError, ValueError):
                log.exception("barrier: unexpected answer")
                self.loaded = False
            for event in waiting:
                event.set()
