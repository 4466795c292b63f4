"""The machine types that the cloud offers, and their catalog."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MachineType:
    """A machine type that the cloud offers: its size, image fetch rate, prices per hour and boot time."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    def fits(self, cpus: float, gpus: float, memory_gb: float) -> bool:
        """Whether a task of this size fits on an empty machine of the type."""
        return cpus <= self.cpus and gpus <= self.gpus and memory_gb <= self.memory_gb

    def cost(self, spot: bool) -> float:
        """Price per hour of a spot or an on-demand machine."""
        return self.spot_price if spot else self.price


@dataclass(slots=True, frozen=True)
class Catalog:
    """The machine types, by name."""

    machine_types: dict[str, MachineType]

    @property
    def zones(self) -> list[str]:
        """All zones in which at least one type is offered."""
        return sorted({zone for each in self.machine_types.values() for zone in each.zones})
