"""Tracks which cancellations this controller is guaranteed to know, and so whether it may renew a worker's lease.

Renewing a worker's lease keeps its tasks running for one more lease, including tasks cancelled in the meantime. So
every heartbeat response that renews a lease, from the leader or in degraded mode, follows one rule:

    renew only if every cancellation that any controller learnt of before
    `now - (cancel_s - lease_s - margin)` is guaranteed to be known here.

The same response stops all tasks whose cancellation is known. A controller learns of a cancellation before it reports
it to the user. A cancellation that is not known here yet is more recent than the bound, so its tasks still end within
`cancel_s` when the last renewed lease expires.

Knowledge is guaranteed to be complete up to the latest of these times:
- the time up to which our own watch cache is known to be fresh: the cache holds everything committed before that time;
- for each peer, the send time of our last request that the peer answered with a list of everything that it learnt since
  a time up to which our knowledge was already complete; the earliest of these send times over all peers counts. With
  such answers from all peers the bound advances even if no controller can reach the key-value store;
- the time up to which a peer's watch cache is known to be fresh, if that cache has followed the key-value store
  without a gap since a time up to which our knowledge was already complete;
- `cancel_s` and a margin ago: the tasks of jobs that were cancelled earlier have ended, so nothing is left to stop.
A restarted process does not know what the previous process learnt. So a peer that started after the time up to which
our knowledge is complete does not advance the bound. Nor does a peer whose list is missing (previous version),
malformed or truncated.

No I/O; callers pass the current time. Peers send ages, since clocks of different machines are not compared."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any, TypeGuard

from sorrelsill import constants

_NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class PeerCancellations:
    """The cancellations that a peer reports; times are ages in seconds."""

    job_ids: list[str]
    since_age_s: float  # the list holds every cancellation that the peer learnt of since then
    followed_age_s: float | None  # the peer's watch cache has followed every change since then
    fresh_age_s: float | None  # the peer's watch cache holds every change committed before then

    def to_wire(self) -> dict[str, Any]:
        """Encodes it with the field names of the protocol between controllers."""
        return {
            "cancelled": self.job_ids,
            "back": self.since_age_s,
            "followed": self.followed_age_s,
            "fresh": self.fresh_age_s,
        }

    @classmethod
    def from_wire(cls, raw: Any) -> PeerCancellations | None:
        """Returns None if the peer's report is missing or malformed: such a report guarantees nothing."""
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
    """The cancelled jobs that this controller knows, and the time up to which they are guaranteed to be complete."""

    def __init__(self, started_at: float, cancel_s: float, renew_s: float, peers: int) -> None:
        """`started_at`: start time of this process; `cancel_s`: seconds within which a cancelled task must have ended;
        `renew_s`: leases are renewed only if knowledge is complete up to at most this many seconds ago; `peers`: number
        of peers."""
        self._started_at = started_at
        self._cancel_s = cancel_s
        self._renew_s = renew_s
        self._learnt_at: OrderedDict[str, float] = OrderedDict()  # job -> when we learnt that it is cancelled
        self._complete_since = started_at  # `_learnt_at` holds all that this process learnt since then
        self._followed_since = float("inf")  # since then the watch cache has followed every change
        self._fresh_at = _NEVER
        # Cancellations committed before this time are known here, or their jobs are not live in our watch cache.
        self._committed_known_until = _NEVER
        # By peer: cancellations that the peer learnt of before this time are known here.
        self._peer_known_until = [_NEVER] * peers

    # --- own knowledge ---

    def add(self, job_id: str, now: float) -> bool:
        """Records that a job is cancelled. Returns True if the cancellation was not known before."""
        if job_id in self._learnt_at:
            return False
        self._learnt_at[job_id] = now
        # Evicted by age, not by count: the cache of final records, which is bounded by count, could evict a job whose
        # tasks still had to be stopped.
        keep = now - constants.CANCELLED_KEPT * self._cancel_s
        while self._learnt_at and (oldest := next(iter(self._learnt_at.items())))[1] < keep:
            del self._learnt_at[oldest[0]]
            self._complete_since = max(self._complete_since, oldest[1])
        return True

    def is_cancelled(self, job_id: str) -> bool:
        """Whether this controller knows that the job is cancelled."""
        return job_id in self._learnt_at

    def observe_watch_cache(self, followed_since: float, fresh_at: float) -> None:
        """Updates the bound from our own watch cache."""
        self._followed_since = followed_since
        self._fresh_at = max(self._fresh_at, fresh_at)
        self._committed_known_until = max(self._committed_known_until, fresh_at)

    # --- guarantees ---

    def _tasks_ended_until(self, now: float) -> float:
        """Tasks of jobs whose cancellation any controller learnt of before this time have ended: `cancel_s` has passed,
        and the renewal rule holds on every controller."""
        return now - self._cancel_s - constants.CANCEL_SLACK_S

    def _complete_until_without_peers(self, now: float) -> float:
        return max(self._committed_known_until, self._tasks_ended_until(now))

    def complete_until(self, now: float) -> float:
        """Every cancellation that any controller learnt of before this time is known here, or its tasks have ended."""
        own = self._complete_until_without_peers(now)
        if self._started_at > own:
            # Between `own` and the start of this process, the previous process may have learnt of cancellations and
            # reported them to users. The peers' lists need not contain these.
            return own
        return max(own, min(self._peer_known_until, default=now))

    def may_renew(self, now: float) -> bool:
        """Whether a worker's lease may be renewed now."""
        return now - self.complete_until(now) <= self._renew_s

    def may_have_missed_cancellation(self, now: float) -> bool:
        """Whether a job that is missing from our watch cache may have been cancelled unnoticed: the cache has followed
        changes for less time than a cancelled task may keep running."""
        return self._followed_since > self._tasks_ended_until(now)

    # --- exchange with peers ---

    def peer_request(self, now: float) -> dict[str, Any]:
        """The request to a peer: how many seconds back the peer has to list the cancellations that it learnt of."""
        age = (now - self._complete_until_without_peers(now)) * (1 + 4 * constants.CLOCK_DRIFT)
        return {"back": age + constants.PEER_TIMEOUT_S + constants.CANCEL_SLACK_S}

    def answer_peer(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        """Lists the cancellations learnt since the requested time, or since the later time from which on the list is
        complete. If the request is malformed or the list too long, the answer is empty; a list is never truncated."""
        back = request.get("back")
        if not _is_age(back):
            return {}
        since = max(now - back, self._complete_since)
        named = [job_id for job_id, at in self._learnt_at.items() if at >= since]
        if len(named) > constants.CANCELLATIONS_LISTED_MAX:
            return {}
        return PeerCancellations(
            job_ids=named,
            since_age_s=now - since,
            followed_age_s=now - self._followed_since if self._followed_since <= now else None,
            fresh_age_s=now - self._fresh_at if self._fresh_at > _NEVER else None,
        ).to_wire()

    def merge_peer_answer(self, peer: int, answer: Any, sent_at: float, now: float, complete: bool = True) -> list[str]:
        """Applies a peer's answer to the request sent at `sent_at`. Returns the jobs whose cancellation was not known
        here. A malformed answer changes nothing. Without `complete`, it guarantees nothing: the peer did not tell which
        revision of the store it knows, so a lease renewed here may keep a start of its last term valid."""
        reported = PeerCancellations.from_wire(answer)
        if reported is None:
            return []
        # The peer computed the ages at some time between `sent_at` and now. The later bound is used for the start of a
        # period and the earlier one for its end, so that the result never promises more than the peer did.
        drift = 1 - constants.CLOCK_DRIFT * 2
        since = now - reported.since_age_s * drift
        new = [job_id for job_id in reported.job_ids if self.add(job_id, now)]
        if not complete:
            return new
        own = self._complete_until_without_peers(now)
        before = max(self._peer_known_until[peer], own)
        if since <= before:
            self._peer_known_until[peer] = max(before, sent_at)
        followed_age_s, fresh_age_s = reported.followed_age_s, reported.fresh_age_s
        if followed_age_s is None or fresh_age_s is None or since > own or now - followed_age_s * drift > own:
            return new
        fresh_at = sent_at - fresh_age_s * (1 + constants.CLOCK_DRIFT * 2)
        self._committed_known_until = max(self._committed_known_until, fresh_at)
        return new


def _is_age(value: Any) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < float("inf")
