"""State machine of failure detection: derives each controller's status from heartbeats, probes and leases. No I/O;
callers pass the current time.

    unknown -> alive -> suspected -> confirmed
                 ^----------|-----------|      a later heartbeat of the same or of a later process
               alive -> left                   it announced its shutdown; a later process makes it alive again

A controller is suspected when it is silent for longer than its past heartbeat intervals suggest. Its failure is
confirmed only if, in addition, all of these hold:

- it has been suspected for `confirm_s`,
- a whole round of probes that began after the suspicion got no answer, neither directly nor through any other
  controller that answers,
- according to a fresh watch cache, its lease in the key-value store has ended.

So an outage of the key-value store, a network partition between two controllers, or a refused connection alone never
confirms a failure."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from sorrelsill.membership.heartbeat_intervals import HeartbeatIntervals
from sorrelsill.membership.messages import PeerHeartbeat
from sorrelsill.membership.settings import MembershipSettings
from sorrelsill.membership.view import MembershipView, Peer, Status


@dataclass(slots=True)
class _Evidence:
    """What is known about one controller besides its status."""

    intervals: HeartbeatIntervals
    relayed_by: str | None = None  # the controller that relayed its last heartbeat, if it came indirectly
    failed_round_begun_at: float = float("-inf")  # start of the last probe round without an answer


@dataclass(frozen=True, slots=True)
class Presence:
    """What the watch cache shows about a controller's presence lease."""

    held: bool  # the controller's presence key exists
    fresh: bool  # the watch cache is recent, so a missing key means that the lease has ended


class Detector:
    """Maintains the membership view.

    `now` is the monotonic time, `unpaused_now` the same moment on the observer's `PauseAwareClock`."""

    def __init__(self, labels: list[str], settings: MembershipSettings) -> None:
        self._settings = settings
        self.view = MembershipView.initial(labels)
        self._evidence = {
            label: _Evidence(
                HeartbeatIntervals(settings.heartbeat_s, settings.suspect_sigmas, settings.suspect_min_s),
            )
            for label in labels
        }

    # --- evidence ---

    def record_heartbeat(
        self, message: PeerHeartbeat, now: float, unpaused_now: float, relay: str | None = None
    ) -> bool:
        """Process a heartbeat. Returns False if it is a duplicate or older than the last one known."""
        peer = self.view.peers[message.sender]
        known = (peer.incarnation.process, peer.sequence)
        if (message.incarnation.process, message.sequence) <= known or message.incarnation < peer.incarnation:
            return False
        evidence = self._evidence[message.sender]
        if message.incarnation.process != peer.incarnation.process:
            evidence.intervals.restart()
        evidence.intervals.record_arrival(unpaused_now)
        evidence.relayed_by = relay
        status = Status.LEFT if message.leaving else Status.ALIVE
        text = "heartbeat" if relay is None else f"answered a probe through {relay}"
        changed = Peer(
            message.sender,
            status,
            since=peer.since if peer.status is status else now,
            incarnation=message.incarnation,
            sequence=message.sequence,
            last_heartbeat_at=now,
            evidence="it said that it stops" if message.leaving else text,
        )
        self.view = self.view.with_peer(changed)
        return True

    def mark_without_heartbeats(self, label: str, now: float) -> None:
        """Record an answer from a version that sends no heartbeats: it is alive, and only its lease is checked."""
        peer = self.view.peers[label]
        evidence = self._evidence[label]
        # Guards against suspecting a peer that was downgraded to that version: its silence would otherwise be counted
        # from the last heartbeat of the newer version.
        evidence.intervals.restart()
        evidence.relayed_by = None
        if peer.status is not Status.ALIVE:
            text = "of a version without heartbeats, judged by its lease alone"
            changed = msgspec.structs.replace(peer, status=Status.ALIVE, since=now, evidence=text)
            self.view = self.view.with_peer(changed)

    def record_failed_probe_round(self, label: str, begun_at: float) -> None:
        """Record that a probe round that began at `begun_at` got no answer, neither directly nor indirectly."""
        evidence = self._evidence[label]
        evidence.failed_round_begun_at = max(evidence.failed_round_begun_at, begun_at)

    # --- status ---

    def peers_to_probe(self) -> list[str]:
        """The controllers to probe now: suspected ones, and those last heard only through another controller."""
        return [
            label
            for label, peer in sorted(self.view.peers.items())
            if peer.status is Status.SUSPECTED or self._evidence[label].relayed_by is not None
        ]

    def update_statuses(self, presences: dict[str, Presence], now: float, unpaused_now: float) -> list[Peer]:
        """Update the status of all controllers. Returns those whose status has changed."""
        changed = []
        for label, peer in self.view.peers.items():
            updated = self._updated_peer(peer, presences[label], now, unpaused_now)
            if updated is not peer:
                self.view = self.view.with_peer(updated)
                changed.append(updated)
        return changed

    def _updated_peer(self, peer: Peer, presence: Presence, now: float, unpaused_now: float) -> Peer:
        evidence = self._evidence[peer.label]
        silence_s = evidence.intervals.silence_s(unpaused_now)
        if peer.status is Status.ALIVE and silence_s > self._suspicion_threshold_s(evidence):
            usual_s = evidence.intervals.threshold_s()
            text = f"silent for {silence_s:.1f} s, of which {usual_s:.1f} s are usual"
            return msgspec.structs.replace(peer, status=Status.SUSPECTED, since=now, suspected_at=now, evidence=text)
        if peer.status is Status.SUSPECTED and self._is_confirmed(peer, evidence, presence, now):
            text = f"silent for {silence_s:.1f} s, no probe answered, its lease in the state service has ended"
            return msgspec.structs.replace(peer, status=Status.CONFIRMED, since=now, evidence=text)
        return peer

    def _suspicion_threshold_s(self, evidence: _Evidence) -> float:
        """The suspicion threshold. Heartbeats that come through others arrive only as often as probes are sent."""
        direct_s = evidence.intervals.threshold_s()
        return direct_s + 2 * self._settings.probe_every_s if evidence.relayed_by is not None else direct_s

    def _is_confirmed(self, peer: Peer, evidence: _Evidence, presence: Presence, now: float) -> bool:
        return (
            now - peer.since >= self._settings.confirm_s
            and evidence.failed_round_begun_at > peer.since
            and presence.fresh
            and not presence.held
        )
