"""Writes of the leader key, each conditional on the revision that it replaces, whose answers may be lost."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sorrelsill.leadership.leader_key import LeaderKey
from sorrelsill.store import LEADER, AmbiguousError, Compare, KeyValueStore, Put

_ABSENT = 0  # revision in the condition that a key does not exist


@dataclass(frozen=True, slots=True)
class CreatedKey:
    """The leader key as created by this process; its revision is the term."""

    key: LeaderKey
    rev: int


@dataclass(frozen=True, slots=True)
class KeyRewrite:
    """The leader key after a try to rewrite it; `key` is None if it is not held with our lease any more.

    If not `done`, an earlier try whose answer was lost has replaced the key, and `rev` is the revision to be replaced
    by the next try."""

    key: LeaderKey | None
    rev: int
    done: bool


class LeaderKeyWriter:
    """Creates and rewrites the leader key for one controller."""

    def __init__(self, store: KeyValueStore, label: str, rng: random.Random) -> None:
        self._store = store
        self._label = label
        self._rng = rng

    async def create(self, lease: int) -> CreatedKey | None:
        """Write the key if it does not exist. Returns None if it exists already. Raises UnavailableError or
        AmbiguousError."""
        key = self._new_key(lease)
        try:
            rev = await self._put(key, lease, _ABSENT)
        except AmbiguousError:
            # The write may have succeeded although its answer was lost: read the key back and compare the nonce.
            found = await self._store.get(LEADER)
            if found is None or LeaderKey.from_stored(found.value).nonce != key.nonce:
                return None
            rev = found.rev
        return CreatedKey(key, rev) if rev is not None else None

    async def rewrite(self, lease: int, rev: int) -> KeyRewrite:
        """Replace the key that we hold with this lease, if its revision is still `rev`. Raises UnavailableError or
        AmbiguousError; after the latter, the write may still be executed."""
        key = self._new_key(lease)
        new_rev = await self._put(key, lease, rev)
        if new_rev is not None:
            return KeyRewrite(key, new_rev, True)
        found = await self._store.get(LEADER)
        held = LeaderKey.from_stored(found.value if found is not None else None)
        if found is None or held.lease != lease:
            return KeyRewrite(None, 0, False)
        return KeyRewrite(held, found.rev, False)

    def _new_key(self, lease: int) -> LeaderKey:
        return LeaderKey(self._label, f"{self._rng.getrandbits(64):016x}", lease)

    async def _put(self, key: LeaderKey, lease: int, replaced_rev: int) -> int | None:
        """Returns the new revision, or None if the key has another revision than `replaced_rev`."""
        put = Put(LEADER, key.to_stored(), lease)
        result = await self._store.commit([Compare(LEADER, replaced_rev)], [put], urgent=True)
        return result.rev if result.ok else None
