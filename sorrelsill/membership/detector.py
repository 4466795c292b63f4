"""Judges the other controllers by what was heard of them. Pure: time and evidence are given, nothing is sent.

    unknown -> alive -> suspected -> confirmed
                 ^----------|-----------|      a later sign of life of the same or of a later process
               alive -> left                   it said that it stops; a later process makes it alive again

Silence beyond what past heartbeats explain makes a controller suspected. It is confirmed to be gone only if, besides,
it was suspected for some time, a whole round of probes since then found nothing, directly and through every other
controller that answers, and its lease in the key-value store has ended in a watch cache that is fresh. So an outage
of the key-value store, a cut between two controllers, or a refused connection confirms nobody."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from sorrelsill.membership.arrivals import Arrivals
from sorrelsill.membership.messages import PeerHeartbeat
from sorrelsill.membership.settings import MembershipSettings
from sorrelsill.membership.view import MembershipView, Peer, Status


@dataclass(slots=True)
class _Evidence:
    """What is known of one controller besides its status."""

    arrivals: Arrivals
    heard_through: str | None = None  # the controller that passed on its last sign of life, if it came indirectly
    round_failed_at: float = float("-inf")  # the beginning of the last round of probes that found nothing


@dataclass(frozen=True, slots=True)
class Presence:
    """What the watch cache says of a controller's lease."""

    held: bool  # its key is there
    fresh: bool  # and the watch cache is recent, so that a missing key means an ended lease


class Detector:
    """Keeps the present view. Times are given twice where they differ: `now`, and the observer's time awake."""

    def __init__(self, labels: list[str], settings: MembershipSettings) -> None:
        self._settings = settings
        self.view = MembershipView.of(labels)
        self._evidence = {
            label: _Evidence(
                Arrivals(settings.heartbeat_s, settings.suspect_sigmas, settings.suspect_min_s),
            )
            for label in labels
        }

    # --- signs of life ---

    def heard(self, message: PeerHeartbeat, now: float, awake: float, through: str | None = None) -> bool:
        """Take a heartbeat in. False for a copy, or one that is older than what is known."""
        peer = self.view.peers[message.sender]
        known = (peer.incarnation.process, peer.sequence)
        if (message.incarnation.process, message.sequence) <= known or message.incarnation < peer.incarnation:
            return False
        evidence = self._evidence[message.sender]
        if message.incarnation.process != peer.incarnation.process:
            evidence.arrivals.restart()
        evidence.arrivals.arrived(awake)
        evidence.heard_through = through
        status = Status.LEFT if message.leaving else Status.ALIVE
        text = "heartbeat" if through is None else f"answered a probe through {through}"
        changed = Peer(
            message.sender,
            status,
            since=peer.since if peer.status is status else now,
            incarnation=message.incarnation,
            sequence=message.sequence,
            heard_at=now,
            evidence="it said that it stops" if message.leaving else text,
        )
        self.view = self.view.with_peer(changed)
        return True

    def former_version(self, label: str, now: float) -> None:
        """It answered, and does not know of heartbeats: its lease alone judges it, and it counts as alive."""
        peer = self.view.peers[label]
        evidence = self._evidence[label]
        # Guards against its silence being counted from its last heartbeat, once it has gone back to that version.
        evidence.arrivals.restart()
        evidence.heard_through = None
        if peer.status is not Status.ALIVE:
            text = "of a version without heartbeats, judged by its lease alone"
            changed = msgspec.structs.replace(peer, status=Status.ALIVE, since=now, evidence=text)
            self.view = self.view.with_peer(changed)

    def round_failed(self, label: str, begun_at: float) -> None:
        """A round of probes that began then found nothing, neither directly nor through others."""
        evidence = self._evidence[label]
        evidence.round_failed_at = max(evidence.round_failed_at, begun_at)

    # --- judgement ---

    def to_probe(self) -> list[str]:
        """Controllers to probe now: those that are suspected, and those whose silence only others explain."""
        return [
            label
            for label, peer in sorted(self.view.peers.items())
            if peer.status is Status.SUSPECTED or self._evidence[label].heard_through is not None
        ]

    def judge(self, presences: dict[str, Presence], now: float, awake: float) -> list[Peer]:
        """Judge all controllers anew. Returns those whose status has changed."""
        changed = []
        for label, peer in self.view.peers.items():
            judged = self._judge(peer, presences[label], now, awake)
            if judged is not peer:
                self.view = self.view.with_peer(judged)
                changed.append(judged)
        return changed

    def _judge(self, peer: Peer, presence: Presence, now: float, awake: float) -> Peer:
        evidence = self._evidence[peer.label]
        silence = evidence.arrivals.silence(awake)
        if peer.status is Status.ALIVE and silence > self._allowed_s(evidence):
            allowed = evidence.arrivals.threshold_s()
            text = f"silent for {silence:.1f} s, of which {allowed:.1f} s are usual"
            return msgspec.structs.replace(peer, status=Status.SUSPECTED, since=now, suspected_at=now, evidence=text)
        if peer.status is Status.SUSPECTED and self._is_confirmed(peer, evidence, presence, now):
            text = f"silent for {silence:.1f} s, no probe answered, its lease in the state service has ended"
            return msgspec.structs.replace(peer, status=Status.CONFIRMED, since=now, evidence=text)
        return peer

    def _allowed_s(self, evidence: _Evidence) -> float:
        """One that is heard through others is heard as often as it is probed."""
        allowed = evidence.arrivals.threshold_s()
        return allowed + 2 * self._settings.probe_every_s if evidence.heard_through is not None else allowed

    def _is_confirmed(self, peer: Peer, evidence: _Evidence, presence: Presence, now: float) -> bool:
        return (
            now - peer.since >= self._settings.confirm_s
            and evidence.round_failed_at > peer.since
            and presence.fresh
            and not presence.held
        )
