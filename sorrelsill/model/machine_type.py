"""Machine types that the cloud rents, and the catalog of all of them."""

from __future__ import annotations

from dataclasses import dataclass


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
