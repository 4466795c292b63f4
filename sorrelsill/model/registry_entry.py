"""The entry of a machine in the registry, which is kept in the key-value store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """The registry entry of a machine that may run tasks. Fields that are missing in a damaged entry, or in an
    entry of the previous version, have their defaults; such a default means that the value is unknown."""

    machine_type: str = ""
    addr: str = ""
    zone: str | None = None
    spot: bool = False

    def to_stored(self) -> dict[str, Any]:
        """Encodes the entry with the field names of the stored form."""
        return {"f": self.machine_type, "a": self.addr, "z": self.zone, "s": self.spot}

    @classmethod
    def from_stored(cls, value: Any) -> RegistryEntry:
        """Decodes a stored entry; fields that are missing or damaged get their defaults."""
        known = value if isinstance(value, dict) else {}
        machine_type, zone = known.get("f"), known.get("z")
        return cls(
            machine_type=machine_type if isinstance(machine_type, str) else "",
            addr=str(known.get("a", "")),
            zone=zone if isinstance(zone, str) else None,
            spot=known.get("s") is True,
        )
