"""Counters of one leader's term."""

from __future__ import annotations

from sorrelsill import constants


class TermCounters:
    """Counts attempts, added jobs and refused starts, and records when the first task was bound."""

    def __init__(self, term: int) -> None:
        self._term = term
        self._attempts_made = 0
        self._jobs_added = 0
        self.starts_refused = 0  # because of a team's limit
        self.first_bound_at: float | None = None

    def next_attempt_number(self) -> int:
        """Return a number larger than all of this and earlier terms, so that none is used twice for a task."""
        self._attempts_made += 1
        return (self._term << constants.ATTEMPT_COUNTER_BITS) + self._attempts_made

    def next_job_order(self) -> int:
        """The position of the next job in the order in which the jobs of the term were added."""
        self._jobs_added += 1
        return self._jobs_added

    def task_bound(self, now: float) -> None:
        """Record the binding of a task to a machine."""
        if self.first_bound_at is None:
            self.first_bound_at = now

    def start_refused(self) -> None:
        """Count a task that could not start only because of its team's limit."""
        self.starts_refused += 1
