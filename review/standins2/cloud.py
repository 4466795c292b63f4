"""A stand-in of the cloud: a catalog, rentals that boot after a while, and a machine list that lags."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from standins2.wire import Answer, HttpServer, Request

_LATENCY_S = 0.1


@dataclass
class Rental:
    """A rented machine."""

    name: str
    addr: str
    flavour: str
    region: str
    reclaimable: bool
    born: float
    phase: str = "booting"


class Cloud:
    """Rents machines up to a number of them in each zone; `boot` is called when one is up."""

    def __init__(self, flavours: list[dict[str, Any]], capacity: dict[str, int], boot_s: float, lag_s: float) -> None:
        self.machines: dict[str, Rental] = {}
        self.boot: Callable[[Rental], None] = lambda rental: None
        self.gone: Callable[[str], None] = lambda name: None
        self.address_of: Callable[[str], str] = lambda name: ""
        self._flavours, self._capacity, self._boot_s, self._lag_s = flavours, capacity, boot_s, lag_s
        self._answered: dict[str, list[str]] = {}
        self._last_number = 0
        self._server = HttpServer(self._handle)

    async def start(self) -> str:
        """Listen; return the address."""
        return await self._server.start()

    def add(self, flavour: str, region: str, reclaimable: bool, up_since_s: float | None = None) -> Rental:
        """Add a machine; with `up_since_s`, one that has been up for that long."""
        self._last_number += 1
        name = f"m-{self._last_number:06d}"
        born = time.monotonic() - (up_since_s or 0.0)
        rental = Rental(name, self.address_of(name), flavour, region, reclaimable, born)
        self.machines[name] = rental
        if up_since_s is not None:
            rental.phase = "running"
        return rental

    async def run(self) -> None:
        """Let machines come up."""
        while True:
            await asyncio.sleep(0.1)
            for rental in list(self.machines.values()):
                if rental.phase == "booting" and time.monotonic() - rental.born >= self._boot_s:
                    rental.phase = "running"
                    self.boot(rental)

    async def _handle(self, request: Request) -> Answer:
        await asyncio.sleep(_LATENCY_S)
        if request.path == "/catalog":
            return Answer(200, {"flavours": self._flavours})
        if request.path == "/rentals/return":
            for name in request.body["hosts"]:
                if self.machines.pop(name, None) is not None:
                    self.gone(name)
            return Answer(200, {})
        return self._list(request.query) if request.method == "GET" else self._rent(request.body)

    def _list(self, query: dict[str, str]) -> Answer:
        now = time.monotonic()
        visible = [m for m in self.machines.values() if now - m.born >= self._lag_s and m.name > query.get("from", "")]
        page = sorted(visible, key=lambda m: m.name)[: int(query.get("page", "500"))]
        hosts = [
            {
                "uid": m.name,
                "addr": m.addr,
                "flavour": m.flavour,
                "region": m.region,
                "reclaimable": m.reclaimable,
                "phase": m.phase,
                "ageS": now - m.born,
            }
            for m in page
        ]
        return Answer(200, {"hosts": hosts, "hasNext": len(visible) > len(page)})

    def _rent(self, body: dict[str, Any]) -> Answer:
        if body["hireRef"] not in self._answered:
            in_zone = sum(1 for machine in self.machines.values() if machine.region == body["region"])
            count = min(body["howMany"], 50, self._capacity.get(body["region"], 0) - in_zone)
            if count <= 0:
                return Answer(503, {"error": "no capacity"})
            rented = [self.add(body["flavour"], body["region"], body["reclaimable"]) for _ in range(count)]
            self._answered[body["hireRef"]] = [each.name for each in rented]
        return Answer(200, {"hosts": self._answered[body["hireRef"]]})
