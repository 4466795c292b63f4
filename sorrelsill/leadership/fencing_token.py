"""The fencing token of a leader, and whether it may have been exceeded in degraded mode. No I/O; callers pass times."""

from __future__ import annotations

_NEVER = float("-inf")


class FencingToken:
    """The revision of the leader's last write of the leader key, which workers compare with the highest they have seen.

    While a promise of this controller is in force, other controllers may renew leases with higher tokens. So a token is
    usable only if it was requested after the last promise ended."""

    def __init__(self) -> None:
        self.current: int | None = None  # None while this controller does not lead
        self.highest = 0
        self._requested_at = _NEVER

    def set(self, token: int, requested_at: float) -> None:
        """Use the revision of a write of the leader key that was requested at this time."""
        self.adopt(token)
        self._requested_at = requested_at

    def adopt(self, token: int) -> None:
        """Record the revision of an own write whose answer was lost. It may have been requested before the last
        promise, so the token counts as exceeded as before."""
        self.current = token
        self.highest = max(self.highest, token)

    def discard(self) -> None:
        """Called when this controller stops leading."""
        self.current = None

    def may_be_exceeded(self, promised_until: float) -> bool:
        """Whether leases may have been renewed with a higher token: a promise that ended at the given time was in force
        after this token was requested."""
        return promised_until > self._requested_at
