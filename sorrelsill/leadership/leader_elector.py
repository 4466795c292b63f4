"""One controller leads: it holds `s/leader`, a key attached to a lease in the state service.

The term is that key's revision; it is the workers' fencing token. The leader pings (renews its lease) every
sixth of the lease and acts only while its last good ping was *sent* less than two thirds of the lease
ago. Since the key cannot go before a whole lease after the last renewal arrived, another controller can
take it only when this one has stopped acting.

After Strøm's guide a ping slower than its interval makes the leader yield. Beyond the guide: an answer
that says 'not carried out' (503, 429, refused) is no slow ping, and is repeated. When the validity runs
out that way the leader only pauses: if a later ping still finds the lease, the key was ours all along
(leases stand still during an outage of the store), and it goes on with the same term."""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable, Sequence

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.settings import Timings
from sorrelsill.store import LEADER, AmbiguousError, Compare, KeyValueStore, Put, UnavailableError, WatchCache

log = logging.getLogger(__name__)


class Watchdog:
    """Beats of the leader's loops. A loop without a beat for the stall limit, or that exited, is out."""

    def __init__(self, stall_s: float, release_s: float) -> None:
        self._stall_s = stall_s
        self._release_s = release_s
        self._beats: dict[str, float] = {}
        self._exited: set[str] = set()
        self._asked_at = trio.current_time()

    def beat(self, loop: str) -> None:
        """The loop goes on."""
        self._beats[loop] = trio.current_time()

    def exited(self, loop: str) -> None:
        """The loop has ended for good."""
        self._exited.add(loop)

    def out(self) -> list[str]:
        """Loops that are stalled past limit and release time, or gone; the leader yields if any is."""
        now = trio.current_time()
        unwatched = now - self._asked_at
        self._asked_at = now
        if unwatched >= self._stall_s:
            # Guards against a process that stood still as a whole and, on waking, takes its loops for stalled.
            self._beats = {name: at + unwatched for name, at in self._beats.items()}
        limit = self._stall_s + self._release_s
        stalled = [n for n, at in self._beats.items() if now - at > limit]
        return sorted(self._exited | set(stalled))


def next_in_order(label: str, others: Sequence[str]) -> str | None:
    """The controller that workers try after this one: they go through all in the order of the labels' numbers."""
    order = sorted({label, *others}, key=lambda name: (len(name), name))
    return order[(order.index(label) + 1) % len(order)] if len(order) > 1 else None


async def _nobody(former: str) -> bool:
    """Whether other controllers may take the key, for one that knows of none."""
    return False


