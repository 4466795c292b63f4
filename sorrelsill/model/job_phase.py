"""Where a job is in its life, as its users are told and as its final record says."""

from __future__ import annotations

import enum


class JobPhase(enum.StrEnum):
    """The texts are those of the wire and of the stored records."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
