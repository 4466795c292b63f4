"""The cloud after the protocol page: request names, boot times, a list that lags."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio

from sorrelsill.http import Reply, Request

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode

PAGE = 500  # machines; the most that one page of the list holds

FLAVOUR = {
    "sku": "c8",
    "vcpus": 8,
    "gpus": 0,
    "memoryGb": 32,
    "cacheGb": 50,
    "pullGbPerS": 1.0,
    "price": 1.0,
    "spotPrice": 0.4,
    "bootS": 5,
    "regions": ["a", "b"],
}


def machine_name(number: int) -> str:
    """Machines are named by their address here, so that one name serves both."""
    return f"10.1.{number // 200}.{number % 200}:9000"


class FakeCloud:
    def __init__(self, boot: Callable[[str, str, str, bool], None], capacity: int = 20, lag_s: float = 2.0) -> None:
        self._boot = boot
        self.capacity = capacity
        self.lag_s = lag_s
        self.machines: dict[str, dict[str, Any]] = {}
        self.done: dict[str, list[str]] = {}  # request name -> its answer
        self.on_return: Callable[[str], None] = lambda name: None
        self.name_of: Callable[[int], str] = machine_name
        self.outage = False
        self.page = PAGE  # machines in one answer
        self.never_boots: set[int] = set()  # machine numbers that stay booting
        self.boot_times: Callable[[int], float] = lambda number: 1.0  # of the published boot time, by machine number
        self.rented: list[tuple[float, int]] = []  # when, how many
        self.calls = 0
        self.paid: dict[str, float] = {}  # machine -> seconds until it was returned
        self._count = 0

    def add(self, machine_type: str, zone: str, spot: bool) -> str:
        name = self.name_of(self._count)
        self._count += 1
        self.machines[name] = {
            "uid": name,
            "addr": name,
            "flavour": machine_type,
            "region": zone,
            "reclaimable": spot,
            "phase": "booting",
            "born": trio.current_time(),
            "number": self._count - 1,
        }
        return name

    async def run(self) -> None:
        while True:
            now = trio.current_time()
            for item in list(self.machines.values()):
                up = item["number"] not in self.never_boots and now - item["born"] >= (
                    FLAVOUR["bootS"] * self.boot_times(item["number"])  # type: ignore[operator]
                )
                if item["phase"] == "booting" and up:
                    item["phase"] = "running"
                    self._boot(item["uid"], item["flavour"], item["region"], item["reclaimable"])
            await trio.sleep(0.25)

    async def handle(self, src: str, request: Request) -> Reply:
        self.calls += 1
        if self.outage:
            return Reply(503, _encode({"error": "trouble"}))
        body = _decode(request.body) if request.body else {}
        if request.path == "/catalog":
            return Reply(200, _encode({"flavours": [FLAVOUR]}))
        if request.path == "/rentals/return":
            for name in body["hosts"]:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    self.paid[name] = trio.current_time() - machine["born"]
                    self.on_return(name)
            return Reply(200, _encode({}))
        if request.method == "GET":
            query = {k: v[0] for k, v in parse_qs(request.query).items()}
            now = trio.current_time()
            old = [m for m in self.machines.values() if now - m["born"] >= self.lag_s]
            seen = sorted((m for m in old if m["uid"] > query.get("from", "")), key=lambda m: str(m["uid"]))
            page = min(int(query.get("page", PAGE)), self.page)
            machines = [{**m, "ageS": now - m["born"]} for m in seen[:page]]
            return Reply(200, _encode({"hosts": machines, "hasNext": len(seen) > page}))
        if body["hireRef"] not in self.done:
            count = min(body["howMany"], self.capacity - len(self.machines))
            if count <= 0:
                return Reply(503, _encode({"error": "no capacity"}))
            names = [self.add(body["flavour"], body["region"], body["reclaimable"]) for _ in range(count)]
            self.done[body["hireRef"]] = names
            self.rented.append((trio.current_time(), count))
        return Reply(200, _encode({"hosts": self.done[body["hireRef"]]}))
