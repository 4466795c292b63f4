"""A controller: handles changes of its term and of watched keys, serves HTTP routes, and runs the leader's loops."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.controller.components import ControllerCallbacks, Environment, build_components
from sorrelsill.controller.encoding import encode
from sorrelsill.controller.heartbeat_routes import HeartbeatCallbacks, HeartbeatRoutes
from sorrelsill.controller.leader_term import LeaderTerm
from sorrelsill.controller.operator_state import controller_state, team_states
from sorrelsill.controller.user_routes import UserRoutes
from sorrelsill.controller_state import ControllerState
from sorrelsill.events import log_event
from sorrelsill.fleet import FleetManager, FleetSettings, parse_catalog
from sorrelsill.http import Client, Reply, Request
from sorrelsill.jobs import RecordWriter, ended_in_phase, json_size
from sorrelsill.membership import MembershipSettings
from sorrelsill.model import Catalog, JobPhase
from sorrelsill.settings import OperatorOverrides, Settings
from sorrelsill.store import CATALOG, JOB_PREFIX, LEADER, AmbiguousError, Compare, Put, UnavailableError
from sorrelsill.workers import ClusterState, enforce_gang_completeness

log = logging.getLogger(__name__)


class Controller:
    """One controller process, which is the leader or a follower."""

    def __init__(
        self,
        settings: Settings,
        operator: OperatorOverrides,
        rng: random.Random,
        make_client: Callable[[str], Client] = Client,
        wall_clock: Callable[[], float] = time.time,
        membership: MembershipSettings | None = None,
    ) -> None:
        """`membership`: settings of failure detection; None disables it."""
        self.leader_term: LeaderTerm | None = None
        self.catalog: Catalog | None = None
        self._raw_catalog: Any = None  # as returned by the cloud
        self._stored_catalog: Any = None  # as stored in the key-value store
        self.counts: dict[str, int] = {}
        self._wake_scheduler = trio.Event()
        self._cycle_done = trio.Event()
        self._draining = False  # a planned shutdown has begun
        self.tick_s = operator.tick_s or constants.SCHEDULING_INTERVAL_S
        environment = Environment(settings, operator, rng, make_client, wall_clock, membership)
        self._components = components = build_components(environment, self._callbacks())
        self.settings = settings
        self.timings = components.timings
        self.store = components.store
        self.watch_cache = components.watch_cache
        self.cancellations = components.cancellations
        self.job_loader = components.job_loader
        self.admission = components.admission
        self.watchdog = components.watchdog
        self.elector = components.elector
        self.degraded_mode = components.degraded_mode
        self.scheduler = components.scheduler
        self.command_sender = components.command_sender
        self.membership = components.membership
        self._user_routes = UserRoutes(self.admission, self.watch_cache, self._count_event)
        self._heartbeat_routes = HeartbeatRoutes(components, self._heartbeat_callbacks())
        self.watch_cache.listeners.append(self._on_key_changed)

    def _callbacks(self) -> ControllerCallbacks:
        return ControllerCallbacks(
            on_term_changed=self._on_term_changed,
            on_fencing_token_raised=self._on_fencing_token_raised,
            receives_no_heartbeats=self._receives_no_heartbeats,
            has_other_candidates=self._has_other_candidates,
            on_final=self._on_final,
            on_renewal_promise=self._on_renewal_promise,
            on_peer_cancellations=self._on_peer_cancellations,
            on_worker_answer=self._wake_scheduler_if_needed,
            count_event=self._count_event,
        )

    def _heartbeat_callbacks(self) -> HeartbeatCallbacks:
        return HeartbeatCallbacks(
            get_cluster=lambda: self.cluster,
            count_event=self._count_event,
            on_heartbeat=self._wake_scheduler_if_needed,
            wait_for_cycle=self._wait_for_cycle,
        )

    @property
    def cluster(self) -> ClusterState | None:
        """The cluster state of the current term, or None if this controller does not lead."""
        return self.leader_term.cluster if self.leader_term is not None else None

    # --- leadership changes, and changes in the watch cache ---

    def _on_term_changed(self, term: int | None) -> None:
        """Called when a term begins, or with None when it ends. A new leader rebuilds its cluster state from the job
        records, and places nothing on a machine before the machine has reported what runs on it."""
        if term is None:
            self.leader_term = None
            if self.membership is not None:
                self.membership.term_ended()
            return
        if self.membership is not None:
            self.membership.term_began(term, self.elector.previous_leader)
        now = trio.current_time()
        timings = self.timings
        cluster = ClusterState(
            term,
            now,
            self.catalog or Catalog({}),
            timings.loss_s,
            timings.validity_s,
            timings.overdue_s,
            self.settings.platform.workers.gang_peer_s,
        )
        cluster.others_may_renew_until = min(now, self.elector.promised_until)
        cluster.failover.expect_machines(self.watch_cache.registered_machines())
        self.job_loader.load(cluster)
        self.leader_term = LeaderTerm(cluster, self._make_fleet(cluster), self._make_record_writer(cluster))
        self.scheduler.reset()
        self._log_failover(cluster)
        for loop in ("place", "record", "fleet"):
            self.watchdog.record_heartbeat(loop)

    def _on_fencing_token_raised(self, fencing_token: int) -> None:
        """Called when this leader continues its term with a higher fencing token, after degraded mode or for a worker
        that restarted."""
        if self.cluster is not None:
            self.cluster.on_fencing_token_raised(fencing_token)
            self._wake_scheduler.set()

    def _log_failover(self, cluster: ClusterState) -> None:
        log_event(
            log,
            logging.INFO,
            "takeover",
            term=cluster.term,
            view_revision=self.watch_cache.rev,
            followed_s=trio.current_time() - self.watch_cache.complete_since,
            jobs=len(cluster.jobs),
            unconfirmed=len(cluster.failover.unconfirmed),
        )
        if not log.isEnabledFor(logging.DEBUG):
            return
        for team, state in team_states(cluster, self.settings.platform.teams).items():
            use = msgspec.structs.asdict(state)
            log_event(log, logging.DEBUG, "team_use", term=cluster.term, team=team, **use)

    def _make_record_writer(self, cluster: ClusterState) -> RecordWriter:
        return RecordWriter(
            self.store,
            self.watch_cache,
            cluster,
            self.elector.valid,
            on_fenced=lambda: self.elector.observe_fencing_token(cluster.fencing_token + 1),
        )

    def _make_fleet(self, cluster: ClusterState) -> FleetManager:
        platform = self.settings.platform
        return FleetManager(
            self._components.cloud,
            cluster,
            self.elector.valid,
            lambda: list(self.scheduler.unschedulable.values()),
            FleetSettings(
                self.settings.optimise_latency,
                platform.cloud.list_lag_s,
                {
                    objective.job_class
                    for objective in platform.objectives
                    if objective.kind == "wait" and objective.job_class
                },
            ),
            on_catalog=self._on_catalog,
            on_drain=self._request_scheduling_cycle,
        )

    async def _wait_for_cycle(self, timeout_s: float) -> None:
        """Return when the next scheduling cycle is done, or after `timeout_s` seconds."""
        with trio.move_on_after(timeout_s):
            await self._cycle_done.wait()

    def _request_scheduling_cycle(self) -> None:
        # A method, not the bound `set` of the event, since every scheduling cycle replaces the event.
        self._wake_scheduler.set()

    def _on_renewal_promise(self, until: float) -> None:
        """Called when degraded mode may let other controllers renew workers' leases up to `until`."""
        if self.cluster is not None:
            self.cluster.others_may_renew_until = max(self.cluster.others_may_renew_until, until)

    def _on_final(self, job_id: str, value: Any) -> None:
        if self.cluster is not None:
            self.cluster.end_job(job_id)  # the watch may return the removal of the live record later than the final one
        if ended_in_phase(value, JobPhase.CANCELLED):
            self.cancellations.add(job_id, trio.current_time())

    def _on_peer_cancellations(self, job_ids: list[str]) -> None:
        """Called with jobs that a peer reports as cancelled. Their cancellation is committed, but our watch cache may
        not show it yet."""
        for job_id in job_ids:
            if self.cluster is not None:
                self.cluster.end_job(job_id)

    def _on_key_changed(self, key: str, value: Any, rev: int) -> None:
        if key == CATALOG and value is not None:
            try:
                self._set_catalog(parse_catalog(value))
                self._stored_catalog = value
            except ValueError as error:
                log_event(log, logging.ERROR, "stored_catalog_damaged", reason=str(error))
        cluster = self.cluster
        if cluster is None or not key.startswith(JOB_PREFIX):
            return
        if self.job_loader.record_changed(cluster, key[len(JOB_PREFIX) :], value, rev):
            self._wake_scheduler.set()

    def _receives_no_heartbeats(self) -> bool:
        limit_s = (
            constants.NO_HEARTBEAT_INTERVALS * self.settings.platform.workers.heartbeat_interval_s
            + constants.NO_HEARTBEAT_EXTRA_S
        )
        return self.cluster is not None and self.cluster.receives_no_heartbeats(trio.current_time(), limit_s)

    async def _has_other_candidates(self, former: str) -> bool:
        """Whether any controller other than the former leader could acquire the leader key now, according to failure
        detection or by asking the peers."""
        if self.membership is not None and any(label != former for label in self.membership.view.alive_labels()):
            return True
        return await self.degraded_mode.has_other_candidates(former)

    def _wake_scheduler_if_needed(self) -> None:
        """Called after a heartbeat or a response of a worker was processed."""
        if self.cluster is not None and self.cluster.wake_scheduler:
            self._wake_scheduler.set()

    def _on_catalog(self, raw: dict[str, Any], catalog: Catalog) -> None:
        self._raw_catalog = raw
        self._set_catalog(catalog)

    def _set_catalog(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self.admission.catalog = catalog
        if self.cluster is not None:
            self.cluster.set_catalog(catalog)

    # --- routes ---

    async def handle(self, request: Request) -> Reply:
        """Answers requests of users, workers, health checks and operators."""
        path = request.path
        if path == "/hello":
            return await self._heartbeat_routes.answer(request) if request.method == "POST" else Reply(405)
        if path in ("/ready", "/state", "/metrics"):
            return self._handle_operator(path) if request.method == "GET" else Reply(405)
        return await self._user_routes.handle(request) or Reply(404)

    def _handle_operator(self, path: str) -> Reply:
        if path == "/ready":
            return Reply(200 if self.ready() else 503)
        if path == "/state":
            return Reply(200, encode(self.state()))
        # Imported here because the import is slow, and controllers have little CPU time to start.
        from sorrelsill.metrics import render  # noqa: PLC0415

        return Reply(200, render(self.state()), content_type="text/plain; version=0.0.4")

    async def handle_peer(self, request: Request) -> Reply:
        """Answers requests of the other controllers."""
        if request.path != "/promise":
            reply = await self.membership.handle(request) if self.membership is not None else None
            return reply or Reply(404)
        if request.method != "POST":
            return Reply(405)
        return Reply(200, self.degraded_mode.answer_promise_request(request.body), content_type="application/json")

    def _count_event(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def ready(self) -> bool:
        """Whether this controller can serve requests. If this controller and a peer cannot reach the store, this
        controller stays ready: users then get status 503, which is better for them than a refused connection."""
        if not self.watch_cache.loaded or self._draining:
            return False
        return self.store.failing_for() < constants.READY_STORE_S or self.degraded_mode.any_peer_store_failing()

    def state(self) -> ControllerState:
        """The state of this controller, for operators."""
        return controller_state(self._components, self.leader_term, self.counts)

    # --- loops ---

    async def run(self) -> None:
        """Runs all loops until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_cache.run)
            nursery.start_soon(self.watch_cache.run_barriers)
            nursery.start_soon(self.admission.run)
            nursery.start_soon(self.elector.run)
            nursery.start_soon(self.degraded_mode.run)
            if self.membership is not None:
                nursery.start_soon(self.membership.run)
            self._nursery = nursery
            nursery.start_soon(self._loop, "place", self._schedule, self.tick_s)
            nursery.start_soon(self._loop, "record", self._record, constants.WRITER_TICK_S)
            nursery.start_soon(self._loop, "fleet", self._fleet, constants.FLEET_TICK_S)

    async def drain(self) -> None:
        """Planned shutdown: resigns, waits for a successor, and keeps answering for a while, so that users and workers
        find the successor. The process may exit once this returns."""
        log_event(log, logging.INFO, "draining", term=self.elector.term)
        self._draining = True
        if self.membership is not None:
            await self.membership.leave()
        await self.elector.resign()
        if self.settings.members:
            with trio.move_on_after(constants.SHUTDOWN_WAIT_S):
                while self.elector.leader_label() in (None, self.settings.label):
                    await trio.sleep(constants.RETRY_PAUSE_S / 5)
        await trio.sleep(constants.SHUTDOWN_LINGER_S)

    async def _loop(self, name: str, step: Callable[[], Awaitable[None]], tick_s: float) -> None:
        """Calls `step` in a loop with a pause of `tick_s` seconds, and reports each round to the watchdog. An error is
        logged and does not end the loop."""
        while True:
            self.watchdog.record_heartbeat(name)
            try:
                await step()
            except Exception:
                log.exception("round_failed loop=%s", name)
            await trio.sleep(tick_s)

    async def _schedule(self) -> None:
        with trio.move_on_after(1.0):
            await self._wake_scheduler.wait()
        self._wake_scheduler = trio.Event()
        cluster = self.cluster
        if cluster is None or not self.elector.valid():
            return
        now = trio.current_time()
        lost = cluster.expire_leases(now)
        for machine in lost:
            log.info("%s is silent past its lease: its work is lost", machine.name)
        cluster.stop_tasks_on_reclaimed_machines(now)
        enforce_gang_completeness(cluster)
        cluster.wake_scheduler = False
        if not self.scheduler.run_cycle(cluster, now, trio.current_time, constants.CYCLE_BUDGET_S) or lost:
            self._wake_scheduler.set()
        self._cycle_done.set()
        self._cycle_done = trio.Event()
        if self.membership is not None and cluster.counters.first_bound_at is not None:
            self.membership.first_task_started(cluster.counters.first_bound_at)
        if cluster.needs_higher_token():
            self.elector.request_higher_token()
        self.command_sender.start_due(cluster, self._nursery)
        self.command_sender.probe_unconfirmed(cluster, self._nursery)
        # CPU time is limited: sleep for as long as the cycle took, which leaves as much CPU time to requests.
        await trio.sleep(max(0.0, trio.current_time() - now))

    async def _record(self) -> None:
        if self.leader_term is not None:
            await self.leader_term.record_writer.step()
        if self._raw_catalog is not None and self._raw_catalog != self._stored_catalog and self.elector.valid():
            await self._save_catalog(self._raw_catalog)

    async def _save_catalog(self, raw: Any) -> None:
        size = json_size(raw)
        if size > self.store.value_bytes:
            # The store would refuse it. So a new leader has to wait until it has read the catalog from the cloud.
            log_event(log, logging.ERROR, "catalog_too_long", bytes=size, value_bytes=self.store.value_bytes)
            self._stored_catalog = raw
            return
        try:
            txn = await self.store.commit([Compare(LEADER, self.elector.fencing_token or 0)], [Put(CATALOG, raw)])
            if txn.ok:
                self._stored_catalog = raw
        except (UnavailableError, AmbiguousError) as error:
            log_event(log, logging.DEBUG, "catalog_not_stored", reason=str(error))

    async def _fleet(self) -> None:
        if self.leader_term is not None and self.elector.valid():
            await self.leader_term.fleet.step()
