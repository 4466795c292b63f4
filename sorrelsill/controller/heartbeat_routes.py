"""Answers to workers' heartbeats: by the leader, in degraded mode, or with the way to the leader."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from sorrelsill.controller.encoding import encode
from sorrelsill.controller.parts import ControllerParts, jobs_are_fresh
from sorrelsill.http import Reply, Request
from sorrelsill.jobs import ended_as
from sorrelsill.model import JobPhase
from sorrelsill.workers import (
    ClusterState,
    Command,
    FencedError,
    HeartbeatResponse,
    InvalidHeartbeatError,
    StopCommand,
    TaskPhase,
    WorkerHeartbeat,
    parse_heartbeat,
)

log = logging.getLogger(__name__)


class HeartbeatRoutes:
    """The workers' side of a controller."""

    def __init__(
        self,
        parts: ControllerParts,
        get_cluster: Callable[[], ClusterState | None],
        count_event: Callable[[str], None],
        on_heartbeat: Callable[[], None],
    ) -> None:
        """`get_cluster` gives the cluster state of the present term, if we lead; `on_heartbeat` is told after each
        heartbeat that was taken in."""
        self._watch_cache = parts.watch_cache
        self._elector = parts.elector
        self._degraded_mode = parts.degraded_mode
        self._cancellations = parts.cancellations
        self._peer_labels = {member.label for member in parts.settings.members}
        self._get_cluster = get_cluster
        self._count_event = count_event
        self._on_heartbeat = on_heartbeat

    def answer(self, request: Request) -> Reply:
        """Answer one heartbeat."""
        try:
            heartbeat = parse_heartbeat(request.body)
        except InvalidHeartbeatError as error:
            return Reply(400, encode({"error": str(error)}))
        self._count_event("reports")
        log.debug("heartbeat: %s", heartbeat)
        cluster = self._get_cluster()
        acting = cluster is not None and self._elector.valid()
        if not acting and not self._degraded_mode.active():
            return self._redirect()
        now = trio.current_time()
        if not self._may_renew(now):
            # What was cancelled meanwhile is not certain to be known here: the next controller may know.
            self._count_event("not_renewed")
            return Reply(503)
        commands: list[Command] = []
        if cluster is not None:
            try:
                answer = cluster.on_heartbeat(heartbeat, now, acting, jobs_are_fresh(self._watch_cache))
            except FencedError as error:
                self._elector.observe_fencing_token(error.fencing_token)
                return Reply(421, encode({}))
            if answer is None:
                return Reply(503)
            commands = answer
            self._on_heartbeat()
        if cluster is None or not acting:
            # Nobody leads and nobody can: the worker's own fencing token; its lease goes on and nothing else does.
            return Reply(200, encode(HeartbeatResponse(heartbeat.fencing_token, self._stop_commands(heartbeat, now))))
        # Only a heartbeat that is newer than all before makes the connection the machine's own: not a late copy.
        return Reply(200, encode(HeartbeatResponse(cluster.term, commands)), owner=heartbeat.machine)

    def _redirect(self) -> Reply:
        # Guards against a process that was paused: its watch cache may name a leader that has ended since.
        label = self._elector.leader_label() if jobs_are_fresh(self._watch_cache) else None
        return Reply(421, encode({"upstream": label} if label in self._peer_labels else {}))

    def _may_renew(self, now: float) -> bool:
        """The one rule for every answer that renews a worker's lease (`jobs/cancellations.py`)."""
        self._cancellations.observe_watch_cache(self._watch_cache.followed_since, self._watch_cache.fresh_at)
        return self._cancellations.may_renew(now)

    def _stop_commands(self, heartbeat: WorkerHeartbeat, now: float) -> list[Command]:
        """In degraded mode: tasks of jobs known to be cancelled still have to go. Stopping them is always right,
        whoever leads next, and a worker takes it from any controller that names its fencing token. A watch cache
        that was read anew not long ago lacks what was cancelled before, so what is not live in it is stopped, too."""
        unknown = self._watch_cache.fresh_at > float("-inf") and self._cancellations.may_have_missed_cancellation(now)
        commands: list[Command] = []
        for attempt in heartbeat.tasks:
            job_id = attempt.task_id.rpartition("/")[0]
            final = self._watch_cache.final(job_id)
            over = self._cancellations.is_cancelled(job_id) or ended_as(final, JobPhase.CANCELLED)
            if attempt.phase != TaskPhase.EXITED and (over or unknown and self._watch_cache.job(job_id) is None):
                commands.append(StopCommand(attempt.task_id, attempt.attempt_number, 0.0))
        return commands
