"""This controller's presence key in the key-value store. It hangs on a lease that the process renews. Once that has
ended, every controller sees in its watch cache that the process is gone.

The revision of the key is the number of the process. Holding the key gives no right to lead or to act."""

from __future__ import annotations

import logging

import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.membership.detector import Presence
from sorrelsill.membership.keys import presence_key
from sorrelsill.store import AmbiguousError, KeyValueStore, Put, UnavailableError, WatchCache

log = logging.getLogger(__name__)


class PresenceKeeper:
    """Keeps the presence key and its lease for as long as the process runs."""

    def __init__(self, store: KeyValueStore, watch_cache: WatchCache, label: str, lease_s: float) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._key = presence_key(label)
        self._lease_s = lease_s
        self._lease: int | None = None
        self._released = False
        self.process = 0  # revision of our key; 0 before we have one

    def of(self, label: str, now: float) -> Presence:
        """Whether another controller's key is there, and how far that can be told now."""
        fresh = self._watch_cache.loaded and now - self._watch_cache.fresh_at < constants.WATCH_CACHE_STALE_S
        return Presence(presence_key(label) in self._watch_cache.keys, fresh and self._store.failing_for() == 0)

    async def run(self) -> None:
        """Write the key, renew its lease, and write it anew when the lease or the key is gone."""
        while True:
            try:
                await self._step()
            except (UnavailableError, AmbiguousError) as error:
                log_event(log, logging.DEBUG, "presence_not_renewed", reason=str(error))
            await trio.sleep(self._lease_s * constants.PRESENCE_RENEW_OF_LEASE)

    async def release(self) -> None:
        """Revoke the lease, as the process stops as planned."""
        self._released = True
        if self._lease is None:
            return
        try:
            await self._store.revoke(self._lease, self._lease_s * constants.PRESENCE_RENEW_OF_LEASE)
        except (UnavailableError, AmbiguousError) as error:
            log_event(log, logging.DEBUG, "lease_not_revoked", lease=self._lease, reason=str(error))

    async def _step(self) -> None:
        if self._released:
            return
        timeout_s = self._lease_s * constants.PRESENCE_RENEW_OF_LEASE
        if self._lease is not None and not await self._store.renew(self._lease, timeout_s):
            self._lease = None
        if self._lease is None:
            self._lease = await self._store.grant(self._lease_s, timeout_s)
            await self._write()
        elif self._overwritten():
            await self._write()

    def _overwritten(self) -> bool:
        """Whether a late write of an earlier process of ours replaced the key: it goes with that process's lease."""
        known = self._watch_cache.keys.get(self._key)
        return self._watch_cache.rev >= self.process and (known is None or known[1] != self.process)

    async def _write(self) -> None:
        txn = await self._store.commit([], [Put(self._key, {"lease": self._lease}, self._lease)], urgent=True)
        if txn.ok:
            self.process = txn.rev
