"""Attributes task failures to the job or to the machine. No I/O; callers pass the current time.

A faulty job fails on every machine. On a faulty machine, tasks fail whose jobs succeed elsewhere. A failure therefore
counts against a machine only once its job has succeeded on another one. A job that has failed on several machines
without any success is retried one task at a time, with exponential backoff."""

from __future__ import annotations

from dataclasses import dataclass, field

from sorrelsill import constants


@dataclass(slots=True)
class FailureHistory:
    """The failures of one job in the current term, and whether they are probably its own fault."""

    succeeded: bool = False  # one of its tasks has completed, or a replica has run for REPLICA_PROOF_S
    machines: set[str] = field(default_factory=set)  # machines on which it failed since its last success
    blamed_machines: set[str] = field(default_factory=set)  # machines against which its failures counted
    failures: int = 0  # since its last success
    failure_bursts: int = 0  # since its last success; failures before the next retry is due count as one burst
    next_retry_at: float = float("-inf")

    def record_failure(self, machine: str, now: float) -> set[str]:
        """Record a failed task. Returns the machines against which this failure counts."""
        self.machines.add(machine)
        self.failures += 1
        if now >= self.next_retry_at:
            self.failure_bursts += 1
            self.next_retry_at = now + min(
                constants.START_BACKOFF_MAX_S, constants.START_BACKOFF_S * 2.0 ** (self.failure_bursts - 1)
            )
        return self._blame({machine}) if self.succeeded else set()

    def record_success(self, machine: str) -> set[str]:
        """Record a success. Returns the machines against which the earlier failures now count."""
        self.succeeded = True
        blamed = self._blame(self.machines - {machine})
        self.machines.clear()
        self.failures = 0
        self.failure_bursts = 0
        self.next_retry_at = float("-inf")
        return blamed

    def is_suspect(self, others: int) -> bool:
        """Whether the job itself is probably at fault; `others` is the number of its tasks now on machines."""
        return len(self.machines) >= constants.SUSPECT_MACHINES and self.failures >= others

    def _blame(self, machines: set[str]) -> set[str]:
        # A job with failures on many machines is no reliable evidence against them: some of its tasks may be faulty.
        if len(self.blamed_machines | machines) > constants.BLAMED_MACHINES_MAX:
            return set()
        self.blamed_machines |= machines
        return machines
