"""How long a failover took, as the new leader sees it: from the former leader's last heartbeat, or the one that said it
stops, to the first task that the new leader starts. Pure: times are given."""

from __future__ import annotations

import msgspec

from sorrelsill.membership.view import Peer, Status


class Handover(msgspec.Struct, frozen=True):
    """One failover; times of the monotonic clock, None for a step that did not happen."""

    former: str
    successor: str
    term: int
    planned: bool  # the former leader said that it stops
    begun_at: float  # its last heartbeat, or the one that said so
    suspected_at: float | None
    confirmed_at: float | None
    key_taken_at: float
    first_start_at: float

    @property
    def lasted_s(self) -> float:
        """From the beginning to the first start."""
        return self.first_start_at - self.begun_at

    def steps(self) -> list[tuple[str, float]]:
        """The steps that happened, with their times, in order."""
        named = [
            ("suspected", self.suspected_at),
            ("confirmed", self.confirmed_at),
            ("key taken", self.key_taken_at),
            ("first start", self.first_start_at),
        ]
        return sorted(((name, at) for name, at in named if at is not None), key=lambda step: step[1])


class _Open(msgspec.Struct, frozen=True):
    """A term that has begun and in which no task was started yet."""

    term: int
    former: Peer
    key_taken_at: float


class HandoverTracker:
    """Follows the terms of this controller, and completes a handover at the first start in each."""

    def __init__(self, label: str) -> None:
        self._label = label
        self._open: _Open | None = None

    def term_began(self, term: int, former: Peer | None, now: float) -> None:
        """We lead; `former` is what is believed of the controller that led before, if it was another one."""
        heard = former is not None and former.heard_at > float("-inf")
        self._open = _Open(term, former, now) if former is not None and heard else None

    def term_ended(self) -> None:
        """We lead no more."""
        self._open = None

    def started(self, now: float) -> Handover | None:
        """A task was bound in this term. The handover that this completes, if it is the first one."""
        opened, self._open = self._open, None
        if opened is None:
            return None
        former = opened.former
        return Handover(
            former=former.label,
            successor=self._label,
            term=opened.term,
            planned=former.status is Status.LEFT,
            begun_at=former.since if former.status is Status.LEFT else former.heard_at,
            suspected_at=former.suspected_at,
            confirmed_at=former.since if former.status is Status.CONFIRMED else None,
            key_taken_at=opened.key_taken_at,
            first_start_at=now,
        )
