"""Answers to workers' reports: by the leader, in degraded mode, or with the way to the leader."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from sorrelsill.http import Reply, Request
from sorrelsill.jobs import Cancellations
from sorrelsill.leadership import LeaderElector
from sorrelsill.peers import DegradedMode
from sorrelsill.store import WatchCache
from sorrelsill.workers import (
    ClusterState,
    Command,
    FencedError,
    HeartbeatResponse,
    InvalidHeartbeatError,
    StopCommand,
    WorkerHeartbeat,
    parse_heartbeat,
)

log = logging.getLogger(__name__)

_encode = msgspec.msgpack.Encoder().encode


def is_cancelled(final: Any) -> bool:
    """Whether a final record says that its job was cancelled."""
    return isinstance(final, dict) and final.get("p") == "cancelled"


class HeartbeatRoutes:
    """The workers' side of a controller."""

    def __init__(
        self,
        watch_cache: WatchCache,
        elector: LeaderElector,
        degraded_mode: DegradedMode,
        cancellations: Cancellations,
        peers: set[str],
        cluster: Callable[[], ClusterState | None],
        fresh: Callable[[], bool],
        count: Callable[[str], None],
        news: Callable[[], None],
    ) -> None:
        self._watch_cache = watch_cache
        self._elector = elector
        self._degraded_mode = degraded_mode
        self._cancellations = cancellations
        self._peers = peers  # labels of the other controllers
        self._cluster = cluster  # that of the present term, if we lead
        self._fresh = fresh  # whether our view of the jobs is recent
        self._count = count
        self._news = news  # told after each report that was taken in

    def answer(self, request: Request) -> Reply:
        """Answer one report."""
        try:
            heartbeat = parse_heartbeat(request.body)
        except InvalidHeartbeatError as error:
            return Reply(400, _encode({"error": str(error)}))
        self._count("reports")
        log.debug("report: %s", heartbeat)
        cluster = self._cluster()
        acting = cluster is not None and self._elector.valid()
        if not acting and not self._degraded_mode.active():
            return self._redirect()
        now = trio.current_time()
        if not self._may_renew(now):
            # What was cancelled meanwhile is not certain to be known here: the next controller may know.
            self._count("not_renewed")
            return Reply(503)
        commands: list[Command] = []
        if cluster is not None:
            try:
                answer = cluster.on_heartbeat(heartbeat, now, acting, self._fresh())
            except FencedError as error:
                self._elector.fenced(error.fencing_token)
                return Reply(421, _encode({}))
            if answer is None:
                return Reply(503)
            commands = answer
            self._news()
        if cluster is None or not acting:
            # Nobody leads and nobody can: the worker's own fencing token; its lease goes on and nothing else does.
            return Reply(200, _encode(HeartbeatResponse(heartbeat.fencing_token, self._stop_commands(heartbeat, now))))
        # Only a report that is newer than all before makes the connection the machine's own: not a late copy.
        return Reply(200, _encode(HeartbeatResponse(cluster.term, commands)), owner=heartbeat.machine)

    def _redirect(self) -> Reply:
        # Guards against a process that stood still: its view may name a leader that has ended since.
        label = self._elector.leader_label() if self._fresh() else None
        return Reply(421, _encode({"upstream": label} if label in self._peers else {}))

    def _may_renew(self, now: float) -> bool:
        """The one rule for every answer that renews a worker's lease (`jobs/cancellations.py`)."""
        self._cancellations.observe_watch_cache(self._watch_cache.followed_since, self._watch_cache.fresh_at)
        return self._cancellations.may_renew(now)

    def _stop_commands(self, heartbeat: WorkerHeartbeat, now: float) -> list[Command]:
        """In degraded mode: tasks of jobs known to be cancelled still have to go. Stopping them is always right,
        whoever leads next, and a worker takes it from any controller that names its fencing token. A view that was
        read anew not long ago lacks what was cancelled before, so what is not live in it is stopped as well."""
        unknown = self._watch_cache.fresh_at > float("-inf") and self._cancellations.suspect_unknown(now)
        out: list[Command] = []
        for item in heartbeat.tasks:
            job_id = item.task_id.rpartition("/")[0]
            over = self._cancellations.is_cancelled(job_id) or is_cancelled(self._watch_cache.final(job_id))
            if item.phase != "exited" and (over or unknown and self._watch_cache.job(job_id) is None):
                out.append(StopCommand(item.task_id, item.attempt_number, 0.0))
        return out
