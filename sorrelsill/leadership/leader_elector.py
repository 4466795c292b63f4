"""One controller leads: it holds `s/leader`, a key attached to a lease in the key-value store.

The term is that key's revision; it is the workers' fencing token. The leader renews its lease every
sixth of the lease and acts only while its last successful renewal was *sent* less than two thirds of the lease
ago. Since the key cannot go before a whole lease after the last renewal arrived, another controller can
take it only when this one has stopped acting.

After Strøm's guide a renewal slower than its interval makes the leader resign. Beyond the guide: an answer
that says 'not carried out' (503, 429, refused) is no slow renewal, and is repeated. When the validity runs
out that way the leader only pauses: if a later renewal still finds the lease, the key was ours all along
(leases stand still during an outage of the store), and it goes on with the same term."""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.leadership.leader_key import LeaderKey
from sorrelsill.leadership.watchdog import Watchdog
from sorrelsill.settings import Timings
from sorrelsill.store import LEADER, AmbiguousError, Compare, KeyValueStore, Put, UnavailableError, WatchCache

log = logging.getLogger(__name__)

_NEVER = float("-inf")
_LONGEST_ACQUIRE_TIMEOUT_S = 10.0
_SHORTEST_WAIT_S = 0.02  # before a campaign that has to wait


@dataclass(frozen=True, slots=True)
class ControllerLabels:
    """The names of the controllers of a deployment, as the settings file and the wire have them."""

    own: str
    others: Sequence[str] = ()

    def next_in_order(self) -> str | None:
        """The controller that workers try after this one: they go through all in the order of the labels' numbers."""
        order = sorted({self.own, *self.others}, key=lambda label: (len(label), label))
        return order[(order.index(self.own) + 1) % len(order)] if len(order) > 1 else None


async def _no_other_candidate(former_leader: str) -> bool:
    """For a controller that knows of no others."""
    return False


@dataclass(frozen=True, slots=True)
class ElectionCallbacks:
    """What the election tells its controller, and asks of it."""

    on_term_changed: Callable[[int | None], None] = lambda term: None  # each term that begins; None when one ends
    hears_no_worker: Callable[[], bool] = lambda: False  # we lead, but no worker's heartbeat arrives any more
    # Whether any controller but the former leader could take the key now.
    has_other_candidates: Callable[[str], Awaitable[bool]] = _no_other_candidate


