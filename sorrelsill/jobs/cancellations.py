"""Which cancellations are certain to be known here, and so until when a worker's lease may be renewed.

A renewal lets a machine's tasks live for another lease of the workers, whatever was cancelled meanwhile. So there
is one rule for every answer to a report that renews a lease, whoever gives it:

    a lease is renewed only while every cancellation that any controller learnt of before
    `now - (cancel_s - lease_s - margin)` is certain to be known here,

and what is known is halted in the same answer. A cancellation that is told to its user was learnt of before that, and
one that is not known here yet is younger than this: its tasks still go in time by the lease renewed last.

Certain is, up to a moment each:
- what was committed before our own view was proved fresh (`floor`);
- what a peer learnt of, up to the last answer in which it named all that it learnt since a moment up to which we were
  certain already. With such answers of all peers the bound moves on, though nobody reaches the state service;
- what was committed up to the freshness of a peer that has followed the state service without a gap since our floor.
A process knows nothing of what its predecessor learnt. A peer that began after the moment up to which we were certain
does not move the bound, nor does one that sends no list (the version before this one), a damaged or a cut one.

Pure: time is given, and peers' moments come as ages, since clocks are not compared."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, TypeGuard

from sorrelsill import constants


class Cancellations:
    """What this controller knows to be cancelled, and how far back that is certain to be all."""

    def __init__(self, begun: float, cancel_s: float, renew_s: float, peers: int) -> None:
        self._begun = begun
        self._cancel_s = cancel_s
        self._renew_s = renew_s  # how far back the certainty may lie when a lease is renewed
        self._learnt: OrderedDict[str, float] = OrderedDict()  # job -> when we learnt that it is cancelled
        self._complete_since = begun  # all that this process learnt of since then is in `_learnt`
        self._followed_since = float("inf")  # since then the view has followed every change
        self._fresh_at = float("-inf")
        self._floor = float("-inf")  # what was committed before this is known here, or not live in our view
        self._covered = [float("-inf")] * peers  # what this peer learnt of before this is known here

    # --- our own knowledge ---

    def learn(self, job_id: str, now: float) -> bool:
        """True if it is new."""
        if job_id in self._learnt:
            return False
        self._learnt[job_id] = now
        # Kept by time and not by number: found by reading, the cache of final states pushed out by chance what still
        # had to be halted.
        keep = now - constants.CANCELLED_KEPT * self._cancel_s
        while self._learnt and (oldest := next(iter(self._learnt.items())))[1] < keep:
            del self._learnt[oldest[0]]
            self._complete_since = max(self._complete_since, oldest[1])
        return True

    def known(self, job_id: str) -> bool:
        """Whether the job is known to be cancelled."""
        return job_id in self._learnt

    def followed(self, since: float, fresh_at: float) -> None:
        """What our own view proves."""
        self._followed_since = since
        self._fresh_at = max(self._fresh_at, fresh_at)
        self._floor = max(self._floor, fresh_at)

    # --- what is certain ---

    def _gone(self, now: float) -> float:
        """What was learnt of before this is known here or gone: by this very rule its tasks' time is over."""
        return now - self._cancel_s - constants.CANCEL_SLACK_S

    def _base(self, now: float) -> float:
        return max(self._floor, self._gone(now))

    def certain(self, now: float) -> float:
        """Every cancellation that any controller learnt of before this moment is known here, or gone."""
        base = self._base(now)
        if self._begun > base:
            return base  # our predecessor may have learnt of some since, and told them
        return max(base, min(self._covered, default=now))

    def may_renew(self, now: float) -> bool:
        """Whether a worker's lease may be renewed now."""
        return now - self.certain(now) <= self._renew_s

    def suspect_unknown(self, now: float) -> bool:
        """Whether a job that our view doesn't hold may have been cancelled without our having learnt of it: this view
        has not followed for as long as a cancelled task may live."""
        return self._followed_since > self._gone(now)

    # --- between controllers ---

    def ask(self, now: float) -> dict[str, Any]:
        """From how long ago a peer has to name what it learnt of."""
        age = (now - self._base(now)) * (1 + 4 * constants.CLOCK_DRIFT)
        return {"back": age + constants.PEER_TIMEOUT_S + constants.CANCEL_SLACK_S}

    def tell(self, asked: dict[str, Any], now: float) -> dict[str, Any]:
        """What we learnt of since then. A list that would not fit is left out, and never cut."""
        back = asked.get("back")
        if not _is_age(back):
            return {}
        since = max(now - back, self._complete_since)
        named = [job_id for job_id, at in self._learnt.items() if at >= since]
        if len(named) > constants.CANCELLED_NAMED:
            return {}
        return {
            "cancelled": named,
            "back": now - since,
            "followed": now - self._followed_since if self._followed_since <= now else None,
            "fresh": now - self._fresh_at if self._fresh_at > float("-inf") else None,
        }

    def take(self, peer: int, told: Any, sent_at: float, now: float) -> list[str]:
        """A peer's list, asked for at `sent_at`. Returns what it taught us. What is damaged proves nothing."""
        if not isinstance(told, dict) or not _is_age(told.get("back")):
            return []
        named = told.get("cancelled")
        if not isinstance(named, list) or not all(isinstance(job_id, str) for job_id in named):
            return []
        # It was made between sending and now: each moment is taken where it proves least.
        drift = 1 - constants.CLOCK_DRIFT * 2
        since = now - told["back"] * drift
        new = [job_id for job_id in named if self.learn(job_id, now)]
        base = self._base(now)
        before = max(self._covered[peer], base)
        if since <= before:
            self._covered[peer] = max(before, sent_at)
        followed, fresh = told.get("followed"), told.get("fresh")
        if _is_age(followed) and _is_age(fresh) and since <= base and now - followed * drift <= base:
            self._floor = max(self._floor, sent_at - fresh * (1 + constants.CLOCK_DRIFT * 2))
        return new


def _is_age(value: Any) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < float("inf")
