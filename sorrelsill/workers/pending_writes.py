"""Decisions of the leader that are not written to the key-value store yet."""

from __future__ import annotations

from dataclasses import dataclass, field

from sorrelsill.workers.machine import Machine


@dataclass(slots=True)
class PendingWrites:
    """The pending writes; each stays here until it is committed or no longer needed."""

    records: set[str] = field(default_factory=set)  # ids of jobs whose record has to be written
    registrations: dict[str, Machine] = field(default_factory=dict)  # machines whose registry entry has to be written
    deregistrations: set[str] = field(default_factory=set)  # names of machines whose registry entry has to be deleted

    def record_due(self, job_id: str) -> None:
        """Mark the job's record for writing, as it differs from the stored one."""
        self.records.add(job_id)

    def record_not_due(self, job_id: str) -> None:
        """Unmark the record of a job that has ended: its final record is stored already."""
        self.records.discard(job_id)

    def registration_due(self, machine: Machine) -> None:
        """Mark a machine that is not in the stored registry yet for registration."""
        self.registrations[machine.name] = machine

    def registration_not_due(self, name: str) -> None:
        """Unmark a machine that was removed before it was registered."""
        self.registrations.pop(name, None)

    def deregistration_due(self, name: str) -> None:
        """Mark the registry entry of a machine that holds no tasks of ours any more for deletion."""
        self.deregistrations.add(name)
