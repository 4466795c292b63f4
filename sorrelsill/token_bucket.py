"""A token bucket on the monotonic clock, for the rate limits of the key-value store and the cloud."""

from __future__ import annotations

import trio


class TokenBucket:
    """Gains `rate` tokens per second and holds at most `burst`. Its level may become negative: lease renewals take
    tokens without waiting, and other requests then wait longer, so that all together stay below the rate."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._refilled_at: float | None = None

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            self._level = min(self.burst, self._level + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def take(self, amount: float = 1.0) -> None:
        """Takes tokens without waiting. The level may become negative."""
        self._refill(trio.current_time())
        self._level -= amount

    def ready(self, amount: float = 1.0) -> bool:
        """Whether `wait` would return at once: the bucket holds this many tokens, or is full."""
        self._refill(trio.current_time())
        return self._level >= min(amount, self.burst)

    def drain(self) -> None:
        """Empties the bucket, after a 429 response: the rate is shared with others, who have used it up."""
        self._refill(trio.current_time())
        self._level = min(self._level, 0.0)

    async def wait(self, amount: float = 1.0) -> None:
        """Waits until the bucket holds this many tokens, or is full, and takes them. An amount larger than the burst
        makes the level negative: if transactions were charged at most the burst, the store's rate would be
        exceeded."""
        enough = min(amount, self.burst)
        while not self.ready(amount):
            await trio.sleep(max(0.002, (enough - self._level) / self.rate))
        self._level -= amount

    def level(self) -> float:
        """The number of tokens in the bucket; negative if more were taken."""
        self._refill(trio.current_time())
        return self._level
