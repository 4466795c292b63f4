"""A token bucket on the steady clock, for the rates of the store and of the cloud."""

from __future__ import annotations

import trio


class TokenBucket:
    """`rate` tokens a second, at most `burst` saved up. Taking may run into debt: pings never wait, but
    what they take is missing to the others, so that all together stay under the rate."""

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
        """Take without waiting."""
        self._refill(trio.current_time())
        self._level -= amount

    def ready(self, amount: float = 1.0) -> bool:
        """Whether so much could be taken now."""
        self._refill(trio.current_time())
        return self._level >= min(amount, self.burst)

    def drain(self) -> None:
        """The other side says we are over the rate (429): others share it, so start from nothing."""
        self._refill(trio.current_time())
        self._level = min(self._level, 0.0)

    async def wait(self, amount: float = 1.0) -> None:
        """Take, waiting until there is enough, or all there can be. What goes beyond that is debt: found by reading,
        transactions larger than the burst were charged only for the burst, and the store's rate was passed."""
        enough = min(amount, self.burst)
        while not self.ready(amount):
            await trio.sleep(max(0.002, (enough - self._level) / self.rate))
        self._level -= amount

    def level(self) -> float:
        """How much is saved up."""
        self._refill(trio.current_time())
        return self._level
