"""One controller's view of the others: immutable snapshots with a version.

A decision that waits for an answer keeps the snapshot it was based on; a later version shows what changed meanwhile.
Views of different controllers may differ, so no right to act depends on them."""

from __future__ import annotations

import enum

import msgspec
from immutables import Map

from sorrelsill.membership.messages import Incarnation


class Status(enum.Enum):
    """The status of a controller according to failure detection."""

    UNKNOWN = "unknown"  # no heartbeat received yet
    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEFT = "left"  # it announced its shutdown
    CONFIRMED = "confirmed"  # failed: silent, no probe answered, and its lease in the key-value store has ended


class Peer(msgspec.Struct, frozen=True):
    """What is known about one other controller."""

    label: str
    status: Status = Status.UNKNOWN
    since: float = float("-inf")  # start of this status
    incarnation: Incarnation = Incarnation()
    sequence: int = -1  # of the last heartbeat from the process that `incarnation` names
    last_heartbeat_at: float = float("-inf")  # when the last heartbeat arrived
    suspected_at: float | None = None  # start of the suspicion, if it is suspected or confirmed
    evidence: str = "nothing was heard of it yet"


class MembershipView(msgspec.Struct, frozen=True):
    """One snapshot of all other controllers."""

    version: int
    peers: Map[str, Peer]

    @classmethod
    def initial(cls, labels: list[str]) -> MembershipView:
        """The first snapshot, before any heartbeat."""
        return cls(0, Map({label: Peer(label) for label in labels}))

    def with_peer(self, peer: Peer) -> MembershipView:
        """The next snapshot, or this one if the peer has not changed."""
        if self.peers[peer.label] == peer:
            return self
        return MembershipView(self.version + 1, self.peers.set(peer.label, peer))

    def alive_labels(self) -> list[str]:
        """The labels of the controllers whose status is ALIVE."""
        return sorted(label for label, peer in self.peers.items() if peer.status is Status.ALIVE)
