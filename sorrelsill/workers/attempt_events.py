"""Structured log events about attempts, all with the same base fields."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from sorrelsill.events import log_event

if TYPE_CHECKING:
    from sorrelsill.workers.machine import Attempt


def log_attempt(log: logging.Logger, event: str, attempt: Attempt, /, **fields: object) -> None:
    """Log an event of an attempt at level DEBUG."""
    if log.isEnabledFor(logging.DEBUG):
        log_event(
            log,
            logging.DEBUG,
            event,
            task=attempt.task_id,
            attempt=attempt.attempt_number,
            machine=attempt.machine.name,
            **fields,
        )
