"""What a leader counts within its term."""

from __future__ import annotations

from sorrelsill import constants


class TermCounters:
    """Attempts made, jobs added, starts refused, and when the first task was bound."""

    def __init__(self, term: int) -> None:
        self._term = term
        self._attempts_made = 0
        self._jobs_added = 0
        self.starts_refused = 0  # for a team's limit
        self.first_bound_at: float | None = None

    def next_attempt_number(self) -> int:
        """Grows within the term and across terms, so no attempt number is ever used twice for a task."""
        self._attempts_made += 1
        return (self._term << constants.ATTEMPT_COUNTER_BITS) + self._attempts_made

    def next_job_order(self) -> int:
        """The place of one more job among those of the term."""
        self._jobs_added += 1
        return self._jobs_added

    def task_bound(self, now: float) -> None:
        """A task was bound to a machine."""
        if self.first_bound_at is None:
            self.first_bound_at = now

    def start_refused(self) -> None:
        """A task could have started but for its team's limit."""
        self.starts_refused += 1
