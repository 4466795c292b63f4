"""Accepts submissions in batches: those that arrive while a batch is being committed form the next batch. Each
submission is answered once the transaction with its job is committed.

Submitting is idempotent: a repeated submission is answered with the job's current state."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from sorrelsill import constants
from sorrelsill.jobs.errors import BusyError, InvalidJobError
from sorrelsill.jobs.job_status import JobStatus
from sorrelsill.jobs.messages import parse_spec
from sorrelsill.jobs.records import infeasibility_reason, json_size, new_record
from sorrelsill.jobs.user_answers import Answer, ErrorAnswer, JobAnswer, is_out_of_date
from sorrelsill.model import Catalog, JobPhase, JobSpec
from sorrelsill.settings import Team
from sorrelsill.store import (
    AmbiguousError,
    Compare,
    Delete,
    KeyValueStore,
    Put,
    RefusedError,
    StoreError,
    TransactionResult,
    UnavailableError,
    WatchCache,
    final_key,
    job_key,
)

log = logging.getLogger(__name__)

_RECORD_OVERHEAD_BYTES = 200  # bytes in a transaction for one job, besides its specification


@dataclass(slots=True, eq=False)
class _PendingSubmission:
    spec: JobSpec
    deadline: float
    resolved: trio.Event = field(default_factory=trio.Event)
    answer: Answer | None = None
    as_of: float = 0.0  # send time of the store request that the answer is based on

    def resolve(self, answer: Answer, as_of: float) -> None:
        """Answers at once: waiting for the rest of the batch would only make the answer older."""
        self.answer = answer
        self.as_of = as_of
        self.resolved.set()


_ByJob = dict[str, list[_PendingSubmission]]


class Submissions:
    """Validates jobs and commits their first records, many per transaction."""

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        teams: dict[str, Team],
        wall_clock: Callable[[], float],
        status: JobStatus,
    ) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._teams = teams
        self._wall_clock = wall_clock
        self._status = status
        self.catalog: Catalog | None = None
        self._queue: list[_PendingSubmission] = []
        self._queued = trio.Event()

    async def submit(self, body: Any) -> Answer:
        """Accepts a job, or answers with the state of a job that was accepted earlier. Raises BusyError if it is not
        committed in time."""
        try:
            spec = parse_spec(body)
        except InvalidJobError as error:
            # Refused even if a job of this id exists: the request itself is malformed.
            return Answer(400, ErrorAnswer(str(error)))
        ended = self._status.ended_state(spec.job_id)
        if ended is not None:
            return Answer(200, ended)
        pending = await self._enqueue(spec)
        if pending.answer is None:
            raise BusyError("the state service did not take the job in time")
        # Other controllers may have reported a newer state after the read or write that this answer is based on.
        ended = self._status.ended_state(spec.job_id)
        if ended is not None:
            return Answer(200, ended)
        if pending.answer.status in (200, 201) and is_out_of_date(pending.as_of):
            return await self._status.poll(spec.job_id)
        return pending.answer

    async def _enqueue(self, spec: JobSpec) -> _PendingSubmission:
        """Queues a submission and waits until it is resolved or its deadline has passed."""
        if len(self._queue) >= constants.ADMIT_QUEUE:
            raise BusyError("too many submissions are waiting")
        pending = _PendingSubmission(spec, trio.current_time() + constants.ADMIT_DEADLINE_S)
        self._queue.append(pending)
        self._queued.set()
        with trio.move_on_after(constants.ADMIT_DEADLINE_S):
            await pending.resolved.wait()
        return pending

    async def run(self) -> None:
        """Commits batches until cancelled."""
        while True:
            await self._queued.wait()
            self._queued = trio.Event()
            while self._queue:
                batch = self._next_batch()
                try:
                    await self._admit(batch)
                except Exception:
                    # One bad batch must not end the loop; its users are told to retry later.
                    log.exception("admission_failed")
                for pending in batch:
                    pending.resolved.set()

    def _next_batch(self) -> list[_PendingSubmission]:
        limit = max(1, self._store.txn_ops)
        batch: list[_PendingSubmission] = []
        size = 0
        while self._queue and len(batch) < limit:
            size += len(str(self._queue[0].spec.raw)) + _RECORD_OVERHEAD_BYTES
            if batch and size > constants.TXN_BYTES:
                break
            batch.append(self._queue.pop(0))
        return batch

    async def _admit(self, batch: list[_PendingSubmission]) -> None:
        now = trio.current_time()
        by_job: _ByJob = {}
        for pending in batch:
            if pending.deadline > now:
                by_job.setdefault(pending.spec.job_id, []).append(pending)
        # Before a job is rejected, it is looked up: it may have been accepted earlier, before the limits changed. While
        # the catalog is unknown, every job is looked up instead of being committed.
        for job_id in list(by_job):
            spec = by_job[job_id][0].spec
            if self.catalog is None or infeasibility_reason(spec, self._teams, self.catalog) or self._is_too_long(spec):
                await self._look_up_or_reject(job_id, by_job.pop(job_id))
        for _ in range(constants.ADMIT_TRIES):
            if not by_job or not await self._commit(by_job, now):
                return

    async def _commit(self, by_job: _ByJob, since: float) -> bool:
        """Commits all jobs of a batch in one transaction. Removes jobs that are in the store already from the batch.
        Returns True if the rest should be tried again."""
        records = {job_id: new_record(group[0].spec, self._wall_clock()) for job_id, group in by_job.items()}
        sent_at = trio.current_time()
        try:
            result = await self._write(records)
        except RefusedError:
            await self._admit_one_by_one(by_job)
            return False
        except UnavailableError as error:
            if error.throttled and trio.current_time() < since + constants.ADMIT_DEADLINE_S / 2:
                await trio.sleep(constants.RETRY_PAUSE_S)
                return True
            return False
        except AmbiguousError:
            # The transaction may have been committed: a job whose record is in the store now is accepted, whoever wrote
            # the record.
            for job_id, group in by_job.items():
                await self._resolve_known(job_id, group)
            return False
        if not result.ok:
            for job_id in [key.rsplit("/", 1)[-1] for key in result.failed]:
                if job_id in by_job:
                    await self._resolve_known(job_id, by_job.pop(job_id))
            return True
        for job_id, group in by_job.items():
            self._watch_cache.apply_change(job_key(job_id), records[job_id], result.rev, True)
            for pending in group:
                pending.resolve(Answer(201, JobAnswer(job_id, JobPhase.PENDING)), sent_at)
        return False

    async def _write(self, records: dict[str, dict[str, Any]]) -> TransactionResult:
        """Writes the records on condition that none of the jobs exists, live or ended."""
        compares: list[Compare] = []
        writes: list[Put | Delete] = []
        for job_id, record in records.items():
            compares += [Compare(job_key(job_id), 0), Compare(final_key(job_id), 0)]
            writes.append(Put(job_key(job_id), record))
        return await self._store.commit(compares, writes)

    async def _admit_one_by_one(self, by_job: _ByJob) -> None:
        """Retries the jobs of a batch that the store refused for its size one at a time, so that a job that is too long
        does not block the others. A job that was refused alone is looked up or rejected if it exceeds the limit known
        now; otherwise it gets no answer, and its user is told to retry later."""
        if len(by_job) > 1:
            for group in by_job.values():
                await self._admit(group)
            return
        for job_id in [job_id for job_id, group in by_job.items() if self._is_too_long(group[0].spec)]:
            await self._look_up_or_reject(job_id, by_job.pop(job_id))

    def _is_too_long(self, spec: JobSpec) -> bool:
        return json_size(new_record(spec, self._wall_clock())) > self._store.value_bytes

    async def _resolve_known(self, job_id: str, group: list[_PendingSubmission]) -> None:
        """Answers with the state of the job, if the store has it."""
        requested_at = trio.current_time()
        try:
            state = await self._status.read(job_id)
        except StoreError:
            return
        if state is not None:
            for pending in group:
                pending.resolve(Answer(200, state), requested_at)

    async def _look_up_or_reject(self, job_id: str, group: list[_PendingSubmission]) -> None:
        """Answers with the state of the job if it was accepted earlier, otherwise with why it is rejected."""
        requested_at = trio.current_time()
        try:
            state = await self._status.read(job_id)
        except StoreError:
            return
        for pending in group:
            answer = Answer(200, state) if state is not None else self._rejection(pending.spec)
            if answer is not None:
                pending.resolve(answer, requested_at)

    def _rejection(self, spec: JobSpec) -> Answer | None:
        """Why a job is rejected, or None if no reason is known: the catalog is missing or arrived during the look-up.
        The user is then told to retry later instead of being rejected for good."""
        if self._is_too_long(spec):
            return Answer(400, ErrorAnswer("body: longer than the state service can keep"))
        reason = infeasibility_reason(spec, self._teams, self.catalog) if self.catalog is not None else None
        return Answer(422, ErrorAnswer(reason)) if reason is not None else None
