"""Builds the components of a controller that live as long as its process, from the settings."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from sorrelsill import constants
from sorrelsill.controller.job_loader import JobLoader
from sorrelsill.fleet import CloudClient
from sorrelsill.http import Client
from sorrelsill.jobs import Admission, Cancellations
from sorrelsill.leadership import ControllerLabels, ElectionCallbacks, LeaderElector, Watchdog
from sorrelsill.membership import PRESENCE_PREFIX, MembershipSettings, make_membership
from sorrelsill.peers import DegradedMode, DegradedModeCallbacks
from sorrelsill.placement import Scheduler
from sorrelsill.settings import OperatorOverrides, Settings, Timings
from sorrelsill.store import KeyValueStore, WatchCache
from sorrelsill.workers import CallLimits, CommandSender

if TYPE_CHECKING:  # loaded only where failure detection is on
    from sorrelsill.membership.service import Membership


@dataclass(frozen=True, slots=True)
class Environment:
    """The inputs of a controller: its settings, and the dependencies that tests replace."""

    settings: Settings
    operator: OperatorOverrides
    rng: random.Random
    make_client: Callable[[str], Client]
    wall_clock: Callable[[], float]  # in seconds since the epoch
    membership: MembershipSettings | None  # None disables failure detection


@dataclass(frozen=True, slots=True)
class ControllerCallbacks:
    """The functions of the controller that its components call."""

    on_term_changed: Callable[[int | None], None]  # the new term, or None when a term ends
    on_fencing_token_raised: Callable[[int], None]  # the new fencing token of the current term
    receives_no_heartbeats: Callable[[], bool]
    has_other_candidates: Callable[[str], Awaitable[bool]]  # given the label of the former leader, which does not count
    on_final: Callable[[str, Any], None]  # job ID and final record
    on_renewal_promise: Callable[[float], None]  # time up to which other controllers may renew leases
    on_peer_cancellations: Callable[[list[str]], None]  # jobs that a peer reports as cancelled
    on_worker_answer: Callable[[], None]
    count_event: Callable[[str], None]


@dataclass(frozen=True, slots=True)
class ControllerComponents:
    """The components that live as long as the process, not only for one term."""

    settings: Settings
    timings: Timings
    store: KeyValueStore
    watch_cache: WatchCache
    cancellations: Cancellations
    job_loader: JobLoader
    admission: Admission
    watchdog: Watchdog
    elector: LeaderElector
    degraded_mode: DegradedMode
    scheduler: Scheduler
    cloud: CloudClient
    command_sender: CommandSender
    membership: Membership | None


def jobs_are_fresh(watch_cache: WatchCache) -> bool:
    """Whether the watch cache is recent enough to start tasks or to redirect workers based on it."""
    return trio.current_time() - watch_cache.fresh_at < constants.WATCH_CACHE_STALE_S


def build_components(environment: Environment, callbacks: ControllerCallbacks) -> ControllerComponents:
    """Creates all components and connects them. None of them runs yet."""
    settings, operator = environment.settings, environment.operator
    platform, make_client = settings.platform, environment.make_client
    timings = Timings.derive(platform.workers, operator)
    ended_window_s = platform.workers.cancel_s + platform.workers.lease_s
    store = KeyValueStore(make_client(settings.services.state), platform.state, platform.nodes)
    watch_cache = WatchCache(
        store,
        ended_window_s + constants.ENDED_MARGIN_S,
        callbacks.on_final,
        (PRESENCE_PREFIX,) if environment.membership is not None else (),
    )
    cancellations = Cancellations(
        trio.current_time(), platform.workers.cancel_s, timings.renew_s, len(settings.members)
    )
    watchdog = Watchdog(timings.stall_s, timings.self_release_s)
    elector = _make_elector(environment, callbacks, store, watch_cache, timings, watchdog)
    return ControllerComponents(
        settings=settings,
        timings=timings,
        store=store,
        watch_cache=watch_cache,
        cancellations=cancellations,
        job_loader=JobLoader(watch_cache, cancellations, environment.wall_clock, ended_window_s),
        admission=Admission(store, watch_cache, platform.teams, environment.wall_clock),
        watchdog=watchdog,
        elector=elector,
        degraded_mode=_make_degraded_mode(environment, callbacks, store, watch_cache, elector, cancellations),
        scheduler=_make_scheduler(environment),
        cloud=CloudClient(make_client(settings.services.cloud), platform.cloud),
        command_sender=_make_command_sender(environment, callbacks, watch_cache, elector),
        membership=_make_membership(environment, callbacks, store, watch_cache),
    )


def _make_elector(
    environment: Environment,
    callbacks: ControllerCallbacks,
    store: KeyValueStore,
    watch_cache: WatchCache,
    timings: Timings,
    watchdog: Watchdog,
) -> LeaderElector:
    settings = environment.settings
    elector = LeaderElector(
        store,
        watch_cache,
        timings,
        ControllerLabels(settings.label, [member.label for member in settings.members]),
        watchdog,
        environment.rng,
        ElectionCallbacks(
            callbacks.on_term_changed,
            callbacks.on_fencing_token_raised,
            callbacks.receives_no_heartbeats,
            callbacks.has_other_candidates,
        ),
    )
    # The previous process of this controller may have promised a peer not to lead: wait until such a promise ends.
    elector.no_campaign_before = trio.current_time() + (constants.PROMISE_S if settings.members else 0.0)
    return elector


def _make_degraded_mode(
    environment: Environment,
    callbacks: ControllerCallbacks,
    store: KeyValueStore,
    watch_cache: WatchCache,
    elector: LeaderElector,
    cancellations: Cancellations,
) -> DegradedMode:
    return DegradedMode(
        store,
        watch_cache,
        elector,
        environment.settings.members,
        environment.make_client,
        cancellations,
        DegradedModeCallbacks(callbacks.on_renewal_promise, callbacks.on_peer_cancellations),
    )


def _make_command_sender(
    environment: Environment, callbacks: ControllerCallbacks, watch_cache: WatchCache, elector: LeaderElector
) -> CommandSender:
    return CommandSender(
        environment.make_client,
        elector.valid,
        partial(jobs_are_fresh, watch_cache),
        CallLimits.derive(environment.settings.platform.quota.sockets),
        callbacks.on_worker_answer,
    )


def _make_scheduler(environment: Environment) -> Scheduler:
    settings = environment.settings
    return Scheduler(
        settings.platform.teams,
        settings.platform.objectives,
        environment.rng,
        environment.operator.sample or constants.CANDIDATE_SAMPLE,
        settings.optimise_latency,
    )


def _make_membership(
    environment: Environment, callbacks: ControllerCallbacks, store: KeyValueStore, watch_cache: WatchCache
) -> Membership | None:
    if environment.membership is None:
        return None
    return make_membership(
        environment.settings,
        environment.membership,
        store,
        watch_cache,
        environment.make_client,
        callbacks.count_event,
    )
