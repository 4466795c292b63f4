"""Jobs out of the records in the watch cache: into a new leader's cluster state, and into that of the term as they
change."""

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
    ended_as,
    has_inline_tasks,
    parse_record,
    running_count,
)
from sorrelsill.model import JobPhase
from sorrelsill.store import WatchCache
from sorrelsill.workers import ClusterState

log = logging.getLogger(__name__)


class FollowedJobs:
    """Reads the records of live jobs for the leader."""

    def __init__(
        self,
        watch_cache: WatchCache,
        cancellations: Cancellations,
        time_of_day: Callable[[], float],
        ended_window_s: float,
    ) -> None:
        self._watch_cache = watch_cache
        self._cancellations = cancellations
        self._time_of_day = time_of_day
        self._ended_window_s = ended_window_s  # cancelled tasks may live so long

    def load(self, cluster: ClusterState) -> None:
        """All jobs of which an earlier leader may have left tasks, into the cluster state of a term that begins: live
        ones, and those lately over, since every task of a cancelled job is gone within `cancel_s` of the answer."""
        readable = True
        for job_id, value, rev in self._watch_cache.jobs():
            if self._over(job_id):
                # Known by a peer's word or a read of the final key, and not followed yet. Found by reading: neither
                # among the live jobs nor among those lately over, it was counted nowhere.
                readable &= self._add_ended(cluster, job_id, value)
            else:
                readable &= self._add(cluster, job_id, value, rev)
        recently_ended = self._watch_cache.recently_ended(self._ended_window_s)
        for job_id, value in recently_ended.records:
            readable &= self._add_ended(cluster, job_id, value)
        # With a damaged record among them, or an end that was missed, what may be in use can't be told.
        cluster.failover.set_all_ended_known(readable and recently_ended.complete)

    def record_changed(self, cluster: ClusterState, job_id: str, value: Any, rev: int) -> bool:
        """A job's record was written or removed. True if the scheduler has to look at it."""
        job = cluster.jobs.get(job_id)
        if value is None:
            if job is not None:
                cluster.end_job(job_id)
            return job is not None
        if job is not None:
            job.rev = max(job.rev, rev)
            return False
        if self._over(job_id):
            return False
        self._add(cluster, job_id, value, rev)
        return True

    def _over(self, job_id: str) -> bool:
        """Whether the job is known to be over, whatever an older record says."""
        return self._watch_cache.final(job_id) is not None or self._cancellations.is_cancelled(job_id)

    def _add_ended(self, cluster: ClusterState, job_id: str, value: Any) -> bool:
        """A job that is over, with its last live record. False if that is damaged."""
        if ended_as(self._watch_cache.final(job_id), JobPhase.DONE):
            return True  # nothing of it can run
        try:
            spec, done, _ = parse_record(value, self._watch_cache.chunks(job_id))
        except (InvalidJobError, ValueError, TypeError) as error:
            log_event(log, logging.ERROR, "record_damaged", job=job_id, ended=True, error=error)
            return False
        cluster.add_ended_job(spec, done)
        return True

    def _add(self, cluster: ClusterState, job_id: str, value: Any, rev: int) -> bool:
        try:
            spec, done, why = parse_record(value, self._watch_cache.chunks(job_id))
            accepted = accepted_at(value)
        except (InvalidJobError, ValueError, TypeError) as error:
            # Guards against one damaged record stopping all the others.
            log_event(log, logging.ERROR, "record_damaged", job=job_id, ended=False, error=error)
            return False
        now = trio.current_time()
        age_s = max(0.0, self._time_of_day() - accepted)
        job = cluster.add_job(spec, done, rev, rev <= cluster.term, now - age_s, why, accepted)
        # What the record says already need not be written again: after a failover that would be one write a job.
        job.recorded_running = running_count(value)
        job.chunked |= bool(self._watch_cache.chunk_keys(job_id))
        if job.chunked and has_inline_tasks(value):
            # Written by the version before this one, which knows of no parts beside the record of a smaller job: what
            # it adds stands only there, and has to go into the parts before the record leaves it out.
            job.unrecorded_parts.update(range(-(-spec.task_count // constants.PART_TASKS)))
        return True
