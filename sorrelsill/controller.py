"""A controller: the slices put together, the routes, and the loops."""

from __future__ import annotations

import logging
import random
import re
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.fleet import Catalog, Cloud, FleetManager, parse_catalog
from sorrelsill.http import Client, Reply, Request
from sorrelsill.jobs import Admission, BusyError, Cancellations, InvalidJobError, RecordWriter, json_size, parse_record
from sorrelsill.leadership import Elector, Watchdog
from sorrelsill.peers import DegradedMode
from sorrelsill.placement import Placer
from sorrelsill.settings import Operator, Settings, Timings
from sorrelsill.store import CATALOG, LEADER, Condition, Put, Store, UnavailableError, View
from sorrelsill.store import AmbiguousError as StoreAmbiguous
from sorrelsill.workers import (
    CallLimits,
    ClusterState,
    InvalidReportError,
    Pusher,
    Report,
    SupersededError,
    enforce_gang_completeness,
    parse_report,
    stop_command,
)

log = logging.getLogger(__name__)

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode
_RUN = re.compile(r"/v2/runs/([^/]+)(/cancel|/why)?\Z")
_TEAM = re.compile(r"/v2/teams/([^/]+)/runs\Z")
_JOB = "s/j/"


def _cancelled(final: Any) -> bool:
    return isinstance(final, dict) and final.get("p") == "cancelled"