class LeaderElector:
    """The loop that campaigns for the key, renews its lease and resigns."""

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
        self._next_label = labels.next_in_order()
        self._watchdog = watchdog
        self._rng = rng
        self._callbacks = callbacks
        self._last_leader: str | None = None  # as far as the watch cache told
        self._leader_before_last: str | None = None
        self._resigned = False
        self.term: int | None = None
        self._lease: int | None = None
        self.last_renewal_sent_at = _NEVER  # of the renewals that succeeded
        self.promised_until = _NEVER  # a promise to a peer: no acquiring and no acting before this
        self.acquire_after = _NEVER  # a fresh process waits out what it may have promised before
        self.acquiring = False  # an attempt at the key is under way, so no promise can be given
        self._revoked_leases: set[int] = set()  # leases of earlier processes of ours, tried once each
        self._leader_key_changed = trio.Event()
        watch_cache.listeners.append(self.on_key_changed)

    def valid(self) -> bool:
        """Whether this controller may act as leader at this very moment."""
        now = trio.current_time()
        return (
            self.term is not None
            and now - self.last_renewal_sent_at < self._timings.validity_s
            and now >= self.promised_until
            and not self._watchdog.stalled_loops()
        )

    def leader_label(self) -> str | None:
        """Who leads as far as the watch cache tells."""
        known = self._watch_cache.leader()
        return LeaderKey.from_stored(known[0]).label if known is not None else None

    @property
    def predecessor(self) -> str | None:
        """While we lead: the controller that led before us."""
        return self._leader_before_last

    def on_key_changed(self, key: str, value: object, rev: int) -> None:
        """A listener of the watch cache: `value` is None if the key was deleted."""
        if key != LEADER:
            return
        if value is not None:
            self._leader_before_last, self._last_leader = self._last_leader, self.leader_label()
        if self.term is not None and rev > self.term:
            # The key went or changed hands; act no more, whatever our own clock says.
            self._step_down("the leader key is gone")
        self._leader_key_changed.set()
        self._leader_key_changed = trio.Event()

    def fenced(self, fencing_token: int) -> None:
        """A worker has seen a higher fencing token: another controller leads, or led, after us."""
        if self.term is not None and fencing_token > self.term:
            self._step_down(f"a worker has seen fencing token {fencing_token}")

    async def resign(self) -> None:
        """Lead no more, and leave the key to others from now on: the process stops as planned."""
        self._resigned = True
        self.acquire_after = float("inf")
        lease = self._lease
        if lease is None:
            return
        self._step_down("the process stops as planned")
        await self._revoke_or_let_expire(lease, logging.INFO)

    async def run(self) -> None:
        """Campaign for the key, renew its lease and resign, for ever."""
        while True:
            if self.term is not None:
                await self._lead()
            else:
                await self._campaign()

    # --- while this controller leads ---

    def _step_down(self, reason: str) -> None:
        """Stop acting at once. The key stays with its lease."""
        log_event(log, logging.INFO, "leading_ended", term=self.term, reason=reason)
        self.term = None
        self._lease = None
        self.last_renewal_sent_at = _NEVER
        self._store.set_leading(False)
        self._callbacks.on_term_changed(None)

    async def _step_down_and_revoke(self, lease: int, reason: str) -> None:
        """Stop acting first, give the key back second: so no overlap comes from us."""
        self._step_down(reason)
        await self._revoke_or_let_expire(lease, logging.INFO)
        await trio.sleep(self._timings.renewal_interval_s)

    async def _revoke_or_let_expire(self, lease: int, log_level: int) -> None:
        """Give a lease back. If the key-value store does not answer, the lease ends by itself."""
        try:
            await self._store.revoke(lease, self._timings.renewal_interval_s)
        except (UnavailableError, AmbiguousError) as error:
            log_event(log, log_level, "lease_not_revoked", lease=lease, reason=str(error))

    async def _lead(self) -> None:
        """Renew the lease; on return either it slept till the next renewal, or the term is over."""
        assert self._lease is not None and self.term is not None
        stalled = self._watchdog.stalled_loops()
        if stalled:
            log_event(log, logging.ERROR, "loops_stalled", term=self.term, loops=",".join(stalled))
            await self._step_down_and_revoke(self._lease, "loops stalled or exited")
            return
        if self.valid() and self._callbacks.hears_no_worker():
            # Only while valid: a paused process itself heard nobody either; its renewals tell whether it still leads.
            # Guards against a leader that reaches the store but not the workers: their leases would all run out.
            log_event(log, logging.ERROR, "no_worker_heard", term=self.term)
            self.acquire_after = trio.current_time() + constants.NO_HEARTBEAT_STANDBY_S
            await self._step_down_and_revoke(self._lease, "no worker is heard")
            return
        await self._renew(self.term, self._lease)

    async def _renew(self, term: int, lease: int) -> None:
        """One lease renewal, and the sleep after it."""
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
                self._renewed(sent_at)
            await trio.sleep(max(0.0, sent_at + interval_s - trio.current_time()))
        elif self.term == term:
            self._step_down("the lease has ended")
        else:
            await trio.sleep(interval_s)

    def _renewed(self, sent_at: float) -> None:
        if sent_at - self.last_renewal_sent_at >= self._timings.validity_s:
            log_event(log, logging.INFO, "leading_again", term=self.term)
        self.last_renewal_sent_at = sent_at

    # --- while another controller leads, or none ---

    async def _campaign(self) -> None:
        """Warm follower: wait for the key to go, then try to take it."""
        changed = self._leader_key_changed
        now = trio.current_time()
        is_free = self._watch_cache.loaded and self._watch_cache.leader() is None
        if self._watch_cache.loaded and await self._revoke_previous_lease():
            return
        wait_s = max(self.promised_until, self.acquire_after) - now
        if not is_free or self._watchdog.stalled_loops() or wait_s > 0:
            must_wait = is_free and wait_s > 0
            with trio.move_on_after(max(wait_s, _SHORTEST_WAIT_S) if must_wait else self._timings.renewal_interval_s):
                await changed.wait()
            return
        await trio.sleep(self._rng.random() * constants.ACQUIRE_JITTER_S)
        await self._defer()
        if self._watch_cache.leader() is not None:
            return
        self.acquiring = True
        try:
            await self._acquire()
        except (UnavailableError, AmbiguousError) as error:
            log_event(log, logging.DEBUG, "acquiring_failed", reason=str(error))
            self.acquiring = False
            await trio.sleep(min(self._timings.renewal_interval_s, constants.RETRY_S * 2))
        finally:
            self.acquiring = False

    async def _defer(self) -> None:
        """Let others try for the key first, if this controller comes right before the former leader.

        Workers whose controller does not answer go on to the next one in order, and each that does not answer either
        costs them up to 5 s of their lease. With the former leader down, a leader right before it would, should it
        freeze or end as well, be two unreachable controllers away from the next: most of a lease. Any other is one."""
        former = self._last_leader
        if former is None or former != self._next_label:
            return
        if await self._callbacks.has_other_candidates(former):
            await trio.sleep(constants.ACQUIRE_DEFER_S)

    async def _revoke_previous_lease(self) -> bool:
        """Whether the leader key was that of an earlier process of this controller, whose lease was then given back.

        A process that is back at once finds the key of its previous one, which is dead for certain, or one that a
        request of the previous one took after its end. Nobody renews it: revoking it spares the wait for its end."""
        known = self._watch_cache.leader()
        key = LeaderKey.from_stored(known[0] if known is not None else None)
        if key.label != self._label or key.lease is None or key.lease in self._revoked_leases:
            return False
        self._revoked_leases.add(key.lease)
        log_event(log, logging.INFO, "revoking_previous_lease", lease=key.lease)
        await self._revoke_or_let_expire(key.lease, logging.DEBUG)
        return True

    async def _acquire(self) -> None:
        """Try once to take the key, with a lease of its own."""
        timeout_s = min(_LONGEST_ACQUIRE_TIMEOUT_S, self._timings.lease_s / 3)
        sent_at = trio.current_time()
        lease = await self._store.grant(self._timings.lease_s, timeout_s)
        key = LeaderKey(self._label, f"{self._rng.getrandbits(64):016x}", lease)
        term = await self._write_key(key, lease)
        if term is None:
            await self._store.revoke(lease, timeout_s)
            await trio.sleep(self._timings.renewal_interval_s / 3)
            return
        if not await self._follow_up_to(term, sent_at) or self._resigned:
            # `_resigned` guards against a key that was on its way when the process was told to stop.
            await self._store.revoke(lease, timeout_s)
            return
        self._begin_term(term, key, sent_at)

    async def _write_key(self, key: LeaderKey, lease: int) -> int | None:
        """Write the key if nobody holds it. Returns its revision, the term; None if another controller was first."""
        try:
            put = Put(LEADER, key.to_stored(), lease)
            result = await self._store.commit([Compare(LEADER, 0)], [put], urgent=True)
        except AmbiguousError:
            # The answer is lost, not necessarily the write: read back and compare the nonce.
            found = await self._store.get(LEADER)
            if found is None or LeaderKey.from_stored(found[0]).nonce != key.nonce:
                return None
            return found[1]
        return result.rev if result.ok else None

    async def _follow_up_to(self, term: int, sent_at: float) -> bool:
        """Wait until the watch cache holds everything up to our own term. False if slow answers ate the validity of the
        lease, asked for at `sent_at`: there is no renewal to act on then.

        The watch cache may have been read page by page while the old leader still wrote."""
        while self._watch_cache.rev < term:
            if self._validity_ended(sent_at):
                return False
            if not await self._watch_cache.read_barrier():
                await trio.sleep(constants.RETRY_S / 5)
        # Guards against a process that was paused during the last read and would begin a term that is over.
        return not self._validity_ended(sent_at)

    def _validity_ended(self, sent_at: float) -> bool:
        return trio.current_time() - sent_at >= self._timings.validity_s

    def _begin_term(self, term: int, key: LeaderKey, sent_at: float) -> None:
        self.term, self._lease = term, key.lease
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
