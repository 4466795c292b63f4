"""A controller: the slices put together, and the loops."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.controller.followed_jobs import FollowedJobs
from sorrelsill.controller.heartbeat_routes import HeartbeatRoutes, is_cancelled
from sorrelsill.controller.leading import Leading
from sorrelsill.controller.operator_state import controller_state, team_state
from sorrelsill.controller.user_routes import UserRoutes
from sorrelsill.events import log_event
from sorrelsill.fleet import Cloud, FleetManager, parse_catalog
from sorrelsill.http import Client, Reply, Request
from sorrelsill.jobs import Admission, Cancellations, RecordWriter, json_size
from sorrelsill.leadership import LeaderElector, Watchdog
from sorrelsill.membership import PRESENCE_PREFIX, MembershipSettings, make_membership
from sorrelsill.model import Catalog
from sorrelsill.peers import DegradedMode
from sorrelsill.placement import Scheduler
from sorrelsill.settings import OperatorOverrides, Settings, Timings
from sorrelsill.store import CATALOG, JOB_PREFIX, LEADER, Compare, KeyValueStore, Put, UnavailableError, WatchCache
from sorrelsill.store import AmbiguousError as StoreAmbiguous
from sorrelsill.workers import CallLimits, ClusterState, CommandSender, enforce_gang_completeness

log = logging.getLogger(__name__)

_encode = msgspec.msgpack.Encoder().encode


class Controller:
    """One process of the service."""

    def __init__(
        self,
        settings: Settings,
        operator: OperatorOverrides,
        rng: random.Random,
        make_client: Callable[[str], Client] = Client,
        time_of_day: Callable[[], float] = time.time,
        membership: MembershipSettings | None = None,
    ) -> None:
        """`membership` turns failure detection on."""
        facts = settings.facts
        now = trio.current_time()
        self.settings = settings
        self.timings = Timings.derive(facts.workers, operator)
        self.leading: Leading | None = None
        self.catalog: Catalog | None = None
        self._catalog_raw: Any = None
        self._catalog_saved: Any = None
        self.counts: dict[str, int] = {}
        self._wake = trio.Event()
        self._draining = False  # stops as planned
        self.tick_s = operator.tick_s or constants.TICK_S

        ended_window_s = facts.workers.cancel_s + facts.workers.lease_s
        self.store = KeyValueStore(make_client(settings.services.state), facts.state, facts.nodes)
        self.watch_cache = WatchCache(
            self.store,
            ended_window_s + constants.ENDED_MARGIN_S,
            self._on_final,
            (PRESENCE_PREFIX,) if membership is not None else (),
        )
        self.cancellations = Cancellations(now, facts.workers.cancel_s, self.timings.renew_s, len(settings.members))
        self.followed_jobs = FollowedJobs(self.watch_cache, self.cancellations, time_of_day, ended_window_s)
        self.admission = Admission(self.store, self.watch_cache, facts.teams, time_of_day)
        self.watchdog = Watchdog(self.timings.stall_s, self.timings.self_release_s)
        self.elector = LeaderElector(
            self.store,
            self.watch_cache,
            self.timings,
            settings.label,
            self.watchdog,
            rng,
            [member.label for member in settings.members],
            on_term=self._on_term,
            hears_no_worker=self._hears_no_worker,
            other_candidates=self._other_candidates,
        )
        self.elector.acquire_after = now + (constants.PROMISE_S if settings.members else 0.0)
        self.degraded_mode = DegradedMode(
            self.store,
            self.elector,
            settings.members,
            make_client,
            self.cancellations,
            on_bound=self._on_bound,
            on_cancelled=self._on_cancelled,
        )
        self.scheduler = Scheduler(
            facts.teams, facts.objectives, rng, operator.sample or constants.SAMPLE, settings.optimise_latency
        )
        self.cloud = Cloud(make_client(settings.services.cloud), facts.cloud)
        limits = CallLimits.derive(facts.quota.sockets)
        self.command_sender = CommandSender(make_client, self.elector.valid, self._fresh, limits, self._news)
        self._user_routes = UserRoutes(self.admission, self.watch_cache, self._count)
        self._heartbeat_routes = HeartbeatRoutes(
            self.watch_cache,
            self.elector,
            self.degraded_mode,
            self.cancellations,
            {member.label for member in settings.members},
            lambda: self.cluster,
            self._fresh,
            self._count,
            self._news,
        )
        self.watch_cache.listeners.append(self._on_key)
        self.membership = (
            make_membership(settings, membership, self.store, self.watch_cache, make_client, self._count)
            if membership is not None
            else None
        )

    @property
    def cluster(self) -> ClusterState | None:
        """The cluster state of the present term, if this controller leads."""
        return self.leading.cluster if self.leading is not None else None

    # --- leadership changes, and what the view tells ---

    def _on_term(self, term: int | None) -> None:
        """Rebuild from the records; the machines' part comes with their reports, before anything is placed."""
        if term is None:
            self.leading = None
            if self.membership is not None:
                self.membership.term_ended()
            return
        if self.membership is not None:
            self.membership.term_began(term, self.elector.predecessor)
        now = trio.current_time()
        timings = self.timings
        cluster = ClusterState(
            term,
            now,
            self.catalog or Catalog({}),
            timings.loss_s,
            timings.validity_s,
            timings.overdue_s,
            self.settings.facts.workers.gang_peer_s,
        )
        cluster.renewed_by_others = min(now, self.elector.promised_until)
        cluster.failover.expect_machines(self.watch_cache.registered_machines())
        self.followed_jobs.load(cluster)
        self.leading = Leading(cluster, self._make_fleet(cluster), self._make_record_writer(cluster))
        self.scheduler.reset()
        self._log_takeover(cluster)
        for loop in ("place", "record", "fleet"):
            self.watchdog.beat(loop)

    def _log_takeover(self, cluster: ClusterState) -> None:
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
        for name, use in team_state(cluster, self.settings.facts.teams).items():
            log_event(log, logging.DEBUG, "team_use", term=cluster.term, team=name, **use)

    def _make_record_writer(self, cluster: ClusterState) -> RecordWriter:
        return RecordWriter(
            self.store,
            self.watch_cache,
            cluster,
            self.elector.valid,
            on_fenced=lambda: self.elector.fenced(cluster.term + 1),
        )

    def _make_fleet(self, cluster: ClusterState) -> FleetManager:
        facts = self.settings.facts
        return FleetManager(
            self.cloud,
            cluster,
            self.elector.valid,
            lambda: list(self.scheduler.unschedulable.values()),
            self.settings.optimise_latency,
            facts.cloud.list_lag_s,
            {o.job_class for o in facts.objectives if o.kind == "wait" and o.job_class},
            on_catalog=self._on_catalog,
            on_drain=lambda: self._wake.set(),
        )

    def _on_bound(self, until: float) -> None:
        if self.cluster is not None:
            self.cluster.renewed_by_others = max(self.cluster.renewed_by_others, until)

    def _on_final(self, job_id: str, value: Any) -> None:
        if self.cluster is not None:
            self.cluster.end_job(job_id)  # its record may be followed later than its final state
        if is_cancelled(value):
            self.cancellations.add(job_id, trio.current_time())

    def _on_cancelled(self, job_ids: list[str]) -> None:
        """A peer told us: they are over, as committed, though our view doesn't show it yet."""
        for job_id in job_ids:
            if self.cluster is not None:
                self.cluster.end_job(job_id)

    def _on_key(self, key: str, value: Any, rev: int) -> None:
        if key == CATALOG and value is not None:
            try:
                self._set_catalog(parse_catalog(value))
                self._catalog_saved = value
            except ValueError as error:
                log.error("stored catalog: %s", error)
        cluster = self.cluster
        if cluster is None or not key.startswith(JOB_PREFIX):
            return
        if self.followed_jobs.record_changed(cluster, key[len(JOB_PREFIX) :], value, rev):
            self._wake.set()

    def _hears_no_worker(self) -> bool:
        limit = constants.DEAF_REPORTS * self.settings.facts.workers.heartbeat_interval_s + constants.DEAF_EXTRA_S
        return self.cluster is not None and self.cluster.hears_no_worker(trio.current_time(), limit)

    async def _other_candidates(self, former: str) -> bool:
        """Whether any controller but the former leader could take the key now: as detection knows, or by asking."""
        if self.membership is not None and any(label != former for label in self.membership.view.alive()):
            return True
        return await self.degraded_mode.other_candidates(former)

    def _fresh(self) -> bool:
        """Whether the view of the jobs is recent enough to start anything on it."""
        return trio.current_time() - self.watch_cache.fresh_at < constants.WATCH_CACHE_STALE_S

    def _news(self) -> None:
        if self.cluster is not None and self.cluster.wake_scheduler:
            self._wake.set()

    def _on_catalog(self, raw: dict[str, Any], catalog: Catalog) -> None:
        self._catalog_raw = raw
        self._set_catalog(catalog)

    def _set_catalog(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self.admission.catalog = catalog
        if self.cluster is not None:
            self.cluster.set_catalog(catalog)

    # --- routes ---

    async def handle(self, request: Request) -> Reply:
        """Users, workers, health checks and operators."""
        path = request.path
        if path == "/hello":
            return self._heartbeat_routes.answer(request) if request.method == "POST" else Reply(405)
        if path in ("/ready", "/state", "/metrics"):
            return self._for_operators(path) if request.method == "GET" else Reply(405)
        return await self._user_routes.handle(request) or Reply(404)

    def _for_operators(self, path: str) -> Reply:
        if path == "/ready":
            return Reply(200 if self.ready() else 503)
        if path == "/state":
            return Reply(200, _encode(self.state()))
        from sorrelsill.metrics import render  # noqa: PLC0415 - the library is heavy, start-up is charged

        return Reply(200, render(self.state()), kind="text/plain; version=0.0.4")

    async def handle_peer(self, request: Request) -> Reply:
        """The other controllers."""
        if request.path != "/promise":
            reply = await self.membership.handle(request) if self.membership is not None else None
            return reply or Reply(404)
        if request.method != "POST":
            return Reply(405)
        return Reply(200, self.degraded_mode.answer(request.body), kind="application/json")

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def ready(self) -> bool:
        """Able to serve. If all lack the store, staying ready and answering 503 beats a refused connection."""
        if not self.watch_cache.loaded or self._draining:
            return False
        return self.store.failing_for() < constants.READY_STORE_S or self.degraded_mode.others_fail_too()

    def state(self) -> dict[str, Any]:
        """For operators: what this controller believes."""
        return controller_state(self)

    # --- loops ---

    async def run(self) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_cache.run)
            nursery.start_soon(self.watch_cache.run_barriers)
            nursery.start_soon(self.admission.run)
            nursery.start_soon(self.elector.run)
            nursery.start_soon(self.degraded_mode.run)
            if self.membership is not None:
                nursery.start_soon(self.membership.run)
            self._nursery = nursery
            nursery.start_soon(self._loop, "place", self._place, self.tick_s)
            nursery.start_soon(self._loop, "record", self._record, constants.WRITER_TICK_S)
            nursery.start_soon(self._loop, "fleet", self._fleet, constants.FLEET_TICK_S)

    async def drain(self) -> None:
        """Stop as planned: give the leadership away, wait for a successor, and go on answering until users and workers
        have found it. The process may end after that."""
        log.info("stopping as planned")
        self._draining = True
        if self.membership is not None:
            await self.membership.leave()
        await self.elector.resign()
        if self.settings.members:
            with trio.move_on_after(constants.DRAIN_WAIT_S):
                while self.elector.leader_label() in (None, self.settings.label):
                    await trio.sleep(constants.RETRY_S / 5)
        await trio.sleep(constants.DRAIN_LINGER_S)

    async def _loop(self, name: str, step: Callable[[], Awaitable[None]], tick: float) -> None:
        """A leader's loop: an error is logged and the next round goes on; beats feed the watchdog."""
        while True:
            self.watchdog.beat(name)
            try:
                await step()
            except Exception:
                log.exception("%s: round failed", name)
            await trio.sleep(tick)

    async def _place(self) -> None:
        with trio.move_on_after(1.0):
            await self._wake.wait()
        self._wake = trio.Event()
        cluster = self.cluster
        if cluster is None or not self.elector.valid():
            return
        now = trio.current_time()
        lost = cluster.expire_leases(now)
        for machine in lost:
            log.info("%s is silent past its lease: its work is lost", machine.name)
        cluster.drain(now)
        enforce_gang_completeness(cluster)
        cluster.wake_scheduler = False
        if not self.scheduler.run_cycle(cluster, now, trio.current_time, constants.CYCLE_BUDGET_S) or lost:
            self._wake.set()
        if self.membership is not None and cluster.first_bound_at is not None:
            self.membership.started(cluster.first_bound_at)
        self.command_sender.start_due(cluster, self._nursery)
        self.command_sender.probe_unconfirmed(cluster, self._nursery)
        # A round's work is charged: leave as much time to answering as it took.
        await trio.sleep(max(0.0, trio.current_time() - now))

    async def _record(self) -> None:
        if self.leading is not None:
            await self.leading.record_writer.step()
        if self._catalog_raw is not None and self._catalog_raw != self._catalog_saved and self.elector.valid():
            await self._save_catalog(self._catalog_raw)

    async def _save_catalog(self, raw: Any) -> None:
        if json_size(raw) > self.store.value_bytes:
            log.error("the catalog is too long to be kept; a new leader has to wait for the cloud")
            self._catalog_saved = raw
            return
        try:
            txn = await self.store.commit([Compare(LEADER, self.elector.term or 0)], [Put(CATALOG, raw)])
            if txn.ok:
                self._catalog_saved = raw
        except (UnavailableError, StoreAmbiguous) as error:
            log.debug("catalog not saved: %s", error)

    async def _fleet(self) -> None:
        if self.leading is not None and self.elector.valid():
            await self.leading.fleet.step()
