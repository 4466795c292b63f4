"""The presence key of this controller in the key-value store. The key is attached to a lease that the process renews.
When the lease has ended, all controllers see in their watch caches that the key is deleted.

The revision of the key identifies the process. Holding the key gives no right to lead or to act."""

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
    """Maintains the presence key and its lease while the process runs."""

    def __init__(self, store: KeyValueStore, watch_cache: WatchCache, label: str, lease_s: float) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._key = presence_key(label)
        self._lease_s = lease_s
        self._lease: int | None = None
        self._released = False
        self.process = 0  # revision of the key; 0 before it is written

    def presence_of(self, label: str, now: float) -> Presence:
        """Whether another controller's presence key exists, and whether the watch cache is fresh enough to tell."""
        fresh = self._watch_cache.loaded and now - self._watch_cache.fresh_at < constants.WATCH_CACHE_STALE_S
        return Presence(presence_key(label) in self._watch_cache.keys, fresh and self._store.failing_for() == 0)

    async def run(self) -> None:
        """Write the key, renew its lease, and write the key again if the lease has ended or the key was replaced."""
        while True:
            try:
                await self._renew_or_grant()
            except (UnavailableError, AmbiguousError) as error:
                log_event(log, logging.DEBUG, "presence_not_renewed", reason=str(error))
            await trio.sleep(self._lease_s * constants.PRESENCE_RENEW_OF_LEASE)

    async def release(self) -> None:
        """Revoke the lease for a planned shutdown."""
        self._released = True
        if self._lease is None:
            return
        try:
            await self._store.revoke(self._lease, self._lease_s * constants.PRESENCE_RENEW_OF_LEASE)
        except (UnavailableError, AmbiguousError) as error:
            log_event(log, logging.DEBUG, "lease_not_revoked", lease=self._lease, reason=str(error))

    async def _renew_or_grant(self) -> None:
        if self._released:
            return
        timeout_s = self._lease_s * constants.PRESENCE_RENEW_OF_LEASE
        if self._lease is not None and not await self._store.renew(self._lease, timeout_s):
            self._lease = None
        if self._lease is None:
            self._lease = await self._store.grant(self._lease_s, timeout_s)
            await self._write_key()
        elif self._key_overwritten():
            await self._write_key()

    def _key_overwritten(self) -> bool:
        """Whether the key is missing or was replaced by a delayed write of an earlier process.

        A key written by an earlier process would be deleted when the lease of that process ends."""
        known = self._watch_cache.keys.get(self._key)
        return self._watch_cache.rev >= self.process and (known is None or known[1] != self.process)

    async def _write_key(self) -> None:
        txn = await self._store.commit([], [Put(self._key, {"lease": self._lease}, self._lease)], urgent=True)
        if txn.ok:
            self.process = txn.rev
