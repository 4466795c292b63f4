"""Machine types as the cloud publishes them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class MachineType:
    """A kind of machine that the cloud rents: its size, speed of fetching, price and boot time."""

    sku: str
    cpus: float
    gpus: float
    memory: float
    cache_gb: float
    pull_rate: float
    price: float
    spot_price: float
    boot_s: float
    regions: tuple[str, ...]

    def fits(self, cpus: float, gpus: float, memory: float) -> bool:
        """Whether a task of this size fits on an empty machine of the type."""
        return cpus <= self.cpus and gpus <= self.gpus and memory <= self.memory

    def cost(self, spot: bool) -> float:
        """Price per hour of a spot or an ordinary machine."""
        return self.spot_price if spot else self.price


@dataclass(slots=True, frozen=True)
class Catalog:
    """The machine types, by name."""

    machine_types: dict[str, MachineType]

    @property
    def zones(self) -> list[str]:
        """All zones in which any type is offered."""
        return sorted({z for f in self.machine_types.values() for z in f.regions})


def parse_catalog(answer: Any) -> Catalog:
    """ValueError if the answer is not a catalog."""
    try:
        machine_types = [
            MachineType(
                sku=str(f["sku"]),
                cpus=float(f["vcpus"]),
                gpus=float(f.get("gpus") or 0),
                memory=float(f["memoryGb"]),
                cache_gb=float(f.get("cacheGb") or 0),
                pull_rate=max(1e-3, float(f.get("pullGbPerS") or 1)),
                price=float(f["price"]),
                spot_price=float(f.get("spotPrice") or f["price"]),
                boot_s=float(f.get("bootS") or 60),
                regions=tuple(str(r) for r in f["regions"]),
            )
            for f in answer["flavours"]
        ]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a catalog: {error!r}") from None
    if not machine_types:
        raise ValueError("not a catalog: no machine types")
    return Catalog({f.sku: f for f in machine_types})
