"""A fake of the key-value store: revisions, conditional transactions, watches, and leases that do not expire during an
outage."""

from __future__ import annotations

from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio

from sorrelsill.http import Reply, Request

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


class FakeStore:
    def __init__(self, txn_ops: int = 16, value_kb: float = 32.0) -> None:
        self.kv: dict[str, tuple[Any, int, int | None]] = {}  # key -> value, revision of its last write, lease
        self.rev = 0
        self.log: list[tuple[int, str, Any, bool]] = []  # revision, key, value, whether the key exists after the change
        self.leases: dict[int, tuple[float, float]] = {}  # id -> TTL, expiry time
        self._next_lease = 1
        self.outage = False
        self.unavailable_to: set[str] = set()  # controllers for which, alone, the store is unavailable
        self.txn_ops, self.value_kb = txn_ops, value_kb
        self.write_rps = float("inf")
        self._tokens, self._refilled_at = 0.0, 0.0  # token bucket of the write rate
        self.refusals: list[
            tuple[float, str]
        ] = []  # time of each oversized transaction, and the limit that it exceeded
        self.throttled = 0  # transactions refused because of the write rate
        self.requests: list[tuple[float, str, Request]] = []  # time, source, request
        self._changed = trio.Event()

    def lower_limits(self, value_kb: float, txn_ops: int, write_rps: float) -> None:
        """Lower the limits without notice to the clients."""
        self.value_kb, self.txn_ops, self.write_rps = value_kb, txn_ops, write_rps
        self._tokens, self._refilled_at = write_rps, trio.current_time()

    def _exceeded_limit(self, body: dict[str, Any]) -> str | None:
        writes = body["writes"]
        if len(writes) > self.txn_ops or len(body["if"]) > 4 * self.txn_ops:
            return f"{len(writes)} writes, {len(body['if'])} conditions"
        if len(msgspec.json.encode(body)) > 64 * 1024:
            return "transaction too long"
        for write in writes:
            if len(msgspec.json.encode(write.get("value"))) > self.value_kb * 1024:
                return f"value of {write['set']} too long"
        return None

    def _exceeds_write_rate(self, count: int) -> bool:
        if self.write_rps == float("inf"):
            return False
        now = trio.current_time()
        self._tokens = min(self.write_rps, self._tokens + (now - self._refilled_at) * self.write_rps)
        self._refilled_at = now
        if self._tokens < count:
            self.throttled += 1
            return True
        self._tokens -= count
        return False

    def begin_outage(self) -> None:
        self.outage = True

    def end_outage(self) -> None:
        self.outage = False
        now = trio.current_time()
        self.leases = {i: (ttl, now + ttl) for i, (ttl, _) in self.leases.items()}

    def expire_leases(self) -> None:
        if self.outage:
            return
        now = trio.current_time()
        for lease in [i for i, (_, end) in self.leases.items() if now > end]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, (_, _, key_lease) in self.kv.items() if key_lease == lease]
        if keys:
            self.rev += 1
            for key in keys:
                del self.kv[key]
                self.log.append((self.rev, key, None, False))
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def run(self) -> None:
        while True:
            self.expire_leases()
            await trio.sleep(0.05)

    async def handle(self, src: str, request: Request) -> Reply:
        self.requests.append((trio.current_time(), src, request))
        path = request.path
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        if path == "/follow":
            return await self._watch(src, query)
        if self.outage or src in self.unavailable_to:
            return Reply(503, _encode({"error": "unavailable"}))
        self.expire_leases()
        body = _decode(request.body) if request.body else {}
        if path == "/kv":
            return self._list(query)
        if path.startswith("/kv/"):
            found = self.kv.get(path[4:])
            if found is None:
                return Reply(404, _encode({"storeRev": self.rev}))
            return Reply(200, _encode({"k": path[4:], "value": found[0], "keyRev": found[1], "tenancy": found[2]}))
        if path == "/multi":
            return self._commit(body)
        if path == "/grants":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl = body["ttlMs"] / 1000
            self.leases[lease] = (ttl, trio.current_time() + ttl)
            return Reply(200, _encode({"tenancy": lease}))
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return Reply(404)
        if request.method == "DELETE":
            self._end_lease(lease)
        else:
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, trio.current_time() + ttl)
        return Reply(200)

    def _list(self, query: dict[str, str]) -> Reply:
        keys = sorted(k for k in self.kv if k.startswith(query["starts"]) and k > query.get("from", ""))
        page = min(1000, int(query.get("page", 1000)))
        pairs = [{"k": k, "value": self.kv[k][0], "keyRev": self.kv[k][1]} for k in keys[:page]]
        return Reply(200, _encode({"pairs": pairs, "hasNext": len(keys) > page, "storeRev": self.rev}))

    def _commit(self, body: dict[str, Any]) -> Reply:
        writes = body["writes"]
        why = self._exceeded_limit(body)
        if why is not None:
            self.refusals.append((trio.current_time(), why))
            return Reply(400, _encode({"error": why}))
        if self._exceeds_write_rate(len(writes)):
            return Reply(429, _encode({"error": "too many changes"}))
        leader_writes = [w for w in writes if str(w.get("set") or w.get("remove")).startswith(("s/m/", "s/catalog"))]
        assert not leader_writes or "s/leader" in [c["k"] for c in body["if"]], (
            "a leader's write without a condition on the leader key"
        )
        conditioned = {c["k"] for c in body["if"]}
        registry_keys = [k for w in writes if (k := str(w.get("set") or w.get("remove"))).startswith("s/m/")]
        assert conditioned.issuperset(registry_keys), "a registry entry's write without a condition on its revision"
        for write in writes:
            if write.get("tenancy") is not None and write["tenancy"] not in self.leases:
                return Reply(400, _encode({"error": "no such lease"}))
        failed = [c["k"] for c in body["if"] if (self.kv[c["k"]][1] if c["k"] in self.kv else 0) != c["keyRev"]]
        if failed:
            return Reply(409, _encode({"failed": failed, "storeRev": self.rev}))
        if writes:
            self.rev += 1
        for write in writes:
            if "set" in write:
                self.kv[write["set"]] = (write["value"], self.rev, write.get("tenancy"))
                self.log.append((self.rev, write["set"], write["value"], True))
            elif self.kv.pop(write["remove"], None) is not None:
                self.log.append((self.rev, write["remove"], None, False))
        self._notify()
        return Reply(200, _encode({"storeRev": self.rev}))

    async def _watch(self, src: str, query: dict[str, str]) -> Reply:
        since, prefix = int(query["from"]), query["starts"]
        end = trio.current_time() + int(query.get("holdMs", 0)) / 1000
        if (self.outage or src in self.unavailable_to) and int(query.get("holdMs", 0)) == 0:
            return Reply(503)
        while True:
            changed = self._changed
            unavailable = self.outage or src in self.unavailable_to
            changes = [e for e in self.log if e[0] > since and e[1].startswith(prefix)]
            if not unavailable and (changes or trio.current_time() >= end):
                changed_keys = [
                    {"set": k, "value": v, "keyRev": r} if present else {"remove": k, "keyRev": r}
                    for r, k, v, present in changes
                ]
                return Reply(200, _encode({"storeRev": self.rev, "news": changed_keys}))
            with trio.move_on_after(max(0.05, min(0.5, end - trio.current_time()))):
                await changed.wait()
