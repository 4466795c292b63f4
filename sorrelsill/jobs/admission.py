"""Submissions, polls and cancellations: the users' side of a controller. Any controller serves them.

What was told to a user may never be taken back, so every answer but the final ones rests on a read of
the state service that began after the request came (a barrier), and every change is committed before it
is answered. What cannot be done now is refused at once with Retry-After."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from sorrelsill import constants
from sorrelsill.jobs.messages import InvalidJobError, parse_spec, valid_job_id
from sorrelsill.jobs.records import final_record, impossible, json_size, new_record, parse_record
from sorrelsill.model import Catalog, JobSpec
from sorrelsill.settings import Team
from sorrelsill.store import (
    AmbiguousError,
    Compare,
    Delete,
    KeyValueStore,
    Put,
    RefusedError,
    UnavailableError,
    WatchCache,
    final_key,
    job_key,
)

log = logging.getLogger(__name__)

Answer = tuple[int, dict[str, Any]]


class BusyError(Exception):
    """Can't be taken now; the user is told to come back."""


@dataclass(slots=True, eq=False)
class _Waiting:
    spec: JobSpec
    deadline: float
    done: trio.Event = field(default_factory=trio.Event)
    answer: Answer | None = None
    as_of: float = 0.0  # when the request was sent on whose outcome the answer rests

    def tell(self, answer: Answer, as_of: float) -> None:
        """At once: what the rest of its batch still waits for would make the answer older than need be."""
        self.answer = answer
        self.as_of = as_of
        self.done.set()


def _count(value: Any, name: str) -> int:
    """A count of a record; a damaged one must not keep its job's users without an answer."""
    found = value.get(name) if isinstance(value, dict) else None
    return found if isinstance(found, int) else 0


def _state(job_id: str, value: Any) -> dict[str, Any]:
    done, running = _count(value, "n"), _count(value, "r")
    return {"uid": job_id, "phase": "running" if running else "pending", "done": done, "running": running}


def _out_of_date(as_of: float) -> bool:
    """Whether an answer that is not final rests on what was known too long ago.

    Guards against a process that stood still between finding out and answering: another controller may have told the
    user something newer meanwhile."""
    return trio.current_time() - as_of > constants.POLL_DEADLINE_S


def _check_age(as_of: float) -> None:
    if _out_of_date(as_of):
        raise BusyError("the answer is out of date")


