"""Decides whether a failed task is the fault of its job or of its machine. Pure: time is given.

A job that was submitted with a mistake fails on every machine. A faulty machine fails the tasks of jobs that succeed
elsewhere. So a failure counts against a machine only once its job has succeeded on another one, and a job that has
failed on several machines without any success is tried one task at a time, at a falling pace."""

from __future__ import annotations

from dataclasses import dataclass, field

from sorrelsill import constants


@dataclass(slots=True)
class FailureHistory:
    """The failures of one job in the present term, and what they say about it."""

    succeeded: bool = False  # a task of it has completed, or a replica has run for long enough
    machines: set[str] = field(default_factory=set)  # on which it failed since its last success
    blamed_machines: set[str] = field(default_factory=set)  # machines that its failures counted against
    failures: int = 0  # since its last success
    failure_bursts: int = 0  # bursts of failures since its last success; tasks that fail together are one
    next_trial_at: float = float("-inf")

    def record_failure(self, machine: str, now: float) -> set[str]:
        """Record a failed task. Returns the machines that this failure counts against."""
        self.machines.add(machine)
        self.failures += 1
        if now >= self.next_trial_at:
            self.failure_bursts += 1
            self.next_trial_at = now + min(
                constants.START_BACKOFF_MAX_S, constants.START_BACKOFF_S * 2.0 ** (self.failure_bursts - 1)
            )
        return self._blame({machine}) if self.succeeded else set()

    def record_success(self, machine: str) -> set[str]:
        """Record a success. Returns the machines that the failures before it now count against."""
        self.succeeded = True
        blamed = self._blame(self.machines - {machine})
        self.machines.clear()
        self.failures = 0
        self.failure_bursts = 0
        self.next_trial_at = float("-inf")
        return blamed

    def is_suspect(self, others: int) -> bool:
        """Whether the job itself is probably at fault; `others` of its tasks have not failed yet."""
        return len(self.machines) >= constants.SUSPECT_MACHINES and self.failures >= others

    def _blame(self, machines: set[str]) -> set[str]:
        # A job that blames many machines is no reliable witness: only some of its tasks may be at fault.
        if len(self.blamed_machines | machines) > constants.BLAMED_MACHINES_MAX:
            return set()
        self.blamed_machines |= machines
        return machines
