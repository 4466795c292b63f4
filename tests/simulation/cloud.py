"""A fake of the cloud's API: idempotent rental requests, boot times and a machine list that shows new machines late."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio

from sorrelsill.http import Reply, Request

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode

MAX_PAGE_SIZE = 500  # machines in one page of the machine list

# The only machine type of the catalog, in the cloud's wire format.
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
    """Return the name of a machine; it is also the machine's address."""
    return f"10.1.{number // 200}.{number % 200}:9000"


class FakeCloud:
    def __init__(self, boot: Callable[[str, str, str, bool], None], capacity: int = 20, lag_s: float = 2.0) -> None:
        self._boot = boot
        self.capacity = capacity
        self.lag_s = lag_s  # s; age from which the machine list shows a machine
        self.machines: dict[str, dict[str, Any]] = {}
        self.answered_requests: dict[
            str, list[str]
        ] = {}  # request id -> names of the rented machines, for repeated requests
        self.on_return: Callable[[str], None] = lambda name: None
        self.name_of: Callable[[int], str] = machine_name
        self.outage = False
        self.page_size = MAX_PAGE_SIZE  # machines; may be set lower than what the client asks for
        self.never_boots: set[int] = set()  # numbers of the machines that never finish booting
        # Boot time of a machine, by its number, as a multiple of the published boot time.
        self.boot_times: Callable[[int], float] = lambda number: 1.0
        self.rented: list[tuple[float, int]] = []  # time, number of machines
        self.request_count = 0
        self.paid_s: dict[str, float] = {}  # machine -> seconds from its rental until its return
        self._next_number = 0

    def add(self, machine_type: str, zone: str, spot: bool) -> str:
        name = self.name_of(self._next_number)
        self._next_number += 1
        self.machines[name] = {
            "uid": name,
            "addr": name,
            "flavour": machine_type,
            "region": zone,
            "reclaimable": spot,
            "phase": "booting",
            "born": trio.current_time(),
            "number": self._next_number - 1,
        }
        return name

    async def run(self) -> None:
        while True:
            now = trio.current_time()
            for machine in list(self.machines.values()):
                booted = machine["number"] not in self.never_boots and now - machine["born"] >= (
                    FLAVOUR["bootS"] * self.boot_times(machine["number"])  # type: ignore[operator]
                )
                if machine["phase"] == "booting" and booted:
                    machine["phase"] = "running"
                    self._boot(machine["uid"], machine["flavour"], machine["region"], machine["reclaimable"])
            await trio.sleep(0.25)

    async def handle(self, src: str, request: Request) -> Reply:
        self.request_count += 1
        if self.outage:
            return Reply(503, _encode({"error": "unavailable"}))
        body = _decode(request.body) if request.body else {}
        if request.path == "/catalog":
            return Reply(200, _encode({"flavours": [FLAVOUR]}))
        if request.path == "/rentals/return":
            for name in body["hosts"]:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    self.paid_s[name] = trio.current_time() - machine["born"]
                    self.on_return(name)
            return Reply(200, _encode({}))
        if request.method == "GET":
            query = {k: v[0] for k, v in parse_qs(request.query).items()}
            now = trio.current_time()
            visible = [m for m in self.machines.values() if now - m["born"] >= self.lag_s]
            remaining = sorted((m for m in visible if m["uid"] > query.get("from", "")), key=lambda m: str(m["uid"]))
            page_size = min(int(query.get("page", MAX_PAGE_SIZE)), self.page_size)
            machines = [{**m, "ageS": now - m["born"]} for m in remaining[:page_size]]
            return Reply(200, _encode({"hosts": machines, "hasNext": len(remaining) > page_size}))
        if body["hireRef"] not in self.answered_requests:
            count = min(body["howMany"], self.capacity - len(self.machines))
            if count <= 0:
                return Reply(503, _encode({"error": "no capacity"}))
            names = [self.add(body["flavour"], body["region"], body["reclaimable"]) for _ in range(count)]
            self.answered_requests[body["hireRef"]] = names
            self.rented.append((trio.current_time(), count))
        return Reply(200, _encode({"hosts": self.answered_requests[body["hireRef"]]}))
