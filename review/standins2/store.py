"""A stand-in of the state service: transactions, leases, watches, limits, outages, refusal of single controllers."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from standins2.wire import BODY_LIMIT, Answer, HttpServer, Request, json_size

_CHANGES_KEPT = 10_000
_LATENCY_S = 0.003


class _Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate, self._level, self._at = rate, rate, time.monotonic()

    def take(self, amount: float) -> bool:
        now = time.monotonic()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < amount:
            return False
        self._level -= amount
        return True


class Store:
    """The state service; each controller reaches it under an address of its own."""

    def __init__(self, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        self.kv: dict[str, tuple[Any, int, int | None]] = {}
        self.rev = 0
        self.refused: set[str] = set()  # labels of controllers that alone get 503
        self.outage = False
        self._value_bytes, self._txn_ops = value_kb * 1024, txn_ops
        self._requests, self._writes = _Bucket(rps), _Bucket(write_rps)
        self._changes: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._changed = asyncio.Event()
        self._servers: list[HttpServer] = []

    async def start(self, label: str) -> str:
        """Listen for one controller; return the address."""

        async def handle(request: Request) -> Answer:
            await asyncio.sleep(_LATENCY_S)
            return await self._handle(label, request)

        server = HttpServer(handle)
        self._servers.append(server)
        return await server.start()

    def leader(self) -> str | None:
        """Return the label in the leader key."""
        found = self.kv.get("s/leader")
        return found[0]["label"] if found is not None else None

    async def run(self) -> None:
        """End leases that were not renewed in time."""
        while True:
            await asyncio.sleep(0.02)
            if not self.outage:
                for lease in [each for each, (_, end) in self._leases.items() if time.monotonic() > end]:
                    self._end_lease(lease)

    def _unavailable(self, label: str) -> bool:
        return self.outage or label in self.refused

    async def _handle(self, label: str, request: Request) -> Answer:
        if self._unavailable(label):
            return Answer(503, {"error": "trouble"})
        if not self._requests.take(1):
            return Answer(429, {"error": "too many requests"})
        if request.path == "/follow":
            return await self._follow(label, request.query)
        if request.path.startswith("/kv"):
            return self._get(request.path[4:]) if request.path != "/kv" else self._list(request.query)
        return self._commit(request.body) if request.path == "/multi" else self._grant(request)

    def _get(self, key: str) -> Answer:
        if key not in self.kv:
            return Answer(404, {"storeRev": self.rev})
        value, rev, lease = self.kv[key]
        return Answer(200, {"k": key, "value": value, "keyRev": rev, "tenancy": lease})

    def _list(self, query: dict[str, str]) -> Answer:
        keys = sorted(k for k in self.kv if k.startswith(query["starts"]) and k > query.get("from", ""))
        page = min(1000, int(query.get("page", "1000")))
        pairs = [{"k": k, "value": self.kv[k][0], "keyRev": self.kv[k][1]} for k in keys[:page]]
        return Answer(200, {"pairs": pairs, "hasNext": len(keys) > page, "storeRev": self.rev})

    def _grant(self, request: Request) -> Answer:
        if request.path == "/grants":
            self._last_lease += 1
            ttl_s = request.body["ttlMs"] / 1000
            self._leases[self._last_lease] = ttl_s, time.monotonic() + ttl_s
            return Answer(200, {"tenancy": self._last_lease})
        lease = int(request.path.split("/")[2])
        if lease not in self._leases:
            return Answer(404, {"error": "no such lease"})
        if request.method == "DELETE":
            self._end_lease(lease)
        else:
            ttl_s = self._leases[lease][0]
            self._leases[lease] = ttl_s, time.monotonic() + ttl_s
        return Answer(200, {"tenancy": lease})

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        keys = [key for key, (_, _, holder) in self.kv.items() if holder == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self._remove(key)
            self._notify()

    def _remove(self, key: str) -> None:
        if self.kv.pop(key, None) is not None:
            self._changes.append({"remove": key, "keyRev": self.rev})

    def _notify(self) -> None:
        del self._changes[:-_CHANGES_KEPT]
        self._changed.set()
        self._changed = asyncio.Event()

    def _commit(self, body: dict[str, Any]) -> Answer:
        conditions, writes = body["if"], body["writes"]
        too_long = any(json_size(write.get("value")) > self._value_bytes for write in writes)
        too_many = len(writes) > self._txn_ops or len(conditions) > 4 * self._txn_ops
        if too_long or too_many or json_size(body) > BODY_LIMIT:
            return Answer(400, {"error": "too large"})
        if not self._writes.take(len(writes)):
            return Answer(429, {"error": "too many changes"})
        if any(write.get("tenancy") is not None and write["tenancy"] not in self._leases for write in writes):
            return Answer(400, {"error": "no such lease"})
        failed = [c["k"] for c in conditions if (self.kv[c["k"]][1] if c["k"] in self.kv else 0) != c["keyRev"]]
        if failed:
            return Answer(409, {"failed": failed, "storeRev": self.rev})
        if writes:
            self.rev += 1
        for write in writes:
            if "remove" in write:
                self._remove(write["remove"])
                continue
            self.kv[write["set"]] = write["value"], self.rev, write.get("tenancy")
            self._changes.append({"set": write["set"], "value": write["value"], "keyRev": self.rev})
        self._notify()
        return Answer(200, {"storeRev": self.rev})

    async def _follow(self, label: str, query: dict[str, str]) -> Answer:
        since, end = int(query["from"]), time.monotonic() + int(query.get("holdMs", "0")) / 1000
        while True:
            if not self._unavailable(label):  # an open watch waits during an outage
                news = [c for c in self._changes if c["keyRev"] > since and _key(c).startswith(query["starts"])]
                if news or time.monotonic() >= end:
                    return Answer(200, {"storeRev": self.rev, "news": news})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.02, min(0.2, end - time.monotonic())))
            except TimeoutError:
                continue


def _key(change: dict[str, Any]) -> str:
    return str(change.get("set") or change.get("remove"))
