"""What the leader has decided and the key-value store does not hold yet."""

from __future__ import annotations

from dataclasses import dataclass, field

from sorrelsill.workers.machine import Machine


@dataclass(slots=True)
class PendingWrites:
    """The writes that are due; each stays until it is committed."""

    records: set[str] = field(default_factory=set)  # jobs whose record has to be written
    registrations: dict[str, Machine] = field(default_factory=dict)  # machines whose registry entry has to be written
    deregistrations: set[str] = field(default_factory=set)  # machines whose registry entries have to be deleted
