"""Leader election. The leader is the controller that holds `s/leader`, a key with a lease in the key-value store.

The term is the revision at which that key was created, and the first fencing token of the leader. The leader renews its
lease every sixth of the lease duration, and acts only while its last successful renewal was *sent* less than two thirds
of the lease duration ago. The store deletes the key no earlier than a whole lease duration after the last renewal
arrived there, so another controller can acquire it only after this one has stopped acting.

Following Strøm's guide (the design paper that this election follows), the leader steps down if a renewal takes longer
than the renewal interval. Unlike in the guide, a renewal that was certainly not executed (503, 429, connection refused)
does not count as slow and is retried. If the validity expires during these retries, the leader only stops acting: if a
later renewal finds that the lease still exists (leases do not expire during an outage of the store), this controller
has held the key throughout, and it continues with the same term.

In degraded mode, leases are renewed with higher fencing tokens than the leader's (`peers/degraded_mode.py`). So a
leader that has promised its peers not to act needs a higher token before it acts again. It rewrites the key: the new
revision is higher than every token used in degraded mode, and lower than the term of every later leader."""

from __future__ import annotations

import logging
import random

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.leadership.election import ControllerLabels, ElectionCallbacks
from sorrelsill.leadership.fencing_token import FencingToken
from sorrelsill.leadership.leader_key import LeaderKey
from sorrelsill.leadership.leader_key_writer import KeyRewrite, LeaderKeyWriter
from sorrelsill.leadership.watchdog import Watchdog
from sorrelsill.settings import Timings
from sorrelsill.store import LEADER, AmbiguousError, KeyValueStore, UnavailableError, WatchCache

log = logging.getLogger(__name__)

_NEVER = float("-inf")
_MAX_ACQUIRE_TIMEOUT_S = 10.0
_MIN_CAMPAIGN_WAIT_S = 0.02  # lower bound of the wait for `promised_until` and `no_campaign_before`


