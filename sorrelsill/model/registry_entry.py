"""A machine as the registry in the key-value store holds it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """A machine that may hold work, as stored. Of a damaged entry, or one of an earlier version, what is missing may be
    anything."""

    machine_type: str = ""
    addr: str = ""
    zone: str | None = None
    spot: bool = False

    def to_stored(self) -> dict[str, Any]:
        """Under the names of the store."""
        return {"f": self.machine_type, "a": self.addr, "z": self.zone, "s": self.spot}

    @classmethod
    def from_stored(cls, value: Any) -> RegistryEntry:
        """Whatever of it can be read."""
        known = value if isinstance(value, dict) else {}
        machine_type, zone = known.get("f"), known.get("z")
        return cls(
            machine_type=machine_type if isinstance(machine_type, str) else "",
            addr=str(known.get("a", "")),
            zone=zone if isinstance(zone, str) else None,
            spot=known.get("s") is True,
        )