class Admission:
    """Takes submissions, polls and cancellations of users."""

    def __init__(
        self, store: KeyValueStore, watch_cache: WatchCache, teams: list[Team], time_of_day: Callable[[], float]
    ) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._teams = {t.name: t for t in teams}
        self._time_of_day = time_of_day
        self.catalog: Catalog | None = None
        self._queue: list[_Waiting] = []
        self._lookups = 0  # reads of final records in flight for polls
        self._asked = trio.Event()

    # --- submission ---

    async def submit(self, body: Any) -> Answer:
        """Accept a job, or answer what is known of it."""
        try:
            spec = parse_spec(body)
        except InvalidJobError as error:
            # A known job's repeat may be sent by a client gone wrong; it is still malformed.
            return 400, {"error": str(error)}
        known = self._known(spec.job_id)
        if known is not None:
            return 200, known
        if len(self._queue) >= constants.ADMIT_QUEUE:
            raise BusyError("too many submissions are waiting")
        waiting = _Waiting(spec, trio.current_time() + constants.ADMIT_DEADLINE_S)
        self._queue.append(waiting)
        self._asked.set()
        with trio.move_on_after(constants.ADMIT_DEADLINE_S):
            await waiting.done.wait()
        if waiting.answer is None:
            raise BusyError("the state service did not take the job in time")
        # Other controllers may have told more since the read or write that the answer rests on.
        known = self._known(spec.job_id)
        if known is not None:
            return 200, known
        if waiting.answer[0] in (200, 201) and _out_of_date(waiting.as_of):
            return await self.poll(spec.job_id)
        return waiting.answer

    def _known(self, job_id: str) -> dict[str, Any] | None:
        """What is known of a job without asking; enough to say that it was accepted."""
        final = self._watch_cache.final(job_id)
        if final is not None:
            return {"uid": job_id, "phase": final["p"], "done": final.get("n", 0), "running": 0}
        return None

    async def run(self) -> None:
        """Batches: what came while one was under way goes with the next."""
        while True:
            await self._asked.wait()
            self._asked = trio.Event()
            while self._queue:
                limit = max(1, self._store.txn_ops)
                batch: list[_Waiting] = []
                size = 0
                while self._queue and len(batch) < limit:
                    size += len(str(self._queue[0].spec.raw)) + 200
                    if batch and size > constants.TXN_BYTES:
                        break
                    batch.append(self._queue.pop(0))
                try:
                    await self._admit(batch)
                except Exception:
                    # Guards against one odd batch ending the loop: its users are told to come back.
                    log.exception("admission failed")
                for waiting in batch:
                    waiting.done.set()

    async def _admit(self, batch: list[_Waiting]) -> None:
        now = trio.current_time()
        todo: dict[str, list[_Waiting]] = {}
        for waiting in batch:
            if waiting.deadline > now:
                todo.setdefault(waiting.spec.job_id, []).append(waiting)
        # A repeat is looked up before it is judged: the limits may have changed since it was accepted.
        for job_id in list(todo):
            spec = todo[job_id][0].spec
            if self.catalog is None or impossible(spec, self._teams, self.catalog) or self._too_long(spec):
                await self._judge(job_id, todo.pop(job_id))
        for _ in range(constants.ADMIT_TRIES):
            if not todo or not await self._commit(todo, now):
                return

    async def _commit(self, todo: dict[str, list[_Waiting]], since: float) -> bool:
        """One transaction for all jobs of a batch. What is settled leaves it; True if the rest may be tried again."""
        compares: list[Compare] = []
        writes: list[Put | Delete] = []
        records = {job_id: new_record(group[0].spec, self._time_of_day()) for job_id, group in todo.items()}
        for job_id, record in records.items():
            compares += [Compare(job_key(job_id), 0), Compare(final_key(job_id), 0)]
            writes.append(Put(job_key(job_id), record))
        sent_at = trio.current_time()
        try:
            txn = await self._store.commit(compares, writes)
        except RefusedError:
            await self._admit_singly(todo)
            return False
        except UnavailableError as error:
            if error.throttled and trio.current_time() < since + constants.ADMIT_DEADLINE_S / 2:
                await trio.sleep(constants.RETRY_S)
                return True
            return False
        except AmbiguousError:
            # It may have been written: what stands there now is an accepted job, whoever wrote it.
            for job_id, group in todo.items():
                await self._settle(job_id, group)
            return False
        if not txn.ok:
            for job_id in [key.rsplit("/", 1)[-1] for key in txn.failed]:
                if job_id in todo:
                    await self._settle(job_id, todo.pop(job_id))
            return True
        for job_id, group in todo.items():
            self._watch_cache.apply_change(job_key(job_id), records[job_id], txn.rev, True)
            for waiting in group:
                waiting.tell((201, {"uid": job_id, "phase": "pending"}), sent_at)
        return False

    async def _admit_singly(self, todo: dict[str, list[_Waiting]]) -> None:
        """One that is too long must not hold up the rest of its batch: each goes by itself, and those that the limit,
        as it is known now, leaves no room for are told so."""
        if len(todo) > 1:
            for group in todo.values():
                await self._admit(group)
            return
        for job_id in [u for u, group in todo.items() if self._too_long(group[0].spec)]:
            await self._judge(job_id, todo.pop(job_id))

    def _too_long(self, spec: JobSpec) -> bool:
        return json_size(new_record(spec, self._time_of_day())) > self._store.value_bytes

    async def _lookup(self, job_id: str) -> dict[str, Any] | None:
        """The job's state by direct reads, or None if it was never accepted at the first read."""
        for key in (job_key(job_id), final_key(job_id)):
            found = await self._store.get(key)
            if found is not None:
                value = found[0]
                if isinstance(value, dict) and "p" in value:
                    self._watch_cache.remember_final(job_id, value)
                    return {"uid": job_id, "phase": value["p"], "done": value.get("n", 0), "running": 0}
                return _state(job_id, value)
        return None

    async def _settle(self, job_id: str, group: list[_Waiting]) -> bool:
        asked_at = trio.current_time()
        try:
            state = await self._lookup(job_id)
        except (UnavailableError, AmbiguousError):
            return False
        for waiting in group if state is not None else []:
            waiting.tell((200, state or {}), asked_at)
        return state is not None

    async def _judge(self, job_id: str, group: list[_Waiting]) -> None:
        asked_at = trio.current_time()
        try:
            state = await self._lookup(job_id)
        except (UnavailableError, AmbiguousError):
            return
        for waiting in group:
            if state is not None:
                waiting.tell((200, state), asked_at)
            elif self._too_long(waiting.spec):
                waiting.tell((400, {"error": "body: longer than the state service can keep"}), asked_at)
            elif self.catalog is not None:
                # The catalog may have come during the look-up: then the job may well be possible, and is
                # sent back to be asked again rather than refused for good.
                reason = impossible(waiting.spec, self._teams, self.catalog)
                if reason is not None:
                    waiting.tell((422, {"error": reason}), asked_at)

    # --- polls ---

    async def poll(self, job_id: str) -> Answer:
        """A job's state, no older than the question."""
        if not valid_job_id(job_id):
            return 404, {"error": "no such job"}
        known = self._known(job_id)
        if known is not None:
            return 200, known
        if self._store.failing_for() > constants.READY_STORE_S / 2:
            raise BusyError("the state service can't be reached")
        if self._watch_cache.barrier_waiters() >= constants.POLL_QUEUE:
            # Guards against storms of polls: what waits is bounded, and the rest is told at once to come back.
            raise BusyError("too many polls are waiting")
        asked_at = trio.current_time()
        with trio.move_on_after(constants.POLL_DEADLINE_S):
            if not await self._watch_cache.read_barrier():
                raise BusyError("the state service does not answer")
            _check_age(asked_at)
            known = self._known(job_id)
            if known is not None:
                return 200, known
            live = self._watch_cache.job(job_id)
            if live is not None:
                return 200, _state(job_id, live[0])
            # Not live after the barrier: over long ago, or never accepted when the poll came.
            found = await self._read_final(job_id)
            _check_age(asked_at)
            if found is not None:
                self._watch_cache.remember_final(job_id, found[0])
                return 200, self._known(job_id) or {}
            # Accepted during the read: another controller may have told so by now.
            live = self._watch_cache.job(job_id)
            if live is not None:
                return 200, _state(job_id, live[0])
            return 404, {"error": "no such job"}
        raise BusyError("the state service is slow")

    async def _read_final(self, job_id: str) -> tuple[Any, int] | None:
        """A direct read, one for each poll. Guards against storms of questions about jobs that nobody submitted: they
        must not use up the requests that submissions need."""
        if self._lookups >= constants.LOOKUPS_AT_ONCE:
            raise BusyError("too many polls are waiting")
        self._lookups += 1
        try:
            return await self._store.get(final_key(job_id))
        except (UnavailableError, AmbiguousError) as error:
            raise BusyError(str(error)) from None
        finally:
            self._lookups -= 1

    # --- for operators and teams ---

    async def why(self, job_id: str) -> Answer:
        """Why the job's tasks stopped or wait: the newest notes."""
        status, answer = await self.poll(job_id)
        if status == 200:
            live = self._watch_cache.job(job_id)
            value = self._watch_cache.final(job_id) or (live[0] if live is not None else {})
            answer["why"] = [str(w) for w in value.get("w") or []]
        return status, answer

    async def team(self, name: str, after: str) -> Answer:
        """A team's live jobs, and only its own, in order of their ids."""
        if name not in self._teams:
            return 404, {"error": "no such team"}
        asked_at = trio.current_time()
        if not await self._watch_cache.read_barrier():
            raise BusyError("the state service does not answer")
        _check_age(asked_at)
        mine = sorted(
            (
                (job_id, value)
                for job_id, value, _ in self._watch_cache.jobs()
                if value["s"].get("owner") == name and job_id > after
            ),
            key=lambda item: item[0],
        )
        page = [
            {**_state(job_id, value), "workload": value["s"].get("workload")}
            for job_id, value in mine[: constants.TEAM_PAGE]
        ]
        return 200, {"runs": page, "hasNext": len(mine) > len(page)}

    # --- cancel ---

    async def cancel(self, job_id: str) -> Answer:
        """Cancel a job, or answer that it is done."""
        if not valid_job_id(job_id):
            return 404, {"error": "no such job"}
        try:
            with trio.move_on_after(constants.ADMIT_DEADLINE_S):
                return await self._cancel(job_id)
        except (UnavailableError, AmbiguousError) as error:
            raise BusyError(str(error)) from None
        raise BusyError("the state service is slow")

    def _end_of(self, job_id: str, value: Any) -> dict[str, Any]:
        """The final record of a job that its user cancels now."""
        count = _count(value, "n")
        try:
            spec, done, why = parse_record(value, [])
        except (InvalidJobError, ValueError, TypeError) as error:
            # Guards against a damaged record that could never be cancelled: whoever leads can't read it either.
            log.error("cancelling %s, whose record is damaged: %s", job_id, error)
            return {"p": "cancelled", "n": count, "o": None}
        if done.size == count and not spec.is_service:
            # Every task is done and recorded; only the move to the final key is missing.
            return final_record("done", spec, count, why, self._store.reduced_value_bytes)
        return final_record("cancelled", spec, count, [*why, "cancelled by its user"], self._store.reduced_value_bytes)

    async def _cancel(self, job_id: str) -> Answer:
        while True:
            final = self._watch_cache.final(job_id)
            if final is None:
                found = await self._store.get(final_key(job_id))
                final = found[0] if found is not None else None
                if final is not None:
                    self._watch_cache.remember_final(job_id, final)
            if final is not None:
                return 200, {"uid": job_id, "phase": final["p"]}
            live = await self._store.get(job_key(job_id))
            if live is None:
                final = await self._store.get(final_key(job_id))
                if final is None:
                    return 404, {"error": "no such job"}
                continue
            value, rev = live
            record = self._end_of(job_id, value)
            chunks = [Delete(key) for key in self._watch_cache.chunk_keys(job_id)]
            writes: list[Put | Delete] = [Delete(job_key(job_id)), Put(final_key(job_id), record)]
            room = max(0, self._store.txn_ops - 2)
            txn = await self._store.commit([Compare(job_key(job_id), rev)], [*writes, *chunks[:room]])
            if txn.ok:
                self._watch_cache.apply_change(job_key(job_id), None, txn.rev, False)
                self._watch_cache.remember_final(job_id, record)
                return 200, {"uid": job_id, "phase": record["p"]}
