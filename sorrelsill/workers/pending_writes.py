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

    def record_due(self, job_id: str) -> None:
        """The job's record differs from what is stored."""
        self.records.add(job_id)

    def record_not_due(self, job_id: str) -> None:
        """The job is over: its final record is stored already."""
        self.records.discard(job_id)

    def registration_due(self, machine: Machine) -> None:
        """The machine is not in the stored registry yet."""
        self.registrations[machine.name] = machine

    def registration_not_due(self, name: str) -> None:
        """The machine is forgotten before it was registered."""
        self.registrations.pop(name, None)

    def deregistration_due(self, name: str) -> None:
        """The machine holds no work of ours any more, so its registry entry has to go."""
        self.deregistrations.add(name)
