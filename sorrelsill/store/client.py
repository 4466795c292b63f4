"""Client of the key-value store, which the platform calls the state service.

Every call returns a result, or raises UnavailableError (certainly not executed) or AmbiguousError (may have been
executed, or may still be executed later). Callers must treat these differently."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.http import Client, NoAnswerError, NotSentError
from sorrelsill.settings import StateLimits
from sorrelsill.token_bucket import TokenBucket

log = logging.getLogger(__name__)

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


class StoreError(Exception):
    """A request to the store returned no result."""


class UnavailableError(StoreError):
    """The request was certainly not executed: refused, throttled or never sent."""

    def __init__(self, text: str, throttled: bool = False) -> None:
        super().__init__(text)
        self.throttled = throttled


class RefusedError(UnavailableError):
    """The request exceeds a size limit of the store, for one value or for the whole request, so a retry cannot succeed.
    `limits_reduced`: after this refusal the client applies smaller limits, so a smaller request may succeed."""

    def __init__(self, text: str, limits_reduced: bool) -> None:
        super().__init__(text)
        self.limits_reduced = limits_reduced


class AmbiguousError(StoreError):
    """No valid response: the request may have been executed, or may still be executed minutes later."""


@dataclass(slots=True, frozen=True)
class Compare:
    """Condition of a transaction: the key has this revision. Revision 0 means that the key does not exist."""

    key: str
    rev: int

    def to_wire(self) -> dict[str, Any]:
        """Encodes it for the state service."""
        return {"k": self.key, "keyRev": self.rev}


@dataclass(slots=True, frozen=True)
class Put:
    """Writes a value. With a lease, the key is deleted when the lease ends."""

    key: str
    value: Any
    lease: int | None = None

    def to_wire(self) -> dict[str, Any]:
        """Encodes it for the state service."""
        out: dict[str, Any] = {"set": self.key, "value": self.value}
        if self.lease is not None:
            out["tenancy"] = self.lease
        return out


@dataclass(slots=True, frozen=True)
class Delete:
    """Deletes a key."""

    key: str

    def to_wire(self) -> dict[str, Any]:
        """Encodes it for the state service."""
        return {"remove": self.key}


@dataclass(slots=True)
class TransactionResult:
    """Result of a transaction: `ok` and its revision, or the keys whose conditions failed."""

    ok: bool
    rev: int
    failed: list[str] = field(default_factory=list)


class VersionedValue(NamedTuple):
    """The value of a key and the revision at which it was written."""

    value: Any
    rev: int


class ScanResult(NamedTuple):
    """All keys with a prefix, and the revision from which to watch for later changes."""

    entries: dict[str, VersionedValue]
    rev: int


class WatchResult(NamedTuple):
    """The changes up to a revision, each to be decoded with `decode_change`."""

    rev: int
    changes: list[dict[str, Any]]


class KeyChange(NamedTuple):
    """A key was written (`present`) or deleted."""

    key: str
    value: Any
    rev: int
    present: bool


def decode_change(raw: dict[str, Any]) -> KeyChange | None:
    """Decodes one change of a watch response. Returns None if its type is unknown. Raises KeyError or TypeError if it
    is malformed."""
    if "set" in raw:
        return KeyChange(raw["set"], raw.get("value"), raw["keyRev"], True)
    if "remove" in raw:
        return KeyChange(raw["remove"], None, raw["keyRev"], False)
    return None


class KeyValueStore:
    """Sends requests within a rate budget. Urgent requests (such as lease renewals) do not wait for the budget, but
    take tokens from it, which delays the other requests."""

    def __init__(self, client: Client, limits: StateLimits, nodes: int) -> None:
        self._client = client
        rps = limits.rps * constants.STORE_SHARE / max(1, nodes)
        self.requests = TokenBucket(rps, max(2.0, rps / 2))
        reduced = limits.after_reductions
        self._write_rate = limits.write_rps * constants.STORE_SHARE
        self._reduced_write_rate = reduced.write_rps * constants.STORE_SHARE
        self._leading = False
        self._nodes = max(1, nodes)
        self.writes = TokenBucket(1.0, 1.0)
        self.set_leading(False)
        # Send time of the latest request whose response showed that the store is reachable.
        self.last_reachable_at = trio.current_time()
        self.failing_since: float | None = None
        # The store may switch to its announced smaller limits without notice. Applying the smaller transaction size
        # from the start costs nothing. The smaller value size and write rate apply only after the store refuses or
        # throttles a write.
        self.txn_ops = reduced.txn_ops
        self.value_bytes = int(limits.value_kb * 1024 * constants.VALUE_SHARE)  # the limit assumed to be in force
        self.reduced_value_bytes = int(reduced.value_kb * 1024 * constants.VALUE_SHARE)
        self.refused = 0  # transactions refused as malformed or too large

    def set_leading(self, leading: bool) -> None:
        """Sets this controller's share of the store's write rate. The leader writes most, so it gets the largest."""
        self._leading = leading
        share = (
            constants.LEADER_WRITE_SHARE if leading else (1 - constants.LEADER_WRITE_SHARE) / max(1, self._nodes - 1)
        )
        if self._nodes == 1:
            share = 1.0
        rate = self._write_rate * share
        self.writes.rate = rate
        self.writes.burst = max(4.0, rate / 2)

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout: float = constants.STORE_TIMEOUT_S,
        urgent: bool = False,
    ) -> tuple[int, Any]:
        if urgent:
            self.requests.take()
        else:
            await self.requests.wait()
        sent_at = trio.current_time()
        try:
            status, raw = await self._client.request(
                method, target, _encode(body) if body is not None else b"", timeout
            )
            answer = _decode(raw) if raw else {}
        except NotSentError as error:
            self._note_failure(sent_at)
            raise UnavailableError(str(error)) from None
        except (NoAnswerError, msgspec.DecodeError) as error:
            self._note_failure(sent_at)
            raise AmbiguousError(str(error)) from None
        if status == 429:
            # The store is reachable, and only throttles this request, since other clients use its rate as well.
            self.last_reachable_at = max(self.last_reachable_at, sent_at)
            self.requests.drain()
            raise UnavailableError("throttled", throttled=True)
        if status == 503:
            self._note_failure(sent_at)
            raise UnavailableError("the store answers 503")
        if status >= 500 or status in (408, 413) or not isinstance(answer, dict):
            self._note_failure(sent_at)
            raise AmbiguousError(f"the store answers {status}")
        self.last_reachable_at = max(self.last_reachable_at, sent_at)
        self.failing_since = None
        return status, answer

    def _note_failure(self, at: float) -> None:
        if self.failing_since is None:
            self.failing_since = at

    def failing_for(self) -> float:
        """Seconds for which requests have been failing: since the first failed request was sent after the last success,
        or since a later request that was throttled. 0 if none has failed since the last success."""
        if self.failing_since is None:
            return 0.0
        return trio.current_time() - max(self.failing_since, self.last_reachable_at)

    async def get(self, key: str) -> VersionedValue | None:
        """Reads one key. Returns None if it does not exist."""
        status, answer = await self._call("GET", f"/kv/{key}")
        if status == 200:
            return VersionedValue(answer.get("value"), _int_field(answer, "keyRev"))
        if status == 404:
            return None
        raise AmbiguousError(f"the store answers {status} to a read")

    async def scan(self, prefix: str) -> ScanResult:
        """Reads all keys with a prefix, page by page. The result has the revision of the first page, since the store
        may change between two pages; a watch from that revision covers these changes."""
        entries: dict[str, VersionedValue] = {}
        last_key = ""
        first_rev: int | None = None
        while True:
            target = f"/kv?starts={prefix}&page={constants.KV_PAGE_SIZE}" + (f"&from={last_key}" if last_key else "")
            status, answer = await self._call("GET", target)
            if status != 200 or not isinstance(answer.get("pairs"), list):
                raise AmbiguousError(f"the store answers {status} to a list")
            if first_rev is None:
                first_rev = _int_field(answer, "storeRev")
            for pair in answer["pairs"]:
                last_key = pair["k"]
                entries[last_key] = VersionedValue(pair.get("value"), _int_field(pair, "keyRev"))
            if not answer.get("hasNext") or not answer["pairs"]:
                return ScanResult(entries, first_rev)

    async def commit(
        self, compares: list[Compare], writes: list[Put | Delete], urgent: bool = False
    ) -> TransactionResult:
        """Executes a compare-and-swap transaction: all writes or none. Raises RefusedError, UnavailableError or
        AmbiguousError."""
        if urgent:
            self.writes.take(len(writes))
        elif writes:
            await self.writes.wait(len(writes))
        body = {"if": [c.to_wire() for c in compares], "writes": [w.to_wire() for w in writes]}
        try:
            status, answer = await self._call("POST", "/multi", body, urgent=urgent)
        except UnavailableError as error:
            if error.throttled:
                self._on_throttled(bool(writes))
            raise
        if status == 200:
            return TransactionResult(True, _int_field(answer, "storeRev"))
        if status == 409:
            failed = [str(key) for key in answer.get("failed") or []]
            return TransactionResult(False, _int_field(answer, "storeRev"), failed)
        raise self._make_refusal(status, answer.get("error"), writes)

    def _on_throttled(self, with_writes: bool) -> None:
        """Empties the write budget. A throttled write also reduces the assumed write rate: other clients may have
        used up the rate, but the store may also have lowered it."""
        self.writes.drain()
        if with_writes and self._reduced_write_rate < self._write_rate:
            log_event(log, logging.INFO, "store_write_rate_reduced", writes_per_s=self._reduced_write_rate)
            self._write_rate = self._reduced_write_rate
            self.set_leading(self._leading)

    def _make_refusal(self, status: int, error: Any, writes: list[Put | Delete]) -> UnavailableError:
        """The error for a transaction that was not executed. Status 400 means that the request is malformed or too
        large or, for a put with a lease, that the lease has ended."""
        text = f"the store answers {status}: {error}"
        if status != 400 or any(isinstance(write, Put) and write.lease is not None for write in writes):
            return UnavailableError(text)
        self.refused += 1
        limits_reduced = self.reduced_value_bytes < self.value_bytes
        if limits_reduced:
            value_bytes = self.reduced_value_bytes
            log_event(log, logging.INFO, "store_value_limit_reduced", value_bytes=value_bytes, error=error)
            self.value_bytes = value_bytes
        return RefusedError(text, limits_reduced)

    async def grant(self, ttl_s: float, timeout: float) -> int:
        """Creates a lease and returns its ID."""
        status, answer = await self._call("POST", "/grants", {"ttlMs": int(ttl_s * 1000)}, timeout=timeout, urgent=True)
        if status != 200:
            raise UnavailableError(f"the store answers {status} to a grant")
        return _int_field(answer, "tenancy")

    async def renew(self, lease: int, timeout: float) -> bool:
        """Renews a lease. Returns False if it has ended."""
        status, _ = await self._call("POST", f"/grants/{lease}/renew", {}, timeout=timeout, urgent=True)
        if status in (200, 404):
            return status == 200
        raise AmbiguousError(f"the store answers {status} to a renewal")

    async def revoke(self, lease: int, timeout: float) -> None:
        """Ends a lease immediately."""
        await self._call("DELETE", f"/grants/{lease}", timeout=timeout, urgent=True)

    async def watch(self, prefix: str, since: int, hold_s: float, timeout: float) -> WatchResult | None:
        """Returns the changes after a revision, or None if the store no longer has the changes since that revision.
        Without changes, the store holds the request for up to `hold_s` seconds."""
        hold = f"&holdMs={int(hold_s * 1000)}"
        status, answer = await self._call("GET", f"/follow?starts={prefix}&from={since}{hold}", timeout=timeout)
        if status == 410:
            return None
        if status != 200 or not isinstance(answer.get("news"), list):
            raise AmbiguousError(f"the store answers {status} to a watch")
        return WatchResult(_int_field(answer, "storeRev"), answer["news"])


def _int_field(answer: dict[str, Any], name: str) -> int:
    value = answer.get(name)
    if not isinstance(value, int) or isinstance(value, bool):
        raise AmbiguousError(f"the store's answer lacks {name}")
    return value
