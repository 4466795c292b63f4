"""Standstill: our extension for when no controller can reach the state service.

Then nobody can ping, so nobody may lead, and without answers the workers' leases would run out and all
tasks be killed. So controllers promise each other for a few seconds to neither acquire the key nor act
as leader. A controller promises only if it cannot reach the store itself. Whoever holds such promises
from *all* members may answer reports with the fencing token the worker already has and with no orders: this
renews leases and does nothing else. Nothing is started or declared lost meanwhile, and whoever leads
next counts every silent worker's lease from the end of the promises it knows of.

Leases are renewed only as far as all cancellations are certain to be known (`jobs/cancellations.py`), so controllers
tell each other what they know with each promise.

A fresh process may have promised before it died, so it waits one promise out before it acquires."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import orjson
import trio

from sorrelsill import constants
from sorrelsill.http import Client, NoAnswerError, NotSentError
from sorrelsill.jobs import Cancellations
from sorrelsill.leadership import LeaderElector
from sorrelsill.settings import Member
from sorrelsill.store import KeyValueStore

log = logging.getLogger(__name__)


class DegradedMode:
    """Promises between controllers that all lack the state service."""

    def __init__(
        self,
        store: KeyValueStore,
        elector: LeaderElector,
        members: list[Member],
        client: Callable[[str], Client],
        cancellations: Cancellations,
        on_bound: Callable[[float], None] = lambda until: None,
        on_cancelled: Callable[[list[str]], None] = lambda job_ids: None,
    ) -> None:
        """`on_bound` is told until when leases may be renewed by others, `on_cancelled` which jobs a peer knows to be
        cancelled that we did not know of."""
        self._store = store
        self._cancellations = cancellations
        self._elector = elector
        self._clients = [client(m.addr) for m in members]
        self._labels = [m.label for m in members]
        self._held: dict[int, float] = {}  # peer -> until when its promise holds for us
        self._failing_peers: dict[int, float] = {}  # peer -> when it last said that it lacks the store too
        self.on_bound = on_bound
        self._on_cancelled = on_cancelled

    def active(self) -> bool:
        """Whether leases may be renewed right now: every member, ourselves included, is bound."""
        now = trio.current_time()
        if not self._clients:
            return self._elector.promised_until > now + constants.PROMISE_MARGIN_S
        return self._elector.promised_until > now and all(
            self._held.get(i, float("-inf")) > now for i in range(len(self._clients))
        )

    def others_fail_too(self) -> bool:
        """Whether a peer that we can reach lacks the store as well: then it is not us alone."""
        now = trio.current_time()
        return any(now - at < 3 * constants.PROMISE_EVERY_S for at in self._failing_peers.values())

    def _failing(self) -> bool:
        return self._store.failing_for() >= constants.PROMISE_AFTER_S

    def _bind(self) -> float:
        until = trio.current_time() + constants.PROMISE_S
        self._elector.promised_until = max(self._elector.promised_until, until)
        self.on_bound(self._elector.promised_until)
        return until

    def answer(self, body: bytes) -> bytes:
        """A peer asks for a promise, and what we know of cancellations. It is told those whether it gets one or not."""
        try:
            asked = orjson.loads(body)
        except orjson.JSONDecodeError:
            asked = None
        if not isinstance(asked, dict):
            asked = {}
        failing = self._failing()
        promised = bool(asked.get("promise")) and failing and not self._elector.acquiring
        if promised:
            self._bind()
        known = self._cancellations.answer_peer(asked, trio.current_time())
        return orjson.dumps({"promised": promised, "failing": failing, "known": known})

    async def other_candidates(self, former: str) -> bool:
        """Whether a controller of this version, other than the `former` leader, answers at this moment."""
        found = False

        async def ask(client: Client) -> None:
            nonlocal found
            answer = await self._call(client, False, constants.ACQUIRE_DEFER_S)
            if answer is not None and "known" in answer:  # the version before this one sends no such field
                found = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for label, client in zip(self._labels, self._clients, strict=True):
                if label != former:
                    nursery.start_soon(ask, client)
        return found

    async def _call(self, client: Client, promise: bool, timeout_s: float) -> dict[str, Any] | None:
        """Ask a peer, for a promise or only for what it knows; None if there is no proper answer."""
        body = orjson.dumps({"promise": promise, **self._cancellations.peer_request(trio.current_time())})
        try:
            status, raw = await client.request("POST", "/promise", body, timeout_s)
            answer = orjson.loads(raw) if status == 200 else None
        except (NotSentError, NoAnswerError, orjson.JSONDecodeError) as error:
            log.debug("promise of %s: %s", client.addr, error)
            return None
        return answer if isinstance(answer, dict) else None

    async def run(self) -> None:
        """Ask for promises for as long as the state service is missing."""
        while True:
            if self._failing() and not self._elector.acquiring:
                self._bind()
                async with trio.open_nursery() as nursery:
                    for number, client in enumerate(self._clients):
                        nursery.start_soon(self._ask, number, client)
                await trio.sleep(constants.PROMISE_EVERY_S)
            else:
                await trio.sleep(constants.PROMISE_EVERY_S / 4)

    async def _ask(self, number: int, client: Client) -> None:
        sent_at = trio.current_time()
        answer = await self._call(client, True, constants.PEER_TIMEOUT_S)
        if answer is None:
            return
        # Before its promise counts: what is renewed on it rests on what the peer knows.
        new = self._cancellations.merge_peer_answer(number, answer.get("known"), sent_at, trio.current_time())
        if new:
            log.info("a peer knows of %d cancellations that we did not", len(new))
            self._on_cancelled(new)
        if answer.get("failing"):
            self._failing_peers[number] = trio.current_time()
        if answer.get("promised"):
            # Counted from the send, and shorter than the promise: it ends here before it ends there.
            self._held[number] = sent_at + constants.PROMISE_S - constants.PROMISE_MARGIN_S
