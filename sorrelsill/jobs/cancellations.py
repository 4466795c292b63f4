"""Which cancellations are certain to be known here, and so until when a worker's lease may be renewed.

A renewal lets a machine's tasks live for another lease of the workers, whatever was cancelled meanwhile. So there
is one rule for every answer to a heartbeat that renews a lease, whoever gives it:

    a lease is renewed only while every cancellation that any controller learnt of before
    `now - (cancel_s - lease_s - margin)` is certain to be known here,

and what is known is stopped in the same answer. A cancellation that is told to its user was learnt of before that, and
one that is not known here yet is younger than this: its tasks still go in time by the lease renewed last.

Certain is, up to a moment each:
- what was committed before our own watch cache was proved fresh;
- what a peer learnt of, up to the last answer in which it named all that it learnt since a moment up to which we were
  certain already. With such answers of all peers the bound moves on, though nobody reaches the key-value store;
- what was committed up to the freshness of a peer that has followed the key-value store without a gap since our
  own such moment.
A process knows nothing of what its predecessor learnt. A peer that began after the moment up to which we were certain
does not move the bound, nor does one that sends no list (the version before this one), a damaged or a cut one.

Pure: time is given, and peers' moments come as ages, since clocks are not compared."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any, TypeGuard

from sorrelsill import constants

_NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class PeerKnowledge:
    """What a peer names of the cancellations that it learnt of; moments are ages in seconds."""

    job_ids: list[str]
    since_age_s: float  # all that it learnt of since then is named
    followed_age_s: float | None  # how long its watch cache has followed every change
    fresh_age_s: float | None  # how long ago its watch cache was proved fresh

    def to_wire(self) -> dict[str, Any]:
        """Under the names of the protocol between controllers."""
        return {
            "cancelled": self.job_ids,
            "back": self.since_age_s,
            "followed": self.followed_age_s,
            "fresh": self.fresh_age_s,
        }

    @classmethod
    def from_wire(cls, raw: Any) -> PeerKnowledge | None:
        """None if it is missing or damaged, and so proves nothing."""
        if not isinstance(raw, dict) or not _is_age(raw.get("back")):
            return None
        job_ids = raw.get("cancelled")
        if not isinstance(job_ids, list) or not all(isinstance(job_id, str) for job_id in job_ids):
            return None
        followed, fresh = raw.get("followed"), raw.get("fresh")
        return cls(
            job_ids,
            raw["back"],
            followed if _is_age(followed) else None,
            fresh if _is_age(fresh) else None,
        )


class Cancellations:
    """What this controller knows to be cancelled, and how far back that is certain to be all."""

    def __init__(self, begun: float, cancel_s: float, renew_s: float, peers: int) -> None:
        """`begun`: when this process began; `cancel_s`: seconds after which a cancelled task must be gone; `renew_s`:
        how many seconds back the certainty may lie when a lease is renewed; `peers`: how many there are."""
        self._begun = begun
        self._cancel_s = cancel_s
        self._renew_s = renew_s
        self._learnt_at: OrderedDict[str, float] = OrderedDict()  # job -> when we learnt that it is cancelled
        self._complete_since = begun  # all that this process learnt of since then is in `_learnt_at`
        self._followed_since = float("inf")  # since then the watch cache has followed every change
        self._fresh_at = _NEVER
        # What was committed before this is known here, or not live in our watch cache.
        self._committed_known_until = _NEVER
        self._peer_known_until = [_NEVER] * peers  # what this peer learnt of before this is known here

    # --- our own knowledge ---

    def add(self, job_id: str, now: float) -> bool:
        """We learn that a job is cancelled; True if it is new."""
        if job_id in self._learnt_at:
            return False
        self._learnt_at[job_id] = now
        # Kept by time and not by number: found by reading, the cache of final records pushed out by chance what still
        # had to be stopped.
        keep = now - constants.CANCELLED_KEPT * self._cancel_s
        while self._learnt_at and (oldest := next(iter(self._learnt_at.items())))[1] < keep:
            del self._learnt_at[oldest[0]]
            self._complete_since = max(self._complete_since, oldest[1])
        return True

    def is_cancelled(self, job_id: str) -> bool:
        """Whether the job is known to be cancelled."""
        return job_id in self._learnt_at

    def observe_watch_cache(self, followed_since: float, fresh_at: float) -> None:
        """What our own watch cache proves."""
        self._followed_since = followed_since
        self._fresh_at = max(self._fresh_at, fresh_at)
        self._committed_known_until = max(self._committed_known_until, fresh_at)

    # --- what is certain ---

    def _tasks_gone_until(self, now: float) -> float:
        """What was learnt of before this is known here or gone: by this very rule its tasks' time is over."""
        return now - self._cancel_s - constants.CANCEL_SLACK_S

    def _complete_without_peers(self, now: float) -> float:
        return max(self._committed_known_until, self._tasks_gone_until(now))

    def complete_until(self, now: float) -> float:
        """Every cancellation that any controller learnt of before this moment is known here, or gone."""
        own = self._complete_without_peers(now)
        if self._begun > own:
            return own  # our predecessor may have learnt of some since, and told them
        return max(own, min(self._peer_known_until, default=now))

    def may_renew(self, now: float) -> bool:
        """Whether a worker's lease may be renewed now."""
        return now - self.complete_until(now) <= self._renew_s

    def suspect_unknown(self, now: float) -> bool:
        """Whether a job that our watch cache doesn't hold may have been cancelled without our having learnt of it: this
        cache has not followed for as long as a cancelled task may live."""
        return self._followed_since > self._tasks_gone_until(now)

    # --- between controllers ---

    def peer_request(self, now: float) -> dict[str, Any]:
        """From how long ago a peer has to name what it learnt of."""
        age = (now - self._complete_without_peers(now)) * (1 + 4 * constants.CLOCK_DRIFT)
        return {"back": age + constants.PEER_TIMEOUT_S + constants.CANCEL_SLACK_S}

    def answer_peer(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        """What we learnt of since then. A list that would not fit is left out, and never cut."""
        back = request.get("back")
        if not _is_age(back):
            return {}
        since = max(now - back, self._complete_since)
        named = [job_id for job_id, at in self._learnt_at.items() if at >= since]
        if len(named) > constants.CANCELLED_NAMED:
            return {}
        return PeerKnowledge(
            job_ids=named,
            since_age_s=now - since,
            followed_age_s=now - self._followed_since if self._followed_since <= now else None,
            fresh_age_s=now - self._fresh_at if self._fresh_at > _NEVER else None,
        ).to_wire()

    def merge_peer_answer(self, peer: int, answer: Any, sent_at: float, now: float) -> list[str]:
        """A peer's answer to the request that we sent at `sent_at`. Returns the jobs that are new to us. What is
        damaged proves nothing."""
        knowledge = PeerKnowledge.from_wire(answer)
        if knowledge is None:
            return []
        # It was made between sending and now: each moment is taken where it proves least.
        drift = 1 - constants.CLOCK_DRIFT * 2
        since = now - knowledge.since_age_s * drift
        new = [job_id for job_id in knowledge.job_ids if self.add(job_id, now)]
        own = self._complete_without_peers(now)
        before = max(self._peer_known_until[peer], own)
        if since <= before:
            self._peer_known_until[peer] = max(before, sent_at)
        followed_age_s, fresh_age_s = knowledge.followed_age_s, knowledge.fresh_age_s
        if followed_age_s is None or fresh_age_s is None or since > own or now - followed_age_s * drift > own:
            return new
        fresh_at = sent_at - fresh_age_s * (1 + constants.CLOCK_DRIFT * 2)
        self._committed_known_until = max(self._committed_known_until, fresh_at)
        return new


def _is_age(value: Any) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < float("inf")
