"""Degraded mode: our extension for when no controller can reach the key-value store.

Then nobody can renew the leader's lease, so nobody may lead, and without answers the workers' leases would run out and
all tasks be killed. So controllers promise each other for a few seconds to neither acquire the key nor act
as leader. A controller promises only if it cannot reach the store itself. Whoever holds such promises
from *all* members may answer heartbeats with the fencing token the worker already has and with no commands: this
renews leases and does nothing else. Nothing is started or declared lost meanwhile, and whoever leads
next counts every silent worker's lease from the end of the promises it knows of.

Leases are renewed only as far as all cancellations are certain to be known (`jobs/cancellations.py`), so controllers
tell each other what they know with each promise.

A fresh process may have promised before it died, so it waits one promise out before it acquires."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.http import Client, NoAnswerError, NotSentError
from sorrelsill.jobs import Cancellations
from sorrelsill.leadership import LeaderElector
from sorrelsill.peers.messages import PromiseAnswer, PromiseRequest
from sorrelsill.settings import Member
from sorrelsill.store import KeyValueStore

log = logging.getLogger(__name__)

_OK = 200
_NEVER = float("-inf")


class DegradedMode:
    """Promises between controllers that all lack the key-value store."""

    def __init__(
        self,
        store: KeyValueStore,
        elector: LeaderElector,
        members: list[Member],
        make_client: Callable[[str], Client],
        cancellations: Cancellations,
        on_promised: Callable[[float], None] = lambda until: None,
        on_cancelled: Callable[[list[str]], None] = lambda job_ids: None,
    ) -> None:
        """`on_promised` is told until when leases may be renewed by others, `on_cancelled` which jobs a peer knows to
        be cancelled that we did not know of."""
        self._store = store
        self._cancellations = cancellations
        self._elector = elector
        self._clients = [make_client(member.addr) for member in members]
        self._labels = [member.label for member in members]
        # By a peer's number among the members:
        self._promises_end_at: dict[int, float] = {}  # until when its promise counts for us
        self._failing_said_at: dict[int, float] = {}  # when it last said that it lacks the store too
        self.on_promised = on_promised
        self._on_cancelled = on_cancelled

    def active(self) -> bool:
        """Whether leases may be renewed right now: every member, ourselves included, has promised."""
        now = trio.current_time()
        if not self._clients:
            return self._elector.promised_until > now + constants.PROMISE_MARGIN_S
        return self._elector.promised_until > now and all(
            self._promises_end_at.get(peer, _NEVER) > now for peer in range(len(self._clients))
        )

    def any_peer_failing(self) -> bool:
        """Whether a peer that we can reach lacks the store as well: then it is not us alone."""
        now = trio.current_time()
        return any(now - at < 3 * constants.PROMISE_EVERY_S for at in self._failing_said_at.values())

    def _failing(self) -> bool:
        return self._store.failing_for() >= constants.PROMISE_AFTER_S

    def _promise(self) -> None:
        """From now on, and for `PROMISE_S`, this controller neither acquires the key nor acts as leader."""
        until = trio.current_time() + constants.PROMISE_S
        self._elector.promised_until = max(self._elector.promised_until, until)
        self.on_promised(self._elector.promised_until)

    def answer(self, body: bytes) -> bytes:
        """A peer asks for a promise, and what we know of cancellations. It is told those whether it gets one or not."""
        request = PromiseRequest.from_body(body)
        failing = self._failing()
        promised = request.promise and failing and not self._elector.acquiring
        if promised:
            self._promise()
        known = self._cancellations.answer_peer(request.cancellations, trio.current_time())
        return PromiseAnswer(promised, failing, known).to_body()

    async def has_other_candidates(self, former: str) -> bool:
        """Whether a controller of this version, other than the `former` leader, answers at this moment."""
        found = False

        async def ask(client: Client) -> None:
            nonlocal found
            answer = await self._call(client, False, constants.ACQUIRE_DEFER_S)
            if answer is not None and answer.has_known:
                found = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for label, client in zip(self._labels, self._clients, strict=True):
                if label != former:
                    nursery.start_soon(ask, client)
        return found

    async def _call(self, client: Client, promise: bool, timeout_s: float) -> PromiseAnswer | None:
        """Ask a peer, for a promise or only for what it knows; None if there is no proper answer."""
        request = PromiseRequest(promise, self._cancellations.peer_request(trio.current_time()))
        try:
            status, body = await client.request("POST", "/promise", request.to_body(), timeout_s)
        except (NotSentError, NoAnswerError) as error:
            log_event(log, logging.DEBUG, "no_promise_answer", peer=client.addr, reason=str(error))
            return None
        return PromiseAnswer.from_body(body) if status == _OK else None

    async def run(self) -> None:
        """Ask for promises for as long as the key-value store is missing."""
        while True:
            if self._failing() and not self._elector.acquiring:
                self._promise()
                async with trio.open_nursery() as nursery:
                    for peer, client in enumerate(self._clients):
                        nursery.start_soon(self._ask_promise, peer, client)
                await trio.sleep(constants.PROMISE_EVERY_S)
            else:
                await trio.sleep(constants.PROMISE_EVERY_S / 4)

    async def _ask_promise(self, peer: int, client: Client) -> None:
        sent_at = trio.current_time()
        answer = await self._call(client, True, constants.PEER_TIMEOUT_S)
        if answer is None:
            return
        # Before its promise counts: what is renewed on it rests on what the peer knows.
        learnt = self._cancellations.merge_peer_answer(peer, answer.known, sent_at, trio.current_time())
        if learnt:
            log_event(log, logging.INFO, "cancellations_learnt", peer=self._labels[peer], jobs=len(learnt))
            self._on_cancelled(learnt)
        if answer.failing:
            self._failing_said_at[peer] = trio.current_time()
        if answer.promised:
            # Counted from the send, and shorter than the promise: it ends here before it ends there.
            self._promises_end_at[peer] = sent_at + constants.PROMISE_S - constants.PROMISE_MARGIN_S
