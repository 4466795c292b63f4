"""Answers workers' heartbeats: as the leader, in degraded mode, or with a redirect to the leader."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from sorrelsill import constants
from sorrelsill.controller.components import ControllerComponents, jobs_are_fresh
from sorrelsill.controller.encoding import encode
from sorrelsill.events import log_event
from sorrelsill.http import Reply, Request
from sorrelsill.jobs import ended_in_phase
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
    """The HTTP route for workers' heartbeats."""

    def __init__(
        self,
        components: ControllerComponents,
        get_cluster: Callable[[], ClusterState | None],
        count_event: Callable[[str], None],
        on_heartbeat: Callable[[], None],
    ) -> None:
        """`get_cluster`: returns the cluster state of the current term, or None if this controller does not lead;
        `on_heartbeat`: called after each heartbeat that was passed to the cluster state."""
        self._watch_cache = components.watch_cache
        self._elector = components.elector
        self._degraded_mode = components.degraded_mode
        self._cancellations = components.cancellations
        self._peer_labels = {member.label for member in components.settings.members}
        self._get_cluster = get_cluster
        self._count_event = count_event
        self._on_heartbeat = on_heartbeat

    async def answer(self, request: Request) -> Reply:
        """Answers one heartbeat."""
        try:
            heartbeat = parse_heartbeat(request.body)
        except InvalidHeartbeatError as error:
            return Reply(400, encode({"error": str(error)}))
        self._count_event("reports")
        log.debug("heartbeat: %s", heartbeat)
        if not self._elector.valid() and not self._degraded_mode.active() and self._election_is_open():
            await self._elector.wait_for_leader(constants.HEARTBEAT_HOLD_S)
        return self._answer_now(heartbeat)

    def _election_is_open(self) -> bool:
        """Whether there is certainly no leader now, so that one will soon be elected. The heartbeat then waits here: a
        worker that is sent away without the leader's label tries another controller only a second later."""
        return jobs_are_fresh(self._watch_cache) and self._elector.leader_label() is None

    def _answer_now(self, heartbeat: WorkerHeartbeat) -> Reply:
        cluster = self._get_cluster()
        may_command = cluster is not None and self._elector.valid()
        if not may_command and not self._degraded_mode.active():
            return self._redirect()
        now = trio.current_time()
        if not self._may_renew(now):
            # A recent cancellation may be unknown here. The worker tries the next controller, which may know it.
            self._count_event("not_renewed")
            return Reply(503)
        commands: list[Command] = []
        if cluster is not None:
            try:
                answer = cluster.on_heartbeat(heartbeat, now, may_command, jobs_are_fresh(self._watch_cache))
            except FencedError as error:
                self._elector.observe_fencing_token(error.fencing_token)
                return Reply(421, encode({}))
            self._on_heartbeat()
            if answer is None:
                return Reply(503)
            commands = answer
        if cluster is None or not may_command:
            return self._renew_in_degraded_mode(heartbeat, now)
        # If this heartbeat is the newest of the machine, the worker owns this connection from now on, and its previous
        # one is closed unless busy. A late copy must not close the worker's connection.
        owner = heartbeat.machine if cluster.is_newest(heartbeat) else ""
        return Reply(200, encode(HeartbeatResponse(cluster.fencing_token, commands)), owner=owner)

    def _renew_in_degraded_mode(self, heartbeat: WorkerHeartbeat, now: float) -> Reply:
        """Renews the lease while no controller can lead. The response's fencing token is at least the worker's own, so
        that the worker accepts it, and there are no other commands than stops of cancelled tasks."""
        token = self._degraded_mode.renewal_token(heartbeat.fencing_token)
        response = HeartbeatResponse(token, self._stop_commands(heartbeat, now))
        self._count_event("renewed_degraded")
        log_event(
            log,
            logging.DEBUG,
            "lease_renewed_degraded",
            machine=heartbeat.machine,
            incarnation=heartbeat.incarnation,
            reported_token=heartbeat.fencing_token,
            token=token,
            stops=len(response.commands),
        )
        return Reply(200, encode(response))

    def _redirect(self) -> Reply:
        # After a pause of this process, its watch cache may name a leader whose term has ended since.
        label = self._elector.leader_label() if jobs_are_fresh(self._watch_cache) else None
        return Reply(421, encode({"upstream": label} if label in self._peer_labels else {}))

    def _may_renew(self, now: float) -> bool:
        """Whether a worker's lease may be renewed now. Every response that renews a lease follows this rule; see
        `jobs/cancellations.py`."""
        self._cancellations.observe_watch_cache(self._watch_cache.followed_since, self._watch_cache.fresh_at)
        return self._cancellations.may_renew(now)

    def _stop_commands(self, heartbeat: WorkerHeartbeat, now: float) -> list[Command]:
        """In degraded mode: commands that stop the tasks of cancelled jobs. These are correct whichever controller
        leads next, and a worker accepts them with any fencing token that is not below its own. If the watch cache was
        loaded recently, jobs cancelled before that may be missing from it. While that is possible, tasks of any job
        that the cache does not list as live are stopped as well."""
        has_gap = self._watch_cache.fresh_at > float("-inf") and self._cancellations.may_have_missed_cancellation(now)
        commands: list[Command] = []
        for attempt in heartbeat.tasks:
            job_id = attempt.task_id.rpartition("/")[0]
            final = self._watch_cache.final(job_id)
            cancelled = self._cancellations.is_cancelled(job_id) or ended_in_phase(final, JobPhase.CANCELLED)
            if attempt.phase != TaskPhase.EXITED and (cancelled or has_gap and self._watch_cache.job(job_id) is None):
                commands.append(StopCommand(attempt.task_id, attempt.attempt_number, 0.0))
        return commands