class LeaderElector:
    """The loop that keeps, loses and takes the key."""

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        timings: Timings,
        label: str,
        watchdog: Watchdog,
        rng: random.Random,
        others: Sequence[str] = (),
        on_term: Callable[[int | None], None] = lambda term: None,
        hears_no_worker: Callable[[], bool] = lambda: False,
        other_candidates: Callable[[str], Awaitable[bool]] = _nobody,
    ) -> None:
        """`on_term` is told of each term that begins, and None when one ends; `hears_no_worker` says whether we lead
        but hear no worker any more; `other_candidates` whether any but the former leader could take the key now."""
        self._store = store
        self._watch_cache = watch_cache
        self._t = timings
        self._label = label
        self._watchdog = watchdog
        self._rng = rng
        self._next_label = next_in_order(label, others)
        self._former: str | None = None  # who led last, as far as we followed
        self._predecessor: str | None = None  # and who before that
        self._resigned = False
        self.term: int | None = None
        self._lease: int | None = None
        self._good_ping = float("-inf")
        self.since = float("-inf")  # when we learnt of our term
        self.promised_until = float("-inf")  # a promise to a peer: no acquiring and no acting before this
        self.acquire_after = float("-inf")  # a fresh process waits out what it may have promised before
        self._hears_no_worker = hears_no_worker
        self._ended: set[int] = set()  # leases of earlier processes of ours that we tried to end, once each
        self.acquiring = False  # a try for the key is under way, so no promise can be given
        self._on_term = on_term
        self._other_candidates = other_candidates
        self._changed = trio.Event()
        watch_cache.listeners.append(self._seen)

    def valid(self) -> bool:
        """Whether this controller may act as leader at this very moment."""
        now = trio.current_time()
        return (
            self.term is not None
            and now - self._good_ping < self._t.validity_s
            and now >= self.promised_until
            and not self._watchdog.out()
        )

    def leader_label(self) -> str | None:
        """Who leads as far as the view tells."""
        known = self._watch_cache.leader()
        if known is None or not isinstance(known[0], dict):
            return None
        label = known[0].get("label")
        return label if isinstance(label, str) else None

    def _seen(self, key: str, value: object, rev: int) -> None:
        if key != LEADER:
            return
        if value is not None:
            self._predecessor, self._former = self._former, self.leader_label()
        if self.term is not None and (value is None and rev > self.term or value is not None and rev > self.term):
            # The key went or changed hands; act no more, whatever our own clock says.
            self._drop("the leader key is gone")
        self._changed.set()
        self._changed = trio.Event()

    def _drop(self, reason: str) -> None:
        log_event(log, logging.INFO, "leading_ended", term=self.term, reason=reason)
        self.term = None
        self._lease = None
        self._good_ping = float("-inf")
        self._store.set_leading(False)
        self._on_term(None)

    def fenced(self, fencing_token: int) -> None:
        """A worker has seen a higher fencing token: another controller leads, or led, after us."""
        if self.term is not None and fencing_token > self.term:
            self._drop(f"a worker has seen fencing token {fencing_token}")

    @property
    def predecessor(self) -> str | None:
        """While we lead: the controller that led before us."""
        return self._predecessor

    async def resign(self) -> None:
        """Lead no more, and leave the key to others from now on: the process stops as planned."""
        self._resigned = True
        self.acquire_after = float("inf")
        lease = self._lease
        if lease is None:
            return
        self._drop("the process stops as planned")
        try:
            await self._store.revoke(lease, self._t.ping_s)
        except (UnavailableError, AmbiguousError) as error:
            log.info("the key could not be given back (%s); it ends with its lease", error)

    async def run(self) -> None:
        """Keep, lose and take the key for ever."""
        while True:
            if self.term is not None:
                await self._keep()
            else:
                await self._seek()

    async def _keep(self) -> None:
        """Ping; on return either all is well and it slept till the next ping, or the term is over."""
        assert self._lease is not None and self.term is not None
        term, lease = self.term, self._lease
        out = self._watchdog.out()
        if out:
            log.error("yielding: loops stalled or exited: %s", ", ".join(out))
            await self._yield(lease, "loops stalled or exited")
            return
        if self.valid() and self._hears_no_worker():
            # Only while valid: one that stood still itself heard nobody either; its pings tell whether it still leads.
            # Guards against a leader that reaches the store but not the workers: their leases would all run out.
            log.error("yielding: no worker is heard any more")
            self.acquire_after = trio.current_time() + constants.NO_HEARTBEAT_STANDBY_S
            await self._yield(lease, "no worker is heard")
            return
        sent_at = trio.current_time()
        pause = self._t.ping_s
        try:
            if await self._store.renew(lease, self._t.ping_s):
                if self.term == term:
                    if sent_at - self._good_ping >= self._t.validity_s:
                        log.info("the lease of term %d held; leading again", term)
                    self._good_ping = sent_at
                pause = max(0.0, sent_at + self._t.ping_s - trio.current_time())
            elif self.term == term:
                self._drop("the lease has ended")
                return
        except UnavailableError as error:
            log.debug("ping not taken: %s", error)
            pause = self._t.ping_s / 3
        except AmbiguousError as error:
            await self._yield(lease, f"ping without an answer: {error}")
            return
        await trio.sleep(pause)

    async def _yield(self, lease: int, reason: str) -> None:
        """Stop acting first, give the key back second: so no overlap comes from us."""
        self._drop(reason)
        try:
            await self._store.revoke(lease, self._t.ping_s)
        except (UnavailableError, AmbiguousError) as error:
            log.info("the key could not be given back (%s); it ends with its lease", error)
        await trio.sleep(self._t.ping_s)

    async def _seek(self) -> None:
        """Warm follower: wait for the key to go, then try to take it."""
        changed = self._changed
        now = trio.current_time()
        free = self._watch_cache.loaded and self._watch_cache.leader() is None
        if self._watch_cache.loaded and await self._end_former():
            return
        wait = max(self.promised_until, self.acquire_after) - now
        if not free or self._watchdog.out() or wait > 0:
            with trio.move_on_after(max(wait, 0.02) if free and wait > 0 else self._t.ping_s):
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
            log.debug("acquiring: %s", error)
            self.acquiring = False
            await trio.sleep(min(self._t.ping_s, constants.RETRY_S * 2))
        finally:
            self.acquiring = False

    async def _defer(self) -> None:
        """Let others try for the key first, if this controller comes right before the former leader.

        Workers whose controller does not answer go on to the next one in order, and each that does not answer either
        costs them up to 5 s of their lease. With the former leader down, a leader right before it would, should it
        freeze or end as well, be two unreachable controllers away from the next: most of a lease. Any other is one."""
        former = self._former
        if former is not None and former == self._next_label and await self._other_candidates(former):
            await trio.sleep(constants.ACQUIRE_DEFER_S)

    async def _end_former(self) -> bool:
        """A process that is back at once finds the key of its former self, which is dead for certain, or one that a
        request of its former self took after its end. Nobody pings it: ending it spares the wait for its lease."""
        known = self._watch_cache.leader()
        value = known[0] if known is not None else None
        if not isinstance(value, dict) or value.get("label") != self._label:
            return False
        lease = value.get("lease")
        if not isinstance(lease, int) or lease in self._ended:
            return False
        self._ended.add(lease)
        log.info("ending the lease of an earlier process of ours")
        try:
            await self._store.revoke(lease, self._t.ping_s)
        except (UnavailableError, AmbiguousError) as error:
            log.debug("it ends by itself: %s", error)
        return True

    async def _acquire(self) -> None:
        timeout = min(10.0, self._t.lease_s / 3)
        sent_at = trio.current_time()
        lease = await self._store.grant(self._t.lease_s, timeout)
        nonce = f"{self._rng.getrandbits(64):016x}"
        value = {"label": self._label, "nonce": nonce, "lease": lease}
        try:
            txn = await self._store.commit([Compare(LEADER, 0)], [Put(LEADER, value, lease)], urgent=True)
            term = txn.rev if txn.ok else None
        except AmbiguousError:
            # The answer is lost, not necessarily the write: read back and compare the nonce.
            found = await self._store.get(LEADER)
            ours = found is not None and isinstance(found[0], dict) and found[0].get("nonce") == nonce
            term = found[1] if found is not None and ours else None
        if term is None:
            await self._store.revoke(lease, timeout)
            await trio.sleep(self._t.ping_s / 3)
            return
        if trio.current_time() - sent_at >= self._t.validity_s:
            # Slow answers ate the lease's first part: no good ping to act on, so let it go.
            await self._store.revoke(lease, timeout)
            return
        # The view may have been read page by page while the old leader still wrote: rebuild from one that
        # holds everything up to our own term.
        while self._watch_cache.rev < term:
            if trio.current_time() - sent_at >= self._t.validity_s:
                await self._store.revoke(lease, timeout)
                return
            if not await self._watch_cache.read_barrier():
                await trio.sleep(constants.RETRY_S / 5)
        if trio.current_time() - sent_at >= self._t.validity_s:
            # Guards against a process that stood still during the last read and would begin a term that is over.
            await self._store.revoke(lease, timeout)
            return
        if self._resigned:
            # Guards against a key that was on its way when the process was told to stop.
            await self._store.revoke(lease, timeout)
            return
        self.term, self._lease = term, lease
        self._good_ping = sent_at
        self.since = trio.current_time()
        self._store.set_leading(True)
        self._watch_cache.apply_change(LEADER, value, term, True)
        view_age_s = self.since - self._watch_cache.fresh_at
        log_event(
            log,
            logging.INFO,
            "leading",
            term=term,
            lease_s=self._t.lease_s,
            view_revision=self._watch_cache.rev,
            view_age_s=view_age_s,
        )
        self._on_term(term)
