"""Write quarantine: holds back changes that the store refuses even alone, so that they don't block the others."""

from __future__ import annotations

import logging

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.jobs.write_batch import WriteBatch
from sorrelsill.store import RefusedError

log = logging.getLogger(__name__)


class WriteQuarantine:
    """After the store refuses a batch, each of its changes is sent alone. A change that is refused alone is logged,
    counted and left out for `QUARANTINED_WRITE_S`."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}  # change -> end of its quarantine
        self._single_change_batches = 0  # upcoming batches that may hold only one change each

    def __len__(self) -> int:
        return len(self._until)

    def expire(self, now: float) -> None:
        """Ends quarantines whose time is over, so that these changes are tried again."""
        self._until = {change: until for change, until in self._until.items() if until > now}

    def admits(self, batch: WriteBatch, change: str) -> bool:
        """Whether a change may be added to the batch."""
        return change not in self._until and not (self._single_change_batches and batch.changes)

    def batch_sent(self) -> None:
        """Call this before each batch is sent to the store."""
        self._single_change_batches = max(0, self._single_change_batches - 1)

    def refused(self, batch: WriteBatch, error: RefusedError, now: float) -> None:
        """Call this if the store refused a batch for its size."""
        if error.limits_reduced:
            return  # the next batch keeps to the reduced limits
        if len(batch.changes) > 1:
            self._single_change_batches = len(batch.changes)
            return
        for change in batch.changes:
            log_event(log, logging.ERROR, "write_quarantined", change=change, error=error)
            self._until[change] = now + constants.QUARANTINED_WRITE_S
