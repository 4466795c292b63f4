"""What one controller knows of the others: immutable snapshots with a version.

A decision that waits for an answer holds the snapshot it was made on; a later version tells it what changed meanwhile.
Views of different controllers may differ. Nothing that is entitled to act rests on them."""

from __future__ import annotations

import enum

import msgspec
from immutables import Map

from sorrelsill.membership.messages import Incarnation


class Status(enum.Enum):
    """The status of a controller, as failure detection sets it."""

    UNKNOWN = "unknown"  # nothing was heard of it yet
    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEFT = "left"  # it said that it stops
    CONFIRMED = "confirmed"  # gone: silent, no probe answered, and its lease in the key-value store has ended


class Peer(msgspec.Struct, frozen=True):
    """What is known of one other controller."""

    label: str
    status: Status = Status.UNKNOWN
    since: float = float("-inf")  # when it got this status
    incarnation: Incarnation = Incarnation()
    sequence: int = -1  # of the last heartbeat of this incarnation's process
    heard_at: float = float("-inf")  # when its last heartbeat came
    suspected_at: float | None = None  # since it is silent, if it is suspected or confirmed
    evidence: str = "nothing was heard of it yet"


class MembershipView(msgspec.Struct, frozen=True):
    """One snapshot of all other controllers."""

    version: int
    peers: Map[str, Peer]

    @classmethod
    def of(cls, labels: list[str]) -> MembershipView:
        """The first snapshot: nothing was heard yet."""
        return cls(0, Map({label: Peer(label) for label in labels}))

    def with_peer(self, peer: Peer) -> MembershipView:
        """The next snapshot, or this one if nothing about the peer has changed."""
        if self.peers[peer.label] == peer:
            return self
        return MembershipView(self.version + 1, self.peers.set(peer.label, peer))

    def alive(self) -> list[str]:
        """Labels of controllers that are not suspected and were heard."""
        return sorted(label for label, peer in self.peers.items() if peer.status is Status.ALIVE)
