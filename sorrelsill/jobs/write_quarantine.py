"""Quarantined writes: changes that the store refuses by themselves and that must not hold up the others."""

from __future__ import annotations

import logging

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.jobs.write_batch import WriteBatch
from sorrelsill.store import RefusedError

log = logging.getLogger(__name__)


class WriteQuarantine:
    """After the refusal of a batch each of its changes goes by itself; one that is refused alone is left out for a
    while, logged and counted."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}  # change -> end of its quarantine
        self._single_steps = 0  # batches still to come that hold one change each

    def __len__(self) -> int:
        return len(self._until)

    def expire(self, now: float) -> None:
        """Let those whose time is over be tried again."""
        self._until = {change: until for change, until in self._until.items() if until > now}

    def admits(self, batch: WriteBatch, change: str) -> bool:
        """Whether a change may go into the batch."""
        return change not in self._until and not (self._single_steps and batch.changes)

    def batch_sent(self) -> None:
        """A batch goes to the store."""
        self._single_steps = max(0, self._single_steps - 1)

    def refused(self, batch: WriteBatch, error: RefusedError, now: float) -> None:
        """The store refused a batch for its size."""
        if error.limits_reduced:
            return  # what is longer than the limits that hold now is written otherwise the next time
        if len(batch.changes) > 1:
            self._single_steps = len(batch.changes)
            return
        for change in batch.changes:
            log_event(log, logging.ERROR, "write_quarantined", change=change, error=error)
            self._until[change] = now + constants.QUARANTINED_WRITE_S
