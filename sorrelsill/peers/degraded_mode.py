"""Degraded mode: an extension of the protocol for the time when no controller can reach the key-value store.

During such an outage the leader's lease cannot be renewed, so no controller may lead. Without answers to heartbeats the
worker leases would expire and all tasks would be killed. Controllers therefore promise each other not to acquire the
leader key and not to act as leader for a few seconds. A controller gives a promise only if it cannot reach the store
itself. A controller that holds promises from *all* members may answer heartbeats, which renews the workers' leases, and
stop cancelled tasks. Meanwhile no task is started or declared lost, and the next leader counts
the lease of each silent worker from the end of the promises that it knows of.

Such an answer carries a fencing token that is higher than that of every leader so far, so that a direct start which
the last leader sent and which is still in flight is refused by the worker: only that leader knows of the start, and its
job may have been cancelled. Fencing tokens are revisions of the store, so the token is one more than the highest
revision that is known here. No later leader has a lower one.

Leases are renewed only while all cancellations and revisions up to a recent time are certain to be known
(`jobs/cancellations.py`), so controllers exchange what they know with each promise.

A process may have given a promise before it crashed, so the process that replaces it waits for the duration of one
promise before it acquires the key."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.http import Client, NoAnswerError, NotSentError
from sorrelsill.jobs import Cancellations
from sorrelsill.leadership import LeaderElector
from sorrelsill.peers.messages import PromiseAnswer, PromiseRequest
from sorrelsill.settings import Member
from sorrelsill.store import KeyValueStore, WatchCache

log = logging.getLogger(__name__)

_OK = 200
_NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class DegradedModeCallbacks:
    """Callbacks of degraded mode into its controller."""

    on_renewal_promise: Callable[[float], None]  # time until which other controllers may renew leases
    # cancelled jobs that a peer reported and that were not known here
    on_peer_cancellations: Callable[[list[str]], None]


class DegradedMode:
    """Exchanges promises with the other controllers while none of them can reach the key-value store."""

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        elector: LeaderElector,
        members: list[Member],
        make_client: Callable[[str], Client],
        cancellations: Cancellations,
        callbacks: DegradedModeCallbacks,
    ) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._cancellations = cancellations
        self._elector = elector
        self._clients = [make_client(member.addr) for member in members]
        self._labels = [member.label for member in members]
        # Both are keyed by the index of the peer in `members`.
        self._promise_valid_until: dict[int, float] = {}  # until when a promise of the peer is relied on
        self._reported_failing_at: dict[int, float] = {}  # when the peer last reported that it cannot reach the store
        self._highest_peer_revision = 0  # of the store, as known to any peer
        self.on_renewal_promise = callbacks.on_renewal_promise
        self._on_peer_cancellations = callbacks.on_peer_cancellations

    def active(self) -> bool:
        """Whether leases may be renewed now: all members, including this one, are bound by a promise."""
        now = trio.current_time()
        if not self._clients:
            return self._elector.promised_until > now + constants.PROMISE_MARGIN_S
        return self._elector.promised_until > now and all(
            self._promise_valid_until.get(peer, _NEVER) > now for peer in range(len(self._clients))
        )

    def highest_revision(self) -> int:
        """The highest revision of the store that is known here; 0 if none is."""
        return max(self._watch_cache.rev, self._elector.highest_fencing_token, self._highest_peer_revision)

    def renewal_token(self, reported_token: int) -> int:
        """The fencing token for an answer that renews the lease of a worker that reports this token."""
        revision = self.highest_revision()
        return max(reported_token, revision + 1) if revision else reported_token

    def any_peer_store_failing(self) -> bool:
        """Whether a peer has recently answered that it cannot reach the store either. If so, the fault is not local to
        this controller."""
        now = trio.current_time()
        return any(now - at < 3 * constants.PROMISE_EVERY_S for at in self._reported_failing_at.values())

    def _observe_watch_cache(self) -> None:
        """Update what is certain to be known here. Heartbeats do so too, but this controller may have received none."""
        self._cancellations.observe_watch_cache(self._watch_cache.followed_since, self._watch_cache.fresh_at)

    def _is_store_failing(self) -> bool:
        return self._store.failing_for() >= constants.PROMISE_AFTER_S

    def _make_promise(self) -> None:
        """For `PROMISE_S` from now, neither acquire the leader key nor act as leader."""
        until = trio.current_time() + constants.PROMISE_S
        self._elector.promised_until = max(self._elector.promised_until, until)
        self.on_renewal_promise(self._elector.promised_until)

    def answer_promise_request(self, body: bytes) -> bytes:
        """Answer a peer that asks for a promise. The answer lists known cancellations even if no promise is given."""
        request = PromiseRequest.from_body(body)
        self._observe_watch_cache()
        failing = self._is_store_failing()
        promised = request.promise and failing and not self._elector.acquiring
        if promised:
            self._make_promise()
        known = self._cancellations.answer_peer(request.cancellations, trio.current_time())
        return PromiseAnswer(promised, failing, known, self.highest_revision()).to_body()

    async def has_other_candidates(self, former: str) -> bool:
        """Whether a controller of this version other than the `former` leader answers now. The previous version does
        not count; its answers lack the field `known`."""
        found = False

        async def ask(client: Client) -> None:
            nonlocal found
            answer = await self._send_request(client, False, constants.ACQUIRE_DEFER_S)
            if answer is not None and answer.has_known:
                found = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for label, client in zip(self._labels, self._clients, strict=True):
                if label != former:
                    nursery.start_soon(ask, client)
        return found

    async def _send_request(self, client: Client, promise: bool, timeout_s: float) -> PromiseAnswer | None:
        """Ask a peer for a promise, or only for the cancellations it knows. Returns None without a valid answer."""
        self._observe_watch_cache()
        request = PromiseRequest(promise, self._cancellations.peer_request(trio.current_time()))
        try:
            status, body = await client.request("POST", "/promise", request.to_body(), timeout_s)
        except (NotSentError, NoAnswerError) as error:
            log_event(log, logging.DEBUG, "no_promise_answer", peer=client.addr, reason=str(error))
            return None
        return PromiseAnswer.from_body(body) if status == _OK else None

    async def run(self) -> None:
        """Ask for promises while the key-value store cannot be reached."""
        while True:
            if self._is_store_failing() and not self._elector.acquiring:
                self._make_promise()
                async with trio.open_nursery() as nursery:
                    for peer, client in enumerate(self._clients):
                        nursery.start_soon(self._ask_promise, peer, client)
                await trio.sleep(constants.PROMISE_EVERY_S)
            else:
                await trio.sleep(constants.PROMISE_EVERY_S / 4)

    async def _ask_promise(self, peer: int, client: Client) -> None:
        sent_at = trio.current_time()
        answer = await self._send_request(client, True, constants.PEER_TIMEOUT_S)
        if answer is None:
            return
        # Merged before the promise takes effect: renewals that rely on the promise depend on these cancellations.
        self._highest_peer_revision = max(self._highest_peer_revision, answer.revision or 0)
        new_job_ids = self._cancellations.merge_peer_answer(
            peer, answer.known, sent_at, trio.current_time(), complete=answer.revision is not None
        )
        if new_job_ids:
            log_event(log, logging.INFO, "cancellations_learnt", peer=self._labels[peer], jobs=len(new_job_ids))
            self._on_peer_cancellations(new_job_ids)
        if answer.failing:
            self._reported_failing_at[peer] = trio.current_time()
        if answer.promised:
            # Counted from when the request was sent, less a margin: this controller must stop relying on the promise
            # before the promise ends at the peer.
            self._promise_valid_until[peer] = sent_at + constants.PROMISE_S - constants.PROMISE_MARGIN_S
