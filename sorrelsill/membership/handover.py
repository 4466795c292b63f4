"""Measures how long a handover took, as seen by the new leader: from the former leader's last heartbeat, or from the
heartbeat that announced its shutdown, to the first task that the new leader starts. No I/O; callers pass the current
time."""

from __future__ import annotations

import msgspec

from sorrelsill.membership.view import Peer, Status


class Handover(msgspec.Struct, frozen=True):
    """One handover. Times are those of the monotonic clock; None for a step that did not happen."""

    former: str
    successor: str
    term: int
    planned: bool  # the former leader announced its shutdown
    begun_at: float  # the former leader's last heartbeat, or the one that announced its shutdown
    suspected_at: float | None
    confirmed_at: float | None
    key_taken_at: float
    first_start_at: float

    @property
    def duration_s(self) -> float:
        """The time from the beginning to the first start, in seconds."""
        return self.first_start_at - self.begun_at

    def steps(self) -> list[tuple[str, float]]:
        """The steps that happened, with their times, in chronological order."""
        timeline = [
            ("suspected", self.suspected_at),
            ("confirmed", self.confirmed_at),
            ("key taken", self.key_taken_at),
            ("first start", self.first_start_at),
        ]
        return sorted(((name, at) for name, at in timeline if at is not None), key=lambda step: step[1])


class _PendingHandover(msgspec.Struct, frozen=True):
    """The handover of a term in which no task has been started yet."""

    term: int
    former: Peer
    key_taken_at: float


class HandoverTracker:
    """Tracks the terms of this controller; the first task start of a term completes its handover."""

    def __init__(self, label: str) -> None:
        self._label = label
        self._pending: _PendingHandover | None = None

    def term_began(self, term: int, former: Peer | None, now: float) -> None:
        """Record that this controller leads. `former` is what is known about the previous leader; None if there was
        none or it was this controller. Without a heartbeat from the previous leader, no handover is measured."""
        has_heartbeat = former is not None and former.last_heartbeat_at > float("-inf")
        self._pending = _PendingHandover(term, former, now) if former is not None and has_heartbeat else None

    def term_ended(self) -> None:
        """Record that this controller no longer leads."""
        self._pending = None

    def first_task_started(self, now: float) -> Handover | None:
        """Record that a task was bound in this term. The first call of a term returns its handover; later ones None."""
        pending, self._pending = self._pending, None
        if pending is None:
            return None
        former = pending.former
        return Handover(
            former=former.label,
            successor=self._label,
            term=pending.term,
            planned=former.status is Status.LEFT,
            begun_at=former.since if former.status is Status.LEFT else former.last_heartbeat_at,
            suspected_at=former.suspected_at,
            confirmed_at=former.since if former.status is Status.CONFIRMED else None,
            key_taken_at=pending.key_taken_at,
            first_start_at=now,
        )
