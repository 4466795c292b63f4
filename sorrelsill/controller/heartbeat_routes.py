"""Answers workers' heartbeats: as the leader, in degraded mode, or with a redirect to the leader."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class HeartbeatCallbacks:
    """The functions of the controller that the route calls."""

    get_cluster: Callable[[], ClusterState | None]  # of the current term; None if this controller does not lead
    count_event: Callable[[str], None]
    on_heartbeat: Callable[[], None]  # called after each heartbeat that was passed to the cluster state
    # returns when the next scheduling cycle is done, or after the given number of seconds
    wait_for_cycle: Callable[[float], Awaitable[None]]


class HeartbeatRoutes:
    """The HTTP route for workers' heartbeats."""

    def __init__(self, components: ControllerComponents, callbacks: HeartbeatCallbacks) -> None:
        self._watch_cache = components.watch_cache
        self._elector = components.elector
        self._degraded_mode = components.degraded_mode
        self._cancellations = components.cancellations
        self._peer_labels = {member.label for member in components.settings.members}
        self._get_cluster = callbacks.get_cluster
        self._count_event = callbacks.count_event
        self._on_heartbeat = callbacks.on_heartbeat
        self._wait_for_cycle = callbacks.wait_for_cycle

    async def answer(self, request: Request) -> Reply:
        """Answers one heartbeat."""
        try:
            heartbeat = parse_heartbeat(request.body)
        except InvalidHeartbeatError as error:
            return Reply(400, encode({"error": str(error)}))
        self._count_event("reports")
        log.debug("heartbeat: %s", heartbeat)
        if not self._elector.valid() and not self._degraded_mode.active():
            await self._wait_for_election()
        cluster = self._get_cluster()
        if cluster is not None and self._elector.valid():
            return await self._answer_as_leader(cluster, heartbeat)
        return self._answer_without_leading(cluster, heartbeat)

    async def _wait_for_election(self) -> None:
        """Waits while there is certainly no leader, so that one will soon be elected. A worker that is sent away
        without the leader's label tries another controller only a second later."""
        if jobs_are_fresh(self._watch_cache) and self._elector.leader_label() is None:
            await self._elector.wait_for_leader(constants.HEARTBEAT_HOLD_S)

    async def _answer_as_leader(self, cluster: ClusterState, heartbeat: WorkerHeartbeat) -> Reply:
        """Processes a heartbeat and answers it with the commands for its worker. If the heartbeat gives the scheduler
        something to do, the answer waits for the next scheduling cycle, whose starts it then carries."""
        now = trio.current_time()
        if not self._may_renew(now):
            return self._not_renewed()
        try:
            commands = cluster.on_heartbeat(heartbeat, now, True, jobs_are_fresh(self._watch_cache))
        except FencedError as error:
            self._elector.observe_fencing_token(error.fencing_token)
            return Reply(421, encode({}))
        self._on_heartbeat()
        if commands is None:
            return Reply(503)
        is_newest = cluster.is_newest(heartbeat)
        if is_newest and cluster.wake_scheduler:
            await self._wait_for_cycle(constants.START_HOLD_S)
            if self._get_cluster() is not cluster or not self._elector.valid():
                return self._redirect()
            if cluster.is_newest(heartbeat):
                commands = cluster.commands_for(heartbeat.machine, jobs_are_fresh(self._watch_cache))
        # The worker owns this connection from now on, and its previous one is closed unless busy. A late copy must not
        # close the worker's connection.
        owner = heartbeat.machine if is_newest else ""
        return Reply(200, encode(HeartbeatResponse(cluster.fencing_token, commands)), owner=owner)

    def _answer_without_leading(self, cluster: ClusterState | None, heartbeat: WorkerHeartbeat) -> Reply:
        """Renews the worker's lease in degraded mode; otherwise sends the worker to the leader."""
        if not self._degraded_mode.active():
            return self._redirect()
        now = trio.current_time()
        if not self._may_renew(now):
            return self._not_renewed()
        if cluster is not None:
            commands = cluster.on_heartbeat(heartbeat, now, False, jobs_are_fresh(self._watch_cache))
            self._on_heartbeat()
            if commands is None:
                return Reply(503)
        return self._renew_in_degraded_mode(heartbeat, now)

    def _not_renewed(self) -> Reply:
        """A recent cancellation may be unknown here. The worker tries the next controller, which may know it."""
        self._count_event("not_renewed")
        return Reply(503)

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