class LeaderElector:
    """Campaigns for the leader key, renews its lease and resigns."""

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        timings: Timings,
        labels: ControllerLabels,
        watchdog: Watchdog,
        rng: random.Random,
        callbacks: ElectionCallbacks,
    ) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._timings = timings
        self._label = labels.own
        self._next_label = labels.next_label()
        self._watchdog = watchdog
        self._rng = rng
        self._key_writer = LeaderKeyWriter(store, labels.own, rng)
        self._callbacks = callbacks
        self._latest_leader: str | None = None  # as last seen in the watch cache
        self._previous_leader: str | None = None
        self._resigned = False
        self.term: int | None = None
        self._fencing_token = FencingToken()
        self._higher_token_requested = False
        self._lease: int | None = None
        self.last_renewal_sent_at = _NEVER  # successful renewals only
        # This controller has promised its peers neither to acquire the key nor to act as leader before this time.
        self.promised_until = _NEVER
        # This controller does not try to acquire the key before this time. Set at its start, as its previous process
        # may have given a promise, after a term that ended without heartbeats from workers, and for a planned shutdown.
        self.no_campaign_before = _NEVER
        self.acquiring = False  # an attempt to acquire the key is in progress; no promise may be given meanwhile
        self._revoked_leases: set[int] = set()  # leases of earlier processes of this controller; each is revoked once
        self._leader_key_changed = trio.Event()
        watch_cache.listeners.append(self.on_key_changed)

    def valid(self) -> bool:
        """Whether this controller may act as leader now."""
        now = trio.current_time()
        return (
            self.term is not None
            and now - self.last_renewal_sent_at < self._timings.validity_s
            and now >= self.promised_until
            and not self._fencing_token.may_be_exceeded(self.promised_until)
            and not self._watchdog.stalled_loops()
        )

    @property
    def fencing_token(self) -> int | None:
        """The leader's fencing token, which is the revision of its last write of the leader key; None for followers."""
        return self._fencing_token.current

    @property
    def highest_fencing_token(self) -> int:
        """The highest fencing token that this process has led with; 0 if it has never led."""
        return self._fencing_token.highest

    def leader_label(self) -> str | None:
        """The label of the current leader according to the watch cache."""
        known = self._watch_cache.leader()
        return LeaderKey.from_stored(known[0]).label if known is not None else None

    async def wait_for_leader(self, timeout_s: float) -> None:
        """Return when this controller leads or the watch cache names another leader, or after `timeout_s` seconds."""
        with trio.move_on_after(timeout_s):
            while not self.valid() and self.leader_label() in (None, self._label):
                await self._leader_key_changed.wait()

    @property
    def previous_leader(self) -> str | None:
        """The label of the leader before this controller; meaningful only while this controller leads."""
        return self._previous_leader

    def on_key_changed(self, key: str, value: object, rev: int) -> None:
        """Watch cache listener; `value` is None if the key was deleted."""
        if key != LEADER:
            return
        if value is not None:
            self._previous_leader, self._latest_leader = self._latest_leader, self.leader_label()
        if self.fencing_token is not None and rev > self.fencing_token and not self._is_own_key(value):
            # The key was deleted or changed hands: stop acting, even if the lease is still valid by the local clock.
            self._step_down("the leader key is gone")
        self._notify_leader_changed()

    def _notify_leader_changed(self) -> None:
        self._leader_key_changed.set()
        self._leader_key_changed = trio.Event()

    def _is_own_key(self, value: object) -> bool:
        """Whether a value of the leader key was written by this leader: nobody else uses its lease."""
        return self._lease is not None and LeaderKey.from_stored(value).lease == self._lease

    def observe_fencing_token(self, fencing_token: int) -> None:
        """Step down if a worker has seen a higher fencing token: another controller was elected after this one."""
        if self.fencing_token is not None and fencing_token > self.fencing_token:
            self._step_down(f"a worker has seen fencing token {fencing_token}")

    def request_higher_token(self) -> None:
        """Have the leader key rewritten with the next lease renewal, to get a token that no worker has seen yet."""
        self._higher_token_requested = True

    async def resign(self) -> None:
        """Stop leading and never campaign again: for a planned shutdown of the process."""
        self._resigned = True
        self.no_campaign_before = float("inf")
        lease = self._lease
        if lease is None:
            return
        self._step_down("the process stops as planned")
        await self._revoke_or_let_expire(lease, logging.INFO)

    async def run(self) -> None:
        """Run the election loop until cancelled."""
        while True:
            if self.term is not None:
                await self._maintain_leadership()
            else:
                await self._campaign()

    # --- leader ---

    def _step_down(self, reason: str) -> None:
        """Stop acting as leader at once, without revoking the lease of the key."""
        log_event(log, logging.INFO, "leading_ended", term=self.term, reason=reason)
        self.term = None
        self._fencing_token.discard()
        self._lease = None
        self.last_renewal_sent_at = _NEVER
        self._store.set_leading(False)
        self._callbacks.on_term_changed(None)

    async def _step_down_and_revoke(self, lease: int, reason: str) -> None:
        """Stop acting, then revoke the lease. In this order the term cannot overlap with the next one."""
        self._step_down(reason)
        await self._revoke_or_let_expire(lease, logging.INFO)
        await trio.sleep(self._timings.renewal_interval_s)

    async def _revoke_or_let_expire(self, lease: int, log_level: int) -> None:
        """Revoke a lease. If the key-value store does not answer, the lease expires by itself."""
        try:
            await self._store.revoke(lease, self._timings.renewal_interval_s)
        except (UnavailableError, AmbiguousError) as error:
            log_event(log, log_level, "lease_not_revoked", lease=lease, reason=str(error))

    async def _maintain_leadership(self) -> None:
        """Step down, or renew the lease once. Returns when the next renewal is due or the term is over."""
        assert self._lease is not None and self.term is not None
        stalled = self._watchdog.stalled_loops()
        if stalled:
            log_event(log, logging.ERROR, "loops_stalled", term=self.term, loops=",".join(stalled))
            await self._step_down_and_revoke(self._lease, "loops stalled or exited")
            return
        if self.valid() and self._callbacks.receives_no_heartbeats():
            # Guards against a leader that reaches the store but not the workers: all worker leases would expire.
            # Only while the lease is valid: after a pause of this process the missing heartbeats prove nothing, and
            # the next renewal shows whether this controller still leads.
            log_event(log, logging.ERROR, "no_worker_heard", term=self.term)
            self.no_campaign_before = trio.current_time() + constants.NO_HEARTBEAT_STANDBY_S
            await self._step_down_and_revoke(self._lease, "no worker is heard")
            return
        term, lease = self.term, self._lease
        if self._may_raise_fencing_token():
            await self._raise_fencing_token(term, lease)
        if self.term == term:
            await self._renew(term, lease)

    def _may_raise_fencing_token(self) -> bool:
        """Whether a higher token is needed and may be requested: no promise is in force, so no controller renews leases
        with a token derived from the new one, and the last renewal shows that the store is reachable."""
        return (
            (self._higher_token_requested or self._fencing_token.may_be_exceeded(self.promised_until))
            and trio.current_time() >= self.promised_until
            and not self._validity_expired(self.last_renewal_sent_at)
        )

    async def _raise_fencing_token(self, term: int, lease: int) -> None:
        """Try once to rewrite the leader key, whose new revision is the new fencing token."""
        assert self.fencing_token is not None
        interval_s = self._timings.renewal_interval_s
        requested_at = trio.current_time()
        rewrite: KeyRewrite | None = None
        self.acquiring = True
        try:
            with trio.move_on_after(interval_s):
                rewrite = await self._key_writer.rewrite(lease, self.fencing_token)
        except (UnavailableError, AmbiguousError) as error:
            log_event(log, logging.DEBUG, "fencing_token_not_raised", term=term, reason=str(error))
        finally:
            self.acquiring = False
        if rewrite is None:
            await trio.sleep(interval_s / 3)
        if rewrite is None or self.term != term:
            return
        if rewrite.key is None:
            self._step_down("the leader key is gone")
            return
        if not rewrite.done:
            self._fencing_token.adopt(rewrite.rev)
            return
        self._fencing_token.set(rewrite.rev, requested_at)
        self._higher_token_requested = False
        self._watch_cache.apply_change(LEADER, rewrite.key.to_stored(), rewrite.rev, True)
        log_event(log, logging.INFO, "fencing_token_raised", term=term, token=rewrite.rev)
        self._callbacks.on_fencing_token_raised(rewrite.rev)

    async def _renew(self, term: int, lease: int) -> None:
        """Renew the lease once, then sleep until the next renewal is due."""
        interval_s = self._timings.renewal_interval_s
        sent_at = trio.current_time()
        try:
            renewed = await self._store.renew(lease, interval_s)
        except UnavailableError as error:
            log_event(log, logging.DEBUG, "renewal_refused", term=term, reason=str(error))
            await trio.sleep(interval_s / 3)
            return
        except AmbiguousError as error:
            await self._step_down_and_revoke(lease, f"lease renewal without an answer: {error}")
            return
        if renewed:
            if self.term == term:
                self._record_renewal(sent_at)
            await trio.sleep_until(max(self._next_step_at(sent_at + interval_s), trio.current_time()))
        elif self.term == term:
            self._step_down("the lease has ended")
        else:
            await trio.sleep(interval_s)

    def _next_step_at(self, renewal_due_at: float) -> float:
        """When to renew the lease next, or earlier, when the fencing token may be raised."""
        exceeded = self._fencing_token.may_be_exceeded(self.promised_until)
        return min(renewal_due_at, self.promised_until) if exceeded else renewal_due_at

    def _record_renewal(self, sent_at: float) -> None:
        if sent_at - self.last_renewal_sent_at >= self._timings.validity_s:
            log_event(log, logging.INFO, "leading_again", term=self.term)
        self.last_renewal_sent_at = sent_at

    # --- follower ---

    async def _campaign(self) -> None:
        """Wait until the leader key is deleted, then try to acquire it."""
        changed = self._leader_key_changed
        now = trio.current_time()
        key_is_free = self._watch_cache.loaded and self._watch_cache.leader() is None
        if self._watch_cache.loaded and await self._revoke_previous_lease():
            return
        wait_s = max(self.promised_until, self.no_campaign_before) - now
        if not key_is_free or self._watchdog.stalled_loops() or wait_s > 0:
            must_wait = key_is_free and wait_s > 0
            with trio.move_on_after(
                max(wait_s, _MIN_CAMPAIGN_WAIT_S) if must_wait else self._timings.renewal_interval_s
            ):
                await changed.wait()
            return
        await trio.sleep(self._rng.random() * constants.ACQUIRE_JITTER_S)
        await self._defer_to_other_candidates()
        if self._watch_cache.leader() is not None:
            return
        self.acquiring = True
        try:
            await self._acquire()
        except (UnavailableError, AmbiguousError) as error:
            log_event(log, logging.DEBUG, "acquiring_failed", reason=str(error))
            self.acquiring = False
            await trio.sleep(min(self._timings.renewal_interval_s, constants.RETRY_PAUSE_S * 2))
        finally:
            self.acquiring = False

    async def _defer_to_other_candidates(self) -> None:
        """Let other candidates try first if this controller directly precedes the former leader in the workers' order.

        Workers whose controller does not answer try the next one in order; each controller that does not answer costs
        them up to 5 s of their lease. If this controller led and failed while the former leader is still down, workers
        would try two unreachable controllers in a row, which takes most of their lease. After the failure of any other
        leader they would try only one."""
        former = self._latest_leader
        if former is None or former != self._next_label:
            return
        if await self._callbacks.has_other_candidates(former):
            await trio.sleep(constants.ACQUIRE_DEFER_S)

    async def _revoke_previous_lease(self) -> bool:
        """Revoke the lease of the leader key if an earlier process of this controller holds it. Returns True if so.

        After a quick restart the key may still be held by the previous process, which has certainly ended, or may
        have been written by a delayed request of that process. Nobody renews the lease of that process; revoking it
        avoids waiting for its expiry."""
        known = self._watch_cache.leader()
        key = LeaderKey.from_stored(known[0] if known is not None else None)
        if key.label != self._label or key.lease is None or key.lease in self._revoked_leases:
            return False
        self._revoked_leases.add(key.lease)
        log_event(log, logging.INFO, "revoking_previous_lease", lease=key.lease)
        await self._revoke_or_let_expire(key.lease, logging.DEBUG)
        return True

    async def _acquire(self) -> None:
        """Try once to acquire the key with a new lease."""
        timeout_s = min(_MAX_ACQUIRE_TIMEOUT_S, self._timings.lease_s / 3)
        sent_at = trio.current_time()
        lease = await self._store.grant(self._timings.lease_s, timeout_s)
        created = await self._key_writer.create(lease)
        if created is None:
            await self._store.revoke(lease, timeout_s)
            await trio.sleep(self._timings.renewal_interval_s / 3)
            return
        if not await self._wait_for_watch_cache(created.rev, sent_at) or self._resigned:
            # `_resigned` guards against a write of the key that was in flight when the process was told to stop.
            await self._store.revoke(lease, timeout_s)
            return
        self._begin_term(created.rev, created.key, sent_at)

    async def _wait_for_watch_cache(self, term: int, sent_at: float) -> bool:
        """Wait until the watch cache has reached the revision of the new term.

        Returns False if the validity of the lease, which was requested at `sent_at`, expires first.

        The wait is needed because the watch cache may have been loaded page by page while the former leader was still
        writing."""
        while self._watch_cache.rev < term:
            if self._validity_expired(sent_at):
                return False
            if not await self._watch_cache.read_barrier():
                await trio.sleep(constants.RETRY_PAUSE_S / 5)
        # Guards against beginning an expired term if the process was paused during the last read.
        return not self._validity_expired(sent_at)

    def _validity_expired(self, sent_at: float) -> bool:
        return trio.current_time() - sent_at >= self._timings.validity_s

    def _begin_term(self, term: int, key: LeaderKey, sent_at: float) -> None:
        self.term, self._lease = term, key.lease
        self._higher_token_requested = False
        self._fencing_token.set(term, sent_at)
        self.last_renewal_sent_at = sent_at
        self._store.set_leading(True)
        self._watch_cache.apply_change(LEADER, key.to_stored(), term, True)
        log_event(
            log,
            logging.INFO,
            "leading",
            term=term,
            lease_s=self._timings.lease_s,
            view_revision=self._watch_cache.rev,
            view_age_s=trio.current_time() - self._watch_cache.fresh_at,
        )
        self._callbacks.on_term_changed(term)
        self._notify_leader_changed()