class Controller:
    def __init__(
        self,
        settings: Settings,
        operator: Operator,
        rng: random.Random,
        make_client: Callable[[str], Client] = Client,
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        facts = settings.facts
        self.settings = settings
        self.timings = Timings.derive(facts.workers, operator)
        self.store = Store(make_client(settings.services.state), facts.state, facts.nodes)
        self._ended_window_s = facts.workers.cancel_s + facts.workers.lease_s  # cancelled tasks may live so long
        self.view = View(self.store, self._ended_window_s + constants.ENDED_MARGIN_S)
        self.watchdog = Watchdog(self.timings.stall_s, self.timings.self_release_s)
        self.elector = Elector(
            self.store,
            self.view,
            self.timings,
            settings.label,
            self.watchdog,
            rng,
            [member.label for member in settings.members],
        )
        self.elector.acquire_after = trio.current_time() + (constants.PROMISE_S if settings.members else 0.0)
        self._time_of_day = time_of_day
        self.cancellations = Cancellations(
            trio.current_time(), facts.workers.cancel_s, self.timings.renew_s, len(settings.members)
        )
        self.view.on_final = self._on_final
        self.admission = Admission(self.store, self.view, facts.teams, time_of_day)
        self.cloud = Cloud(make_client(settings.services.cloud), facts.cloud)
        self.degraded_mode = DegradedMode(self.store, self.elector, settings.members, make_client, self.cancellations)
        self.placer = Placer(facts.teams, facts.objectives, rng, operator.sample or constants.SAMPLE, settings.hurried)
        self.tick_s = operator.tick_s or constants.TICK_S
        self.cluster: ClusterState | None = None
        self.fleet: FleetManager | None = None
        self.record_writer: RecordWriter | None = None
        self.catalog: Catalog | None = None
        self._catalog_raw: Any = None
        self._catalog_saved: Any = None
        limits = CallLimits.derive(facts.quota.sockets)
        self.pusher = Pusher(make_client, self.elector.valid, self._fresh, limits)
        self.pusher.on_news = self._news
        self._labels = {m.label for m in settings.members}
        self._wake = trio.Event()
        self.counts: dict[str, int] = {}
        self.elector.on_term = self._on_term
        self.elector.hears_no_worker = self._hears_no_worker
        self.elector.other_candidates = self.degraded_mode.other_candidates
        self.degraded_mode.on_bound = self._on_bound
        self.degraded_mode.on_cancelled = self._on_cancelled
        self.view.listeners.append(self._on_key)

    # --- leadership changes, and what the view tells ---

    def _on_term(self, term: int | None) -> None:
        """Rebuild from the records; the machines' part comes with their reports, before anything is placed."""
        if term is None:
            self.cluster = self.fleet = self.record_writer = None
            return
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
        cluster.renewed_by_others = min(now, self.elector.bound_until)
        cluster.expect_machines(self.view.roster())
        self.cluster = cluster
        whole = True
        for job_id, value, rev in self.view.jobs():
            if not self._over(job_id):
                whole &= self._add_job(cluster, job_id, value, rev)
        # With a damaged record among them, what its tasks use can't be told.
        cluster.expect_ended_jobs(self._lately_over() if whole else None)
        self.record_writer = RecordWriter(self.store, self.view, cluster, self.elector.valid)
        self.record_writer.on_superseded = lambda: self.elector.superseded(term + 1)
        self.fleet = FleetManager(
            self.cloud,
            cluster,
            self.elector.valid,
            lambda: list(self.placer.unplaced.values()),
            self.settings.hurried,
            self.settings.facts.cloud.list_lag_s,
            {o.workload for o in self.settings.facts.objectives if o.kind == "wait" and o.workload},
        )
        self.fleet.on_catalog = self._on_catalog
        self.fleet.on_drain = lambda: self._wake.set()
        self.placer.reset()
        for loop in ("place", "record", "fleet"):
            self.watchdog.beat(loop)

    def _lately_over(self) -> list[tuple[str, float, float]] | None:
        """What cancelled jobs may still run: every task is gone within `cancel_s` of the answer. None if this process
        has not followed the records for long enough to know of all of them."""
        ended = self.view.lately_over(self._ended_window_s)
        if ended is None:
            return None
        out = []
        for job_id, value in ended:
            final = self.view.final(job_id)
            if isinstance(final, dict) and final.get("p") == "done":
                continue
            try:
                spec, done, _ = parse_record(value, self.view.chunks(job_id))
            except (InvalidJobError, ValueError, TypeError):
                return None
            left = spec.shards - done.count
            out.append((spec.team, left * spec.cpus, left * spec.gpus))
        return out

    def _on_bound(self, until: float) -> None:
        if self.cluster is not None:
            self.cluster.renewed_by_others = max(self.cluster.renewed_by_others, until)

    def _on_final(self, job_id: str, value: Any) -> None:
        if self.cluster is not None:
            self.cluster.end_job(job_id)  # its record may be followed later than its final state
        if _cancelled(value):
            self.cancellations.learn(job_id, trio.current_time())

    def _on_cancelled(self, job_ids: list[str]) -> None:
        """A peer told us: they are over, as committed, though our view doesn't show it yet."""
        for job_id in job_ids:
            if self.cluster is not None:
                self.cluster.end_job(job_id)

    def _over(self, job_id: str) -> bool:
        """Whether the job is known to be over, whatever an older record says."""
        return self.view.final(job_id) is not None or self.cancellations.known(job_id)

    def _on_key(self, key: str, value: Any, rev: int) -> None:
        if key == CATALOG and value is not None:
            try:
                self._set_catalog(value, parse_catalog(value))
                self._catalog_saved = value
            except ValueError as error:
                log.error("stored catalog: %s", error)
        cluster = self.cluster
        if cluster is None or not key.startswith(_JOB):
            return
        job_id = key[len(_JOB) :]
        job = cluster.jobs.get(job_id)
        if value is None:
            if job is not None:
                cluster.end_job(job_id)
                self._wake.set()
        elif job is not None:
            job.rev = max(job.rev, rev)
        elif not self._over(job_id):
            self._add_job(cluster, job_id, value, rev)
            self._wake.set()

    def _hears_no_worker(self) -> bool:
        limit = constants.DEAF_REPORTS * self.settings.facts.workers.report_s + constants.DEAF_EXTRA_S
        return self.cluster is not None and self.cluster.hears_no_worker(trio.current_time(), limit)

    def _fresh(self) -> bool:
        """Whether the view of the jobs is recent enough to start anything on it."""
        return trio.current_time() - self.view.fresh_at < constants.VIEW_STALE_S

    def _news(self) -> None:
        if self.cluster is not None and self.cluster.wake_placing:
            self._wake.set()

    def _add_job(self, cluster: ClusterState, job_id: str, value: Any, rev: int) -> bool:
        try:
            spec, done, why = parse_record(value, self.view.chunks(job_id))
            accepted = float(value.get("t") or 0.0)
        except (InvalidJobError, ValueError, TypeError) as error:
            # Guards against one damaged record stopping all the others.
            log.error("record of %s: %s", job_id, error)
            return False
        now = trio.current_time()
        age = max(0.0, self._time_of_day() - accepted)
        job = cluster.add_job(spec, done, rev, rev <= cluster.term, now - age, why, accepted)
        # What the record says already need not be written again: after a takeover that would be one write a job.
        running = value.get("r")
        job.shown_running = running if isinstance(running, int) else 0
        job.split |= bool(self.view.chunk_keys(job_id))
        if job.split and value.get("d"):
            # Written by the version before this one, which knows of no parts beside the record of a smaller job: what
            # it adds stands only there, and has to go into the parts before the record leaves it out.
            job.dirty_parts.update(range(-(-spec.shards // constants.PART_SHARDS)))
        return True

    def _on_catalog(self, raw: dict[str, Any], catalog: Catalog) -> None:
        self._catalog_raw = raw
        self._set_catalog(raw, catalog)

    def _set_catalog(self, raw: Any, catalog: Catalog) -> None:
        self.catalog = catalog
        self.admission.catalog = catalog
        if self.cluster is not None:
            self.cluster.set_catalog(catalog)

    # --- routes ---

    async def handle(self, request: Request) -> Reply:
        path, method = request.path, request.method
        if path == "/hello":
            return self._hello(request) if method == "POST" else Reply(405)
        if path == "/v2/runs":
            return await self._users(lambda: self._submit(request)) if method == "POST" else Reply(405)
        match = _RUN.match(path)
        if match:
            job_id, action = match[1], match[2]
            if action == "/cancel":
                return await self._users(lambda: self.admission.cancel(job_id)) if method == "POST" else Reply(405)
            if method != "GET":
                return Reply(405)
            if action == "/why":
                return await self._users(lambda: self.admission.why(job_id))
            return await self._users(lambda: self.admission.poll(job_id))
        match = _TEAM.match(path)
        if match:
            if method != "GET":
                return Reply(405)
            after = parse_qs(request.query).get("after", [""])[0]
            return await self._users(lambda: self.admission.team(match[1], after))
        if path in ("/ready", "/state", "/metrics"):
            if method != "GET":
                return Reply(405)
            if path == "/ready":
                return Reply(200 if self.ready() else 503)
            if path == "/state":
                return Reply(200, _encode(self.state()))
            return self._metrics()
        return Reply(404)

    async def _submit(self, request: Request) -> tuple[int, dict[str, Any]]:
        try:
            body = _decode(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, ValueError):
            return 400, {"error": "body: not MessagePack"}
        return await self.admission.submit(body)

    async def _users(self, call: Callable[[], Awaitable[tuple[int, dict[str, Any]]]]) -> Reply:
        try:
            status, answer = await call()
        except BusyError as busy:
            # Never held back: the user is told at once when to come back.
            self._count("busy")
            return Reply(503, _encode({"error": str(busy)}), [("Retry-After", str(constants.RETRY_AFTER_S))])
        self._count(f"answer_{status}")
        return Reply(status, _encode(answer))

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _hello(self, request: Request) -> Reply:
        try:
            report = parse_report(request.body)
        except InvalidReportError as error:
            return Reply(400, _encode({"error": str(error)}))
        self._count("reports")
        log.debug("report: %s", report)
        cluster = self.cluster
        now = trio.current_time()
        acting = cluster is not None and self.elector.valid()
        if acting or self.degraded_mode.active():
            if not self._may_renew(now):
                # What was cancelled meanwhile is not certain to be known here: the next controller may know.
                self._count("not_renewed")
                return Reply(503)
            commands: list[dict[str, Any]] | None = []
            if cluster is not None:
                try:
                    commands = cluster.on_report(report, now, acting, self._fresh())
                except SupersededError as error:
                    self.elector.superseded(error.token)
                    return Reply(421, _encode({}))
                if commands is None:
                    return Reply(503)
                self._news()
            if cluster is None or not acting:
                # Nobody leads and nobody can: the worker's own token; its lease goes on and nothing else does.
                return Reply(200, _encode({"epoch": report.token, "orders": self._stop_commands(report, now)}))
            # Only a report that is newer than all before makes the connection the machine's own: not a late copy.
            return Reply(200, _encode({"epoch": cluster.term, "orders": commands}), owner=report.machine)
        # Guards against a process that stood still: its view may name a leader that has ended since.
        label = self.elector.leader_label() if self._fresh() else None
        if label in self._labels:
            return Reply(421, _encode({"upstream": label}))
        return Reply(421, _encode({}))

    def _may_renew(self, now: float) -> bool:
        """The one rule for every answer that renews a worker's lease (`jobs/cancellations.py`)."""
        self.cancellations.followed(self.view.followed_since, self.view.fresh_at)
        return self.cancellations.may_renew(now)

    def _stop_commands(self, report: Report, now: float) -> list[dict[str, Any]]:
        """In a standstill: tasks of jobs known to be cancelled still have to go. Halting them is always right,
        whoever leads next, and a worker takes it from any controller that names its token. A view that was read anew
        not long ago lacks what was cancelled before, so what is not live in it is halted as well."""
        unknown = self.view.fresh_at > float("-inf") and self.cancellations.suspect_unknown(now)
        out = []
        for item in report.tasks:
            job_id = item.task_id.rpartition("/")[0]
            over = self.cancellations.known(job_id) or _cancelled(self.view.final(job_id))
            if item.phase != "exited" and (over or unknown and self.view.job(job_id) is None):
                out.append(stop_command(item.task_id, item.attempt_number, 0.0))
        return out

    def ready(self) -> bool:
        """Able to serve. If all lack the store, staying ready and answering 503 beats a refused connection."""
        if not self.view.loaded:
            return False
        return self.store.failing_for() < constants.READY_STORE_S or self.degraded_mode.others_fail_too()

    def state(self) -> dict[str, Any]:
        """For operators: what this controller believes."""
        cluster = self.cluster
        return {
            "label": self.settings.label,
            "leader": self.settings.label if self.elector.valid() else self.elector.leader_label(),
            "leading": self.elector.valid(),
            "term": self.elector.term,
            "standstill": self.degraded_mode.active(),
            "store_failing_s": round(self.store.failing_for(), 2),
            "jobs": len(cluster.jobs) if cluster else None,
            "hosts": len(cluster.machines) if cluster else None,
            "unheard": len(cluster.unconfirmed) if cluster else None,
            "unplaced": sum(u.count for u in self.placer.unplaced.values()) if cluster else None,
            "groups": len(cluster.groups) if cluster else None,
            "groups_waiting": sum(1 for j in cluster.groups.values() if not j.running()) if cluster else None,
            "refused": self.store.refused,
            "set_aside": self.record_writer.set_aside if self.record_writer else 0,
            "counts": self.counts,
        }

    def _metrics(self) -> Reply:
        from sorrelsill.metrics import render  # noqa: PLC0415 - the library is heavy, start-up is charged

        return Reply(200, render(self.state()), kind="text/plain; version=0.0.4")

    async def handle_peer(self, request: Request) -> Reply:
        if request.path != "/promise":
            return Reply(404)
        if request.method != "POST":
            return Reply(405)
        return Reply(200, self.degraded_mode.answer(request.body), kind="application/json")

    # --- loops ---

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.view.run)
            nursery.start_soon(self.view.run_barriers)
            nursery.start_soon(self.admission.run)
            nursery.start_soon(self.elector.run)
            nursery.start_soon(self.degraded_mode.run)
            self._nursery = nursery
            nursery.start_soon(self._loop, "place", self._place, self.tick_s)
            nursery.start_soon(self._loop, "record", self._record, constants.WRITER_TICK_S)
            nursery.start_soon(self._loop, "fleet", self._fleet, constants.FLEET_TICK_S)

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
        cluster.wake_placing = False
        if not self.placer.round(cluster, now, trio.current_time, constants.ROUND_BUDGET_S) or lost:
            self._wake.set()
        self.pusher.start_due(cluster, self._nursery)
        self.pusher.probe_unconfirmed(cluster, self._nursery)
        # A round's work is charged: leave as much time to answering as it took.
        await trio.sleep(max(0.0, trio.current_time() - now))

    async def _record(self) -> None:
        if self.record_writer is not None:
            await self.record_writer.step()
        if self._catalog_raw is not None and self._catalog_raw != self._catalog_saved and self.elector.valid():
            raw = self._catalog_raw
            if json_size(raw) > self.store.value_bytes:
                log.error("the catalog is too long to be kept; a new leader has to wait for the cloud")
                self._catalog_saved = raw
                return
            try:
                txn = await self.store.multi([Condition(LEADER, self.elector.term or 0)], [Put(CATALOG, raw)])
                if txn.ok:
                    self._catalog_saved = raw
            except (UnavailableError, StoreAmbiguous) as error:
                log.debug("catalog not saved: %s", error)

    async def _fleet(self) -> None:
        if self.fleet is not None and self.elector.valid():
            await self.fleet.step()
