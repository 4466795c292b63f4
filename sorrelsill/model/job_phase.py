"""The phases of a job, as reported to users and stored in its final record."""

from __future__ import annotations

import enum


class JobPhase(enum.StrEnum):
    """The phase of a job. The values are used on the wire and in stored records."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
