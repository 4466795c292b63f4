"""Adds jobs to the leader's cluster state from the records in the watch cache: all of them when a term begins, and
later each record that changes."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.jobs import (
    Cancellations,
    InvalidJobError,
    accepted_at,
    ended_in_phase,
    has_inline_tasks,
    parse_record,
    running_count,
)
from sorrelsill.model import JobPhase
from sorrelsill.store import WatchCache
from sorrelsill.workers import ClusterState

log = logging.getLogger(__name__)


class JobLoader:
    """Loads jobs from the watch cache into the leader's cluster state."""

    def __init__(
        self,
        watch_cache: WatchCache,
        cancellations: Cancellations,
        wall_clock: Callable[[], float],
        ended_window_s: float,
    ) -> None:
        self._watch_cache = watch_cache
        self._cancellations = cancellations
        self._wall_clock = wall_clock
        self._ended_window_s = ended_window_s  # seconds for which tasks of a job may run after its end

    def load(self, cluster: ClusterState) -> None:
        """Fills the cluster state of a new term with all jobs whose tasks may still run from earlier terms: live jobs,
        and recently ended ones. Older ended jobs are not needed, since all tasks of a cancelled job end within
        `cancel_s` seconds of the response to its user."""
        readable = True
        for job_id, value, rev in self._watch_cache.jobs():
            if self._has_ended(job_id):
                # The end is known from a peer or from a read of the final key, and the watch has not returned it yet.
                # So the job is not among the recently ended ones below, and its tasks would not be counted if it were
                # not added here.
                readable &= self._add_ended(cluster, job_id, value)
            else:
                readable &= self._add_live(cluster, job_id, value, rev)
        recently_ended = self._watch_cache.recently_ended(self._ended_window_s)
        for job_id, value in recently_ended.records:
            readable &= self._add_ended(cluster, job_id, value)
        # If a record is damaged or an end was missed, the resources that may be in use cannot be determined.
        cluster.failover.set_all_ended_known(readable and recently_ended.complete)

    def record_changed(self, cluster: ClusterState, job_id: str, value: Any, rev: int) -> bool:
        """Applies a written or removed job record. Returns True if the scheduler has to run."""
        job = cluster.jobs.get(job_id)
        if value is None:
            if job is not None:
                cluster.end_job(job_id)
            return job is not None
        if job is not None:
            job.rev = max(job.rev, rev)
            return False
        if self._has_ended(job_id):
            return False
        self._add_live(cluster, job_id, value, rev)
        return True

    def _has_ended(self, job_id: str) -> bool:
        """Whether the job is known to have ended, even if the watch cache still has its live record."""
        return self._watch_cache.final(job_id) is not None or self._cancellations.is_cancelled(job_id)

    def _add_ended(self, cluster: ClusterState, job_id: str, value: Any) -> bool:
        """Adds an ended job from its last live record. Returns False if the record is damaged."""
        if ended_in_phase(self._watch_cache.final(job_id), JobPhase.DONE):
            return True  # all of its tasks have finished
        try:
            spec, done, _ = parse_record(value, self._watch_cache.chunks(job_id))
        except (InvalidJobError, ValueError, TypeError) as error:
            log_event(log, logging.ERROR, "record_damaged", job=job_id, ended=True, error=error)
            return False
        cluster.add_ended_job(spec, done)
        return True

    def _add_live(self, cluster: ClusterState, job_id: str, value: Any, rev: int) -> bool:
        """Adds a live job from its record. Returns False if the record is damaged."""
        try:
            spec, done, notes = parse_record(value, self._watch_cache.chunks(job_id))
            accepted = accepted_at(value)
        except (InvalidJobError, ValueError, TypeError) as error:
            # One damaged record must not prevent the others from being loaded.
            log_event(log, logging.ERROR, "record_damaged", job=job_id, ended=False, error=error)
            return False
        now = trio.current_time()
        age_s = max(0.0, self._wall_clock() - accepted)
        job = cluster.add_job(spec, done, rev, rev <= cluster.term, now - age_s, notes, accepted)
        # Taken from the record: otherwise every running job would seem to have started since its record was written,
        # and a failover would cause one write per job.
        job.recorded_running = running_count(value)
        job.chunked |= bool(self._watch_cache.chunk_keys(job_id))
        if job.chunked and has_inline_tasks(value):
            # Written by the previous version, which stores a job of at most `CHUNK_TASKS` tasks without chunks. The
            # tasks finished since then are only in the record, so all chunks are written before the record omits them.
            job.unrecorded_small_chunks.update(range(-(-spec.task_count // constants.SMALL_CHUNK_TASKS)))
        return True
